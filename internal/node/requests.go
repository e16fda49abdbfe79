package node

import (
	"context"
	"sync"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
)

// pendingRequests holds the callers that wait until this instance, as the owner, has stored
// an entry with its next append. It is safe for concurrent use.
type pendingRequests struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan cell.RequestAnswered
}

func (r *pendingRequests) add() (uint64, chan cell.RequestAnswered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = map[uint64]chan cell.RequestAnswered{}
	}
	r.lastID++
	c := make(chan cell.RequestAnswered, 1)
	r.waiting[r.lastID] = c
	return r.lastID, c
}

func (r *pendingRequests) resolve(s cell.RequestAnswered) {
	r.mu.Lock()
	c := r.waiting[s.RequestID]
	delete(r.waiting, s.RequestID)
	r.mu.Unlock()
	if c != nil {
		c <- s
	}
}

// remove removes a request whose caller no longer waits.
func (r *pendingRequests) remove(requestID uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, requestID)
}

// storeAsOwner requests the reducer to store an entry. The reducer refuses the request if
// this instance does not own the cell.
func (n *Node) storeAsOwner(ctx context.Context, e cell.Entry) storeResult {
	requestID, results := n.requests.add()
	event, err := requestEvent(requestID, e)
	if err != nil {
		n.requests.remove(requestID)
		n.deps.Telemetry.Log("decoding entry to store failed", LogFields{Subject: e.Key, Reason: err.Error()})
		return storeResult{}
	}
	n.enqueue(event)
	select {
	case s := <-results:
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
		j, err := jobs.Decode[jobs.Job](e.Key, e.Value)
		return cell.SubmitRequested{RequestID: requestID, Job: j, Value: e.Value}, err
	case jobs.KindCancel:
		return cell.CancelRequested{RequestID: requestID, ID: id}, nil
	}
	return nil, &UnknownEntryError{Key: e.Key}
}
