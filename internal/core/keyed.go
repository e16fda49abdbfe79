package core

import (
	"fmt"
	"sort"
	"time"

	"github.com/gentianpick/gentianpick/internal/keys"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/ownership"
	"github.com/gentianpick/gentianpick/internal/record"
)

// logIntent logs that a non-idempotent task is about to start. The start is sent only
// after the intent is durable.
func (c *Core) logIntent(t *task, w *workerState) {
	t.phase = phaseIntent
	c.owner.pendingIntents[t.id] = t
	t.notAfter = c.startNotAfter(w)
	in := c.intentOf(t)
	c.queueRecord(record.Entry{Intent: &in}, true)
}

func (c *Core) intentOf(t *task) record.Intent {
	j := t.job
	return record.Intent{
		Epoch: c.owner.epoch, Service: j.service.Name, Key: j.submission.Key, RequestHash: j.requestHash,
		Job: j.id, Task: t.id, Attempt: t.attemptNumber, Worker: t.worker, Boot: t.boot,
		NotAfter: t.notAfter, Resources: j.resources,
	}
}

// intentDurable handles an intent that was read back from the log. It starts the task
// unless the intent has become void.
func (c *Core) intentDurable(in record.Intent, res keys.Result) {
	t := c.owner.tasks[in.Task]
	if t == nil || t.phase != phaseIntent {
		return
	}
	switch {
	case res == keys.Conflict:
		c.untrack(t)
		if e := c.keys.Get(in.Job); e != nil && e.Answer != nil {
			c.endJob(t.job, *e.Answer)
		}
	case t.job.answer != nil || t.job.cancelled:
		c.abandonIntent(t, in)
	case res == keys.StaleEpoch || !c.acting() || c.owner.workers[t.worker] == nil:
		c.untrack(t)
		c.requeue(t, 0)
	default:
		c.startWithIntent(t)
	}
}

// startWithIntent sends the start of a task whose intent is durable or held by a
// majority of the electors. It keeps the not-after time of the intent, since a
// successor relies on that time.
func (c *Core) startWithIntent(t *task) {
	w := c.owner.workers[t.worker]
	if w != nil && w.leaving {
		// The worker was chosen before it began to leave, while the intent was stored.
		c.count("intents_on_leaving_workers", "", 1)
		c.untrack(t)
		c.requeue(t, 0)
		return
	}
	if w == nil || c.startNotAfter(w) > t.notAfter+model.WorkerTime(c.cfg.Timing.StartGrace) {
		// The intent took too long to become durable; the worker would reject the
		// start.
		c.count("intents_late", "", 1)
		c.untrack(t)
		c.requeue(t, 0)
		return
	}
	c.observe("intent_wait_seconds", "", c.now.Sub(t.placedAt))
	c.sendStart(t, w)
}

// abandonIntent records the outcome "not run" for a durable intent whose job ended
// before the start.
func (c *Core) abandonIntent(t *task, in record.Intent) {
	j := t.job
	a := notRun(j.id, model.CodeDeadline, "the work ended before it started")
	if j.cancelled {
		a.Code = model.CodeCancelled
	}
	c.untrack(t)
	if e := c.keys.Get(in.Job); e != nil && e.Attempt == in.Attempt {
		c.appendOutcome(in, a)
	}
	c.endJob(j, a)
}

// onKeyedEnd handles a worker's report that a non-idempotent task has ended.
func (c *Core) onKeyedEnd(t *task, st model.TaskStatus) {
	a := keyedAnswer(t.job.id, st)
	if st.State != model.TaskStopped {
		c.recordTaskHealth(t, st.State == model.TaskDone)
	}
	if st.State == model.TaskDone {
		c.owner.queue.RecordRunTime(t.job.submission.Service, t.job.submission.Operation, st.Ran, c.now)
	}
	c.count("tasks_"+string(a.Outcome), string(t.job.service.Class), 1)
	c.recordOutcome(t, a)
	c.untrack(t)
	c.endJob(t.job, a)
}

// keyedAnswer derives the answer of a keyed job from the final task status.
func keyedAnswer(job model.JobID, st model.TaskStatus) model.Answer {
	switch {
	case st.ResultDiscarded:
		return model.Answer{Job: job, Outcome: model.OutcomeUnknown, Code: model.CodeResultLost, Message: "it ran; its result is no longer held"}
	case len(st.Result) > maxLoggedResult:
		return model.Answer{
			Job: job, Outcome: model.OutcomeUnknown, Code: model.CodeResultLost,
			Message: fmt.Sprintf("it ran; its result has %d bytes and the log keeps %d", len(st.Result), maxLoggedResult),
		}
	case st.State == model.TaskDone:
		return model.Answer{Job: job, Outcome: model.OutcomeDone, Result: st.Result}
	case st.State == model.TaskStopped:
		return model.Answer{Job: job, Outcome: model.OutcomeFailed, Code: model.CodeTaskStopped, Message: st.Message}
	}
	return model.Answer{Job: job, Outcome: model.OutcomeFailed, Code: model.CodeTaskFailed, Message: st.Message}
}

// recordOutcome records the outcome of a key in memory and queues its log record.
func (c *Core) recordOutcome(t *task, a model.Answer) { c.appendOutcome(c.intentOf(t), a) }

func (c *Core) appendOutcome(in record.Intent, a model.Answer) {
	a.Job = in.Job
	o := record.Outcome{
		Epoch: c.owner.epoch, Service: in.Service, Key: in.Key, RequestHash: in.RequestHash,
		Attempt: in.Attempt, Answer: a, Worker: in.Worker, Task: in.Task,
	}
	c.keys.AddOutcome(c.now, o)
	c.queueRecord(record.Entry{Outcome: &o}, false)
}

// outcomeDurable lets the worker drop a result that is in the log.
func (c *Core) outcomeDurable(o record.Outcome) {
	if o.Worker != "" && c.owner.workers[o.Worker] != nil {
		c.ackTask(o.Worker, o.Task)
	}
	if t := c.owner.tasks[o.Task]; t != nil && o.Answer.Outcome.Final() && t.job.keyed {
		// A former owner's outcome that was read after its intent was adopted.
		c.untrack(t)
		c.endJob(t.job, o.Answer)
	}
}

// adoptIntent creates a task in doubt for an intent that has no outcome and was not
// logged by this owner.
func (c *Core) adoptIntent(e *keys.Entry) {
	in := e.Intent
	if in.Task == "" || c.owner.tasks[in.Task] != nil {
		return
	}
	j := c.jobs[e.Job]
	if j == nil {
		j = newJob(e.Job, model.Submission{Service: e.Service, Key: e.Key}, e.Hash)
		c.jobs[e.Job] = j
	}
	j.adopted = true
	j.keyed, j.mayHaveStarted = true, true
	j.resources = in.Resources
	if svc := c.findService(e.Service); svc != nil {
		j.service = *svc
	}
	j.service.Name, j.service.Idempotent = e.Service, false
	t := &task{
		job: j, id: in.Task, attemptNumber: in.Attempt, worker: in.Worker, boot: in.Boot,
		notAfter: in.NotAfter, attempts: 1, placedAt: c.now, queuedAt: c.now,
	}
	c.track(t)
	t.phase = phaseInDoubt
	c.owner.keyedInDoubt++
	c.owner.queryTimers.add(c.now, t.id)
	if c.owner.workers[in.Worker] != nil {
		c.owner.cache.RecordReport(t.id, in.Worker, t.spec(), model.Resources{}, c.now)
		c.owner.cache.MarkInDoubt(t.id)
	}
}

// holdRetryInterval is the interval at which Hold messages to the electors are
// repeated.
const holdRetryInterval = 100 * time.Millisecond

// tickHolds asks the electors to hold intents in memory while the log is unavailable.
func (c *Core) tickHolds() {
	o := c.owner
	if !c.logUnavailable() || c.now < o.nextHoldRequest {
		return
	}
	o.nextHoldRequest = c.now.Add(holdRetryInterval)
	claim, ok := c.lease.Claim()
	if !ok {
		return
	}
	ins := c.pendingIntents()
	if len(ins) == 0 {
		return
	}
	for _, in := range ins {
		c.heldIntents[in.Task] = in
		c.onHoldConfirmed(c.cfg.Self.Incarnation, in.Task)
	}
	for _, m := range claim.Electors {
		if m.Incarnation != c.cfg.Self.Incarnation {
			c.send(m, message.Body{Hold: &message.Hold{Epoch: o.epoch, Intents: ins}})
		}
	}
}

// pendingIntents returns the intents that wait for the log.
func (c *Core) pendingIntents() []record.Intent {
	var out []record.Intent
	for _, id := range sortedKeys(c.owner.pendingIntents) {
		t := c.owner.pendingIntents[id]
		if t.phase != phaseIntent || t.job.answer != nil || t.job.cancelled {
			continue
		}
		if w := c.owner.workers[t.worker]; w != nil && c.now.Sub(t.placedAt) > logOutageTimeout/2 {
			if c.owner.holdConfirmations[id] == nil {
				t.notAfter = c.startNotAfter(w)
			}
			out = append(out, c.intentOf(t))
		}
	}
	return out
}

// onHold stores intents of the owner while the log is unavailable. An instance that has
// answered the HeldRequest of a later owner rejects intents of earlier epochs: the
// answer would no longer be complete.
func (c *Core) onHold(from model.Member, h *message.Hold) {
	if h.Epoch < c.lease.Epoch() || h.Epoch < c.consultEpoch {
		return
	}
	r := &message.HoldReply{Epoch: h.Epoch}
	for _, in := range h.Intents {
		if e := c.keys.Get(in.Job); e != nil && e.Attempt > in.Attempt {
			continue
		}
		c.heldIntents[in.Task] = in
		r.Tasks = append(r.Tasks, in.Task)
	}
	c.send(from, message.Body{HoldReply: r})
}

// onHoldReply counts an elector's confirmation.
func (c *Core) onHoldReply(from model.Member, r *message.HoldReply) {
	if c.owner == nil || r.Epoch != c.owner.epoch {
		return
	}
	for _, id := range r.Tasks {
		c.onHoldConfirmed(from.Incarnation, id)
	}
}

// onHoldConfirmed starts a task once a majority of the electors holds its intent.
func (c *Core) onHoldConfirmed(inc model.Incarnation, id model.TaskID) {
	o := c.owner
	t := o.tasks[id]
	claim, ok := c.lease.Claim()
	if !ok || t == nil || t.phase != phaseIntent {
		return
	}
	if o.holdConfirmations[id] == nil {
		o.holdConfirmations[id] = make(map[model.Incarnation]bool)
	}
	o.holdConfirmations[id][inc] = true
	n := 0
	for _, m := range claim.Electors {
		if o.holdConfirmations[id][m.Incarnation] {
			n++
		}
	}
	if n < ownership.Majority(len(claim.Electors)) || !c.acting() {
		return
	}
	in := c.intentOf(t)
	in.Late = true
	if res := c.keys.Restore(c.now, in); res != keys.Accepted {
		return
	}
	c.queueRecord(record.Entry{Intent: &in}, true)
	c.count("intents_held", "", 1)
	c.startWithIntent(t)
}

// onHeldRequest sends the held intents to a new owner.
func (c *Core) onHeldRequest(from model.Member, r *message.HeldRequest) {
	c.consultEpoch = max(c.consultEpoch, r.Epoch)
	c.send(from, message.Body{HeldReply: &message.HeldReply{Epoch: r.Epoch, Intents: sortedIntents(c.heldIntents)}})
}

func sortedIntents(held map[model.TaskID]record.Intent) []record.Intent {
	out := make([]record.Intent, 0, len(held))
	for _, in := range held {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}
