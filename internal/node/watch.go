package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
)

// endingWait bounds how long the owner's answer about a job waits whose end may
// come at any moment. Callers ask when they expect the end, which takes some
// milliseconds from the worker through the store; one that is told too early
// asks again only much later.
const endingWait = 60 * time.Millisecond

// watches are the callers that wait for the end of a job. It is safe for
// concurrent use.
type watches struct {
	mu    sync.Mutex
	byJob map[jobs.ID][]chan struct{}
}

// add returns a channel that is closed when the job is settled, and a function
// that gives it up.
func (w *watches) add(id jobs.ID) (settled <-chan struct{}, remove func()) {
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

func (w *watches) settle(id jobs.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ch := range w.byJob[id] {
		close(ch)
	}
	delete(w.byJob, id)
}

// endingView returns what this instance knows of a job, and whether it owns the
// cell. The owner waits a moment for the end of a job that is about to end.
func (n *Node) endingView(ctx context.Context, id jobs.ID) (v cell.JobView, known, owner bool) {
	n.mu.Lock()
	v, known = n.cell.Job(id)
	owner = n.cell.IsOwner()
	if !known || !owner || !v.Ending {
		n.mu.Unlock()
		return v, known, owner
	}
	// Under the lock, so that no step settles the job in between.
	settled, remove := n.watches.add(id)
	n.mu.Unlock()
	defer remove()
	timeout := time.NewTimer(endingWait)
	defer timeout.Stop()
	select {
	case <-settled:
	case <-timeout.C:
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v, known = n.cell.Job(id)
	return v, known, n.cell.IsOwner()
}
