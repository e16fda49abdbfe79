package placement

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// PlaceGang chooses workers for all of rs, in the order of rs, or for none. It
// changes nothing. Members are tried from the largest to the smallest; for
// members of equal demand the search is exact, otherwise it may miss a
// placement that exists.
func (c *Cache) PlaceGang(rs []Request) ([]model.WorkerName, Denial) {
	if !c.CanEverFitGang(rs) {
		return nil, DenialNeverFits
	}
	order := make([]int, len(rs))
	for i := range order {
		order[i] = i
	}
	whole := c.capacity.Max(model.Resources{MilliCPU: 1, MemoryMB: 1, Accelerators: 1, Slots: 1, Connections: 1})
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(share(rs[b].Resources, whole), share(rs[a].Resources, whole))
	})
	held := make([]model.TaskID, 0, len(rs))
	defer func() {
		for _, id := range held {
			c.Release(id)
		}
	}()
	chosen := make([]model.WorkerName, len(rs))
	last, at := -1, -1
	for _, i := range order {
		r := rs[i]
		d := DenialNone
		if last < 0 || !alike(r, rs[last]) || !c.stillFits(at, r) {
			at, d = c.place(r)
		}
		if d != DenialNone {
			return nil, d
		}
		last = i
		chosen[i] = c.workers[at].name
		// A name with a zero byte can't clash with a task of the caller.
		id := "\x00gang\x00" + model.NewTaskID("", i, 0)
		held = append(held, id)
		c.add(c.workers[at], model.TaskSpec{
			ID: id, Service: r.Service, Class: r.Class, Team: r.Team, Resources: r.Resources,
		}, model.Resources{}, 0)
	}
	return chosen, DenialNone
}

// alike reports whether the worker chosen for b stays the best for a as long as
// it has room. A worker that just took a task has less left than before, while
// the others are unchanged; only the spread of class service breaks this.
func alike(a, b Request) bool {
	return a.Class != model.ClassService && a.Class == b.Class && a.Resources == b.Resources && a.Team == b.Team &&
		a.ProbeWorker == b.ProbeWorker && a.Headroom == b.Headroom && slices.Equal(a.Avoid, b.Avoid)
}

// stillFits reports whether r may be placed on the worker in row at.
func (c *Cache) stillFits(at int, r Request) bool {
	need := demand(r.Resources)
	return need.Fits(c.rows[at].free) && c.quotaAllows(r.Team, need) && leaves(c.free, need, r.Headroom)
}

// share returns the largest part that need takes of whole, in 2^-31.
func share(need, whole model.Resources) int64 {
	d := dominant(need, whole)
	return d.of(need) << remainderBits / d.of(whole)
}

// CanEverFitGang reports whether the known workers could hold all of rs at once
// if they were empty: each member on some worker, and the sum in total. Without
// any worker nothing is known, and it reports true.
func (c *Cache) CanEverFitGang(rs []Request) bool {
	if len(c.workers) == 0 {
		return true
	}
	var sum, total model.Resources
	for i := range c.shapes {
		total = total.Add(c.shapes[i].capacity.Scale(int64(c.shapes[i].workers)))
	}
	for i := range rs {
		if (i == 0 || rs[i].Resources != rs[i-1].Resources) && !c.CanEverFit(rs[i].Resources) {
			return false
		}
		sum = sum.Add(demand(rs[i].Resources))
	}
	return sum.Fits(total)
}
