package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// A task that was lost with its worker may start elsewhere once the worker's lease is over. A new
// owner doesn't know when the lease was last extended, and would have to wait for a whole one, so
// that tasks wait for as long as owners change. So an owner stores which workers don't answer it
// and how long their leases last at most, and extends the lease of such a worker only once the
// store has a newer list without it.

const (
	// unreachableListedAfter is how long a worker may not answer before it is listed. Most
	// workers that miss one renewal answer the next one.
	unreachableListedAfter = 300 * time.Millisecond
	// maxListed bounds the workers in a list, so that it fits into a record of the store.
	maxListed = 4000
	// unreachableInterval is the time between two stored lists while some lease lasts.
	unreachableInterval = time.Second
)

// inheritedUnreachable returns the list that an instance which claims the cell takes over: that
// of the last owner, or the one that this took over itself. An owner of an earlier build doesn't
// keep to a list, so that none is taken over from it.
func (c *Cell) inheritedUnreachable() *jobs.UnreachableWorkers {
	u := &c.unreachable
	if u.Epoch != 0 && (u.Epoch == c.latestClaim.Epoch || u.Epoch == c.latestClaim.UnreachableEpoch) {
		return u
	}
	return &jobs.UnreachableWorkers{}
}

// unreachableRead handles the newest list of an owner. The times in it are counted from here on,
// which is later than they were written.
func (c *Cell) unreachableRead(u jobs.UnreachableWorkers) {
	if c.role != roleOwner {
		c.unreachable, c.unreachableReadAt = u, c.now
	}
}

// applyUnreachable sets the ends of the leases that earlier owners granted. Leases of workers that
// are not listed expire at the latest this long after the claim reached the store.
func (c *Cell) applyUnreachable() {
	listed := c.inheritedUnreachable().Workers
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		c.getOrAddWorker(name)
	}
	if len(listed) > 0 {
		c.listedAnswers = true // stored again as this owner's list
		c.log("unreachable workers taken over", "", Fields{Count: len(listed), Age: c.now.Sub(c.unreachableReadAt)})
	}
	for _, w := range c.workerList {
		w.leaseEnd = c.now.Add(c.longestLease())
		if u, ok := listed[w.info.Name]; ok {
			w.listed = true
			w.leaseEnd = min(w.leaseEnd, c.unreachableReadAt.Add(time.Duration(u.LeaseMs)*time.Millisecond))
		}
	}
}

// lateStartsUntil returns until when starts of earlier owners may be carried out at a worker.
func (c *Cell) lateStartsUntil(w *worker) model.Time {
	until := c.now.Add(lateStartWindow)
	if u, ok := c.inheritedUnreachable().Workers[w.info.Name]; ok {
		until = min(until, c.unreachableReadAt.Add(time.Duration(u.LateMs)*time.Millisecond))
	}
	return until
}

// unreachableDue reports whether a list of the workers that don't answer is to be stored.
func (c *Cell) unreachableDue() bool {
	if c.listedAnswers {
		return true
	}
	if c.now.Sub(c.unreachableListedAt) < unreachableInterval {
		return false
	}
	c.unreachableListedAt = c.now
	for _, w := range c.workerList {
		if c.isUnreachable(w) && (!w.listed || c.now <= w.leaseEnd || c.lateMs(w) > 0) {
			return true
		}
	}
	return false
}

// isUnreachable reports whether a worker with runs, or with starts that may still be carried out,
// doesn't answer this owner.
func (c *Cell) isUnreachable(w *worker) bool {
	if len(w.runs) == 0 && len(w.lateStarts) == 0 {
		return false
	}
	if w.failedRenewals == 0 {
		return w.listed && !w.epochAccepted
	}
	return w.listed || c.now.Sub(max(w.unreachableAt, c.ownerSince)) >= unreachableListedAfter
}

// lateMs returns for how many milliseconds starts may still be carried out at a worker.
func (c *Cell) lateMs(w *worker) int64 {
	until := c.now
	for _, l := range w.lateStarts {
		until = max(until, l.until)
	}
	for _, p := range w.runs {
		if p.startUnresolved() && !p.late {
			until = max(until, c.now.Add(lateStartWindow)) // its call has not ended
		}
	}
	return until.Sub(c.now).Milliseconds()
}

// addUnreachable adds the list of the workers that don't answer. From here on none of them gets a
// lease until a list without it is stored.
func (c *Cell) addUnreachable(b *appendBuilder) {
	if !c.unreachableDue() {
		return
	}
	c.unreachableListedAt, c.listedAnswers = c.now, false
	u := jobs.UnreachableWorkers{Epoch: c.epoch, Workers: map[model.WorkerName]jobs.UnreachableWorker{}}
	b.in.unreachable = map[*worker]bool{}
	for _, w := range c.workerList {
		if len(u.Workers) < maxListed && c.isUnreachable(w) {
			if !w.listed {
				c.log("worker listed as unreachable", "", Fields{Worker: w.info.Name, Count: len(w.runs), Age: max(0, w.leaseEnd.Sub(c.now))})
			}
			w.listed, b.in.unreachable[w] = true, true
			u.Workers[w.info.Name] = jobs.UnreachableWorker{LeaseMs: max(0, w.leaseEnd.Sub(c.now)).Milliseconds() + 1, LateMs: c.lateMs(w)}
		}
	}
	e := Entry{Key: jobs.KeyUnreachable}
	if len(u.Workers) > 0 {
		e.Value = jobs.Encode(u)
	}
	b.add(e)
}

// unreachableStored handles the storing of a list. Workers that are not in it get leases again.
func (c *Cell) unreachableStored(listed map[*worker]bool) {
	if listed == nil {
		return
	}
	for _, w := range c.workerList {
		if w.listed && !listed[w] {
			w.listed = false
			c.scheduleNeeded = true
		}
	}
}
