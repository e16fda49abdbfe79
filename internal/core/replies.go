package core

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// onForwardSent handles the delivery of a forward.
func (c *Core) onForwardSent(ev *Sent) {
	cl := c.calls[c.forwards[ev.ID]]
	delete(c.forwards, ev.ID)
	if cl == nil {
		return
	}
	if ev.Delivery == DeliveryNotSent && c.forwardsOver(cl, []string{ev.ID}) {
		return
	}
	if cl.message != ev.ID || cl.refused != nil {
		return
	}
	if ev.Delivery == DeliveryOK {
		cl.misses = 0
		return
	}
	if ev.Delivery == DeliveryNotSent {
		cl.misses++
	}
	c.routeAt(cl, noOwnerRetry)
	if cl.misses >= unreachableMisses && cl.home != c.cfg.Self.DataCentre {
		c.unreachable(cl)
	}
}

// forwardsOver notes forwards that did not and will not make anything run. It
// reports whether the call was answered: a refusal counts once it holds for
// every forward.
func (c *Core) forwardsOver(cl *call, ids []string) bool {
	cl.open = slices.DeleteFunc(cl.open, func(id string) bool { return contains(ids, id) })
	if cl.refused == nil || len(cl.open) > 0 {
		return false
	}
	c.finishCall(cl, *cl.refused)
	return true
}

// onReply matches a reply to its call by request id and job id.
func (c *Core) onReply(r *message.Reply) {
	cl := c.calls[r.Request]
	if cl != nil && r.Answer.Outcome == model.OutcomeNotRun && c.forwardsOver(cl, r.Forwards) {
		return
	}
	if cl == nil || r.Answer.Job != cl.job {
		c.count("replies_late", "", 1)
		return
	}
	a := r.Answer
	switch {
	case cl.kind == message.ForwardQuery || cl.kind == message.ForwardCancel:
		if a.Code == model.CodeNoOwner {
			c.routeAt(cl, noOwnerRetry)
			return
		}
		c.finishCall(cl, a)
	case a.Outcome == model.OutcomeAccepted || a.Outcome == model.OutcomeRunning:
		cl.accepted = true
		if cl.kind == message.ForwardJob {
			c.finishCall(cl, a)
		}
	case a.Outcome == model.OutcomeNotRun:
		c.onNotRun(cl, a)
	default:
		c.finishCall(cl, a)
	}
}

// onNotRun decides whether a target's "not run" is the caller's answer. It
// holds only for the forwards that the target names. Another one may still be
// on its way, so the answer waits until it is known not to run either.
func (c *Core) onNotRun(cl *call, a model.Answer) {
	if cl.refused != nil {
		return
	}
	transient := a.Code == model.CodeNoOwner || a.Code == model.CodeDraining
	elsewhere := transient || a.Code == model.CodeOverloaded || a.Code == model.CodeQueueFull
	if elsewhere && cl.movable && c.moveElsewhere(cl) {
		return
	}
	if transient {
		c.routeAt(cl, noOwnerRetry)
		return
	}
	if len(cl.open) > 0 {
		cl.refused = &a
		cl.nextSend = model.Never
		cl.deadline = min(cl.deadline, c.now.Add(forwardRepeat))
		c.callTimers.add(cl.deadline, cl.id)
		return
	}
	c.finishCall(cl, a)
}

// deadlineAnswer is the honest answer at the deadline of a call.
func (c *Core) deadlineAnswer(cl *call) model.Answer {
	a := model.Answer{Job: cl.job, Code: model.CodeDeadline, Message: "the deadline passed"}
	switch {
	case cl.accepted:
		a.Outcome = model.OutcomeAccepted
		a.Message = "the job is accepted and not finished; ask again with its id"
	case len(cl.open) > 0:
		a.Outcome = model.OutcomeUnknown
		a.Message = "the deadline passed with no answer; ask again with the job id"
	default:
		return cl.refusal(model.CodeNoOwner, a.Message)
	}
	return a
}

// refusal is the answer to a call that was certainly not delivered. New work
// then did not run, but a query or a cancellation says nothing about its job,
// and only its home can say whether a key has run in an earlier try.
func (cl *call) refusal(code model.Code, msg string) model.Answer {
	a := notRun(cl.job, code, msg)
	if cl.kind == message.ForwardQuery || cl.kind == message.ForwardCancel {
		a.Outcome = model.OutcomeUnknown
	}
	if cl.sub.Key != "" && model.IsRoutingFailure(code) {
		a.Outcome = model.OutcomeUnknown
	}
	return a
}

// finishCall answers a caller.
func (c *Core) finishCall(cl *call, a model.Answer) {
	c.dropCall(cl)
	c.answerCaller(cl.id, a)
}

func (c *Core) dropCall(cl *call) {
	delete(c.calls, cl.id)
	for _, id := range cl.open {
		delete(c.forwards, id)
	}
}

func (c *Core) answerCaller(id model.RequestID, a model.Answer) {
	c.count("answers", string(a.Outcome), 1)
	c.emit(Effect{Answer: &Answer{Request: id, Answer: a}})
}

// onGone drops a call whose caller has left. Work that was accepted or has a
// key goes on.
func (c *Core) onGone(ev *CallerGone) {
	if cl := c.calls[ev.Request]; cl != nil {
		c.dropCall(cl)
	}
}

// notRun returns the answer for work that did not run and will not.
func notRun(job model.JobID, code model.Code, msg string) model.Answer {
	return model.Answer{Job: job, Outcome: model.OutcomeNotRun, Code: code, Message: msg}
}
