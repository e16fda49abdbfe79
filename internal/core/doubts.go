package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
)

// inDoubt handles a start whose outcome is not known. The resources stay
// taken until the worker has said what became of it.
func (c *Core) inDoubt(t *task) {
	c.count("starts_in_doubt", string(t.j.svc.Class), 1)
	t.phase = phaseDoubt
	c.own.cache.MarkInDoubt(t.id)
	c.suspect(t.worker)
	if t.j.keyed {
		c.own.doubts++
	}
	c.own.queries.add(c.now, t.id)
	c.retryInDoubt(t)
}

// retryInDoubt starts an interactive idempotent task a second time while the
// first start is in doubt, within the retry budget. A caller waits, and a
// silent worker would hold the request until its deadline. The first whole
// answer counts.
func (c *Core) retryInDoubt(t *task) {
	j := t.j
	if j.keyed || j.svc.Class != model.ClassInteractive || j.answer != nil || j.cancelled || c.now >= j.deadline {
		return
	}
	if t.attempts >= c.attemptLimit(j) || !c.budget(j.svc.Name).AllowRetry(c.now) {
		c.count("retries_denied", j.svc.Name, 1)
		return
	}
	c.count("retries", string(j.svc.Class), 1)
	t.superseded = true
	c.again(t, 0)
}

// supersededEnded handles the end of an attempt beside which another was
// started.
func (c *Core) supersededEnded(t *task, st model.TaskStatus) {
	if st.State == model.TaskDone && !st.ResultGone && t.j.answer == nil {
		c.taskDone(t, st.Result)
		return
	}
	c.forgetTask(t.worker, t.id)
}

// tickDoubts asks workers about starts in doubt.
func (c *Core) tickDoubts() {
	o := c.own
	for _, id := range o.queries.due(c.now) {
		t := o.tasks[id]
		if t == nil || t.phase != phaseDoubt {
			continue
		}
		o.queries.add(c.now.Add(c.jitter(queryInterval, 0.8, 1.2)), id)
		if !t.superseded {
			c.retryInDoubt(t) // the budget may have room by now
		}
		w := o.workers[t.worker]
		if w == nil {
			c.orphaned(t)
			continue
		}
		c.emit(Effect{Query: &Query{Worker: w.name, Address: w.address, Epoch: o.epoch, Task: t.id}})
	}
}

// orphaned settles a task in doubt whose worker is gone for good.
func (c *Core) orphaned(t *task) {
	if c.now.Sub(c.own.since) < 2*c.cfg.Timing.TaskLease {
		return // the VM list may only be late
	}
	c.lost(t, "the worker is gone")
}

// onQueried handles a worker's word about a task in doubt.
func (c *Core) onQueried(ev *Queried) {
	if c.own == nil {
		return
	}
	if ev.StaleEpoch > 0 {
		c.lease.ObserveEpoch(c.now, ev.StaleEpoch)
		return
	}
	if w := c.own.workers[ev.Worker]; w != nil && w.suspect && ev.Result != nil {
		w.suspect = false // the start was lost on one connection only
		c.setFlags(w)
	}
	t := c.own.tasks[ev.Task]
	if t == nil || t.phase != phaseDoubt || ev.Result == nil {
		return
	}
	r := ev.Result
	switch {
	case r.Status.State != model.TaskNotKnown:
		c.taskReported(t, r.Status)
	case t.boot != "" && r.Boot != t.boot:
		if c.guarded(t.worker) || c.now > t.sendBy.Add(c.cfg.Timing.StartGrace) {
			c.lost(t, "the worker restarted")
		}
	case c.guarded(t.worker) && r.Clock > t.notAfter:
		// The worker refuses the start from now on, so it never runs.
		c.count("doubts_not_run", "", 1)
		c.neverRan(t)
	case r.Clock > t.notAfter+model.WorkerTime(c.cfg.Timing.TaskLease):
		// An unguarded worker might still run it, however unlikely.
		c.lost(t, "the worker does not know the task")
	}
}

// restartedSince reports whether the worker of a task has another boot than
// when the task was placed.
func (c *Core) restartedSince(t *task) bool {
	w := c.own.workers[t.worker]
	return w != nil && t.boot != "" && w.boot != t.boot
}

// guarded reports whether a worker itself refuses starts that come late or
// were meant for another boot.
func (c *Core) guarded(name model.WorkerName) bool {
	w := c.own.workers[name]
	return w != nil && w.guarded
}

// neverRan handles a start that certainly did not and will not run.
func (c *Core) neverRan(t *task) {
	if t.j.adopted {
		// An intent of a former owner whose request is not known here: its
		// caller may try again.
		a := notRun(t.j.id, model.CodeWorkerLost, "the former owner did not start it")
		c.keyedOutcome(t, a)
		c.untrack(t)
		c.endJob(t.j, a)
		return
	}
	if t.superseded {
		c.untrack(t)
		return
	}
	c.notStarted(t)
}

// lost handles a placed task whose worker has died, restarted or forgotten it.
func (c *Core) lost(t *task, why string) {
	c.count("tasks_lost", string(t.j.svc.Class), 1)
	if t.j.keyed {
		a := model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeWorkerLost, Message: why}
		c.keyedOutcome(t, a)
		c.untrack(t)
		c.endJob(t.j, a)
		return
	}
	c.untrack(t)
	if t.superseded {
		return
	}
	// Nobody knows how a lost run ended, so a job that it fails has not failed.
	t.j.lostRun = true
	c.retryTask(t, why)
}
