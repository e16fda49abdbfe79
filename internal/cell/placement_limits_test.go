package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	policy "github.com/gentianpick/gentianpick/internal/policy/eligibility"
)

// quarantineBeside starts a job of long tasks, of which one may be on each worker, and then
// has one of the workers fail all that it starts until it is in quarantine.
func quarantineBeside(t *testing.T, s *sim, limited jobs.ID, tasks int) *simWorker {
	t.Helper()
	s.storeJob(limited, "batch", jobs.Step{Tasks: tasks, Resources: cores(1), EstimateMs: 60_000, MaxPerWorker: 1})
	s.run(time.Second)
	w := s.workers[0]
	w.failsUntil = s.now.Add(time.Minute)
	quarantined := false
	record := s.onLog
	s.onLog = func(l Log) {
		if record != nil {
			record(l)
		}
		quarantined = quarantined || l.Message == "worker quarantined" && l.Worker == w.name
	}
	for i := range 40 {
		s.storeJob(jobs.ID(fmt.Sprintf("%016x", i+1)), "batch", jobs.Step{Tasks: 4, Resources: cores(1), EstimateMs: 300})
		if s.run(200 * time.Millisecond); quarantined {
			return w
		}
	}
	t.Fatal("the worker was not quarantined")
	return nil
}

// Guards against a probe task that is started on a quarantined worker beside as many tasks
// of its step as may be there.
func TestProbeKeepsLimitOfTasksAtWorker(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithOwner(t, 1, 4)
	w := quarantineBeside(t, s, "00000000000000aa", 6)
	placed := 0
	record := s.onLog
	s.onLog = func(l Log) {
		record(l)
		if l.Message == "task placed" && l.Job == "00000000000000aa" && l.Worker == w.name {
			placed++
		}
	}
	s.run(10 * time.Second) // several probes are due
	is.Equal(s.violations, nil)
	is.Equal(placed, 0) // the worker holds one of its tasks
}

// Guards against starts on a worker that has restarted as another kind, while its directory
// entry is still that of its former process.
func TestRestartedWorkerIsNotTakenForItsFormerKind(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithOwner(t, 1, 1)
	w := s.workers[0]
	w.labels = []string{"kind-a"}
	w.announce()
	s.run(100 * time.Millisecond)
	w.crashAndBecome(100*time.Millisecond, []string{"kind-b"})
	s.storeJob("00000000000000aa", "batch", jobs.Step{Tasks: 2, Resources: cores(1), EstimateMs: 300, Label: "kind-a"})
	s.storeJob("00000000000000bb", "batch", jobs.Step{Tasks: 2, Resources: cores(1), EstimateMs: 300, Label: "kind-b"})
	s.run(10 * time.Second)
	is.Equal(s.violations, nil)
	v, _ := s.nodes[0].cell.Job("00000000000000bb")
	is.Equal(v.State, jobs.Completed)
}

// Guards against a start at a worker that no longer suits the step when the placement has
// been stored, which takes long while the store is slow.
func TestPlacementIsNotStartedOnWorkerThatNoLongerSuits(t *testing.T) {
	const id = "00000000000000aa"
	for _, c := range []struct {
		name   string
		step   jobs.Step
		change func(*sim, *simWorker)
	}{
		{"other label", jobs.Step{Tasks: 2, Label: "kind-a"}, func(_ *sim, w *simWorker) {
			w.labels = []string{"kind-b"}
			w.announce()
		}},
		{"other service", jobs.Step{Tasks: 2}, func(_ *sim, w *simWorker) {
			w.service = "svc-2"
			w.announce()
		}},
		{"run of another owner", jobs.Step{Tasks: 2, MaxPerWorker: 1}, func(s *sim, w *simWorker) {
			for i := range 2 { // one of them is placed here
				ref := jobs.TaskRef{Job: id, Index: i}
				if s.nodes[0].cell.workers[w.name].runs[ref] == nil {
					w.runs[ref] = &simRun{run: 1, need: cores(1), since: s.now, duration: time.Minute}
				}
			}
			w.stopDelay = 2 * time.Second
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, n := newSimWithOwner(t, 1, 2)
			for _, w := range s.workers {
				w.labels = []string{"kind-a"}
				w.announce()
			}
			s.run(100 * time.Millisecond)
			s.storeDelay = time.Second
			c.step.Resources, c.step.EstimateMs = cores(1), 1000
			s.storeJob(id, "batch", c.step)
			s.run(300 * time.Millisecond) // placed, and not stored
			for _, w := range s.workers {
				if len(n.cell.workers[w.name].runs) > 0 {
					c.change(s, w)
					break
				}
			}
			dropped := 0
			s.onLog = func(l Log) {
				if l.Reason == "worker no longer suits the step" {
					dropped++
				}
			}
			s.run(2 * time.Second)
			s.storeDelay = 0
			s.run(20 * time.Second)
			is.Equal(s.violations, nil)
			is.True(dropped > 0)
		})
	}
}

// Guards against workers in quarantine that never get a probe, and stay out of use, on a site
// whose queues all need permits: no eligibility call asked about them.
func TestQuarantinedWorkersGetProbesWherePermitsAreNeeded(t *testing.T) {
	is := is.New(t)
	s, n := newSimWithOwner(t, 1, 8)
	s.cfg = &jobs.Config{Version: 2, Queues: []jobs.Queue{{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 4, StretchFactor: 4,
		LatencyTarget: time.Second, Eligibility: jobs.Eligibility{Base: 9 * time.Millisecond, PermitTTL: 2500 * time.Millisecond}}}}
	n.send(n.incarnation, ConfigChanged{Config: s.cfg})
	for _, w := range s.workers[:2] {
		w.failsUntil = s.now.Add(5 * time.Second)
	}
	quarantined := map[model.WorkerName]bool{}
	s.onLog = func(l Log) {
		switch l.Message {
		case "worker quarantined":
			quarantined[l.Worker] = true
		case "worker released from quarantine":
			delete(quarantined, l.Worker)
		}
	}
	seen := 0
	for i := range 100 {
		s.storeJob(jobs.ID(fmt.Sprintf("%016x", i+1)), "batch", jobs.Step{Tasks: 4, Resources: cores(4), EstimateMs: 300})
		s.run(200 * time.Millisecond)
		seen = max(seen, len(quarantined))
	}
	is.Equal(seen, 2)
	is.Equal(quarantined, map[model.WorkerName]bool{})
	s.run(10 * time.Second)
	s.checkFinalStates()
	is.Equal(s.violations, nil)
}

// Guards against accepted jobs that wait for ever since the only workers that they can use
// are in quarantine, and neither gangs nor urgent tasks became probes.
func TestJobsStartOnQuarantinedWorkersThatTheyNeed(t *testing.T) {
	for _, c := range []struct {
		name, queue string
		step        jobs.Step
	}{
		{"gang", "gangs", jobs.Step{Tasks: 10, Resources: cores(5), EstimateMs: 500, Gang: true}},
		{"urgent", "urgent", jobs.Step{Tasks: 1, Resources: cores(2), EstimateMs: 500, Label: "kind-b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, n := newSimWithOwner(t, 1, 4)
			s.workers[0].labels = []string{"kind-b"}
			s.workers[0].announce()
			w := quarantineBeside(t, s, "00000000000000aa", 1)
			w.failsUntil = 0
			n.send(n.incarnation, JobCancelled{ID: "00000000000000aa"})
			s.run(3 * time.Second) // other work has ended
			s.storeJob("00000000000000bb", c.queue, c.step)
			s.run(20 * time.Second)
			v, _ := n.cell.Job("00000000000000bb")
			is.Equal(v.State, jobs.Completed)
			is.Equal(s.violations, nil)
		})
	}
}

// Guards against a step with a limit that needs several rounds of eligibility calls on an idle
// site, since each call asks about as many workers as tasks without a limit would need.
func TestStepWithLimitAsksAboutEnoughWorkers(t *testing.T) {
	const tasks = 40
	is := is.New(t)
	s, n := newLargeSite(1)
	st := loadStep{MilliCPU: 2000, MemoryMB: 1000}
	for range tasks {
		st.RunMs = append(st.RunMs, (5 * time.Second).Milliseconds())
	}
	s.load.queues[2].limited = 1
	id := s.load.add(s, n, 0, &loadJob{Queue: "booking", Steps: []loadStep{st}})
	job := s.submitted[id]
	job.Steps[0].MaxPerWorker = 1
	s.submitted[id] = job
	placed := 0
	record := s.onLog
	s.onLog = func(l Log) {
		record(l)
		if l.Message == "task placed" {
			placed++
		}
	}
	s.run(s.load.queueOf("booking").Eligibility.CallDuration(policy.MaxWorkers) + 200*time.Millisecond)
	t.Logf("%d tasks placed after one round of calls", placed)
	is.Equal(placed, tasks)
}

// Guards against accepted jobs that are never started since a configuration removed their
// queue, and against starts of them elsewhere than at its last service.
func TestJobsOfRemovedQueueRunAtItsLastService(t *testing.T) {
	is := is.New(t)
	s, n := newSimWithOwner(t, 2, 2)
	s.workers[0].service = "svc-2"
	s.workers[0].announce()
	const id = "00000000000000aa"
	second := jobs.Step{Tasks: 2, Resources: cores(1), EstimateMs: 300, After: []int{0}}
	j := jobs.Job{ID: id, Queue: "batch", Steps: []jobs.Step{{Tasks: 2, Resources: cores(1), EstimateMs: 1000}, second}}
	s.submitted[id] = j
	s.store.submissions = append(s.store.submissions, Entry{Key: jobs.JobKey(id), Value: jobs.Encode(j)})
	s.run(200 * time.Millisecond)
	for version := range int64(3) {
		next := &jobs.Config{Version: 2 + version, Queues: slices.Clone(s.cfg.Queues[:1])}
		for _, o := range s.nodes {
			o.send(o.incarnation, ConfigChanged{Config: next})
		}
	}
	s.run(10 * time.Second)
	v, _ := n.cell.Job(id)
	is.Equal(v.State, jobs.Completed)
	is.Equal(s.violations, nil)
}

// Guards against a run that an earlier owner started and that is taken for over while it goes
// on, since its worker registered after the change of owner and had no lease by this one.
func TestForeignRunAtLaterWorkerHoldsItsRoom(t *testing.T) {
	is := is.New(t)
	s, n := newSimWithOwner(t, 1, 1)
	s.storeJob("00000000000000aa", "batch", jobs.Step{Tasks: 2, Resources: cores(1), EstimateMs: 3000, MaxPerWorker: 1, Label: "kind-a"})
	s.run(time.Second)
	w := s.addWorker()
	w.labels, w.stopDelay = []string{"kind-a"}, 3*time.Second
	w.runs[jobs.TaskRef{Job: "00000000000000aa", Index: 1}] = &simRun{run: 1, need: cores(1), since: s.now, duration: time.Minute}
	w.announce()
	for n.cell.workers[w.name] == nil || !n.cell.workers[w.name].renewInFlight {
		s.run(time.Millisecond)
	}
	n.paused = true // the answer and the next tick are handled together
	s.run(900 * time.Millisecond)
	n.paused = false
	n.send(n.incarnation, append(n.heldEvents, n.tick())...)
	n.heldEvents = nil
	s.run(20 * time.Second)
	is.Equal(s.violations, nil)
}

// Guards against a run that is never stopped, not even when its job is cancelled, since the
// stored placement of its task has another run number.
func TestOtherRunThanInheritedOneIsStopped(t *testing.T) {
	const id = "00000000000000aa"
	is := is.New(t)
	s := newSim(1, 1, 1)
	s.storeJob(id, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 60_000})
	w := s.workers[0]
	p := jobs.Progress{State: jobs.Running, Groups: []jobs.GroupProgress{{Tasks: []jobs.TaskProgress{{Run: 2, Worker: w.name}}}}}
	s.store.progress = append(s.store.progress, Entry{Key: jobs.ProgressKey(id), Value: jobs.Encode(&p)})
	w.runs[jobs.TaskRef{Job: id}] = &simRun{run: 1, need: cores(1), since: s.now, duration: time.Hour}
	w.extend(model.WorkerTime(simLease))
	s.run(5 * time.Second)
	is.True(w.runs[jobs.TaskRef{Job: id}].run > 2) // stopped, and started again
	s.store.submissions = append(s.store.submissions, Entry{Key: jobs.CancelKey(id), Value: []byte("{}")})
	s.run(5 * time.Second)
	is.Equal(len(w.runs), 0)
	is.Equal(s.violations, nil)
}
