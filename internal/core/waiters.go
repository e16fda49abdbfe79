package core

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// tickWaiters answers waiters whose time is up. A waiter's end does not end
// the job, unless nothing of it may have started.
func (c *Core) tickWaiters() {
	o := c.own
	keep := o.parked[:0]
	for _, p := range o.parked {
		if c.now < p.until {
			keep = append(keep, p)
			continue
		}
		c.reply(p.origin(), model.Answer{
			Outcome: model.OutcomeUnknown, Code: model.CodeOwnerRecovering,
			Message: "a new owner does not know yet whether this key has run",
		})
	}
	o.parked = keep
	for _, id := range o.waiters.due(c.now) {
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
		c.reply(w.origin, c.overdueAnswer(j, w))
	}
	if len(j.waiters) == 0 && j.answer == nil && !j.durable && !j.accepting && !j.keyed && c.acting() {
		c.cancelJob(j) // nobody waits for idempotent work that is not durable
	}
}

// overdueAnswer is the honest answer to a waiter whose time is up.
func (c *Core) overdueAnswer(j *job, w waiter) model.Answer {
	switch {
	case j.answer != nil:
		return *j.answer
	case w.kind == "query" || j.durable:
		return j.progress()
	case j.accepting:
		return c.withdraw(j)
	case !j.everStarted:
		c.endJob(j, notRun(j.id, model.CodeDeadline, "the deadline passed before the work could start"))
		return *j.answer
	case j.active == 0 && !j.keyed && len(c.own.jobTasks[j.id]) == 0:
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

// withdraw takes back a submission that could not be made durable in time. It
// certainly does not run if its record was never sent.
func (c *Core) withdraw(j *job) model.Answer {
	q := &c.commit
	for i, e := range q.entries {
		if e.Accept != nil && e.Accept.Job == j.id {
			q.entries = slices.Delete(q.entries, i, i+1)
			c.own.undurable--
			j.accepting = false
			c.endJob(j, notRun(j.id, model.CodeLogUnavailable, "the job could not be made durable before the deadline"))
			return *j.answer
		}
	}
	return model.Answer{
		Outcome: model.OutcomeUnknown, Code: model.CodeLogUnavailable,
		Message: "the log has not confirmed the job; ask again with its id",
	}
}
