package standin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/worker"
)

var ctx = context.Background()

// fixture is one worker with two slots and its virtual clock.
type fixture struct {
	*Worker
	*VirtualClock
}

func newFixture(seed uint64, ledger *Ledger, clock *VirtualClock) fixture {
	return fixture{NewWorker(WorkerConfig{
		Name: model.WorkerName(fmt.Sprint("w", seed)), Capacity: model.Resources{MilliCPU: 2000, Slots: 2},
		UsageLag: 20 * time.Millisecond, Seed: seed, Ledger: ledger,
	}, clock.Now), clock}
}

func (f fixture) report(is *is.I, epoch uint64) model.Report {
	r, err := f.Watch(ctx, worker.WatchRequest{Epoch: epoch})
	is.NoErr(err)
	return r
}

// request returns a start that is accepted, with a lease of one second.
func (f fixture) request(is *is.I, id model.TaskID, body string) worker.StartRequest {
	r := f.report(is, 5)
	return worker.StartRequest{
		Epoch: 5, Boot: r.Boot, NotAfter: r.Clock + model.WorkerTime(time.Second), Lease: time.Second,
		Spec: model.TaskSpec{ID: id, Service: "proof", Resources: model.Resources{MilliCPU: 100}}, Body: []byte(body),
	}
}

func (f fixture) start(is *is.I, req worker.StartRequest) model.Code {
	r, err := f.Start(ctx, req)
	is.NoErr(err)
	if r.Refusal == nil {
		return model.CodeNone
	}
	return r.Refusal.Code
}

func (f fixture) status(is *is.I, id model.TaskID) model.TaskStatus {
	r, err := f.Query(ctx, 5, id)
	is.NoErr(err)
	return r.Status
}

func TestWorkerRefusals(t *testing.T) {
	// Guards against a worker that runs what it should refuse: stale owners,
	// late starts, and more work than it can hold.
	for _, tc := range []struct {
		name   string
		change func(f fixture, is *is.I, req *worker.StartRequest)
		want   model.Code
	}{
		{"accepted", func(fixture, *is.I, *worker.StartRequest) {}, model.CodeNone},
		{"higher epoch", func(_ fixture, _ *is.I, r *worker.StartRequest) { r.Epoch = 6 }, model.CodeNone},
		{"lower epoch", func(_ fixture, _ *is.I, r *worker.StartRequest) { r.Epoch = 4 }, model.CodeStaleEpoch},
		{"at not-after", func(f fixture, _ *is.I, _ *worker.StartRequest) { f.Advance(time.Second) }, model.CodeNone},
		{"after not-after", func(f fixture, _ *is.I, _ *worker.StartRequest) { f.Advance(time.Second + 1) }, model.CodeTooLate},
		{"no not-after", func(_ fixture, _ *is.I, r *worker.StartRequest) { r.NotAfter = 0 }, model.CodeTooLate},
		{"restarted", func(f fixture, _ *is.I, _ *worker.StartRequest) { f.Set(WorkerFaults{Restart: true}) }, model.CodeWorkerLost},
		{"leaving", func(f fixture, _ *is.I, _ *worker.StartRequest) { f.Set(WorkerFaults{Leaving: ptr(true)}) }, model.CodeLeaving},
		{"too little CPU", func(_ fixture, _ *is.I, r *worker.StartRequest) { r.Spec.Resources.MilliCPU = 2001 }, model.CodeNoCapacity},
		{"no slot", func(f fixture, is *is.I, _ *worker.StartRequest) {
			for _, id := range []model.TaskID{"a", "b"} {
				is.Equal(f.start(is, f.request(is, id, "")), model.CodeNone)
			}
		}, model.CodeNoCapacity},
		{"slot free again", func(f fixture, is *is.I, _ *worker.StartRequest) {
			for _, id := range []model.TaskID{"a", "b"} {
				is.Equal(f.start(is, f.request(is, id, "")), model.CodeNone)
			}
			f.Advance(defaultRun)
		}, model.CodeNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, nil, &VirtualClock{})
			req := f.request(is, "t", "")
			tc.change(f, is, &req)
			is.Equal(f.start(is, req), tc.want)
			want := map[bool]int{true: 1}[tc.want == model.CodeNone]
			is.Equal(f.Starts("t"), want)
			is.True(f.MaxUsed().Fits(f.cfg.Capacity))
			is.Equal(len(f.Violations()), 0)
		})
	}
}

func TestWorkerRuns(t *testing.T) {
	// Guards against tasks that end at the wrong time or with the wrong state,
	// which would make every scenario's ground truth wrong.
	control := func(actions ...worker.Action) func(fixture, *is.I) {
		return func(f fixture, is *is.I) {
			for _, a := range actions {
				f.Advance(100 * time.Millisecond)
				is.NoErr(f.Control(ctx, worker.ControlRequest{Epoch: 5, Tasks: []model.TaskID{"t", "other"}, Action: a}))
			}
		}
	}
	for _, tc := range []struct {
		name, body string
		maxRun     time.Duration
		class      model.Class
		do         func(fixture, *is.I) // nil: nothing
		state      model.TaskState
		ran        time.Duration
		result     string
		message    string
	}{
		{name: "plain body", body: "hello", state: model.TaskDone, ran: defaultRun, result: "hello"},
		{name: "other JSON", body: `{"x":1}`, state: model.TaskDone, ran: defaultRun, result: `{"x":1}`},
		{name: "result", body: `{"run_ms":300,"result":"r"}`, state: model.TaskDone, ran: 300 * time.Millisecond, result: "r"},
		{name: "fails", body: `{"run_ms":300,"fail":"bad"}`, state: model.TaskFailed, ran: 300 * time.Millisecond, message: "bad"},
		{name: "always random", body: `{"fail_rate":1}`, state: model.TaskFailed, ran: defaultRun, message: messageRandomFault},
		{name: "never random", body: `{"fail":"bad","fail_rate":0.0000001,"result":"r"}`, state: model.TaskDone, ran: defaultRun, result: "r"},
		{name: "run limit", body: `{"run_ms":300}`, maxRun: 50 * time.Millisecond, state: model.TaskStopped, ran: 50 * time.Millisecond, message: messageRunLimit},
		{name: "lease end", body: `{"run_ms":3000}`, state: model.TaskStopped, ran: time.Second, message: messageLeaseEnded},
		{name: "service", class: model.ClassService, state: model.TaskStopped, ran: time.Second, message: messageLeaseEnded},
		{name: "lease renewed", body: `{"run_ms":3000,"result":"r"}`, state: model.TaskDone, ran: 3 * time.Second, result: "r", do: func(f fixture, is *is.I) {
			f.Advance(900 * time.Millisecond)
			_, err := f.Watch(ctx, worker.WatchRequest{Epoch: 5, Lease: time.Minute})
			is.NoErr(err)
		}},
		{name: "stopped", body: `{"run_ms":300}`, do: control(worker.ActionStop), state: model.TaskStopped, ran: 100 * time.Millisecond, message: messageStopped},
		{name: "throttled", body: `{"run_ms":300,"result":"r"}`, do: control(worker.ActionThrottle), state: model.TaskDone, ran: 500 * time.Millisecond, result: "r"},
		{name: "unthrottled", body: `{"run_ms":300,"result":"r"}`, do: control(worker.ActionThrottle, worker.ActionUnthrottle), state: model.TaskDone, ran: 350 * time.Millisecond, result: "r"},
		{name: "forget while running", body: `{"run_ms":300,"result":"r"}`, do: control(worker.ActionForget), state: model.TaskDone, ran: 300 * time.Millisecond, result: "r"},
		{name: "lapse", body: `{"run_ms":300}`, do: func(f fixture, _ *is.I) { f.Set(WorkerFaults{Lapse: true}) }, state: model.TaskStopped, message: messageLeaseEnded},
		{name: "crash", body: `{"run_ms":300}`, do: func(f fixture, _ *is.I) {
			f.Set(WorkerFaults{Crash: true})
			f.Set(WorkerFaults{Restart: true})
		}, state: model.TaskNotKnown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, nil, &VirtualClock{})
			req := f.request(is, "t", tc.body)
			req.Spec.MaxRun, req.Spec.Class = tc.maxRun, tc.class
			is.Equal(f.start(is, req), model.CodeNone)
			if tc.do != nil {
				tc.do(f, is)
			}
			f.Advance(10 * time.Second)
			s := f.status(is, "t")
			is.Equal(s.State, tc.state)
			is.Equal(s.Ran, tc.ran)
			is.Equal(string(s.Result), tc.result)
			is.Equal(s.Message, tc.message)
			is.Equal(len(f.running), 0)
			run := f.Ledger.Runs()[0]
			if tc.state != model.TaskNotKnown {
				is.Equal(run.State, tc.state)
				is.Equal(run.End-run.Start, tc.ran)
			}
		})
	}
}

func TestWorkerRepeatedStart(t *testing.T) {
	// Guards against a second run of a task id, even when its result was
	// removed, its owner is stale or the start comes too late.
	is := is.New(t)
	f := newFixture(1, nil, &VirtualClock{})
	req := f.request(is, "t", "x")
	is.Equal(f.start(is, req), model.CodeNone)
	is.Equal(f.start(is, req), model.CodeNone)
	f.Advance(2 * time.Second)
	f.report(is, 9)
	is.Equal(f.start(is, req), model.CodeNone)
	is.NoErr(f.Control(ctx, worker.ControlRequest{Epoch: 9, Tasks: []model.TaskID{"t"}, Action: worker.ActionForget}))
	is.Equal(f.start(is, req), model.CodeNone)
	is.Equal(f.Starts("t"), 1)
	is.Equal(len(f.report(is, 9).Tasks), 0)
	q, err := f.Query(ctx, 9, "t")
	is.NoErr(err)
	is.Equal(q.Status.State, model.TaskDone) // "not_known" would say that it never ran
	is.Equal(q.Status.Message, messageForgotten)
}

func TestWorkerReports(t *testing.T) {
	// Guards against reports that miss changes, and calls of a stale owner
	// that are answered.
	is := is.New(t)
	f := newFixture(1, nil, &VirtualClock{})
	is.Equal(f.start(is, f.request(is, "a", `{"run_ms":100,"usage":{"milli_cpu":7}}`)), model.CodeNone)
	full := f.report(is, 5)
	is.True(full.Full)
	is.Equal(full.Usage, model.Resources{}) // lags
	is.Equal(f.start(is, f.request(is, "b", `{"run_ms":30}`)), model.CodeNone)
	f.Advance(20 * time.Millisecond)
	next := worker.WatchRequest{Epoch: 5, After: full.Seq, Boot: full.Boot}
	r, err := f.Watch(ctx, next)
	is.NoErr(err)
	is.Equal(r.Usage.MilliCPU, int64(107))
	is.True(!r.Full)
	is.Equal(len(r.Tasks), 1)
	is.Equal(r.Tasks[0].Spec.ID, model.TaskID("b"))
	next.After = r.Seq
	f.Advance(15 * time.Millisecond)
	r, err = f.Watch(ctx, next)
	is.NoErr(err)
	is.Equal(r.Tasks[0].State, model.TaskDone)
	f.Set(WorkerFaults{Restart: true})
	next.After = 1
	r, err = f.Watch(ctx, next)
	is.NoErr(err)
	is.True(r.Full && r.Boot != full.Boot)
	f.report(is, 8)
	_, watchErr := f.Watch(ctx, next)
	_, queryErr := f.Query(ctx, 5, "a")
	for _, err := range []error{watchErr, queryErr, f.Control(ctx, worker.ControlRequest{Epoch: 5})} {
		var stale *worker.StaleEpochError
		is.True(errors.As(err, &stale))
		is.Equal(stale.Epoch, uint64(8))
	}
}

func TestWorkerCheckpointAndRetention(t *testing.T) {
	// Guards against resumed tasks that start again from nothing, and results
	// that are kept forever or lost early.
	is := is.New(t)
	f := newFixture(1, nil, &VirtualClock{})
	is.Equal(f.start(is, f.request(is, "a", `{"run_ms":500}`)), model.CodeNone)
	f.Advance(200 * time.Millisecond)
	is.NoErr(f.Control(ctx, worker.ControlRequest{Epoch: 5, Tasks: []model.TaskID{"a"}, Action: worker.ActionCheckpoint}))
	a := f.status(is, "a")
	is.Equal(a.State, model.TaskStopped)
	is.Equal(string(a.Checkpoint), `{"done_ms":200}`)
	req := f.request(is, "b", `{"run_ms":500,"result":"r"}`)
	req.Resume = a.Checkpoint
	is.Equal(f.start(is, req), model.CodeNone)
	f.Advance(resultRetention + 100*time.Millisecond)
	is.Equal(f.status(is, "b").Ran, 300*time.Millisecond)
	is.Equal(string(f.status(is, "b").Result), "r")
	is.Equal(f.status(is, "a").Message, messageForgotten)
	f.Advance(time.Second)
	is.Equal(f.status(is, "b").Message, messageForgotten)
}

func TestWorkerFaults(t *testing.T) {
	// Guards against fault switches that change whether a start takes effect.
	for _, tc := range []struct {
		name            string
		faults          WorkerFaults
		starts          int
		notSent, failed bool
	}{
		{name: "answer lost", faults: WorkerFaults{CallFaults: CallFaults{LoseNext: ptr(1)}}, starts: 1, failed: true},
		{name: "outage", faults: WorkerFaults{CallFaults: CallFaults{Outage: ptr(true)}}, failed: true},
		{name: "crash", faults: WorkerFaults{Crash: true}, failed: true},
		{name: "unreachable", faults: WorkerFaults{Unreachable: ptr(true)}, failed: true, notSent: true},
		{name: "fails everything", faults: WorkerFaults{FailAll: ptr(true)}, starts: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, nil, &VirtualClock{})
			req := f.request(is, "t", "x")
			f.Set(tc.faults)
			_, err := f.Start(ctx, req)
			var notSent *worker.NotSentError
			var ambiguous *worker.UnavailableError
			is.Equal(errors.As(err, &notSent), tc.notSent)
			is.Equal(errors.As(err, &ambiguous), tc.failed && !tc.notSent)
			is.Equal(f.Starts("t"), tc.starts)
			if err == nil {
				f.Advance(time.Second)
				is.Equal(f.status(is, "t").State, model.TaskFailed)
			}
		})
	}
}

func TestLedgerViolations(t *testing.T) {
	// Guards against a ledger that misses a key that ran twice, or calls runs
	// in two places overlapping that followed each other.
	for _, tc := range []struct {
		name    string
		id, key string
		after   time.Duration
		want    []model.Code
	}{
		{"other key", "b", "k2", 0, nil},
		{"no key", "b", "", 0, nil},
		{"at the same time", "b", "k", 50 * time.Millisecond, []model.Code{ViolationKeyTwice, ViolationKeyOverlap}},
		{"one after the other", "b", "k", 100 * time.Millisecond, []model.Code{ViolationKeyTwice}},
		{"same task id", "a", "k2", time.Second, []model.Code{ViolationTaskTwice}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ledger, clock := &Ledger{}, &VirtualClock{}
			f, g := newFixture(1, ledger, clock), newFixture(2, ledger, clock)
			first, second := f.request(is, "a", `{"run_ms":100}`), g.request(is, model.TaskID(tc.id), "")
			first.Spec.Key, second.Spec.Key = "k", model.Key(tc.key)
			is.Equal(f.start(is, first), model.CodeNone)
			clock.Advance(tc.after)
			is.Equal(g.start(is, second), model.CodeNone)
			var kinds []model.Code
			for _, v := range ledger.Violations() {
				is.Equal(v.Worker, model.WorkerName("w2"))
				kinds = append(kinds, v.Kind)
			}
			is.Equal(kinds, tc.want)
		})
	}
}
