package core_test

import (
	"errors"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// Time limits of the driver's calls.
const (
	callTimeout   = time.Second
	appendTimeout = 3 * time.Second
	watchPoll     = 50 * time.Millisecond // stands for the long poll
)

// append makes one append call.
func (in *instance) append(a *core.Append) {
	w := in.w
	ev := core.Event{Appended: &core.Appended{Batch: a.Batch, Delivery: core.DeliveryAmbiguous}}
	if w.faults.logOut(in) {
		in.later(w.between(10*time.Millisecond, appendTimeout), ev)
		return
	}
	w.after(w.latency(), func() {
		if w.chance(w.faults.appendUnsent) {
			in.later(w.between(10*time.Millisecond, appendTimeout), ev)
			return
		}
		_, err := w.log.Append(a.Stream, a.Payload)
		var refused *platform.RefusedError
		switch {
		case w.chance(w.faults.appendLost):
			in.later(w.between(10*time.Millisecond, appendTimeout), ev)
			return
		case errors.As(err, &refused):
			ev.Appended.Delivery = core.DeliveryNotSent
		default:
			ev.Appended.Delivery = core.DeliveryOK
		}
		in.later(w.latency(), ev)
	})
}

// readLog reads one stream once.
func (in *instance) readLog(stream string) {
	w := in.w
	ev := &core.LogRead{Stream: stream, StartedAt: in.now()}
	if w.faults.logOut(in) {
		ev.Failed = true
		in.later(w.between(10*time.Millisecond, callTimeout), core.Event{LogRead: ev})
		return
	}
	w.after(w.latency(), func() {
		r := w.log.Read(stream, in.reads[stream])
		ev.Result = &r
		w.after(w.latency(), func() {
			in.awake(func() {
				in.reads[stream] = max(in.reads[stream], r.Next)
				in.step(core.Event{LogRead: ev})
			})
		})
	})
}

func (in *instance) readList() {
	vms := in.w.faults.listed(in.w)
	in.later(2*in.w.latency(), core.Event{VMList: &core.VMList{VMs: vms}})
}

// send sends one message.
func (in *instance) send(s *core.Send) {
	w := in.w
	sent := func(d core.Delivery) core.Event {
		return core.Event{Sent: &core.Sent{ID: s.ID, To: s.To.Incarnation, Delivery: d}}
	}
	switch w.faults.link(w, in.self.Address, s.To.Address) {
	case linkRefused:
		in.later(w.latency(), sent(core.DeliveryNotSent))
		return
	case linkSilent:
		in.later(callTimeout, sent(core.DeliveryAmbiguous))
		return
	}
	env := message.Envelope{From: in.self, ID: s.ID, Body: s.Body}
	arrive := func(d time.Duration) {
		w.after(d, func() {
			if to := w.insts[s.To.Address]; to != nil && !to.exited {
				to.deliver(core.Event{Message: &env})
			}
		})
	}
	to := w.insts[s.To.Address]
	switch {
	case to == nil || to.dead || to.exited:
		in.later(w.latency(), sent(core.DeliveryNotSent))
	case w.chance(w.faults.messageLost):
		in.later(callTimeout, sent(core.DeliveryAmbiguous))
	case w.chance(w.faults.messageLate):
		arrive(w.between(100*time.Millisecond, 3*time.Second))
		in.later(callTimeout, sent(core.DeliveryAmbiguous))
	default:
		d := w.latency()
		arrive(d)
		if w.chance(w.faults.messageLate) {
			arrive(w.between(100*time.Millisecond, 3*time.Second)) // the copy
		}
		in.later(d+w.latency(), sent(core.DeliveryOK))
	}
}

// watch makes one watch call. The long poll becomes repeated calls, of which
// only the first renews leases.
func (in *instance) watch(e *core.Watch) {
	w := in.w
	w.watchers[in.self.DataCentre] = in
	req := e.Request
	ev := &core.Watched{Worker: e.Worker, Epoch: req.Epoch, SentAt: in.now()}
	fail := func() { in.later(callTimeout, core.Event{Watched: ev}) }
	u := w.workers[e.Address]
	if u == nil || w.faults.workerCut(in, e.Address) {
		fail()
		return
	}
	end := w.now() + req.Wait
	req.Wait = 0
	var poll func()
	poll = func() {
		if in.dead {
			return
		}
		if w.faults.workerCut(in, e.Address) {
			fail()
			return
		}
		r, err := u.Watch(ctx, req)
		req.Lease = 0
		switch {
		case err == nil && !r.Full && r.Seq <= req.After && w.now() < end:
			w.after(watchPoll, poll)
			return
		case err == nil:
			ev.Report = &r
		default:
			ev.StaleEpoch = staleEpoch(err)
		}
		in.later(w.latency(), core.Event{Watched: ev})
	}
	w.after(w.latency(), poll)
}

// start makes one start call, unless it is too late to send it.
func (in *instance) start(e *core.Start) {
	w := in.w
	id := e.Request.Spec.ID
	ev := &core.Started{Worker: e.Worker, Task: id}
	if in.now() > e.SendBy {
		ev.Delivery = core.DeliveryNotSent
		in.later(0, core.Event{Started: ev})
		return
	}
	u := w.workers[e.Address]
	if u == nil || w.faults.workerCut(in, e.Address) {
		ev.Delivery = core.DeliveryAmbiguous
		in.later(in.cfg.Timing.StartGrace, core.Event{Started: ev})
		return
	}
	d := w.latency()
	if w.chance(w.faults.startLate) {
		d = w.between(d, in.cfg.Timing.StartGrace)
	}
	w.after(d, func() {
		r, err := u.Start(ctx, e.Request)
		if err == nil && r.Refusal == nil {
			w.runs[id] = started{body: string(e.Request.Body), by: in.self.Incarnation}
		}
		if w.chance(w.faults.startLost) {
			ev.Delivery = core.DeliveryAmbiguous
			in.later(in.cfg.Timing.StartGrace, core.Event{Started: ev})
			return
		}
		ev.Delivery = workerDelivery(err)
		if err == nil {
			ev.Result = &r
		}
		in.later(w.latency(), core.Event{Started: ev})
	})
}

func (in *instance) query(e *core.Query) {
	w := in.w
	ev := &core.Queried{Worker: e.Worker, Task: e.Task}
	u := w.workers[e.Address]
	if u == nil || w.faults.workerCut(in, e.Address) {
		in.later(callTimeout, core.Event{Queried: ev})
		return
	}
	w.after(w.latency(), func() {
		r, err := u.Query(ctx, e.Epoch, e.Task)
		if err == nil {
			ev.Result = &r
		}
		ev.StaleEpoch = staleEpoch(err)
		in.later(w.latency(), core.Event{Queried: ev})
	})
}

func (in *instance) control(e *core.Control) {
	w := in.w
	ev := &core.Controlled{
		Worker: e.Worker, Action: e.Request.Action, Tasks: e.Request.Tasks, Delivery: core.DeliveryAmbiguous,
	}
	u := w.workers[e.Address]
	if u == nil || w.faults.workerCut(in, e.Address) {
		in.later(callTimeout, core.Event{Controlled: ev})
		return
	}
	// Control calls to one worker don't overtake each other.
	at := max(w.now()+w.latency(), in.controls[e.Address])
	in.controls[e.Address] = at
	w.after(at-w.now(), func() {
		ev.Delivery = workerDelivery(u.Control(ctx, e.Request))
		in.later(w.latency(), core.Event{Controlled: ev})
	})
}

func staleEpoch(err error) uint64 {
	var stale *worker.StaleEpochError
	if errors.As(err, &stale) {
		return stale.Epoch
	}
	return 0
}

// workerDelivery says what an error of a worker call means, as the driver does.
func workerDelivery(err error) core.Delivery {
	var notSent *worker.NotSentError
	switch {
	case err == nil:
		return core.DeliveryOK
	case errors.As(err, &notSent) || staleEpoch(err) != 0:
		return core.DeliveryNotSent
	}
	return core.DeliveryAmbiguous
}
