// Package eligibility decides which instance asks the eligibility service about a step,
// and about how many workers.
//
// The service answers one call at a time for each instance, and a call for batch work
// can take half a second. At peak load many steps a second need an answer, so calls are
// distributed over all instances. Some instances are reserved for quick calls, so that
// urgent work never waits behind a slow one.
package eligibility

import (
	"math"
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
	limit := maxCallsOf(quick)
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

func maxCallsOf(quick bool) int {
	if quick {
		return maxQuickCalls
	}
	return maxSlowCalls
}

// FreeCalls returns how many calls of the given expected duration the instances can make
// now, and how many they can make when none is in flight.
func FreeCalls(instances []Instance, cost time.Duration) (free, total int) {
	up := 0
	for i := range instances {
		if instances[i].Up {
			up++
		}
	}
	quick := cost <= maxQuickCost
	limit, reserved := maxCallsOf(quick), up/quickOnlyDivisor
	if quick {
		reserved = 0
	}
	seen := 0
	for i := range instances {
		if !instances[i].Up {
			continue
		}
		if seen++; seen > reserved {
			free += max(0, limit-instances[i].InFlight)
			total += limit
		}
	}
	return free, total
}

const (
	// MinWorkers and MaxWorkers bound the workers of one call; the service accepts at
	// most a hundred.
	MinWorkers = 8
	MaxWorkers = 36
	// maxCalls bounds the simultaneous calls for one step. They suffice for a gang that
	// takes half of the cores of 400 workers, of which a third is eligible.
	maxCalls = 16
	// Oversampling is the factor by which a call asks about more workers than should
	// suffice.
	Oversampling = 1.5
	// confidence is the number of standard deviations by which the permits of a call
	// should suffice. Another call delays the step by most of its slack.
	confidence = 1.5
)

// WorkerCount returns about how many workers to ask for a number of tasks, if perWorker
// of them fit on one worker and the given share of the workers is eligible. Split says
// how many calls that takes.
func WorkerCount(tasks, perWorker int, share float64) int {
	workers := (tasks + perWorker - 1) / max(1, perWorker)
	n := int(Oversampling*float64(workers)/max(share, 0.1)) + 2
	return min(max(n, MinWorkers), maxCalls*MaxWorkers)
}

// Draw is the number of tasks for which a set of workers has permits after calls about
// them, as a random number.
type Draw struct{ mean, variance float64 }

// Add adds a worker with room for a number of tasks that is eligible with the given
// probability.
func (d *Draw) Add(probability float64, room int) {
	r := float64(room)
	d.mean += probability * r
	d.variance += probability * (1 - probability) * r * r
}

// Expected returns the mean of the number of tasks.
func (d *Draw) Expected() float64 { return d.mean }

// Suffices reports whether there are almost certainly permits for a number of tasks, and
// usually for some more, since other work takes a part of the room during the calls.
func (d *Draw) Suffices(tasks int) bool {
	return d.mean >= Oversampling*float64(tasks) && d.mean-confidence*math.Sqrt(d.variance) >= float64(tasks)
}

// Split returns the numbers of workers of the simultaneous calls that ask about the
// given number of workers in all. The calls are of about the same size, since the step
// waits for the slowest.
func Split(workers int) []int {
	calls := (workers + MaxWorkers - 1) / MaxWorkers
	sizes := make([]int, calls)
	for i := range sizes {
		sizes[i] = workers / calls
		if i < workers%calls {
			sizes[i]++
		}
	}
	return sizes
}
