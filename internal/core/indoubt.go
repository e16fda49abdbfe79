package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
)

// startInDoubt handles a start whose outcome is not known. The task's resources stay
// reserved until the worker reports whether it ran.
func (c *Core) startInDoubt(t *task) {
	c.count("starts_in_doubt", string(t.job.service.Class), 1)
	t.phase = phaseInDoubt
	c.owner.cache.MarkInDoubt(t.id)
	c.suspectWorker(t.worker)
	if t.job.keyed {
		c.owner.keyedInDoubt++
	}
	c.owner.queryTimers.add(c.now, t.id)
	c.retryInDoubt(t)
}

// retryInDoubt queues another attempt at an interactive idempotent task whose start is in
// doubt, if the retry budget allows it: the caller waits, and an unreachable worker would
// delay the answer until the deadline. The first complete result is used.
func (c *Core) retryInDoubt(t *task) {
	j := t.job
	if j.keyed || j.service.Class != model.ClassInteractive || j.answer != nil || j.cancelled || c.now >= j.deadline {
		return
	}
	if t.attempts >= c.attemptLimit(j) || !c.retryBudget(j.service.Name).AllowRetry(c.now) {
		c.count("retries_denied", j.service.Name, 1)
		return
	}
	c.count("retries", string(j.service.Class), 1)
	t.superseded = true
	c.requeue(t, 0)
}

// supersededTaskEnded handles the end of an attempt in doubt to which retryInDoubt added
// another one.
func (c *Core) supersededTaskEnded(t *task, st model.TaskStatus) {
	if st.State == model.TaskDone && !st.ResultDiscarded && t.job.answer == nil {
		c.completeTask(t, st.Result)
		return
	}
	c.ackTask(t.worker, t.id)
}

// queryTasksInDoubt queries the workers about starts in doubt that are due.
func (c *Core) queryTasksInDoubt() {
	o := c.owner
	for _, id := range o.queryTimers.due(c.now) {
		t := o.tasks[id]
		if t == nil || t.phase != phaseInDoubt {
			continue
		}
		o.queryTimers.add(c.now.Add(c.jitter(doubtQueryInterval, 0.8, 1.2)), id)
		if !t.superseded {
			c.retryInDoubt(t) // the retry budget may allow it by now
		}
		w := o.workers[t.worker]
		if w == nil {
			c.resolveOrphan(t)
			continue
		}
		c.emit(Effect{Query: &Query{Worker: w.name, Address: w.address, Epoch: o.epoch, Task: t.id}})
	}
}

// resolveOrphan handles a task in doubt whose worker is not known to the owner.
func (c *Core) resolveOrphan(t *task) {
	if c.now.Sub(c.owner.acquiredAt) < 2*c.cfg.Timing.TaskLease {
		return // the worker may still appear in the VM list
	}
	c.taskLost(t, "the worker is gone")
}

// onQueried handles a worker's answer about a task in doubt.
func (c *Core) onQueried(ev *Queried) {
	if c.owner == nil {
		return
	}
	if ev.StaleEpoch > 0 {
		c.lease.ObserveEpoch(c.now, ev.StaleEpoch)
		return
	}
	if w := c.owner.workers[ev.Worker]; w != nil && w.suspected && ev.Result != nil {
		w.suspected = false // the worker answers; only the start's connection failed
		c.updatePlacementFlags(w)
	}
	t := c.owner.tasks[ev.Task]
	if t == nil || t.phase != phaseInDoubt || ev.Result == nil {
		return
	}
	r := ev.Result
	switch {
	case r.Status.State != model.TaskNotKnown:
		c.applyTaskStatus(t, r.Status)
	case t.boot != "" && r.Boot != t.boot:
		if c.guarded(t.worker) || c.now > t.sendBy.Add(c.cfg.Timing.StartGrace) {
			c.taskLost(t, "the worker restarted")
		}
	case c.guarded(t.worker) && r.Clock > t.notAfter:
		// The worker refuses the start from now on, so the task never runs.
		c.count("doubts_not_run", "", 1)
		c.resolveNeverRan(t)
	case r.Clock > t.notAfter+model.WorkerTime(c.cfg.Timing.TaskLease):
		// A delayed start could still reach an unguarded worker, though that is unlikely,
		// so the task counts as lost and not as never run.
		c.taskLost(t, "the worker does not know the task")
	}
}

// restartedSince reports whether the worker of a task has restarted since the task was
// placed.
func (c *Core) restartedSince(t *task) bool {
	w := c.owner.workers[t.worker]
	return w != nil && t.boot != "" && w.boot != t.boot
}

// guarded reports whether a worker itself refuses late starts, and starts that were meant
// for another boot.
func (c *Core) guarded(name model.WorkerName) bool {
	w := c.owner.workers[name]
	return w != nil && w.guarded
}

// resolveNeverRan handles a task that certainly did not and will not run.
func (c *Core) resolveNeverRan(t *task) {
	if t.job.adopted {
		// The task comes from a former owner's intent and its request is not known
		// here, so it can't be queued again; its caller may retry.
		a := notRun(t.job.id, model.CodeWorkerLost, "the former owner did not start it")
		c.recordOutcome(t, a)
		c.untrack(t)
		c.endJob(t.job, a)
		return
	}
	if t.superseded {
		c.untrack(t)
		return
	}
	c.requeueNotStarted(t)
}

// taskLost handles a placed task whose worker has failed, restarted or no longer knows
// it.
func (c *Core) taskLost(t *task, why string) {
	c.count("tasks_lost", string(t.job.service.Class), 1)
	if t.job.keyed {
		a := model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeWorkerLost, Message: why}
		c.recordOutcome(t, a)
		c.untrack(t)
		c.endJob(t.job, a)
		return
	}
	c.untrack(t)
	if t.superseded {
		return
	}
	if t.job.service.Class == model.ClassService {
		c.instanceEnded(t)
	}
	// How a lost run ended is not known: if retries are spent, the job's outcome is
	// unknown instead of failed.
	t.job.runLost = true
	c.retryTask(t, why)
}
