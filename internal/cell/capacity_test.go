package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// resize changes a worker's capacity, which the instances learn of from its directory
// entry.
func (s *sim) resize(w *simWorker, milliCPU int64, delay time.Duration) {
	if s.now.Sub(w.resizedAt) >= resizeNotice {
		w.capacityBefore = w.capacity
	}
	w.capacityBefore, w.resizedAt = w.capacityBefore.Max(w.capacity), s.now
	w.capacity.MilliCPU = milliCPU
	for _, n := range s.nodes {
		s.after(delay, func() { n.send(n.incarnation, WorkerRegistered{Info: w.info()}) }) // entries are read in order
	}
}

// TestPlacementIsNotStartedOnWorkerThatShrank guards against a start on a worker whose
// capacity has shrunk since the task was placed: the placement is stored first, which
// takes long while the store is slow.
func TestPlacementIsNotStartedOnWorkerThatShrank(t *testing.T) {
	is := is.New(t)
	s, n := newSimWithOwner(t, 1, 2)
	s.storeDelay = time.Second
	s.storeJob("00000000000000c1", "batch", jobs.Step{Tasks: 6, Resources: cores(2), EstimateMs: 1000})
	s.run(300 * time.Millisecond) // placed on one worker, and not stored
	var planned *simWorker
	for name, w := range n.cell.workers {
		if len(w.runs) > 0 {
			planned = s.worker(name)
		}
	}
	is.True(planned != nil)
	shrunk := 0
	s.onLog = func(l Log) {
		if l.Reason == "worker has shrunk" {
			shrunk++
		}
	}
	s.resize(planned, 4000, 0)
	s.run(2 * time.Second)
	s.storeDelay = 0
	s.run(20 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(shrunk, 4) // of six tasks, of which two fit
	v, _ := n.cell.Job("00000000000000c1")
	is.Equal(v.State, jobs.Completed)
}

// TestShrunkWorkerGetsNoMoreThanItHolds guards against placing by the capacity that a
// worker had before, and against a worker that is not used again after it has grown.
func TestShrunkWorkerGetsNoMoreThanItHolds(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithOwner(t, 2, 1)
	w := s.workers[0]
	s.storeJob("00000000000000c2", "batch", jobs.Step{Tasks: 10, Resources: cores(1), EstimateMs: 3000})
	s.run(time.Second)
	is.Equal(len(w.runs), 10)
	s.resize(w, 5000, 0)
	s.storeJob("00000000000000c3", "batch", jobs.Step{Tasks: 8, Resources: cores(1), EstimateMs: 1000})
	s.run(200 * time.Millisecond)
	if o := s.owner(); o != nil { // the next owner knows the present capacity as well
		o.kill()
	}
	s.run(20 * time.Second)
	is.Equal(s.violations, nil)
	s.resize(w, 16000, 0)
	s.storeJob("00000000000000c4", "batch", jobs.Step{Tasks: 12, Resources: cores(1), EstimateMs: 2000})
	s.run(time.Second)
	is.Equal(len(w.runs), 12)
}
