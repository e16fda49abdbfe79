package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/store"
)

// executeEffects executes the effects of a step. Calls run in goroutines of their own, and
// their answers are queued as events.
func (n *Node) executeEffects(ctx context.Context, g *generation, effects []cell.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case cell.Log:
			n.deps.Telemetry.LogDecision(e)
		case cell.Observe:
			n.deps.Telemetry.Observe(e.Name, e.Label, e.Value)
		case cell.Count:
			n.deps.Telemetry.Count(e.Name, e.Label)
		case cell.Append:
			go n.appendEntries(g, e)
		case cell.TryClaim:
			go n.claimCell(g, e)
		case cell.Renew:
			go func() {
				sent := n.deps.Now()
				r := n.dispatcher.Renew(g.ctx, e)
				r.SentAt, r.StatusOnly, r.Call = sent, e.StatusOnly, e.Call
				n.enqueueFrom(g, r)
			}()
		case cell.Start:
			go func() {
				v := n.dispatcher.Start(g.ctx, e)
				n.enqueueFrom(g, cell.StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: v, Call: e.Call})
			}()
		case cell.Stop:
			go func() {
				v := n.dispatcher.Stop(g.ctx, e)
				n.enqueueFrom(g, cell.StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: v, Call: e.Call})
			}()
		case cell.QueryEligibility:
			go n.queryEligibility(g, e)
		case cell.RequestAnswered:
			n.requests.resolve(e)
		case cell.FinalStateStored:
			n.waiters.notify(e.ID)
		case cell.DeleteEntry:
			go n.removeEntry(g, e)
		case cell.OwnershipChanged:
			g.ownedAt.Store(int64(n.deps.Now()))
			g.owner.Store(e.Owner)
			if e.Owner {
				n.directory.readNow()
				n.client.SetOwner("", "")
				for _, f := range n.submissionFollowers {
					f.readNow()
				}
			} else {
				n.closePeerConnections()
			}
			n.deps.Telemetry.LogOwnership(e.Owner, e.Epoch)
		case cell.Reload:
			n.deps.Telemetry.Log("reloading cell from store", LogFields{Reason: e.Reason})
			n.reloadCell(ctx)
			return
		}
	}
}

const (
	// maxClaimSeq bounds the sequence number of a claim. The appends of its epoch count
	// on from there and have to stay below 2^53, the largest integer that JSON numbers
	// represent exactly.
	maxClaimSeq = 1 << 48
	// claimTimeout bounds a claim, including its retries.
	claimTimeout = 4 * time.Second
)

// closePeerConnections closes the connections from the other instances, so that they look
// for the new owner at once.
func (n *Node) closePeerConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		p.Close()
	}
}

// appendEntries appends an owner's entries and retries until the store has accepted them
// or finally refuses them. SentAt, which the cell takes as the time at which its ownership
// was confirmed, is when the first attempt was sent.
func (n *Node) appendEntries(g *generation, a cell.Append) {
	records := make([]store.Record, len(a.Entries))
	for i, e := range a.Entries {
		records[i] = store.Record{Key: e.Key, Value: e.Value}
	}
	f := &store.Fence{Writer: cellName, Epoch: a.Epoch, Seq: g.claimSeq.Load() + int64(a.Seq), ExpectedEnd: -1}
	sent := n.deps.Now()
	end, inDoubt, err := n.appendWithRetry(g.ctx, store.Progress, records, f, ownerAppendAttempts)
	if err != nil && !inDoubt && store.KindOf(err) == store.NotApplied {
		n.enqueueFrom(g, cell.Appended{Seq: a.Seq, SentAt: sent, Refused: true})
		return
	}
	if err != nil && g.ctx.Err() == nil {
		// The append was fenced, or its sequence number no longer fits.
		n.deps.Telemetry.Log("store refused append of owner", LogFields{Subject: store.Progress.String(), Reason: err.Error()})
		n.enqueueFrom(g, cell.Appended{Seq: a.Seq, SentAt: sent, Fenced: true})
		return
	}
	g.appendedEnd.Store(end)
	n.enqueueFrom(g, cell.Appended{Seq: a.Seq, SentAt: sent})
}

// claimCell appends a claim to the progress stream. If an answer is lost or ambiguous, it
// reads the stream to find out whether the claim was stored.
func (n *Node) claimCell(g *generation, t cell.TryClaim) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	// Two instances may claim the same epoch. With equal sequence numbers, the store
	// would treat the second claim as a retry of the first one and accept it.
	seq := rand.Int64N(maxClaimSeq)
	g.claimSeq.Store(seq)
	f := &store.Fence{Writer: cellName, Epoch: t.Claim.Epoch, Seq: seq, ExpectedEnd: t.At}
	record := []store.Record{{Key: jobs.KeyOwner, Value: jobs.Encode(t.Claim)}}
	// Which attempt was stored may not be known. A successor reads the claim no earlier than the
	// first one was sent.
	sent := n.deps.Now()
	finish := func(ok bool) {
		n.enqueueFrom(g, cell.ClaimAnswered{Epoch: t.Claim.Epoch, SentAt: sent, Won: ok})
	}
	for ctx.Err() == nil {
		actx, done := context.WithTimeout(ctx, minHedgeDelay*2)
		_, err := n.deps.Store.Append(actx, store.Progress, record, f)
		done()
		switch kind := store.KindOf(err); {
		case err == nil:
			finish(true)
			return
		case kind == store.Fenced || kind == store.EndMismatch || kind == store.OutOfSequence || kind == store.InDoubt:
			// The end may have moved because an earlier attempt was stored.
			if won, known := n.claimStored(ctx, t); known {
				finish(won)
				return
			}
		}
		sleep(ctx, appendRetryPause)
	}
	finish(false)
}

// claimStored looks at the first record after the end offset that a claim was conditional
// on. It reports whether that record is the claim, and whether the outcome is known.
func (n *Node) claimStored(ctx context.Context, t cell.TryClaim) (won, known bool) {
	b, err := n.deps.Store.Read(ctx, store.Progress, t.At, 0, minReadStall)
	if err != nil {
		return false, store.KindOf(err) == store.Expired
	}
	if len(b.Records) == 0 {
		return false, false
	}
	r := b.Records[0]
	if r.Key != jobs.KeyOwner {
		return false, true
	}
	claim, err := jobs.Decode[jobs.Claim](r.Key, r.Value)
	return err == nil && claim.Owner == t.Claim.Owner && claim.Epoch == t.Claim.Epoch, true
}

// eligibilityTimeoutMargin is how much longer than expected an eligibility call may take:
// the service answers the calls of one instance one after another, and up to three may be
// in flight.
const eligibilityTimeoutMargin = 600 * time.Millisecond

// queryEligibility makes an eligibility call, either directly or through another instance.
func (n *Node) queryEligibility(g *generation, a cell.QueryEligibility) {
	ctx, cancel := context.WithTimeout(g.ctx, 2*a.Expected+eligibilityTimeoutMargin)
	defer cancel()
	r := link.PermitRequest{Job: a.Job, Step: a.Step, Occurrence: a.Occurrence, Workers: a.Workers, TimeoutMs: (2*a.Expected + eligibilityTimeoutMargin).Milliseconds()}
	var reply link.PermitReply
	var err error
	if a.Instance == n.self {
		reply = peerHandler{n}.Permits(ctx, r)
	} else {
		n.mu.Lock()
		peer := n.peers[a.Instance]
		n.mu.Unlock()
		if peer == nil {
			err = link.ErrNotConnected
		} else {
			reply, err = peer.Permits(ctx, r)
		}
	}
	if err != nil {
		n.deps.Telemetry.Log("eligibility call through instance failed", LogFields{Subject: string(a.Job), Reason: err.Error()})
	}
	n.enqueueFrom(g, cell.EligibilityAnswered{
		Instance: a.Instance, Job: a.Job, Step: a.Step, Occurrence: a.Occurrence, Queried: a.Workers,
		Eligible: reply.Eligible, ValidFor: time.Duration(reply.ValidForMs) * time.Millisecond, Failed: err != nil || reply.Failed,
	})
}

// removeEntry removes the entry of a finished job from its submission stream.
func (n *Node) removeEntry(g *generation, f cell.DeleteEntry) {
	ctx, cancel := context.WithTimeout(g.ctx, appendTimeout)
	defer cancel()
	_, err := n.deps.Store.Append(ctx, store.SubmissionPartition(f.Partition), []store.Record{{Key: f.Key}}, nil)
	if err != nil {
		n.deps.Telemetry.Log("removing entry of finished job failed", LogFields{Subject: f.Key, Reason: err.Error()})
	}
	n.enqueueFrom(g, cell.EntryDeleted{Job: f.Job, Partition: f.Partition, Key: f.Key, Deleted: err == nil})
}
