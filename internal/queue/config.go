package queue

import "time"

// Config holds the policy's parameters. Zero fields take the default.
type Config struct {
	MaxStragglerShare float64       // part of all slots that stragglers may hold
	StragglerFactor   float64       // a straggler runs longer than this times its class's median
	MinSamples        int           // observed run times before a median is trusted
	MaxOperations     int           // operations with statistics; the least recently used goes first
	MaxFlows          int           // distinct demands kept in queues of their own
	DefaultDeadline   time.Duration // deadline assumed for work that names none
	HeadroomMargin    float64       // headroom above the highest recent demand, as a part of it
	HeadroomDecay     time.Duration // time in which the remembered demand falls to 37%
	// FIFO exists for comparisons: one queue over all classes in the order
	// of arrival, without a share of stragglers, headroom, raised jobs or a
	// predicted wait.
	FIFO bool
}

// DefaultConfig returns the parameters used where an operator sets none.
func DefaultConfig() Config {
	return Config{
		// With a fifth, the p99 wait of short work in bursts measured 1.4 times
		// that without stragglers; a quarter gave 1.55, above the target of 1.5.
		MaxStragglerShare: 0.2,
		// The design page's definition of a straggler.
		StragglerFactor: 10,
		// Fewer samples than this can all come from one unusual input.
		MinSamples: 8,
		// 290 teams with a few operations each; about 0.6 KB per operation.
		MaxOperations: 2048,
		// One pass visits every flow, so this bounds its cost.
		MaxFlows: 4096,
		// Overnight work is expected by the next day at the latest.
		DefaultDeadline: 24 * time.Hour,
		// Room for the start of a swing, until batch work has made way.
		HeadroomMargin: 0.25,
		// Demand swings within seconds but returns within minutes.
		HeadroomDecay: 10 * time.Minute,
	}
}

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	set(&c.MaxStragglerShare, d.MaxStragglerShare)
	set(&c.StragglerFactor, d.StragglerFactor)
	set(&c.MinSamples, d.MinSamples)
	set(&c.MaxOperations, d.MaxOperations)
	set(&c.MaxFlows, d.MaxFlows)
	set(&c.DefaultDeadline, d.DefaultDeadline)
	set(&c.HeadroomMargin, d.HeadroomMargin)
	set(&c.HeadroomDecay, d.HeadroomDecay)
	return c
}

// set gives *v the value def if it is not positive.
func set[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
