package node

import (
	"context"
	"sync"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
)

// offers are the entries that this instance, as the owner, was asked to store
// with its own next append.
type offers struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan cell.RequestAnswered
}

func (o *offers) add() (uint64, chan cell.RequestAnswered) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting == nil {
		o.waiting = map[uint64]chan cell.RequestAnswered{}
	}
	o.last++
	c := make(chan cell.RequestAnswered, 1)
	o.waiting[o.last] = c
	return o.last, c
}

func (o *offers) settle(s cell.RequestAnswered) {
	o.mu.Lock()
	c := o.waiting[s.RequestID]
	delete(o.waiting, s.RequestID)
	o.mu.Unlock()
	if c != nil {
		c <- s
	}
}

// drop forgets an offer whose caller has gone.
func (o *offers) drop(ticket uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, ticket)
}

// offer asks the reducer to store an entry. It is refused if this instance does
// not own the cell.
func (n *Node) offer(ctx context.Context, e cell.Entry) result {
	ticket, settled := n.offers.add()
	event, err := offerEvent(ticket, e)
	if err != nil {
		n.offers.drop(ticket)
		n.deps.Telemetry.Log("offer unreadable", LogFields{Subject: e.Key, Reason: err.Error()})
		return result{}
	}
	n.post(event)
	select {
	case s := <-settled:
		return result{stored: s.Stored, inDoubt: s.InDoubt, retryAfter: s.RetryAfter}
	case <-ctx.Done():
		n.offers.drop(ticket)
		return result{inDoubt: true}
	}
}

// UnknownEntryError reports an entry that is neither a submission nor a
// cancellation.
type UnknownEntryError struct{ Key string }

func (e *UnknownEntryError) Error() string { return "entry " + e.Key + " can't be offered" }

func offerEvent(ticket uint64, e cell.Entry) (cell.Event, error) {
	switch kind, id := jobs.ParseKey(e.Key); kind {
	case jobs.KindJob:
		j, err := jobs.Decode[jobs.Job](e.Key, e.Value)
		return cell.SubmitRequested{RequestID: ticket, Job: j, Value: e.Value}, err
	case jobs.KindCancel:
		return cell.CancelRequested{RequestID: ticket, ID: id}, nil
	}
	return nil, &UnknownEntryError{Key: e.Key}
}
