package cell

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// workerKinds are the labels of workers. Steps may require one of them.
var workerKinds = []string{"kind-a", "kind-b"}

// addConstraints gives the simulation a second service, two kinds of workers, and jobs with
// limits and labels.
func (s *sim) addConstraints(seed uint64) {
	s.constraints = rand.New(rand.NewPCG(seed, 11))
	s.formerServices = map[string][]string{}
	for range 4 {
		s.addWorker().service = "svc-2"
	}
	for i, w := range s.workers {
		w.labels = []string{workerKinds[i%len(workerKinds)]}
		s.after(0, w.announce)
	}
}

// constrain gives the steps of a job random limits and labels.
func (s *sim) constrain(j *jobs.Job) {
	if s.constraints == nil {
		return
	}
	for i := range j.Steps {
		step := &j.Steps[i]
		switch s.constraints.IntN(4) {
		case 0, 1:
			step.MaxPerWorker = 1 + s.constraints.IntN(2)
			if step.Gang {
				step.MaxPerWorker = 2 // all of its tasks must fit at the same time
			}
		case 2:
			step.Label = workerKinds[s.constraints.IntN(len(workerKinds))]
		}
	}
}

// spare reports whether another worker of the same service and kind stays, so that jobs that
// require them can be done.
func (s *sim) spare(w *simWorker) bool {
	if s.constraints == nil {
		return true
	}
	others := 0
	for _, o := range s.workers {
		if o != w && !o.unlisted && !o.leaving && o.service == w.service && slices.Equal(o.labels, w.labels) {
			others++
		}
	}
	return others > 1
}

// injectWorkerChange has workers fail all that they start, restarts one as another kind, or
// sends a queue to the other service.
func (s *sim) injectWorkerChange() {
	w := s.workers[s.rnd.IntN(len(s.workers))]
	switch s.rnd.IntN(4) {
	case 0, 1:
		for _, o := range s.workers {
			if s.rnd.IntN(3) == 0 {
				o.failsUntil = s.now.Add(time.Second + time.Duration(s.rnd.Int64N(int64(4*time.Second))))
			}
		}
	case 2:
		if w.up && s.spare(w) {
			kind := workerKinds[s.rnd.IntN(len(workerKinds))]
			w.crashAndBecome(time.Duration(s.rnd.Int64N(int64(2*time.Second))), []string{kind})
		}
	case 3:
		s.moveQueue("batch")
	}
}

// moveQueue sends a queue to the other service. Instances receive the configuration at
// different times.
func (s *sim) moveQueue(name string) {
	next := *s.cfg
	next.Version++
	next.Queues = slices.Clone(s.cfg.Queues)
	q := next.Queue(name)
	s.formerServices[name] = append(s.formerServices[name], q.Service)
	if q.Service == "svc" {
		q.Service = "svc-2"
	} else {
		q.Service = "svc"
	}
	s.cfg = &next
	for _, n := range s.nodes {
		incarnation := n.incarnation
		s.after(time.Duration(s.rnd.Int64N(int64(300*time.Millisecond))), func() { n.send(incarnation, ConfigChanged{Config: &next}) })
	}
}

// TestHistoriesWithConstraints guards against tasks on workers of a service that their queue
// is not sent to, on workers without the label that they require, and beside as many tasks
// of their step as may be at a worker, while workers fail all that they start, restart as
// another kind, and queues move.
func TestHistoriesWithConstraints(t *testing.T) {
	runHistories(t, 60, historyOptions{constraints: true})
}
