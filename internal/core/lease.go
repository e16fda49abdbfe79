package core

import (
	"maps"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/ownership"
	"github.com/gentianpick/gentianpick/internal/record"
)

// stepLease carries out what the ownership protocol asks for.
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
			c.appendAlone(record.Entry{Claim: a.Claim})
		case a.Release != nil:
			c.appendAlone(record.Entry{Release: a.Release})
		case a.Change != nil:
			c.change("lease phase", c.cfg.Self.Name, string(a.Change.From), string(a.Change.To))
		}
	}
	c.syncOwner()
}

// appendAlone appends one record in a batch of its own. Its repetition is the
// ownership protocol's business, so it carries no sequence number.
func (c *Core) appendAlone(e record.Entry) {
	b := record.Batch{ID: c.nextID(), Writer: c.cfg.Self.Incarnation, Entries: []record.Entry{e}}
	payload, err := record.Encode(b)
	if err != nil {
		c.count("encode_errors", "", 1)
		return
	}
	c.count("appends", "", 1)
	c.emit(Effect{Append: &Append{Stream: c.streamName(), Batch: b.ID, Payload: payload}})
}

// syncOwner makes or drops the owner's state when the log says that this
// instance took or lost the lease.
func (c *Core) syncOwner() {
	epoch := c.lease.Epoch()
	switch {
	case c.lease.IsOwner() && c.own == nil:
		c.takeOver(epoch)
	case c.lease.IsOwner() && c.own.epoch != epoch:
		// Claimed again with other electors; the next call to each worker
		// carries the new epoch.
		c.own.epoch = epoch
	case !c.lease.IsOwner() && c.own != nil:
		c.stepDown()
	}
}

// takeOver builds the owner's state from the folded log. Tasks start only
// after the wait; workers are fenced and asked for reports at once.
func (c *Core) takeOver(epoch uint64) {
	c.own = newOwner(epoch, c.now, c.cfg.Baseline)
	c.own.boots = maps.Clone(c.boots)
	c.nextBeat = c.now // an owner beats more often
	c.count("takeovers", "", 1)
	if c.text != nil {
		c.applyText()
	}
	// The workers must be known before the consult: it may find that all of
	// them have reported.
	c.syncWorkers()
	c.startConsult()
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.durable && j.answer == nil {
			c.resumeJob(j)
		}
	}
	for _, e := range c.keys.Doubtful() {
		c.adoptIntent(e)
	}
	// Outcomes that an earlier epoch of this instance could not log any more.
	// Workers keep the results until the log has them.
	for _, o := range c.keys.Unlogged(epoch) {
		c.append(record.Entry{Outcome: &o}, false)
	}
	c.dirty = true
}

// stepDown drops the owner's state. Callers' instances forward again to the
// successor; work that never started is handed back at once.
func (c *Core) stepDown() {
	o := c.own
	c.own = nil
	c.count("step_downs", "", 1)
	c.dropCommits()
	for _, p := range o.parked {
		c.reply(p.origin(), notRun(p.f.Job, model.CodeNoOwner, "the owner changed"))
	}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.answer != nil {
			continue
		}
		if !j.everStarted && !j.durable && !j.keyed {
			c.answerWaiters(j, notRun(id, model.CodeNoOwner, "the owner changed"))
		}
		j.waiters = nil
		if j.durable {
			j.reset()
			continue
		}
		delete(c.jobs, id)
	}
}

// startConsult asks the electors of the epoch before for the intents that
// they hold in memory.
func (c *Core) startConsult() {
	o := c.own
	o.electors = c.lease.PreviousElectors()
	o.consulted = make(map[model.Incarnation]bool)
	for _, in := range sortedHeld(c.held) {
		c.restoreHeld(in)
	}
	if len(o.electors) == 0 && c.stream.complete {
		o.settled = true
		return
	}
	o.consulted[c.cfg.Self.Incarnation] = true
	c.consult()
	c.checkSettled()
}

func (c *Core) consult() {
	o := c.own
	o.nextConsult = c.now.Add(forwardRepeat)
	for _, m := range o.electors {
		if !o.consulted[m.Incarnation] {
			c.send(m, message.Body{HeldRequest: &message.HeldRequest{Epoch: o.epoch}})
		}
	}
}

// checkSettled ends the settling: a majority of the former electors has
// answered, or every worker has been fenced and has reported. A gap in the
// log can't be filled by the first; keys that ran before it are then known
// only to the workers.
func (c *Core) checkSettled() {
	o := c.own
	if o.settled {
		return
	}
	n := 0
	for _, m := range o.electors {
		if o.consulted[m.Incarnation] {
			n++
		}
	}
	byElectors := c.stream.complete && len(o.electors) > 0 && n >= ownership.Majority(len(o.electors))
	if !byElectors && !c.allWorkersReported() {
		return
	}
	if !byElectors && len(o.electors) > 0 && !c.workersRemember() {
		c.loseKeys(c.wall.Add(c.cfg.Timing.KeyLife))
		c.append(record.Entry{KeysLost: &record.KeysLost{Until: c.lostUntil}}, true)
		c.count("keys_lost", "", 1)
		c.change("owner", c.cfg.Self.Name, "", "intents may be lost: keys that are not known answer unknown")
	}
	o.settled = true
	c.change("owner", c.cfg.Self.Name, "settling", "settled")
	parked := o.parked
	o.parked = nil
	for _, p := range parked {
		c.admit(p.f)
	}
	c.dirty = true
}

// workersRemember reports whether the workers know every task of the former
// owner: each one that was recorded reports with the same boot, and there is no
// other.
func (c *Core) workersRemember() bool {
	o := c.own
	if len(o.boots) != len(o.workers) {
		return false
	}
	for name, w := range o.workers {
		if b, ok := o.boots[name]; !ok || b != w.boot {
			return false
		}
	}
	return true
}

// onHeldReply takes over intents that an elector held while the log was out.
func (c *Core) onHeldReply(from model.Member, r *message.HeldReply) {
	if c.own == nil || r.Epoch != c.own.epoch {
		return
	}
	for _, in := range r.Intents {
		c.restoreHeld(in)
	}
	c.own.consulted[from.Incarnation] = true
	c.checkSettled()
}

// restoreHeld makes an intent that may have been started without the log
// known, and appends it.
func (c *Core) restoreHeld(in record.Intent) {
	in.Late = true
	if c.keys.Restore(c.now, in) != "accepted" {
		return
	}
	c.append(record.Entry{Intent: &in}, true)
	c.adoptIntent(c.keys.Get(in.Job))
}
