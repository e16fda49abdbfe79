package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against a job whose progress becomes larger than a record of the store, whatever is
// known of its tasks: an append with it is never stored. Crash records made the progress of
// 9000 tasks too large.
func TestLargestProgressFitsInRecord(t *testing.T) {
	for _, shape := range jobShapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := New(Config{Name: "cell", Self: "vm-1", MaxLease: simLease})
			for i, j := range shape.make(jobs.MaxTasks, 0) {
				j.ID = jobs.ID(fmt.Sprintf("%016x", i+1))
				for s := range j.Steps {
					j.Steps[s].Checkpoints = true
				}
				is.NoErr(j.Validate())
				is.True(len(jobs.Encode(j)) <= jobs.MaxEntryBytes)
				c.jobAdded(j, 0)
				large := c.jobs[j.ID]
				c.activate(large)
				for _, g := range large.groups {
					g.run, g.failures, g.lastFailedRun = 1<<40, 1<<40, 1<<40
					for i := range g.tasks {
						name := fmt.Sprintf("%06d", i) + strings.Repeat("x", 249)
						c.newPlacement(g, i, c.getOrAddWorker(model.WorkerName(name)), 1<<40)
						task := &g.tasks[i]
						task.failures, task.lastFailedRun = 1<<40, 1<<40
						g.saveCheckpoint(i, fmt.Sprintf("%06d", i)+strings.Repeat("y", 122))
						task.crash = &jobs.CrashRecord{Crashes: 1 << 40, Presumed: 1 << 40, Blamed: 1 << 40, Suspect: true, AgeMs: 1 << 40}
					}
				}
				largest := 0
				for part := range large.partCount() {
					largest = max(largest, len(large.encodePart(part)))
				}
				t.Logf("%d parts, the largest of %d bytes", large.partCount(), largest)
				is.True(largest <= jobs.MaxEntryBytes)
			}
		})
	}
}

// Guards against an append that the store refuses for good since it is too large, which
// stopped the progress of all jobs: here after the crash of a worker under a job of
// thousands of tasks that last, whose crash records are stored.
func TestCrashUnderLargeJobIsStored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(1, 3, 8)
	s.reliableRuns = true
	s.run(3 * time.Second)
	large := jobs.Step{Tasks: 9000, Resources: model.Resources{MilliCPU: 4, MemoryMB: 1}, EstimateMs: 3_600_000, LongRunning: true}
	s.storeJob("00000000000000aa", "batch", large)
	s.run(12 * time.Second)
	running := func() (n int) {
		for _, w := range s.workers {
			n += len(w.runs)
		}
		return n
	}
	is.Equal(running(), large.Tasks)
	s.busiest("00000000000000aa").crash(4500 * time.Millisecond)
	s.run(10 * time.Second)
	is.Equal(running(), large.Tasks)
	s.owner().kill()
	s.run(10 * time.Second)
	is.Equal(running(), large.Tasks) // the successor knows all of them
	small := s.submitJob("urgent", "", 2, 100, 300)
	s.run(2 * time.Second)
	is.Equal(s.state(small), jobs.Completed)
	is.Equal(s.oversized, 0)
	is.Equal(s.violations, nil)
}

// Guards against an append of many submissions that is larger than the store takes.
func TestManyLargeSubmissionsAreStored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(1, 1, 8)
	s.reliableRuns = true
	s.run(3 * time.Second)
	steps := make([]jobs.Step, 12_000)
	for i := range steps {
		steps[i] = jobs.Step{Tasks: 1, Resources: model.Resources{MilliCPU: 1 << 39, MemoryMB: 1 << 39}, EstimateMs: 1 << 35}
	}
	const count = 20
	later := jobs.Schedule{Occurrences: 1, FirstMs: time.Duration(s.now).Milliseconds() + 3_600_000}
	for i := range count {
		j := jobs.Job{ID: jobs.ID(fmt.Sprintf("%016x", i+1)), Queue: "batch", Steps: steps, Schedule: later}
		value := jobs.Encode(j)
		is.True(len(value) <= jobs.MaxEntryBytes)
		s.submitted[j.ID] = j
		s.submitToOwner(Entry{Key: jobs.JobKey(j.ID), Value: value})
	}
	s.run(3 * time.Second)
	is.Equal(len(s.nodes[0].cell.jobs), count)
	is.Equal(len(s.store.submissions), 0) // all through the owner
	is.Equal(s.oversized, 0)
}

// Guards against progress that is lost or counted twice when a job of an earlier build, whose
// progress is one record, is taken over: it is divided.
func TestProgressOfEarlierBuildIsDivided(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 0, 4)
	s.reliableRuns, s.tasksPerPart = true, 10
	j := jobs.Job{ID: "00000000000000aa", Queue: "batch", Steps: []jobs.Step{{Tasks: 45, Resources: cores(1), EstimateMs: 500}}}
	p := jobs.Progress{State: jobs.Running, Groups: []jobs.GroupProgress{{}}}
	for i := range 30 {
		p.Groups[0].Done.Set(i)
		s.truth.done[jobs.TaskRef{Job: j.ID, Index: i}] = true
		s.truth.doneAcknowledged[jobs.TaskRef{Job: j.ID, Index: i}] = true
	}
	p.Groups[0].Tasks = []jobs.TaskProgress{{Index: 37, Run: 2, Failures: 1, FailedRun: 1}}
	s.submitted[j.ID] = j
	s.store.submissions = append(s.store.submissions, Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
	s.store.progress = append(s.store.progress, Entry{Key: jobs.ProgressKey(j.ID), Value: jobs.Encode(&p)})
	s.addNode(1)
	s.addNode(1)
	s.run(3 * time.Second)
	s.owner().kill()
	s.run(20 * time.Second)
	is.Equal(s.owner().cell.jobs[j.ID].storedState, jobs.Completed)
	is.Equal(s.violations, nil)
}
