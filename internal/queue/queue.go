package queue

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Item is one waiting task or gang.
type Item struct {
	Task      model.TaskID
	Job       model.JobID
	Service   string
	Operation string
	Team      string
	Class     model.Class
	Resources model.Resources // demand of one task
	Deadline  model.Time      // zero if there is none
	Enqueued  model.Time
	GangSize  int  // number of tasks in the gang, 0 for a single task
	Weight    int  // a value above 1 divides the expected run time that orders the item
	Straggler bool // exceeded the straggler limit once and was requeued
	Data      any  // opaque to this package
}

// Decision is what the caller decided about an item offered by Schedule.
type Decision int

// The decisions.
const (
	Placed   Decision = iota // removed from the queue and placed
	Blocked                  // no capacity for this demand now; the item stays queued
	Dropped                  // removed from the queue without being placed
	StopPass                 // the item stays queued and the pass ends
)

// classOrder is the order in which a pass visits the classes.
var classOrder = [...]model.Class{model.ClassInteractive, model.ClassService, model.ClassGang, model.ClassBatch}

// minCompactSize is the number of dead entries below which a heap is not compacted.
// Above it, a heap is rebuilt once half of its entries are dead, which costs amortized
// O(1) per removal.
const minCompactSize = 64

// Queue holds waiting items in one flow per class, service, operation and demand. The
// items of a flow have the same demand, so if its head is blocked, all of them are.
type Queue struct {
	cfg          Config
	seq          uint64
	items        map[model.TaskID]*entry
	flows        map[flowKey]*flow
	flowsByClass map[model.Class][]*flow // in order of creation
	waiting      map[model.Class]int
	jobs         map[model.JobID]*jobEntries
	prioritized  map[model.JobID]bool
	deadlines    lazyHeap // interactive items by deadline
	passHeap     heap[candidate]

	stats       *stats
	running     runningTasks
	demand      demandTracker
	passClasses [][]model.Class // classes scheduled together, in order of the passes
}

// flowKey identifies the flow of an item.
type flowKey struct {
	class                  model.Class
	service, operation     string
	need                   model.Resources
	prioritized, straggler bool
}

// flow is an ordered queue of similar items.
type flow struct {
	key        flowKey
	seq        uint64   // creation order, the final tie-break between flows
	opStats    *opStats // cached, see opStatsOf
	opsVersion uint64

	fifo bool // see Config.FIFO
	// The fields below are set at the start of each pass.
	expectedRunTime time.Duration // used for planning
	straggler       bool          // expected to be stragglers and not prioritized
	lazyHeap
}

// entry is one queued item. A dead entry is dropped once it reaches the head of its
// heap.
type entry struct {
	item     *Item
	deadline model.Time // given or assumed
	seq      uint64
	flow     *flow
	dead     bool
}

// jobEntries lists a job's entries, so that SetPrioritized needs no search.
type jobEntries struct {
	entries []*entry
	live    int
}

// lazyHeap is a heap of entries with lazy deletion.
type lazyHeap struct {
	heap[*entry]
	live int
}

// head returns the first live entry, or nil if there is none.
func (h *lazyHeap) head() *entry {
	for len(h.values) > 0 && h.values[0].dead {
		h.pop()
	}
	if len(h.values) == 0 {
		return nil
	}
	return h.values[0]
}

// countDead records that one live entry has become dead, and compacts the heap if
// needed.
func (h *lazyHeap) countDead() {
	if h.live--; len(h.values) > minCompactSize && h.live < len(h.values)/2 {
		h.filter(func(e *entry) bool { return !e.dead })
	}
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:          cfg,
		items:        map[model.TaskID]*entry{},
		flows:        map[flowKey]*flow{},
		flowsByClass: map[model.Class][]*flow{},
		waiting:      map[model.Class]int{},
		jobs:         map[model.JobID]*jobEntries{},
		prioritized:  map[model.JobID]bool{},
		stats:        newStats(cfg),
		running:      newRunningTasks(),
	}
	q.deadlines.less = deadlineLess
	for _, class := range classOrder {
		q.passClasses = append(q.passClasses, []model.Class{class})
	}
	if cfg.FIFO {
		q.passClasses = [][]model.Class{classOrder[:]}
	}
	q.passHeap.less = candidateLess
	q.stats.opsVersion = 1 // differs from the zero value of a new flow, whose cache is empty
	return q
}

// deadlineLess orders entries by deadline, then by arrival.
func deadlineLess(x, y *entry) bool {
	if x.deadline != y.deadline {
		return x.deadline < y.deadline
	}
	if x.item.Enqueued != y.item.Enqueued {
		return x.item.Enqueued < y.item.Enqueued
	}
	return x.seq < y.seq
}

// arrivalLess orders entries by arrival.
func arrivalLess(x, y *entry) bool {
	return x.item.Enqueued < y.item.Enqueued || x.item.Enqueued == y.item.Enqueued && x.seq < y.seq
}

// Push adds an item. It ignores an item whose task is already waiting.
func (q *Queue) Push(it *Item) {
	if q.items[it.Task] != nil {
		return
	}
	q.stats.recordClass(it.Service, it.Class)
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

// enqueue adds an item to its flow and to the index of its job.
func (q *Queue) enqueue(it *Item) *entry {
	q.seq++
	e := &entry{item: it, seq: q.seq, deadline: it.Deadline}
	if it.Deadline == 0 {
		// The assumed deadline lets work without one move up as it waits.
		e.deadline = it.Enqueued.Add(q.cfg.DefaultDeadline)
	}
	e.flow = q.getOrAddFlow(it)
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

// getOrAddFlow returns the flow of an item, creating it if needed. Once there are
// MaxFlows flows, items of one service share a flow, in which a large demand may block a
// smaller one.
func (q *Queue) getOrAddFlow(it *Item) *flow {
	k := flowKey{it.Class, it.Service, it.Operation, it.Resources, it.Class != model.ClassInteractive && q.prioritized[it.Job], it.Straggler}
	f := q.flows[k]
	if f == nil && len(q.flows) >= q.cfg.MaxFlows {
		k.operation, k.need = "", model.Resources{}
		f = q.flows[k]
	}
	if f == nil {
		q.seq++
		f = &flow{key: k, seq: q.seq}
		f.less = deadlineLess
		if f.fifo = q.cfg.FIFO; f.fifo {
			f.less = arrivalLess
		}
		q.flows[k] = f
		q.flowsByClass[k.class] = append(q.flowsByClass[k.class], f)
	}
	return f
}

// Remove removes a waiting task in constant time and reports whether it was queued. Its
// entry stays in the heaps as a dead one.
func (q *Queue) Remove(t model.TaskID) bool {
	e := q.items[t]
	if e == nil {
		return false
	}
	q.dequeue(e)
	return true
}

// dequeue removes a live entry from the queue and from all counts.
func (q *Queue) dequeue(e *entry) {
	q.markDead(e)
	q.waiting[e.item.Class]--
	if e.item.Class == model.ClassInteractive {
		q.demand.waiting = q.demand.waiting.Sub(e.item.Resources)
		if e.item.Deadline != 0 {
			q.deadlines.countDead()
		}
	}
}

// markDead marks an entry as dead in its flow and its job.
func (q *Queue) markDead(e *entry) {
	e.dead = true
	delete(q.items, e.item.Task)
	e.flow.countDead()
	j := q.jobs[e.item.Job]
	if j == nil {
		return
	}
	if j.live--; j.live == 0 {
		delete(q.jobs, e.item.Job)
	} else if len(j.entries) > minCompactSize && j.live < len(j.entries)/2 {
		j.compact()
	}
}

// compact removes the dead entries.
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

// Expire removes the interactive items whose deadline has passed and calls f for each,
// the earliest deadline first.
func (q *Queue) Expire(now model.Time, f func(*Item)) {
	for e := q.deadlines.head(); e != nil && e.deadline <= now; e = q.deadlines.head() {
		q.dequeue(e)
		f(e.item)
	}
}

// SetPrioritized sets whether a job's waiting and future items go before other work of
// their class. Its cost is proportional to the number of the job's waiting items. The
// setting is kept until it is cleared, even while none of the job's items waits.
func (q *Queue) SetPrioritized(job model.JobID, prioritized bool) {
	if q.prioritized[job] == prioritized || q.cfg.FIFO {
		return
	}
	if prioritized {
		q.prioritized[job] = true
	} else {
		delete(q.prioritized, job)
	}
	j := q.jobs[job]
	if j == nil {
		return
	}
	entries := j.entries
	j.entries, j.live = nil, 0
	for _, e := range entries {
		if e.dead || e.item.Class == model.ClassInteractive {
			if !e.dead {
				j.entries = append(j.entries, e)
				j.live++
			}
			continue
		}
		e.dead = true
		e.flow.countDead()
		q.enqueue(e.item)
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
