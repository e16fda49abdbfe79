package driver

import (
	"sync"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
)

// controlQueue bounds the control calls that wait for one worker. A dead
// worker takes one call a second out of it.
const controlQueue = 64

// controls holds the control calls of each worker in order. A worker has an
// entry while a goroutine sends for it.
type controls struct {
	mu       sync.Mutex
	byWorker map[model.WorkerName][]*core.Control
}

// push queues a call. First reports that the caller must start the goroutine
// that sends for this worker.
func (q *controls) push(c *core.Control) (queued, first bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byWorker == nil {
		q.byWorker = map[model.WorkerName][]*core.Control{}
	}
	waiting, running := q.byWorker[c.Worker]
	if len(waiting) >= controlQueue {
		return false, false
	}
	q.byWorker[c.Worker] = append(waiting, c)
	return true, !running
}

// next removes the oldest call, or returns nil and ends the worker's turn.
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

// waiters holds a channel for each request that waits for its answer.
type waiters[T any] struct {
	mu sync.Mutex
	m  map[model.RequestID]chan T
}

func (w *waiters[T]) add(id model.RequestID) <-chan T {
	ch := make(chan T, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.m == nil {
		w.m = map[model.RequestID]chan T{}
	}
	w.m[id] = ch
	return ch
}

func (w *waiters[T]) remove(id model.RequestID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.m, id)
}

// give answers a request once. An answer to a request that nobody waits for is
// dropped.
func (w *waiters[T]) give(id model.RequestID, v T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch, ok := w.m[id]; ok {
		ch <- v
		delete(w.m, id)
	}
}

func (w *waiters[T]) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.m)
}
