package core

import (
	"fmt"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/retry"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// onStarted handles the result of a start call.
func (c *Core) onStarted(ev *Started) {
	if c.owner == nil {
		return
	}
	t := c.owner.tasks[ev.Task]
	if t == nil || t.phase != phaseStarting {
		return // a report of the worker arrived first
	}
	switch {
	case ev.Delivery == DeliveryOK && ev.Result != nil && ev.Result.Refusal == nil && c.restartedSince(t):
		c.startInDoubt(t) // the start may have reached the worker before or after its restart
	case ev.Delivery == DeliveryOK && ev.Result != nil && ev.Result.Refusal == nil:
		t.phase, t.acceptedAt = phaseRunning, c.now
		c.answerAcceptanceWaiters(t)
	case ev.Delivery == DeliveryOK && ev.Result != nil:
		c.startRefused(t, ev.Result.Refusal)
	case ev.Delivery == DeliveryNotSent:
		c.count("starts_not_sent", "", 1)
		c.suspectWorker(t.worker)
		c.requeueNotStarted(t)
	default:
		c.startInDoubt(t)
	}
}

// answerAcceptanceWaiters answers the waiters that wait only until a keyed task has
// been accepted by a worker.
func (c *Core) answerAcceptanceWaiters(t *task) {
	j := t.job
	if !j.keyed {
		return
	}
	keep := j.waiters[:0]
	for _, w := range j.waiters {
		if w.kind == "job" {
			c.reply(w.origin, j.progressAnswer())
			continue
		}
		keep = append(keep, w)
	}
	j.waiters = keep
}

// startRefused handles a worker's refusal of a start. The task certainly did not run.
func (c *Core) startRefused(t *task, r *worker.Refusal) {
	c.count("starts_refused", string(r.Code), 1)
	w := c.owner.workers[t.worker]
	switch r.Code {
	case model.CodeStaleEpoch:
		c.lease.ObserveEpoch(c.now, r.Epoch)
	case model.CodeLeaving:
		if w != nil {
			c.setLeaving(w, true)
			c.updatePlacementFlags(w)
		}
	}
	c.requeueNotStarted(t)
}

// requeueNotStarted queues a task again that certainly did not run. The attempt does
// not count towards the attempt limit.
func (c *Core) requeueNotStarted(t *task) {
	t.attempts = max(t.attempts-1, 0)
	c.untrack(t)
	c.clearStartedIfNoAttempts(t)
	c.requeue(t, startRetryDelay)
}

// clearStartedIfNoAttempts marks a job of one task as not started if none of its
// attempts may have run.
func (c *Core) clearStartedIfNoAttempts(t *task) {
	if t.attempts == 0 && t.job.active == 0 && len(t.job.taskStates) == 1 {
		t.job.mayHaveStarted = false
	}
}

const (
	// startRetryDelay is the delay before a refused start is retried. By then the
	// worker's next report usually shows why it refused.
	startRetryDelay = 20 * time.Millisecond
	// maxAvoidedWorkers is how many workers of failed attempts a task avoids.
	maxAvoidedWorkers = 4
	// doubtQueryInterval is how often a worker is queried about a start in doubt.
	doubtQueryInterval = 300 * time.Millisecond
)

// requeue queues another attempt at a task after a delay. Other workers are preferred.
func (c *Core) requeue(t *task, delay time.Duration) {
	j := t.job
	if j.answer != nil || j.cancelled {
		c.maybeEndJob(j)
		return
	}
	n := &task{
		job: j, index: t.index, attempts: t.attempts, resumeData: t.resumeData, queuedAt: t.queuedAt,
		straggler:    t.straggler,
		avoidWorkers: append([]model.WorkerName(nil), t.avoidWorkers...), readyAt: c.now.Add(delay),
	}
	if t.worker != "" && !t.preempted {
		n.avoidWorkers = append(n.avoidWorkers, t.worker)
		if len(n.avoidWorkers) > maxAvoidedWorkers {
			n.avoidWorkers = n.avoidWorkers[1:]
		}
	}
	if j.service.Class == model.ClassGang {
		c.restartGang(n)
		return
	}
	if j.service.Class == model.ClassService {
		return // the next reconciliation queues it
	}
	c.owner.delayed = append(c.owner.delayed, n)
}

// restartGang stops the remaining tasks of a gang and queues the whole gang again.
func (c *Core) restartGang(t *task) {
	for _, id := range sortedKeys(c.owner.jobTasks[t.job.id]) {
		if g := c.owner.jobTasks[t.job.id][id]; !g.stopping {
			c.stopTask(g)
		}
	}
	for _, d := range c.owner.delayed {
		if d.job == t.job {
			d.attempts = max(d.attempts, t.attempts)
			return
		}
	}
	if !t.job.gangRestartQueued {
		t.job.gangRestartQueued = true
		c.owner.delayed = append(c.owner.delayed, t)
	}
}

// enqueueDelayed queues the tasks whose backoff has ended.
func (c *Core) enqueueDelayed() {
	o := c.owner
	due := o.delayed
	o.delayed = nil
	for _, t := range due {
		if c.now < t.readyAt {
			o.delayed = append(o.delayed, t)
			continue
		}
		t.job.gangRestartQueued = false
		queued := t.queuedAt
		c.enqueue(t)
		t.queuedAt = queued // the waiting time counts from the first enqueue
	}
}

func (c *Core) attemptLimit(j *job) int {
	if j.service.MaxAttempts > 0 {
		return j.service.MaxAttempts
	}
	return c.cfg.Limits.TaskAttempts
}

// applyTaskStatus applies the status that a worker reported for a placed task.
func (c *Core) applyTaskStatus(t *task, st model.TaskStatus) {
	if st.State == model.TaskRunning {
		if t.phase == phaseInDoubt && t.job.keyed {
			c.owner.keyedInDoubt--
		}
		if t.phase != phaseRunning {
			t.phase, t.acceptedAt = phaseRunning, c.now
			c.answerAcceptanceWaiters(t)
		}
		c.owner.cache.RecordReport(t.id, t.worker, st.Spec, st.Usage, c.now)
		return
	}
	if t.job.keyed {
		c.onKeyedEnd(t, st)
		return
	}
	c.untrack(t)
	c.taskEnded(t, st)
}

// taskEnded handles the reported end of an idempotent task.
func (c *Core) taskEnded(t *task, st model.TaskStatus) {
	j := t.job
	ok := st.State == model.TaskDone
	if st.State != model.TaskStopped {
		c.recordTaskHealth(t, ok)
	}
	if j.service.Class == model.ClassService {
		c.ackTask(t.worker, t.id)
		c.instanceEnded(t)
		c.count("service_exits", j.service.Name, 1)
		return
	}
	switch {
	case t.superseded:
		c.supersededTaskEnded(t, st)
	case ok && st.ResultDiscarded:
		c.retryTask(t, "the result is no longer held")
	case ok:
		c.owner.queue.RecordRunTime(j.submission.Service, j.submission.Operation, st.Ran, c.now)
		c.completeTask(t, st.Result)
	case t.preempted:
		c.ackTask(t.worker, t.id)
		t.resumeData = st.Checkpoint
		t.attempts = max(t.attempts-1, 0)
		c.requeue(t, 0)
	case t.stopping:
		c.ackTask(t.worker, t.id)
		c.maybeEndJob(j)
	default:
		c.ackTask(t.worker, t.id)
		t.job.runLost = false
		c.retryTask(t, st.Message)
	}
}

// completeTask records the result of an idempotent task that is done.
func (c *Core) completeTask(t *task, result []byte) {
	j := t.job
	if j.durable && j.resultSize()+len(result) > maxLoggedResult {
		c.ackTask(t.worker, t.id)
		c.failTask(t, fmt.Sprintf("the job's results are above the %d bytes that the log keeps", maxLoggedResult))
		return
	}
	j.recordTaskEnd(t.index, taskDone, result)
	c.count("tasks_done", string(j.service.Class), 1)
	if !j.durable {
		c.ackTask(t.worker, t.id)
		c.maybeEndJob(j)
		c.stopOtherAttempts(j)
		return
	}
	// The worker keeps the result until the progress record has been read back.
	j.unloggedTasks = append(j.unloggedTasks, finishedTask{worker: t.worker, id: t.id, index: t.index})
	c.queueRecord(record.Entry{Progress: &record.Progress{
		Epoch: c.owner.epoch, Job: j.id, Done: []record.TaskResult{{Index: t.index, Result: result}},
	}}, false)
	c.maybeEndJob(j)
}

// stopOtherAttempts stops the remaining attempts at a request that has been answered.
func (c *Core) stopOtherAttempts(j *job) {
	for _, id := range sortedKeys(c.owner.jobTasks[j.id]) {
		c.stopTask(c.owner.jobTasks[j.id][id])
	}
}

// finishedTask is a done task whose worker still keeps the result.
type finishedTask struct {
	worker model.WorkerName
	id     model.TaskID
	index  int
}

// progressDurable acknowledges the results of a progress record that was read back, so
// that the workers can drop them.
func (c *Core) progressDurable(j *job, p *record.Progress) {
	logged := make(map[int]bool, len(p.Done))
	for _, r := range p.Done {
		logged[r.Index] = true
	}
	keep := j.unloggedTasks[:0]
	for _, f := range j.unloggedTasks {
		if logged[f.index] {
			c.ackTask(f.worker, f.id)
			continue
		}
		keep = append(keep, f)
	}
	j.unloggedTasks = keep
	c.maybeEndJob(j)
}

// retryTask queues an idempotent task again if the attempt limit and the retry budget
// allow it, and fails it otherwise.
func (c *Core) retryTask(t *task, why string) {
	j := t.job
	if j.service.Class == model.ClassService {
		return
	}
	limit := c.attemptLimit(j)
	switch {
	case j.answer != nil || j.cancelled:
		c.maybeEndJob(j)
	case t.attempts >= limit || c.jobAtFault(j):
		c.failTask(t, why)
	case j.service.Class == model.ClassInteractive && !c.retryBudget(j.service.Name).AllowRetry(c.now):
		c.count("retries_denied", j.service.Name, 1)
		c.failTask(t, why)
	default:
		c.count("retries", string(j.service.Class), 1)
		c.requeue(t, retry.Backoff(t.attempts, c.rng.Float64()))
	}
}

// failTask records the permanent failure of a task.
func (c *Core) failTask(t *task, why string) {
	j := t.job
	if !j.mayHaveStarted {
		j.mayHaveStarted = true
	}
	j.recordTaskEnd(t.index, taskFailed, []byte(why))
	c.count("tasks_failed", string(j.service.Class), 1)
	if j.durable {
		c.queueRecord(record.Entry{Progress: &record.Progress{
			Epoch: c.owner.epoch, Job: j.id, Failed: []record.TaskResult{{Index: t.index, Result: []byte(why)}},
		}}, false)
	}
	c.maybeEndJob(j)
}

// retryBudget returns the retry budget of a service, creating it on first use.
func (c *Core) retryBudget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		b = retry.NewBudget(c.cfg.Limits.RetryPercent)
		c.budgets[service] = b
	}
	return b
}

// ackTask queues the acknowledgement of a finished task, after which the worker may drop
// it. flushAcks sends the acknowledgements in groups.
func (c *Core) ackTask(w model.WorkerName, id model.TaskID) {
	c.owner.pendingAcks[w] = append(c.owner.pendingAcks[w], id)
}

// onControlled handles a failed control call. A stop is repeated if the task's job was
// cancelled or answered; otherwise the task may be stopped or preempted anew. A lost
// acknowledgement is not repeated, since it only costs the worker memory.
func (c *Core) onControlled(ev *Controlled) {
	if c.owner == nil || ev.Delivery == DeliveryOK || ev.Action == worker.ActionForget {
		return
	}
	for _, id := range ev.Tasks {
		if t := c.owner.tasks[id]; t != nil {
			if t.preempted {
				c.owner.pendingCheckpoints--
			}
			t.stopping, t.preempted = false, false
			if t.job.cancelled || t.job.answer != nil {
				t.stopping = true
				c.owner.stopRetries = append(c.owner.stopRetries, t)
			}
		}
	}
}

// retryStops repeats the stop calls that were not answered.
func (c *Core) retryStops() {
	stops := c.owner.stopRetries
	c.owner.stopRetries = nil
	for _, t := range stops {
		if c.owner.tasks[t.id] == t {
			c.stopTask(t)
		}
	}
}
