// Package standin holds small fakes of the platform's log, its VM list and its
// workers, for tests and trials. They are usable directly, with virtual time
// and no goroutine, or over HTTP on real sockets. Faults can be switched on
// and off while they run.
package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Clock returns the time since an arbitrary start. It never goes back.
type Clock func() time.Duration

// RealClock returns a monotonic clock that starts at the current Unix time, so
// that times of several processes of one machine can be compared.
func RealClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Duration(start.UnixNano()) + time.Since(start) }
}

// VirtualClock is a clock that moves only by Advance. It is safe for
// concurrent use.
type VirtualClock struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the current virtual time.
func (c *VirtualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward. Work that has become due is carried out,
// with its exact time, at the next call to the fake that owns it.
func (c *VirtualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// Codes of FaultError.
const (
	CodeOutage     model.Code = "outage"      // the call had no effect
	CodeCut        model.Code = "cut"         // the caller's data centre is cut off; no effect
	CodeAnswerLost model.Code = "answer_lost" // the call took effect, its answer was dropped
)

// FaultError is the cause of an error that a fault switch made.
type FaultError struct{ Code model.Code }

func (e *FaultError) Error() string { return "stand-in fault: " + string(e.Code) }

// CallFaults switches faults that the log and the workers have in common. A
// nil field leaves its switch as it is.
type CallFaults struct {
	DelayMS         *int64   `json:"delay_ms,omitempty"`         // before each call; over HTTP only
	LoseProbability *float64 `json:"lose_probability,omitempty"` // of losing the answer of a call that took effect
	LoseNext        *int     `json:"lose_next,omitempty"`        // lose the answers of the next N appends, starts and controls
	Outage          *bool    `json:"outage,omitempty"`           // calls fail without effect
	Silence         bool     `json:"silence,omitempty"`          // the connections that are open now are never answered again; over HTTP only
}

// Faults holds the state of the fault switches of one server.
type Faults struct {
	mu     sync.Mutex
	rng    *rand.Rand
	delay  time.Duration
	lose   float64
	next   int
	outage bool
	cut    map[model.DataCentre]bool
	opened uint64 // connections accepted so far
	silent uint64 // connections up to this number are silent
}

func newFaults(seed uint64) *Faults {
	return &Faults{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[model.DataCentre]bool{}}
}

// Set changes switches.
func (f *Faults) Set(s CallFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.DelayMS != nil {
		f.delay = time.Duration(*s.DelayMS) * time.Millisecond
	}
	if s.LoseProbability != nil {
		f.lose = *s.LoseProbability
	}
	if s.LoseNext != nil {
		f.next = *s.LoseNext
	}
	if s.Outage != nil {
		f.outage = *s.Outage
	}
	if s.Silence {
		f.silent = f.opened
	}
}

// Cut replaces the set of data centres that can't reach this server.
func (f *Faults) Cut(dcs ...model.DataCentre) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[model.DataCentre]bool{}
	for _, dc := range dcs {
		f.cut[dc] = true
	}
}

// blocked returns the fault that keeps a call from having any effect, or nil.
func (f *Faults) blocked(dc model.DataCentre) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.cut[dc]:
		return &FaultError{Code: CodeCut}
	case f.outage:
		return &FaultError{Code: CodeOutage}
	}
	return nil
}

// lost decides whether the answer of a call that took effect gets lost.
// Counted losses apply to calls that change something, so that a test can aim
// at one append or start while long polls are open.
func (f *Faults) lost(dc model.DataCentre, changes bool) error {
	if err := f.blocked(dc); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes && f.next > 0 {
		f.next--
		return &FaultError{Code: CodeAnswerLost}
	}
	if f.lose > 0 && f.rng.Float64() < f.lose {
		return &FaultError{Code: CodeAnswerLost}
	}
	return nil
}

// accepted numbers a new connection.
func (f *Faults) accepted() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opened++
	return f.opened
}

func (f *Faults) isSilent(conn uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return conn <= f.silent
}

func (f *Faults) delayed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}
