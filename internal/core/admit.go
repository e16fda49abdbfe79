package core

import (
	"fmt"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/record"
)

// onForward takes a request that another instance forwarded: as the owner it
// admits it, else it hands it on to its data centre's owner.
func (c *Core) onForward(f *message.Forward) {
	o := originOf(f)
	if jobHome(f.Job) != c.cfg.Self.DataCentre {
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

// parked is a request that waits until the owner knows which keys have run.
type parked struct {
	f     *message.Forward
	until model.Time
}

func (p parked) origin() origin { return originOf(p.f) }

// admit decides on a request at the owner.
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
		c.admitWork(f, w)
	}
}

// admitQuery answers a question about a job, at once or when it ends.
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
			c.attach(j, w)
			return
		}
		c.reply(w.origin, j.progress())
	case e != nil:
		c.reply(w.origin, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeInDoubt})
	case !c.own.settled:
		c.reply(w.origin, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeOwnerRecovering})
	default:
		c.reply(w.origin, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeJobNotFound, Message: "no such job is known; it may have been forgotten"})
	}
}

// admitWork admits new work or attaches the request to work that is known.
func (c *Core) admitWork(f *message.Forward, w waiter) {
	hash := requestHash(f.Submission)
	if c.attachKnown(f, w, hash) {
		return
	}
	svc := c.serviceOf(f.Submission.Service)
	if svc == nil {
		c.reply(w.origin, notRun(f.Job, model.CodeUnknownService, "the text in force has no such service"))
		return
	}
	j := newJob(f.Job, f.Submission, hash)
	c.adoptService(j, svc)
	j.enqueued = c.now
	if j.keyed && c.keysLost() {
		c.reply(w.origin, model.Answer{
			Outcome: model.OutcomeUnknown, Code: model.CodeOwnerRecovering,
			Message: "records of this data centre were lost; the key may have run before",
		})
		return
	}
	if j.keyed && !c.own.settled {
		c.own.parked = append(c.own.parked, parked{f: f, until: w.until})
		return
	}
	// Only here is it certain that a key has not run, so that "not run" is true.
	if code, msg := c.refusal(j, w); code != model.CodeNone {
		c.count("admissions_refused", string(code), 1)
		c.reply(w.origin, notRun(f.Job, code, msg))
		return
	}
	c.jobs[j.id] = j
	c.attach(j, w)
	c.admitByClass(j, w)
}

// admitByClass queues interactive and keyed work, and makes the rest durable.
func (c *Core) admitByClass(j *job, w waiter) {
	if j.keyed || (j.svc.Class == model.ClassInteractive && w.kind == message.ForwardRequest) {
		j.deadline = w.until
		c.budget(j.svc.Name).RecordFirstAttempt(c.now)
		c.enqueueJob(j)
		return
	}
	j.deadlineAt = c.wall.Add(j.sub.Deadline)
	j.accepting = true
	c.own.undurable++
	c.append(record.Entry{Accept: &record.Accept{
		Epoch: c.own.epoch, Job: j.id, Submission: j.sub, RequestHash: j.hash, DeadlineAt: j.deadlineAt,
	}}, true)
}

// attachKnown answers a request whose job is known already. It reports whether
// it did.
func (c *Core) attachKnown(f *message.Forward, w waiter, hash uint64) bool {
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
		delete(c.jobs, f.Job) // "not run" permits another try under the same key
		j = nil
	}
	if (j != nil && j.hash != 0 && j.hash != hash) || (e != nil && e.Hash != 0 && e.Hash != hash) {
		c.reply(w.origin, notRun(f.Job, model.CodeKeyReused, "the key belongs to another request"))
		return true
	}
	switch {
	case e != nil && e.Answer != nil:
		c.reply(w.origin, *e.Answer)
	case j != nil && j.answer != nil:
		c.reply(w.origin, *j.answer)
	case j != nil:
		if w.kind == message.ForwardJob && (j.durable || (j.keyed && j.everStarted)) {
			c.reply(w.origin, j.progress())
			return true
		}
		c.completeAdopted(j, f.Submission, hash)
		c.attach(j, w)
	default:
		return false
	}
	return true
}

// completeAdopted fills in the request of a job that was made from a former
// owner's intent, so that it can start again should it turn out not to have
// run.
func (c *Core) completeAdopted(j *job, s model.Submission, hash uint64) {
	svc := c.serviceOf(s.Service)
	if !j.adopted || svc == nil {
		return
	}
	j.setSubmission(s, hash)
	c.adoptService(j, svc)
	j.adopted = false
}

// refusal says why work can't be admitted.
func (c *Core) refusal(j *job, w waiter) (model.Code, string) {
	o := c.own
	if !c.fitsAnything(j.need) {
		return model.CodeNeverFits, fmt.Sprintf("no worker can hold %+v", j.need)
	}
	atOnce := j.need
	if j.svc.Class == model.ClassGang {
		atOnce = j.need.Scale(int64(len(j.marks)))
		if !c.gangFits(j) {
			return model.CodeNeverFits, fmt.Sprintf("all known workers together can't hold %d tasks of %+v", len(j.marks), j.need)
		}
	}
	if q, ok := c.quota(j.svc.Team); ok && exceeds(atOnce, q) {
		return model.CodeQuotaExceeded, "what has to run at once exceeds the quota of team " + j.svc.Team
	}
	durable := !j.keyed && (j.svc.Class != model.ClassInteractive || w.kind == message.ForwardJob)
	switch {
	case durable && len(j.sub.Body) > maxLoggedBody:
		return model.CodeBodyTooLarge, fmt.Sprintf("the log takes bodies of %d bytes", maxLoggedBody)
	case c.draining:
		return model.CodeNoOwner, "the owner is shutting down"
	case durable && (len(c.jobs) >= c.cfg.Limits.Jobs || o.undurable >= c.cfg.Limits.PendingSubmissions):
		return model.CodeQueueFull, "too many jobs"
	case !durable && o.queue.WaitingInClass(model.ClassInteractive) >= c.cfg.Limits.QueuedRequests:
		return model.CodeQueueFull, "too many requests wait"
	case j.keyed && o.doubts >= c.cfg.Limits.InDoubt:
		return model.CodeOverloaded, "too many starts are in doubt"
	}
	if durable || j.keyed {
		return model.CodeNone, ""
	}
	wait := o.queue.PredictedWait(j.item(0, c.now), c.now, o.cache.Free())
	if wait > w.until.Sub(c.now) {
		return model.CodeOverloaded, "the predicted wait exceeds the deadline"
	}
	return model.CodeNone, ""
}

// exceeds reports whether a demand is above a quota; a zero component of a
// quota is unlimited.
func exceeds(need, quota model.Resources) bool {
	over := func(n, q int64) bool { return q > 0 && n > q }
	return over(need.MilliCPU, quota.MilliCPU) || over(need.MemoryMB, quota.MemoryMB) ||
		over(need.Accelerators, quota.Accelerators) || over(need.Slots, quota.Slots) ||
		over(need.Connections, quota.Connections)
}

// fitsAnything reports whether some worker shape of the text or some known
// worker can hold the demand.
func (c *Core) fitsAnything(need model.Resources) bool {
	for _, s := range c.text.WorkerShapes {
		if need.Fits(s) {
			return true
		}
	}
	return c.own.cache.CanEverFit(need)
}

// gangFits reports whether the known workers, if they were empty, could hold
// all tasks of a gang at once. Before every worker has reported it is not known.
func (c *Core) gangFits(j *job) bool {
	if !c.allWorkersReported() {
		return true
	}
	rs := make([]placement.Request, len(j.marks))
	for i := range rs {
		rs[i].Resources = j.need
	}
	return c.own.cache.CanEverFitGang(rs)
}

func (c *Core) quota(team string) (model.Resources, bool) {
	for _, t := range c.text.Teams {
		if t.Name == team {
			return t.Quota, true
		}
	}
	return model.Resources{}, false
}

func (c *Core) serviceOf(name string) *model.Service {
	if c.text == nil {
		return nil
	}
	return c.text.Service(name)
}

// adoptService copies what the job needs of its service.
func (c *Core) adoptService(j *job, svc *model.Service) {
	j.svc = *svc
	j.keyed = !svc.Idempotent
	j.need = svc.Resources
	if j.sub.Resources != nil {
		j.need = *j.sub.Resources
	}
	j.need.Slots = max(j.need.Slots, 1)
}

// admitCancel cancels a job.
func (c *Core) admitCancel(f *message.Forward, w waiter) {
	j := c.jobs[f.Job]
	if j == nil || j.answer != nil {
		c.admitQuery(f, w)
		return
	}
	c.cancelJob(j)
	a := j.progress()
	if j.answer != nil {
		a = *j.answer
	}
	a.Code = model.CodeCancelled
	c.reply(w.origin, a)
}

// cancelJob stops a job. What waits is only marked, and dropped when the queue
// reaches it, so that a wave of cancellations costs little.
func (c *Core) cancelJob(j *job) {
	j.cancelled = true
	c.count("cancellations", "", 1)
	if j.durable {
		c.append(record.Entry{Cancel: &record.Cancel{Epoch: c.own.epoch, Job: j.id}}, true)
	}
	for _, id := range sortedKeys(c.own.jobTasks[j.id]) {
		t := c.own.jobTasks[j.id][id]
		c.stopTask(t)
	}
	c.maybeEndJob(j)
}
