package driver

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/peer"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// errTimeout is the error of a call that timed out, so that its outcome is unknown.
var errTimeout = &worker.UnavailableError{Op: "call", Cause: context.DeadlineExceeded}

// fake is a worker, a platform and a transport with fixed results.
type fake struct {
	err         error
	start       worker.StartResult
	reads       []platform.ReadResult // one for each read; zero Next: the read fails
	readOffsets []uint64
	control     func(worker.ControlRequest)
}

func (f *fake) Watch(context.Context, worker.WatchRequest) (model.Report, error) {
	return model.Report{Seq: 7}, f.err
}

func (f *fake) Start(context.Context, worker.StartRequest) (worker.StartResult, error) {
	return f.start, f.err
}

func (f *fake) Query(context.Context, uint64, model.TaskID) (worker.QueryResult, error) {
	return worker.QueryResult{Boot: "b"}, f.err
}

func (f *fake) Control(_ context.Context, req worker.ControlRequest) error {
	if f.control != nil {
		f.control(req)
	}
	return f.err
}

func (f *fake) Append(context.Context, string, []byte) (uint64, error) { return 1, f.err }

func (f *fake) Read(ctx context.Context, _ string, from uint64, _ time.Duration) (platform.ReadResult, error) {
	f.readOffsets = append(f.readOffsets, from)
	if len(f.reads) == 0 {
		<-ctx.Done()
		return platform.ReadResult{}, ctx.Err()
	}
	r := f.reads[0]
	f.reads = f.reads[1:]
	if r.Next == 0 {
		return r, errTimeout
	}
	return r, nil
}

func (f *fake) VMs(context.Context) ([]model.VM, error) { return nil, f.err }

func (f *fake) Post(_ model.Member, _ message.Envelope, done func(error)) error {
	if f.err != nil {
		return f.err
	}
	go done(f.err)
	return nil
}

func newDriver(t *testing.T, f *fake, file *bytes.Buffer) *Driver {
	t.Helper()
	cfg := Config{
		Core:     core.Config{Self: model.Member{Incarnation: "i", DataCentre: "tartu"}, Timing: core.DefaultTiming(), Limits: core.DefaultLimits()},
		Parse:    servicetext.Parse,
		Platform: f,
		Worker:   func(string) worker.Worker { return f },
		Peers:    f,
	}
	if file != nil {
		cfg.EventFile = file
	}
	d, err := New(cfg)
	is.New(t).NoErr(err)
	return d
}

// Guards against a delivery result that is more certain than the adapter's error:
// a wrong not_sent would lead to a wrong not_run answer.
func TestDeliveryMatchesAdapterError(t *testing.T) {
	refusal := worker.StartResult{Refusal: &worker.Refusal{Code: model.CodeTooLate}}
	start := core.Effect{Start: &core.Start{SendBy: model.Never, Request: worker.StartRequest{Spec: model.TaskSpec{ID: "t"}}}}
	control := core.Effect{Control: &core.Control{Request: worker.ControlRequest{Action: worker.ActionStop}}}
	send := core.Effect{Send: &core.Send{ID: "m", To: model.Member{Incarnation: "j"}}}
	add := core.Effect{Append: &core.Append{Stream: "config", Batch: "b"}}
	for _, tc := range []struct {
		name   string
		effect core.Effect
		err    error
		start  worker.StartResult
		want   core.Delivery
	}{
		{"started", start, nil, worker.StartResult{}, core.DeliveryOK},
		{"start refused", start, nil, refusal, core.DeliveryOK},
		{"start not sent", start, &worker.NotSentError{Cause: errTimeout}, refusal, core.DeliveryNotSent},
		{"start ambiguous", start, errTimeout, refusal, core.DeliveryAmbiguous},
		{"control ambiguous", control, errTimeout, refusal, core.DeliveryAmbiguous},
		{"control with a stale epoch", control, &worker.StaleEpochError{Epoch: 3}, refusal, core.DeliveryNotSent},
		{"sent", send, nil, refusal, core.DeliveryOK},
		{"peer queue full", send, &peer.NotSentError{Cause: errTimeout}, refusal, core.DeliveryNotSent},
		{"appended", add, nil, refusal, core.DeliveryOK},
		{"append refused", add, &platform.RefusedError{}, refusal, core.DeliveryNotSent},
		{"append ambiguous", add, &platform.UnavailableError{Cause: errTimeout}, refusal, core.DeliveryAmbiguous},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(t, &fake{err: tc.err, start: tc.start}, nil)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d.startAppender(ctx, "config")
			d.perform(ctx, &tc.effect)
			var ev core.Event
			if len(d.localEvents) > 0 {
				ev = d.localEvents[0]
			} else {
				ev = <-d.events
			}
			switch {
			case ev.Started != nil:
				is.Equal(ev.Started.Delivery, tc.want)
				is.Equal(ev.Started.Result != nil, tc.err == nil)
				is.Equal(ev.Started.Task, model.TaskID("t"))
			case ev.Controlled != nil:
				is.Equal(ev.Controlled.Delivery, tc.want)
			case ev.Sent != nil:
				is.Equal(*ev.Sent, core.Sent{ID: "m", To: "j", Delivery: tc.want})
			default:
				is.Equal(*ev.Appended, core.Appended{Batch: "b", Delivery: tc.want})
			}
		})
	}
}

// Guards against dropping the higher epoch with which a worker rejects a call: the
// owner would not step down.
func TestStaleEpochReachesReducer(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, &fake{err: &worker.StaleEpochError{Epoch: 9}}, nil)
	d.perform(context.Background(), &core.Effect{Watch: &core.Watch{Request: worker.WatchRequest{Epoch: 2}}})
	watched := (<-d.events).Watched
	is.Equal([]uint64{watched.Epoch, watched.StaleEpoch}, []uint64{2, 9})
	is.True(watched.Report == nil)
	d.perform(context.Background(), &core.Effect{Query: &core.Query{Task: "t"}})
	queried := (<-d.events).Queried
	is.Equal(queried.StaleEpoch, uint64(9))
	is.True(queried.Result == nil)
}

// Guards against a control call that overtakes an earlier one for the same worker,
// and against an unbounded queue for a worker that does not answer.
func TestControlsOrderedAndBounded(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	f := &fake{control: func(worker.ControlRequest) { <-gate }}
	d := newDriver(t, f, nil)
	for i := range controlQueueSize + 10 {
		d.perform(context.Background(), &core.Effect{Control: &core.Control{
			Worker: "w", Request: worker.ControlRequest{Tasks: []model.TaskID{model.NewTaskID("j", i, 0)}},
		}})
	}
	is.True(len(d.localEvents) >= 9)
	is.Equal(d.localEvents[0].Controlled.Delivery, core.DeliveryNotSent)
	refused := map[model.TaskID]bool{}
	for _, e := range d.localEvents {
		refused[e.Controlled.Tasks[0]] = true
	}
	close(gate)
	for i := range controlQueueSize + 10 {
		if id := model.NewTaskID("j", i, 0); !refused[id] {
			is.Equal((<-d.events).Controlled.Tasks[0], id)
		}
	}
}

// Guards against records that are skipped or read twice after a failed read, and
// against a failed read that is not reported to the reducer.
func TestReadLogResumesAfterFailure(t *testing.T) {
	is := is.New(t)
	f := &fake{reads: []platform.ReadResult{{Next: 5, Tail: 9}, {}, {Next: 9, Tail: 9}}}
	d := newDriver(t, f, nil)
	ctx, cancel := context.WithCancel(context.Background())
	d.spawn(func() { d.readLog(ctx, "dc/tartu") })
	var last model.Time
	for _, next := range []uint64{5, 0, 9} {
		read := (<-d.events).LogRead
		is.Equal(read.Failed, next == 0)
		is.Equal(read.Result == nil, next == 0)
		is.True(read.StartedAt >= last)
		last = read.StartedAt
	}
	cancel()
	close(d.stopped)
	d.goroutines.Wait()
	is.Equal(f.readOffsets[:3], []uint64{0, 5, 5})
}

// Guards against a not_run answer to a query when the call queue is full, and
// against a call that is queued although it was answered with not_run.
func TestSubmitWithFullCallQueue(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, &fake{}, nil)
	for range callQueueSize {
		d.calls <- core.Event{}
	}
	for _, kind := range []message.ForwardKind{message.ForwardRequest, message.ForwardJob, message.ForwardQuery, message.ForwardCancel} {
		a, err := d.Submit(context.Background(), core.Call{Kind: kind})
		if kind == message.ForwardRequest || kind == message.ForwardJob {
			is.NoErr(err)
			is.Equal(a.Outcome, model.OutcomeNotRun)
			is.Equal(a.Code, model.CodeOverloaded)
			continue
		}
		var full *OverloadedError
		is.True(errors.As(err, &full))
		is.Equal(a.Outcome, model.Outcome(""))
	}
	is.Equal(len(d.calls), callQueueSize)
	is.Equal(d.QueueLengths().OpenRequests, 0)
}

// Guards against a CallerGone event that overtakes its call, and against a fault
// when an answer arrives after its caller has gone. Also checks that an invalid
// text is rejected.
func TestCallerGoneAndInvalidText(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, &fake{}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := d.Submit(ctx, core.Call{Kind: message.ForwardRequest})
	var gone *CallerGoneError
	is.True(errors.As(err, &gone))
	call, end := <-d.calls, <-d.calls
	is.Equal(call.Call.Request, end.CallerGone.Request)
	d.performLocal(&core.Effect{Answer: &core.Answer{Request: call.Call.Request}})
	_, err = d.Publish(context.Background(), "id", 0, []byte("{"))
	var invalid *TextInvalidError
	is.True(errors.As(err, &invalid))
}

// Guards against a replay that accepts an altered or truncated event file.
func TestReplayDetectsAlteredFile(t *testing.T) {
	is := is.New(t)
	var file bytes.Buffer
	d := newDriver(t, &fake{}, &file)
	ctx := context.Background()
	d.step(ctx, tickEvent())
	d.step(ctx, core.Event{LogRead: &core.LogRead{Stream: "config", StartedAt: 1, Result: &platform.ReadResult{Next: 1, Tail: 1}}})
	d.step(ctx, core.Event{VMList: &core.VMList{VMs: []model.VM{{Name: "v", Kind: model.VMEntry}}}})
	is.NoErr(d.rec.close())
	n, err := Replay(bytes.NewReader(file.Bytes()), servicetext.Parse)
	is.NoErr(err)
	is.Equal(n, 3)

	lines := strings.SplitAfter(file.String(), "\n")
	altered := strings.Join(lines[:3], "") + `{"now":1,"event":{},"hash":"0000000000000000"}`
	_, err = Replay(strings.NewReader(altered), servicetext.Parse)
	var differs *ReplayError
	is.True(errors.As(err, &differs))
	is.Equal(differs.Line, 4)
	_, err = Replay(strings.NewReader(file.String()[:file.Len()-9]), servicetext.Parse)
	var fileErr *EventFileError
	is.True(errors.As(err, &fileErr))
}
