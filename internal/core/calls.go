package core

import (
	"fmt"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// call is a caller's request at the instance that received it. The instance forwards
// the request to the owner of its home data centre and repeats the forward until it has
// an answer. Repeating is safe because the job id stays the same.
type call struct {
	id             model.RequestID
	kind           message.ForwardKind
	sub            model.Submission
	job            model.JobID
	home           model.DataCentre
	deadline       model.Time // the caller is answered by then
	redirectable   bool       // idempotent work without a key, which another data centre may run
	keyed          bool       // non-idempotent
	accepted       bool       // the owner reported that the job is durable
	lastForward    string     // id of the last forward
	openForwards   []string   // ids of forwards that an owner may handle or has handled, without a "not run" answer
	pendingRefusal *model.Answer
	triedHomes     []model.DataCentre
	sendFailures   int // consecutive forwards that were not sent
	nextRoute      model.Time
}

const (
	// forwardRetryInterval is the interval at which an unanswered forward is repeated.
	// It limits the delay that a lost reply causes.
	forwardRetryInterval = time.Second
	// noOwnerRetryDelay is the delay before a call is routed again if its data centre
	// has no owner. It is a small fraction of the duration of a takeover.
	noOwnerRetryDelay = 50 * time.Millisecond
	// replyGrace is how much longer than the owner the receiving instance waits. The
	// owner knows at the deadline whether the work has started; without the grace, its
	// "not run" would arrive just after the caller was answered "unknown".
	replyGrace = 250 * time.Millisecond
	// acceptTimeout is how long a caller waits for a job to be accepted.
	acceptTimeout = 10 * time.Second
	// maxSendFailures is the number of consecutive forwards that were not sent after
	// which a home data centre counts as unreachable.
	maxSendFailures = 3
)

// onCall validates a caller's request and routes it.
func (c *Core) onCall(ev *Call) {
	c.wall = ev.Wall
	cl := &call{id: ev.Request, kind: ev.Kind, sub: ev.Submission, job: ev.Job}
	if code, msg := c.checkCall(cl, ev); code != model.CodeNone {
		c.count("calls_refused", string(code), 1)
		cl.job = ev.Job
		c.answerCaller(ev.Request, cl.refusalAnswer(code, msg))
		return
	}
	c.count("calls", string(ev.Kind), 1)
	c.calls[cl.id] = cl
	c.callTimers.add(cl.deadline, cl.id)
	c.route(cl)
}

// checkCall validates a call and fills in its job id, home and deadline.
func (c *Core) checkCall(cl *call, ev *Call) (model.Code, string) {
	if c.text == nil {
		return model.CodeNotReady, "this instance has no service text yet"
	}
	if c.draining {
		return model.CodeDraining, "this instance is shutting down; repeat the request"
	}
	if cl.kind == message.ForwardQuery || cl.kind == message.ForwardCancel {
		cl.home = homeOfJob(cl.job)
		if !c.knownDataCentre(cl.home) {
			return model.CodeJobNotFound, "the job id names no known data centre"
		}
		cl.deadline = c.now.Add(ev.Wait + forwardRetryInterval + 2*time.Second)
		if ev.Wait == 0 {
			cl.deadline = c.now.Add(acceptTimeout)
		}
		cl.sub.Deadline = ev.Wait
		return model.CodeNone, ""
	}
	return c.checkSubmission(cl, ev)
}

// checkSubmission validates new work.
func (c *Core) checkSubmission(cl *call, ev *Call) (model.Code, string) {
	s := &cl.sub
	svc := c.text.Service(s.Service)
	if svc == nil {
		return model.CodeUnknownService, fmt.Sprintf("the text in force (version %d) has no service %q", c.parsedTextVersion, s.Service)
	}
	if svc.Class == model.ClassService {
		return model.CodeBadRequest, "a service of class \"service\" is started by the text, not by requests"
	}
	if svc.MaxBodyBytes > 0 && int64(len(s.Body)) > svc.MaxBodyBytes {
		return model.CodeBodyTooLarge, fmt.Sprintf("the body has %d bytes; service %q takes %d", len(s.Body), s.Service, svc.MaxBodyBytes)
	}
	s.Tasks = max(s.Tasks, 1)
	if s.Tasks > maxTasks {
		return model.CodeBadRequest, fmt.Sprintf("a job has at most %d tasks", maxTasks)
	}
	if s.Tasks > 1 && (svc.Class == model.ClassInteractive || !svc.Idempotent) {
		return model.CodeBadRequest, "interactive and non-idempotent work has one task"
	}
	if !svc.Idempotent && s.Key == "" {
		return model.CodeKeyRequired, fmt.Sprintf("service %q is not idempotent: give a key", s.Service)
	}
	if s.Deadline <= 0 {
		s.Deadline = svc.Deadline
	}
	c.assignHome(cl, svc, ev.Wait)
	return model.CodeNone, ""
}

// maxTasks limits the memory that one job uses.
const maxTasks = 10000

// assignHome sets the home data centre, the job id and the deadline of new work.
func (c *Core) assignHome(cl *call, svc *model.Service, wait time.Duration) {
	cl.keyed = !svc.Idempotent
	cl.home = c.cfg.Self.DataCentre
	if cl.sub.Key != "" {
		cl.home = homeOf(c.text.DataCentres, svc.Name, string(cl.sub.Key))
		cl.job = keyedJobID(cl.home, svc.Name, cl.sub.Key)
	} else {
		cl.job = c.newJobID(cl.home)
	}
	interactive := svc.Class == model.ClassInteractive && cl.kind == message.ForwardRequest
	cl.redirectable = interactive && svc.Idempotent && cl.sub.Key == ""
	switch {
	case interactive || cl.keyed:
		cl.deadline = c.now.Add(min(cl.sub.Deadline, c.cfg.Limits.MaxDeadline))
	case cl.kind == message.ForwardJob:
		cl.deadline = c.now.Add(acceptTimeout)
	default:
		cl.deadline = c.now.Add(c.cfg.Limits.MaxDeadline)
	}
	if wait > 0 {
		cl.deadline = min(cl.deadline, c.now.Add(wait))
	}
	cl.deadline = cl.deadline.Add(replyGrace)
}

// route passes a call to the owner of its home data centre, locally or by a forward.
func (c *Core) route(cl *call) {
	c.routeAfter(cl, forwardRetryInterval)
	if cl.home == c.cfg.Self.DataCentre {
		c.routeLocal(cl)
		return
	}
	if m, _, ok := c.view.FarOwner(c.now, cl.home); ok {
		c.forward(cl, m)
		return
	}
	peers := c.view.FarPeer(c.now, cl.home)
	if len(peers) == 0 {
		c.onHomeUnreachable(cl)
		return
	}
	c.forward(cl, peers[cl.sendFailures%len(peers)])
}

// routeLocal passes a call to the owner of the local data centre.
func (c *Core) routeLocal(cl *call) {
	if c.acting() {
		f := cl.forwardMessage(c.cfg.Self, 0, c.now)
		f.ID = c.nextID()
		cl.openForwards = append(cl.openForwards, f.ID)
		c.admit(f)
		return
	}
	m, ok := c.lease.Owner()
	if ok && m.Incarnation != c.cfg.Self.Incarnation {
		c.forward(cl, m)
		return
	}
	c.count("calls_without_owner", "", 1)
	if cl.redirectable && c.redirect(cl) {
		return
	}
	c.routeAfter(cl, noOwnerRetryDelay)
}

// forward sends a call to another instance. Until the transport reports that the
// message was not sent, an owner may handle it at any time.
func (c *Core) forward(cl *call, to model.Member) {
	f := cl.forwardMessage(c.cfg.Self, 1, c.now)
	f.ID = c.nextID()
	cl.lastForward = f.ID
	cl.openForwards = append(cl.openForwards, f.ID)
	c.undeliveredForwards[f.ID] = cl.id
	c.emit(Effect{Send: &Send{To: to, ID: f.ID, Body: message.Body{Forward: f}}})
}

func (cl *call) forwardMessage(self model.Member, hops int, now model.Time) *message.Forward {
	return &message.Forward{
		Origin: self, Request: cl.id, Kind: cl.kind, Submission: cl.sub, Job: cl.job,
		Hops: hops, Remaining: int64(cl.deadline.Add(-replyGrace).Sub(now)),
	}
}

// onHomeUnreachable redirects a call whose home data centre is unreachable, or answers
// it if no forward may still take effect.
func (c *Core) onHomeUnreachable(cl *call) {
	if cl.redirectable && c.redirect(cl) {
		return
	}
	if len(cl.openForwards) > 0 {
		c.routeAfter(cl, noOwnerRetryDelay)
		return // the answer at the deadline is "unknown"
	}
	c.finishCall(cl, cl.refusalAnswer(model.CodeHomeUnreachable, "data centre "+string(cl.home)+" can't be reached"))
}

// redirect sends a redirectable call to the data centre with the shortest queue wait
// among those that have an owner with free capacity. It reports whether there was one.
func (c *Core) redirect(cl *call) bool {
	var best model.Member
	var bestDC model.DataCentre
	var bestWait int64
	for _, dc := range c.view.DataCentres() {
		if dc == cl.home || contains(cl.triedHomes, dc) || !c.knownDataCentre(dc) {
			continue
		}
		m, load, ok := c.view.FarOwner(c.now, dc)
		if !ok || load.FreeSlots <= 0 {
			continue
		}
		if bestDC == "" || load.WaitMicros < bestWait {
			best, bestDC, bestWait = m, dc, load.WaitMicros
		}
	}
	if bestDC == "" {
		return false
	}
	c.count("calls_moved", string(bestDC), 1)
	cl.triedHomes = append(cl.triedHomes, cl.home)
	cl.home, cl.job = bestDC, c.newJobID(bestDC)
	cl.sendFailures = 0
	c.routeAfter(cl, forwardRetryInterval)
	c.forward(cl, best)
	return true
}

// routeAfter schedules the next routing of a call after a delay.
func (c *Core) routeAfter(cl *call, d time.Duration) {
	cl.nextRoute = c.now.Add(d)
	c.callTimers.add(cl.nextRoute, cl.id)
}

// tickCalls repeats forwards and answers calls whose deadline has passed.
func (c *Core) tickCalls() {
	for _, id := range c.callTimers.due(c.now) {
		cl := c.calls[id]
		switch {
		case cl == nil:
		case c.now >= cl.deadline:
			c.finishCall(cl, c.deadlineAnswer(cl))
		case c.now >= cl.nextRoute:
			c.route(cl)
		}
	}
}

// knownDataCentre reports whether dc is the local data centre or is listed in the
// service text.
func (c *Core) knownDataCentre(dc model.DataCentre) bool {
	if dc == c.cfg.Self.DataCentre {
		return true
	}
	return c.text != nil && contains(c.text.DataCentres, dc)
}
