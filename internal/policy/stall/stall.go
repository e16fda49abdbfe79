// Package stall detects workers that run all tasks slowly or not at all, from the
// progress of their runs.
//
// It handles workers that accept work and renewals while their tasks make no progress,
// or that are several times slower for some seconds. A single run is not conclusive,
// since declared run times are inaccurate and a few tasks run many times longer; the
// median of several runs is.
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

// Verdict is the assessment of a worker.
type Verdict int

// The verdicts, in the order of severity.
const (
	Unknown Verdict = iota // too few runs, or too early
	Healthy
	Slow    // the worker gets no new work for a while
	Stalled // its runs should be restarted elsewhere
)

const (
	// minElapsed and minExpectedPercent are the least elapsed time and the least
	// expected progress at which a run counts.
	minElapsed         = 500 * time.Millisecond
	minExpectedPercent = 10.0
	// minSamples is the smallest number of runs that allows a verdict.
	minSamples = 3
	// slowRatio and stalledRatio of the expected progress separate the verdicts.
	slowRatio    = 0.3
	stalledRatio = 0.04
)

// Evaluate returns the verdict on a worker with the given runs.
func Evaluate(samples []Sample) Verdict {
	var ratios []float64
	for _, s := range samples {
		if s.Elapsed < minElapsed || s.Expected <= 0 {
			continue
		}
		expected := 100 * float64(s.Elapsed) / float64(s.Expected)
		if expected < minExpectedPercent {
			continue
		}
		ratios = append(ratios, float64(s.Percent)/min(expected, 100))
	}
	if len(ratios) < minSamples {
		return Unknown
	}
	slices.Sort(ratios)
	switch median := ratios[len(ratios)/2]; {
	case median < stalledRatio:
		return Stalled
	case median < slowRatio:
		return Slow
	}
	return Healthy
}
