package driver

import (
	"context"
	"strconv"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Submit passes a caller's request to the reducer and waits for the answer. It
// sets the request ID and the wall clock. If the call queue is full, a submission
// without a key is answered not_run, since nothing was started, and one with a
// key is answered unknown. The error is an OverloadedError (queries and
// cancellations only), a CallerGoneError or a StoppedError; after the last two
// the outcome is not known.
func (d *Driver) Submit(ctx context.Context, call core.Call) (model.Answer, error) {
	call.Request = d.nextRequest()
	call.Wall = wallClock()
	answer, err := await(ctx, d, &d.answers, call.Request, core.Event{Call: &call})
	if _, overloaded := err.(*OverloadedError); overloaded {
		if call.Kind == message.ForwardRequest || call.Kind == message.ForwardJob {
			a := model.Answer{Outcome: model.OutcomeNotRun, Code: model.CodeOverloaded, Message: err.Error()}
			if call.Submission.Key != "" {
				a.Outcome = model.OutcomeUnknown // an earlier attempt with the key may have run
			}
			return a, nil
		}
	}
	return answer, err
}

// Publish parses a service text and passes it to the reducer. A repeated ID is
// treated as a retry. The errors are those of Submit and TextInvalidError.
func (d *Driver) Publish(ctx context.Context, id string, base uint64, text []byte) (core.PublishAnswer, error) {
	parsed, err := d.cfg.Parse(text)
	if err != nil {
		return core.PublishAnswer{}, &TextInvalidError{Cause: err}
	}
	p := core.Publish{Request: d.nextRequest(), ID: id, Base: base, Text: text, Parsed: parsed}
	return await(ctx, d, &d.publishes, p.Request, core.Event{Publish: &p})
}

// Status returns the status report for operators. The errors are those of Submit.
func (d *Driver) Status(ctx context.Context) (core.StatusReport, error) {
	s := core.Status{Request: d.nextRequest()}
	return await(ctx, d, &d.statuses, s.Request, core.Event{Status: &s})
}

// Text returns the current service text, or nil before the first one.
func (d *Driver) Text() *ActiveText { return d.text.Load() }

// Ready reports whether the instance accepts new work, and the reason if it does not.
func (d *Driver) Ready() (bool, model.Code) {
	r := d.ready.Load()
	return r.Ready, r.Reason
}

// Drain asks the reducer to hand over its work and exit. Exited reports the end
// of the drain.
func (d *Driver) Drain() { d.enqueue(core.Event{Drain: &core.Drain{}}) }

// Exited returns a channel that is closed once the instance has drained.
func (d *Driver) Exited() <-chan struct{} { return d.exited }

// QueueLengths holds the lengths of the driver's queues.
type QueueLengths struct {
	Events       int // results, log reads and messages
	Calls        int // callers' requests that the reducer has not received yet
	OpenRequests int // requests without an answer
}

// QueueLengths returns the length of the driver's queues.
func (d *Driver) QueueLengths() QueueLengths {
	return QueueLengths{Events: len(d.events), Calls: len(d.calls), OpenRequests: d.answers.len()}
}

// nextRequest returns a request ID that is unique across instances and restarts.
func (d *Driver) nextRequest() model.RequestID {
	n := d.lastRequest.Add(1)
	return model.RequestID(string(d.cfg.Core.Self.Incarnation) + "-" + strconv.FormatUint(n, 36))
}

// await queues a call and waits for its answer. If the caller's context ends
// first, it queues a CallerGone event for the reducer.
func await[T any](ctx context.Context, d *Driver, w *waiters[T], id model.RequestID, ev core.Event) (T, error) {
	var zero T
	ch := w.add(id)
	defer w.remove(id)
	select {
	case d.calls <- ev:
	default:
		return zero, &OverloadedError{}
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		// The call may still be queued. CallerGone goes through the same queue,
		// so that it can't overtake the call.
		go d.enqueueCallerGone(id)
		return zero, &CallerGoneError{Cause: ctx.Err()}
	case <-d.stopped:
		return zero, &StoppedError{}
	}
}

func (d *Driver) enqueueCallerGone(id model.RequestID) {
	select {
	case d.calls <- core.Event{CallerGone: &core.CallerGone{Request: id}}:
	case <-d.stopped:
	}
}
