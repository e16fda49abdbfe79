package jobs

import (
	"fmt"
	"net/netip"
	"strings"
)

// InvalidError reports a job that breaks a rule of the model. Callers get its text.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid job: " + e.Reason }

const (
	// maxAmount bounds each resource of a task. Sums over all tasks of a site stay far
	// below the largest integer.
	maxAmount = 1 << 40
	// maxEstimateMs bounds the estimated run time of a task, two years in milliseconds. Sums
	// over the steps of a job stay below the largest time.Duration.
	maxEstimateMs = 1 << 36
)

// Validate returns an InvalidError if the job breaks a rule of the model.
func (j *Job) Validate() error {
	if len(j.Payload) > MaxPayloadBytes {
		return &InvalidError{Reason: fmt.Sprintf("payload has %d bytes, at most %d are allowed", len(j.Payload), MaxPayloadBytes)}
	}
	if len(j.Steps) == 0 {
		return &InvalidError{Reason: "no steps"}
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Tasks > MaxTasks {
			return &InvalidError{Reason: fmt.Sprintf("step %d has %d tasks", i, s.Tasks)}
		}
		tasks += s.Tasks
		if tasks > MaxTasks {
			return &InvalidError{Reason: fmt.Sprintf("more than %d tasks", MaxTasks)}
		}
		for _, amount := range []int64{s.Resources.MilliCPU, s.Resources.MemoryMB, s.Resources.Accelerators} {
			if amount < 0 || amount > maxAmount {
				return &InvalidError{Reason: fmt.Sprintf("step %d needs an amount of %d, which is not from 0 to %d", i, amount, int64(maxAmount))}
			}
		}
		if s.EstimateMs < 0 || s.EstimateMs > maxEstimateMs {
			return &InvalidError{Reason: fmt.Sprintf("step %d is estimated to take %d ms, which is not from 0 to %d", i, s.EstimateMs, int64(maxEstimateMs))}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidError{Reason: fmt.Sprintf("step %d is after step %d, which is not an earlier one", i, a)}
			}
		}
	}
	// The product of the two may overflow.
	if j.Schedule.Occurrences < 0 || j.Schedule.OccurrenceCount() > MaxTasks/tasks {
		return &InvalidError{Reason: fmt.Sprintf("more than %d tasks", MaxTasks)}
	}
	return nil
}

// ValidateSize returns an InvalidError if the store can't hold the job.
func (j *Job) ValidateSize() error {
	if n := len(Encode(j)); n > MaxEntryBytes {
		return &InvalidError{Reason: fmt.Sprintf("needs %d bytes in the store, at most %d are allowed; use fewer steps or shorter names", n, MaxEntryBytes)}
	}
	return nil
}

// maxRun bounds run numbers, failures and epochs. Many more can follow without an overflow.
const maxRun = 1 << 40

// InvalidEntryError reports a stored entry with a number out of range.
type InvalidEntryError struct {
	Field string
	Value int64
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("stored %s of %d, which is not from 0 to %d", e.Field, e.Value, int64(maxRun))
}

// Validate returns an InvalidEntryError if a number is out of range.
func (g *GroupProgress) Validate() error {
	if err := checkRuns(g.Run, g.Failures, g.FailedRun); err != nil {
		return err
	}
	for i := range g.Tasks {
		if err := checkRuns(g.Tasks[i].Run, g.Tasks[i].Failures, g.Tasks[i].FailedRun); err != nil {
			return err
		}
	}
	return nil
}

func checkRuns(run, failures, failedRun int) error {
	for _, n := range []struct {
		field string
		value int
	}{{"run", run}, {"failures", failures}, {"failed run", failedRun}} {
		if n.value < 0 || n.value > maxRun {
			return &InvalidEntryError{n.field, int64(n.value)}
		}
	}
	return nil
}

// Validate returns an InvalidEntryError if the epoch is out of range: no higher one could
// follow it.
func (c *Claim) Validate() error {
	if c.Epoch < 0 || c.Epoch > maxRun {
		return &InvalidEntryError{"epoch", c.Epoch}
	}
	return nil
}

const (
	// maxNameBytes bounds the names in a worker's entry, and maxLabels its labels. Each
	// instance holds the entries of all workers.
	maxNameBytes = 255
	maxLabels    = 64
	// maxTimestampMs bounds Unix times, in milliseconds; it is in the year 2248.
	maxTimestampMs = 1 << 43
)

// InvalidWorkerError reports an entry of the worker directory that names no worker to use.
type InvalidWorkerError struct{ Reason string }

func (e *InvalidWorkerError) Error() string { return "invalid worker: " + e.Reason }

// Validate returns an InvalidWorkerError if the worker can't be called, or can't be
// computed with: sums over all workers of a site must not overflow.
func (w *WorkerInfo) Validate() error {
	invalid := func(format string, args ...any) error {
		return &InvalidWorkerError{Reason: fmt.Sprintf(format, args...)}
	}
	// The name is sent as a header.
	if !isPrintable(string(w.Name)) {
		return invalid("name %.40q is empty, too long or not printable", w.Name)
	}
	for _, text := range append([]string{w.Service, string(w.DataCentre)}, w.Labels...) {
		if len(text) > maxNameBytes {
			return invalid("a name or label has %d bytes, at most %d are allowed", len(text), maxNameBytes)
		}
	}
	if w.Service == "" {
		return invalid("no service")
	}
	if len(w.Labels) > maxLabels {
		return invalid("%d labels, at most %d are allowed", len(w.Labels), maxLabels)
	}
	if a, err := netip.ParseAddrPort(w.Address); err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() {
		return invalid("address %.60q is not IP:port", w.Address)
	}
	if w.Capacity.MilliCPU <= 0 {
		return invalid("no CPU capacity")
	}
	for _, amount := range []int64{w.Capacity.MilliCPU, w.Capacity.MemoryMB, w.Capacity.Accelerators} {
		if amount < 0 || amount > maxAmount {
			return invalid("capacity of %d, which is not from 0 to %d", amount, int64(maxAmount))
		}
	}
	if w.Boot < 0 || w.Boot > maxTimestampMs {
		return invalid("started at %d ms, which is not from 0 to %d", w.Boot, int64(maxTimestampMs))
	}
	return nil
}

func isPrintable(name string) bool {
	return name != "" && len(name) <= maxNameBytes && strings.IndexFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
