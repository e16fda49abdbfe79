package node

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// OutcomeKind says what became of a caller's request.
type OutcomeKind int

// The kinds of outcomes.
const (
	Done     OutcomeKind = iota
	NotFound             // there is no such job
	Refused              // certainly not done, and it never will be
	InDoubt              // it may have been done
)

var kindNames = [...]string{"done", "not_found", "refused", "in_doubt"}

// String implements fmt.Stringer.
func (k OutcomeKind) String() string { return kindNames[k] }

// RefusalReason says why a request was refused.
type RefusalReason string

// The reasons.
const (
	NoConfiguration  RefusalReason = "no_configuration"
	StoreUnavailable RefusalReason = "store_unavailable"
	Overloaded       RefusalReason = "overloaded"
)

// Refusal tells a caller that a request was not carried out.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// configurationRetry is when a caller should come back to an instance that has
// just started. It reads the configuration within that time if the store answers.
const configurationRetry = time.Second

// NotConfigured returns the refusal of an instance without a configuration.
func NotConfigured() Refusal {
	return Refusal{Reason: NoConfiguration, RetryAfter: configurationRetry}
}

// Outcome is the answer to a caller's request.
type Outcome struct {
	Kind    OutcomeKind
	Refusal Refusal // of Refused
}

// JobAPI is what callers can ask of an instance.
type JobAPI interface {
	// Config returns the configuration in force, or nil if there is none yet.
	Config() *jobs.Config
	// Submit stores a job. A job that is stored already is done.
	Submit(ctx context.Context, j jobs.Job) Outcome
	// State returns the state of a job of a queue.
	State(ctx context.Context, queue string, id jobs.ID) (jobs.State, Outcome)
	// Cancel stores the cancellation of a job.
	Cancel(ctx context.Context, queue string, id jobs.ID) Outcome
	// PendingJobs returns how many jobs of a queue have not begun.
	PendingJobs(queue string) (int, Outcome)
	// Ready reports whether the instance can serve callers, and why not.
	Ready() (bool, string)
}
