package core

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// onForwardSent handles the delivery result of a forward.
func (c *Core) onForwardSent(ev *Sent) {
	cl := c.calls[c.undeliveredForwards[ev.ID]]
	delete(c.undeliveredForwards, ev.ID)
	if cl == nil {
		return
	}
	if ev.Delivery == DeliveryNotSent && c.closeForwards(cl, []string{ev.ID}) {
		return
	}
	if cl.lastForward != ev.ID || cl.pendingRefusal != nil {
		return
	}
	if ev.Delivery == DeliveryOK {
		cl.sendFailures = 0
		return
	}
	if ev.Delivery == DeliveryNotSent {
		cl.sendFailures++
	}
	c.routeAfter(cl, noOwnerRetryDelay)
	if cl.sendFailures >= maxSendFailures && cl.home != c.cfg.Self.DataCentre {
		c.onHomeUnreachable(cl)
	}
}

// closeForwards removes forwards that have not run and will not run anything. A pending
// refusal becomes the answer once no forward of the call is open; closeForwards reports
// whether it answered the call.
func (c *Core) closeForwards(cl *call, ids []string) bool {
	cl.openForwards = slices.DeleteFunc(cl.openForwards, func(id string) bool { return contains(ids, id) })
	if cl.pendingRefusal == nil || len(cl.openForwards) > 0 {
		return false
	}
	c.finishCall(cl, *cl.pendingRefusal)
	return true
}

// onReply matches a reply to its call by request id and job id.
func (c *Core) onReply(r *message.Reply) {
	cl := c.calls[r.Request]
	if cl != nil && r.Answer.Outcome == model.OutcomeNotRun && c.closeForwards(cl, r.Forwards) {
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
			c.routeAfter(cl, noOwnerRetryDelay)
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

// onNotRun handles the answer "not run". The answer applies only to the forwards that
// the reply names. Other forwards may still be in flight, so the caller is answered
// only after they are known not to run either.
func (c *Core) onNotRun(cl *call, a model.Answer) {
	if cl.pendingRefusal != nil {
		return
	}
	transient := a.Code == model.CodeNoOwner || a.Code == model.CodeDraining
	elsewhere := transient || a.Code == model.CodeOverloaded || a.Code == model.CodeQueueFull
	if elsewhere && cl.redirectable && c.redirect(cl) {
		return
	}
	if transient {
		c.routeAfter(cl, noOwnerRetryDelay)
		return
	}
	if len(cl.openForwards) > 0 {
		cl.pendingRefusal = &a
		cl.nextRoute = model.Never
		cl.deadline = min(cl.deadline, c.now.Add(forwardRetryInterval))
		c.callTimers.add(cl.deadline, cl.id)
		return
	}
	c.finishCall(cl, a)
}

// deadlineAnswer returns what is known about a call at its deadline.
func (c *Core) deadlineAnswer(cl *call) model.Answer {
	a := model.Answer{Job: cl.job, Code: model.CodeDeadline, Message: "the deadline passed"}
	switch {
	case cl.accepted:
		a.Outcome = model.OutcomeAccepted
		a.Message = "the job is accepted and not finished; ask again with its id"
	case len(cl.openForwards) > 0:
		a.Outcome = model.OutcomeUnknown
		a.Message = "the deadline passed with no answer; ask again with the job id"
	default:
		return cl.refusalAnswer(model.CodeNoOwner, a.Message)
	}
	return a
}

// refusalAnswer returns the answer to a call that was rejected here or certainly not
// delivered. New work then has not run. For a query or a cancellation, however, the
// state of the job is unknown, and only the home data centre knows whether a key has
// run in an earlier attempt.
func (cl *call) refusalAnswer(code model.Code, msg string) model.Answer {
	a := notRun(cl.job, code, msg)
	if cl.kind == message.ForwardQuery || cl.kind == message.ForwardCancel {
		a.Outcome = model.OutcomeUnknown
	}
	if cl.sub.Key != "" && model.OfInstance(code) {
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
	for _, id := range cl.openForwards {
		delete(c.undeliveredForwards, id)
	}
}

func (c *Core) answerCaller(id model.RequestID, a model.Answer) {
	c.count("answers", string(a.Outcome), 1)
	c.emit(Effect{Answer: &Answer{Request: id, Answer: a}})
}

// onCallerGone removes the call of a caller that no longer waits. Work that was
// accepted or has a key continues.
func (c *Core) onCallerGone(ev *CallerGone) {
	if cl := c.calls[ev.Request]; cl != nil {
		c.dropCall(cl)
	}
}

// notRun returns the answer for work that has not run and will not run.
func notRun(job model.JobID, code model.Code, msg string) model.Answer {
	return model.Answer{Job: job, Outcome: model.OutcomeNotRun, Code: code, Message: msg}
}
