package placement

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// PlaceGang chooses workers for all requests of a gang, in the order of rs, or for none.
// The cache is unchanged afterwards. Members are placed from the largest to the
// smallest. The search is exact for members of equal demand; otherwise it may miss a
// placement that exists.
func (c *Cache) PlaceGang(rs []Request) ([]model.WorkerName, Denial) {
	if !c.CanEverFitGang(rs) {
		return nil, DenialNeverFits
	}
	order := make([]int, len(rs))
	for i := range order {
		order[i] = i
	}
	total := c.capacity.Max(model.Resources{MilliCPU: 1, MemoryMB: 1, Accelerators: 1, Slots: 1, Connections: 1})
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(dominantShare(rs[b].Resources, total), dominantShare(rs[a].Resources, total))
	})
	reserved := make([]model.TaskID, 0, len(rs))
	defer func() {
		for _, id := range reserved {
			c.Release(id)
		}
	}()
	chosen := make([]model.WorkerName, len(rs))
	last, row := -1, -1
	for _, i := range order {
		r := rs[i]
		d := DenialNone
		if last < 0 || !mayReuseWorker(r, rs[last]) || !c.fitsRow(row, r) {
			row, d = c.place(r)
		}
		if d != DenialNone {
			return nil, d
		}
		last = i
		chosen[i] = c.workers[row].name
		// The zero bytes prevent a collision with the caller's task IDs.
		id := "\x00gang\x00" + model.NewTaskID("", i, 0)
		reserved = append(reserved, id)
		c.addTask(c.workers[row], model.TaskSpec{
			ID: id, Service: r.Service, Class: r.Class, Team: r.Team, Resources: r.Resources,
		}, model.Resources{}, 0)
	}
	return chosen, DenialNone
}

// mayReuseWorker reports whether the worker chosen for b remains the best for a while it
// has capacity: the worker that took the last task has less left than before, and the
// others are unchanged. Only the spreading of class service breaks this.
func mayReuseWorker(a, b Request) bool {
	return a.Class != model.ClassService && a.Class == b.Class && a.Resources == b.Resources && a.Team == b.Team &&
		a.ProbeWorker == b.ProbeWorker && a.Headroom == b.Headroom && slices.Equal(a.Avoid, b.Avoid)
}

// fitsRow reports whether r may be placed on the worker of the given row.
func (c *Cache) fitsRow(row int, r Request) bool {
	need := withMinSlots(r.Resources)
	return need.Fits(c.rows[row].free) && c.quotaAllows(r.Team, need) && leavesHeadroom(c.free, need, r.Headroom)
}

// dominantShare returns the largest share that need takes of any component of whole, in
// units of 2^-31.
func dominantShare(need, whole model.Resources) int64 {
	d := dominantComponent(need, whole)
	return d.of(need) << fractionBits / d.of(whole)
}

// CanEverFitGang reports whether the known workers could hold all of rs at once if they
// were empty: each member fits on some worker, and the sum fits into the total. It
// reports true while no worker is known.
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
		sum = sum.Add(withMinSlots(rs[i].Resources))
	}
	return sum.Fits(total)
}
