// Package eligibility decides which instance asks the eligibility service
// about a step, and about how many workers.
//
// The service answers one call at a time for each instance, and a call for
// batch work can take half a second. It answers many steps a second at a
// crest: calls are spread over all instances, and some instances are kept for
// quick calls, so that urgent work never waits behind a slow one.
package eligibility

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Instance is an instance that can ask.
type Instance struct {
	Up       bool
	InFlight int        // in flight
	FreeAt   model.Time // when its calls in flight should be answered
}

const (
	// quickCost separates quick calls from slow ones. A quick one takes a small
	// part of the slack of urgent work.
	quickCost = 40 * time.Millisecond
	// quickShare of the advisors, one in this many, take quick calls only.
	quickShare = 3
	// maxQuickCalls and maxSlowCalls bound the calls in flight of one advisor.
	maxQuickCalls = 3
	maxSlowCalls  = 1
)

// Choose returns the index of the advisor that is to make a call of a given
// cost, or -1 if all are busy. The first advisors are those kept for quick
// calls.
func Choose(now model.Time, advisors []Instance, cost time.Duration) int {
	up := 0
	for i := range advisors {
		if advisors[i].Up {
			up++
		}
	}
	reserved := up / quickShare
	quick := cost <= quickCost
	limit := maxSlowCalls
	if quick {
		limit = maxQuickCalls
	}
	best, seen := -1, 0
	for i := range advisors {
		a := &advisors[i]
		if !a.Up {
			continue
		}
		seen++
		if a.InFlight >= limit || !quick && seen <= reserved {
			continue
		}
		if best < 0 || max(a.FreeAt, now) < max(advisors[best].FreeAt, now) {
			best = i
		}
	}
	return best
}

const (
	// minAsked and maxAsked bound the workers of one call; the service takes at
	// most a hundred.
	minAsked = 8
	maxAsked = 36
	// spare is how many more workers are asked about than should suffice.
	spare = 1.5
)

// WorkerCount returns about how many workers to ask for a number of tasks of which
// perWorker fit on one, if a share of the workers is eligible.
func WorkerCount(tasks, perWorker int, share float64) int {
	workers := (tasks + perWorker - 1) / max(1, perWorker)
	n := int(spare*float64(workers)/max(share, 0.1)) + 2
	return min(max(n, minAsked), maxAsked)
}
