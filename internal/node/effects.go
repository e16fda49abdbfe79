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

// perform carries effects out. Calls run on their own, and their answers come
// back as events.
func (n *Node) perform(ctx context.Context, l *life, effects []cell.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case cell.Log:
			n.deps.Telemetry.LogDecision(e)
		case cell.Observe:
			n.deps.Telemetry.Observe(e.Name, e.Label, e.Value)
		case cell.Count:
			n.deps.Telemetry.Count(e.Name, e.Label)
		case cell.Append:
			go n.append(l, e)
		case cell.TryClaim:
			go n.tryClaim(l, e)
		case cell.Renew:
			go func() {
				sent := n.deps.Now()
				r := n.dispatch.Renew(l.ctx, e)
				r.SentAt, r.StatusOnly, r.Call = sent, e.StatusOnly, e.Call
				n.send(l, r)
			}()
		case cell.Start:
			go func() {
				v := n.dispatch.Start(l.ctx, e)
				n.send(l, cell.StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: v, Call: e.Call})
			}()
		case cell.Stop:
			go func() {
				v := n.dispatch.Stop(l.ctx, e)
				n.send(l, cell.StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: v, Call: e.Call})
			}()
		case cell.QueryEligibility:
			go n.ask(l, e)
		case cell.RequestAnswered:
			n.offers.settle(e)
		case cell.FinalStateStored:
			n.watches.settle(e.ID)
		case cell.DeleteEntry:
			go n.forget(l, e)
		case cell.OwnershipChanged:
			l.owner.Store(e.Owner)
			if e.Owner {
				n.client.SetOwner("", "")
				for _, f := range n.subs {
					f.hurry()
				}
			} else {
				n.dropPeers()
			}
			n.deps.Telemetry.LogOwnership(e.Owner, e.Epoch)
		case cell.Reload:
			n.deps.Telemetry.Log("reload", LogFields{Reason: e.Reason})
			n.restart(ctx)
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

// dropPeers closes the connections of the other instances, which makes them
// look for the new owner at once.
func (n *Node) dropPeers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		p.Close()
	}
}

// append appends an owner's entries until the store has them or refuses them
// for good. The store's clock of ownership is the time at which the first
// attempt was sent.
func (n *Node) append(l *life, a cell.Append) {
	records := make([]store.Record, len(a.Entries))
	for i, e := range a.Entries {
		records[i] = store.Record{Key: e.Key, Value: e.Value}
	}
	f := &store.Fence{Writer: cellName, Epoch: a.Epoch, Seq: l.claimSeq.Load() + int64(a.Seq), ExpectedEnd: -1}
	sent := n.deps.Now()
	inDoubt, err := n.repeat(l.ctx, store.Progress, records, f, ownerTries)
	if err != nil && !inDoubt && store.KindOf(err) == store.NotApplied {
		n.send(l, cell.Appended{Seq: a.Seq, SentAt: sent, Refused: true})
		return
	}
	if err != nil && l.ctx.Err() == nil {
		// Fenced, or nothing more can be appended in sequence.
		n.deps.Telemetry.Log("append refused", LogFields{Subject: store.Progress.String(), Reason: err.Error()})
		n.send(l, cell.Appended{Seq: a.Seq, SentAt: sent, Fenced: true})
		return
	}
	n.send(l, cell.Appended{Seq: a.Seq, SentAt: sent})
}

// tryClaim appends a claim, and reads the stream if the answer is lost.
func (n *Node) tryClaim(l *life, t cell.TryClaim) {
	ctx, cancel := context.WithTimeout(l.ctx, claimTimeout)
	defer cancel()
	// Two instances may claim the same epoch. If their sequence numbers were
	// equal too, the store would take the second claim for a repetition of the
	// first one and accept it.
	seq := rand.Int64N(maxClaimSeq)
	l.claimSeq.Store(seq)
	f := &store.Fence{Writer: cellName, Epoch: t.Claim.Epoch, Seq: seq, ExpectedEnd: t.At}
	record := []store.Record{{Key: jobs.KeyOwner, Value: jobs.Encode(t.Claim)}}
	won := func(ok bool) {
		n.send(l, cell.ClaimAnswered{Epoch: t.Claim.Epoch, SentAt: n.deps.Now(), Won: ok})
	}
	for ctx.Err() == nil {
		actx, done := context.WithTimeout(ctx, hedgeAfter*2)
		_, err := n.deps.Store.Append(actx, store.Progress, record, f)
		done()
		switch kind := store.KindOf(err); {
		case err == nil:
			won(true)
			return
		case kind == store.Fenced || kind == store.EndMismatch || kind == store.OutOfSequence || kind == store.InDoubt:
			// An earlier attempt may be what moved the end.
			if own, known := n.claimLanded(ctx, t); known {
				won(own)
				return
			}
		}
		sleep(ctx, appendRetry)
	}
	won(false)
}

// claimLanded reports whether a claim is the first record after the end that
// it was conditional on, if there is one.
func (n *Node) claimLanded(ctx context.Context, t cell.TryClaim) (own, known bool) {
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

// askMargin is how much longer than expected an eligibility call may take: calls
// of one instance are answered in turn, and up to three may be in flight.
const askMargin = 600 * time.Millisecond

// ask makes an eligibility call here or at another instance.
func (n *Node) ask(l *life, a cell.QueryEligibility) {
	ctx, cancel := context.WithTimeout(l.ctx, 2*a.Expected+askMargin)
	defer cancel()
	r := link.PermitRequest{Job: a.Job, Step: a.Step, Occurrence: a.Occurrence, Workers: a.Workers, TimeoutMs: (2*a.Expected + askMargin).Milliseconds()}
	var reply link.PermitReply
	var err error
	if a.Instance == n.self {
		reply = peers{n}.Permits(ctx, r)
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
		n.deps.Telemetry.Log("eligibility call lost", LogFields{Subject: string(a.Job), Reason: err.Error()})
	}
	n.send(l, cell.EligibilityAnswered{
		Instance: a.Instance, Job: a.Job, Step: a.Step, Occurrence: a.Occurrence, Queried: a.Workers,
		Eligible: reply.Eligible, ValidFor: time.Duration(reply.ValidForMs) * time.Millisecond, Failed: err != nil || reply.Failed,
	})
}

// forget removes an entry of a finished job. If it fails, the next owner that
// loads the job tries again.
func (n *Node) forget(l *life, f cell.DeleteEntry) {
	ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
	defer cancel()
	if _, err := n.deps.Store.Append(ctx, store.SubmissionPartition(f.Partition), []store.Record{{Key: f.Key}}, nil); err != nil {
		n.deps.Telemetry.Log("entry not removed", LogFields{Subject: f.Key, Reason: err.Error()})
	}
}
