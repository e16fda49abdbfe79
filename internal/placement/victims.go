package placement

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Victims returns the fewest, youngest batch tasks on one usable worker whose
// end makes room for r, out of those that allowed admits. A task in doubt is
// never chosen, since stopping it would not settle whether it runs. The list is
// empty if r fits already. Workers in r.Avoid are not considered, and ok is
// false if the team's quota has no room, because a victim would not help.
func (c *Cache) Victims(r Request, allowed func(TaskUsage) bool) (w model.WorkerName, tasks []model.TaskID, ok bool) {
	need := demand(r.Resources)
	if !c.quotaAllows(r.Team, need) {
		return "", nil, false
	}
	var best []*task
	for i := range c.rows {
		e, free := c.workers[i], c.rows[i].free
		if c.rows[i].blocked || !need.Fits(free.Add(e.batch)) || slices.Contains(r.Avoid, e.name) {
			continue
		}
		if need.Fits(free) {
			return e.name, nil, true
		}
		missing := need.Sub(free)
		found := single(e, missing, best, allowed)
		if found == nil && len(best) != 1 {
			found = several(e, missing, len(best), allowed)
		}
		if found != nil && (best == nil || better(found, best)) {
			w, best = e.name, found
		}
	}
	for _, u := range best {
		tasks = append(tasks, u.Task)
	}
	return w, tasks, best != nil
}

// mayEnd reports whether u is a task that Victims may choose.
func mayEnd(u *task, allowed func(TaskUsage) bool) bool {
	return u.Class == model.ClassBatch && !u.InDoubt && allowed(u.TaskUsage)
}

// single returns the youngest task of w that alone holds what is missing, or
// nil if there is none or a single task in best is at least as young.
func single(w *worker, missing model.Resources, best []*task, allowed func(TaskUsage) bool) []*task {
	var found *task
	for _, u := range w.tasks {
		if found != nil && younger(found, u) < 0 || len(best) == 1 && best[0].Since >= u.Since {
			continue
		}
		if missing.Fits(u.EffectiveUse()) && mayEnd(u, allowed) {
			found = u
		}
	}
	if found == nil {
		return nil
	}
	return []*task{found}
}

// several returns few tasks of w that together hold what is missing, youngest
// first, or nil. It gives up once it needs more than most, unless that is zero.
func several(w *worker, missing model.Resources, most int, allowed func(TaskUsage) bool) []*task {
	var all []*task
	for _, u := range w.tasks {
		if mayEnd(u, allowed) {
			all = append(all, u)
		}
	}
	slices.SortFunc(all, younger)
	return prune(cover(all, missing, most), missing)
}

// cover takes the tasks that give most of what is missing, until nothing is, or
// until it needs more than limit and one that prune may drop.
func cover(all []*task, missing model.Resources, limit int) []*task {
	var picked []*task
	for !missing.Fits(model.Resources{}) {
		at, most := -1, int64(0)
		for i, u := range all {
			if g := gain(u.EffectiveUse(), missing); g > most {
				at, most = i, g
			}
		}
		if at < 0 || limit > 0 && len(picked) > limit {
			return nil
		}
		picked = append(picked, all[at])
		missing = missing.Sub(all[at].EffectiveUse())
		all = slices.Delete(all, at, at+1)
	}
	slices.SortFunc(picked, younger)
	return picked
}

// prune drops the tasks, oldest first, that the others make unnecessary.
func prune(picked []*task, missing model.Resources) []*task {
	for i := len(picked) - 1; i >= 0; i-- {
		var rest model.Resources
		for j, u := range picked {
			if j != i {
				rest = rest.Add(u.EffectiveUse())
			}
		}
		if missing.Fits(rest) {
			picked = slices.Delete(picked, i, i+1)
		}
	}
	return picked
}

// gain returns how much of missing the use covers, as a sum over the components
// of parts in 2^-20, so that a component counts by how short it is.
func gain(use, missing model.Resources) int64 {
	const unit = 1 << 20
	sum := int64(0)
	for k := milliCPU; k < components; k++ {
		if m := k.of(missing); m > 0 {
			sum += min(k.of(use), m) * unit / m
		}
	}
	return sum
}

// younger orders the later started task first, and equals by id.
func younger(a, b *task) int {
	return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.Task, b.Task))
}

// better reports whether a is fewer tasks than b, or as many with a later start
// of the oldest.
func better(a, b []*task) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[len(a)-1].Since > b[len(b)-1].Since
}
