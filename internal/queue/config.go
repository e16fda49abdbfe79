package queue

import "time"

// Config holds the parameters of the scheduling policy. A zero field takes its default.
type Config struct {
	MaxStragglerShare float64       // fraction of all slots that stragglers may hold
	StragglerFactor   float64       // a task is a straggler once it runs longer than this multiple of its class's median
	MinSamples        int           // observed run times required before a median is used
	MaxOperations     int           // operations with statistics; the least recently used is evicted
	MaxFlows          int           // limit on flows; above it, items of one service share a flow
	DefaultDeadline   time.Duration // time from arrival to the deadline assumed for work without one
	HeadroomMargin    float64       // headroom above the highest recent demand, as a fraction of that demand
	HeadroomDecay     time.Duration // time in which the recorded peak demand decays to 37%
	// FIFO replaces the policy by a baseline for comparisons: one queue over all classes
	// in order of arrival, without a straggler share, headroom, prioritized jobs or wait
	// prediction.
	FIFO bool
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		// In bursts, 0.2 raises the p99 wait of short work to 1.4 times that without
		// stragglers; 0.25 raises it to 1.55 times, above the target of 1.5.
		MaxStragglerShare: 0.2,
		// The design page defines a straggler by this factor.
		StragglerFactor: 10,
		// Fewer samples can all stem from one unusual input.
		MinSamples: 8,
		// Enough for 290 teams with a few operations each, at about 0.6 KB per operation.
		MaxOperations: 2048,
		// Bounds the cost of a pass, which visits every flow.
		MaxFlows: 4096,
		// Overnight work is expected to finish by the next day.
		DefaultDeadline: 24 * time.Hour,
		// Covers the start of a demand swing until batch work has been preempted.
		HeadroomMargin: 0.25,
		// Demand swings within seconds and recurs within minutes.
		HeadroomDecay: 10 * time.Minute,
	}
}

// withDefaults returns c with its unset fields replaced by the defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.MaxStragglerShare, d.MaxStragglerShare)
	setDefault(&c.StragglerFactor, d.StragglerFactor)
	setDefault(&c.MinSamples, d.MinSamples)
	setDefault(&c.MaxOperations, d.MaxOperations)
	setDefault(&c.MaxFlows, d.MaxFlows)
	setDefault(&c.DefaultDeadline, d.DefaultDeadline)
	setDefault(&c.HeadroomMargin, d.HeadroomMargin)
	setDefault(&c.HeadroomDecay, d.HeadroomDecay)
	return c
}

// setDefault sets *v to def unless *v is positive.
func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
