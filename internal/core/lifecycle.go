package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// jobDurable starts a job whose acceptance was read back.
func (c *Core) jobDurable(j *job) {
	if j.accepting {
		j.accepting = false
		c.owner.undurable--
	}
	if j.answer != nil {
		return
	}
	c.resumeJob(j)
	a := j.progress()
	keep := j.waiters[:0]
	for _, w := range j.waiters {
		c.reply(w.origin, a)
		if w.kind != "job" {
			keep = append(keep, w)
		}
	}
	j.waiters = keep
}

// resumeJob queues what a durable job still has to run.
func (c *Core) resumeJob(j *job) {
	svc := c.findService(j.sub.Service)
	if svc == nil {
		if c.text != nil && j.sub.Service != "" {
			c.endJob(j, notRun(j.id, model.CodeUnknownService, "the service was removed from the text"))
		}
		return
	}
	c.setJobService(j, svc)
	if j.cancelled || j.ended() {
		c.maybeEndJob(j)
		return
	}
	j.enqueued = c.now
	c.enqueueJob(j)
}

// endJob gives a job its answer. Durable jobs end in the log as well.
func (c *Core) endJob(j *job, a model.Answer) {
	if j.answer != nil {
		return
	}
	a.Job = j.id
	if len(j.marks) > 1 {
		n := j.counts()
		a.Tasks = &n
	}
	j.answer, j.endedAt = &a, c.now
	c.count("jobs_ended", string(a.Outcome), 1)
	c.health.ForgetJob(j.id)
	if j.atRisk {
		c.owner.queue.SetPrioritized(j.id, false)
	}
	if j.durable {
		c.append(record.Entry{Finish: &record.Finish{Epoch: c.owner.epoch, Job: j.id, Answer: a}}, false)
	}
	c.replyWaiters(j)
	if !j.durable {
		j.release()
	}
}

// maybeEndJob ends a job all of whose tasks have ended, or that was cancelled
// and has nothing running.
func (c *Core) maybeEndJob(j *job) {
	if j.answer != nil {
		return
	}
	if j.keyed {
		if j.cancelled && j.active == 0 && !j.everStarted {
			c.endJob(j, notRun(j.id, model.CodeCancelled, "cancelled before it started"))
		}
		return
	}
	switch {
	case j.ended() && j.failed == 0:
		c.endJob(j, model.Answer{Outcome: model.OutcomeDone, Result: j.result()})
	case j.ended() && j.lostRun && !c.atFault(j):
		c.endJob(j, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeWorkerLost, Message: string(j.firstFailure())})
	case j.ended():
		code := model.CodeTaskFailed
		if c.atFault(j) {
			code = model.CodeJobFault
		}
		c.endJob(j, model.Answer{Outcome: model.OutcomeFailed, Code: code, Message: string(j.firstFailure())})
	case j.cancelled && j.active == 0:
		a := notRun(j.id, model.CodeCancelled, "cancelled before anything ran")
		if j.everStarted || j.done+j.failed > 0 {
			a.Outcome, a.Message = model.OutcomeFailed, "cancelled"
		}
		c.endJob(j, a)
	}
}

func (j *job) firstFailure() []byte {
	for i, m := range j.marks {
		if m == taskFailed {
			return j.results[i]
		}
	}
	return nil
}

// expireItem drops queued interactive work whose deadline has passed.
func (c *Core) expireItem(t *task) {
	j := t.j
	if j.answer != nil || j.everStarted {
		return
	}
	c.count("expired_in_queue", string(j.svc.Class), 1)
	c.endJob(j, notRun(j.id, model.CodeDeadline, "the deadline passed before the work could start"))
}
