package driver

import (
	"sync"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
)

// controlQueueSize bounds the control calls that wait for one worker. For an
// unreachable worker the queue drains at one call per callTimeout (1 s).
const controlQueueSize = 64

// controls queues the control calls of each worker in order. A worker has an
// entry while a goroutine sends its calls.
type controls struct {
	mu       sync.Mutex
	byWorker map[model.WorkerName][]*core.Control
}

// push queues a call. If first is true, the caller must start the goroutine that
// sends the calls of this worker.
func (q *controls) push(c *core.Control) (queued, first bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byWorker == nil {
		q.byWorker = map[model.WorkerName][]*core.Control{}
	}
	waiting, running := q.byWorker[c.Worker]
	if len(waiting) >= controlQueueSize {
		return false, false
	}
	q.byWorker[c.Worker] = append(waiting, c)
	return true, !running
}

// next removes and returns the oldest call. If there is none, it removes the
// worker's entry and returns nil; the sending goroutine must then end.
func (q *controls) next(name model.WorkerName) *core.Control {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.byWorker[name]
	if len(waiting) == 0 {
		delete(q.byWorker, name)
		return nil
	}
	q.byWorker[name] = waiting[1:]
	return waiting[0]
}

// waiters holds a channel for each request that awaits its answer.
type waiters[T any] struct {
	mu        sync.Mutex
	byRequest map[model.RequestID]chan T
}

func (w *waiters[T]) add(id model.RequestID) <-chan T {
	ch := make(chan T, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byRequest == nil {
		w.byRequest = map[model.RequestID]chan T{}
	}
	w.byRequest[id] = ch
	return ch
}

func (w *waiters[T]) remove(id model.RequestID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byRequest, id)
}

// deliver sends the answer of a request to its waiter, at most once. An answer
// without a waiter is dropped.
func (w *waiters[T]) deliver(id model.RequestID, v T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch, ok := w.byRequest[id]; ok {
		ch <- v
		delete(w.byRequest, id)
	}
}

func (w *waiters[T]) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.byRequest)
}
