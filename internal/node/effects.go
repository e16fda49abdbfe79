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

// executeEffects carries effects out. Calls run on their own, and their answers come
// back as events.
func (n *Node) executeEffects(ctx context.Context, l *generation, effects []cell.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case cell.Log:
			n.deps.Telemetry.LogDecision(e)
		case cell.Observe:
			n.deps.Telemetry.Observe(e.Name, e.Label, e.Value)
		case cell.Count:
			n.deps.Telemetry.Count(e.Name, e.Label)
		case cell.Append:
			go n.appendEntries(l, e)
		case cell.TryClaim:
			go n.claimCell(l, e)
		case cell.Renew:
			go func() {
				sent := n.deps.Now()
				r := n.dispatcher.Renew(l.ctx, e)
				r.SentAt, r.Peek, r.Call = sent, e.Peek, e.Call
				n.enqueueFrom(l, r)
			}()
		case cell.Start:
			go func() {
				v := n.dispatcher.Start(l.ctx, e)
				n.enqueueFrom(l, cell.StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: v, Call: e.Call})
			}()
		case cell.Stop:
			go func() {
				v := n.dispatcher.Stop(l.ctx, e)
				n.enqueueFrom(l, cell.StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: v, Call: e.Call})
			}()
		case cell.Ask:
			go n.checkEligibility(l, e)
		case cell.OfferSettled:
			n.offers.settle(e)
		case cell.JobSettled:
			n.watches.settle(e.ID)
		case cell.Forget:
			go n.removeEntry(l, e)
		case cell.RoleChanged:
			l.owner.Store(e.Owner)
			if e.Owner {
				n.client.Target("", "")
				for _, f := range n.submissionFollowers {
					f.readNow()
				}
			} else {
				n.closePeerConnections()
			}
			n.deps.Telemetry.LogOwnership(e.Owner, e.Epoch)
		case cell.Reload:
			n.deps.Telemetry.Log("reload", LogFields{Reason: e.Reason})
			n.reloadCell(ctx)
			return
		}
	}
}

const (
	// maxClaimSeq bounds the sequence number of a claim, which the appends of the
	// epoch go on from. It leaves room below the largest number that survives
	// JSON numbers.
	maxClaimSeq = 1 << 48
	// claimTimeout bounds a claim with all its attempts.
	claimTimeout = 4 * time.Second
)

// closePeerConnections closes the connections of the other instances, which makes them
// look for the new owner at once.
func (n *Node) closePeerConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		p.Close()
	}
}

// appendEntries appends an owner's entries until the store has them or refuses them
// for good. The store's clock of ownership is the time at which the first
// attempt was sent.
func (n *Node) appendEntries(l *generation, a cell.Append) {
	records := make([]store.Record, len(a.Entries))
	for i, e := range a.Entries {
		records[i] = store.Record{Key: e.Key, Value: e.Value}
	}
	f := &store.Fence{Writer: cellName, Epoch: a.Epoch, Seq: l.claimSeq.Load() + int64(a.Commit), ExpectedEnd: -1}
	sent := n.deps.Now()
	inDoubt, err := n.repeat(l.ctx, store.Progress, records, f, ownerTries)
	if err != nil && !inDoubt && store.KindOf(err) == store.NotApplied {
		n.enqueueFrom(l, cell.Appended{Commit: a.Commit, SentAt: sent, Refused: true})
		return
	}
	if err != nil && l.ctx.Err() == nil {
		// Fenced, or nothing more can be appended in sequence.
		n.deps.Telemetry.Log("append refused", LogFields{Subject: store.Progress.String(), Reason: err.Error()})
		n.enqueueFrom(l, cell.Appended{Commit: a.Commit, SentAt: sent, Fenced: true})
		return
	}
	n.enqueueFrom(l, cell.Appended{Commit: a.Commit, SentAt: sent})
}

// claimCell appends a claim, and reads the stream if the answer is lost.
func (n *Node) claimCell(l *generation, t cell.TryClaim) {
	ctx, cancel := context.WithTimeout(l.ctx, claimTimeout)
	defer cancel()
	// Two instances may claim the same epoch. If their sequence numbers were
	// equal too, the store would take the second claim for a repetition of the
	// first one and accept it.
	seq := rand.Int64N(maxClaimSeq)
	l.claimSeq.Store(seq)
	f := &store.Fence{Writer: cellName, Epoch: t.Claim.Epoch, Seq: seq, ExpectedEnd: t.At}
	record := []store.Record{{Key: jobs.KeyOwner, Value: jobs.Encode(t.Claim)}}
	finish := func(ok bool) {
		n.enqueueFrom(l, cell.Claimed{Epoch: t.Claim.Epoch, SentAt: n.deps.Now(), Won: ok})
	}
	for ctx.Err() == nil {
		actx, done := context.WithTimeout(ctx, hedgeAfter*2)
		_, err := n.deps.Store.Append(actx, store.Progress, record, f)
		done()
		switch kind := store.KindOf(err); {
		case err == nil:
			finish(true)
			return
		case kind == store.Fenced || kind == store.EndMismatch || kind == store.OutOfSequence || kind == store.InDoubt:
			// An earlier attempt may be what moved the end.
			if won, known := n.claimStored(ctx, t); known {
				finish(won)
				return
			}
		}
		sleep(ctx, appendRetry)
	}
	finish(false)
}

// claimStored reports whether a claim is the first record after the end that
// it was conditional on, if there is one.
func (n *Node) claimStored(ctx context.Context, t cell.TryClaim) (won, known bool) {
	b, err := n.deps.Store.Read(ctx, store.Progress, t.At, 0)
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

// eligibilityTimeoutMargin is how much longer than expected an eligibility call may take: calls
// of one instance are answered in turn, and up to three may be in flight.
const eligibilityTimeoutMargin = 600 * time.Millisecond

// checkEligibility makes an eligibility call here or at another instance.
func (n *Node) checkEligibility(l *generation, a cell.Ask) {
	ctx, cancel := context.WithTimeout(l.ctx, 2*a.Cost+eligibilityTimeoutMargin)
	defer cancel()
	r := link.AskRequest{Job: a.Job, Step: a.Step, Occur: a.Occur, Workers: a.Workers, WithinMs: (2*a.Cost + eligibilityTimeoutMargin).Milliseconds()}
	var reply link.AskReply
	var err error
	if a.Advisor == n.self {
		reply = peerHandler{n}.Ask(ctx, r)
	} else {
		n.mu.Lock()
		peer := n.peers[a.Advisor]
		n.mu.Unlock()
		if peer == nil {
			err = link.ErrNoLink
		} else {
			reply, err = peer.Ask(ctx, r)
		}
	}
	if err != nil {
		n.deps.Telemetry.Log("eligibility call lost", LogFields{Subject: string(a.Job), Reason: err.Error()})
	}
	n.enqueueFrom(l, cell.EligibilityAnswered{
		Advisor: a.Advisor, Job: a.Job, Step: a.Step, Occur: a.Occur, Asked: a.Workers,
		Eligible: reply.Eligible, ValidFor: time.Duration(reply.ValidMs) * time.Millisecond, Failed: err != nil || reply.Failed,
	})
}

// removeEntry removes an entry of a finished job. If it fails, the next owner that
// loads the job tries again.
func (n *Node) removeEntry(l *generation, f cell.Forget) {
	ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
	defer cancel()
	if _, err := n.deps.Store.Append(ctx, store.SubmissionPartition(f.Part), []store.Record{{Key: f.Key}}, nil); err != nil {
		n.deps.Telemetry.Log("entry not removed", LogFields{Subject: f.Key, Reason: err.Error()})
	}
}
