package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
)

// suspect keeps new tasks off a worker that did not answer a start, until it
// answers a query or a watch. A watch alone would show its silence only after
// seconds, in which more starts would be lost.
func (c *Core) suspect(name model.WorkerName) {
	w := c.own.workers[name]
	if w == nil || w.suspect {
		return
	}
	w.suspect = true
	c.count("workers_suspected", "", 1)
	c.setFlags(w)
}

// clearedBy reports whether a full report shows everything that former owners
// have started. A guarded worker refuses their starts since it saw the new
// epoch. For another one the report must have been asked for after the last
// start of a former owner can have arrived: an owner sends none once its
// evidence has run out, and gives up on each after the start grace.
func (c *Core) clearedBy(sentAt model.Time, r *model.Report) bool {
	if r.Guarded || c.own.epoch == 1 {
		return true
	}
	from, ok := c.clearFrom()
	return ok && sentAt >= from
}

// clearFrom returns the time from which no start of a former owner can reach an
// unguarded worker any more. It is false while a former owner may still act on
// vouchers: it knows nothing of this epoch, and such a worker does not refuse
// it.
func (c *Core) clearFrom() (model.Time, bool) {
	safe, ok := c.lease.ExclusiveSince()
	if !ok || c.own.actingSince == 0 {
		return 0, false
	}
	from := max(c.own.actingSince, safe.Add(c.cfg.Timing.Lease+c.cfg.Timing.Margin))
	return from.Add(c.cfg.Timing.StartGrace), true
}

// clearWorkers asks unguarded workers for a full report once it counts.
func (c *Core) clearWorkers() {
	if c.own.actingSince == 0 {
		c.own.actingSince = c.now
	}
	if from, ok := c.clearFrom(); !ok || c.now < from {
		return
	}
	for _, name := range sortedKeys(c.own.workers) {
		w := c.own.workers[name]
		if w.reported && !w.cleared && w.reach && !w.clearing {
			w.clearing = true
			w.seq = 0
			c.watch(w)
		}
	}
}

// allWorkersReported reports whether every known worker has been fenced and
// has reported to this owner.
func (c *Core) allWorkersReported() bool {
	if !c.vmsListed || len(c.own.workers) == 0 {
		return false // tasks may run on workers that are not known yet
	}
	for _, w := range c.own.workers {
		if !w.cleared {
			return false
		}
	}
	return true
}
