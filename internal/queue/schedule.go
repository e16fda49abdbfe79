package queue

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// candidate is a flow in one pass with the rank of its head. It is kept small, since
// heap operations move it often.
type candidate struct {
	f    *flow
	rank int64
}

// priorityOffset is subtracted from the rank of prioritized work. Other ranks are capped
// below it; it corresponds to 146 years.
const priorityOffset = 1 << 62

// candidateLess orders the flows of one class.
func candidateLess(x, y candidate) bool {
	return x.rank < y.rank || x.rank == y.rank && x.f.seq < y.f.seq
}

// Schedule passes items to try in policy order and returns the number placed. Classes go
// in a fixed order. Within a class, prioritized jobs go first; then gangs and batch
// items by deadline, service items by arrival, and interactive items by arrival plus
// expected run time, so that short work goes first and long work moves up as it waits.
// After Blocked, the rest of the flow is skipped, so that a pass costs
// O(flows + placed · log flows). Flows of stragglers are skipped while stragglers hold
// their share of the slots, except for prioritized jobs. The function try may call any
// method but Schedule.
func (q *Queue) Schedule(now model.Time, try func(*Item) Decision) int {
	q.running.markOverLimit(q, now)
	placed, pending := 0, int64(0)
	for _, classes := range q.passClasses {
		pass := q.candidates(classes)
		for len(pass.values) > 0 {
			c := pass.values[0]
			head := c.f.head()
			if head == nil { // try removed the remaining items
				pass.pop()
				continue
			}
			it := head.item
			if c.f.straggler && !q.mayStartStraggler(pending, taskSlots(it)) {
				pass.pop()
				continue
			}
			decision := try(it)
			if decision == StopPass {
				return placed
			}
			if decision != Blocked && !head.dead {
				q.dequeue(head)
			}
			if decision == Placed {
				placed++
				// The caller usually calls RecordStart within try. If it has not, the
				// pass counts the slots itself.
				if c.f.straggler && q.running.byTask[it.Task] == nil {
					pending += taskSlots(it)
				}
			}
			if decision == Blocked || !pass.values[0].refresh() {
				pass.pop()
			} else {
				pass.down(0)
			}
		}
	}
	return placed
}

// candidates returns the flows of classes that hold items, as a heap, and removes the
// empty ones.
func (q *Queue) candidates(classes []model.Class) *heap[candidate] {
	h := &q.passHeap
	h.values = h.values[:0]
	for _, class := range classes {
		q.addCandidates(h, class)
	}
	h.init()
	return h
}

// addCandidates adds the flows of one class to h.
func (q *Queue) addCandidates(h *heap[candidate], class model.Class) {
	flows, limit := q.flowsByClass[class], q.stats.stragglerLimit(class)
	kept := flows[:0]
	for _, f := range flows {
		if f.live == 0 {
			delete(q.flows, f.key)
			continue
		}
		kept = append(kept, f)
		f.expectedRunTime = q.stats.runTimeFromStats(q.opStatsOf(f), class)
		f.straggler = !f.fifo && !f.key.prioritized && limit > 0 && (f.expectedRunTime > limit || f.key.straggler)
		c := candidate{f: f}
		if c.refresh() {
			h.values = append(h.values, c)
		}
	}
	clear(flows[len(kept):])
	q.flowsByClass[class] = kept
}

// refresh updates the rank from the current head of the flow and reports whether the
// flow has one.
func (c *candidate) refresh() bool {
	head := c.f.head()
	if head == nil {
		return false
	}
	if c.f.fifo {
		c.rank = int64(head.item.Enqueued)
		return true
	}
	c.rank = min(rank(head, c.f.expectedRunTime), priorityOffset-1)
	if c.f.key.prioritized {
		c.rank -= priorityOffset
	}
	return true
}

// opStatsOf returns the statistics of a flow's operation, or nil if there are none. The
// flow caches them until an operation is added or evicted.
func (q *Queue) opStatsOf(f *flow) *opStats {
	if f.opsVersion != q.stats.opsVersion {
		f.opStats, f.opsVersion = q.stats.ops[opKey{f.key.service, f.key.operation}], q.stats.opsVersion
	}
	return f.opStats
}

// rank returns the time by which items of one class are ordered, given their expected
// run time.
func rank(e *entry, expectedRunTime time.Duration) int64 {
	switch e.item.Class {
	case model.ClassInteractive:
		return int64(e.item.Enqueued.Add(expectedRunTime / time.Duration(max(e.item.Weight, 1))))
	case model.ClassService:
		return int64(e.item.Enqueued)
	default:
		return int64(e.deadline)
	}
}

// expectsStragglers reports whether the items of a flow are expected to be stragglers.
func (q *Queue) expectsStragglers(k flowKey) bool {
	limit := q.stats.stragglerLimit(k.class)
	return limit > 0 && q.stats.expectedRunTime(k.service, k.operation, k.class) > limit
}

// mayStartStraggler reports whether a straggler may take slots, given pending slots that
// were taken in this pass but are not counted yet. One straggler may always run, however
// many slots it needs, so that stragglers do not starve.
func (q *Queue) mayStartStraggler(pending, slots int64) bool {
	held := q.running.stragglerSlots + pending
	return held == 0 || q.running.totalSlots == 0 || held+slots <= int64(float64(q.running.totalSlots)*q.cfg.MaxStragglerShare)
}

// taskSlots returns the number of slots that one task of the item holds.
func taskSlots(it *Item) int64 { return max(it.Resources.Slots, 1) }
