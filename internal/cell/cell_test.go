package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// owned returns a simulation with one owner among its instances.
func owned(t *testing.T, nodes, workers int) (*sim, *simNode) {
	t.Helper()
	s := newSim(1, nodes, workers)
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		if n.cell.ownerReady {
			return s, n
		}
	}
	t.Fatal("no owner")
	return nil, nil
}

// put stores a job of one step.
func (s *sim) put(id jobs.ID, queue string, step jobs.Step) {
	j := jobs.Job{ID: id, Queue: queue, Steps: []jobs.Step{step}}
	s.newest[id] = j
	s.store.subs = append(s.store.subs, Entry{Key: jobs.JobKey(id), Value: jobs.Encode(j)})
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: 1000 * n, MemoryMB: 1000} }

// A job that was cancelled between its placement and the append of it gave its
// room back twice, so that the worker was given more than it has.
func TestCancelBeforeStartGivesRoomBackOnce(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	s.put("00000000000000aa", "batch", jobs.Step{Tasks: 2, Resources: cores(4), EstimateMs: 1000})
	for len(n.cell.workerList[0].runs) == 0 {
		s.run(time.Millisecond)
	}
	n.send(n.life, JobCancelled{ID: "00000000000000aa"})
	s.run(3 * time.Second)
	is.Equal(len(n.cell.workerList[0].runs), 0)
	is.Equal(n.cell.workerList[0].used, model.Resources{})
}

// A new owner that had not read a submission yet ignored and acknowledged the
// end of its run, and ran the task again.
func TestTakeoverKnowsEveryJob(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := newSim(seed, 3, 4)
		s.run(3 * time.Second)
		for i := range 100 {
			s.after(time.Duration(i)*20*time.Millisecond, func() {
				id := jobs.ID(fmt.Sprintf("%016x", i))
				s.put(id, "urgent", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 100})
			})
		}
		s.run(time.Second)
		for _, n := range s.nodes {
			if n.owner {
				n.drain() // the successor claims at once
			}
		}
		s.run(10 * time.Second)
		is.Equal(s.wrong, nil) // none ran twice
	}
}

// The smallest VM owned the cell for good because it was the first to claim it,
// or claimed it again before the others had read that it had made way.
func TestWeakOwnerMakesWay(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		s := newSim(seed, 0, 4)
		weak := s.addNode(0.2)
		s.run(2 * time.Second)
		is.True(weak.cell.ownerReady) // there was no other
		strong := s.addNode(0.8)
		s.run(time.Second)
		for i := range 40 {
			s.after(time.Duration(i)*200*time.Millisecond, func() {
				s.put(jobs.ID(fmt.Sprintf("%016x", i+1)), "urgent", jobs.Step{Tasks: 2, Resources: cores(1), EstimateMs: 300})
			})
		}
		weak.send(weak.life, InstanceChanged{Name: strong.cell.cfg.Self, Up: true, Cores: strong.cores})
		s.run(2 * time.Second)
		is.True(weak.owner) // the other may be about to restart
		s.run(4 * time.Second)
		is.True(strong.owner && !weak.owner)
		strong.kill()
		s.run(3 * time.Second)
		is.True(weak.owner) // better than none
		strong.start()
		s.run(20 * time.Second)
		s.checkEnd()
		is.Equal(s.wrong, nil)
	}
}

// An owner with a link that is too narrow for its workers was late with all its
// calls, while a VM with a wider link stood by.
func TestOwnerWithNarrowLinkMakesWay(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 0, 4)
	narrow := s.addLinkedNode(0.8, 10_000) // four workers need more
	s.run(2 * time.Second)
	is.True(narrow.cell.ownerReady) // there was no other
	small, wide := s.addNode(0.2), s.addLinkedNode(0.8, 1_000_000)
	s.run(time.Second)
	for _, n := range []*simNode{small, wide} {
		narrow.send(narrow.life, InstanceChanged{Name: n.cell.cfg.Self, Up: true, Cores: n.cores, Bandwidth: n.link.rate()})
	}
	s.run(5 * time.Second)
	is.True(wide.owner && !narrow.owner && !small.owner)
	wide.send(wide.life, InstanceChanged{Name: narrow.cell.cfg.Self, Up: true, Cores: narrow.cores, Bandwidth: narrow.link.rate()})
	s.run(10 * time.Second)
	is.True(wide.owner) // not back
	s.checkEnd()
	is.Equal(s.wrong, nil)
}

// The waits of claims were counted from the owner's newest entry. Where its
// silence or the loss of the link was noticed later than that, all waits were
// over, and a VM with little processor claimed beside the others.
func TestWaitOfClaimBeginsWithSuspicion(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSim(seed, 0, 4)
		weak := []*simNode{s.addNode(0.2), s.addNode(0.2), s.addNode(0.2)}
		strong := []*simNode{s.addNode(0.8), s.addNode(0.8)}
		s.run(2 * time.Second)
		owns := func() *simNode {
			for _, n := range strong {
				if n.owner {
					return n
				}
			}
			return nil
		}
		first := owns()
		is.True(first != nil) // of a new cell
		for _, n := range append(weak, strong...) {
			n.send(n.life, OwnerLinkChanged{Up: true})
		}
		first.kill()
		s.run(900 * time.Millisecond)
		for _, n := range append(weak, strong...) {
			if n != first {
				n.send(n.life, OwnerLinkChanged{}) // noticed by all at the same moment
			}
		}
		s.run(time.Second)
		second := owns()
		is.True(second != nil && second != first)
		for _, n := range append(weak, strong...) {
			if n != first {
				n.send(n.life, OwnerLinkChanged{Up: true})
			}
		}
		s.run(time.Second)
		is.True(second.owner)
		for _, n := range weak {
			is.True(!n.owner)
		}
	}
}

// The end of a run that was stopped was logged with the time since the stop, so
// that the log did not show how much work was lost.
func TestAgeOfStoppedRun(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	s.put("00000000000000aa", "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 20000})
	ended := false
	s.onLog = func(l Log) {
		if l.Message == "run ended" && l.Outcome == string(jobs.OutcomeStopped) {
			ended = true
			is.True(l.Age > 2*time.Second)
		}
	}
	s.run(4 * time.Second)
	n.send(n.life, JobCancelled{ID: "00000000000000aa"})
	s.run(2 * time.Second)
	is.True(ended)
}

// The end of a run that an earlier owner had started was logged with the age of
// the VM.
func TestAgeOfInheritedRun(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 2, 1)
	s.put("00000000000000aa", "batch", jobs.Step{Tasks: 4, Resources: cores(1), EstimateMs: 1000})
	s.run(600 * time.Millisecond)
	ended := 0
	s.onLog = func(l Log) {
		if l.Message == "run ended" {
			ended++
			is.True(l.Age < 10*time.Second)
		}
	}
	n.kill()
	s.run(10 * time.Second)
	is.True(ended >= 4)
}

// The room of runs that a finished job still had was not known to the next
// owner, which then gave the worker more than it has.
func TestTakeoverCountsRunsOfFinishedJobs(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 2, 1)
	s.put("00000000000000cc", "batch", jobs.Step{Tasks: 1, Resources: cores(12), EstimateMs: 20000})
	s.run(time.Second)
	w := s.workers[0]
	is.Equal(len(w.runs), 1)
	n.away[w] = true // the stop does not get through
	s.cancel("00000000000000cc")
	s.run(time.Second)
	is.Equal(n.cell.jobs["00000000000000cc"].storedState, jobs.Cancelled)
	n.kill()
	s.put("00000000000000cd", "urgent", jobs.Step{Tasks: 2, Resources: cores(6), EstimateMs: 500})
	s.run(10 * time.Second)
	is.Equal(s.wrong, nil)
}

// A stop that was accepted again and again moved the time after which the
// worker's list counts, so that the run was never found to be over.
func TestStopOfLostStartIsSettled(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	s.lateOrders = 1
	s.put("00000000000000dd", "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 300})
	s.run(time.Second)
	s.lateOrders = 0
	s.run(30 * time.Second)
	v, _ := n.cell.Job("00000000000000dd")
	is.Equal(v.State, jobs.Completed)
	is.Equal(s.wrong, nil)
}

// A job whose only start was refused counted as begun, so that the queue said
// that nothing waits.
func TestRefusedStartIsNoBeginning(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	s.lateOrders = 1
	s.put("00000000000000ee", "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 300})
	s.run(200 * time.Millisecond)
	is.Equal(n.cell.WaitingJobs("batch"), 1)
}

// Renewals that had no answer extended the lease of a worker that was gone, so
// that its runs were never given up.
func TestRunsOfGoneWorkerAreGivenUp(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 2)
	s.put("00000000000000fa", "batch", jobs.Step{Tasks: 20, Resources: cores(1), EstimateMs: 2000})
	s.run(500 * time.Millisecond)
	s.workers[0].leave()
	s.run(20 * time.Second)
	v, _ := n.cell.Job("00000000000000fa")
	is.Equal(v.State, jobs.Completed)
	is.Equal(s.wrong, nil)
}

// A store that refuses appends left every submission in doubt until its
// deadline, after which callers may not try again.
func TestOffersAreRefusedWhileStoreIsOut(t *testing.T) {
	for name, out := range map[string]func(s *sim){
		"busy":   func(s *sim) { s.storeBusy = true },
		"silent": func(s *sim) { s.storeDown = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, n := owned(t, 1, 2)
			out(s)
			s.run(800 * time.Millisecond) // the heartbeat has no answer
			j := jobs.Job{ID: "00000000000000ab", Queue: "urgent", Steps: []jobs.Step{{Tasks: 1, Resources: cores(1), EstimateMs: 300}}}
			s.newest[j.ID] = j
			var got *RequestAnswered
			s.offers[1] = func(o RequestAnswered) { got = &o }
			n.send(n.life, SubmitRequested{RequestID: 1, Job: j, Value: jobs.Encode(j)})
			s.run(100 * time.Millisecond)
			is.True(got != nil && !got.Stored && !got.InDoubt)
			s.storeBusy, s.storeDown = false, false
			s.run(5 * time.Second)
			_, known := n.cell.Job(j.ID)
			is.True(!known) // refused is refused
			is.Equal(s.wrong, nil)
		})
	}
}

// Offers that waited behind the first slow append were refused although the
// store answered every call. Their instances then stored them themselves, and
// the jobs came seconds later.
func TestOffersWaitForSlowStore(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 2)
	s.storeSlow = 800 * time.Millisecond
	for n.cell.inFlight == nil || n.cell.now.Sub(n.cell.inFlight.sentAt) < 300*time.Millisecond {
		s.run(time.Millisecond) // until the append of a heartbeat is under way
	}
	settled := 0
	for i := range 5 {
		j := jobs.Job{ID: jobs.ID(fmt.Sprintf("%016x", i+1)), Queue: "urgent", Steps: []jobs.Step{{Tasks: 1, Resources: cores(1), EstimateMs: 300}}}
		s.newest[j.ID] = j
		ticket := uint64(i + 1)
		s.offers[ticket] = func(o RequestAnswered) {
			is.True(o.Stored)
			settled++
		}
		n.send(n.life, SubmitRequested{RequestID: ticket, Job: j, Value: jobs.Encode(j)})
		s.run(100 * time.Millisecond)
	}
	s.run(2 * time.Second)
	is.Equal(settled, 5)
}

// An append that was under way while a worker started again made the owner
// acknowledge the ends of the new life by the numbers of the old one, unseen.
func TestRestartedWorkerCountsItsEndsAnew(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	w := n.cell.workerList[0]
	w.seenEndSeq = 24
	n.cell.inFlight = &pendingAppend{seq: 99, sentAt: s.now, ends: map[*worker]endMark{w: {boot: w.boot, seq: 24}}}
	n.cell.workerRestarted(w)
	w.boot++
	n.cell.appended(Appended{Seq: 99, SentAt: s.now})
	is.Equal(w.storedEndSeq, int64(0))
}

// A submission that the owner was about to refuse, and that its instance had
// stored itself meanwhile, was forgotten.
func TestRefusedOfferThatWasStoredDirectly(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 2)
	s.storeBusy = true
	j := jobs.Job{ID: "00000000000000ac", Queue: "urgent", Steps: []jobs.Step{{Tasks: 1, Resources: cores(1), EstimateMs: 300}}}
	s.newest[j.ID] = j
	n.send(n.life, SubmitRequested{RequestID: 1, Job: j, Value: jobs.Encode(j)})
	s.store.subs = append(s.store.subs, Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
	s.run(time.Second)
	s.storeBusy = false
	s.run(10 * time.Second)
	v, _ := n.cell.Job(j.ID)
	is.Equal(v.State, jobs.Completed)
}

// Tasks at a worker that stands still were waited for until their caller had
// long given up.
func TestRunsOfStalledWorkerAreMoved(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 3)
	s.workers[0].stalledUntil = s.now.Add(time.Hour)
	for i := range 5 {
		s.put(jobs.ID(fmt.Sprintf("00000000000001%02d", i)), "batch", jobs.Step{Tasks: 8, Resources: cores(1), EstimateMs: 800})
	}
	s.run(12 * time.Second)
	for i := range 5 {
		v, _ := n.cell.Job(jobs.ID(fmt.Sprintf("00000000000001%02d", i)))
		is.Equal(v.State, jobs.Completed)
	}
	is.Equal(s.wrong, nil)
}

// Runs at a worker that was cut off for a while looked as if they stood still,
// and were stopped when it was back.
func TestRunsOfCutOffWorkerAreKept(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	s.onLog = func(l Log) {
		if l.Message == "stop sent" || l.Message == "run lost" {
			t.Errorf("%s: %v run %d, %s", l.Message, l.Task, l.Run, l.Reason)
		}
	}
	s.put("00000000000000fb", "batch", jobs.Step{Tasks: 4, Resources: cores(1), EstimateMs: 9000})
	s.run(time.Second)
	n.away[s.workers[0]] = true
	s.run(4 * time.Second)
	delete(n.away, s.workers[0])
	s.run(time.Second)
	is.Equal(len(n.cell.workerList[0].runs), len(s.workers[0].runs))
	for _, p := range n.cell.workerList[0].runs {
		is.Equal(p.phase, phaseRunning)
		is.Equal(p.run, 1) // neither stopped nor lapsed
	}
}

// A run that a restarted worker had begun in its new life was taken for one of
// its old life, and started a second time.
func TestRunsOfNewLifeAreKept(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 2)
	w := s.workers[0]
	n.away[s.workers[1]] = true
	s.run(time.Second)
	w.crash(time.Millisecond)
	s.run(2 * time.Millisecond)
	s.put("00000000000000bc", "batch", jobs.Step{Tasks: 4, Resources: cores(1), EstimateMs: 2000})
	s.run(10 * time.Second)
	v, _ := n.cell.Job("00000000000000bc")
	is.Equal(v.State, jobs.Completed)
	is.Equal(s.wrong, nil)
}

// Two instances that claimed at the same end of the stream must not both win.
func TestOneClaimWins(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		s := newSim(seed, 5, 2)
		s.run(2 * time.Second)
		owners := 0
		for _, n := range s.nodes {
			if n.cell.IsOwner() {
				owners++
			}
		}
		is.Equal(owners, 1)
	}
}

// The checks of the simulation must see what they are there for.
func TestChecksRejectWrongHistories(t *testing.T) {
	start := func(w *simWorker, task jobs.TaskRef, run int) {
		w.start(Start{Worker: w.name, Epoch: 1, Task: task, Run: run, LeaseUntil: w.clock() + model.WorkerTime(simLease)})
	}
	job := jobs.ID("00000000000000ff")
	first := jobs.TaskRef{Job: job}
	for name, plant := range map[string]func(s *sim){
		"two at the same time": func(s *sim) {
			start(s.workers[0], first, 1)
			start(s.workers[1], first, 2)
		},
		"after it was done": func(s *sim) {
			s.truth.done[first] = true
			start(s.workers[0], first, 2)
		},
		"above capacity": func(s *sim) {
			start(s.workers[0], first, 1)
			start(s.workers[0], jobs.TaskRef{Job: job, Index: 1}, 1)
		},
		"before its predecessors": func(s *sim) { start(s.workers[0], jobs.TaskRef{Job: job, Step: 1}, 1) },
		"too many attempts": func(s *sim) {
			s.truth.noted[first] = 4
			start(s.workers[0], first, 5)
		},
		"after its cancellation": func(s *sim) {
			s.truth.cancelled[job] = s.now.Add(-4 * time.Second)
			start(s.workers[0], first, 1)
		},
		"a job that is lost": func(s *sim) { s.checkEnd() },
		"a job that stays": func(s *sim) {
			s.nodes[0].cell.jobs[job] = &cellJob{id: job, state: jobs.Running, storedState: jobs.Running}
			s.checkEnd()
		},
		"completed without its tasks": func(s *sim) {
			s.nodes[0].cell.jobs[job] = &cellJob{id: job, state: jobs.Completed, storedState: jobs.Completed}
			s.checkEnd()
		},
		"failed without cause": func(s *sim) {
			s.nodes[0].cell.jobs[job] = &cellJob{id: job, state: jobs.Failed, storedState: jobs.Failed}
			s.checkEnd()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(1, 1, 2)
			s.newest[job] = jobs.Job{ID: job, Queue: "batch", Steps: []jobs.Step{
				{Tasks: 2, Resources: cores(10), EstimateMs: 1000}, {Tasks: 1, Resources: cores(1), EstimateMs: 1000, After: []int{0}},
			}}
			plant(s)
			is.True(len(s.wrong) > 0)
		})
	}
}

// cellJob is the type job, which the tests' variables hide.
type cellJob = job
