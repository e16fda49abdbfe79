// Package jobs holds the model of jobs that are made of steps, and the entries
// that keep them in the platform's store. It decides nothing.
package jobs

import (
	"strings"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// ID names a job. The caller chooses it, so a repeated submission is the same
// job.
type ID string

// MaxPayloadBytes bounds a job's payload in bytes.
const MaxPayloadBytes = 4000

// MaxTasks bounds the tasks of one job over all steps. It keeps one job's
// progress entry far below the store's record size.
const MaxTasks = 20000

// Job is what a caller submitted.
type Job struct {
	ID       ID       `json:"id"`
	Queue    string   `json:"queue"`
	Payload  string   `json:"payload,omitempty"` // passed to each task unchanged
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// SubmittedMs is the receiving VM's time of day in Unix milliseconds. It
	// orders work only; nothing that must hold depends on it.
	SubmittedMs int64 `json:"submitted_ms,omitempty"`
}

// Schedule repeats the steps of a job at fixed times. The zero value runs them
// once, at once.
type Schedule struct {
	Occurrences int   `json:"occurrences,omitempty"`
	FirstMs     int64 `json:"first_ms,omitempty"`    // Unix milliseconds
	IntervalMs  int64 `json:"interval_ms,omitempty"` // milliseconds
}

// OccurrenceCount returns how often the steps run.
func (s Schedule) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueMs returns the Unix milliseconds at which an occurrence may start. Jobs
// without a schedule are due at once.
func (s Schedule) DueMs(occurrence int) int64 {
	if s.Occurrences == 0 {
		return 0
	}
	return s.FirstMs + int64(occurrence)*s.IntervalMs
}

// Step is a set of tasks of the same shape.
type Step struct {
	Tasks               int             `json:"tasks"`
	Resources           model.Resources `json:"need"`                    // of each task
	EstimateMs          int64           `json:"estimate_ms,omitempty"`   // the caller's guess of one task's run time
	After               []int           `json:"after,omitempty"`         // earlier steps that must be done first
	Gang                bool            `json:"gang,omitempty"`          // the tasks work only while all are present
	PreferOneRack       bool            `json:"one_rack,omitempty"`      // slower when spread over racks
	Label               string          `json:"label,omitempty"`         // a worker must have it; empty: any
	DataRack            string          `json:"data_rack,omitempty"`     // rack of the input data; slower elsewhere
	MaxPerWorker        int             `json:"max_per_worker,omitzero"` // zero: no limit
	Checkpoints         bool            `json:"checkpoints,omitempty"`   // can resume from saved progress
	Speculative         bool            `json:"copies,omitempty"`        // a task may run more than once at the same time
	LongRunning         bool            `json:"lasting,omitempty"`       // runs until the job is cancelled
	Image               string          `json:"image,omitempty"`         // tasks of one image behave alike
	TailLatencyTargetMs int64           `json:"tail_target_ms,omitzero"` // bound of a lasting task's own response times
	BestEffortCPU       bool            `json:"filler,omitempty"`        // uses CPU that others leave; its CPU isn't reserved
	MaxUnavailable      int             `json:"may_miss,omitempty"`      // lasting tasks that may be away for the system's own actions
}

// TaskRef names one task.
type TaskRef struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// State is a job's state as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome says how a run of a task ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"  // by the task's or the worker's fault
	OutcomeStopped        Outcome = "stopped" // on the scheduler's order
	OutcomeLeaseExpired   Outcome = "lapsed"  // the worker's lease ran out
	OutcomeGangBroken     Outcome = "broken"  // another member of the gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the other members did not arrive in time
)

// Queue is where jobs of one kind are handed in.
type Queue struct {
	Name          string
	Host          string // of the request
	PathPrefix    string // with a trailing slash
	Service       string // the pool of workers that runs its tasks
	Priority      int    // lower goes first
	MaxAttempts   int    // failed runs of one task that fail the job
	StretchFactor float64
	LatencyTarget time.Duration // added to StretchX times the longest chain of work
	Eligibility   Eligibility
	ReplyTimeout  time.Duration
}

// Eligibility describes the service that says which workers may run a step.
// The zero value means that any worker may.
type Eligibility struct {
	Base      time.Duration // of one call
	PerWorker time.Duration // for each worker asked about
	PermitTTL time.Duration // life of a permit
}

// Required reports whether starts need a permit.
func (e Eligibility) Required() bool { return e.PermitTTL > 0 }

// CallDuration returns the time that a call about n workers takes.
func (e Eligibility) CallDuration(n int) time.Duration { return e.Base + time.Duration(n)*e.PerWorker }

// Service is a pool of workers.
type Service struct {
	Name     string
	MaxConns int // connections to one worker
	// RejectsOverload workers refuse starts above their capacity themselves.
	RejectsOverload bool
	// Spare services hold machines that are switched off.
	Spare bool
}

// Config is one version of the operator's configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	Services     map[string]Service
	MaxBodyBytes int64 // bytes of a request body
}

// Queue returns the queue of a name, or nil.
func (c *Config) Queue(name string) *Queue {
	if c == nil {
		return nil
	}
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// WorkerInfo is a worker's entry in the platform's directory.
type WorkerInfo struct {
	Name              model.WorkerName
	Service           string
	Address           string // IP:port
	DataCentre        model.DataCentre
	Boot              int64 // Unix milliseconds of this life's start; zero if not told
	Draining          bool
	Capacity          model.Resources
	Labels            []string // that steps may ask for
	Rack              string
	WarmupRemainingMs int64 // still slow after its start for this many milliseconds
}

// Match returns the queue of a request and what follows the queue's prefix in
// its path. The longest prefix wins. It returns nil if there is none.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path+"/", q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, strings.Trim((path + "/")[len(best.PathPrefix):], "/")
}
