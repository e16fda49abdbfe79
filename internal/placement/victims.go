package placement

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Victims returns the fewest, youngest batch tasks on one usable worker that must be
// stopped to free capacity for r, among those that allowed accepts. A task in doubt is
// never chosen, since stopping it would not determine whether it runs. The list is empty
// if r already fits. Workers in r.Avoid are not considered. The result ok is false if no
// tasks qualify, or if r exceeds the team's quota, since stopping tasks would not help
// then.
func (c *Cache) Victims(r Request, allowed func(TaskUsage) bool) (w model.WorkerName, tasks []model.TaskID, ok bool) {
	need := withMinSlots(r.Resources)
	if !c.quotaAllows(r.Team, need) {
		return "", nil, false
	}
	var best []*task
	for i := range c.rows {
		e, free := c.workers[i], c.rows[i].free
		if c.rows[i].blocked || !need.Fits(free.Add(e.batchUsed)) || slices.Contains(r.Avoid, e.name) {
			continue
		}
		if need.Fits(free) {
			return e.name, nil, true
		}
		missing := need.Sub(free)
		found := singleVictim(e, missing, best, allowed)
		if found == nil && len(best) != 1 {
			found = multipleVictims(e, missing, len(best), allowed)
		}
		if found != nil && (best == nil || isBetterChoice(found, best)) {
			w, best = e.name, found
		}
	}
	for _, u := range best {
		tasks = append(tasks, u.Task)
	}
	return w, tasks, best != nil
}

// mayStop reports whether Victims may choose u.
func mayStop(u *task, allowed func(TaskUsage) bool) bool {
	return u.Class == model.ClassBatch && !u.InDoubt && allowed(u.TaskUsage)
}

// singleVictim returns the youngest task of w that alone covers the missing resources,
// or nil if there is none or if the single task in best is at least as young.
func singleVictim(w *worker, missing model.Resources, best []*task, allowed func(TaskUsage) bool) []*task {
	var found *task
	for _, u := range w.tasks {
		if found != nil && compareYoungestFirst(found, u) < 0 || len(best) == 1 && best[0].Since >= u.Since {
			continue
		}
		if missing.Fits(u.EffectiveUse()) && mayStop(u, allowed) {
			found = u
		}
	}
	if found == nil {
		return nil
	}
	return []*task{found}
}

// multipleVictims returns a small set of tasks of w that together cover the missing
// resources, youngest first, or nil if there is none. If maxTasks is not zero, the search
// stops once it needs more tasks than that.
func multipleVictims(w *worker, missing model.Resources, maxTasks int, allowed func(TaskUsage) bool) []*task {
	var all []*task
	for _, u := range w.tasks {
		if mayStop(u, allowed) {
			all = append(all, u)
		}
	}
	slices.SortFunc(all, compareYoungestFirst)
	return dropRedundant(greedyCover(all, missing, maxTasks), missing)
}

// greedyCover repeatedly picks the task that covers most of the missing resources until
// nothing is missing. A limit above zero ends the search with nil once more than limit
// tasks are picked and another is needed; the extra one is allowed because dropRedundant
// may remove a task.
func greedyCover(all []*task, missing model.Resources, limit int) []*task {
	var picked []*task
	for !missing.Fits(model.Resources{}) {
		at, most := -1, int64(0)
		for i, u := range all {
			if g := coverage(u.EffectiveUse(), missing); g > most {
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
	slices.SortFunc(picked, compareYoungestFirst)
	return picked
}

// dropRedundant removes tasks, oldest first, that the others make unnecessary.
func dropRedundant(picked []*task, missing model.Resources) []*task {
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

// coverage returns how much of missing the use covers: the sum over the components of
// the covered fraction, in units of 2^-20, so that each component counts relative to its
// shortage.
func coverage(use, missing model.Resources) int64 {
	const unit = 1 << 20
	sum := int64(0)
	for k := milliCPU; k < componentCount; k++ {
		if m := k.of(missing); m > 0 {
			sum += min(k.of(use), m) * unit / m
		}
	}
	return sum
}

// compareYoungestFirst orders tasks by descending start time, then by ID.
func compareYoungestFirst(a, b *task) int {
	return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.Task, b.Task))
}

// isBetterChoice reports whether a has fewer tasks than b, or as many and its oldest
// task started later.
func isBetterChoice(a, b []*task) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[len(a)-1].Since > b[len(b)-1].Since
}
