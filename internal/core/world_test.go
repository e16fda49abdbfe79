package core_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// Virtual times of a history. Faults begin once every data centre has had time to elect
// an owner, and stop early enough for all leases to expire and all in-doubt tasks to be
// resolved.
const (
	publishAt   = 500 * time.Millisecond
	faultsFrom  = 4 * time.Second
	faultsUntil = 22 * time.Second
	callsUntil  = 24 * time.Second
	historyEnd  = 50 * time.Second
	// retriesUntil leaves a call that is made last its deadline of 4 s, so that every
	// call must be answered by the end of the history.
	retriesUntil = historyEnd - 6*time.Second
)

var dataCentres = []model.DataCentre{"tartu", "voru"}

// timer is a function that is scheduled for a virtual time. seq keeps timers of the
// same time in the order in which they were scheduled.
type timer struct {
	at  time.Duration
	seq int
	fn  func()
}

type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// traceStep is one event of an instance with its effects, or a note.
type traceStep struct {
	at       time.Duration
	now      model.Time
	instance *instance
	event    core.Event
	effects  []core.Effect
	note     string
}

// world simulates the instances and workers of two data centres, the log and the VM
// list in virtual time.
type world struct {
	seed         uint64
	rng          *rand.Rand
	clock        standin.VirtualClock
	timers       timerHeap
	timerSeq     int
	log          *standin.Log
	vmList       *standin.VMList
	ledger       *standin.Ledger
	workers      map[string]*upstream // by address
	workerKeys   []string             // addresses, in the order of creation
	instances    map[string]*instance // the latest start of each instance, by address
	instanceKeys []string             // addresses, in the order of creation
	faults       activeFaults
	callers      callers
	startedTasks map[model.TaskID]startedTask // starts that a worker accepted
	trace        []traceStep                  // a ring buffer if traceLimit is positive
	traceSteps   int                          // count of all steps, overwritten ones included
	traceLimit   int                          // maximum length of trace; 0: unlimited
	parsedTexts  map[string]*model.Text
	lastWatchers map[model.DataCentre]*instance // the instance that last watched a worker
	logRetention time.Duration
	violations   []string
	replacements int // number of replaced instances
	allInstances []*instance
	recordStep   func(*instance, model.Time, core.Event) func([]core.Effect)
}

// startedTask is a start that a worker accepted.
type startedTask struct {
	body      string
	startedBy model.Incarnation
}

// upstream is a simulated worker with its address.
type upstream struct {
	*standin.Worker
	name    model.WorkerName
	dc      model.DataCentre
	address string
	cfg     standin.WorkerConfig
}

// instance is one start of one instance. It performs its effects in order. While it is
// paused, its events and outgoing calls wait.
type instance struct {
	w               *world
	self            model.Member
	cfg             core.Config
	core            *core.Core
	dead            bool
	exited          bool
	pausedUntil     time.Duration // virtual time
	clockOffset     time.Duration
	clockDrift      float64                  // clock rate minus 1
	nextOffsets     map[string]uint64        // by log stream
	controlArrivals map[string]time.Duration // arrival of the last control call, by worker address
	textVersions    []uint64                 // versions of the texts that took effect, in order
}

func newWorld(seed uint64) *world {
	w := &world{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), ledger: &standin.Ledger{}, traceLimit: 3000,
		parsedTexts: map[string]*model.Text{}, lastWatchers: map[model.DataCentre]*instance{},
		workers: map[string]*upstream{}, instances: map[string]*instance{}, startedTasks: map[model.TaskID]startedTask{},
		logRetention: time.Hour,
	}
	w.faults.init()
	w.callers.init(w)
	if w.rng.IntN(3) == 0 {
		w.logRetention = 16 * time.Second
	}
	w.log = standin.NewLog(standin.LogConfig{Retention: w.logRetention}, w.clock.Now)
	w.vmList = standin.NewVMList(500*time.Millisecond, w.clock.Now)
	unguarded := w.rng.IntN(2) == 0
	for d, dc := range dataCentres {
		for i := range 4 + w.rng.IntN(3) {
			w.addWorker(dc, fmt.Sprintf("10.%d.1.%d:80", d, i), unguarded)
		}
		for i := range 3 {
			w.startInstance(dc, fmt.Sprintf("%s-%d", dc, i), fmt.Sprintf("10.%d.0.%d:70", d, i), 1)
		}
	}
	return w
}

func (w *world) addWorker(dc model.DataCentre, address string, unguarded bool) {
	n := len(w.workerKeys)
	cfg := standin.WorkerConfig{
		Name: model.WorkerName(fmt.Sprintf("worker-%d", n)), Rack: fmt.Sprintf("%s-rack-%d", dc, n%3),
		Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 8192, Slots: 4, Connections: 64},
		Seed:     w.rng.Uint64(), Ledger: w.ledger, Unguarded: unguarded,
	}
	u := &upstream{Worker: standin.NewWorker(cfg, w.clock.Now), name: cfg.Name, dc: dc, address: address, cfg: cfg}
	w.workers[address] = u
	w.workerKeys = append(w.workerKeys, address)
	w.vmList.Put(u.VM(dc, address))
}

// startInstance starts an instance, or its replacement at the same address.
func (w *world) startInstance(dc model.DataCentre, name, address string, run int) {
	self := model.Member{
		Name: name, Incarnation: model.Incarnation(fmt.Sprintf("%s.%d", name, run)), DataCentre: dc, Address: address,
	}
	cfg := core.Config{Self: self, Seed: w.rng.Uint64(), Timing: core.DefaultTiming(), Limits: core.DefaultLimits()}
	cfg.Timing.LogRetention = w.logRetention
	cfg.SeedPeers = map[model.DataCentre][]string{}
	for d, other := range dataCentres {
		for i := range 3 {
			cfg.SeedPeers[other] = append(cfg.SeedPeers[other], fmt.Sprintf("10.%d.0.%d:70", d, i))
		}
	}
	in := &instance{
		w: w, self: self, cfg: cfg, core: core.New(cfg, w.parse), nextOffsets: map[string]uint64{}, controlArrivals: map[string]time.Duration{},
		clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour))), clockDrift: (w.rng.Float64() - 0.5) / 50,
	}
	if w.instances[address] == nil {
		w.instanceKeys = append(w.instanceKeys, address)
	}
	w.instances[address] = in
	w.allInstances = append(w.allInstances, in)
	w.vmList.Put(model.VM{Name: name, Kind: model.VMEntry, DataCentre: dc, Address: address})
	w.repeat(in, 20*time.Millisecond, func() { in.deliver(core.Event{Tick: &core.Tick{Wall: w.wall()}}) })
	for _, stream := range []string{"config", "dc/" + string(dc)} {
		w.repeat(in, 100*time.Millisecond, func() { in.readLog(stream) })
	}
	w.repeat(in, 2*time.Second, in.readVMList)
}

// repeat runs fn every d while the instance is alive and skips runs that fall into a
// pause.
func (w *world) repeat(in *instance, d time.Duration, fn func()) {
	var loop func()
	loop = func() {
		if in.dead {
			return
		}
		if w.now() >= in.pausedUntil {
			fn()
		}
		w.after(d, loop)
	}
	w.after(time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), loop)
}

func (w *world) now() time.Duration    { return w.clock.Now() }
func (w *world) wall() time.Time       { return time.Unix(1_700_000_000, 0).UTC().Add(w.now()) }
func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// uniform returns a uniformly distributed duration from lo up to, not including, hi.
func (w *world) uniform(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)))
}

// after schedules fn to run d from now.
func (w *world) after(d time.Duration, fn func()) {
	w.timerSeq++
	heap.Push(&w.timers, timer{at: w.now() + d, seq: w.timerSeq, fn: fn})
}

// runUntil runs all timers that are due until end and advances the clock to it.
func (w *world) runUntil(end time.Duration) {
	for len(w.timers) > 0 && w.timers[0].at <= end {
		t := heap.Pop(&w.timers).(timer)
		w.clock.Advance(t.at - w.now())
		t.fn()
	}
	w.clock.Advance(end - w.now())
}

// tracef adds a note to the trace.
func (w *world) tracef(format string, args ...any) {
	w.addTraceStep(traceStep{at: w.now(), note: fmt.Sprintf(format, args...)})
}

func (w *world) addTraceStep(s traceStep) {
	w.traceSteps++
	if w.traceLimit > 0 && len(w.trace) == w.traceLimit {
		w.trace[w.traceSteps%w.traceLimit] = s
		return
	}
	w.trace = append(w.trace, s)
}

// parse parses a service text, or returns the result of an earlier call.
func (w *world) parse(data []byte) (*model.Text, error) {
	if t := w.parsedTexts[string(data)]; t != nil {
		return t, nil
	}
	t, err := servicetext.Parse(data)
	if err == nil {
		w.parsedTexts[string(data)] = t
	}
	return t, err
}

// now returns the time of the instance's own clock.
func (in *instance) now() model.Time {
	t := in.w.now()
	return model.Time(t + in.clockOffset + time.Duration(float64(t)*in.clockDrift))
}

// whenRunning runs fn at once, or at the end of the current pause. A dead instance
// drops it.
func (in *instance) whenRunning(fn func()) {
	switch {
	case in.dead:
	case in.w.now() < in.pausedUntil:
		in.w.after(in.pausedUntil-in.w.now(), func() { in.whenRunning(fn) })
	default:
		fn()
	}
}

// deliverAfter delivers an event to the instance after d.
func (in *instance) deliverAfter(d time.Duration, ev core.Event) {
	in.w.after(d, func() { in.deliver(ev) })
}

func (in *instance) deliver(ev core.Event) { in.whenRunning(func() { in.step(ev) }) }

func (in *instance) step(ev core.Event) {
	now := in.now()
	var done func([]core.Effect)
	if in.w.recordStep != nil {
		done = in.w.recordStep(in, now, ev)
	}
	effects := in.core.Step(now, ev)
	if done != nil {
		done(effects)
	}
	if ev.Tick == nil || len(effects) > 0 {
		in.w.addTraceStep(traceStep{at: in.w.now(), now: now, instance: in, event: ev, effects: effects})
	}
	for i := range effects {
		in.perform(&effects[i])
	}
}

// perform carries out one effect. Outgoing calls leave after a short delay, or at the
// end of a pause that begins in the meantime.
func (in *instance) perform(e *core.Effect) {
	w := in.w
	delay := w.uniform(10*time.Microsecond, time.Millisecond)
	switch {
	case e.Append != nil:
		w.after(delay, func() { in.whenRunning(func() { in.append(e.Append) }) })
	case e.Send != nil:
		w.after(delay, func() { in.whenRunning(func() { in.send(e.Send) }) })
	case e.Watch != nil:
		w.after(delay, func() { in.whenRunning(func() { in.watch(e.Watch) }) })
	case e.Start != nil:
		w.after(delay, func() { in.whenRunning(func() { in.start(e.Start) }) })
	case e.Query != nil:
		w.after(delay, func() { in.whenRunning(func() { in.query(e.Query) }) })
	case e.Control != nil:
		w.after(delay, func() { in.whenRunning(func() { in.control(e.Control) }) })
	case e.Answer != nil:
		w.callers.handleAnswer(in, e.Answer)
	case e.Publish != nil:
		w.callers.handlePublishAnswer(in, e.Publish)
	case e.Status != nil:
		w.callers.statusReports[in.self.Incarnation] = e.Status.Report
	case e.Text != nil:
		in.textVersions = append(in.textVersions, e.Text.Version)
		w.callers.textsInForce = append(w.callers.textsInForce, *e.Text)
	case e.Exit != nil:
		in.exited = true
	}
}

func (w *world) latency() time.Duration { return w.uniform(200*time.Microsecond, 3*time.Millisecond) }

// ctx is passed to the fakes, which never block.
var ctx = context.Background()
