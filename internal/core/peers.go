package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// send sends a message to a peer and returns the message id.
func (c *Core) send(to model.Member, b message.Body) string {
	id := c.nextID()
	c.emit(Effect{Send: &Send{To: to, ID: id, Body: b}})
	return id
}

// sendHeartbeats sends heartbeats to the peers that are due for one.
func (c *Core) sendHeartbeats() {
	localDue, remoteDue := c.now >= c.nextHeartbeat, c.now >= c.nextRemoteHeartbeat
	if !localDue && !remoteDue {
		return
	}
	if localDue {
		c.nextHeartbeat = c.now.Add(c.cfg.Timing.HeartbeatInterval)
		if !c.lease.IsOwner() {
			c.nextHeartbeat = c.now.Add(time.Duration(followerHeartbeatFactor * float64(c.cfg.Timing.HeartbeatInterval)))
		}
	}
	if remoteDue {
		c.nextRemoteHeartbeat = c.now.Add(c.jitter(c.cfg.Timing.RemoteHeartbeatInterval, 0.9, 1.1))
	}
	if localDue {
		hb := c.heartbeat()
		owner, known := c.lease.Owner()
		for _, m := range c.view.Targets() {
			if !known || m.Incarnation != owner.Incarnation {
				c.send(m, message.Body{Heartbeat: hb})
			}
		}
	}
	if !remoteDue {
		return
	}
	if m, ok := c.view.FarTarget(); ok {
		hb := c.heartbeat()
		hb.Load = c.load()
		c.send(m, message.Body{Heartbeat: hb})
	}
}

// followerHeartbeatFactor is multiplied by HeartbeatInterval to get the interval
// between heartbeats of instances that are not the owner. The product stays below
// SuspectTimeout. Heartbeats between the owner and other instances are more frequent.
const followerHeartbeatFactor = 2.5

func (c *Core) heartbeat() *message.Heartbeat {
	v, hash, _, _, _ := c.pub.Current()
	return &message.Heartbeat{
		Epoch: c.lease.KnownEpoch(), Owner: c.lease.IsOwner(), SentAt: c.now,
		TextVersion: v, TextHash: hash, Draining: c.draining,
	}
}

// load summarises the owner's state for other data centres. It returns nil if this
// instance is not acting as the owner.
func (c *Core) load() *message.Load {
	if !c.acting() {
		return nil
	}
	o := c.owner
	free := o.cache.Free()
	probe := (&job{submission: model.Submission{}, service: model.Service{Class: model.ClassInteractive}}).queueItem(0, c.now)
	return &message.Load{
		Workers: o.cache.WorkerCount(), FreeSlots: free.Slots,
		WaitMicros:   o.queue.PredictedWait(probe, c.now, free).Microseconds(),
		RunningTasks: len(o.tasks), WaitingTasks: o.queue.Len(),
	}
}

// onMessage handles a message from a peer.
func (c *Core) onMessage(env *message.Envelope) {
	from, b := env.From, env.Body
	if from.Incarnation == c.cfg.Self.Incarnation {
		return
	}
	c.view.Heard(c.now, from, b.Heartbeat != nil && b.Heartbeat.Draining)
	switch {
	case b.Heartbeat != nil:
		c.onHeartbeat(from, b.Heartbeat)
	case b.HeartbeatReply != nil:
		c.onHeartbeatReply(from, b.HeartbeatReply)
	case b.Forward != nil:
		c.onForward(b.Forward)
	case b.Reply != nil:
		c.onReply(b.Reply)
	case b.TextRequest != nil:
		c.onTextRequest(from, b.TextRequest)
	case b.TextReply != nil:
		c.onTextReply(b.TextReply)
	}
	if from.DataCentre == c.cfg.Self.DataCentre {
		c.onLocalMessage(from, b)
	}
}

// onLocalMessage handles messages that are exchanged only within one data centre.
func (c *Core) onLocalMessage(from model.Member, b message.Body) {
	c.leaseDirty = true
	switch {
	case b.ConsentRequest != nil:
		r := c.lease.OnConsentRequest(c.now, from, *b.ConsentRequest)
		c.send(from, message.Body{ConsentReply: &r})
	case b.ConsentReply != nil:
		c.lease.OnConsentReply(c.now, from, *b.ConsentReply)
	case b.Hold != nil:
		c.onHold(from, b.Hold)
	case b.HoldReply != nil:
		c.onHoldReply(from, b.HoldReply)
	case b.HeldRequest != nil:
		c.onHeldRequest(from, b.HeldRequest)
	case b.HeldReply != nil:
		c.onHeldReply(from, b.HeldReply)
	}
}

// onHeartbeat replies to a heartbeat. The reply includes a lease vote if the sender is
// the owner and this instance can keep the promise that the vote makes.
func (c *Core) onHeartbeat(from model.Member, hb *message.Heartbeat) {
	load := message.Load{}
	if hb.Load != nil {
		load = *hb.Load
	}
	c.view.SetLoad(from, load, hb.Owner, hb.Epoch)
	v, hash, _, _, _ := c.pub.Current()
	r := &message.HeartbeatReply{Epoch: c.lease.KnownEpoch(), SentAt: hb.SentAt, TextVersion: v, TextHash: hash}
	if from.DataCentre == c.cfg.Self.DataCentre {
		r.LeaseVote = c.lease.OnHeartbeat(c.now, from, *hb)
		r.Epoch = c.lease.KnownEpoch()
	}
	// The owner is left out if the sender is the owner and has the same epoch.
	if m, ok := c.lease.Owner(); ok && (m.Incarnation != from.Incarnation || r.Epoch != hb.Epoch) {
		r.Owner = &m
	}
	if from.DataCentre != c.cfg.Self.DataCentre {
		r.Load = c.load()
	}
	c.send(from, message.Body{HeartbeatReply: r})
	c.reconcileText(from, hb.TextVersion, hb.TextHash)
}

func (c *Core) onHeartbeatReply(from model.Member, r *message.HeartbeatReply) {
	if from.DataCentre == c.cfg.Self.DataCentre {
		c.lease.OnHeartbeatReply(c.now, from, *r)
	} else if r.Owner != nil {
		c.updateRemoteOwner(from, r)
	}
	c.reconcileText(from, r.TextVersion, r.TextHash)
}

// updateRemoteOwner updates the known owner of another data centre from the reply of
// any of its instances. The load is stored only if the reply comes from the owner
// itself.
func (c *Core) updateRemoteOwner(from model.Member, r *message.HeartbeatReply) {
	if r.Owner.Incarnation == from.Incarnation && r.Load != nil {
		c.view.SetLoad(from, *r.Load, true, r.Epoch)
		return
	}
	if m, _, ok := c.view.FarOwner(c.now, from.DataCentre); !ok || m.Incarnation != r.Owner.Incarnation {
		c.view.SetLoad(*r.Owner, message.Load{}, true, r.Epoch)
	}
}

// onSent handles the delivery result of a message. Only forwards depend on it; other
// messages are repeated by their own timers.
func (c *Core) onSent(ev *Sent) {
	if ev.Delivery != DeliveryOK {
		c.count("messages_undelivered", string(ev.Delivery), 1)
	}
	c.onForwardSent(ev)
}

// onVMList applies the platform's VM list.
func (c *Core) onVMList(ev *VMList) {
	c.vmListStale = false // if the platform is unavailable, the old list is used
	if ev.Failed {
		c.count("vm_list_failures", "", 1)
		return
	}
	c.vmsListed = true
	c.view.VMList(c.now, ev.VMs)
	if c.owner != nil {
		c.syncWorkers()
		c.checkOwnerReady()
	}
}
