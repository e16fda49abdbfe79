package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
)

// jobEndWait bounds how long the owner delays its answer about a job that is about to end.
// Callers ask when they expect the end, and the end takes some milliseconds from the worker
// through the store. A caller that gets its answer too early asks again only much later.
const jobEndWait = 60 * time.Millisecond

// jobWaiters holds the callers that wait for the end of a job. It is safe for concurrent
// use.
type jobWaiters struct {
	mu    sync.Mutex
	byJob map[jobs.ID][]chan struct{}
}

// add returns a channel that is closed when the job's final state is stored, and a function
// that stops waiting.
func (w *jobWaiters) add(id jobs.ID) (ended <-chan struct{}, remove func()) {
	ch := make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byJob == nil {
		w.byJob = map[jobs.ID][]chan struct{}{}
	}
	w.byJob[id] = append(w.byJob[id], ch)
	return ch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		left := slices.DeleteFunc(w.byJob[id], func(c chan struct{}) bool { return c == ch })
		if len(left) == 0 {
			delete(w.byJob, id)
		} else {
			w.byJob[id] = left
		}
	}
}

func (w *jobWaiters) notify(id jobs.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ch := range w.byJob[id] {
		close(ch)
	}
	delete(w.byJob, id)
}

// viewAfterEnd returns this instance's view of a job, and whether the instance owns the
// cell. If it does and the job is about to end, it first waits up to jobEndWait for the
// end.
func (n *Node) viewAfterEnd(ctx context.Context, id jobs.ID) (v cell.JobView, known, owner bool) {
	n.mu.Lock()
	v, known = n.cell.Job(id)
	owner = n.cell.IsOwner()
	if !known || !owner || !v.Ending {
		n.mu.Unlock()
		return v, known, owner
	}
	// Added under the lock, so that no step ends the job in between.
	ended, remove := n.waiters.add(id)
	n.mu.Unlock()
	defer remove()
	timeout := time.NewTimer(jobEndWait)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v, known = n.cell.Job(id)
	return v, known, n.cell.IsOwner()
}
