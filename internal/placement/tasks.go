package placement

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Reserve reserves spec's demand on w. It has no effect if the reservation would exceed
// the capacity of a known worker or if the task is already counted; Task reports whether
// it is counted. For an unknown worker, the reservation is kept until SetWorker sets its
// capacity. Tasks that a worker is known to run are recorded with RecordReport, which
// never refuses.
func (c *Cache) Reserve(w model.WorkerName, spec model.TaskSpec, now model.Time) {
	if c.tasks[spec.ID] != nil {
		return
	}
	if known := c.byName[w]; known != nil && known.rowIndex >= 0 && !withMinSlots(spec.Resources).Fits(c.rows[known.rowIndex].free) {
		return
	}
	c.addTask(c.getOrAddWorker(w), spec, model.Resources{}, now)
}

// MarkInDoubt records that the outcome of t's start is unknown. The task stays counted.
func (c *Cache) MarkInDoubt(t model.TaskID) {
	if u := c.tasks[t]; u != nil {
		u.InDoubt = true
	}
}

// SetThrottled records whether t is throttled at its worker. The task still counts in
// full, since the throttle may be lifted at any time.
func (c *Cache) SetThrottled(t model.TaskID, on bool) {
	if u := c.tasks[t]; u != nil {
		u.Throttled = on
	}
}

// RecordReport records a report that t runs on w with this usage, after which t is no
// longer in doubt. An unknown task is added, and a task that was counted on another
// worker moves, whether or not it fits, since the report states a fact.
func (c *Cache) RecordReport(t model.TaskID, w model.WorkerName, spec model.TaskSpec, usage model.Resources, now model.Time) {
	spec.ID = t
	u := c.tasks[t]
	if u != nil && u.worker.name != w {
		now = u.Since
		c.Release(t)
		u = nil
	}
	if u == nil {
		c.addTask(c.getOrAddWorker(w), spec, usage, now)
		return
	}
	u.InDoubt = false
	if u.Observed == usage && u.Declared == spec.Resources {
		return
	}
	c.addUse(u, -1)
	u.Declared, u.Observed = spec.Resources, usage
	c.addUse(u, 1)
}

// Release stops counting t.
func (c *Cache) Release(t model.TaskID) {
	u := c.tasks[t]
	if u == nil {
		return
	}
	delete(c.tasks, t)
	w := u.worker
	last := len(w.tasks) - 1
	w.tasks[u.index] = w.tasks[last]
	w.tasks[u.index].index = u.index
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	c.addUse(u, -1)
	s := c.services[u.Service]
	if s.taskCount--; s.taskCount == 0 {
		delete(c.services, u.Service)
	} else if spreadsOverWorkers(u.Class) {
		if s.countByWorker[w]--; s.countByWorker[w] == 0 {
			delete(s.countByWorker, w)
		}
	}
	if w.rowIndex < 0 && last == 0 {
		delete(c.byName, w.name)
	}
}

// addTask starts counting a task on w.
func (c *Cache) addTask(w *worker, spec model.TaskSpec, usage model.Resources, now model.Time) {
	u := &task{worker: w, index: len(w.tasks), TaskUsage: TaskUsage{
		Task: spec.ID, Job: spec.Job, Service: spec.Service, Class: spec.Class, Team: spec.Team,
		Worker: w.name, Declared: spec.Resources, Observed: usage, Since: now,
	}}
	c.tasks[spec.ID] = u
	w.tasks = append(w.tasks, u)
	s := c.services[u.Service]
	if s == nil {
		s = &service{countByWorker: map[*worker]int{}}
		c.services[u.Service] = s
	}
	s.taskCount++
	if spreadsOverWorkers(u.Class) {
		s.countByWorker[w]++
	}
	c.addUse(u, 1)
}

// spreadsOverWorkers reports whether the tasks of a class are spread over workers.
func spreadsOverWorkers(cl model.Class) bool {
	return cl == model.ClassService || cl == model.ClassInteractive
}

// addUse adds u's use to its worker and its team, or subtracts it if sign is -1.
func (c *Cache) addUse(u *task, sign int64) {
	use := u.EffectiveUse().Scale(sign)
	w := u.worker
	c.removeFromTotals(w)
	w.used = w.used.Add(use)
	if u.Class == model.ClassBatch {
		w.batchUsed = w.batchUsed.Add(use)
	}
	c.addToTotals(w)
	t := c.getOrAddTeam(u.Team)
	t.used = t.used.Add(use)
	if *t == (team{}) {
		delete(c.teams, u.Team)
	}
}

// Task returns the record of t and whether t is counted.
func (c *Cache) Task(t model.TaskID) (TaskUsage, bool) {
	if u := c.tasks[t]; u != nil {
		return u.TaskUsage, true
	}
	return TaskUsage{}, false
}

// Free returns the total free resources of the usable workers.
func (c *Cache) Free() model.Resources { return c.free }

// Capacity returns the total capacity of the usable workers.
func (c *Cache) Capacity() model.Resources { return c.capacity }

// Used returns the resources that the tasks of w count as.
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

// TasksOn returns the IDs of the tasks counted on w, sorted.
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
		return s.taskCount
	}
	return 0
}

// WorkerCount returns the number of known workers.
func (c *Cache) WorkerCount() int { return len(c.workers) }
