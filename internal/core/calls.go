package core

import (
	"fmt"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// call is a caller's request at the instance that received it. The instance
// forwards it to the owner of its home data centre, again and again until it
// has an answer: a forward may be repeated, since the job id is the same.
type call struct {
	id       model.RequestID
	kind     message.ForwardKind
	sub      model.Submission
	job      model.JobID
	home     model.DataCentre
	deadline model.Time // the caller gets an answer by then
	movable  bool       // idempotent work without a key: may go to another data centre
	keyed    bool       // non-idempotent
	accepted bool       // the owner has said that the job is durable
	message  string     // id of the last forward, until its delivery is known
	open     []string   // ids of forwards that an owner may take or have taken, without a "not run"
	refused  *model.Answer
	tried    []model.DataCentre
	misses   int // forwards in a row that certainly were not delivered
	nextSend model.Time
}

const (
	// forwardRepeat is how often an unanswered forward is repeated. A lost
	// reply then costs at most this long.
	forwardRepeat = time.Second
	// noOwnerRetry is how soon a call is routed again when its data centre has
	// no owner: a small part of the time that a takeover takes.
	noOwnerRetry = 50 * time.Millisecond
	// replyGrace is how much longer than the owner the caller's instance waits.
	// At the deadline the owner knows whether the work has started; without the
	// grace its "not run" would come just after an "unknown".
	replyGrace = 250 * time.Millisecond
	// acceptWait is how long a caller waits for a job to be accepted.
	acceptWait = 10 * time.Second
	// unreachableMisses is the number of forwards in a row that were certainly
	// not delivered after which a home counts as out of reach.
	unreachableMisses = 3
)

// onCall checks a caller's request and routes it.
func (c *Core) onCall(ev *Call) {
	c.wall = ev.Wall
	cl := &call{id: ev.Request, kind: ev.Kind, sub: ev.Submission, job: ev.Job}
	if code, msg := c.checkCall(cl, ev); code != model.CodeNone {
		c.count("calls_refused", string(code), 1)
		cl.job = ev.Job
		c.answerCaller(ev.Request, cl.refusal(code, msg))
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
		cl.home = jobHome(cl.job)
		if !c.knownDataCentre(cl.home) {
			return model.CodeJobNotFound, "the job id names no known data centre"
		}
		cl.deadline = c.now.Add(ev.Wait + forwardRepeat + 2*time.Second)
		if ev.Wait == 0 {
			cl.deadline = c.now.Add(acceptWait)
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
		return model.CodeUnknownService, fmt.Sprintf("the text in force (version %d) has no service %q", c.textV, s.Service)
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
	c.assign(cl, svc, ev.Wait)
	return model.CodeNone, ""
}

// maxTasks bounds the memory that one job takes.
const maxTasks = 10000

// assign chooses the home, the job id and the deadline of new work.
func (c *Core) assign(cl *call, svc *model.Service, wait time.Duration) {
	cl.keyed = !svc.Idempotent
	cl.home = c.cfg.Self.DataCentre
	if cl.sub.Key != "" {
		cl.home = home(c.text.DataCentres, svc.Name, string(cl.sub.Key))
		cl.job = keyedJobID(cl.home, svc.Name, cl.sub.Key)
	} else {
		cl.job = c.freshJobID(cl.home)
	}
	interactive := svc.Class == model.ClassInteractive && cl.kind == message.ForwardRequest
	cl.movable = interactive && svc.Idempotent && cl.sub.Key == ""
	switch {
	case interactive || cl.keyed:
		cl.deadline = c.now.Add(min(cl.sub.Deadline, c.cfg.Limits.MaxDeadline))
	case cl.kind == message.ForwardJob:
		cl.deadline = c.now.Add(acceptWait)
	default:
		cl.deadline = c.now.Add(c.cfg.Limits.MaxDeadline)
	}
	if wait > 0 {
		cl.deadline = min(cl.deadline, c.now.Add(wait))
	}
	cl.deadline = cl.deadline.Add(replyGrace)
}

// route hands a call to the owner of its home, directly or by a forward.
func (c *Core) route(cl *call) {
	c.routeAt(cl, forwardRepeat)
	if cl.home == c.cfg.Self.DataCentre {
		c.routeNear(cl)
		return
	}
	if m, _, ok := c.view.RemoteOwner(c.now, cl.home); ok {
		c.forward(cl, m)
		return
	}
	peers := c.view.RemoteMembers(c.now, cl.home)
	if len(peers) == 0 {
		c.unreachable(cl)
		return
	}
	c.forward(cl, peers[cl.misses%len(peers)])
}

// routeNear hands a call to the owner of the own data centre.
func (c *Core) routeNear(cl *call) {
	if c.acting() {
		f := cl.forwardMessage(c.cfg.Self, 0, c.now)
		f.ID = c.nextID()
		cl.open = append(cl.open, f.ID)
		c.admit(f)
		return
	}
	m, ok := c.lease.Owner()
	if ok && m.Incarnation != c.cfg.Self.Incarnation {
		c.forward(cl, m)
		return
	}
	c.count("calls_without_owner", "", 1)
	if cl.movable && c.moveElsewhere(cl) {
		return
	}
	c.routeAt(cl, noOwnerRetry)
}

// forward sends a call to an instance. Until the transport says that the
// message was not sent, an owner may take it at any time.
func (c *Core) forward(cl *call, to model.Member) {
	f := cl.forwardMessage(c.cfg.Self, 1, c.now)
	f.ID = c.nextID()
	cl.message = f.ID
	cl.open = append(cl.open, f.ID)
	c.forwards[f.ID] = cl.id
	c.emit(Effect{Send: &Send{To: to, ID: f.ID, Body: message.Body{Forward: f}}})
}

func (cl *call) forwardMessage(self model.Member, hops int, now model.Time) *message.Forward {
	return &message.Forward{
		Origin: self, Request: cl.id, Kind: cl.kind, Submission: cl.sub, Job: cl.job,
		Hops: hops, Remaining: int64(cl.deadline.Add(-replyGrace).Sub(now)),
	}
}

// unreachable answers a call whose home can't be reached.
func (c *Core) unreachable(cl *call) {
	if cl.movable && c.moveElsewhere(cl) {
		return
	}
	if len(cl.open) > 0 {
		c.routeAt(cl, noOwnerRetry)
		return // the deadline answers "unknown"
	}
	c.finishCall(cl, cl.refusal(model.CodeHomeUnreachable, "data centre "+string(cl.home)+" can't be reached"))
}

// moveElsewhere sends idempotent work to another data centre that has an owner
// with free capacity. It reports whether there was one.
func (c *Core) moveElsewhere(cl *call) bool {
	var best model.Member
	var bestDC model.DataCentre
	var bestWait int64
	for _, dc := range c.view.DataCentres() {
		if dc == cl.home || contains(cl.tried, dc) || !c.knownDataCentre(dc) {
			continue
		}
		m, load, ok := c.view.RemoteOwner(c.now, dc)
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
	cl.tried = append(cl.tried, cl.home)
	cl.home, cl.job = bestDC, c.freshJobID(bestDC)
	cl.misses = 0
	c.routeAt(cl, forwardRepeat)
	c.forward(cl, best)
	return true
}

// routeAt sets when a call is routed again.
func (c *Core) routeAt(cl *call, d time.Duration) {
	cl.nextSend = c.now.Add(d)
	c.callTimers.add(cl.nextSend, cl.id)
}

// tickCalls repeats forwards and answers calls whose deadline has passed.
func (c *Core) tickCalls() {
	for _, id := range c.callTimers.due(c.now) {
		cl := c.calls[id]
		switch {
		case cl == nil:
		case c.now >= cl.deadline:
			c.finishCall(cl, c.deadlineAnswer(cl))
		case c.now >= cl.nextSend:
			c.route(cl)
		}
	}
}

// knownDataCentre reports whether the text or the membership names dc.
func (c *Core) knownDataCentre(dc model.DataCentre) bool {
	if dc == c.cfg.Self.DataCentre {
		return true
	}
	return c.text != nil && contains(c.text.DataCentres, dc)
}
