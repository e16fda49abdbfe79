package core_test

import (
	"errors"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// Timeouts of the driver's calls.
const (
	callTimeout   = time.Second
	appendTimeout = 3 * time.Second
	watchPoll     = 50 * time.Millisecond // interval of the calls that replace the long poll
)

// append makes one append call.
func (in *instance) append(a *core.Append) {
	w := in.w
	ev := core.Event{Appended: &core.Appended{Batch: a.Batch, Delivery: core.DeliveryAmbiguous}}
	if w.faults.logUnavailable(in) {
		in.deliverAfter(w.uniform(10*time.Millisecond, appendTimeout), ev)
		return
	}
	w.after(w.latency(), func() {
		if w.chance(w.faults.appendDropped) {
			in.deliverAfter(w.uniform(10*time.Millisecond, appendTimeout), ev)
			return
		}
		_, err := w.log.Append(a.Stream, a.Payload)
		var refused *platform.RefusedError
		switch {
		case w.chance(w.faults.appendAnswerLost):
			in.deliverAfter(w.uniform(10*time.Millisecond, appendTimeout), ev)
			return
		case errors.As(err, &refused):
			ev.Appended.Delivery = core.DeliveryNotSent
		default:
			ev.Appended.Delivery = core.DeliveryOK
		}
		in.deliverAfter(w.latency(), ev)
	})
}

// readLog reads one stream once.
func (in *instance) readLog(stream string) {
	w := in.w
	ev := &core.LogRead{Stream: stream, StartedAt: in.now()}
	if w.faults.logUnavailable(in) {
		ev.Failed = true
		in.deliverAfter(w.uniform(10*time.Millisecond, callTimeout), core.Event{LogRead: ev})
		return
	}
	w.after(w.latency(), func() {
		r := w.log.Read(stream, in.nextOffsets[stream])
		ev.Result = &r
		w.after(w.latency(), func() {
			in.whenRunning(func() {
				in.nextOffsets[stream] = max(in.nextOffsets[stream], r.Next)
				in.step(core.Event{LogRead: ev})
			})
		})
	})
}

func (in *instance) readVMList() {
	vms := in.w.faults.listedVMs(in.w)
	in.deliverAfter(2*in.w.latency(), core.Event{VMList: &core.VMList{VMs: vms}})
}

// send sends one message.
func (in *instance) send(s *core.Send) {
	w := in.w
	sent := func(d core.Delivery) core.Event {
		return core.Event{Sent: &core.Sent{ID: s.ID, To: s.To.Incarnation, Delivery: d}}
	}
	switch w.faults.linkState(w, in.self.Address, s.To.Address) {
	case linkRefused:
		in.deliverAfter(w.latency(), sent(core.DeliveryNotSent))
		return
	case linkDropped:
		in.deliverAfter(callTimeout, sent(core.DeliveryAmbiguous))
		return
	}
	env := message.Envelope{From: in.self, ID: s.ID, Body: s.Body}
	arrive := func(d time.Duration) {
		w.after(d, func() {
			if to := w.instances[s.To.Address]; to != nil && !to.exited {
				to.deliver(core.Event{Message: &env})
			}
		})
	}
	to := w.instances[s.To.Address]
	switch {
	case to == nil || to.dead || to.exited:
		in.deliverAfter(w.latency(), sent(core.DeliveryNotSent))
	case w.chance(w.faults.messageLost):
		in.deliverAfter(callTimeout, sent(core.DeliveryAmbiguous))
	case w.chance(w.faults.messageDelayed):
		arrive(w.uniform(100*time.Millisecond, 3*time.Second))
		in.deliverAfter(callTimeout, sent(core.DeliveryAmbiguous))
	default:
		d := w.latency()
		arrive(d)
		if w.chance(w.faults.messageDelayed) {
			arrive(w.uniform(100*time.Millisecond, 3*time.Second)) // duplicate
		}
		in.deliverAfter(d+w.latency(), sent(core.DeliveryOK))
	}
}

// watch makes one watch call. Its long poll is simulated by repeated calls, of which
// only the first renews leases.
func (in *instance) watch(e *core.Watch) {
	w := in.w
	w.lastWatchers[in.self.DataCentre] = in
	req := e.Request
	ev := &core.Watched{Worker: e.Worker, Epoch: req.Epoch, SentAt: in.now()}
	fail := func() { in.deliverAfter(callTimeout, core.Event{Watched: ev}) }
	u := w.workers[e.Address]
	if u == nil || w.faults.workerUnreachable(in, e.Address) {
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
		if w.faults.workerUnreachable(in, e.Address) {
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
		in.deliverAfter(w.latency(), core.Event{Watched: ev})
	}
	w.after(w.latency(), poll)
}

// start makes one start call, unless the time limit for sending it has passed.
func (in *instance) start(e *core.Start) {
	w := in.w
	id := e.Request.Spec.ID
	ev := &core.Started{Worker: e.Worker, Task: id}
	if in.now() > e.SendBy {
		ev.Delivery = core.DeliveryNotSent
		in.deliverAfter(0, core.Event{Started: ev})
		return
	}
	u := w.workers[e.Address]
	if u == nil || w.faults.workerUnreachable(in, e.Address) {
		ev.Delivery = core.DeliveryAmbiguous
		in.deliverAfter(in.cfg.Timing.StartGrace, core.Event{Started: ev})
		return
	}
	d := w.latency()
	if w.chance(w.faults.startDelayed) {
		d = w.uniform(d, in.cfg.Timing.StartGrace)
	}
	w.after(d, func() {
		r, err := u.Start(ctx, e.Request)
		if err == nil && r.Refusal == nil {
			w.startedTasks[id] = startedTask{body: string(e.Request.Body), startedBy: in.self.Incarnation}
		}
		if w.chance(w.faults.startAnswerLost) {
			ev.Delivery = core.DeliveryAmbiguous
			in.deliverAfter(in.cfg.Timing.StartGrace, core.Event{Started: ev})
			return
		}
		ev.Delivery = workerDelivery(err)
		if err == nil {
			ev.Result = &r
		}
		in.deliverAfter(w.latency(), core.Event{Started: ev})
	})
}

func (in *instance) query(e *core.Query) {
	w := in.w
	ev := &core.Queried{Worker: e.Worker, Task: e.Task}
	u := w.workers[e.Address]
	if u == nil || w.faults.workerUnreachable(in, e.Address) {
		in.deliverAfter(callTimeout, core.Event{Queried: ev})
		return
	}
	w.after(w.latency(), func() {
		r, err := u.Query(ctx, e.Epoch, e.Task)
		if err == nil {
			ev.Result = &r
		}
		ev.StaleEpoch = staleEpoch(err)
		in.deliverAfter(w.latency(), core.Event{Queried: ev})
	})
}

func (in *instance) control(e *core.Control) {
	w := in.w
	ev := &core.Controlled{
		Worker: e.Worker, Action: e.Request.Action, Tasks: e.Request.Tasks, Delivery: core.DeliveryAmbiguous,
	}
	u := w.workers[e.Address]
	if u == nil || w.faults.workerUnreachable(in, e.Address) {
		in.deliverAfter(callTimeout, core.Event{Controlled: ev})
		return
	}
	// Control calls to one worker arrive in the order in which they were made.
	at := max(w.now()+w.latency(), in.controlArrivals[e.Address])
	in.controlArrivals[e.Address] = at
	w.after(at-w.now(), func() {
		ev.Delivery = workerDelivery(u.Control(ctx, e.Request))
		in.deliverAfter(w.latency(), core.Event{Controlled: ev})
	})
}

func staleEpoch(err error) uint64 {
	var stale *worker.StaleEpochError
	if errors.As(err, &stale) {
		return stale.Epoch
	}
	return 0
}

// workerDelivery maps the error of a worker call to a delivery, as the driver does.
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
