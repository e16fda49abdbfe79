package placement

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Reserve reserves spec's demand on w. A promise that would put a known worker
// above its capacity is not recorded, and neither is one for a task that is
// counted already; Task tells. A worker that is not known yet holds the promise
// until SetWorker names its capacity. What a worker holds as a matter of fact
// is recorded with Observe, which never refuses.
func (c *Cache) Reserve(w model.WorkerName, spec model.TaskSpec, now model.Time) {
	if c.tasks[spec.ID] != nil {
		return
	}
	if known := c.byName[w]; known != nil && known.pos >= 0 && !demand(spec.Resources).Fits(c.rows[known.pos].free) {
		return
	}
	c.add(c.entry(w), spec, model.Resources{}, now)
}

// MarkInDoubt notes that the outcome of t's start is unknown. It still counts.
func (c *Cache) MarkInDoubt(t model.TaskID) {
	if u := c.tasks[t]; u != nil {
		u.InDoubt = true
	}
}

// SetThrottled notes whether t is throttled at its worker. It still counts in
// full, since the throttle may be lifted at any time.
func (c *Cache) SetThrottled(t model.TaskID, on bool) {
	if u := c.tasks[t]; u != nil {
		u.Throttled = on
	}
}

// RecordReport records from a report that t runs on w with this usage, and ends a
// doubt about it. A task not known yet is added, and one that was counted on
// another worker moves, whether or not it fits: a report is a fact.
func (c *Cache) RecordReport(t model.TaskID, w model.WorkerName, spec model.TaskSpec, usage model.Resources, now model.Time) {
	spec.ID = t
	u := c.tasks[t]
	if u != nil && u.on.name != w {
		now = u.Since
		c.Release(t)
		u = nil
	}
	if u == nil {
		c.add(c.entry(w), spec, usage, now)
		return
	}
	u.InDoubt = false
	if u.Observed == usage && u.Declared == spec.Resources {
		return
	}
	c.charge(u, -1)
	u.Declared, u.Observed = spec.Resources, usage
	c.charge(u, 1)
}

// Release stops counting t.
func (c *Cache) Release(t model.TaskID) {
	u := c.tasks[t]
	if u == nil {
		return
	}
	delete(c.tasks, t)
	w := u.on
	last := len(w.tasks) - 1
	w.tasks[u.slot] = w.tasks[last]
	w.tasks[u.slot].slot = u.slot
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	c.charge(u, -1)
	s := c.services[u.Service]
	if s.tasks--; s.tasks == 0 {
		delete(c.services, u.Service)
	} else if spreads(u.Class) {
		if s.byWorker[w]--; s.byWorker[w] == 0 {
			delete(s.byWorker, w)
		}
	}
	if w.pos < 0 && last == 0 {
		delete(c.byName, w.name)
	}
}

// add starts to count a task on w.
func (c *Cache) add(w *worker, spec model.TaskSpec, usage model.Resources, now model.Time) {
	u := &task{on: w, slot: len(w.tasks), TaskUsage: TaskUsage{
		Task: spec.ID, Job: spec.Job, Service: spec.Service, Class: spec.Class, Team: spec.Team,
		Worker: w.name, Declared: spec.Resources, Observed: usage, Since: now,
	}}
	c.tasks[spec.ID] = u
	w.tasks = append(w.tasks, u)
	s := c.services[u.Service]
	if s == nil {
		s = &service{byWorker: map[*worker]int{}}
		c.services[u.Service] = s
	}
	s.tasks++
	if spreads(u.Class) {
		s.byWorker[w]++
	}
	c.charge(u, 1)
}

// spreads reports whether tasks of a class are spread over workers.
func spreads(cl model.Class) bool {
	return cl == model.ClassService || cl == model.ClassInteractive
}

// charge adds u's use, or takes it off if sign is -1.
func (c *Cache) charge(u *task, sign int64) {
	use := u.EffectiveUse().Scale(sign)
	w := u.on
	c.uncount(w)
	w.used = w.used.Add(use)
	if u.Class == model.ClassBatch {
		w.batch = w.batch.Add(use)
	}
	c.count(w)
	t := c.teamOf(u.Team)
	t.used = t.used.Add(use)
	if *t == (team{}) {
		delete(c.teams, u.Team)
	}
}

// Task returns what is known of t, and whether it is counted.
func (c *Cache) Task(t model.TaskID) (TaskUsage, bool) {
	if u := c.tasks[t]; u != nil {
		return u.TaskUsage, true
	}
	return TaskUsage{}, false
}

// Free returns what the usable workers have free in total.
func (c *Cache) Free() model.Resources { return c.free }

// Capacity returns the total capacity of the usable workers.
func (c *Cache) Capacity() model.Resources { return c.capacity }

// Used returns what the tasks of w count as.
func (c *Cache) Used(w model.WorkerName) model.Resources {
	if e := c.byName[w]; e != nil {
		return e.used
	}
	return model.Resources{}
}

// Workers returns the names of the known workers, sorted.
func (c *Cache) Workers() []model.WorkerName {
	names := make([]model.WorkerName, len(c.workers))
	for i, w := range c.workers {
		names[i] = w.name
	}
	return names
}

// TasksOn returns the tasks counted on w, sorted.
func (c *Cache) TasksOn(w model.WorkerName) []model.TaskID {
	e := c.byName[w]
	if e == nil {
		return nil
	}
	ids := make([]model.TaskID, len(e.tasks))
	for i, u := range e.tasks {
		ids[i] = u.Task
	}
	slices.Sort(ids)
	return ids
}

// ServiceTaskCount returns the number of tasks counted for a service.
func (c *Cache) ServiceTaskCount(name string) int {
	if s := c.services[name]; s != nil {
		return s.tasks
	}
	return 0
}

// WorkerCount returns the number of known workers.
func (c *Cache) WorkerCount() int { return len(c.workers) }
