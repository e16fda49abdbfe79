package jobs

import "fmt"

// InvalidError reports a job that breaks a rule of the model. Callers get its text.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid job: " + e.Reason }

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
		if s.Resources.MilliCPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.Accelerators < 0 {
			return &InvalidError{Reason: fmt.Sprintf("step %d needs a negative amount", i)}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidError{Reason: fmt.Sprintf("step %d is after step %d, which is not an earlier one", i, a)}
			}
		}
	}
	if j.Schedule.Occurrences < 0 || tasks*j.Schedule.OccurrenceCount() > MaxTasks {
		return &InvalidError{Reason: fmt.Sprintf("more than %d tasks", MaxTasks)}
	}
	return nil
}
