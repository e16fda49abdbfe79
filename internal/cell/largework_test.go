package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// enlarge replaces some jobs by ones of a shape that strains the scheduler.
func (s *sim) enlarge(j *jobs.Job) {
	step := func(tasks int, cpu, ms int64, after ...int) jobs.Step {
		return jobs.Step{Tasks: tasks, Resources: model.Resources{MilliCPU: cpu, MemoryMB: 10}, EstimateMs: ms, After: after}
	}
	if s.cfg.Queue("batch") == nil {
		return // removed: it takes no jobs
	}
	switch s.rnd.IntN(10) {
	case 0:
		j.Queue, j.Steps = "batch", []jobs.Step{step(2+s.rnd.IntN(4), 15000, 800)}
	case 1:
		j.Queue, j.Steps = "batch", []jobs.Step{step(2, 500, 300), step(1, 500, 300, 0)}
		j.Schedule = jobs.Schedule{Occurrences: 2 + s.rnd.IntN(12), FirstMs: time.Duration(s.now).Milliseconds() + s.rnd.Int64N(3000), IntervalMs: s.rnd.Int64N(400)}
	case 2:
		j.Queue, j.Steps = "batch", []jobs.Step{step(1+s.rnd.IntN(4), 1500, 3_600_000)}
		j.Steps[0].LongRunning = true
	case 3:
		j.Queue, j.Steps = "batch", nil
		for i := range 10 {
			j.Steps = append(j.Steps, step(1, 200, 200))
			if i > 2 {
				j.Steps[i].After = []int{i - 3, i - 1}
			}
		}
	case 4:
		j.Queue, j.Steps = "batch", []jobs.Step{step(60, 20, 1000)}
	}
}

// removeAndAddQueue removes a queue from the configuration and adds it again after a while in
// which instances may restart.
func (s *sim) removeAndAddQueue() {
	all := slices.Clone(s.cfg.Queues)
	s.configure(slices.DeleteFunc(slices.Clone(all), func(q jobs.Queue) bool { return q.Name == "batch" }))
	s.after(time.Second+time.Duration(s.rnd.Int64N(int64(12*time.Second))), func() { s.configure(all) })
}

// cancelLasting cancels the jobs with tasks that last.
func (s *sim) cancelLasting() {
	for id, j := range s.submitted {
		if _, cancelled := s.truth.cancelled[id]; !cancelled && slices.ContainsFunc(j.Steps, func(st jobs.Step) bool { return st.LongRunning }) {
			s.store.submissions = append(s.store.submissions, Entry{Key: jobs.CancelKey(id), Value: []byte("{}")})
			s.truth.cancelled[id] = s.now
		}
	}
}

// TestHistoriesWithLargeWork guards against work that is lost, doubled or never done because
// of its shape: tasks of nearly a whole worker, occurrences, chains, many tasks whose progress
// takes several records, tasks that last, and queues that are removed and added again while
// instances restart.
func TestHistoriesWithLargeWork(t *testing.T) {
	runHistories(t, 30, historyOptions{largeWork: true})
}
