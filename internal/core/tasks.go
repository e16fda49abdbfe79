package core

import (
	"fmt"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/retry"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// onStarted handles the answer to a start.
func (c *Core) onStarted(ev *Started) {
	if c.own == nil {
		return
	}
	t := c.own.tasks[ev.Task]
	if t == nil || t.phase != phaseStarting {
		return // a report was faster
	}
	switch {
	case ev.Delivery == DeliveryOK && ev.Result != nil && ev.Result.Refusal == nil && c.restartedSince(t):
		c.inDoubt(t) // it may have started before the restart or after
	case ev.Delivery == DeliveryOK && ev.Result != nil && ev.Result.Refusal == nil:
		t.phase, t.acked = phaseRunning, c.now
		c.taskAccepted(t)
	case ev.Delivery == DeliveryOK && ev.Result != nil:
		c.refused(t, ev.Result.Refusal)
	case ev.Delivery == DeliveryNotSent:
		c.count("starts_not_sent", "", 1)
		c.suspect(t.worker)
		c.notStarted(t)
	default:
		c.inDoubt(t)
	}
}

// taskAccepted tells those who wait only for acceptance.
func (c *Core) taskAccepted(t *task) {
	j := t.j
	if !j.keyed {
		return
	}
	keep := j.waiters[:0]
	for _, w := range j.waiters {
		if w.kind == "job" {
			c.reply(w.origin, j.progress())
			continue
		}
		keep = append(keep, w)
	}
	j.waiters = keep
}

// refused handles a worker's definite statement that it won't run a task.
func (c *Core) refused(t *task, r *worker.Refusal) {
	c.count("starts_refused", string(r.Code), 1)
	w := c.own.workers[t.worker]
	switch r.Code {
	case model.CodeStaleEpoch:
		c.lease.ObserveEpoch(c.now, r.Epoch)
	case model.CodeLeaving:
		if w != nil {
			c.setLeaving(w, true)
			c.setFlags(w)
		}
	}
	c.notStarted(t)
}

// notStarted queues a task again that certainly did not run. The attempt
// doesn't count.
func (c *Core) notStarted(t *task) {
	t.attempts = max(t.attempts-1, 0)
	c.untrack(t)
	c.ifNothingRan(t)
	c.again(t, startRetry)
}

// ifNothingRan notes that no task of a job without other attempts has run.
func (c *Core) ifNothingRan(t *task) {
	if t.attempts == 0 && t.j.active == 0 && len(t.j.marks) == 1 {
		t.j.everStarted = false
	}
}

const (
	// startRetry is the delay after a refused start; the worker's next report
	// usually shows why it refused.
	startRetry = 20 * time.Millisecond
	// avoidMax is how many workers a task remembers as having failed it.
	avoidMax = 4
	// queryInterval is how often a worker is asked about a start in doubt.
	queryInterval = 300 * time.Millisecond
)

// again queues a task after a delay, on another worker if there is one.
func (c *Core) again(t *task, delay time.Duration) {
	j := t.j
	if j.answer != nil || j.cancelled {
		c.maybeEndJob(j)
		return
	}
	n := &task{
		j: j, index: t.index, attempts: t.attempts, resume: t.resume, queued: t.queued,
		straggler: t.straggler,
		avoid:     append([]model.WorkerName(nil), t.avoid...), readyAt: c.now.Add(delay),
	}
	if t.worker != "" && !t.preempted {
		n.avoid = append(n.avoid, t.worker)
		if len(n.avoid) > avoidMax {
			n.avoid = n.avoid[1:]
		}
	}
	if j.svc.Class == model.ClassGang {
		c.restartGang(n)
		return
	}
	if j.svc.Class == model.ClassService {
		return // the next reconciliation places it
	}
	c.own.delayed = append(c.own.delayed, n)
}

// restartGang stops what is left of a gang and queues it as a whole.
func (c *Core) restartGang(t *task) {
	for _, id := range sortedKeys(c.own.jobTasks[t.j.id]) {
		if g := c.own.jobTasks[t.j.id][id]; !g.stopping {
			c.stopTask(g)
		}
	}
	for _, d := range c.own.delayed {
		if d.j == t.j {
			d.attempts = max(d.attempts, t.attempts)
			return
		}
	}
	if !t.j.gangQueued {
		t.j.gangQueued = true
		c.own.delayed = append(c.own.delayed, t)
	}
}

// tickDelayed queues tasks whose backoff is over.
func (c *Core) tickDelayed() {
	o := c.own
	due := o.delayed
	o.delayed = nil
	for _, t := range due {
		if c.now < t.readyAt {
			o.delayed = append(o.delayed, t)
			continue
		}
		t.j.gangQueued = false
		queued := t.queued
		c.enqueue(t)
		t.queued = queued // waiting time counts from the first time it was queued
	}
}

func (c *Core) attemptLimit(j *job) int {
	if j.svc.MaxAttempts > 0 {
		return j.svc.MaxAttempts
	}
	return c.cfg.Limits.TaskAttempts
}

// taskReported applies a worker's word about a placed task.
func (c *Core) taskReported(t *task, st model.TaskStatus) {
	if st.State == model.TaskRunning {
		if t.phase == phaseDoubt && t.j.keyed {
			c.own.doubts--
		}
		if t.phase != phaseRunning {
			t.phase, t.acked = phaseRunning, c.now
			c.taskAccepted(t)
		}
		c.own.cache.RecordReport(t.id, t.worker, st.Spec, st.Usage, c.now)
		return
	}
	if t.j.keyed {
		c.keyedEnded(t, st)
		return
	}
	c.untrack(t)
	c.taskEnded(t, st)
}

// taskEnded handles the end of an idempotent task.
func (c *Core) taskEnded(t *task, st model.TaskStatus) {
	j := t.j
	ok := st.State == model.TaskDone
	if st.State != model.TaskStopped {
		c.noteHealth(t, ok)
	}
	if j.svc.Class == model.ClassService {
		c.forgetTask(t.worker, t.id)
		c.count("service_exits", j.svc.Name, 1)
		return
	}
	switch {
	case t.superseded:
		c.supersededEnded(t, st)
	case ok && st.ResultGone:
		c.retryTask(t, "the result is no longer held")
	case ok:
		c.own.queue.RecordRunTime(j.sub.Service, j.sub.Operation, st.Ran, c.now)
		c.taskDone(t, st.Result)
	case t.preempted:
		c.forgetTask(t.worker, t.id)
		t.resume = st.Checkpoint
		t.attempts = max(t.attempts-1, 0)
		c.again(t, 0)
	case t.stopping:
		c.forgetTask(t.worker, t.id)
		c.maybeEndJob(j)
	default:
		c.forgetTask(t.worker, t.id)
		t.j.lostRun = false
		c.retryTask(t, st.Message)
	}
}

// taskDone records a task's result.
func (c *Core) taskDone(t *task, result []byte) {
	j := t.j
	if j.durable && j.resultBytes()+len(result) > maxLoggedResult {
		c.forgetTask(t.worker, t.id)
		c.failTask(t, fmt.Sprintf("the job's results are above the %d bytes that the log keeps", maxLoggedResult))
		return
	}
	j.settle(t.index, taskDone, result)
	c.count("tasks_done", string(j.svc.Class), 1)
	if !j.durable {
		c.forgetTask(t.worker, t.id)
		c.maybeEndJob(j)
		c.stopAttempts(j)
		return
	}
	// The worker keeps the result until the record was read back.
	j.unlogged = append(j.unlogged, finishedTask{worker: t.worker, id: t.id, index: t.index})
	c.append(record.Entry{Progress: &record.Progress{
		Epoch: c.own.epoch, Job: j.id, Done: []record.TaskResult{{Index: t.index, Result: result}},
	}}, false)
	c.maybeEndJob(j)
}

// stopAttempts stops the other attempts at a request that has its answer.
func (c *Core) stopAttempts(j *job) {
	for _, id := range sortedKeys(c.own.jobTasks[j.id]) {
		c.stopTask(c.own.jobTasks[j.id][id])
	}
}

// finishedTask is a finished task whose result its worker still keeps.
type finishedTask struct {
	worker model.WorkerName
	id     model.TaskID
	index  int
}

// progressDurable lets workers forget results that are in the log.
func (c *Core) progressDurable(j *job, p *record.Progress) {
	logged := make(map[int]bool, len(p.Done))
	for _, r := range p.Done {
		logged[r.Index] = true
	}
	keep := j.unlogged[:0]
	for _, f := range j.unlogged {
		if logged[f.index] {
			c.forgetTask(f.worker, f.id)
			continue
		}
		keep = append(keep, f)
	}
	j.unlogged = keep
	c.maybeEndJob(j)
}

// retryTask queues an idempotent task again if attempts and budget allow.
func (c *Core) retryTask(t *task, why string) {
	j := t.j
	if j.svc.Class == model.ClassService {
		return
	}
	limit := c.attemptLimit(j)
	switch {
	case j.answer != nil || j.cancelled:
		c.maybeEndJob(j)
	case t.attempts >= limit || c.atFault(j):
		c.failTask(t, why)
	case j.svc.Class == model.ClassInteractive && !c.budget(j.svc.Name).AllowRetry(c.now):
		c.count("retries_denied", j.svc.Name, 1)
		c.failTask(t, why)
	default:
		c.count("retries", string(j.svc.Class), 1)
		c.again(t, retry.Backoff(t.attempts, c.rng.Float64()))
	}
}

// failTask records that a task has failed for good.
func (c *Core) failTask(t *task, why string) {
	j := t.j
	if !j.everStarted {
		j.everStarted = true
	}
	j.settle(t.index, taskFailed, []byte(why))
	c.count("tasks_failed", string(j.svc.Class), 1)
	if j.durable {
		c.append(record.Entry{Progress: &record.Progress{
			Epoch: c.own.epoch, Job: j.id, Failed: []record.TaskResult{{Index: t.index, Result: []byte(why)}},
		}}, false)
	}
	c.maybeEndJob(j)
}

// budget returns the retry budget of a service.
func (c *Core) budget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		b = retry.NewBudget(c.cfg.Limits.RetryPercent)
		c.budgets[service] = b
	}
	return b
}

// forgetTask lets a worker drop a finished task, with the next group.
func (c *Core) forgetTask(w model.WorkerName, id model.TaskID) {
	c.own.forget[w] = append(c.own.forget[w], id)
}

// onControlled repeats control calls that matter: an unanswered stop or
// checkpoint. Forgetting is only a matter of memory.
func (c *Core) onControlled(ev *Controlled) {
	if c.own == nil || ev.Delivery == DeliveryOK || ev.Action == worker.ActionForget {
		return
	}
	for _, id := range ev.Tasks {
		if t := c.own.tasks[id]; t != nil {
			if t.preempted {
				c.own.preempting--
			}
			t.stopping, t.preempted = false, false
			if t.j.cancelled || t.j.answer != nil {
				t.stopping = true
				c.own.stops = append(c.own.stops, t)
			}
		}
	}
}

// tickStops repeats stop calls that were not answered.
func (c *Core) tickStops() {
	stops := c.own.stops
	c.own.stops = nil
	for _, t := range stops {
		if c.own.tasks[t.id] == t {
			c.stopTask(t)
		}
	}
}
