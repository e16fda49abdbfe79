package placement

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Cache is the owner's view of its workers and their tasks. Every change updates the
// sums, so that placement does not need to visit the tasks.
type Cache struct {
	byName    map[model.WorkerName]*worker
	workers   []*worker   // workers with a row, sorted by name
	rows      []workerRow // rows[i] describes workers[i]
	penalties []uint64    // scratch space of place, one per row, zero between calls
	shapes    []shape
	racks     map[string]int32
	tasks     map[model.TaskID]*task
	teams     map[string]*team

	services map[string]*service
	free     model.Resources // sum over usable workers, overcommitted components count as zero
	capacity model.Resources // sum over usable workers
}

// workerRow holds the fields of a worker that every scan reads.
type workerRow struct {
	free        model.Resources // capacity minus used; may be negative
	shape, rack int32
	blocked     bool // receives no new tasks
}

// shape is one distinct capacity and the number of workers that have it.
type shape struct {
	capacity    model.Resources
	workers     int
	reciprocals model.Resources // of capacity, see setReciprocals
}

// worker is one worker. Its rowIndex is -1 while it is known only by its tasks.
type worker struct {
	name      model.WorkerName
	rack      string
	capacity  model.Resources
	flags     WorkerFlags
	rowIndex  int
	used      model.Resources
	batchUsed model.Resources // part of used that belongs to batch tasks
	tasks     []*task         // unordered
}

// task is one counted task. Its index is its position in the worker's list.
type task struct {
	TaskUsage
	worker *worker
	index  int
}

// team holds the quota of a team and the resources that its tasks count as.
type team struct{ quota, used model.Resources }

// service counts the tasks of a service, for classes that spread over workers also by
// worker.
type service struct {
	taskCount     int
	countByWorker map[*worker]int
}

// NewCache returns a cache without workers.
func NewCache() *Cache {
	return &Cache{
		byName:   map[model.WorkerName]*worker{},
		racks:    map[string]int32{},
		tasks:    map[model.TaskID]*task{},
		teams:    map[string]*team{},
		services: map[string]*service{},
	}
}

// SetWorker adds a worker or updates its rack, capacity and flags. Tasks that were
// counted on it before the first call stay counted.
func (c *Cache) SetWorker(name model.WorkerName, rack string, capacity model.Resources, f WorkerFlags) {
	w := c.getOrAddWorker(name)
	if w.rowIndex >= 0 {
		if w.rack == rack && w.capacity == capacity {
			c.SetFlags(name, f)
			return
		}
		c.removeFromTotals(w)
		c.shapes[c.rows[w.rowIndex].shape].workers--
	} else {
		c.insertRow(w)
	}
	w.rack, w.capacity, w.flags = rack, capacity, f
	r := &c.rows[w.rowIndex]
	r.shape, r.rack = c.getOrAddShape(capacity), c.getOrAddRack(rack)
	c.shapes[r.shape].workers++
	c.addToTotals(w)
}

// SetFlags updates the flags of a known worker.
func (c *Cache) SetFlags(name model.WorkerName, f WorkerFlags) {
	w := c.byName[name]
	if w == nil || w.rowIndex < 0 || w.flags == f {
		return
	}
	c.removeFromTotals(w)
	w.flags = f
	c.addToTotals(w)
}

// RemoveWorker removes a worker, releases its tasks and returns their IDs, sorted.
func (c *Cache) RemoveWorker(name model.WorkerName) []model.TaskID {
	w := c.byName[name]
	if w == nil {
		return nil
	}
	ids := c.TasksOn(name)
	for _, id := range ids {
		c.Release(id)
	}
	delete(c.byName, name)
	if w.rowIndex >= 0 {
		c.removeFromTotals(w)
		c.shapes[c.rows[w.rowIndex].shape].workers--
		c.workers = slices.Delete(c.workers, w.rowIndex, w.rowIndex+1)
		c.rows = slices.Delete(c.rows, w.rowIndex, w.rowIndex+1)
		c.penalties = c.penalties[:len(c.rows)]
		c.renumberRows(w.rowIndex)
		w.rowIndex = -1
	}
	return ids
}

// SetQuota sets a team's quota. A zero component is unlimited.
func (c *Cache) SetQuota(name string, quota model.Resources) { c.getOrAddTeam(name).quota = quota }

// getOrAddWorker returns the worker of that name, and adds one without a row if there is
// none. Intents read from the log may name a worker before its first report.
func (c *Cache) getOrAddWorker(name model.WorkerName) *worker {
	w := c.byName[name]
	if w == nil {
		w = &worker{name: name, rowIndex: -1}
		c.byName[name] = w
	}
	return w
}

// insertRow adds a row for w at its position in name order.
func (c *Cache) insertRow(w *worker) {
	i, _ := slices.BinarySearchFunc(c.workers, w.name, func(o *worker, n model.WorkerName) int {
		return cmp.Compare(o.name, n)
	})
	c.workers = slices.Insert(c.workers, i, w)
	c.rows = slices.Insert(c.rows, i, workerRow{})
	c.penalties = append(c.penalties, 0)
	c.renumberRows(i)
}

// renumberRows updates the row indexes from i on.
func (c *Cache) renumberRows(i int) {
	for ; i < len(c.workers); i++ {
		c.workers[i].rowIndex = i
	}
}

// getOrAddShape returns the index of the shape with this capacity. An entry without
// workers is reused.
func (c *Cache) getOrAddShape(capacity model.Resources) int32 {
	unused := -1
	for i := range c.shapes {
		if c.shapes[i].capacity == capacity {
			return int32(i)
		}
		if c.shapes[i].workers == 0 {
			unused = i
		}
	}
	if unused < 0 {
		c.shapes = append(c.shapes, shape{})
		unused = len(c.shapes) - 1
	}
	c.shapes[unused].capacity = capacity
	c.shapes[unused].setReciprocals()
	return int32(unused)
}

// getOrAddRack returns the index of a rack.
func (c *Cache) getOrAddRack(name string) int32 {
	i, ok := c.racks[name]
	if !ok {
		i = int32(len(c.racks))
		c.racks[name] = i
	}
	return i
}

// getOrAddTeam returns the team of that name, creating it if needed.
func (c *Cache) getOrAddTeam(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// addToTotals updates w's row and adds w to the sums over usable workers.
func (c *Cache) addToTotals(w *worker) {
	if w.rowIndex < 0 {
		return
	}
	r := &c.rows[w.rowIndex]
	r.free, r.blocked = w.capacity.Sub(w.used), w.flags.blocksNewTasks()
	if !r.blocked {
		c.free = c.free.Add(r.free.Max(model.Resources{}))
		c.capacity = c.capacity.Add(w.capacity)
	}
}

// removeFromTotals subtracts w from the sums over usable workers, before a change of w.
func (c *Cache) removeFromTotals(w *worker) {
	if w.rowIndex < 0 || c.rows[w.rowIndex].blocked {
		return
	}
	c.free = c.free.Sub(c.rows[w.rowIndex].free.Max(model.Resources{}))
	c.capacity = c.capacity.Sub(w.capacity)
}
