// Package load sends open-loop load to running instances and reports outcomes and
// latencies as seen by the callers.
//
// All arrivals are planned from the seed of the profile before the first one is sent. Each
// arrival is sent at its intended time, whether or not earlier ones have been answered,
// and its latency is measured from the intended time. A slow server therefore neither
// reduces the load nor hides its own delays (coordinated omission).
package load

import (
	"os"
	"time"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

// MaxBytes is the maximum size of a profile. The sample profiles have a few KB.
const MaxBytes = 256 << 10

// Limits of a run. They prevent a mistake in a profile from exhausting the machine.
const (
	maxArrivals    = 2_000_000        // each takes about 100 bytes in the plan
	maxConcurrency = 10_000           // calls in flight; each takes a connection and a goroutine
	maxDuration    = 30 * time.Minute // total of all phases
	maxJobTasks    = 100_000
)

// Profile describes one run of the load generator.
type Profile struct {
	Name        string        `json:"name"`
	Seed        int64         `json:"seed"`
	MaxArrivals int           `json:"max_arrivals"` // further arrivals are left out of the plan
	Concurrency int           `json:"concurrency"`  // maximum number of calls in flight; further arrivals are counted as dropped
	Timeout     time.Duration `json:"timeout"`      // of one call, from the time it is sent
	Drain       time.Duration `json:"drain"`        // maximum wait for queued jobs to end after the last phase
	Warmup      time.Duration `json:"warmup"`       // arrivals of this initial period are sent but not reported in the rows
	Phases      []Phase       `json:"phases"`
	Mix         []Work        `json:"mix"`  // work that arrives during the phases
	QueuedJobs  []Work        `json:"jobs"` // jobs that are queued before the first phase
	CancelWaves []CancelWave  `json:"cancel_waves"`
}

// Phase is a period with a given mean rate of arrivals.
type Phase struct {
	Name     string        `json:"name"`
	Duration time.Duration `json:"duration"`
	Rate     float64       `json:"rate"` // arrivals per second, summed over the mix
	Ramp     time.Duration `json:"ramp"` // initial period in which the rate changes linearly from the previous phase's rate
}

// Work describes one kind of work of the mix or of the queued jobs.
type Work struct {
	Service    string           `json:"service"`
	Operation  string           `json:"operation"`
	Weight     float64          `json:"weight"` // relative share of the mix
	Count      int              `json:"count"`  // number of queued jobs
	RunTime    Distribution     `json:"run"`
	Stragglers Stragglers       `json:"stragglers"`
	Usage      UsageDeviation   `json:"usage"`
	Resources  *model.Resources `json:"resources"`   // declared instead of the service's resources
	Deadline   time.Duration    `json:"deadline"`    // 0: the service's deadline
	KeyedShare float64          `json:"keyed_share"` // fraction of the arrivals that carry a new idempotency key
	AsJob      bool             `json:"job"`         // submitted as a job and polled until it ends
	Tasks      int              `json:"tasks"`       // number of tasks of a job
}

// CancelWave cancels a part of the queued jobs at the same time. The time counts from the
// start of the first phase.
type CancelWave struct {
	At    time.Duration `json:"at"`
	Share float64       `json:"share"` // fraction of the queued jobs that have not ended
}

// Distribution is the distribution of run times.
type Distribution struct {
	Kind string        `json:"kind"`
	Mean time.Duration `json:"mean"` // used by fixed and exponential
	Min  time.Duration `json:"min"`  // used by pareto
	Max  time.Duration `json:"max"`  // used by pareto; optional bound of exponential
	// Shape is the tail index of a pareto distribution. Below 2, the longest run times
	// dominate the sum.
	Shape float64 `json:"shape"`
}

// Values of Distribution.Kind.
const (
	KindFixed       = "fixed"
	KindExponential = "exponential"
	KindPareto      = "pareto"
)

// Stragglers describes the part of the work whose run time is multiplied by a factor.
type Stragglers struct {
	Share     float64 `json:"share"`
	Factor    float64 `json:"factor"`
	Operation string  `json:"operation"` // operation of stragglers; empty: the operation of the work
}

// UsageDeviation describes the part of the work that uses other amounts of resources than
// it declares.
type UsageDeviation struct {
	Share  float64          `json:"share"`
	Actual *model.Resources `json:"actual"`
}

// ReadError reports a profile that can't be read.
type ReadError struct{ Cause error }

func (e *ReadError) Error() string { return "read profile: " + e.Cause.Error() }

// Unwrap returns the error of the file system.
func (e *ReadError) Unwrap() error { return e.Cause }

// Code returns model.CodeBadRequest.
func (e *ReadError) Code() model.Code { return model.CodeBadRequest }

// ReadProfile reads and parses a profile file. The error is a *ReadError or a
// *jsonc.Errors.
func ReadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{err}
	}
	return Parse(data)
}

// Parse parses and validates a profile. The error is a *jsonc.Errors with all errors
// found.
func Parse(data []byte) (*Profile, error) {
	p := &Profile{
		// The defaults are sized for one data centre with its share of the target load.
		Seed: 1, MaxArrivals: 500_000, Concurrency: 4_000,
		Timeout: 30 * time.Second, Drain: time.Minute,
	}
	d := jsonc.Decode(data, MaxBytes, p)
	if !d.Broken() {
		checker{d, p}.check()
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return p, nil
}
