package queue

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// candidate is a flow in one pass, with the rank of its head.
type candidate struct {
	f         *flow
	head      *entry
	rank      int64
	straggler bool
}

// before is the order of the flows of one class.
func before(x, y candidate) bool {
	if x.f.key.raised != y.f.key.raised {
		return x.f.key.raised
	}
	if x.rank != y.rank {
		return x.rank < y.rank
	}
	return x.f.seq < y.f.seq
}

// Schedule offers items to try in policy order and returns how many were
// placed. Classes go in a fixed order. Within a class, raised jobs go first;
// then gangs and batch by deadline, services by arrival, and interactive items
// by arrival plus expected run time, so that short work goes first and long
// work moves up as it waits. A flow is left after Blocked, so that a pass costs
// O(flows + placed · log flows). Flows of stragglers are passed over while
// stragglers hold their share of the slots, except for raised jobs.
func (q *Queue) Schedule(now model.Time, try func(*Item) Verdict) int {
	q.running.promote(q, now)
	placed, pending := 0, int64(0)
	for _, class := range classOrder {
		pass := q.candidates(class)
		for len(pass.a) > 0 {
			c := pass.a[0]
			it := c.head.it
			if c.straggler && !q.stragglerFits(pending, slotsOf(it)) {
				pass.pop()
				continue
			}
			v := try(it)
			if v == Stop {
				return placed
			}
			if v != Blocked && !c.head.dead {
				q.take(c.head)
			}
			if v == Placed {
				placed++
				// Started usually comes from within try; if not, the pass
				// counts the slots itself.
				if c.straggler && q.running.byTask[it.Task] == nil {
					pending += slotsOf(it)
				}
			}
			if v == Blocked || !q.refresh(&pass.a[0]) {
				pass.pop()
			} else {
				pass.down(0)
			}
		}
	}
	return placed
}

// candidates returns the flows of a class that hold items, as a heap, and
// forgets the empty ones.
func (q *Queue) candidates(class model.Class) *heap[candidate] {
	flows := q.order[class]
	h := &heap[candidate]{less: before, a: make([]candidate, 0, len(flows))}
	kept := flows[:0]
	for _, f := range flows {
		if f.live == 0 {
			delete(q.flows, f.key)
			continue
		}
		kept = append(kept, f)
		c := candidate{f: f, straggler: !f.key.raised && q.straggles(f.key)}
		if q.refresh(&c) {
			h.a = append(h.a, c)
		}
	}
	clear(flows[len(kept):])
	q.order[class] = kept
	h.init()
	return h
}

// refresh reads the head of a candidate's flow again and reports whether there
// is one.
func (q *Queue) refresh(c *candidate) bool {
	if c.head = c.f.head(); c.head == nil {
		return false
	}
	c.rank = q.rank(c.head)
	return true
}

// rank returns the time by which items of one class are ordered.
func (q *Queue) rank(e *entry) int64 {
	switch e.it.Class {
	case model.ClassInteractive:
		run := q.stats.assumed(e.it.Service, e.it.Operation, e.it.Class)
		return int64(e.it.Enqueued.Add(run / time.Duration(max(e.it.Weight, 1))))
	case model.ClassService:
		return int64(e.it.Enqueued)
	default:
		return int64(e.deadline)
	}
}

// straggles reports whether items of a flow are expected to be stragglers.
func (q *Queue) straggles(k flowKey) bool {
	limit := q.stats.limit(k.class)
	return limit > 0 && q.stats.assumed(k.service, k.operation, k.class) > limit
}

// stragglerFits reports whether a straggler may take slots while pending more
// are taken than are counted. One straggler may always run, however many slots
// it needs, so that they do not starve.
func (q *Queue) stragglerFits(pending, slots int64) bool {
	held := q.running.stragglers + pending
	return held == 0 || q.running.slots == 0 || held+slots <= int64(float64(q.running.slots)*q.cfg.StragglerShare)
}

// slotsOf returns the slots that one task of the item holds.
func slotsOf(it *Item) int64 { return max(it.Need.Slots, 1) }
