package jobs

import "fmt"

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
