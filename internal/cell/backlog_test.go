package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/listing"
	"github.com/gentianpick/gentianpick/internal/model"
)

// backlogWorkers is the number of workers of the large sites with wide links.
const backlogWorkers = 350

// threadTime returns the processor time that the current thread has used. Unlike the time
// of day, it does not depend on what else the machine runs. The goroutine must be locked
// to its thread.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var at unix.Timespec
	is.New(t).NoErr(unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at))
	return time.Duration(at.Nano())
}

// backlogCell is an owner with little processor on a large site where many jobs wait.
type backlogCell struct {
	*Cell
	now     model.Time
	jobs    int
	answers []Event // to the owner's calls
	starts  int
}

func newBacklogCell(workers, waiting int) *backlogCell {
	c := &backlogCell{now: model.Time(time.Hour), Cell: New(Config{
		Name: "cell-0", Self: "vm", Address: "a:1", MaxLease: simLease, GangWait: time.Second, Retention: time.Minute, Cores: 0.19, Bandwidth: 1_250_000,
	})}
	cfg := &jobs.Config{Version: 1}
	for _, q := range peakQueues {
		cfg.Queues = append(cfg.Queues, q.Queue)
	}
	first := []Event{ConfigChanged{Config: cfg}, InstanceChanged{Name: "vm", Up: true}}
	for i := range workers {
		first = append(first, WorkerRegistered{Info: jobs.WorkerInfo{
			Name: model.WorkerName(fmt.Sprintf("w%04d", i)), Address: "a:2", Service: "svc", Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 32000},
		}})
	}
	for i := range 30 {
		first = append(first, InstanceChanged{Name: fmt.Sprintf("vm-%d", i), Up: true})
	}
	for range waiting {
		first = append(first, c.nextJob())
	}
	c.step(first...)
	for range 2 { // the claim is sent in the second pass, after its delay
		c.now = c.now.Add(5 * time.Second)
		c.step(ProgressCaughtUp{End: 1, SentAt: c.now}, Tick{UnixMs: 1, StoreAnsweredAt: c.now})
	}
	c.step(ClaimAnswered{Epoch: c.maxEpoch, SentAt: c.now, Won: true})
	c.step(SubmissionsCaughtUp{SentAt: c.now})
	return c
}

func (c *backlogCell) nextJob() JobAdded {
	c.jobs++
	need := model.Resources{MilliCPU: 1000, MemoryMB: 100}
	return JobAdded{Job: jobs.Job{
		ID: jobs.ID(fmt.Sprintf("%016x", c.jobs)), Queue: peakQueues[c.jobs%len(peakQueues)].Name, Payload: string(make([]byte, 500)),
		Steps: []jobs.Step{{Tasks: 5, EstimateMs: 400, Resources: need}, {Tasks: 3, EstimateMs: 300, After: []int{0}, Resources: need}},
	}}
}

// step runs one step and collects the answers to its effects.
func (c *backlogCell) step(events ...Event) {
	for _, e := range c.Step(c.now, events...) {
		switch e := e.(type) {
		case Append:
			c.answers = append(c.answers, Appended{Seq: e.Seq, SentAt: c.now})
		case Renew:
			c.answers = append(c.answers, Renewed{Worker: e.Worker, Verdict: Accepted, Clock: model.WorkerTime(c.now), Boot: 1, Ended: listing.Whole[RunEnd](), SentAt: c.now, StatusOnly: e.StatusOnly, Call: e.Call})
		case Start:
			c.starts++
			c.answers = append(c.answers, StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: Accepted, Call: e.Call})
		case QueryEligibility:
			a := EligibilityAnswered{Instance: e.Instance, Job: e.Job, Step: e.Step, Occurrence: e.Occurrence, Queried: e.Workers, ValidFor: 2500 * time.Millisecond}
			for _, w := range e.Workers {
				a.Eligible = append(a.Eligible, Permit{Worker: w, Token: "t"})
			}
			c.answers = append(c.answers, a)
		}
	}
}

// runSecond simulates a second: every 10 ms the answers arrive, and one more job.
func (c *backlogCell) runSecond() {
	for i := range 100 {
		c.now = c.now.Add(10 * time.Millisecond)
		events := append(c.answers, c.nextJob())
		c.answers = nil
		if i%5 == 0 {
			events = append(events, Tick{UnixMs: int64(c.now) / 1e6, StoreAnsweredAt: c.now})
		}
		c.step(events...)
	}
}

// measureSecond returns the processor time that one simulated second of an owner takes,
// and the number of starts it sends.
func measureSecond(t *testing.T, waiting int) (time.Duration, int) {
	t.Helper()
	c := newBacklogCell(backlogWorkers, waiting)
	c.runSecond()
	runtime.GC() // garbage from building the cell
	before, begin := c.starts, threadTime(t)
	c.runSecond()
	return threadTime(t) - begin, c.starts - before
}

// Guards against an owner that spends its processor on waiting jobs: it then sends
// less, so that more jobs wait. At least half of the processor has to be left for
// sending.
func TestWaitingJobsUseLittleProcessor(t *testing.T) {
	is := is.New(t)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	few, many := time.Hour, time.Hour
	for range 12 { // alternately, since the machine's speed varies
		cost, starts := measureSecond(t, 100)
		few = min(few, cost)
		cost, same := measureSecond(t, 3000)
		many = min(many, cost)
		is.True(starts > 500)
		is.Equal(starts, same)
	}
	t.Logf("one simulated second takes %v with 100 waiting jobs and %v with 3,000", few, many)
	is.True(many <= 2*few)
}

// Guards against an owner that looks through all queues for each waiting job, whenever a job
// is submitted under load: a configuration may have thousands of them.
func TestSubmissionCostsNoMoreWithManyQueues(t *testing.T) {
	is := is.New(t)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cost := func(otherQueues int) time.Duration {
		c := newBacklogCell(backlogWorkers, 1000)
		cfg := &jobs.Config{Version: 2}
		for i := range otherQueues {
			cfg.Queues = append(cfg.Queues, jobs.Queue{Name: fmt.Sprintf("queue-%d", i)})
		}
		cfg.Queues = append(cfg.Queues, c.config.Queues...)
		c.step(ConfigChanged{Config: cfg})
		c.runSecond()
		is.True(c.heldBytes > 0) // work waits, so that each submission looks at it
		job := c.nextJob().Job
		least := time.Hour
		for range 10 {
			begin := threadTime(t)
			for range 20 {
				c.backlog(&job)
			}
			least = min(least, threadTime(t)-begin)
		}
		return least
	}
	few, many := cost(0), cost(2000)
	t.Logf("%v with few queues, %v with 2,000 more", few, many)
	is.True(many <= 4*few)
}
