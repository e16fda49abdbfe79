package core

import "time"

// drainFlush is how long a draining owner waits for its queued records to
// reach the log before it hands the lease over without them.
const drainFlush = 2 * time.Second

// onDrain starts a graceful stop: no new calls, then the lease is handed over,
// then calls in progress are finished.
func (c *Core) onDrain() {
	if c.draining {
		return
	}
	c.draining = true
	c.drainSince = c.now
	c.view.MarkSeen(c.now, c.cfg.Self, true) // no elector any more
	c.nextBeat, c.nextFarBeat = 0, 0         // tell the peers at once
	c.updateReady()
}

// tickDrain goes on with a graceful stop.
func (c *Core) tickDrain() {
	if !c.draining || c.exited {
		return
	}
	if c.own != nil {
		c.drainOwner()
		return
	}
	if len(c.calls) > 0 || len(c.publishes) > 0 {
		return
	}
	c.lease.Drain(c.now)
	c.exited = true
	c.change("instance", c.cfg.Self.Name, "draining", "drained")
	c.emit(Effect{Exit: &Exit{}})
}

// drainOwner hands the lease over once the queued records are in the log. The
// last instance of a data centre first finishes the calls that wait here,
// since nobody else could.
func (c *Core) drainOwner() {
	if len(c.view.Alive(c.now)) == 0 && len(c.calls) > 0 {
		return
	}
	q := &c.commit
	if len(q.entries) > 0 && q.urgentAt == 0 {
		q.urgentAt = c.now
	}
	flushed := len(q.entries) == 0 && q.flight == nil
	if flushed || c.now.Sub(c.drainSince) > drainFlush {
		c.lease.Drain(c.now)
		c.releasing = true
	}
	if c.releasing && c.now.Sub(c.drainSince) > 2*drainFlush && len(c.calls) == 0 {
		// The log is out: the lease runs out by itself.
		c.exited = true
		c.emit(Effect{Exit: &Exit{}})
	}
}
