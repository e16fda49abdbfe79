package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Kinds of Violation.
const (
	ViolationCapacity   model.Code = "capacity_exceeded" // tasks together held more than a worker has
	ViolationKeyTwice   model.Code = "key_ran_twice"     // a key was started more than once
	ViolationKeyOverlap model.Code = "key_overlap"       // a key ran in two places at a time
	ViolationTaskTwice  model.Code = "task_ran_twice"    // a task id was started more than once
)

// Run is one actual run of a task, on the stand-ins' common clock.
type Run struct {
	Worker  model.WorkerName `json:"worker"`
	Task    model.TaskID     `json:"task"`
	Service string           `json:"service"`
	Key     model.Key        `json:"key,omitempty"`
	Body    uint64           `json:"body"` // xxhash of the task's body; links runs to submissions with unique bodies
	Epoch   uint64           `json:"epoch"`
	Start   time.Duration    `json:"start_ns"`
	End     time.Duration    `json:"end_ns"` // valid unless State is running
	State   model.TaskState  `json:"state"`
}

// Violation is one broken promise that the stand-ins saw themselves.
type Violation struct {
	Kind    model.Code       `json:"kind"`
	Worker  model.WorkerName `json:"worker"`
	Task    model.TaskID     `json:"task"`
	Service string           `json:"service"`
	Key     model.Key        `json:"key,omitempty"`
}

// Ledger records every run of the workers that share it. It is the ground
// truth of tests and safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	runs    []Run
	workers []*Worker
}

// Runs returns all runs in the order of their starts.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	workers := slices.Clone(l.workers)
	l.mu.Unlock()
	for _, w := range workers { // records the ends that have become due
		w.Poll()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Violations checks all runs: no task id runs twice, no key of a service runs
// twice or in two places at a time. Keys of idempotent services may run
// twice; the caller filters by service.
func (l *Ledger) Violations() []Violation {
	type key struct {
		service string
		key     model.Key
	}
	tasks := map[model.TaskID]bool{}
	keys := map[key][]Run{}
	var found []Violation
	for _, r := range l.Runs() {
		v := Violation{Worker: r.Worker, Task: r.Task, Service: r.Service, Key: r.Key}
		if tasks[r.Task] {
			v.Kind = ViolationTaskTwice
			found = append(found, v)
		}
		tasks[r.Task] = true
		if r.Key == "" {
			continue
		}
		k := key{r.Service, r.Key}
		if len(keys[k]) > 0 {
			v.Kind = ViolationKeyTwice
			found = append(found, v)
		}
		if slices.ContainsFunc(keys[k], func(o Run) bool { return o.State == model.TaskRunning || o.End > r.Start }) {
			v.Kind = ViolationKeyOverlap
			found = append(found, v)
		}
		keys[k] = append(keys[k], r)
	}
	return found
}

func (l *Ledger) join(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = append(l.workers, w)
}

// began records a start and returns the run's index.
func (l *Ledger) began(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.State = model.TaskRunning
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *Ledger) ended(run int, at time.Duration, state model.TaskState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run].End, l.runs[run].State = at, state
}
