package placement

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Cache is the owner's view of its workers and their tasks. Sums are kept up
// to date by every change, so that no choice needs to visit the tasks.
type Cache struct {
	byName  map[model.WorkerName]*worker
	workers []*worker // known workers, sorted by name
	rows    []row     // rows[i] describes workers[i]
	penalty []uint64  // scratch of one Place, one per row, zero between calls
	shapes  []shape
	racks   map[string]int32
	tasks   map[model.TaskID]*task
	teams   map[string]*team

	services map[string]*service
	free     model.Resources // over usable workers, negative parts as zero
	capacity model.Resources // over usable workers
}

// row is the part of a worker that every scan reads.
type row struct {
	free        model.Resources // capacity minus used; may be negative
	shape, rack int32
	blocked     bool // takes no new task
}

// shape is one distinct capacity and the number of workers that have it.
type shape struct {
	capacity model.Resources
	workers  int
	weights  model.Resources // reciprocals of capacity, see weigh
}

// worker is one worker. Its pos is -1 while it is known only by its tasks.
type worker struct {
	name     model.WorkerName
	rack     string
	capacity model.Resources
	flags    WorkerFlags
	pos      int
	used     model.Resources
	batch    model.Resources // part of used that batch tasks hold
	tasks    []*task         // in no particular order
}

// task is one counted task. Its slot is its index in the worker's list.
type task struct {
	TaskUsage
	on   *worker
	slot int
}

// team is the quota of a team and what its tasks count as.
type team struct{ quota, used model.Resources }

// service counts the tasks of a service, and for class service where they are.
type service struct {
	tasks    int
	byWorker map[*worker]int
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

// SetWorker adds a worker or changes its rack, capacity and flags. Tasks that
// were counted on it before stay counted.
func (c *Cache) SetWorker(name model.WorkerName, rack string, capacity model.Resources, f WorkerFlags) {
	w := c.entry(name)
	if w.pos >= 0 {
		if w.rack == rack && w.capacity == capacity {
			c.SetFlags(name, f)
			return
		}
		c.uncount(w)
		c.shapes[c.rows[w.pos].shape].workers--
	} else {
		c.insert(w)
	}
	w.rack, w.capacity, w.flags = rack, capacity, f
	r := &c.rows[w.pos]
	r.shape, r.rack = c.shapeOf(capacity), c.rackOf(rack)
	c.shapes[r.shape].workers++
	c.count(w)
}

// SetFlags changes the flags of a known worker.
func (c *Cache) SetFlags(name model.WorkerName, f WorkerFlags) {
	w := c.byName[name]
	if w == nil || w.pos < 0 || w.flags == f {
		return
	}
	c.uncount(w)
	w.flags = f
	c.count(w)
}

// RemoveWorker forgets a worker, releases its tasks and returns them sorted.
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
	if w.pos >= 0 {
		c.uncount(w)
		c.shapes[c.rows[w.pos].shape].workers--
		c.workers = slices.Delete(c.workers, w.pos, w.pos+1)
		c.rows = slices.Delete(c.rows, w.pos, w.pos+1)
		c.penalty = c.penalty[:len(c.rows)]
		c.renumber(w.pos)
		w.pos = -1
	}
	return ids
}

// SetQuota sets a team's quota. A zero component is unlimited.
func (c *Cache) SetQuota(name string, quota model.Resources) { c.teamOf(name).quota = quota }

// entry returns the worker of that name, and makes one without a row if there
// is none. Intents read from the log may name a worker before its first report.
func (c *Cache) entry(name model.WorkerName) *worker {
	w := c.byName[name]
	if w == nil {
		w = &worker{name: name, pos: -1}
		c.byName[name] = w
	}
	return w
}

// insert gives w a row at its place in name order.
func (c *Cache) insert(w *worker) {
	i, _ := slices.BinarySearchFunc(c.workers, w.name, func(o *worker, n model.WorkerName) int {
		return cmp.Compare(o.name, n)
	})
	c.workers = slices.Insert(c.workers, i, w)
	c.rows = slices.Insert(c.rows, i, row{})
	c.penalty = append(c.penalty, 0)
	c.renumber(i)
}

// renumber corrects the positions from i on.
func (c *Cache) renumber(i int) {
	for ; i < len(c.workers); i++ {
		c.workers[i].pos = i
	}
}

// shapeOf returns the index of a capacity. An entry without workers is reused.
func (c *Cache) shapeOf(capacity model.Resources) int32 {
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
	c.shapes[unused].weigh()
	return int32(unused)
}

// rackOf returns the index of a rack.
func (c *Cache) rackOf(name string) int32 {
	i, ok := c.racks[name]
	if !ok {
		i = int32(len(c.racks))
		c.racks[name] = i
	}
	return i
}

// teamOf returns the team of that name, made if needed.
func (c *Cache) teamOf(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// count refreshes w's row and adds w to the sums over usable workers.
func (c *Cache) count(w *worker) {
	if w.pos < 0 {
		return
	}
	r := &c.rows[w.pos]
	r.free, r.blocked = w.capacity.Sub(w.used), w.flags.any()
	if !r.blocked {
		c.free = c.free.Add(r.free.Max(model.Resources{}))
		c.capacity = c.capacity.Add(w.capacity)
	}
}

// uncount takes w out of the sums before a change.
func (c *Cache) uncount(w *worker) {
	if w.pos < 0 || c.rows[w.pos].blocked {
		return
	}
	c.free = c.free.Sub(c.rows[w.pos].free.Max(model.Resources{}))
	c.capacity = c.capacity.Sub(w.capacity)
}
