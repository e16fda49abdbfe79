package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
)

// suspectWorker excludes a worker that did not answer a start from placement until it
// answers a query or a watch. Without this, only the watch would detect that the worker
// is unreachable, seconds later, and more starts would be lost meanwhile.
func (c *Core) suspectWorker(name model.WorkerName) {
	w := c.owner.workers[name]
	if w == nil || w.suspected {
		return
	}
	w.suspected = true
	c.count("workers_suspected", "", 1)
	c.updatePlacementFlags(w)
}

// fencedBy reports whether a full report lists every task that former owners have
// started. A guarded worker rejects starts of former owners once it has seen the new
// epoch. An unguarded worker doesn't, so its report must have been requested after the
// last start of a former owner can have arrived: an owner sends no starts after its
// lease has expired, and stops waiting for each start after StartGrace.
func (c *Core) fencedBy(sentAt model.Time, r *model.Report) bool {
	if r.Guarded || c.owner.epoch == 1 {
		return true
	}
	from, ok := c.fencedFrom()
	return ok && sentAt >= from
}

// fencedFrom returns the time after which no start of a former owner can reach an
// unguarded worker. It returns false while a former owner may still be acting on lease
// votes: that owner does not know this epoch, and an unguarded worker does not reject
// its starts.
func (c *Core) fencedFrom() (model.Time, bool) {
	safe, ok := c.lease.ExclusiveSince()
	if !ok || c.owner.actingSince == 0 {
		return 0, false
	}
	from := max(c.owner.actingSince, safe.Add(c.cfg.Timing.LeaseDuration+c.cfg.Timing.ClockDriftMargin))
	return from.Add(c.cfg.Timing.StartGrace), true
}

// fenceUnguardedWorkers requests a full report from unguarded workers once fencedFrom
// has passed.
func (c *Core) fenceUnguardedWorkers() {
	if c.owner.actingSince == 0 {
		c.owner.actingSince = c.now
	}
	if from, ok := c.fencedFrom(); !ok || c.now < from {
		return
	}
	for _, name := range sortedKeys(c.owner.workers) {
		w := c.owner.workers[name]
		if w.reported && !w.fenced && w.reachable && !w.fenceReportPending {
			w.fenceReportPending = true
			w.reportSeq = 0
			c.sendWatch(w)
		}
	}
}

// allWorkersReported reports whether every known worker has been fenced and has
// reported to this owner.
func (c *Core) allWorkersReported() bool {
	if !c.vmsListed || len(c.owner.workers) == 0 {
		return false // tasks may be running on workers that are not known yet
	}
	for _, w := range c.owner.workers {
		if !w.fenced {
			return false
		}
	}
	return true
}
