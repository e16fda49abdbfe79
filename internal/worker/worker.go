// Package worker defines the client interface to a single worker and implements
// it with JSON over HTTP.
//
// Every call carries the caller's epoch. A worker remembers the highest epoch
// received and rejects calls that carry a lower one.
package worker

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// WatchRequest asks a worker for task changes since an earlier report, and renews
// task leases.
type WatchRequest struct {
	Epoch uint64        `json:"epoch"`
	After uint64        `json:"after"`    // Seq of the last report; zero requests every known task
	Boot  string        `json:"boot"`     // Boot of the last report; a worker with another boot returns a full report
	Lease time.Duration `json:"lease_ns"` // new lease duration of all running tasks; zero leaves the leases unchanged
	Wait  time.Duration `json:"wait_ns"`  // maximum time to wait for a change
}

// StartRequest asks a worker to start a task. Starts are idempotent: a request
// with a known task ID does not start the task again.
type StartRequest struct {
	Epoch    uint64           `json:"epoch"`
	Boot     string           `json:"boot"`      // refused if the worker has restarted since; empty matches any boot
	NotAfter model.WorkerTime `json:"not_after"` // latest arrival by the worker's clock; a later request is refused
	Lease    time.Duration    `json:"lease_ns"`
	Spec     model.TaskSpec   `json:"spec"`
	Body     []byte           `json:"body,omitempty"`
	Resume   []byte           `json:"resume,omitempty"` // checkpoint to resume from
}

// Refusal reports that the worker did not run the task and will not run it
// because of this request.
type Refusal struct {
	Code  model.Code `json:"code"`            // stale_epoch, too_late, no_capacity, leaving, worker_lost (other boot)
	Epoch uint64     `json:"epoch,omitempty"` // highest epoch that the worker has received
}

// StartResult is the result of a start request. A nil Refusal means that the
// task is running or has run.
type StartResult struct {
	Refusal *Refusal         `json:"refusal,omitempty"`
	Clock   model.WorkerTime `json:"clock"`
}

// QueryResult is the status of one task on a worker.
type QueryResult struct {
	Boot   string           `json:"boot"`
	Clock  model.WorkerTime `json:"clock"`
	Status model.TaskStatus `json:"status"`
}

// Action is the operation that a control call applies to tasks.
type Action string

// The actions of control calls.
const (
	ActionStop       Action = "stop"
	ActionCheckpoint Action = "checkpoint" // save the state, report it and stop
	ActionThrottle   Action = "throttle"
	ActionUnthrottle Action = "unthrottle"
	ActionForget     Action = "forget" // drop the result, which the caller has stored
)

// ControlRequest applies an action to tasks of a worker.
type ControlRequest struct {
	Epoch  uint64         `json:"epoch"`
	Tasks  []model.TaskID `json:"tasks"`
	Action Action         `json:"action"`
}

// Worker is the client interface to one worker. Implementations are safe for
// concurrent use.
type Worker interface {
	// Watch fences lower epochs, renews leases and returns the changed tasks.
	Watch(ctx context.Context, req WatchRequest) (model.Report, error)
	// Start starts a task. A NotSentError guarantees that the request did not
	// reach the worker; after any other error the request may have reached it.
	Start(ctx context.Context, req StartRequest) (StartResult, error)
	// Query returns the status of one task.
	Query(ctx context.Context, epoch uint64, task model.TaskID) (QueryResult, error)
	// Control applies an action to tasks.
	Control(ctx context.Context, req ControlRequest) error
}

// StaleEpochError reports that the worker has received a higher epoch and
// rejected the call.
type StaleEpochError struct{ Epoch uint64 }

func (e *StaleEpochError) Error() string { return "worker has seen a higher epoch" }

// NotSentError reports a call that is guaranteed not to have reached the worker.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "worker not reached: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnavailableError reports a call that may or may not have taken effect.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string { return "worker " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
