package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against work that is accepted and never starts on an idle site: all waiting tasks of
// a step together left too few places for urgent work, so each of them had to leave room on
// its worker, which no worker of the site has beside a task of nearly its size.
func TestTasksOfNearlyAWholeWorkerStartOnIdleSite(t *testing.T) {
	step := func(tasks int, milliCPU int64) jobs.Step {
		return jobs.Step{Tasks: tasks, Resources: model.Resources{MilliCPU: milliCPU, MemoryMB: 64}, EstimateMs: 1000}
	}
	labelled := step(3, 7900)
	labelled.Label = "small"
	for _, c := range []struct {
		name    string
		workers int
		queue   string
		urgent  int64 // CPU of the tasks of earlier urgent jobs, in thousandths of a core
		steps   []jobs.Step
	}{
		{"beside earlier urgent work", 22, "batch", 8100, []jobs.Step{step(9, 15000)}},
		{"as many tasks as workers", 8, "batch", 0, []jobs.Step{step(8, 15000)}},
		{"more tasks than workers", 4, "batch", 1400, []jobs.Step{step(12, 15900)}},
		{"two steps at once", 8, "batch", 1400, []jobs.Step{step(8, 15000), step(8, 14600)}},
		{"small workers with a label", 8, "batch", 1400, []jobs.Step{labelled}},
		{"where permits are needed", 8, "permits", 1400, []jobs.Step{step(8, 15000)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(1, 0, c.workers)
			s.reliableRuns = true
			for _, w := range s.workers[:min(2, c.workers)] {
				w.labels = []string{"small"}
				w.capacity.MilliCPU = 16000
				if c.steps[0].Label != "" {
					w.capacity.MilliCPU = 8000
				}
			}
			permits := s.cfg.Queues[1]
			permits.Name, permits.Eligibility = "permits", s.cfg.Queues[0].Eligibility
			s.cfg.Queues = append(s.cfg.Queues, permits)
			s.addNode(1)
			s.run(3 * time.Second)
			for i := range 5 {
				if c.urgent > 0 {
					s.storeJob(jobs.ID(fmt.Sprintf("%016x", 1+i)), "urgent", jobs.Step{Tasks: 2, Resources: model.Resources{MilliCPU: c.urgent, MemoryMB: 64}, EstimateMs: 100})
				}
			}
			s.run(3 * time.Second)
			j := jobs.Job{ID: "00000000000000aa", Queue: c.queue, Steps: c.steps}
			s.submitted[j.ID] = j
			s.store.submissions = append(s.store.submissions, Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
			s.run(3 * time.Second)
			v, _ := s.nodes[0].cell.Job(j.ID)
			is.True(v.State != jobs.Queued)
			s.run(20 * time.Second)
			s.checkFinalStates()
			is.Equal(s.violations, nil)
		})
	}
}
