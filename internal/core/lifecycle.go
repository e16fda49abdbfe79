package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// jobDurable starts a job whose Accept record was read back, and reports its acceptance
// to its waiters.
func (c *Core) jobDurable(j *job) {
	if j.acceptPending {
		j.acceptPending = false
		c.owner.pendingAccepts--
	}
	if j.answer != nil {
		return
	}
	c.resumeJob(j)
	a := j.progressAnswer()
	keep := j.waiters[:0]
	for _, w := range j.waiters {
		c.reply(w.origin, a)
		if w.kind != "job" {
			keep = append(keep, w)
		}
	}
	j.waiters = keep
}

// resumeJob queues the remaining tasks of a durable job.
func (c *Core) resumeJob(j *job) {
	svc := c.findService(j.submission.Service)
	if svc == nil {
		if c.text != nil && j.submission.Service != "" {
			c.endJob(j, notRun(j.id, model.CodeUnknownService, "the service was removed from the text"))
		}
		return
	}
	c.setJobService(j, svc)
	if j.cancelled || j.allTasksEnded() {
		c.maybeEndJob(j)
		return
	}
	j.enqueuedAt = c.now
	c.enqueueJob(j)
}

// endJob sets the final answer of a job. The end of a durable job is logged too.
func (c *Core) endJob(j *job, a model.Answer) {
	if j.answer != nil {
		return
	}
	a.Job = j.id
	if len(j.taskStates) > 1 {
		n := j.taskCounts()
		a.Tasks = &n
	}
	j.answer, j.endedAt = &a, c.now
	c.count("jobs_ended", string(a.Outcome), 1)
	c.health.ForgetJob(j.id)
	if j.atRisk {
		c.owner.queue.SetPrioritized(j.id, false)
	}
	if j.durable {
		c.queueRecord(record.Entry{Finish: &record.Finish{Epoch: c.owner.epoch, Job: j.id, Answer: a}}, false)
	}
	c.sendFinalAnswer(j)
	if !j.durable {
		j.discardPayload()
	}
}

// maybeEndJob ends a job if all its tasks have ended, or if it was cancelled and none of
// its tasks is placed.
func (c *Core) maybeEndJob(j *job) {
	if j.answer != nil {
		return
	}
	if j.keyed {
		if j.cancelled && j.active == 0 && !j.mayHaveStarted {
			c.endJob(j, notRun(j.id, model.CodeCancelled, "cancelled before it started"))
		}
		return
	}
	switch {
	case j.allTasksEnded() && j.failed == 0:
		c.endJob(j, model.Answer{Outcome: model.OutcomeDone, Result: j.combinedResult()})
	case j.allTasksEnded() && j.runLost && !c.jobAtFault(j):
		c.endJob(j, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeWorkerLost, Message: string(j.firstFailure())})
	case j.allTasksEnded():
		code := model.CodeTaskFailed
		if c.jobAtFault(j) {
			code = model.CodeJobFault
		}
		c.endJob(j, model.Answer{Outcome: model.OutcomeFailed, Code: code, Message: string(j.firstFailure())})
	case j.cancelled && j.active == 0:
		a := notRun(j.id, model.CodeCancelled, "cancelled before anything ran")
		if j.mayHaveStarted || j.done+j.failed > 0 {
			a.Outcome, a.Message = model.OutcomeFailed, "cancelled"
		}
		c.endJob(j, a)
	}
}

func (j *job) firstFailure() []byte {
	for i, m := range j.taskStates {
		if m == taskFailed {
			return j.results[i]
		}
	}
	return nil
}

// expireTask ends the job of a queued task whose deadline has passed, unless it may have
// started.
func (c *Core) expireTask(t *task) {
	j := t.job
	if j.answer != nil || j.mayHaveStarted {
		return
	}
	c.count("expired_in_queue", string(j.service.Class), 1)
	c.endJob(j, notRun(j.id, model.CodeDeadline, "the deadline passed before the work could start"))
}
