package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/store"
)

const (
	// stateTimeout bounds the question to the owner. An instance's own view is
	// at most a fraction of a second older.
	stateTimeout = 250 * time.Millisecond
	// oldestCount is the age of an instance's view up to which it says how many
	// jobs wait. It is above the pause between reads of submissions, and below the
	// 5 s after which callers may expect a job to be counted.
	oldestCount = 4500 * time.Millisecond
	// ownerActs is the age of an owner's newest entry up to which it counts as
	// acting. It covers the pause between reads and most pauses between entries. A
	// longer one would make the takeover from an owner that is gone later.
	ownerActs = 550 * time.Millisecond
	// storeSilence is how long the store may be out of reach before the instance
	// asks the balancer for no more connections. It is above the pause between
	// reads and the time of one from a store that is sixty times slower.
	storeSilence = 900 * time.Millisecond
)

// Config implements JobAPI.
func (n *Node) Config() *jobs.Config { return n.config.Load() }

// Ready implements JobAPI.
func (n *Node) Ready() (bool, string) {
	n.mu.Lock()
	l := n.life
	n.mu.Unlock()
	switch {
	case n.draining.Load():
		return false, "draining"
	case n.config.Load() == nil:
		return false, "no configuration"
	case !l.loaded.Load():
		return false, "cell not loaded"
	case n.storeAge() > storeSilence:
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
	o, known := n.refusedLately(ctx, j)
	if !known {
		j.SubmittedMs = time.Now().UnixMilli()
		o = n.submits.put(ctx, cell.Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
		if o.Kind == Refused && o.Refusal.Reason == Overloaded {
			n.submits.refusals.note(n.deps.Now(), j.Queue, o.Refusal.RetryAfter)
		}
	}
	took := n.deps.Now().Sub(start)
	n.deps.Telemetry.Observe("submit_seconds", j.Queue, took)
	n.deps.Telemetry.LogRequest("submit", j.ID, j.Queue, took, o.Kind.String(), string(o.Refusal.Reason))
	return o
}

// refusedLately refuses a submission of a queue for which the owner is
// overloaded. It returns false if the owner is to be asked. A job that an
// earlier attempt of its caller may have stored is never refused.
func (n *Node) refusedLately(ctx context.Context, j jobs.Job) (Outcome, bool) {
	refused, after := n.submits.refusals.refused(n.deps.Now(), j.Queue)
	if !refused {
		return Outcome{}, false
	}
	reply, err := n.askOwner(ctx, j.ID)
	switch {
	case err != nil || !reply.Owner:
		return Outcome{}, false
	case reply.Known:
		return Outcome{Kind: Done}, true
	}
	return Outcome{Kind: Refused, Refusal: Refusal{Reason: Overloaded, RetryAfter: after}}, true
}

// Cancel implements JobAPI.
func (n *Node) Cancel(ctx context.Context, queue string, id jobs.ID) Outcome {
	start := n.deps.Now()
	v, o := n.lookup(ctx, id)
	switch {
	case o.Kind != Done:
	case v.Queue != queue:
		o.Kind = NotFound
	case !v.State.Final():
		o = n.submits.put(ctx, cell.Entry{Key: jobs.CancelKey(id), Value: []byte("{}")})
	}
	n.deps.Telemetry.LogRequest("cancel", id, queue, n.deps.Now().Sub(start), o.Kind.String(), string(o.Refusal.Reason))
	return o
}

// State implements JobAPI.
func (n *Node) State(ctx context.Context, queue string, id jobs.ID) (jobs.State, Outcome) {
	v, known, _ := n.endingView(ctx, id)
	if known && v.State.Final() {
		return v.State, n.shown(id, queue, v, "own view")
	}
	if reply, err := n.askOwner(ctx, id); err == nil && reply.Owner && reply.Known {
		v.State = reply.State
		if !known {
			v.Queue = queue
		}
		return v.State, n.shown(id, queue, v, "owner")
	}
	if !known {
		var o Outcome
		if v, o = n.lookup(ctx, id); o.Kind != Done {
			n.deps.Telemetry.LogRequest("state", id, queue, 0, o.Kind.String(), string(o.Refusal.Reason))
			return "", o
		}
	}
	return v.State, n.shown(id, queue, v, "own view")
}

func (n *Node) shown(id jobs.ID, queue string, v cell.JobView, source string) Outcome {
	o := Outcome{Kind: Done}
	if v.Queue != queue {
		o.Kind = NotFound
	}
	n.deps.Telemetry.LogRequest("state", id, queue, 0, string(v.State), source)
	return o
}

func (n *Node) askOwner(ctx context.Context, id jobs.ID) (link.StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return n.client.State(ctx, link.StateRequest{ID: id})
}

// view returns what this instance knows of a job.
func (n *Node) view(id jobs.ID) (cell.JobView, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.Job(id)
}

// lookup returns what the store knows of a job: if this instance does not know
// it, the streams that have submissions are read to their ends first. The outcome is
// Refused if the store can't be read.
func (n *Node) lookup(ctx context.Context, id jobs.ID) (cell.JobView, Outcome) {
	if v, known := n.view(id); known {
		return v, Outcome{Kind: Done}
	}
	unknown := n.refusedByStore()
	n.mu.Lock()
	l, followers := n.life, slices.Clone(n.subs)
	if !l.owner.Load() {
		followers = append(followers, n.progress)
	}
	n.mu.Unlock()
	if !l.loaded.Load() {
		return cell.JobView{}, unknown
	}
	errs := make([]error, len(followers))
	var parts sync.WaitGroup
	for i, f := range followers {
		parts.Go(func() { errs[i] = n.readJob(ctx, l, f, id) })
	}
	parts.Wait()
	if err := errors.Join(errs...); err != nil {
		n.deps.Telemetry.Log("lookup failed", LogFields{Subject: string(id), Reason: err.Error()})
		return cell.JobView{}, unknown
	}
	n.settle(ctx)
	if v, known := n.view(id); known {
		return v, Outcome{Kind: Done}
	}
	return cell.JobView{}, Outcome{Kind: NotFound}
}

// readJob reads a stream from where its follower is to its end, and takes the
// submission and the cancellation of one job.
func (n *Node) readJob(ctx context.Context, l *life, f *follower, id jobs.ID) error {
	part := f.stream.Partition()
	if f.stream == store.Progress {
		part = cell.ProgressStream
	}
	take := n.takeSubmission(l, part)
	for from := f.at.Load(); ; {
		b, err := n.deps.Store.Read(ctx, f.stream, from, 0)
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			if kind, of := jobs.ParseKey(r.Key); of == id && kind != jobs.KindProgress {
				take(r)
			}
		}
		if from = b.NextOffset; from >= b.End {
			return nil
		}
	}
}

// PendingJobs implements JobAPI.
func (n *Node) PendingJobs(queue string) (int, Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.life.loaded.Load() || n.viewAge() > oldestCount {
		return 0, n.refusedByStore()
	}
	return n.cell.WaitingJobs(queue), Outcome{Kind: Done}
}

// viewAge returns how old the instance's view of the cell may be. The caller
// holds mu.
func (n *Node) viewAge() time.Duration {
	oldest := time.Duration(0)
	for _, f := range n.subs {
		oldest = max(oldest, f.age())
	}
	if !n.life.owner.Load() {
		oldest = max(oldest, n.progress.age())
	}
	return oldest
}

// peers serves other instances.
type peers struct{ n *Node }

var _ link.Handler = peers{}

// Name implements link.Handler.
func (p peers) Name() string { return p.n.self }

// State implements link.Handler.
func (p peers) State(ctx context.Context, r link.StateRequest) link.StateReply {
	v, known, owner := p.n.endingView(ctx, r.ID)
	return link.StateReply{Known: known, Owner: owner, State: v.State}
}

// Submit implements link.Handler. It never forwards again.
func (p peers) Submit(ctx context.Context, r link.SubmitRequest) link.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	out := p.n.offer(ctx, r.Entry)
	return link.SubmitReply{Stored: out.stored, InDoubt: out.inDoubt, RetryAfterMs: out.retryAfter.Milliseconds()}
}

// Permits implements link.Handler.
func (p peers) Permits(ctx context.Context, r link.PermitRequest) link.PermitReply {
	within := askMargin
	if r.TimeoutMs > 0 {
		within = time.Duration(r.TimeoutMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply, err := p.n.deps.Eligibility.Check(ctx, r)
	if err != nil {
		p.n.deps.Telemetry.Log("eligibility service", LogFields{Subject: string(r.Job), Reason: err.Error(), Outcome: "failed"})
		return link.PermitReply{Failed: true}
	}
	return reply
}

// OwnerActive implements link.Handler.
func (p peers) OwnerActive() bool {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	return p.n.cell.OwnerSilence(p.n.deps.Now()) < ownerActs
}

// Connected implements link.Handler.
func (p peers) Connected(name string, peer *link.Peer) {
	n := p.n
	n.mu.Lock()
	n.peers[name] = peer
	n.dispatch.set(name, peer)
	n.mu.Unlock()
	n.deps.Telemetry.Log("instance connected", LogFields{Subject: name})
	n.post(cell.InstanceChanged{Name: name, Up: true, Cores: peer.Cores, Bandwidth: peer.Bandwidth})
}

// Disconnected implements link.Handler.
func (p peers) Disconnected(name string, peer *link.Peer) {
	n := p.n
	n.mu.Lock()
	current := n.peers[name] == peer
	if current {
		delete(n.peers, name)
		n.dispatch.drop(name)
	}
	n.mu.Unlock()
	if peer.LostCalls > 0 {
		n.deps.Telemetry.Log("calls to workers lost", LogFields{Subject: name, Count: int64(peer.LostCalls)})
	}
	if current {
		n.deps.Telemetry.Log("instance disconnected", LogFields{Subject: name})
		n.post(cell.InstanceChanged{Name: name, Up: false})
	}
}
