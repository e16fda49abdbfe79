package standin

import (
	"maps"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// WorkerFaults switches the faults of a worker. A nil field leaves its switch
// as it is.
type WorkerFaults struct {
	CallFaults
	FailAll     *bool `json:"fail_all,omitempty"`    // every task that starts from now on fails
	Leaving     *bool `json:"leaving,omitempty"`     // the worker says that it is leaving
	Unreachable *bool `json:"unreachable,omitempty"` // calls are certainly not sent; over HTTP they are only dropped
	Lapse       bool  `json:"lapse,omitempty"`       // the leases of all running tasks end now
	Crash       bool  `json:"crash,omitempty"`       // all tasks are lost and calls fail until a restart
	Restart     bool  `json:"restart,omitempty"`     // all tasks are lost; another boot id
}

// Set changes switches.
func (w *Worker) Set(f WorkerFaults) {
	w.Faults.Set(f.CallFaults)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.poll()
	if f.FailAll != nil {
		w.failAll = *f.FailAll
	}
	if f.Leaving != nil {
		w.leaving = *f.Leaving
		w.wake()
	}
	if f.Unreachable != nil {
		w.unreachable = *f.Unreachable
	}
	for _, t := range slices.Clone(w.running) {
		switch {
		case f.Crash || f.Restart:
			w.end(t, now, model.TaskStopped, messageWorkerFault)
		case f.Lapse:
			t.settle(now)
			w.end(t, now, model.TaskStopped, messageLeaseEnded)
		}
	}
	if f.Crash || f.Restart {
		w.reset()
		w.down = !f.Restart
	}
}

// Counters is what a worker observed about itself since it was created,
// restarts included.
type Counters struct {
	Starts     map[model.TaskID]int `json:"starts"`
	KeyStarts  map[string]int       `json:"key_starts"`  // by "service/key"
	KeyRunning map[string]int       `json:"key_running"` // most concurrent runs, by "service/key"
	MaxUsed    model.Resources      `json:"max_used"`    // each component's own maximum
	Violations []Violation          `json:"violations,omitempty"`
}

func newCounters() Counters {
	return Counters{Starts: map[model.TaskID]int{}, KeyStarts: map[string]int{}, KeyRunning: map[string]int{}}
}

// started counts a start. running includes the new task.
func (c *Counters) started(s model.TaskSpec, used, capacity model.Resources, running []*task, name model.WorkerName) {
	c.Starts[s.ID]++
	c.MaxUsed = c.MaxUsed.Max(used)
	v := Violation{Worker: name, Task: s.ID, Service: s.Service, Key: s.Key}
	if !used.Fits(capacity) {
		v.Kind = ViolationCapacity
		c.Violations = append(c.Violations, v)
	}
	if c.Starts[s.ID] > 1 {
		v.Kind = ViolationTaskTwice
		c.Violations = append(c.Violations, v)
	}
	if s.Key == "" {
		return
	}
	k := s.Service + "/" + string(s.Key)
	c.KeyStarts[k]++
	n := 0
	for _, t := range running {
		if t.status.Spec.Service == s.Service && t.status.Spec.Key == s.Key {
			n++
		}
	}
	c.KeyRunning[k] = max(c.KeyRunning[k], n)
	if c.KeyStarts[k] > 1 {
		v.Kind = ViolationKeyTwice
		c.Violations = append(c.Violations, v)
	}
}

// Counters returns a copy of the worker's counters.
func (w *Worker) Counters() Counters {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poll()
	c := w.counters
	c.Starts, c.KeyStarts, c.KeyRunning = maps.Clone(c.Starts), maps.Clone(c.KeyStarts), maps.Clone(c.KeyRunning)
	c.Violations = slices.Clone(c.Violations)
	return c
}

// Starts returns how often the task id was started.
func (w *Worker) Starts(id model.TaskID) int { return w.Counters().Starts[id] }

// MaxUsed returns the most of each resource that running tasks held.
func (w *Worker) MaxUsed() model.Resources { return w.Counters().MaxUsed }

// Violations returns the broken promises that this worker saw.
func (w *Worker) Violations() []Violation { return w.Counters().Violations }
