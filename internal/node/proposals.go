package node

import (
	"context"
	"sync"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
)

// proposals are entries that this instance, as the owner, was asked to store with its next
// append, and whose result is pending.
type proposals struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan cell.RequestAnswered
}

func (p *proposals) add() (uint64, chan cell.RequestAnswered) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan cell.RequestAnswered{}
	}
	p.last++
	c := make(chan cell.RequestAnswered, 1)
	p.waiting[p.last] = c
	return p.last, c
}

func (p *proposals) resolve(s cell.RequestAnswered) {
	p.mu.Lock()
	c := p.waiting[s.RequestID]
	delete(p.waiting, s.RequestID)
	p.mu.Unlock()
	if c != nil {
		c <- s
	}
}

// remove removes a proposal whose caller no longer waits.
func (p *proposals) remove(ticket uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, ticket)
}

// propose asks the reducer to store an entry. The reducer refuses it if this instance does
// not own the cell.
func (n *Node) propose(ctx context.Context, e cell.Entry) storeResult {
	ticket, results := n.proposals.add()
	event, err := proposalEvent(ticket, e)
	if err != nil {
		n.proposals.remove(ticket)
		n.deps.Telemetry.Log("decoding proposed entry failed", LogFields{Subject: e.Key, Reason: err.Error()})
		return storeResult{}
	}
	n.enqueue(event)
	select {
	case s := <-results:
		return storeResult{stored: s.Stored, inDoubt: s.InDoubt, retryAfter: s.RetryAfter}
	case <-ctx.Done():
		n.proposals.remove(ticket)
		return storeResult{inDoubt: true}
	}
}

// UnknownEntryError reports a proposed entry that is neither a submission nor a
// cancellation.
type UnknownEntryError struct{ Key string }

func (e *UnknownEntryError) Error() string { return "entry " + e.Key + " has an unknown kind" }

func proposalEvent(ticket uint64, e cell.Entry) (cell.Event, error) {
	switch kind, id := jobs.ParseKey(e.Key); kind {
	case jobs.KindJob:
		j, err := jobs.Decode[jobs.Job](e.Key, e.Value)
		return cell.SubmitRequested{RequestID: ticket, Job: j, Value: e.Value}, err
	case jobs.KindCancel:
		return cell.CancelRequested{RequestID: ticket, ID: id}, nil
	}
	return nil, &UnknownEntryError{Key: e.Key}
}
