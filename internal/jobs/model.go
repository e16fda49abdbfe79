// Package jobs defines the data model of multi-step jobs and of the configuration, and
// the encoding of jobs in the platform's store. It holds no scheduling logic.
package jobs

import (
	"strings"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// ID identifies a job. The caller chooses it, so that a repeated submission refers to
// the same job.
type ID string

// MaxPayloadBytes is the maximum size of a job's payload.
const MaxPayloadBytes = 4000

// MaxTasks is the maximum number of tasks of a job over all steps and occurrences. It
// keeps the progress entry of a job far below the store's maximum record size.
const MaxTasks = 20000

// Job is a job as the caller submitted it.
type Job struct {
	ID       ID       `json:"id"`
	Queue    string   `json:"queue"`
	Payload  string   `json:"payload,omitempty"` // passed to each task unchanged
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// SubmittedMs is the wall-clock time of the VM that received the job, in Unix
	// milliseconds. It is used only to order work; correctness doesn't depend on it.
	SubmittedMs int64 `json:"submitted_ms,omitempty"`
}

// Schedule repeats the steps of a job at fixed times. The zero value runs them once and
// immediately.
type Schedule struct {
	Occurrences int   `json:"occurrences,omitempty"`
	FirstMs     int64 `json:"first_ms,omitempty"`    // Unix milliseconds
	IntervalMs  int64 `json:"interval_ms,omitempty"` // milliseconds
}

// OccurrenceCount returns how many times the steps run.
func (s Schedule) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueMs returns the time at which an occurrence may start, in Unix milliseconds. It is
// zero for jobs without a schedule, which may start immediately.
func (s Schedule) DueMs(occurrence int) int64 {
	if s.Occurrences == 0 {
		return 0
	}
	return s.FirstMs + int64(occurrence)*s.IntervalMs
}

// Step is a set of tasks with the same requirements.
type Step struct {
	Tasks               int             `json:"tasks"`
	Resources           model.Resources `json:"need"`                    // required by each task
	EstimateMs          int64           `json:"estimate_ms,omitempty"`   // the caller's estimate of a task's run time
	After               []int           `json:"after,omitempty"`         // indexes of earlier steps that must be done first
	Gang                bool            `json:"gang,omitempty"`          // the tasks make progress only while all of them run
	PreferOneRack       bool            `json:"one_rack,omitempty"`      // the tasks are slower when spread over racks
	Label               string          `json:"label,omitempty"`         // label that the worker must have; empty: any worker
	DataRack            string          `json:"data_rack,omitempty"`     // rack of the input data; tasks are slower elsewhere
	MaxPerWorker        int             `json:"max_per_worker,omitzero"` // zero: no limit
	Checkpoints         bool            `json:"checkpoints,omitempty"`   // tasks can resume from a checkpoint
	Speculative         bool            `json:"copies,omitempty"`        // a task may run more than once concurrently
	LongRunning         bool            `json:"lasting,omitempty"`       // tasks run until the job is cancelled
	Image               string          `json:"image,omitempty"`         // tasks with the same image are expected to behave alike
	TailLatencyTargetMs int64           `json:"tail_target_ms,omitzero"` // bound on the response times of a long-running task
	BestEffortCPU       bool            `json:"filler,omitempty"`        // tasks use spare CPU; none is reserved for them
	MaxUnavailable      int             `json:"may_miss,omitempty"`      // long-running tasks that the scheduler may take down at a time
}

// TaskRef identifies a task.
type TaskRef struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// State is the state of a job as reported to callers.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome is how a run of a task ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"  // because of the task or the worker
	OutcomeStopped        Outcome = "stopped" // by the scheduler
	OutcomeLeaseExpired   Outcome = "lapsed"  // the worker's lease expired
	OutcomeGangBroken     Outcome = "broken"  // another member of the gang ended first
	OutcomeGangIncomplete Outcome = "alone"   // the other members of the gang did not start in time
)

// Queue is the configuration of a queue, to which callers submit jobs of one kind.
type Queue struct {
	Name          string        `json:"name"`
	Host          string        `json:"host"`         // host name in requests
	PathPrefix    string        `json:"path_prefix"`  // path of requests, with a trailing slash
	Service       string        `json:"service"`      // name of the pool of workers that run the tasks
	Priority      int           `json:"priority"`     // lower values are scheduled first
	MaxAttempts   int           `json:"max_attempts"` // number of failed runs of one task that fails the job
	StretchFactor float64       `json:"stretch"`      // multiplies a job's critical path in its target latency
	LatencyTarget time.Duration `json:"latency_ns"`   // added to StretchFactor times the critical path
	Eligibility   Eligibility   `json:"eligibility"`
	ReplyTimeout  time.Duration `json:"reply_timeout_ns"`
}

// Eligibility describes the eligibility service of a queue, which decides which workers
// may run a step. With the zero value, any worker may run any step.
type Eligibility struct {
	Base      time.Duration `json:"base_ns"`       // fixed part of the duration of a call
	PerWorker time.Duration `json:"per_worker_ns"` // added for each worker in the call
	PermitTTL time.Duration `json:"permit_ttl_ns"` // validity of a permit
}

// Required reports whether a start needs a permit.
func (e Eligibility) Required() bool { return e.PermitTTL > 0 }

// CallDuration returns the expected duration of a call for n workers.
func (e Eligibility) CallDuration(n int) time.Duration { return e.Base + time.Duration(n)*e.PerWorker }

// Service is a pool of workers.
type Service struct {
	Name     string
	MaxConns int // maximum number of connections to one worker
	// RejectsOverload says that workers reject starts that exceed their capacity.
	RejectsOverload bool
	// Spare says that the workers are machines that are switched off.
	Spare bool
}

// Config is one version of the operator's configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	Services     map[string]Service
	MaxBodyBytes int64 // maximum size of a request body
}

// Queue returns the queue with a name, or nil.
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

// WorkerInfo is the entry of a worker in the platform's directory.
type WorkerInfo struct {
	Name              model.WorkerName
	Service           string
	Address           string // IP:port
	DataCentre        model.DataCentre
	Boot              int64 // start time of the worker process in Unix milliseconds; zero if unknown
	Draining          bool
	Capacity          model.Resources
	Labels            []string // labels that steps may require
	Rack              string
	WarmupRemainingMs int64 // time for which the worker is still slow after its start, in milliseconds
}

// Match returns the queue of a request, and the part of the path after the queue's
// prefix. The longest matching prefix wins. It returns nil if no queue matches.
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
