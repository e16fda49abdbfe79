// Package fit chooses the workers of tasks.
//
// It answers wide and narrow tasks that share workers at a crest: each task
// goes where the least CPU is left over, so that whole workers stay free for
// wide tasks, and work that is not urgent leaves headroom on each worker for
// the urgent tasks of the next moments.
package fit

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Candidate is a worker that may run a task.
type Candidate struct {
	Index    int // of the caller
	Free     model.Resources
	Capacity model.Resources
	Rack     string
	// TaskLimit is how many more tasks of the step the worker may get besides what
	// its resources allow; negative: any number.
	TaskLimit int
	// Penalty is added to the score, in thousandths of a core.
	Penalty int64
}

// Demand is what the tasks of one step need.
type Demand struct {
	Need model.Resources // of each task
	// Headroom is CPU to be left free, in thousandths of a core.
	Headroom int64
	DataRack string // tasks run faster there; empty: nowhere
	OneRack  bool   // the tasks run faster in one rack
}

// farPenalty is the cost of a rack without the data, in thousandths of a core
// of leftover: a task that takes half as long again wastes that much.
const farPenalty = 4000

func fits(d Demand, c *Candidate) bool {
	if c.TaskLimit == 0 {
		return false
	}
	free := c.Free
	free.MilliCPU -= d.Headroom
	// Slots and connections don't limit tasks here.
	return d.Need.MilliCPU <= free.MilliCPU && d.Need.MemoryMB <= free.MemoryMB && d.Need.Accelerators <= free.Accelerators
}

func score(d Demand, c *Candidate) int64 {
	s := c.Free.MilliCPU - d.Need.MilliCPU + c.Penalty
	if d.DataRack != "" && c.Rack != d.DataRack {
		s += farPenalty
	}
	return s
}

func take(d Demand, c *Candidate) {
	c.Free = c.Free.Sub(d.Need)
	if c.TaskLimit > 0 {
		c.TaskLimit--
	}
}

// Place returns the workers of up to n tasks, as indices of candidates, which
// it changes. It returns fewer if there is no room for all.
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
		take(d, &candidates[best])
		out = append(out, best)
	}
	return out
}

// PlaceGang returns workers for exactly n tasks that only work together, or
// none. One rack is used if the tasks run faster so and it has the room.
func PlaceGang(d Demand, candidates []Candidate, n int) []int {
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
