package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// configure publishes the next configuration with the given queues.
func (s *sim) configure(queues []jobs.Queue) {
	next := &jobs.Config{Version: s.cfg.Version + 1, Queues: queues}
	for i := range s.cfg.Queues {
		if q := s.cfg.Queues[i]; next.Queue(q.Name) == nil {
			if s.removedQueues == nil {
				s.removedQueues = map[string]*jobs.Queue{}
			}
			s.removedQueues[q.Name] = &q
		}
	}
	s.cfg = next
	for _, n := range s.nodes {
		n.send(n.incarnation, ConfigChanged{Config: next})
	}
}

// restartInTurn restarts all instances one after another.
func (s *sim) restartInTurn() {
	for _, n := range s.nodes {
		n.kill()
		s.run(time.Second)
		n.start()
		s.run(2 * time.Second)
	}
}

// Guards against a job that is shown as failed, or never runs again, since its queue was
// removed and the instances that knew it have ended: one failure of a task used up its
// attempts.
func TestJobOfRemovedQueueSurvivesRestartOfAllInstances(t *testing.T) {
	for _, added := range []bool{true, false} {
		name := "queue is removed"
		if added {
			name = "queue is added again"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newSimWithOwner(t, 3, 4)
			s.reliableRuns = true
			all := slices.Clone(s.cfg.Queues)
			const id = "00000000000000aa"
			for _, w := range s.workers {
				w.failsUntil = s.now.Add(2 * time.Second) // fails late in its run
			}
			s.storeJob(id, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 200_000})
			s.run(time.Second)
			s.configure(all[:1])
			s.run(time.Second)
			s.restartInTurn()
			ref := jobs.TaskRef{Job: id}
			for i := 0; s.truth.failures[ref] == 0; i++ {
				is.True(i < 100)
				s.run(time.Second)
			}
			s.run(2 * time.Second)
			is.Equal(s.state(id), jobs.Running)
			is.Equal(len(s.truth.running[ref]), 1) // at the queue's last service
			if added {
				s.configure(all)
				s.run(8 * time.Second)
				is.Equal(s.state(id), jobs.Running)
				is.True(!slices.Contains(s.latestKeys(), jobs.QueueKey("batch")))
			}
			is.Equal(s.violations, nil)
		})
	}
}

// Guards against a job that fails because no instance knows its queue, and against more runs
// than the queue allows once it is known.
func TestAttemptsOfUnknownQueueAreNotUsedUp(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithOwner(t, 1, 4)
	batch := *s.cfg.Queue("batch")
	p := jobs.Progress{State: jobs.Running, Groups: []jobs.GroupProgress{{Tasks: []jobs.TaskProgress{{Run: 2, Failures: 2, FailedRun: 2}}}}}
	for _, id := range []jobs.ID{"00000000000000aa", "00000000000000ab"} {
		p.Groups[0].Tasks[0].Failures = 1
		if id == "00000000000000ab" {
			p.Groups[0].Tasks[0].Failures = batch.MaxAttempts
		}
		j := jobs.Job{ID: id, Queue: "unknown", Steps: []jobs.Step{{Tasks: 1, Resources: cores(1), EstimateMs: 300}}}
		s.submitted[id] = j
		s.store.submissions = append(s.store.submissions, Entry{Key: jobs.JobKey(id), Value: jobs.Encode(j)})
		s.store.progress = append(s.store.progress, Entry{Key: jobs.ProgressKey(id), Value: jobs.Encode(&p)})
	}
	s.nodes[0].kill()
	s.nodes[0].start()
	s.run(10 * time.Second)
	for id := range s.submitted {
		v, _ := s.nodes[0].cell.Job(id)
		is.Equal(v.State, jobs.Running) // waits
	}
	batch.Name = "unknown"
	s.configure(append(slices.Clone(s.cfg.Queues), batch))
	s.run(5 * time.Second)
	v, _ := s.nodes[0].cell.Job("00000000000000aa")
	is.Equal(v.State, jobs.Completed)
	v, _ = s.nodes[0].cell.Job("00000000000000ab")
	is.Equal(v.State, jobs.Failed)
}
