package node

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// OutcomeKind is the result of a caller's request.
type OutcomeKind int

// The outcome kinds.
const (
	Done     OutcomeKind = iota
	NotFound             // no such job
	Refused              // not done, and will not be done later
	InDoubt              // may have been done, or may be done later
)

var outcomeNames = [...]string{"done", "not_found", "refused", "in_doubt"}

// String implements fmt.Stringer.
func (k OutcomeKind) String() string { return outcomeNames[k] }

// RefusalReason says why a request was refused.
type RefusalReason string

// The refusal reasons.
const (
	NoConfiguration  RefusalReason = "no_configuration"
	StoreUnavailable RefusalReason = "store_unavailable"
	Overloaded       RefusalReason = "overloaded"
)

// Refusal tells a caller why a request was not carried out, and when to retry.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// configurationRetryAfter is the retry delay of an instance that has just started. It has
// read the configuration by then if the store answers.
const configurationRetryAfter = time.Second

// NotConfigured returns the refusal of an instance that has no configuration yet.
func NotConfigured() Refusal {
	return Refusal{Reason: NoConfiguration, RetryAfter: configurationRetryAfter}
}

// Outcome is the answer to a caller's request.
type Outcome struct {
	Kind    OutcomeKind
	Refusal Refusal // set for Refused
}

// JobAPI is the interface of an instance to its callers.
type JobAPI interface {
	// Config returns the configuration in force, or nil if there is none yet.
	Config() *jobs.Config
	// Submit stores a job. The outcome is Done if the job was stored before.
	Submit(ctx context.Context, j jobs.Job) Outcome
	// State returns the state of a job in a queue.
	State(ctx context.Context, queue string, id jobs.ID) (jobs.State, Outcome)
	// Cancel stores the cancellation of a job.
	Cancel(ctx context.Context, queue string, id jobs.ID) Outcome
	// WaitingJobs returns the number of jobs in a queue that have not started.
	WaitingJobs(queue string) (int, Outcome)
	// Ready reports whether the instance can serve callers, and the reason if it can't.
	Ready() (bool, string)
}
