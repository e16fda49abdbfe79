// Package worker is the narrow interface to one worker, with an adapter that
// speaks HTTP.
//
// Every call carries the caller's epoch. A worker remembers the highest epoch
// that it has seen and refuses calls with a lower one.
package worker

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// WatchRequest asks a worker for changes.
type WatchRequest struct {
	Epoch uint64        `json:"epoch"`
	After uint64        `json:"after"`    // Seq of the last report; zero asks for every known task
	Boot  string        `json:"boot"`     // Boot of the last report; another boot answers with a full report
	Lease time.Duration `json:"lease_ns"` // renews the leases of all running tasks to this; zero leaves them as they are
	Wait  time.Duration `json:"wait_ns"`  // how long to wait for a change
}

// StartRequest asks a worker to start a task. A repeated id does not start the
// task a second time.
type StartRequest struct {
	Epoch    uint64           `json:"epoch"`
	Boot     string           `json:"boot"`      // refused if the worker has restarted since; empty: any
	NotAfter model.WorkerTime `json:"not_after"` // on the worker's clock; a later arrival is refused
	Lease    time.Duration    `json:"lease_ns"`
	Spec     model.TaskSpec   `json:"spec"`
	Body     []byte           `json:"body,omitempty"`
	Resume   []byte           `json:"resume,omitempty"` // checkpoint to resume from
}

// Refusal is a worker's definite statement that it did not run a task and
// will not run it on this request.
type Refusal struct {
	Code  model.Code `json:"code"`            // stale_epoch, too_late, no_capacity, leaving, worker_lost (other boot)
	Epoch uint64     `json:"epoch,omitempty"` // highest epoch the worker has seen
}

// StartResult is a worker's answer to a start. A nil Refusal means that the
// task runs or ran.
type StartResult struct {
	Refusal *Refusal         `json:"refusal,omitempty"`
	Clock   model.WorkerTime `json:"clock"`
}

// QueryResult is a worker's word about one task.
type QueryResult struct {
	Boot   string           `json:"boot"`
	Clock  model.WorkerTime `json:"clock"`
	Status model.TaskStatus `json:"status"`
}

// Action is what a control call does to a task.
type Action string

// The actions.
const (
	ActionStop       Action = "stop"
	ActionCheckpoint Action = "checkpoint" // save state, report it, and stop
	ActionThrottle   Action = "throttle"
	ActionUnthrottle Action = "unthrottle"
	ActionForget     Action = "forget" // the result was taken over; drop it
)

// ControlRequest acts on tasks of a worker.
type ControlRequest struct {
	Epoch  uint64         `json:"epoch"`
	Tasks  []model.TaskID `json:"tasks"`
	Action Action         `json:"action"`
}

// Worker is what gentianpick needs of one worker. Implementations are safe for
// concurrent use.
type Worker interface {
	// Watch fences the epoch, renews leases and returns what changed.
	Watch(ctx context.Context, req WatchRequest) (model.Report, error)
	// Start starts a task. A NotSentError means that the request certainly did
	// not reach the worker; after any other error it may have.
	Start(ctx context.Context, req StartRequest) (StartResult, error)
	// Query asks about one task.
	Query(ctx context.Context, epoch uint64, task model.TaskID) (QueryResult, error)
	// Control stops, checkpoints, throttles or forgets tasks.
	Control(ctx context.Context, req ControlRequest) error
}

// StaleEpochError reports that the worker has seen a higher epoch.
type StaleEpochError struct{ Epoch uint64 }

func (e *StaleEpochError) Error() string { return "worker has seen a higher epoch" }

// NotSentError reports a call that certainly did not reach the worker.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "worker not reached: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnavailableError reports a call whose effect is not known.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string { return "worker " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *UnavailableError) Unwrap() error { return e.Cause }
