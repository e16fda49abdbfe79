// Package stall finds workers that run everything slowly or not at all, by the
// progress of their runs.
//
// It answers workers that accept work and heartbeats while their tasks stand
// still, or that are several times slower for some seconds. A single run tells
// little, since declared run times are wrong and a few tasks run many times
// longer; the middle one of several does.
package stall

import (
	"slices"
	"time"
)

// Sample is the progress of one run.
type Sample struct {
	Elapsed  time.Duration // since its start
	Expected time.Duration // of the whole run
	Percent  int           // of its work that is done
}

// Verdict is what the runs of a worker say about it.
type Verdict int

// The verdicts.
const (
	Unknown Verdict = iota // too few runs, or too early
	Healthy
	Slow    // gets no new work for a while
	Stalled // its runs are better started elsewhere
)

const (
	// minElapsed and minExpected are what a run must have had, and should have
	// done, for its progress to count.
	minElapsed  = 500 * time.Millisecond
	minExpected = 10.0 // percent
	// minSamples runs are needed for a verdict.
	minSamples = 3
	// slowShare and stalledShare of the expected progress separate the verdicts.
	slowShare    = 0.3
	stalledShare = 0.04
)

// Evaluate returns the verdict on a worker with these runs.
func Evaluate(samples []Sample) Verdict {
	var shares []float64
	for _, s := range samples {
		if s.Elapsed < minElapsed || s.Expected <= 0 {
			continue
		}
		expected := 100 * float64(s.Elapsed) / float64(s.Expected)
		if expected < minExpected {
			continue
		}
		shares = append(shares, float64(s.Percent)/min(expected, 100))
	}
	if len(shares) < minSamples {
		return Unknown
	}
	slices.Sort(shares)
	switch middle := shares[len(shares)/2]; {
	case middle < stalledShare:
		return Stalled
	case middle < slowShare:
		return Slow
	}
	return Healthy
}
