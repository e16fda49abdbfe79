package node

import (
	"cmp"
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/link"
)

const (
	// ownerStateTimeout bounds the query of a job's state at the owner. After it, the
	// instance answers from its own view, which is at most a fraction of a second older.
	ownerStateTimeout = 250 * time.Millisecond
	// maxWaitingCountAge is the maximum age of an instance's view from which it answers
	// how many jobs wait. It is above the pause between reads of submissions, and
	// below the 5 s after which callers may expect a job to be counted.
	maxWaitingCountAge = 4500 * time.Millisecond
	// ownerActiveAge is the age of the owner's latest entry up to which the owner counts
	// as active. It covers the pause between reads and most pauses between entries. A
	// higher value would delay the takeover from an owner that has failed.
	ownerActiveAge = 550 * time.Millisecond
	// maxReloadWait is how long a request for a job waits while the cell is loaded again, as
	// on an instance that learns that it is no longer the owner, and reloadPollPause how often
	// it looks.
	maxReloadWait   = time.Second
	reloadPollPause = 20 * time.Millisecond
	// maxStoreSilence is how long the store may not answer before the instance reports
	// itself as not ready to the balancer. It is above the pause between reads, and above
	// the latency of a read when the store is sixty times slower than usual.
	maxStoreSilence = 900 * time.Millisecond
)

// Config implements JobAPI.
func (n *Node) Config() *jobs.Config { return n.config.Load() }

// Ready implements JobAPI.
func (n *Node) Ready() (bool, string) {
	n.mu.Lock()
	g := n.generation
	n.mu.Unlock()
	switch {
	case n.draining.Load():
		return false, "draining"
	case n.config.Load() == nil:
		return false, "no configuration"
	case !g.loaded.Load():
		return false, "cell not loaded"
	case n.storeSilence() > maxStoreSilence:
		return false, "store out of reach"
	}
	return true, ""
}

// Submit implements JobAPI.
func (n *Node) Submit(ctx context.Context, j jobs.Job) Outcome {
	start := n.deps.Now()
	if _, known := n.view(j.ID); known {
		n.deps.Telemetry.LogRequest("submit", j.ID, j.Queue, 0, Done.String(), "known")
		return Outcome{Kind: Done}
	}
	o, known := n.refusedRecently(ctx, j)
	if !known {
		j.SubmittedMs = time.Now().UnixMilli()
		o = n.submitter.storeEntry(ctx, cell.Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)}, n.Config().Queue(j.Queue))
		if o.Kind == Refused && o.Refusal.Reason == Overloaded {
			n.submitter.refusals.record(n.deps.Now(), j.Queue, o.Refusal.RetryAfter)
		}
	}
	took := n.deps.Now().Sub(start)
	n.deps.Telemetry.Observe("submit_seconds", j.Queue, took)
	n.deps.Telemetry.LogRequest("submit", j.ID, j.Queue, took, o.Kind.String(), string(o.Refusal.Reason))
	return o
}

// refusedRecently refuses a submission to a queue whose submissions the owner refused a
// moment ago since it is overloaded. It returns false if the submission has to be sent to
// the owner. It asks the owner for the job first, so that a job which an earlier attempt
// of the caller has stored is not refused.
func (n *Node) refusedRecently(ctx context.Context, j jobs.Job) (Outcome, bool) {
	refused, after := n.submitter.refusals.refused(n.deps.Now(), j.Queue)
	if !refused {
		return Outcome{}, false
	}
	reply, err := n.queryOwner(ctx, j.ID)
	switch {
	case err != nil || !reply.Owner:
		return Outcome{}, false
	case reply.Known:
		return Outcome{Kind: Done}, true
	}
	return Outcome{Kind: Refused, Refusal: Refusal{Reason: Overloaded, RetryAfter: after}}, true
}

// Cancel implements JobAPI. The cancellation of an unknown job is stored as well before the caller
// is told that there is none: a submission that was answered as in doubt may be stored later, by
// any instance, and must not run then.
func (n *Node) Cancel(ctx context.Context, queue string, id jobs.ID) Outcome {
	start := n.deps.Now()
	v, o := n.lookupJob(ctx, id)
	switch {
	case o.Kind == NotFound:
		if o = n.storeCancellation(ctx, queue, id); o.Kind == Done {
			o.Kind = NotFound
		}
	case o.Kind != Done:
	case !n.sameRoute(v.Queue, queue):
		o.Kind = NotFound
	case !v.State.Final():
		o = n.storeCancellation(ctx, queue, id)
	}
	n.deps.Telemetry.LogRequest("cancel", id, queue, n.deps.Now().Sub(start), o.Kind.String(), string(o.Refusal.Reason))
	return o
}

func (n *Node) storeCancellation(ctx context.Context, queue string, id jobs.ID) Outcome {
	e := jobs.Cancellation{Queues: []string{queue}, AtMs: time.Now().UnixMilli()}
	return n.submitter.storeEntry(ctx, cell.Entry{Key: jobs.CancelKey(id), Value: jobs.Encode(e)}, nil)
}

// State implements JobAPI.
func (n *Node) State(ctx context.Context, queue string, id jobs.ID) (jobs.State, Outcome) {
	v, known, _ := n.viewAfterEnd(ctx, id)
	if known && v.State.Final() {
		return v.State, n.stateOutcome(id, queue, v, "own view")
	}
	if reply, err := n.queryOwner(ctx, id); err == nil && reply.Owner && reply.Known {
		v.State, v.Queue = reply.State, n.queueOfState(v, known, reply, queue)
		return v.State, n.stateOutcome(id, queue, v, "owner")
	}
	if !known {
		var o Outcome
		if v, o = n.lookupJob(ctx, id); o.Kind != Done {
			n.deps.Telemetry.LogRequest("state", id, queue, 0, o.Kind.String(), string(o.Refusal.Reason))
			return "", o
		}
	}
	return v.State, n.stateOutcome(id, queue, v, "own view")
}

// queueOfState returns the queue of a job whose state the owner has told: as this instance knows
// it, or the owner. An owner of an earlier build doesn't tell it; then it is the one asked for.
func (n *Node) queueOfState(own cell.JobView, known bool, reply link.StateReply, asked string) string {
	if known {
		return own.Queue
	}
	return cmp.Or(reply.Queue, asked)
}

func (n *Node) stateOutcome(id jobs.ID, queue string, v cell.JobView, source string) Outcome {
	o := Outcome{Kind: Done}
	if !n.sameRoute(v.Queue, queue) {
		o.Kind = NotFound
	}
	n.deps.Telemetry.LogRequest("state", id, queue, 0, string(v.State), source)
	return o
}

// sameRoute reports whether a job of one queue is asked for by the route of the other one, which
// may have replaced it.
func (n *Node) sameRoute(ofJob, asked string) bool {
	if ofJob == asked {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.SameRoute(ofJob, asked)
}

func (n *Node) queryOwner(ctx context.Context, id jobs.ID) (link.StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerStateTimeout)
	defer cancel()
	return n.client.State(ctx, link.StateRequest{ID: id})
}

// view returns this instance's view of a job.
func (n *Node) view(id jobs.ID) (cell.JobView, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.Job(id)
}

// WaitingJobs implements JobAPI.
func (n *Node) WaitingJobs(queue string) (int, Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.generation.loaded.Load() || n.viewAge() > maxWaitingCountAge {
		return 0, n.storeUnavailable()
	}
	return n.cell.WaitingJobs(queue), Outcome{Kind: Done}
}

// viewAge returns the maximum staleness of the instance's view of the cell. The caller
// holds mu.
func (n *Node) viewAge() time.Duration {
	age := time.Duration(0)
	for _, f := range n.submissionFollowers {
		age = max(age, f.age())
	}
	if !n.generation.owner.Load() {
		age = max(age, n.progressFollower.age())
	}
	return age
}

// peerHandler serves the requests of other instances.
type peerHandler struct{ n *Node }

var _ link.Handler = peerHandler{}

// Name implements link.Handler.
func (p peerHandler) Name() string { return p.n.self }

// State implements link.Handler.
func (p peerHandler) State(ctx context.Context, r link.StateRequest) link.StateReply {
	v, known, owner := p.n.viewAfterEnd(ctx, r.ID)
	return link.StateReply{Known: known, Owner: owner, State: v.State, Queue: v.Queue}
}

// Submit implements link.Handler. It does not forward the entry to another instance.
func (p peerHandler) Submit(ctx context.Context, r link.SubmitRequest) link.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	out := p.n.storeAsOwner(ctx, r.Entry)
	return link.SubmitReply{Stored: out.stored, InDoubt: out.inDoubt, RetryAfterMs: out.retryAfter.Milliseconds()}
}

// Permits implements link.Handler.
func (p peerHandler) Permits(ctx context.Context, r link.PermitRequest) link.PermitReply {
	timeout := eligibilityTimeoutMargin
	if r.TimeoutMs > 0 {
		timeout = time.Duration(r.TimeoutMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := p.n.deps.Eligibility.Check(ctx, r)
	if err != nil {
		p.n.deps.Telemetry.Log("eligibility call to service failed", LogFields{Subject: string(r.Job), Reason: err.Error(), Outcome: "failed"})
		return link.PermitReply{Failed: true}
	}
	return reply
}

// OwnerActive implements link.Handler.
func (p peerHandler) OwnerActive() bool {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	return p.n.cell.OwnerSilence(p.n.deps.Now()) < ownerActiveAge
}

// Connected implements link.Handler.
func (p peerHandler) Connected(name string, peer *link.Peer) {
	n := p.n
	n.mu.Lock()
	n.peers[name] = peer
	n.dispatcher.addPeer(name, peer)
	n.mu.Unlock()
	n.deps.Telemetry.Log("instance connected", LogFields{Subject: name})
	n.enqueue(cell.InstanceChanged{Name: name, Up: true, Cores: peer.Cores, Bandwidth: peer.Bandwidth})
}

// Disconnected implements link.Handler.
func (p peerHandler) Disconnected(name string, peer *link.Peer) {
	n := p.n
	n.mu.Lock()
	current := n.peers[name] == peer
	if current {
		delete(n.peers, name)
		n.dispatcher.removePeer(name)
	}
	n.mu.Unlock()
	if peer.LostCalls > 0 {
		n.deps.Telemetry.Log("worker calls relayed through disconnected instance have no answer", LogFields{Subject: name, Count: int64(peer.LostCalls)})
	}
	if current {
		n.deps.Telemetry.Log("instance disconnected", LogFields{Subject: name})
		n.enqueue(cell.InstanceChanged{Name: name, Up: false})
	}
}
