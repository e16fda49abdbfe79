package node

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// Kind says what became of a caller's request.
type Kind int

// The kinds of outcomes.
const (
	Done     Kind = iota
	NotFound      // there is no such job
	Refused       // certainly not done, and it never will be
	InDoubt       // it may have been done
)

var kindNames = [...]string{"done", "not_found", "refused", "in_doubt"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	NoConfiguration  Reason = "no_configuration"
	StoreUnavailable Reason = "store_unavailable"
	Overloaded       Reason = "overloaded"
)

// Refusal tells a caller that a request was not carried out.
type Refusal struct {
	Reason     Reason
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
	Kind    Kind
	Refusal Refusal // of Refused
}

// Gateway is what callers can ask of an instance.
type Gateway interface {
	// Config returns the configuration in force, or nil if there is none yet.
	Config() *jobs.Config
	// Submit stores a job. A job that is stored already is done.
	Submit(ctx context.Context, j jobs.Job) Outcome
	// State returns the state of a job of a queue.
	State(ctx context.Context, queue string, id jobs.ID) (jobs.State, Outcome)
	// Cancel stores the cancellation of a job.
	Cancel(ctx context.Context, queue string, id jobs.ID) Outcome
	// Waiting returns how many jobs of a queue have not begun.
	Waiting(queue string) (int, Outcome)
	// Ready reports whether the instance can serve callers, and why not.
	Ready() (bool, string)
}
