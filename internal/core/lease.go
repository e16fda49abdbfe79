package core

import (
	"maps"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/ownership"
	"github.com/gentianpick/gentianpick/internal/record"
)

// stepLease advances the ownership protocol and carries out its actions.
func (c *Core) stepLease() {
	if !c.started {
		return
	}
	c.lease.SetMembers(c.view.Known(), c.view.Gone)
	for _, a := range c.lease.Step(c.now, c.view.Alive(c.now)) {
		switch {
		case a.Consent != nil:
			for _, m := range a.ConsentTo {
				if m.Incarnation != c.cfg.Self.Incarnation {
					c.send(m, message.Body{ConsentRequest: a.Consent})
				}
			}
		case a.Claim != nil:
			c.appendUnbatched(record.Entry{Claim: a.Claim})
		case a.Release != nil:
			c.appendUnbatched(record.Entry{Release: a.Release})
		case a.Change != nil:
			c.change("lease phase", c.cfg.Self.Name, string(a.Change.From), string(a.Change.To))
		}
	}
	c.syncOwnership()
}

// appendUnbatched appends one record in a batch of its own. The ownership protocol
// decides whether to repeat it, so the batch has no sequence number.
func (c *Core) appendUnbatched(e record.Entry) {
	b := record.Batch{ID: c.nextID(), Writer: c.cfg.Self.Incarnation, Entries: []record.Entry{e}}
	payload, err := record.Encode(b)
	if err != nil {
		c.count("encode_errors", "", 1)
		return
	}
	c.count("appends", "", 1)
	c.emit(Effect{Append: &Append{Stream: c.dataCentreStream(), Batch: b.ID, Payload: payload}})
}

// syncOwnership creates the owner's state when this instance has acquired the lease
// according to the log, and drops it when the lease was lost.
func (c *Core) syncOwnership() {
	epoch := c.lease.Epoch()
	switch {
	case c.lease.IsOwner() && c.owner == nil:
		c.takeOver(epoch)
	case c.lease.IsOwner() && c.owner.epoch != epoch:
		// This owner has claimed again with other electors; its next call to each worker
		// carries the new epoch.
		c.owner.epoch = epoch
	case !c.lease.IsOwner() && c.owner != nil:
		c.stepDown()
	}
}

// takeOver builds the owner's state from the folded log. Workers are fenced and asked
// for reports at once; tasks start only when the lease permits the owner to act.
func (c *Core) takeOver(epoch uint64) {
	c.owner = newOwnerState(epoch, c.now, c.cfg.Baseline)
	c.owner.bootsAtTakeover = maps.Clone(c.workerBoots)
	c.nextHeartbeat = c.now // an owner sends heartbeats more often
	c.count("takeovers", "", 1)
	if c.text != nil {
		c.applyServiceText()
	}
	// The workers must be known before the elector query, which may find that all of
	// them have reported.
	c.syncWorkers()
	c.startElectorQuery()
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.durable && j.answer == nil {
			c.resumeJob(j)
		}
	}
	for _, e := range c.keys.Doubtful() {
		c.adoptIntent(e)
	}
	// Outcomes that this instance knew in an earlier epoch but could not log before it
	// lost the lease. The workers keep the results until they are logged.
	for _, o := range c.keys.Unlogged(epoch) {
		c.queueRecord(record.Entry{Outcome: &o}, false)
	}
	c.needsScheduling = true
}

// stepDown drops the owner's state. The instances that received the calls forward them
// again to the successor. Work that never started is answered as not run at once.
func (c *Core) stepDown() {
	o := c.owner
	c.owner = nil
	c.count("step_downs", "", 1)
	c.discardQueuedRecords()
	for _, p := range o.deferred {
		c.reply(p.origin(), notRun(p.forward.Job, model.CodeNoOwner, "the owner changed"))
	}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.answer != nil {
			continue
		}
		if !j.mayHaveStarted && !j.durable && !j.keyed {
			c.answerWaiters(j, notRun(id, model.CodeNoOwner, "the owner changed"))
		}
		j.waiters = nil
		if j.durable {
			j.clearOwnerState()
			continue
		}
		delete(c.jobs, id)
	}
}

// startElectorQuery asks the electors of the previous epoch for the intents that they
// hold in memory.
func (c *Core) startElectorQuery() {
	o := c.owner
	o.electors = c.lease.PreviousElectors()
	o.answeredElectors = make(map[model.Incarnation]bool)
	for _, in := range sortedIntents(c.heldIntents) {
		c.restoreHeldIntent(in)
	}
	if len(o.electors) == 0 && c.logStream.complete {
		o.ready = true
		return
	}
	o.answeredElectors[c.cfg.Self.Incarnation] = true
	c.queryElectors()
	c.checkOwnerReady()
}

func (c *Core) queryElectors() {
	o := c.owner
	o.nextElectorQuery = c.now.Add(forwardRetryInterval)
	for _, m := range o.electors {
		if !o.answeredElectors[m.Incarnation] {
			c.send(m, message.Body{HeldRequest: &message.HeldRequest{Epoch: o.epoch}})
		}
	}
}

// checkOwnerReady makes the owner ready for keyed work once a majority of the former
// electors has answered, or every worker has been fenced and has reported. If the log has
// a gap, the electors don't suffice: keys that ran before the gap are then known only to
// the workers.
func (c *Core) checkOwnerReady() {
	o := c.owner
	if o.ready {
		return
	}
	n := 0
	for _, m := range o.electors {
		if o.answeredElectors[m.Incarnation] {
			n++
		}
	}
	byElectors := c.logStream.complete && len(o.electors) > 0 && n >= ownership.Majority(len(o.electors))
	if !byElectors && !c.allWorkersReported() {
		return
	}
	if !byElectors && len(o.electors) > 0 && !c.workersKnowAllTasks() {
		c.extendKeysLost(c.wall.Add(c.cfg.Timing.KeyRetention))
		c.queueRecord(record.Entry{KeysLost: &record.KeysLost{Until: c.keysLostUntil}}, true)
		c.count("keys_lost", "", 1)
		c.change("owner", c.cfg.Self.Name, "", "intents may be lost: keys that are not known answer unknown")
	}
	o.ready = true
	c.change("owner", c.cfg.Self.Name, "settling", "settled")
	parked := o.deferred
	o.deferred = nil
	for _, p := range parked {
		c.admit(p.forward)
	}
	c.needsScheduling = true
}

// workersKnowAllTasks reports whether the workers still know every task of the former
// owner: the same workers as recorded at the takeover have reported, each with the same
// boot.
func (c *Core) workersKnowAllTasks() bool {
	o := c.owner
	if len(o.bootsAtTakeover) != len(o.workers) {
		return false
	}
	for name, w := range o.workers {
		if b, ok := o.bootsAtTakeover[name]; !ok || b != w.boot {
			return false
		}
	}
	return true
}

// onHeldReply restores the intents that an elector held while the log was unavailable.
func (c *Core) onHeldReply(from model.Member, r *message.HeldReply) {
	if c.owner == nil || r.Epoch != c.owner.epoch {
		return
	}
	for _, in := range r.Intents {
		c.restoreHeldIntent(in)
	}
	c.owner.answeredElectors[from.Incarnation] = true
	c.checkOwnerReady()
}

// restoreHeldIntent restores and logs an intent whose task may have been started while
// the log was unavailable.
func (c *Core) restoreHeldIntent(in record.Intent) {
	in.Late = true
	if c.keys.Restore(c.now, in) != "accepted" {
		return
	}
	c.queueRecord(record.Entry{Intent: &in}, true)
	c.adoptIntent(c.keys.Get(in.Job))
}
