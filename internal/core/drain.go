package core

import "time"

// drainFlushTimeout is how long a draining owner waits for its queued records to reach
// the log before it releases the lease without them.
const drainFlushTimeout = 2 * time.Second

// onDrain starts a graceful stop: the instance accepts no new calls, releases the lease
// and exits when its calls in progress are finished.
func (c *Core) onDrain() {
	if c.draining {
		return
	}
	c.draining = true
	c.drainStart = c.now
	c.view.Heard(c.now, c.cfg.Self, true)         // a draining instance is no elector
	c.nextHeartbeat, c.nextRemoteHeartbeat = 0, 0 // send heartbeats to all peers at once
	c.updateReady()
}

// tickDrain continues a graceful stop and exits at its end.
func (c *Core) tickDrain() {
	if !c.draining || c.exited {
		return
	}
	if c.owner != nil {
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

// drainOwner releases the lease once the queued records are in the log. The last
// instance of a data centre first finishes its calls, since no other instance could.
func (c *Core) drainOwner() {
	if len(c.view.Alive(c.now)) == 0 && len(c.calls) > 0 {
		return
	}
	q := &c.commit
	if len(q.entries) > 0 && q.oldestUrgentAt == 0 {
		q.oldestUrgentAt = c.now
	}
	flushed := len(q.entries) == 0 && q.inFlight == nil
	if flushed || c.now.Sub(c.drainStart) > drainFlushTimeout {
		c.lease.Drain(c.now)
		c.releasing = true
	}
	if c.releasing && c.now.Sub(c.drainStart) > 2*drainFlushTimeout && len(c.calls) == 0 {
		// The log is unavailable; the lease expires by itself.
		c.exited = true
		c.emit(Effect{Exit: &Exit{}})
	}
}
