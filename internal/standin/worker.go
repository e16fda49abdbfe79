package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// resultRetention is how long a worker keeps a finished task's result if
// nobody takes it over: far longer than a takeover or an outage of minutes.
const resultRetention = 10 * time.Minute

// maxClockOffset bounds the random start of a worker's clock. It differs
// between workers so that a comparison of two clocks shows up in tests.
const maxClockOffset = time.Hour

// DefaultCapacity returns the capacity of today's workers.
func DefaultCapacity() model.Resources {
	return model.Resources{MilliCPU: 16000, MemoryMB: 32768, Slots: 8, Connections: 64}
}

// WorkerConfig is the configuration of a Worker.
type WorkerConfig struct {
	Name     model.WorkerName
	Rack     string
	Capacity model.Resources
	UsageLag time.Duration
	Seed     uint64
	// Unguarded makes the worker accept every start: whatever its epoch and
	// not-after time, and above its capacity.
	Unguarded bool
	Ledger    *Ledger // shared by several workers; nil: its own
}

// Worker runs tasks under leases. It is safe for concurrent use.
type Worker struct {
	cfg    WorkerConfig
	clock  Clock
	Faults *Faults
	Ledger *Ledger

	mu          sync.Mutex
	rng         *rand.Rand
	boot        string
	offset      time.Duration // the worker's clock minus the common clock
	epoch       uint64
	seq         uint64
	tasks       map[model.TaskID]*task
	running     []*task                          // in the order of their starts
	past        map[model.TaskID]model.TaskState // removed tasks; their ids are never started again
	changed     chan struct{}                    // closed at the next change
	leaving     bool
	failAll     bool
	down        bool
	unreachable bool
	counters    Counters
}

var _ worker.Worker = (*Worker)(nil)

// NewWorker returns a worker that has just booted.
func NewWorker(cfg WorkerConfig, clock Clock) *Worker {
	w := &Worker{
		cfg: cfg, clock: clock, Faults: newFaults(cfg.Seed), Ledger: cfg.Ledger,
		rng: rand.New(rand.NewPCG(cfg.Seed, 2)), changed: make(chan struct{}), counters: newCounters(),
	}
	if w.Ledger == nil {
		w.Ledger = &Ledger{}
	}
	w.Ledger.join(w)
	w.reset()
	return w
}

// reset removes all state, as a restart does: workers have no disk.
func (w *Worker) reset() {
	w.boot = fmt.Sprintf("%s-%016x", w.cfg.Name, w.rng.Uint64())
	w.offset = time.Duration(w.rng.Int64N(int64(maxClockOffset))) - w.clock()
	w.epoch, w.seq = 0, 1
	w.tasks, w.past, w.running = map[model.TaskID]*task{}, map[model.TaskID]model.TaskState{}, nil
	w.wake()
}

// Watch implements worker.Worker. It waits in real time; with virtual time
// the request's Wait must be zero.
func (w *Worker) Watch(ctx context.Context, req worker.WatchRequest) (model.Report, error) {
	deadline := time.Now().Add(req.Wait)
	for first := true; ; first = false {
		r, changed, next, err := w.watch(req, first)
		wait := time.Until(deadline)
		if err != nil || changed == nil || wait <= 0 {
			return r, err
		}
		timer := time.NewTimer(min(wait, max(next, time.Millisecond)))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return model.Report{}, &worker.UnavailableError{Op: "watch", Cause: ctx.Err()}
		}
	}
}

// watch returns a report and, if it has nothing new, the channel to wait on
// and the time until a running task ends.
func (w *Worker) watch(req worker.WatchRequest, renew bool) (model.Report, <-chan struct{}, time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter("watch", req.Epoch)
	if err != nil {
		return model.Report{}, nil, 0, err
	}
	next := resultRetention
	for _, t := range w.running {
		if renew && req.Lease > 0 {
			t.lease = now + req.Lease
		}
		at, _, _ := t.due()
		next = min(next, at-now)
	}
	r := w.report(now, req)
	if err := w.Faults.lost("", false); err != nil {
		return model.Report{}, nil, 0, &worker.UnavailableError{Op: "watch", Cause: err}
	}
	if r.Full || w.seq > req.After {
		return r, nil, 0, nil
	}
	return r, w.changed, next, nil
}

func (w *Worker) report(now time.Duration, req worker.WatchRequest) model.Report {
	r := model.Report{
		Worker: w.cfg.Name, Boot: w.boot, Epoch: w.epoch, Clock: w.time(now), Rack: w.cfg.Rack,
		Capacity: w.cfg.Capacity, Leaving: w.leaving, Seq: w.seq, Guarded: !w.cfg.Unguarded,
		Full: req.After == 0 || req.Boot != w.boot || req.After > w.seq,
	}
	var tasks []*task
	for _, t := range w.tasks {
		if t.ranAt(now - w.cfg.UsageLag) {
			r.Usage = r.Usage.Add(t.usage)
		}
		if r.Full || t.seq > req.After {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int { return cmp.Compare(a.seq, b.seq) })
	for _, t := range tasks {
		r.Tasks = append(r.Tasks, t.report(now, w.cfg.UsageLag))
	}
	return r
}

// Start implements worker.Worker.
func (w *Worker) Start(_ context.Context, req worker.StartRequest) (worker.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fault("start"); err != nil {
		return worker.StartResult{}, err
	}
	now := w.poll()
	result := worker.StartResult{Clock: w.time(now)}
	// A known id comes before any refusal: a refusal says that the task did
	// not run, which would be wrong here.
	if _, gone := w.past[req.Spec.ID]; !gone && w.tasks[req.Spec.ID] == nil {
		if code := w.refuse(req, w.time(now)); code != model.CodeNone {
			result.Refusal = &worker.Refusal{Code: code, Epoch: w.epoch}
		} else {
			w.run(req, now)
		}
	}
	if err := w.Faults.lost("", true); err != nil {
		return worker.StartResult{}, &worker.UnavailableError{Op: "start", Cause: err}
	}
	return result, nil
}

// refuse returns why a start is refused, or CodeNone. The boot is checked
// before the clock, because not-after belongs to the clock of one boot.
func (w *Worker) refuse(req worker.StartRequest, at model.WorkerTime) model.Code {
	if w.cfg.Unguarded {
		return model.CodeNone
	}
	switch {
	case w.fence(req.Epoch) != nil:
		return model.CodeStaleEpoch
	case req.Boot != "" && req.Boot != w.boot:
		return model.CodeWorkerLost
	case at > req.NotAfter:
		return model.CodeTooLate
	case w.leaving:
		return model.CodeLeaving
	case !demand(req.Spec).Fits(w.cfg.Capacity.Sub(w.used())):
		return model.CodeNoCapacity
	}
	return model.CodeNone
}

func (w *Worker) run(req worker.StartRequest, now time.Duration) {
	t := newTask(req, now, w.failAll, w.rng)
	s := req.Spec
	t.run = w.Ledger.began(Run{Worker: w.cfg.Name, Task: s.ID, Service: s.Service, Key: s.Key, Body: xxhash.Sum64(req.Body), Epoch: req.Epoch, Start: now})
	w.tasks[s.ID] = t
	w.running = append(w.running, t)
	w.touch(t)
	w.counters.started(s, w.used(), w.cfg.Capacity, w.running, w.cfg.Name)
}

// Query implements worker.Worker.
func (w *Worker) Query(_ context.Context, epoch uint64, id model.TaskID) (worker.QueryResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter("query", epoch)
	if err != nil {
		return worker.QueryResult{}, err
	}
	r := worker.QueryResult{Boot: w.boot, Clock: w.time(now)}
	r.Status = model.TaskStatus{Spec: model.TaskSpec{ID: id}, State: model.TaskNotKnown}
	if t := w.tasks[id]; t != nil {
		r.Status = t.report(now, w.cfg.UsageLag)
	} else if state, ok := w.past[id]; ok {
		r.Status.State, r.Status.Message = state, messageForgotten
		r.Status.ResultDiscarded = state == model.TaskDone
	}
	if err := w.Faults.lost("", false); err != nil {
		return worker.QueryResult{}, &worker.UnavailableError{Op: "query", Cause: err}
	}
	return r, nil
}

// Control implements worker.Worker. Task ids that are not known and actions
// that don't apply to a task's state have no effect.
func (w *Worker) Control(_ context.Context, req worker.ControlRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter("control", req.Epoch)
	if err != nil {
		return err
	}
	for _, id := range req.Tasks {
		if t := w.tasks[id]; t != nil {
			w.control(t, req.Action, now)
		}
	}
	if err := w.Faults.lost("", true); err != nil {
		return &worker.UnavailableError{Op: "control", Cause: err}
	}
	return nil
}

func (w *Worker) control(t *task, a worker.Action, now time.Duration) {
	if t.status.State != model.TaskRunning {
		if a == worker.ActionForget {
			w.forget(t)
		}
		return
	}
	t.settle(now)
	switch a {
	case worker.ActionStop:
		w.end(t, now, model.TaskStopped, messageStopped)
	case worker.ActionCheckpoint:
		// Marshal can't fail on this type.
		t.status.Checkpoint, _ = json.Marshal(Progress{DoneMS: t.done.Milliseconds()})
		w.end(t, now, model.TaskStopped, messageCheckpointed)
	case worker.ActionThrottle, worker.ActionUnthrottle:
		t.status.Throttled = a == worker.ActionThrottle
		w.touch(t)
	}
}

// enter does what all calls but a start do first.
func (w *Worker) enter(op string, epoch uint64) (time.Duration, error) {
	if err := w.fault(op); err != nil {
		return 0, err
	}
	now := w.poll()
	return now, w.fence(epoch)
}

// fault returns the error of a call that can't have an effect, or nil.
func (w *Worker) fault(op string) error {
	if w.unreachable {
		return &worker.NotSentError{Cause: &FaultError{Code: CodeOutage}}
	}
	err := w.Faults.blocked("")
	if w.down {
		err = &FaultError{Code: CodeOutage}
	}
	if err != nil {
		return &worker.UnavailableError{Op: op, Cause: err}
	}
	return nil
}

func (w *Worker) fence(epoch uint64) error {
	if w.cfg.Unguarded {
		return nil
	}
	if epoch < w.epoch {
		return &worker.StaleEpochError{Epoch: w.epoch}
	}
	if epoch > w.epoch {
		w.epoch = epoch
		w.wake() // watches of lower epochs end
	}
	return nil
}

// Poll ends the tasks that have become due. Every call does so first, so a
// test needs Poll only before it reads the ledger's runs of one worker.
func (w *Worker) Poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poll()
}

func (w *Worker) poll() time.Duration {
	now := w.clock()
	for _, t := range slices.Clone(w.running) {
		if at, state, message := t.due(); at <= now {
			t.settle(at)
			w.end(t, at, state, message)
		}
	}
	for _, t := range w.tasks {
		if t.status.State != model.TaskRunning && now-t.ended > resultRetention {
			w.forget(t)
		}
	}
	return now
}

func (w *Worker) end(t *task, at time.Duration, state model.TaskState, message string) {
	t.status.State, t.status.Message, t.ended = state, message, at
	if state == model.TaskDone {
		t.status.Result = t.result
	}
	w.running = slices.DeleteFunc(w.running, func(o *task) bool { return o == t })
	w.Ledger.ended(t.run, at, state)
	w.touch(t)
}

func (w *Worker) forget(t *task) {
	w.past[t.status.Spec.ID] = t.status.State
	delete(w.tasks, t.status.Spec.ID)
}

func (w *Worker) used() model.Resources {
	var used model.Resources
	for _, t := range w.running {
		used = used.Add(demand(t.status.Spec))
	}
	return used
}

func (w *Worker) touch(t *task) {
	w.wake()
	t.seq = w.seq
}

// wake lets open watches look for changes.
func (w *Worker) wake() {
	w.seq++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) time(now time.Duration) model.WorkerTime { return model.WorkerTime(now + w.offset) }

// VM returns the worker's entry in the VM list.
func (w *Worker) VM(dc model.DataCentre, address string) model.VM {
	return model.VM{Name: string(w.cfg.Name), Kind: model.VMWorker, DataCentre: dc, Address: address, Rack: w.cfg.Rack}
}
