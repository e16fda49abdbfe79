package queue

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Item is one waiting task, or one waiting gang.
type Item struct {
	Task      model.TaskID
	Job       model.JobID
	Service   string
	Operation string
	Team      string
	Class     model.Class
	Resources model.Resources // of one task
	Deadline  model.Time      // zero: none
	Enqueued  model.Time
	GangSize  int  // tasks in the gang, 0 otherwise
	Weight    int  // more than 1 makes the item count as that much shorter
	Straggler bool // it ran over the straggler limit once and was queued again
	Data      any  // the caller's own
}

// Decision is what the caller did with an item that Schedule offered.
type Decision int

// The verdicts.
const (
	Placed   Decision = iota // taken off the queue and placed
	Blocked                  // nothing of this demand fits now; it stays
	Dropped                  // taken off the queue and not placed
	StopPass                 // it stays, and the pass ends
)

// classOrder is the order in which a pass visits the classes.
var classOrder = [...]model.Class{model.ClassInteractive, model.ClassService, model.ClassGang, model.ClassBatch}

// compactAt is the number of dead entries below which a heap is left alone.
// Above it, a heap that is half dead is rebuilt, which costs O(1) per removal.
const compactAt = 64

// Queue holds waiting items in one flow per class, service, operation and
// demand. Items of one flow are alike, so that a blocked head stands for all.
type Queue struct {
	cfg       Config
	seq       uint64
	items     map[model.TaskID]*entry
	flows     map[flowKey]*flow
	order     map[model.Class][]*flow // flows of a class by creation
	waiting   map[model.Class]int
	jobs      map[model.JobID]*jobEntries
	raised    map[model.JobID]bool
	deadlines lazyHeap // interactive items by deadline
	pass      heap[candidate]

	stats   *stats
	running running
	demand  demand
	passes  [][]model.Class // classes that one pass takes together, in order
}

// flowKey says which items share a flow.
type flowKey struct {
	class              model.Class
	service, operation string
	need               model.Resources
	raised, straggler  bool
}

// flow is one ordered queue of similar items.
type flow struct {
	key  flowKey
	seq  uint64 // creation, the last tie-break between flows
	op   *op    // see opOf
	opAt uint64

	firstCome bool // see Config
	// Set at the start of each pass.
	assumed   time.Duration // run time to plan with
	straggler bool          // expected to be a straggler, and not raised
	lazyHeap
}

// entry is one item in the queue. A dead entry is skipped when it is reached.
type entry struct {
	it       *Item
	deadline model.Time // effective
	seq      uint64
	flow     *flow
	dead     bool
}

// jobEntries lists a job's entries, so that Raise needs no search.
type jobEntries struct {
	entries []*entry
	live    int
}

// lazyHeap is a heap of entries that tolerates dead ones.
type lazyHeap struct {
	heap[*entry]
	live int
}

// head returns the first live entry, or nil.
func (h *lazyHeap) head() *entry {
	for len(h.a) > 0 && h.a[0].dead {
		h.pop()
	}
	if len(h.a) == 0 {
		return nil
	}
	return h.a[0]
}

// died counts a live entry as dead.
func (h *lazyHeap) died() {
	if h.live--; len(h.a) > compactAt && h.live < len(h.a)/2 {
		h.keep(func(e *entry) bool { return !e.dead })
	}
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:     cfg,
		items:   map[model.TaskID]*entry{},
		flows:   map[flowKey]*flow{},
		order:   map[model.Class][]*flow{},
		waiting: map[model.Class]int{},
		jobs:    map[model.JobID]*jobEntries{},
		raised:  map[model.JobID]bool{},
		stats:   newStats(cfg),
		running: newRunning(),
	}
	q.deadlines.less = earlier
	for _, class := range classOrder {
		q.passes = append(q.passes, []model.Class{class})
	}
	if cfg.FIFO {
		q.passes = [][]model.Class{classOrder[:]}
	}
	q.pass.less = before
	q.stats.changes = 1 // unlike that of a flow that has looked for nothing yet
	return q
}

// earlier orders entries by deadline, then arrival.
func earlier(x, y *entry) bool {
	if x.deadline != y.deadline {
		return x.deadline < y.deadline
	}
	if x.it.Enqueued != y.it.Enqueued {
		return x.it.Enqueued < y.it.Enqueued
	}
	return x.seq < y.seq
}

// arrivedEarlier orders entries by arrival alone.
func arrivedEarlier(x, y *entry) bool {
	return x.it.Enqueued < y.it.Enqueued || x.it.Enqueued == y.it.Enqueued && x.seq < y.seq
}

// Push adds an item. An item whose task waits already is ignored.
func (q *Queue) Push(it *Item) {
	if q.items[it.Task] != nil {
		return
	}
	q.stats.learnClass(it.Service, it.Class)
	e := q.enqueue(it)
	q.waiting[it.Class]++
	if it.Class == model.ClassInteractive {
		q.demand.waiting = q.demand.waiting.Add(it.Resources)
		if it.Deadline != 0 {
			q.deadlines.push(e)
			q.deadlines.live++
		}
	}
}

// enqueue puts an item into its flow.
func (q *Queue) enqueue(it *Item) *entry {
	q.seq++
	e := &entry{it: it, seq: q.seq, deadline: it.Deadline}
	if it.Deadline == 0 {
		// An assumed deadline lets work without one move up as it waits.
		e.deadline = it.Enqueued.Add(q.cfg.DefaultDeadline)
	}
	e.flow = q.flowOf(it)
	e.flow.push(e)
	e.flow.live++
	q.items[it.Task] = e
	if it.Job != "" {
		j := q.jobs[it.Job]
		if j == nil {
			j = &jobEntries{}
			q.jobs[it.Job] = j
		}
		j.entries = append(j.entries, e)
		j.live++
	}
	return e
}

// flowOf returns the flow of an item, made if needed. When there are too many,
// the items of one service share a flow, in which a large demand may hold up a
// smaller one.
func (q *Queue) flowOf(it *Item) *flow {
	k := flowKey{it.Class, it.Service, it.Operation, it.Resources, it.Class != model.ClassInteractive && q.raised[it.Job], it.Straggler}
	f := q.flows[k]
	if f == nil && len(q.flows) >= q.cfg.MaxFlows {
		k.operation, k.need = "", model.Resources{}
		f = q.flows[k]
	}
	if f == nil {
		q.seq++
		f = &flow{key: k, seq: q.seq}
		f.less = earlier
		if f.firstCome = q.cfg.FIFO; f.firstCome {
			f.less = arrivedEarlier
		}
		q.flows[k] = f
		q.order[k.class] = append(q.order[k.class], f)
	}
	return f
}

// Remove takes a waiting task off the queue in constant time and reports
// whether it was there. Its entry is skipped when it is reached.
func (q *Queue) Remove(t model.TaskID) bool {
	e := q.items[t]
	if e == nil {
		return false
	}
	q.take(e)
	return true
}

// take removes a live entry from all counts.
func (q *Queue) take(e *entry) {
	q.kill(e)
	q.waiting[e.it.Class]--
	if e.it.Class == model.ClassInteractive {
		q.demand.waiting = q.demand.waiting.Sub(e.it.Resources)
		if e.it.Deadline != 0 {
			q.deadlines.died()
		}
	}
}

// kill marks an entry as dead in its flow and its job.
func (q *Queue) kill(e *entry) {
	e.dead = true
	delete(q.items, e.it.Task)
	e.flow.died()
	j := q.jobs[e.it.Job]
	if j == nil {
		return
	}
	if j.live--; j.live == 0 {
		delete(q.jobs, e.it.Job)
	} else if len(j.entries) > compactAt && j.live < len(j.entries)/2 {
		j.compact()
	}
}

// compact drops the dead entries.
func (j *jobEntries) compact() {
	live := j.entries[:0]
	for _, e := range j.entries {
		if !e.dead {
			live = append(live, e)
		}
	}
	clear(j.entries[len(live):])
	j.entries = live
}

// Expire takes off the interactive items whose deadline has passed and passes
// each to f, the earliest first.
func (q *Queue) Expire(now model.Time, f func(*Item)) {
	for e := q.deadlines.head(); e != nil && e.deadline <= now; e = q.deadlines.head() {
		q.take(e)
		f(e.it)
	}
}

// SetPrioritized puts a job's waiting and later items before other work of their class,
// or ends that. Its cost is proportional to the job's waiting items. A raised
// job is remembered until that is ended.
func (q *Queue) SetPrioritized(job model.JobID, on bool) {
	if q.raised[job] == on || q.cfg.FIFO {
		return
	}
	if on {
		q.raised[job] = true
	} else {
		delete(q.raised, job)
	}
	j := q.jobs[job]
	if j == nil {
		return
	}
	entries := j.entries
	j.entries, j.live = nil, 0
	for _, e := range entries {
		if e.dead || e.it.Class == model.ClassInteractive {
			if !e.dead {
				j.entries = append(j.entries, e)
				j.live++
			}
			continue
		}
		e.dead = true
		e.flow.died()
		q.enqueue(e.it)
	}
}

// WaitingInClass returns the number of waiting items of a class.
func (q *Queue) WaitingInClass(class model.Class) int { return q.waiting[class] }

// WaitingInJob returns the number of waiting items of a job.
func (q *Queue) WaitingInJob(job model.JobID) int {
	if j := q.jobs[job]; j != nil {
		return j.live
	}
	return 0
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }
