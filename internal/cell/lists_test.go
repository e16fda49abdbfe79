package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// playFullLists runs a job of small tasks on workers that list few of their ended runs at a
// time. While more than that many ends of a worker wait, the disruption is played.
func playFullLists(t *testing.T, disrupt func(*sim, *simNode)) *sim {
	t.Helper()
	s, n := newSimWithOwner(t, 3, 4)
	s.listedEnds = 5
	s.storeJob("00000000000000aa", "batch", jobs.Step{Tasks: 200, Resources: model.Resources{MilliCPU: 10, MemoryMB: 1}, EstimateMs: 4000})
	most := func() (most int) {
		for _, w := range s.workers {
			most = max(most, len(w.unacknowledged))
		}
		return most
	}
	for i := 0; most() == 0; i++ {
		if i == 10_000 {
			t.Fatal("no run has ended")
		}
		s.run(time.Millisecond)
	}
	disrupt(s, n)
	if most() <= 2*s.listedEnds {
		t.Fatalf("only %d ends wait at a worker", most())
	}
	s.storeRefuses = false
	s.run(60 * time.Second)
	s.checkFinalStates()
	return s
}

// Guards against taking a run for lost whose end is not listed yet: a worker lists a few
// hundred of its ended runs at a time, and the next ones once these are acknowledged. After a
// short outage of the store, hundreds of tasks that were done were started again.
func TestRunBeyondListedEndsIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	s := playFullLists(t, func(s *sim, _ *simNode) {
		s.storeRefuses = true
		s.run(1600 * time.Millisecond)
	})
	is.Equal(s.violations, nil)
	is.Equal(s.nodes[0].cell.jobs["00000000000000aa"].storedState, jobs.Completed)
}

// Guards against the same mistake by a successor, which finds more ended runs at a worker
// than it lists at a time.
func TestSuccessorReadsAllEndsBeforeRunsAreStartedAgain(t *testing.T) {
	is := is.New(t)
	s := playFullLists(t, func(s *sim, owner *simNode) {
		s.storeRefuses = true
		s.run(1000 * time.Millisecond)
		owner.kill()
		s.storeRefuses = false
		s.after(5*time.Second, owner.start)
		s.run(300 * time.Millisecond)
	})
	is.Equal(s.violations, nil)
	is.Equal(s.nodes[0].cell.jobs["00000000000000aa"].storedState, jobs.Completed)
}

// Guards against the same mistake for a run that was told to stop: it may have been done
// before the stop arrived.
func TestStoppedRunBeyondListedEndsIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	s := playFullLists(t, func(s *sim, owner *simNode) {
		s.storeRefuses = true
		s.run(1200 * time.Millisecond)
		for _, w := range owner.cell.workerList {
			for _, p := range sortedPlacements(w) {
				owner.cell.stop(p, "test")
			}
		}
		s.run(400 * time.Millisecond)
	})
	is.Equal(s.violations, nil)
}
