package cell

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

func newSim(seed uint64, nodes, workers int) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 7)), truth: newTruth(), newest: map[jobs.ID]jobs.Job{}, offers: map[uint64]func(RequestAnswered){}}
	s.now = model.Time(time.Hour)
	s.cfg = &jobs.Config{Version: 1, Queues: []jobs.Queue{
		{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 2, StretchFactor: 1.5, LatencyTarget: 250 * time.Millisecond,
			Eligibility: jobs.Eligibility{Base: 9 * time.Millisecond, PerWorker: 130 * time.Microsecond, PermitTTL: 2500 * time.Millisecond}},
		{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 4, StretchFactor: 4, LatencyTarget: 3 * time.Second},
		{Name: "gangs", Service: "svc", Priority: 1, MaxAttempts: 4, StretchFactor: 2.2, LatencyTarget: time.Second},
	}}
	for range workers {
		s.addWorker()
	}
	for range nodes {
		s.addNode(1)
	}
	return s
}

// submit stores a random job.
func (s *sim) submit() jobs.ID {
	id := jobs.ID(fmt.Sprintf("%016x", s.rnd.Uint64()))
	j := jobs.Job{ID: id, SubmittedMs: time.Duration(s.now).Milliseconds()}
	step := func(tasks int, cpu, ms int64) jobs.Step {
		return jobs.Step{Tasks: tasks, Resources: model.Resources{MilliCPU: cpu, MemoryMB: cpu}, EstimateMs: ms}
	}
	switch s.rnd.IntN(4) {
	case 0, 1:
		j.Queue, j.Steps = "urgent", []jobs.Step{step(1+s.rnd.IntN(3), 1400, 600)}
	case 2:
		j.Queue = "batch"
		first, second := step(1+s.rnd.IntN(10), 1000, 1500), step(1+s.rnd.IntN(4), 1000, 1000)
		second.After = []int{0}
		j.Steps = []jobs.Step{first, second}
	case 3:
		g := step(2+s.rnd.IntN(5), 4500, 3000)
		g.Gang = s.rnd.IntN(2) == 0
		j.Queue, j.Steps = "gangs", []jobs.Step{g}
	}
	if s.rnd.IntN(25) == 0 {
		j.Payload = "hopeless"
	}
	s.newest[id] = j
	s.hand(Entry{Key: jobs.JobKey(id), Value: jobs.Encode(j)})
	return id
}

func (s *sim) cancel(id jobs.ID) {
	s.hand(Entry{Key: jobs.CancelKey(id), Value: []byte("{}")})
}

// hand stores an entry through the owner or directly.
func (s *sim) hand(e Entry) {
	if s.rnd.IntN(3) > 0 {
		s.offer(e)
	} else {
		s.store.subs = append(s.store.subs, e)
		s.acknowledge(e)
	}
}

// acknowledge notes a cancellation that the store has.
func (s *sim) acknowledge(e Entry) {
	if kind, id := jobs.ParseKey(e.Key); kind == jobs.KindCancel {
		s.truth.cancelled[id] = s.now
	}
}

// history plays jobs and faults, and returns what went wrong.
func history(seed uint64, faults int) []string {
	s := newSim(seed, 4, 8)
	s.run(2 * time.Second)
	const span = 20 * time.Second
	for range 60 {
		s.after(time.Duration(s.rnd.Int64N(int64(span))), func() {
			id := s.submit()
			if s.rnd.IntN(10) == 0 {
				s.after(time.Duration(s.rnd.Int64N(int64(3*time.Second))), func() { s.cancel(id) })
			}
		})
	}
	for range faults {
		s.after(time.Duration(s.rnd.Int64N(int64(span))), s.fault)
	}
	s.run(span)
	s.lateOrders, s.lostAnswers, s.storeDown, s.storeBusy = 0, 0, false, false
	for _, n := range s.nodes {
		n.cut, n.skew = false, 0
		clear(n.away)
	}
	// Late orders take up to 12 s, leases 6 s, and queued work its time.
	s.run(60 * time.Second)
	s.checkEnd()
	return s.wrong
}

// fault begins one random fault.
func (s *sim) fault() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	if s.rnd.IntN(2) == 0 {
		for _, o := range s.nodes {
			if o.owner {
				n = o
			}
		}
	}
	w := s.workers[s.rnd.IntN(len(s.workers))]
	d := 200*time.Millisecond + time.Duration(s.rnd.Int64N(int64(8*time.Second)))
	switch s.rnd.IntN(16) {
	case 15:
		n.skew = time.Duration(s.rnd.Int64N(int64(8*time.Second))) - 4*time.Second
		s.after(d, func() { n.skew = 0 })
	case 14:
		s.storm()
	case 13:
		s.cutZone(s.rnd.IntN(2), true)
		s.after(d, func() { s.cutZone(0, false) })
	case 12:
		w.stalledUntil = s.now.Add(3 * d)
	case 11:
		s.storeBusy = true
		s.after(d, func() { s.storeBusy = false })
	case 10:
		if len(s.workers)-s.gone > 5 && w.up {
			s.gone++
			w.leave()
		}
	case 0, 1:
		if n.alive {
			n.kill()
			s.after(d/4, n.start)
		}
	case 2:
		n.pause(d)
	case 3:
		n.cut = true
		s.after(d, func() { n.cut = false })
	case 4:
		if w.up {
			w.crash(d / 2)
		}
	case 5:
		n.away[w] = true
		s.after(d, func() { delete(n.away, w) })
	case 6:
		for _, o := range s.nodes {
			o.away[w] = true
			s.after(d, func() { delete(o.away, w) })
		}
	case 7:
		s.lateOrders = 0.2
		s.after(d, func() { s.lateOrders = 0 })
	case 8:
		s.lostAnswers = 0.4
		s.after(d, func() { s.lostAnswers = 0 })
	case 9:
		s.storeDown = true
		s.after(d, func() { s.storeDown = false })
	}
}

// storm brings ten versions of the configuration in a second. Instances learn of
// each at different times.
func (s *sim) storm() {
	for i := range 10 {
		s.after(time.Duration(i)*100*time.Millisecond, func() {
			next := *s.cfg
			next.Version++
			s.cfg = &next
			for _, n := range s.nodes {
				life := n.life
				s.after(time.Duration(s.rnd.Int64N(int64(300*time.Millisecond))), func() { n.send(life, ConfigChanged{Config: &next}) })
			}
		})
	}
}

// cutZone cuts every second instance from the store, and from the workers that
// the other instances reach, or heals that.
func (s *sim) cutZone(zone int, cut bool) {
	for i, n := range s.nodes {
		n.cut = cut && i%2 == zone
		for j, w := range s.workers {
			if cut && i%2 != j%2 {
				n.away[w] = true
			} else {
				delete(n.away, w)
			}
		}
	}
}

// checkEnd checks that every job has ended, and truthfully.
func (s *sim) checkEnd() {
	for id, j := range s.newest {
		v, known := s.nodes[0].cell.Job(id)
		if !known {
			s.fail("lost: %s is not known", id)
			continue
		}
		_, cancelled := s.truth.cancelled[id]
		switch v.State {
		case jobs.Completed:
			for i, st := range j.Steps {
				for k := range st.Tasks {
					if t := (jobs.TaskRef{Job: id, Step: i, Index: k}); !s.truth.doneAny[t] && !st.Gang {
						s.fail("mixed: %s is completed without %v", id, t)
					}
				}
			}
		case jobs.Failed:
			if j.Payload != "hopeless" && !s.usedUp(j) {
				s.fail("mixed: %s failed without cause", id)
			}
		case jobs.Cancelled:
			if !cancelled {
				s.fail("mixed: %s is cancelled without cause", id)
			}
		default:
			s.fail("stuck: %s of %s is %s", id, j.Queue, v.State)
		}
	}
}

// usedUp reports whether some task of a job, or a gang, has failed often enough.
func (s *sim) usedUp(j jobs.Job) bool {
	most := s.cfg.Queue(j.Queue).MaxAttempts
	for i, st := range j.Steps {
		gang := 0
		for k := range st.Tasks {
			f := s.truth.failures[jobs.TaskRef{Job: j.ID, Step: i, Index: k}]
			gang += f
			if f >= most {
				return true
			}
		}
		if st.Gang && gang >= most {
			return true
		}
	}
	return false
}

// TestHistories guards against tasks that run twice, above a worker's capacity,
// out of order, too often or not at all, whatever instances, workers and the
// store do. GENTIANPICK_SEED plays one seed, GENTIANPICK_SEEDS that many.
func TestHistories(t *testing.T) {
	first, count := uint64(1), 60
	if v := os.Getenv("GENTIANPICK_SEED"); v != "" {
		seed, err := strconv.ParseUint(v, 10, 64)
		is.New(t).NoErr(err)
		first, count = seed, 1
	} else if v := os.Getenv("GENTIANPICK_SEEDS"); v != "" {
		n, err := strconv.Atoi(v)
		is.New(t).NoErr(err)
		count = n
	}
	for i := range count {
		seed := first + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			for _, w := range history(seed, int(seed%12)) {
				t.Error(w)
			}
		})
	}
}
