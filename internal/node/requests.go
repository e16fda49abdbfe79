package node

import (
	"context"
	"sync"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
)

// openRequests holds the callers that wait until this instance, as the owner, has stored
// an entry with its next append. It is safe for concurrent use.
type openRequests struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan cell.RequestAnswered
}

func (o *openRequests) add() (uint64, chan cell.RequestAnswered) {
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

func (o *openRequests) resolve(s cell.RequestAnswered) {
	o.mu.Lock()
	c := o.waiting[s.RequestID]
	delete(o.waiting, s.RequestID)
	o.mu.Unlock()
	if c != nil {
		c <- s
	}
}

// remove removes a request whose caller no longer waits.
func (o *openRequests) remove(requestID uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, requestID)
}

// storeAsOwner requests the reducer to store an entry. The reducer refuses the request if
// this instance does not own the cell.
func (n *Node) storeAsOwner(ctx context.Context, e cell.Entry) storeResult {
	requestID, answer := n.requests.add()
	event, err := requestEvent(requestID, e)
	if err != nil {
		n.requests.remove(requestID)
		n.deps.Telemetry.Log("decoding entry to store failed", LogFields{Subject: e.Key, Reason: err.Error()})
		return storeResult{}
	}
	n.enqueue(event)
	select {
	case s := <-answer:
		return storeResult{stored: s.Stored, inDoubt: s.InDoubt, retryAfter: s.RetryAfter}
	case <-ctx.Done():
		n.requests.remove(requestID)
		return storeResult{inDoubt: true}
	}
}

// UnknownEntryError reports an entry to store that is neither a submission nor a
// cancellation.
type UnknownEntryError struct{ Key string }

func (e *UnknownEntryError) Error() string { return "entry " + e.Key + " has an unknown kind" }

func requestEvent(requestID uint64, e cell.Entry) (cell.Event, error) {
	switch kind, id := jobs.ParseKey(e.Key); kind {
	case jobs.KindJob:
		j, err := decodeJob(e.Key, e.Value)
		return cell.SubmitRequested{RequestID: requestID, Job: j, Value: e.Value}, err
	case jobs.KindCancel:
		cancellation, err := jobs.Decode[jobs.Cancellation](e.Key, e.Value)
		return cell.CancelRequested{RequestID: requestID, ID: id, Cancellation: cancellation}, err
	}
	return nil, &UnknownEntryError{Key: e.Key}
}
