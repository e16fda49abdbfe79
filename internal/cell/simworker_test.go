package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// truth is what really happened to tasks.
type truth struct {
	running   map[jobs.TaskRef]map[*simWorker]int // runs by worker
	done      map[jobs.TaskRef]bool               // an end as done was acknowledged
	doneAny   map[jobs.TaskRef]bool               // a run has ended as done
	failures  map[jobs.TaskRef]int                // that have happened
	noted     map[jobs.TaskRef]int                // failures that were acknowledged
	cancelled map[jobs.ID]model.Time
	gangRuns  map[string]map[int]bool // members present of a gang's run
}

func newTruth() truth {
	return truth{
		running: map[jobs.TaskRef]map[*simWorker]int{}, done: map[jobs.TaskRef]bool{}, doneAny: map[jobs.TaskRef]bool{},
		failures: map[jobs.TaskRef]int{}, noted: map[jobs.TaskRef]int{}, cancelled: map[jobs.ID]model.Time{}, gangRuns: map[string]map[int]bool{},
	}
}

// simRun is one run at a worker.
type simRun struct {
	run   int
	need  model.Resources
	life  int
	since model.Time
	takes time.Duration
}

func (r *simRun) percent(now model.Time) int {
	return int(100 * max(now.Sub(r.since), 0) / max(r.takes, 1))
}

// simEnd is an end that is not acknowledged yet.
type simEnd struct {
	RunEnd
	at model.Time
}

// simWorker is a worker that follows the platform's rules and checks the
// promises. It does not guard its capacity.
type simWorker struct {
	s        *sim
	name     model.WorkerName
	up       bool
	unlisted bool // left for good
	// what it starts stands still until then
	stalledUntil model.Time
	boot         int64
	rate         float64 // of its clock
	born         model.Time
	capacity     model.Resources

	fence    int64
	leaseEnd model.WorkerTime
	lapseAt  int // serial of the newest lapse timer
	runs     map[jobs.TaskRef]*simRun
	barred   map[jobs.TaskRef]int
	ended    []simEnd
	seq      int64
	lapsedAt model.Time
	serial   int
	waiting  []func()
}

func (s *sim) addWorker() *simWorker {
	w := &simWorker{
		s: s, name: model.WorkerName(fmt.Sprintf("w-%02d", len(s.workers)+1)), rate: 0.98 + 0.04*s.rnd.Float64(),
		capacity: model.Resources{MilliCPU: 16000, MemoryMB: 32768},
	}
	s.workers = append(s.workers, w)
	w.boots()
	return w
}

func (w *simWorker) boots() {
	w.up, w.born, w.boot = true, w.s.now, w.boot+1
	w.fence, w.leaseEnd, w.seq, w.ended, w.waiting = 0, 0, 0, nil, nil
	w.runs, w.barred = map[jobs.TaskRef]*simRun{}, map[jobs.TaskRef]int{}
}

// crash ends everything and forgets all.
func (w *simWorker) crash(down time.Duration) {
	for _, t := range w.tasks() {
		w.drop(t)
	}
	w.up = false
	w.wake(len(w.waiting))
	w.s.after(down, w.boots)
}

// leave ends the worker for good. Its entry goes away a little later.
func (w *simWorker) leave() {
	for _, t := range w.tasks() {
		w.drop(t)
	}
	w.up = false
	w.wake(len(w.waiting))
	w.s.after(4500*time.Millisecond, func() {
		w.unlisted = true
		for _, n := range w.s.nodes {
			n.send(n.life, WorkerUnregistered{Name: w.name})
		}
	})
}

func (w *simWorker) info() jobs.WorkerInfo {
	return jobs.WorkerInfo{Name: w.name, Service: "svc", Address: string(w.name), Boot: w.boot, Capacity: w.capacity}
}

func (w *simWorker) clock() model.WorkerTime {
	return model.WorkerTime(float64(w.s.now.Sub(w.born)) * w.rate)
}

// tasks returns what the worker runs, in a fixed order.
func (w *simWorker) tasks() []jobs.TaskRef {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b jobs.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

func (w *simWorker) used() model.Resources {
	var u model.Resources
	for _, r := range w.runs {
		u = u.Add(r.need)
	}
	return u
}

// extend sets the lease, which never gets shorter.
func (w *simWorker) extend(until model.WorkerTime) {
	until = min(until, w.clock()+model.WorkerTime(simLease))
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	w.lapseAt++
	n, boot := w.lapseAt, w.boot
	w.s.after(time.Duration(float64(until-w.clock())/w.rate)+time.Microsecond, func() {
		if w.up && w.boot == boot && w.lapseAt == n {
			w.lapse()
		}
	})
}

func (w *simWorker) lapse() {
	w.lapsedAt = w.s.now
	for _, t := range w.tasks() {
		w.end(t, w.runs[t].run, jobs.OutcomeLeaseExpired)
	}
}

func (w *simWorker) renew(r Renew) Renewed {
	if r.Epoch < w.fence {
		return Renewed{Worker: w.name, Verdict: Superseded}
	}
	w.fence = r.Epoch
	w.extend(r.LeaseUntil)
	for len(w.ended) > 0 && w.ended[0].Seq <= r.AckedEnd {
		e := w.ended[0]
		w.ended = w.ended[1:]
		switch {
		case e.Outcome == jobs.OutcomeDone && w.lapsedAt < e.at:
			w.s.truth.done[e.Task] = true
		case e.Outcome == jobs.OutcomeFailed:
			w.s.truth.noted[e.Task]++
		}
	}
	return w.list(Renewed{Worker: w.name, Verdict: Accepted})
}

// list fills in what the worker runs and what has ended.
func (w *simWorker) list(r Renewed) Renewed {
	r.Boot, r.Clock, r.Running, r.Ended = w.boot, w.clock(), nil, nil
	for _, t := range w.tasks() {
		r.Running = append(r.Running, RunStatus{Task: t, Run: w.runs[t].run, Percent: w.runs[t].percent(w.s.now)})
	}
	for _, e := range w.ended {
		r.Ended = append(r.Ended, e.RunEnd)
	}
	return r
}

// wake answers the renewals that wait, at least the first n.
func (w *simWorker) wake(n int) {
	if n > len(w.waiting) {
		n = len(w.waiting)
	}
	calls := w.waiting[:n]
	w.waiting = w.waiting[n:]
	for _, c := range calls {
		c()
	}
}

func (w *simWorker) start(o Start) Verdict {
	switch {
	case o.Epoch < w.fence:
		return Superseded
	case o.LeaseUntil <= w.clock():
		return TooLate
	}
	w.fence = o.Epoch
	w.extend(o.LeaseUntil)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return Accepted
	}
	if o.Run <= w.barred[o.Task] {
		return OldRun
	}
	s := w.s
	job := s.newest[o.Task.Job]
	step := &job.Steps[o.Task.Step]
	s.trace("%s started %v run %d", w.name, o.Task, o.Run)
	s.checkStart(w, o.Task, o.Run, step)
	run := &simRun{run: o.Run, need: step.Resources}
	w.runs[o.Task] = run
	w.serial++
	run.life = w.serial
	if s.truth.running[o.Task] == nil {
		s.truth.running[o.Task] = map[*simWorker]int{}
	}
	s.truth.running[o.Task][w] = o.Run
	boot, life := w.boot, run.life
	took := time.Duration(float64(step.EstimateMs)*(0.5+s.rnd.Float64())) * time.Millisecond
	run.since, run.takes = s.now, took
	if held := w.stalledUntil.Sub(s.now); held > 0 {
		run.since = w.stalledUntil
		took += held
	}
	outcome := jobs.OutcomeDone
	if s.rnd.Float64() < 0.05 || job.Payload == "hopeless" {
		outcome = jobs.OutcomeFailed
	}
	if s.load != nil {
		took, outcome = s.load.run(o.Task)
	}
	s.after(took, func() {
		if r := w.runs[o.Task]; w.up && w.boot == boot && r != nil && r.life == life {
			w.end(o.Task, o.Run, outcome)
		}
	})
	return Accepted
}

func (w *simWorker) stop(o Stop) Verdict {
	if o.Epoch < w.fence {
		return Superseded
	}
	w.fence = o.Epoch
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		boot, life := w.boot, r.life
		w.s.after(time.Duration(w.s.rnd.Int64N(int64(200*time.Millisecond))), func() {
			if r := w.runs[o.Task]; w.up && w.boot == boot && r != nil && r.life == life {
				w.end(o.Task, r.run, jobs.OutcomeStopped)
			}
		})
	}
	return Accepted
}

func (w *simWorker) drop(t jobs.TaskRef) {
	delete(w.runs, t)
	delete(w.s.truth.running[t], w)
}

func (w *simWorker) end(t jobs.TaskRef, run int, how jobs.Outcome) {
	s := w.s
	s.load.used(w.runs[t], how, s.now)
	w.drop(t)
	w.barred[t] = max(w.barred[t], run)
	w.s.trace("%s ended %v run %d %s", w.name, t, run, how)
	w.seq++
	w.ended = append(w.ended, simEnd{RunEnd{Seq: w.seq, Task: t, Run: run, Outcome: how}, w.s.now})
	switch how {
	case jobs.OutcomeDone:
		w.s.truth.doneAny[t] = true
	case jobs.OutcomeFailed:
		w.s.truth.failures[t]++
	}
	w.wake(len(w.waiting))
}

// checkStart checks the promises at the moment at which a worker starts a run.
func (s *sim) checkStart(w *simWorker, t jobs.TaskRef, run int, step *jobs.Step) {
	for other, r := range s.truth.running[t] {
		if other.up {
			s.fail("twice: %v run %d at %s while run %d is at %s", t, run, w.name, r, other.name)
		}
	}
	if s.truth.done[t] {
		s.fail("twice: %v run %d at %s after it was done", t, run, w.name)
	}
	if u := w.used().Add(step.Resources); !u.Fits(w.capacity) {
		s.fail("limit: %v at %s takes %v of %v", t, w.name, u, w.capacity)
	}
	for _, a := range step.After {
		for i := range s.newest[t.Job].Steps[a].Tasks {
			if p := (jobs.TaskRef{Job: t.Job, Occurrence: t.Occurrence, Step: a, Index: i}); !s.truth.doneAny[p] {
				s.fail("order: %v started before %v was done", t, p)
			}
		}
	}
	if most := s.cfg.Queue(s.newest[t.Job].Queue).MaxAttempts; s.truth.noted[t] >= most {
		s.fail("budget: %v started after %d failures", t, s.truth.noted[t])
	}
	if at, ok := s.truth.cancelled[t.Job]; ok && s.now.Sub(at) > 3*time.Second && s.calm() {
		s.fail("cancel: %v started %v after the cancellation", t, s.now.Sub(at))
	}
}

// calm reports whether no fault is in progress that could hold up an order.
func (s *sim) calm() bool {
	return s.lateOrders == 0 && s.lostAnswers == 0 && !s.storeDown && !s.storeBusy
}
