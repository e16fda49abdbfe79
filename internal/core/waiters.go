package core

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// tickWaiters answers waiters and deferred requests whose deadline has passed. This
// ends a job only if no part of it is running, or if no caller needs its result any
// more.
func (c *Core) tickWaiters() {
	o := c.owner
	keep := o.deferred[:0]
	for _, p := range o.deferred {
		if c.now < p.until {
			keep = append(keep, p)
			continue
		}
		c.reply(p.origin(), model.Answer{
			Outcome: model.OutcomeUnknown, Code: model.CodeHomeSettling,
			Message: "a new owner does not know yet whether this key has run",
		})
	}
	o.deferred = keep
	for _, id := range o.waiterTimers.due(c.now) {
		if j := c.jobs[id]; j != nil && len(j.waiters) > 0 {
			c.expireWaiters(j)
		}
	}
}

func (c *Core) expireWaiters(j *job) {
	var due []waiter
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if c.now < w.until {
			return false
		}
		due = append(due, w)
		return true
	})
	for _, w := range due {
		c.reply(w.origin, c.timeoutAnswer(j, w))
	}
	if len(j.waiters) == 0 && j.answer == nil && !j.durable && !j.acceptPending && !j.keyed && c.acting() {
		c.cancelJob(j) // no caller waits for this idempotent, non-durable job
	}
}

// timeoutAnswer returns the answer to a waiter whose deadline has passed.
func (c *Core) timeoutAnswer(j *job, w waiter) model.Answer {
	switch {
	case j.answer != nil:
		return *j.answer
	case w.kind == "query" || j.durable:
		return j.progressAnswer()
	case j.acceptPending:
		return c.withdraw(j)
	case !j.mayHaveStarted:
		c.endJob(j, notRun(j.id, model.CodeDeadline, "the deadline passed before the work could start"))
		return *j.answer
	case j.active == 0 && !j.keyed && len(c.owner.jobTasks[j.id]) == 0:
		c.endJob(j, model.Answer{
			Outcome: model.OutcomeFailed, Code: model.CodeDeadline,
			Message: "every attempt failed and the deadline passed",
		})
		return *j.answer
	}
	return model.Answer{
		Outcome: model.OutcomeUnknown, Code: model.CodeDeadline,
		Message: "the deadline passed while the work may be running; ask again with the job id",
	}
}

// withdraw handles a submission that could not be made durable in time. The submission
// is known not to run only if its Accept record was never sent.
func (c *Core) withdraw(j *job) model.Answer {
	q := &c.commit
	for i, e := range q.entries {
		if e.Accept != nil && e.Accept.Job == j.id {
			q.entries = slices.Delete(q.entries, i, i+1)
			c.owner.pendingAccepts--
			j.acceptPending = false
			c.endJob(j, notRun(j.id, model.CodeLogUnavailable, "the job could not be made durable before the deadline"))
			return *j.answer
		}
	}
	return model.Answer{
		Outcome: model.OutcomeUnknown, Code: model.CodeLogUnavailable,
		Message: "the log has not confirmed the job; ask again with its id",
	}
}
