// Package load sends open-loop load to running instances and reports what
// their callers saw.
//
// Every arrival is planned from the profile's seed before the first one is
// sent. It is sent at its intended time whether or not earlier ones were
// answered, and its latency counts from the intended time, so that a slow
// server does not slow the load down and hide its own delays.
package load

import (
	"os"
	"time"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

// MaxBytes bounds a profile. The samples take a few KB.
const MaxBytes = 256 << 10

// Bounds of a run, so that a mistake in a profile can't exhaust the machine.
const (
	maxArrivals    = 2_000_000        // about 100 bytes each while they are planned
	maxConcurrency = 10_000           // open calls; each takes a connection and a goroutine
	maxDuration    = 30 * time.Minute // of all phases
	maxJobTasks    = 100_000
)

// Profile describes one run of the load tool.
type Profile struct {
	Name        string        `json:"name"`
	Seed        int64         `json:"seed"`
	MaxArrivals int           `json:"max_arrivals"` // planned arrivals above it are left out
	Concurrency int           `json:"concurrency"`  // open calls; arrivals above it are counted as dropped
	Timeout     time.Duration `json:"timeout"`      // of a call, from its sending
	Drain       time.Duration `json:"drain"`        // wait for the ends of jobs after the last phase
	Warmup      time.Duration `json:"warmup"`       // arrivals of this first part are sent but not reported
	Phases      []Phase       `json:"phases"`
	Mix         []Work        `json:"mix"`  // what arrives during the phases
	QueuedJobs  []Work        `json:"jobs"` // what is queued before the first phase
	CancelWaves []CancelWave  `json:"cancel_waves"`
}

// Phase is a time with a mean rate of arrivals.
type Phase struct {
	Name     string        `json:"name"`
	Duration time.Duration `json:"duration"`
	Rate     float64       `json:"rate"` // arrivals a second, over all of the mix
	Ramp     time.Duration `json:"ramp"` // time in which the rate changes from that of the phase before
}

// Work describes one kind of work.
type Work struct {
	Service    string           `json:"service"`
	Operation  string           `json:"operation"`
	Weight     float64          `json:"weight"` // share of the mix
	Count      int              `json:"count"`  // of queued jobs
	RunTime    Distribution     `json:"run"`
	Stragglers Stragglers       `json:"stragglers"`
	Usage      UsageDeviation   `json:"usage"`
	Resources  *model.Resources `json:"resources"`   // declared in place of the service's
	Deadline   time.Duration    `json:"deadline"`    // zero: the service's
	KeyedShare float64          `json:"keyed_share"` // part that carries a fresh key
	AsJob      bool             `json:"job"`         // submitted as a job and polled until its end
	Tasks      int              `json:"tasks"`       // of a job
}

// CancelWave cancels a part of the queued jobs at once. The time counts from the
// first phase's start.
type CancelWave struct {
	At    time.Duration `json:"at"`
	Share float64       `json:"share"` // of the queued jobs that have not ended
}

// Distribution says how run times are drawn.
type Distribution struct {
	Kind string        `json:"kind"`
	Mean time.Duration `json:"mean"` // fixed and exponential
	Min  time.Duration `json:"min"`  // pareto
	Max  time.Duration `json:"max"`  // pareto, and a bound of exponential
	// Shape is the tail index of a pareto distribution; below 2 the tail
	// dominates the sum.
	Shape float64 `json:"shape"`
}

// The kinds of distribution.
const (
	KindFixed       = "fixed"
	KindExponential = "exponential"
	KindPareto      = "pareto"
)

// Stragglers are a part of the work whose run time is multiplied.
type Stragglers struct {
	Share     float64 `json:"share"`
	Factor    float64 `json:"factor"`
	Operation string  `json:"operation"` // given to stragglers in place of the work's own; empty: the same
}

// UsageDeviation makes a part of the work use other amounts than it declares.
type UsageDeviation struct {
	Share  float64          `json:"share"`
	Actual *model.Resources `json:"actual"`
}

// ReadError reports a profile that can't be read.
type ReadError struct{ Cause error }

func (e *ReadError) Error() string { return "read profile: " + e.Cause.Error() }

// Unwrap returns the file system's error.
func (e *ReadError) Unwrap() error { return e.Cause }

// Code returns model.CodeBadRequest.
func (e *ReadError) Code() model.Code { return model.CodeBadRequest }

// ReadProfile reads and parses a profile. The error is a *ReadError or a
// *jsonc.Errors.
func ReadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{err}
	}
	return Parse(data)
}

// Parse parses and checks a profile. The error is a *jsonc.Errors that lists
// every error found.
func Parse(data []byte) (*Profile, error) {
	p := &Profile{
		// The defaults suit one data centre at its share of the target size.
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
