// Package preempt chooses the runs that are stopped for work that must not wait.
//
// It handles the loss of a worker with tasks that last beside a service that is full of batch
// work: their users miss them all the time, and batch tasks may run for much longer than these
// tasks may be away. What is stopped is what costs callers least to do again.
package preempt

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Run is a run that may be stopped.
type Run struct {
	Need model.Resources
	Cost float64 // core-seconds of work that are lost if it is stopped
}

// Cheapest returns the runs of one worker that are to be stopped, as indices, so that need fits
// into its free resources, and their cost. It returns false if stopping all of them is not enough.
// None of the chosen runs can be left out.
func Cheapest(need, free model.Resources, runs []Run) (chosen []int, cost float64, ok bool) {
	order := make([]int, len(runs))
	for i := range order {
		order[i] = i
	}
	perCore := func(i int) float64 { return runs[i].Cost / float64(max(1, runs[i].Need.MilliCPU)) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(perCore(a), perCore(b)) })
	for _, i := range order {
		if need.Fits(free) {
			break
		}
		chosen = append(chosen, i)
		free = free.Add(runs[i].Need)
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	// A cheap run that was chosen first may not be needed beside a larger one.
	slices.SortStableFunc(chosen, func(a, b int) int { return -cmp.Compare(runs[a].Cost, runs[b].Cost) })
	kept := chosen[:0]
	for _, i := range chosen {
		if without := free.Sub(runs[i].Need); need.Fits(without) {
			free = without
			continue
		}
		kept = append(kept, i)
		cost += runs[i].Cost
	}
	return kept, cost, true
}
