// Package eligibility decides which instance asks the eligibility service about a step,
// and about how many workers.
//
// The service answers one call at a time for each instance, and a call for batch work
// can take half a second. At peak load many steps a second need an answer, so calls are
// distributed over all instances. Some instances are reserved for quick calls, so that
// urgent work never waits behind a slow one.
package eligibility

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Instance is an instance that can call the eligibility service.
type Instance struct {
	Up       bool
	InFlight int        // calls in flight
	FreeAt   model.Time // when its calls in flight are expected to be answered
}

const (
	// maxQuickCost is the longest expected duration of a quick call. A quick call takes
	// a small part of the slack of urgent work.
	maxQuickCost = 40 * time.Millisecond
	// quickOnlyDivisor means that one in so many instances takes quick calls only.
	quickOnlyDivisor = 3
	// maxQuickCalls and maxSlowCalls bound the calls in flight of one instance.
	maxQuickCalls = 3
	maxSlowCalls  = 1
)

// Choose returns the index of the instance that is to make a call of the given expected
// duration, or -1 if all are busy. The first instances are the ones reserved for quick
// calls.
func Choose(now model.Time, instances []Instance, cost time.Duration) int {
	up := 0
	for i := range instances {
		if instances[i].Up {
			up++
		}
	}
	reserved := up / quickOnlyDivisor
	quick := cost <= maxQuickCost
	limit := maxSlowCalls
	if quick {
		limit = maxQuickCalls
	}
	best, seen := -1, 0
	for i := range instances {
		inst := &instances[i]
		if !inst.Up {
			continue
		}
		seen++
		if inst.InFlight >= limit || !quick && seen <= reserved {
			continue
		}
		if best < 0 || max(inst.FreeAt, now) < max(instances[best].FreeAt, now) {
			best = i
		}
	}
	return best
}

const (
	// minWorkers and maxWorkers bound the workers of one call; the service accepts at
	// most a hundred.
	minWorkers = 8
	maxWorkers = 36
	// maxCalls bounds the simultaneous calls for one step. They suffice for a gang that
	// takes half of the cores of 400 workers, of which a third is eligible.
	maxCalls = 16
	// oversampling is the factor by which a call asks about more workers than should
	// suffice.
	oversampling = 1.5
)

// WorkerCount returns about how many workers to ask for a number of tasks, if perWorker
// of them fit on one worker and the given share of the workers is eligible. Split says
// how many calls that takes.
func WorkerCount(tasks, perWorker int, share float64) int {
	workers := (tasks + perWorker - 1) / max(1, perWorker)
	n := int(oversampling*float64(workers)/max(share, 0.1)) + 2
	return min(max(n, minWorkers), maxCalls*maxWorkers)
}

// Split returns the numbers of workers of the simultaneous calls that ask about the
// given number of workers in all. The calls are of about the same size, since the step
// waits for the slowest.
func Split(workers int) []int {
	calls := (workers + maxWorkers - 1) / maxWorkers
	sizes := make([]int, calls)
	for i := range sizes {
		sizes[i] = workers / calls
		if i < workers%calls {
			sizes[i]++
		}
	}
	return sizes
}
