package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// backlogWorkers is the number of workers of the wide grown sites.
const backlogWorkers = 350

// backlogCell is an owner of a grown site with little processor, in which many
// jobs wait.
type backlogCell struct {
	*Cell
	now     model.Time
	jobs    int
	answers []Event // to what the owner asked for
	starts  int
}

func newBacklogCell(waiting int) *backlogCell {
	c := &backlogCell{now: model.Time(time.Hour), Cell: New(Config{
		Name: "cell-0", Self: "vm", Address: "a:1", MaxLease: simLease, GangWait: time.Second, Retention: time.Minute, Cores: 0.19, Bandwidth: 1_250_000,
	})}
	cfg := &jobs.Config{Version: 1}
	for _, q := range crestQueues {
		cfg.Queues = append(cfg.Queues, q.Queue)
	}
	first := []Event{ConfigChanged{Config: cfg}, InstanceChanged{Name: "vm", Up: true}}
	for i := range backlogWorkers {
		first = append(first, WorkerRegistered{Info: jobs.WorkerInfo{
			Name: model.WorkerName(fmt.Sprintf("w%03d", i)), Address: "a:2", Service: "svc", Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 32000},
		}})
	}
	for i := range 30 {
		first = append(first, InstanceChanged{Name: fmt.Sprintf("vm-%d", i), Up: true})
	}
	for range waiting {
		first = append(first, c.nextJob())
	}
	c.step(first...)
	for range 2 { // the second time it has waited with its claim
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
		ID: jobs.ID(fmt.Sprintf("%016x", c.jobs)), Queue: crestQueues[c.jobs%len(crestQueues)].Name, Payload: string(make([]byte, 500)),
		Steps: []jobs.Step{{Tasks: 5, EstimateMs: 400, Resources: need}, {Tasks: 3, EstimateMs: 300, After: []int{0}, Resources: need}},
	}}
}

// step notes the answers to what the owner asks for.
func (c *backlogCell) step(events ...Event) {
	for _, e := range c.Step(c.now, events...) {
		switch e := e.(type) {
		case Append:
			c.answers = append(c.answers, Appended{Seq: e.Seq, SentAt: c.now})
		case Renew:
			c.answers = append(c.answers, Renewed{Worker: e.Worker, Verdict: Accepted, Clock: model.WorkerTime(c.now), Boot: 1, SentAt: c.now, StatusOnly: e.StatusOnly, Call: e.Call})
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

// second plays a second: every 10 ms the answers come, and one more job.
func (c *backlogCell) second() {
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

// costOfSecond returns the time that a second of an owner takes, and the starts
// that it sends.
func costOfSecond(waiting int) (time.Duration, int) {
	c := newBacklogCell(waiting)
	c.second()
	runtime.GC() // of what building the cell left
	before, begin := c.starts, time.Now()
	c.second()
	return time.Since(begin), c.starts - before
}

// Guards against an owner that spends its processor on what waits: what it sends
// is less then, and more waits. At least half has to be left for its work.
func TestWaitingWorkCostsLessThanWork(t *testing.T) {
	is := is.New(t)
	few, many := time.Hour, time.Hour
	for range 12 { // in turn, since the machine is not always as quick
		cost, starts := costOfSecond(100)
		few = min(few, cost)
		cost, same := costOfSecond(3000)
		many = min(many, cost)
		is.True(starts > 500)
		is.Equal(starts, same)
	}
	t.Logf("a second takes %v with 100 waiting jobs and %v with 3,000", few, many)
	is.True(many <= 2*few)
}
