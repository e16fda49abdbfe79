// Package fit chooses the workers of tasks.
//
// It handles wide and narrow tasks that share workers at peak load. Each task is placed
// on the worker where the least CPU remains (best fit), so that whole workers stay free
// for wide tasks. Work that is not urgent leaves headroom on each worker for urgent
// tasks that arrive soon after. Small tasks that last are distributed in batches, so that the
// crash of one worker ends few of them.
package fit

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Candidate is a worker that may run a task.
type Candidate struct {
	Index    int // position in the caller's list
	Free     model.Resources
	Capacity model.Resources
	Rack     string
	// TaskLimit is how many more tasks of the step the worker may get, independently of
	// its free resources; negative: no limit.
	TaskLimit int
	// Penalty is added to the score, in millicores.
	Penalty int64
	// Lasting is the number of tasks that last at the worker.
	Lasting int
}

// Demand is what the tasks of one step need.
type Demand struct {
	Need model.Resources // of each task
	// Headroom is CPU that must stay free, in millicores.
	Headroom int64
	DataRack string // rack in which tasks run faster; empty if there is none
	OneRack  bool   // tasks run faster when all are in one rack
	// Lasting says that the tasks last.
	Lasting bool
}

// lastingBatch is the number of tasks that last up to which a worker is filled before the
// next one gets any. All that a worker runs is lost with it, and has to be started again
// within seconds. Tasks of more than a sixth of a core never reach it.
const lastingBatch = 100

// lastingBatchPenalty is added to the score for each batch at a worker, in millicores. It is
// more than any worker has.
const lastingBatchPenalty = 1 << 40

// remoteDataPenalty is added to the score of workers outside the rack with the data, in
// millicores of unused CPU. Tasks run half as long again there, which wastes about as
// much.
const remoteDataPenalty = 4000

func fits(d Demand, c *Candidate) bool {
	if c.TaskLimit == 0 {
		return false
	}
	free := c.Free
	free.MilliCPU -= d.Headroom
	// Slots and connections do not limit these tasks.
	return d.Need.MilliCPU <= free.MilliCPU && d.Need.MemoryMB <= free.MemoryMB && d.Need.Accelerators <= free.Accelerators
}

func score(d Demand, c *Candidate) int64 {
	s := c.Free.MilliCPU - d.Need.MilliCPU + c.Penalty
	if d.DataRack != "" && c.Rack != d.DataRack {
		s += remoteDataPenalty
	}
	if d.Lasting {
		s += int64(c.Lasting/lastingBatch) * lastingBatchPenalty
	}
	return s
}

// completesBatch reports whether the last task that a candidate got has filled a batch.
func completesBatch(d Demand, c *Candidate) bool { return d.Lasting && c.Lasting%lastingBatch == 0 }

func assign(d Demand, c *Candidate) {
	c.Free = c.Free.Sub(d.Need)
	if d.Lasting {
		c.Lasting++
	}
	if c.TaskLimit > 0 {
		c.TaskLimit--
	}
}

// Place returns the workers of up to n tasks as indices of candidates, and subtracts
// the tasks from the candidates' resources. It returns fewer if not all tasks fit.
func Place(d Demand, candidates []Candidate, n int) []int {
	var out []int
	for len(out) < n {
		best := -1
		for i := range candidates {
			c := &candidates[i]
			if fits(d, c) && (best < 0 || score(d, c) < score(d, &candidates[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		// The best one has less free CPU from now on, so it stays the best while tasks fit
		// and it has no further batch.
		for len(out) < n && fits(d, &candidates[best]) {
			assign(d, &candidates[best])
			out = append(out, best)
			if completesBatch(d, &candidates[best]) {
				break
			}
		}
	}
	return out
}

// unlimited is the number of tasks that fit if they need nothing.
const unlimited = 1 << 30

// Count returns how many tasks fit into free resources, apart from the headroom.
func Count(d Demand, free model.Resources) int {
	n := int64(unlimited)
	limit := func(free, need int64) {
		if need > 0 {
			n = min(n, max(0, free/need))
		}
	}
	limit(free.MilliCPU-d.Headroom, d.Need.MilliCPU)
	limit(free.MemoryMB, d.Need.MemoryMB)
	limit(free.Accelerators, d.Need.Accelerators)
	return int(n)
}

// enoughRoom reports whether the candidates have room for n tasks. It rules out most
// attempts to place a wide gang on a busy site at little cost.
func enoughRoom(d Demand, candidates []Candidate, n int) bool {
	for i := range candidates {
		if n -= Count(d, candidates[i].Free); n <= 0 {
			return true
		}
	}
	return n <= 0
}

// PlaceGang returns workers for all n tasks of a gang, or none. All of them are in one
// rack if the tasks run faster that way and one rack has enough free resources.
func PlaceGang(d Demand, candidates []Candidate, n int) []int {
	if !enoughRoom(d, candidates, n) {
		return nil
	}
	if d.OneRack {
		racks := map[string][]int{}
		for i := range candidates {
			racks[candidates[i].Rack] = append(racks[candidates[i].Rack], i)
		}
		names := make([]string, 0, len(racks))
		for r := range racks {
			names = append(names, r)
		}
		slices.SortFunc(names, cmp.Compare[string])
		for _, r := range names {
			subset := make([]Candidate, 0, len(racks[r]))
			for _, i := range racks[r] {
				subset = append(subset, candidates[i])
			}
			if got := Place(d, subset, n); len(got) == n {
				for k := range got {
					got[k] = racks[r][got[k]]
				}
				return got
			}
		}
	}
	got := Place(d, slices.Clone(candidates), n)
	if len(got) < n {
		return nil
	}
	return got
}
