package queue

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// candidate is a flow in one pass, with the rank of its head. It is kept small,
// since the heap of a pass moves it often.
type candidate struct {
	f    *flow
	rank int64
}

// raisedBefore is subtracted from the rank of raised work. Other ranks are cut
// off below it, which is 146 years.
const raisedBefore = 1 << 62

// before is the order of the flows of one class.
func before(x, y candidate) bool {
	return x.rank < y.rank || x.rank == y.rank && x.f.seq < y.f.seq
}

// Schedule offers items to try in policy order and returns how many were
// placed. Classes go in a fixed order. Within a class, raised jobs go first;
// then gangs and batch by deadline, services by arrival, and interactive items
// by arrival plus expected run time, so that short work goes first and long
// work moves up as it waits. A flow is left after Blocked, so that a pass costs
// O(flows + placed · log flows). Flows of stragglers are passed over while
// stragglers hold their share of the slots, except for raised jobs. The function
// try may call every method but Schedule.
func (q *Queue) Schedule(now model.Time, try func(*Item) Decision) int {
	q.running.promote(q, now)
	placed, pending := 0, int64(0)
	for _, classes := range q.passes {
		pass := q.candidates(classes)
		for len(pass.a) > 0 {
			c := pass.a[0]
			head := c.f.head()
			if head == nil { // try removed what was left
				pass.pop()
				continue
			}
			it := head.it
			if c.f.straggler && !q.stragglerFits(pending, slotsOf(it)) {
				pass.pop()
				continue
			}
			v := try(it)
			if v == StopPass {
				return placed
			}
			if v != Blocked && !head.dead {
				q.take(head)
			}
			if v == Placed {
				placed++
				// Started usually comes from within try; if not, the pass
				// counts the slots itself.
				if c.f.straggler && q.running.byTask[it.Task] == nil {
					pending += slotsOf(it)
				}
			}
			if v == Blocked || !pass.a[0].refresh() {
				pass.pop()
			} else {
				pass.down(0)
			}
		}
	}
	return placed
}

// candidates returns the flows of classes that hold items, as a heap, and
// forgets the empty ones.
func (q *Queue) candidates(classes []model.Class) *heap[candidate] {
	h := &q.pass
	h.a = h.a[:0]
	for _, class := range classes {
		q.addCandidates(h, class)
	}
	h.init()
	return h
}

// addCandidates adds the flows of one class.
func (q *Queue) addCandidates(h *heap[candidate], class model.Class) {
	flows, limit := q.order[class], q.stats.limit(class)
	kept := flows[:0]
	for _, f := range flows {
		if f.live == 0 {
			delete(q.flows, f.key)
			continue
		}
		kept = append(kept, f)
		f.assumed = q.stats.assumedOf(q.opOf(f), class)
		f.straggler = !f.firstCome && !f.key.raised && limit > 0 && (f.assumed > limit || f.key.straggler)
		c := candidate{f: f}
		if c.refresh() {
			h.a = append(h.a, c)
		}
	}
	clear(flows[len(kept):])
	q.order[class] = kept
}

// refresh reads the head of a candidate's flow again and reports whether there
// is one.
func (c *candidate) refresh() bool {
	head := c.f.head()
	if head == nil {
		return false
	}
	if c.f.firstCome {
		c.rank = int64(head.it.Enqueued)
		return true
	}
	c.rank = min(rank(head, c.f.assumed), raisedBefore-1)
	if c.f.key.raised {
		c.rank -= raisedBefore
	}
	return true
}

// opOf returns the statistics of a flow's operation, nil if there are none. The
// flow remembers them until operations are added or dropped.
func (q *Queue) opOf(f *flow) *op {
	if f.opAt != q.stats.changes {
		f.op, f.opAt = q.stats.ops[opKey{f.key.service, f.key.operation}], q.stats.changes
	}
	return f.op
}

// rank returns the time by which items of one class are ordered, given the run
// time assumed of them.
func rank(e *entry, assumed time.Duration) int64 {
	switch e.it.Class {
	case model.ClassInteractive:
		return int64(e.it.Enqueued.Add(assumed / time.Duration(max(e.it.Weight, 1))))
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
	return held == 0 || q.running.slots == 0 || held+slots <= int64(float64(q.running.slots)*q.cfg.MaxStragglerShare)
}

// slotsOf returns the slots that one task of the item holds.
func slotsOf(it *Item) int64 { return max(it.Resources.Slots, 1) }
