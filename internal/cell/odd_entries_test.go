package cell

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against an odd entry under the name of a worker, with a start in the far future,
// after which all entries of the worker itself would be taken for older ones.
func TestEntryOfTheFutureDoesNotReplaceWorker(t *testing.T) {
	is := is.New(t)
	const startedMs = 1_700_000_000_000
	c := New(Config{Name: "cell", Self: "vm-1", MaxLease: simLease})
	c.Step(0, Tick{UnixMs: startedMs + 5000})
	entry := jobs.WorkerInfo{Name: "w", Service: "svc", Address: "10.0.0.1:80", Boot: startedMs, Capacity: model.Resources{MilliCPU: 16000}}
	odd := entry
	odd.Boot, odd.Address = startedMs+(365*24*time.Hour).Milliseconds(), "10.0.0.9:80"
	c.Step(1, WorkerRegistered{Info: entry}, WorkerRegistered{Info: odd})
	is.True(!c.workers["w"].registered)
	entry.Capacity.MilliCPU = 8000
	c.Step(2, WorkerRegistered{Info: entry})
	is.True(c.workers["w"].registered)
	is.Equal(c.workers["w"].info, entry)
}

// Guards against stored progress with a run number after which no higher one can follow.
func TestOddProgressIsNotApplied(t *testing.T) {
	is := is.New(t)
	c := New(Config{Name: "cell", Self: "vm-1", MaxLease: simLease})
	c.jobAdded(jobs.Job{ID: "j", Queue: "q", Steps: []jobs.Step{{Tasks: 2}}}, 0)
	c.progressRead("j", 0, &jobs.Progress{State: jobs.Queued, Groups: []jobs.GroupProgress{
		{Tasks: []jobs.TaskProgress{{Index: 0, Run: math.MaxInt}, {Index: 1 << 40, Run: 1}}},
		{Step: -1}, {Step: math.MaxInt, Occurrence: math.MaxInt},
	}})
	c.activate(c.jobs["j"])
	is.Equal(c.jobs["j"].groups[0].tasks[0].run, 0)
	is.Equal(c.jobs["j"].groups[0].pending, 2)
}
