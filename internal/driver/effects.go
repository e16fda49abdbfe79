package driver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/worker"
)

const (
	// appendQueueSize bounds the batches of one stream that wait to be sent.
	appendQueueSize = 1024
	// maxAppendsInFlight lets the next batches be sent before the previous one is
	// answered, so that one slow append does not delay a group commit.
	maxAppendsInFlight = 4
	// appendTimeout is the time after which an unanswered append counts as
	// ambiguous. Only the log read shows whether it was written; the timeout
	// just frees the slot.
	appendTimeout = 3 * time.Second
	// callTimeout bounds query and control calls, and the time that a watch may
	// take beyond its wait. Workers answer within milliseconds.
	callTimeout = time.Second
)

// perform starts one effect in a goroutine or queue of its target, or carries it
// out locally. It never blocks.
func (d *Driver) perform(ctx context.Context, e *core.Effect) {
	switch {
	case e.Append != nil:
		d.append(e.Append)
	case e.Send != nil:
		d.send(e.Send)
	case e.Watch != nil:
		d.spawn(func() { d.watch(ctx, e.Watch) })
	case e.Start != nil:
		d.spawn(func() { d.startTask(ctx, e.Start) })
	case e.Query != nil:
		d.spawn(func() { d.query(ctx, e.Query) })
	case e.Control != nil:
		d.control(ctx, e.Control)
	default:
		d.performLocal(e)
	}
}

// performLocal carries out the effects that stay inside the process.
func (d *Driver) performLocal(e *core.Effect) {
	switch {
	case e.Answer != nil:
		d.answers.deliver(e.Answer.Request, e.Answer.Answer)
	case e.Publish != nil:
		d.publishes.deliver(e.Publish.Request, *e.Publish)
	case e.Status != nil:
		d.statuses.deliver(e.Status.Request, e.Status.Report)
	case e.Count != nil:
		d.cfg.Sink.Count(*e.Count)
	case e.Observe != nil:
		d.cfg.Sink.Observe(*e.Observe)
	case e.Change != nil:
		d.cfg.Sink.Change(*e.Change)
	case e.Ready != nil:
		d.ready.Store(e.Ready)
	case e.Text != nil:
		// The reducer activates only texts that parse.
		parsed, err := d.cfg.Parse(e.Text.Text)
		if err == nil {
			d.text.Store(&ActiveText{ActiveText: *e.Text, Parsed: parsed})
		}
	case e.Exit != nil:
		select {
		case <-d.exited:
		default:
			close(d.exited)
		}
	}
}

// startAppender starts the goroutine that sends the batches of one stream.
// Batches are sent in order, but those in flight on different connections may
// arrive in another order, so the reducer must not rely on the order.
func (d *Driver) startAppender(ctx context.Context, stream string) {
	queue := make(chan core.Append, appendQueueSize)
	d.appenders[stream] = queue
	slots := make(chan struct{}, maxAppendsInFlight)
	d.spawn(func() {
		for {
			select {
			case a := <-queue:
				select {
				case slots <- struct{}{}:
				case <-ctx.Done():
					return
				}
				d.goroutines.Go(func() {
					ev := d.appendOne(ctx, a)
					<-slots
					d.enqueue(ev)
				})
			case <-ctx.Done():
				return
			}
		}
	})
}

func (d *Driver) append(a *core.Append) {
	select {
	case d.appenders[a.Stream] <- *a:
	default:
		d.localEvents = append(d.localEvents, core.Event{Appended: &core.Appended{Batch: a.Batch, Delivery: core.DeliveryNotSent}})
	}
}

func (d *Driver) appendOne(ctx context.Context, a core.Append) core.Event {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := d.cfg.Platform.Append(ctx, a.Stream, a.Payload)
	var refused *platform.RefusedError
	delivery := deliveryOf(err, errors.As(err, &refused))
	return core.Event{Appended: &core.Appended{Batch: a.Batch, Delivery: delivery}}
}

func deliveryOf(err error, notSent bool) core.Delivery {
	switch {
	case err == nil:
		return core.DeliveryOK
	case notSent:
		return core.DeliveryNotSent
	default:
		return core.DeliveryAmbiguous
	}
}

// notSentError is implemented by the errors of *peer.Transport that say that a
// message definitely had no effect.
type notSentError interface{ NotSent() bool }

func (d *Driver) send(s *core.Send) {
	sent := core.Sent{ID: s.ID, To: s.To.Incarnation}
	env := message.Envelope{From: d.cfg.Core.Self, ID: s.ID, Body: s.Body}
	err := d.cfg.Peers.Post(s.To, env, func(err error) {
		var ns notSentError
		sent.Delivery = deliveryOf(err, errors.As(err, &ns) && ns.NotSent())
		d.enqueue(core.Event{Sent: &sent})
	})
	if err != nil {
		sent.Delivery = core.DeliveryNotSent
		d.localEvents = append(d.localEvents, core.Event{Sent: &sent})
	}
}

func (d *Driver) watch(ctx context.Context, w *core.Watch) {
	ctx, cancel := context.WithTimeout(ctx, w.Request.Wait+callTimeout)
	defer cancel()
	ev := core.Watched{Worker: w.Worker, Epoch: w.Request.Epoch, SentAt: d.now()}
	report, err := d.cfg.Worker(w.Address).Watch(ctx, w.Request)
	if err == nil {
		ev.Report = &report
	}
	ev.StaleEpoch = staleEpoch(err)
	d.enqueue(core.Event{Watched: &ev})
}

// staleEpoch returns the higher epoch with which a worker rejected a call, or zero.
func staleEpoch(err error) uint64 {
	var stale *worker.StaleEpochError
	if errors.As(err, &stale) {
		return stale.Epoch
	}
	return 0
}

// startTask makes one start call. Waiting for a connection counts against the
// call's timeout, so that a late start is not sent at all.
func (d *Driver) startTask(ctx context.Context, s *core.Start) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Core.Timing.StartGrace)
	defer cancel()
	ev := core.Started{Worker: s.Worker, Task: s.Request.Spec.ID}
	if d.now() > s.SendBy {
		ev.Delivery = core.DeliveryNotSent
		d.enqueue(core.Event{Started: &ev})
		return
	}
	result, err := d.cfg.Worker(s.Address).Start(ctx, s.Request)
	ev.Delivery = workerDelivery(err)
	if err == nil {
		ev.Result = &result
	}
	d.enqueue(core.Event{Started: &ev})
}

// workerDelivery treats a call that was rejected for its stale epoch as not sent,
// since a rejected call has no effect.
func workerDelivery(err error) core.Delivery {
	var notSent *worker.NotSentError
	return deliveryOf(err, errors.As(err, &notSent) || staleEpoch(err) != 0)
}

func (d *Driver) query(ctx context.Context, q *core.Query) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ev := core.Queried{Worker: q.Worker, Task: q.Task}
	result, err := d.cfg.Worker(q.Address).Query(ctx, q.Epoch, q.Task)
	if err == nil {
		ev.Result = &result
	}
	ev.StaleEpoch = staleEpoch(err)
	d.enqueue(core.Event{Queried: &ev})
}

// control queues a control call behind earlier ones for the same worker, so that a
// later call never overtakes an earlier one.
func (d *Driver) control(ctx context.Context, c *core.Control) {
	queued, first := d.controls.push(c)
	if !queued {
		d.localEvents = append(d.localEvents, controlledEvent(c, core.DeliveryNotSent))
	}
	if first {
		d.spawn(func() { d.sendControls(ctx, c.Worker) })
	}
}

func (d *Driver) sendControls(ctx context.Context, name model.WorkerName) {
	for c := d.controls.next(name); c != nil; c = d.controls.next(name) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.cfg.Worker(c.Address).Control(callCtx, c.Request)
		cancel()
		d.enqueue(controlledEvent(c, workerDelivery(err)))
	}
}

func controlledEvent(c *core.Control, delivery core.Delivery) core.Event {
	return core.Event{Controlled: &core.Controlled{
		Worker: c.Worker, Action: c.Request.Action, Tasks: c.Request.Tasks, Delivery: delivery,
	}}
}
