package core

import (
	"fmt"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/record"
)

// onForward handles a request that another instance forwarded. The owner admits it; any
// other instance forwards it to the owner of the data centre.
func (c *Core) onForward(f *message.Forward) {
	o := originOf(f)
	if homeOfJob(f.Job) != c.cfg.Self.DataCentre {
		c.reply(o, notRun(f.Job, model.CodeHopLimit, "the job's home is another data centre"))
		return
	}
	if c.acting() {
		c.admit(f)
		return
	}
	m, ok := c.lease.Owner()
	if !ok || m.Incarnation == c.cfg.Self.Incarnation || f.Hops >= c.cfg.Limits.Hops {
		c.reply(o, notRun(f.Job, model.CodeNoOwner, "the data centre has no owner at present"))
		return
	}
	g := *f
	g.Hops++
	c.send(m, message.Body{Forward: &g})
}

// deferredRequest waits until the owner knows which keys have run.
type deferredRequest struct {
	forward *message.Forward
	until   model.Time
}

func (p deferredRequest) origin() origin { return originOf(p.forward) }

// admit handles a request at the owner.
func (c *Core) admit(f *message.Forward) {
	until := c.now.Add(time.Duration(f.Remaining))
	w := waiter{
		origin: originOf(f),
		kind:   f.Kind, until: until,
	}
	switch f.Kind {
	case message.ForwardQuery:
		c.admitQuery(f, w)
	case message.ForwardCancel:
		c.admitCancel(f, w)
	default:
		c.admitSubmission(f, w)
	}
}

// admitQuery answers a query about a job, at once or when the job ends.
func (c *Core) admitQuery(f *message.Forward, w waiter) {
	j := c.jobs[f.Job]
	e := c.keys.Get(f.Job)
	switch {
	case j != nil && j.answer != nil:
		c.reply(w.origin, *j.answer)
	case e != nil && e.Answer != nil:
		c.reply(w.origin, *e.Answer)
	case j != nil:
		if f.Submission.Deadline > 0 {
			w.until = c.now.Add(f.Submission.Deadline)
			c.addWaiter(j, w)
			return
		}
		c.reply(w.origin, j.progressAnswer())
	case e != nil:
		c.reply(w.origin, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeInDoubt})
	case !c.owner.ready:
		c.reply(w.origin, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeOwnerRecovering})
	default:
		c.reply(w.origin, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeJobNotFound, Message: "no such job is known; it may have been forgotten"})
	}
}

// admitSubmission admits a new job, or attaches the request to the job if it is already
// known.
func (c *Core) admitSubmission(f *message.Forward, w waiter) {
	hash := requestHash(f.Submission)
	if c.attachToExisting(f, w, hash) {
		return
	}
	svc := c.findService(f.Submission.Service)
	if svc == nil {
		c.reply(w.origin, notRun(f.Job, model.CodeUnknownService, "the text in force has no such service"))
		return
	}
	j := newJob(f.Job, f.Submission, hash)
	c.setJobService(j, svc)
	j.enqueuedAt = c.now
	if j.keyed && c.keysLost() {
		c.reply(w.origin, model.Answer{
			Outcome: model.OutcomeUnknown, Code: model.CodeOwnerRecovering,
			Message: "records of this data centre were lost; the key may have run before",
		})
		return
	}
	if j.keyed && !c.owner.ready {
		c.owner.deferred = append(c.owner.deferred, deferredRequest{forward: f, until: w.until})
		return
	}
	// Rejections come after the checks above: only now is it certain that the key has
	// not run, as the answer "not run" states.
	if code, msg := c.refusalReason(j, w); code != model.CodeNone {
		c.count("admissions_refused", string(code), 1)
		c.reply(w.origin, notRun(f.Job, code, msg))
		return
	}
	c.jobs[j.id] = j
	c.addWaiter(j, w)
	c.admitByClass(j, w)
}

// admitByClass queues interactive and keyed work. It logs an Accept record for all
// other work, which is queued once that record is read back.
func (c *Core) admitByClass(j *job, w waiter) {
	if j.keyed || (j.service.Class == model.ClassInteractive && w.kind == message.ForwardRequest) {
		j.deadline = w.until
		c.retryBudget(j.service.Name).RecordFirstAttempt(c.now)
		c.enqueueJob(j)
		return
	}
	j.wallDeadline = c.wall.Add(j.submission.Deadline)
	j.acceptPending = true
	c.owner.pendingAccepts++
	c.queueRecord(record.Entry{Accept: &record.Accept{
		Epoch: c.owner.epoch, Job: j.id, Submission: j.submission, RequestHash: j.requestHash, DeadlineAt: j.wallDeadline,
	}}, true)
}

// attachToExisting answers a request whose job or key is already known, or attaches it
// as a waiter. It reports false if the request is new work.
func (c *Core) attachToExisting(f *message.Forward, w waiter, hash uint64) bool {
	j, e := c.jobs[f.Job], c.keys.Get(f.Job)
	if e != nil && e.Retryable() {
		e = nil
		if j != nil && j.answer != nil {
			delete(c.jobs, f.Job)
			j = nil
		}
	}
	if j != nil && e == nil && f.Submission.Key != "" && j.active == 0 &&
		j.answer != nil && j.answer.Outcome == model.OutcomeNotRun {
		delete(c.jobs, f.Job) // the outcome "not run" permits another attempt under the same key
		j = nil
	}
	if (j != nil && j.requestHash != 0 && j.requestHash != hash) || (e != nil && e.Hash != 0 && e.Hash != hash) {
		c.reply(w.origin, notRun(f.Job, model.CodeKeyReused, "the key belongs to another request"))
		return true
	}
	switch {
	case e != nil && e.Answer != nil:
		c.reply(w.origin, *e.Answer)
	case j != nil && j.answer != nil:
		c.reply(w.origin, *j.answer)
	case j != nil:
		if w.kind == message.ForwardJob && (j.durable || (j.keyed && j.mayHaveStarted)) {
			c.reply(w.origin, j.progressAnswer())
			return true
		}
		c.completeAdoptedJob(j, f.Submission, hash)
		c.addWaiter(j, w)
	default:
		return false
	}
	return true
}

// completeAdoptedJob fills in the submission of a job that was rebuilt from a former
// owner's intent or task. The job can then be started again if it turns out not to have
// run.
func (c *Core) completeAdoptedJob(j *job, s model.Submission, hash uint64) {
	svc := c.findService(s.Service)
	if !j.adopted || svc == nil {
		return
	}
	j.setSubmission(s, hash)
	c.setJobService(j, svc)
	j.adopted = false
}

// refusalReason returns why work cannot be admitted, or CodeNone.
func (c *Core) refusalReason(j *job, w waiter) (model.Code, string) {
	o := c.owner
	if !c.canEverFit(j.resources) {
		return model.CodeNeverFits, fmt.Sprintf("no worker can hold %+v", j.resources)
	}
	atOnce := j.resources
	if j.service.Class == model.ClassGang {
		atOnce = j.resources.Scale(int64(len(j.taskStates)))
		if !c.gangCanEverFit(j) {
			return model.CodeNeverFits, fmt.Sprintf("all known workers together can't hold %d tasks of %+v", len(j.taskStates), j.resources)
		}
	}
	if q, ok := c.quota(j.service.Team); ok && exceedsQuota(atOnce, q) {
		return model.CodeQuotaExceeded, "what has to run at once exceeds the quota of team " + j.service.Team
	}
	durable := !j.keyed && (j.service.Class != model.ClassInteractive || w.kind == message.ForwardJob)
	switch {
	case durable && len(j.submission.Body) > maxLoggedBody:
		return model.CodeBodyTooLarge, fmt.Sprintf("the log takes bodies of %d bytes", maxLoggedBody)
	case c.draining:
		return model.CodeNoOwner, "the owner is shutting down"
	case durable && (len(c.jobs) >= c.cfg.Limits.Jobs || o.pendingAccepts >= c.cfg.Limits.PendingSubmissions):
		return model.CodeQueueFull, "too many jobs"
	case !durable && o.queue.WaitingInClass(model.ClassInteractive) >= c.cfg.Limits.QueuedRequests:
		return model.CodeQueueFull, "too many requests wait"
	case j.keyed && o.keyedInDoubt >= c.cfg.Limits.InDoubt:
		return model.CodeOverloaded, "too many starts are in doubt"
	}
	if durable || j.keyed {
		return model.CodeNone, ""
	}
	wait := o.queue.PredictedWait(j.queueItem(0, c.now), c.now, o.cache.Free())
	if wait > w.until.Sub(c.now) {
		return model.CodeOverloaded, "the predicted wait exceeds the deadline"
	}
	return model.CodeNone, ""
}

// exceedsQuota reports whether a resource demand is above a quota. A zero component of
// a quota means unlimited.
func exceedsQuota(need, quota model.Resources) bool {
	over := func(n, q int64) bool { return q > 0 && n > q }
	return over(need.MilliCPU, quota.MilliCPU) || over(need.MemoryMB, quota.MemoryMB) ||
		over(need.Accelerators, quota.Accelerators) || over(need.Slots, quota.Slots) ||
		over(need.Connections, quota.Connections)
}

// canEverFit reports whether a worker shape of the service text or a known worker can
// hold the resource demand.
func (c *Core) canEverFit(need model.Resources) bool {
	for _, s := range c.text.WorkerShapes {
		if need.Fits(s) {
			return true
		}
	}
	return c.owner.cache.CanEverFit(need)
}

// gangCanEverFit reports whether the known workers, if empty, could hold all tasks of a
// gang at once. It returns true while some worker has not reported, since the answer is
// not known then.
func (c *Core) gangCanEverFit(j *job) bool {
	if !c.allWorkersReported() {
		return true
	}
	rs := make([]placement.Request, len(j.taskStates))
	for i := range rs {
		rs[i].Resources = j.resources
	}
	return c.owner.cache.CanEverFitGang(rs)
}

func (c *Core) quota(team string) (model.Resources, bool) {
	for _, t := range c.text.Teams {
		if t.Name == team {
			return t.Quota, true
		}
	}
	return model.Resources{}, false
}

func (c *Core) findService(name string) *model.Service {
	if c.text == nil {
		return nil
	}
	return c.text.Service(name)
}

// setJobService copies the service into the job and derives the resources and the keyed
// flag from it.
func (c *Core) setJobService(j *job, svc *model.Service) {
	j.service = *svc
	j.keyed = !svc.Idempotent
	j.resources = svc.Resources
	if j.submission.Resources != nil {
		j.resources = *j.submission.Resources
	}
	j.resources.Slots = max(j.resources.Slots, 1)
}

// admitCancel cancels a job.
func (c *Core) admitCancel(f *message.Forward, w waiter) {
	j := c.jobs[f.Job]
	if j == nil || j.answer != nil {
		c.admitQuery(f, w)
		return
	}
	if !j.cancelled {
		c.cancelJob(j)
	}
	if j.durable && !j.cancelLogged {
		// A successor would run the job to its end if this owner were lost before the log
		// has the cancellation.
		j.cancelWaiters = append(j.cancelWaiters, w)
		return
	}
	c.replyCancelled(j, w)
}

func (c *Core) replyCancelled(j *job, w waiter) {
	a := j.progressAnswer()
	if j.answer != nil {
		a = *j.answer
	}
	a.Code = model.CodeCancelled
	c.reply(w.origin, a)
}

// cancelJob stops the running tasks of a job. Queued tasks stay in the queue and are
// dropped when they reach its head, so that mass cancellation is cheap.
func (c *Core) cancelJob(j *job) {
	j.cancelled = true
	c.count("cancellations", "", 1)
	if j.durable {
		c.queueRecord(record.Entry{Cancel: &record.Cancel{Epoch: c.owner.epoch, Job: j.id}}, true)
	}
	for _, id := range sortedKeys(c.owner.jobTasks[j.id]) {
		t := c.owner.jobTasks[j.id][id]
		c.stopTask(t)
	}
	c.maybeEndJob(j)
}
