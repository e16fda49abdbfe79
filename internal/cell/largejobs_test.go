package cell

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// jobShape makes jobs with a given number of tasks in all.
type jobShape struct {
	name string
	// make returns the jobs; now is in Unix milliseconds.
	make func(tasks int, nowMs int64) []jobs.Job
	// lasts says that the jobs don't end: the tasks last, or are due later.
	lasts bool
}

// smallStep returns a step of small tasks.
func smallStep(tasks int, after ...int) jobs.Step {
	return jobs.Step{Tasks: tasks, Resources: model.Resources{MilliCPU: 10, MemoryMB: 1}, EstimateMs: 100, After: after}
}

func oneJob(steps []jobs.Step, s jobs.Schedule) []jobs.Job {
	return []jobs.Job{{Steps: steps, Schedule: s}}
}

// jobShapes are the shapes of large jobs that are accepted.
var jobShapes = []jobShape{
	{name: "occurrences", lasts: true, make: func(n int, nowMs int64) []jobs.Job {
		return oneJob([]jobs.Step{smallStep(1)}, jobs.Schedule{Occurrences: n, FirstMs: nowMs + 60_000, IntervalMs: 60_000})
	}},
	{name: "occurrences due in quick succession", make: func(n int, nowMs int64) []jobs.Job {
		return oneJob([]jobs.Step{smallStep(1)}, jobs.Schedule{Occurrences: n, FirstMs: nowMs + 2000, IntervalMs: 1})
	}},
	{name: "occurrences of several steps", make: func(n int, nowMs int64) []jobs.Job {
		return oneJob([]jobs.Step{smallStep(2), smallStep(2, 0), smallStep(1, 0, 1)}, jobs.Schedule{Occurrences: n / 5, FirstMs: nowMs, IntervalMs: 5})
	}},
	{name: "steps", make: func(n int, _ int64) []jobs.Job {
		steps := make([]jobs.Step, n)
		for i := range steps {
			steps[i] = smallStep(1)
		}
		return oneJob(steps, jobs.Schedule{})
	}},
	{name: "chains", make: func(n int, _ int64) []jobs.Job {
		const chains = 500
		steps := make([]jobs.Step, n)
		for i := range steps {
			steps[i] = smallStep(1)
			if i >= chains {
				steps[i].After = []int{i - chains}
			}
		}
		return oneJob(steps, jobs.Schedule{})
	}},
	{name: "fan-out", make: func(n int, _ int64) []jobs.Job {
		steps := []jobs.Step{smallStep(1)}
		for len(steps) < n {
			steps = append(steps, smallStep(1, 0))
		}
		return oneJob(steps, jobs.Schedule{})
	}},
	{name: "fan-in", make: func(n int, _ int64) []jobs.Job {
		var steps []jobs.Step
		var all []int
		for i := range n - 1 {
			steps, all = append(steps, smallStep(1)), append(all, i)
		}
		return oneJob(append(steps, smallStep(1, all...)), jobs.Schedule{})
	}},
	{name: "one step", make: func(n int, _ int64) []jobs.Job {
		return oneJob([]jobs.Step{smallStep(n)}, jobs.Schedule{})
	}},
	{name: "gang", make: func(n int, _ int64) []jobs.Job {
		s := smallStep(n - 1)
		s.Gang, s.Checkpoints = true, true
		return oneJob([]jobs.Step{s, smallStep(1, 0)}, jobs.Schedule{})
	}},
	{name: "tasks that last", lasts: true, make: func(n int, _ int64) []jobs.Job {
		s := smallStep(n)
		s.LongRunning, s.EstimateMs = true, 3_600_000
		return oneJob([]jobs.Step{s}, jobs.Schedule{})
	}},
	{name: "many jobs", make: func(n int, nowMs int64) []jobs.Job {
		var out []jobs.Job
		for i := range 10 {
			steps := make([]jobs.Step, n/10)
			for s := range steps {
				steps[s] = smallStep(1)
			}
			j := jobs.Job{Steps: steps}
			if i%2 == 1 {
				j = jobs.Job{Steps: steps[:1], Schedule: jobs.Schedule{Occurrences: n / 10, FirstMs: nowMs, IntervalMs: 1}}
			}
			out = append(out, j)
		}
		return out
	}},
}

// stepCost is what an owner's reducer has spent on its events.
type stepCost struct {
	longest, total time.Duration
	steps          int
}

// playLargeJob runs the jobs of a shape on an idle site and returns the owner's cost.
func playLargeJob(t testing.TB, shape jobShape, tasks int, onOwner func(*sim, *simNode)) (*sim, *simNode, stepCost) {
	t.Helper()
	s := newSim(1, 1, 24)
	s.run(3 * time.Second)
	n := s.nodes[0]
	if !n.cell.ownerReady {
		t.Fatal("the instance is not the owner")
	}
	s.reliableRuns = true
	var cost stepCost
	n.onStep = func(d time.Duration) {
		cost.steps++
		cost.total += d
		cost.longest = max(cost.longest, d)
	}
	for i, j := range shape.make(tasks, time.Duration(s.now).Milliseconds()) {
		j.ID, j.Queue = jobs.ID(fmt.Sprintf("%016x", i+1)), "batch"
		if err := j.Validate(); err != nil {
			t.Fatal(err)
		}
		s.submitted[j.ID] = j
		s.submitToOwner(Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
	}
	if onOwner != nil {
		onOwner(s, n)
	}
	const observed = 20 // seconds, of jobs that don't end
	for i := range 300 {
		s.run(time.Second)
		if shape.lasts && i == observed || !shape.lasts && s.allDone() {
			return s, n, cost
		}
	}
	t.Fatalf("%s of %d tasks is not done after %v", shape.name, tasks, time.Duration(s.now))
	return s, n, cost
}

// allDone reports whether the store holds the end of every job.
func (s *sim) allDone() bool {
	for _, j := range s.nodes[0].cell.jobs {
		if !j.storedState.Final() {
			return false
		}
	}
	return len(s.nodes[0].cell.jobs) > 0
}

// Guards against a cost that grows faster than a job: to find the groups that may start, all
// groups of a job were looked at on each tick for each occurrence that was not due. A job with
// 1440 occurrences kept the owner busy for good, and each successor too. All tasks of a gang
// were looked at for each member, which took seconds.
func TestLargeJobsAreVisitedInProportion(t *testing.T) {
	for _, shape := range jobShapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, n, _ := playLargeJob(t, shape, 1500, nil)
			size := 0
			for _, j := range n.cell.jobs {
				stored := n.s.submitted[j.id]
				for i := range stored.Steps {
					s := &stored.Steps[i]
					size += stored.Schedule.OccurrenceCount() * (s.Tasks + len(s.After))
				}
			}
			is.True(n.cell.visited <= 3*size) // as counted, as due, and as finished
		})
	}
}

// largeJobSizes are the numbers of tasks of the measured jobs; GENTIANPICK_TASKS replaces
// them by one.
func largeJobSizes() []int {
	if n, err := strconv.Atoi(os.Getenv("GENTIANPICK_TASKS")); err == nil {
		return []int{n}
	}
	return []int{2500, 5000, 10000, jobs.MaxTasks}
}

// BenchmarkLargeJob measures what a large job costs the owner: the longest event, the cost
// of a task, and the size of the job's progress in the store.
func BenchmarkLargeJob(b *testing.B) {
	for _, shape := range jobShapes {
		for _, tasks := range largeJobSizes() {
			b.Run(fmt.Sprintf("%s/%d", shape.name, tasks), func(b *testing.B) {
				for b.Loop() {
					var began model.Time
					s, _, cost := playLargeJob(b, shape, tasks, func(s *sim, _ *simNode) { began = s.now })
					runtime.GC()
					var after runtime.MemStats
					runtime.ReadMemStats(&after)
					runtime.KeepAlive(s)
					largest := 0
					for _, e := range s.store.progress {
						largest = max(largest, len(e.Value))
					}
					b.ReportMetric(float64(cost.longest.Microseconds())/1000, "ms/longest-event")
					b.ReportMetric(float64(cost.total.Microseconds())/float64(tasks), "us/task")
					b.ReportMetric(float64(largest), "B/largest-record")
					b.ReportMetric(float64(after.HeapAlloc)/(1<<20), "MB/heap-with-simulation")
					b.ReportMetric(s.now.Sub(began).Seconds(), "virtual-s")
				}
			})
		}
	}
}
