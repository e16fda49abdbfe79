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

// makeIntent records that a non-idempotent task is about to start. The start
// is sent only when the intent is stable.
func (c *Core) makeIntent(t *task, w *workerState) {
	t.phase = phaseIntent
	c.own.intents[t.id] = t
	t.notAfter = c.notAfter(w)
	in := c.intentOf(t)
	c.append(record.Entry{Intent: &in}, true)
}

func (c *Core) intentOf(t *task) record.Intent {
	j := t.j
	return record.Intent{
		Epoch: c.own.epoch, Service: j.svc.Name, Key: j.sub.Key, RequestHash: j.hash,
		Job: j.id, Task: t.id, Attempt: t.number, Worker: t.worker, Boot: t.boot,
		NotAfter: t.notAfter, Resources: j.need,
	}
}

// intentStable starts a task whose intent was read back from the log, unless
// it is void by now.
func (c *Core) intentStable(in record.Intent, res keys.Result) {
	t := c.own.tasks[in.Task]
	if t == nil || t.phase != phaseIntent {
		return
	}
	switch {
	case res == keys.Conflict:
		c.untrack(t)
		if e := c.keys.Get(in.Job); e != nil && e.Answer != nil {
			c.endJob(t.j, *e.Answer)
		}
	case t.j.answer != nil || t.j.cancelled:
		c.dropStable(t, in)
	case res == keys.StaleEpoch || !c.acting() || c.own.workers[t.worker] == nil:
		c.untrack(t)
		c.again(t, 0)
	default:
		c.startStable(t)
	}
}

// startStable sends the start of a task whose intent is stable. The not-after
// time is the one in the intent: a successor relies on it.
func (c *Core) startStable(t *task) {
	w := c.own.workers[t.worker]
	if w == nil || c.notAfter(w) > t.notAfter+model.WorkerTime(c.cfg.Timing.StartGrace) {
		// The intent took too long; the worker would refuse the start.
		c.count("intents_late", "", 1)
		c.untrack(t)
		c.again(t, 0)
		return
	}
	c.observe("intent_wait_seconds", "", c.now.Sub(t.placed))
	c.sendStart(t, w)
}

// dropStable settles an intent whose request has ended before the start.
func (c *Core) dropStable(t *task, in record.Intent) {
	j := t.j
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

// keyedEnded handles a worker's word that a non-idempotent task has ended.
func (c *Core) keyedEnded(t *task, st model.TaskStatus) {
	a := keyedAnswer(t.j.id, st)
	if st.State != model.TaskStopped {
		c.noteHealth(t, st.State == model.TaskDone)
	}
	if st.State == model.TaskDone {
		c.own.queue.RecordRunTime(t.j.sub.Service, t.j.sub.Operation, st.Ran, c.now)
	}
	c.count("tasks_"+string(a.Outcome), string(t.j.svc.Class), 1)
	c.keyedOutcome(t, a)
	c.untrack(t)
	c.endJob(t.j, a)
}

// keyedAnswer is the answer that follows from a worker's final word.
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

// keyedOutcome makes the outcome of a key known here and, later, in the log.
func (c *Core) keyedOutcome(t *task, a model.Answer) { c.appendOutcome(c.intentOf(t), a) }

func (c *Core) appendOutcome(in record.Intent, a model.Answer) {
	a.Job = in.Job
	o := record.Outcome{
		Epoch: c.own.epoch, Service: in.Service, Key: in.Key, RequestHash: in.RequestHash,
		Attempt: in.Attempt, Answer: a, Worker: in.Worker, Task: in.Task,
	}
	c.keys.AddOutcome(c.now, o)
	c.append(record.Entry{Outcome: &o}, false)
}

// outcomeDurable lets the worker forget a result that is in the log.
func (c *Core) outcomeDurable(o record.Outcome) {
	if o.Worker != "" && c.own.workers[o.Worker] != nil {
		c.forgetTask(o.Worker, o.Task)
	}
	if t := c.own.tasks[o.Task]; t != nil && o.Answer.Outcome.Final() && t.j.keyed {
		// A former owner's outcome, read after its intent was adopted.
		c.untrack(t)
		c.endJob(t.j, o.Answer)
	}
}

// adoptIntent makes a task in doubt of an intent without an outcome that this
// owner did not make itself.
func (c *Core) adoptIntent(e *keys.Entry) {
	in := e.Intent
	if in.Task == "" || c.own.tasks[in.Task] != nil {
		return
	}
	j := c.jobs[e.Job]
	if j == nil {
		j = newJob(e.Job, model.Submission{Service: e.Service, Key: e.Key}, e.Hash)
		c.jobs[e.Job] = j
	}
	j.adopted = true
	j.keyed, j.everStarted = true, true
	j.need = in.Resources
	if svc := c.serviceOf(e.Service); svc != nil {
		j.svc = *svc
	}
	j.svc.Name, j.svc.Idempotent = e.Service, false
	t := &task{
		j: j, id: in.Task, number: in.Attempt, worker: in.Worker, boot: in.Boot,
		notAfter: in.NotAfter, attempts: 1, placed: c.now, queued: c.now,
	}
	c.track(t)
	t.phase = phaseDoubt
	c.own.doubts++
	c.own.queries.add(c.now, t.id)
	if c.own.workers[in.Worker] != nil {
		c.own.cache.RecordReport(t.id, in.Worker, t.spec(), model.Resources{}, c.now)
		c.own.cache.MarkInDoubt(t.id)
	}
}

// holdInterval is how often electors are asked again to hold an intent.
const holdInterval = 100 * time.Millisecond

// tickHolds asks the electors to hold intents in memory while the log is out.
func (c *Core) tickHolds() {
	o := c.own
	if !c.logOut() || c.now < o.nextHold {
		return
	}
	o.nextHold = c.now.Add(holdInterval)
	claim, ok := c.lease.Claim()
	if !ok {
		return
	}
	ins := c.unstableIntents()
	if len(ins) == 0 {
		return
	}
	for _, in := range ins {
		c.held[in.Task] = in
		c.holdConfirmed(c.cfg.Self.Incarnation, in.Task)
	}
	for _, m := range claim.Electors {
		if m.Incarnation != c.cfg.Self.Incarnation {
			c.send(m, message.Body{Hold: &message.Hold{Epoch: o.epoch, Intents: ins}})
		}
	}
}

// unstableIntents returns the intents that wait for the log.
func (c *Core) unstableIntents() []record.Intent {
	var out []record.Intent
	for _, id := range sortedKeys(c.own.intents) {
		t := c.own.intents[id]
		if t.phase != phaseIntent || t.j.answer != nil || t.j.cancelled {
			continue
		}
		if w := c.own.workers[t.worker]; w != nil && c.now.Sub(t.placed) > logOutAfter/2 {
			if c.own.holds[id] == nil {
				t.notAfter = c.notAfter(w)
			}
			out = append(out, c.intentOf(t))
		}
	}
	return out
}

// onHold keeps intents of the owner while the log is out. An instance that has
// answered a later owner's consult holds nothing for an earlier one, since
// that answer would then be incomplete.
func (c *Core) onHold(from model.Member, h *message.Hold) {
	if h.Epoch < c.lease.Epoch() || h.Epoch < c.consultedBy {
		return
	}
	r := &message.HoldReply{Epoch: h.Epoch}
	for _, in := range h.Intents {
		if e := c.keys.Get(in.Job); e != nil && e.Attempt > in.Attempt {
			continue
		}
		c.held[in.Task] = in
		r.Tasks = append(r.Tasks, in.Task)
	}
	c.send(from, message.Body{HoldReply: r})
}

// onHoldReply counts an elector's confirmation.
func (c *Core) onHoldReply(from model.Member, r *message.HoldReply) {
	if c.own == nil || r.Epoch != c.own.epoch {
		return
	}
	for _, id := range r.Tasks {
		c.holdConfirmed(from.Incarnation, id)
	}
}

// holdConfirmed starts a task whose intent a majority of the electors holds.
func (c *Core) holdConfirmed(inc model.Incarnation, id model.TaskID) {
	o := c.own
	t := o.tasks[id]
	claim, ok := c.lease.Claim()
	if !ok || t == nil || t.phase != phaseIntent {
		return
	}
	if o.holds[id] == nil {
		o.holds[id] = make(map[model.Incarnation]bool)
	}
	o.holds[id][inc] = true
	n := 0
	for _, m := range claim.Electors {
		if o.holds[id][m.Incarnation] {
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
	c.append(record.Entry{Intent: &in}, true)
	c.count("intents_held", "", 1)
	c.startStable(t)
}

// onHeldRequest answers a new owner's consult.
func (c *Core) onHeldRequest(from model.Member, r *message.HeldRequest) {
	c.consultedBy = max(c.consultedBy, r.Epoch)
	c.send(from, message.Body{HeldReply: &message.HeldReply{Epoch: r.Epoch, Intents: sortedHeld(c.held)}})
}

func sortedHeld(held map[model.TaskID]record.Intent) []record.Intent {
	out := make([]record.Intent, 0, len(held))
	for _, in := range held {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}
