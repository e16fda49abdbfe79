package placement

import (
	"math"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Place chooses a worker for r, or says why there is none. It changes nothing.
//
// Among the workers that fit, it prefers in this order: one that r does not
// avoid; one without accelerators if r needs none; for class service, the rack
// and then the worker with the fewest tasks of the service; for class
// interactive, the worker with the fewest tasks of the service; the one that has
// the least left, see rank; the first by name.
func (c *Cache) Place(r Request) (model.WorkerName, Denial) {
	at, d := c.place(r)
	if d != DenialNone {
		return "", d
	}
	return c.workers[at].name, DenialNone
}

// place is Place with the row of the worker.
func (c *Cache) place(r Request) (int, Denial) {
	need := demand(r.Resources)
	if r.ProbeWorker != "" {
		return c.placeProbe(r.ProbeWorker, need)
	}
	switch {
	case !c.CanEverFit(need):
		return -1, DenialNeverFits
	case !c.quotaAllows(r.Team, need):
		return -1, DenialOverQuota
	case !leaves(c.free, need, r.Headroom):
		return -1, DenialNoFitNow
	}
	at := -1
	if r.FirstFit {
		at = slices.IndexFunc(c.rows, func(w row) bool { return !w.blocked && need.Fits(w.free) })
	} else {
		at = c.scan(need, c.penalise(r))
		clear(c.penalty)
	}
	if at < 0 {
		return -1, DenialNoFitNow
	}
	return at, DenialNone
}

// placeProbe considers only the named worker, which may be quarantined. A probe
// is one small task, so neither quota nor reserve holds it back.
func (c *Cache) placeProbe(name model.WorkerName, need model.Resources) (int, Denial) {
	w := c.byName[name]
	if w == nil || w.pos < 0 || w.flags.Leaving || w.flags.Unfenced || !need.Fits(c.rows[w.pos].free) {
		return -1, DenialNoFitNow
	}
	return w.pos, DenialNone
}

// penalise fills the scratch penalties for avoided workers and for workers that
// run the same service, and returns the penalties of racks, nil if there are none.
func (c *Cache) penalise(r Request) []uint64 {
	for _, name := range r.Avoid {
		if w := c.byName[name]; w != nil && w.pos >= 0 {
			c.penalty[w.pos] |= 1 << avoidBit
		}
	}
	s := c.services[r.Service]
	if s == nil {
		return nil
	}
	if r.Class == model.ClassInteractive {
		c.spread(s)
		return nil
	}
	if r.Class != model.ClassService {
		return nil
	}
	racks := make([]uint64, len(c.racks))
	for w, n := range s.byWorker { // sums only, so the order does not matter
		if w.pos >= 0 {
			c.penalty[w.pos] |= uint64(min(n, maxSpread)) << workerSpreadBits
			racks[c.rows[w.pos].rack] += uint64(n)
		}
	}
	for i := range racks {
		racks[i] = min(racks[i], maxSpread) << rackSpreadBits
	}
	return racks
}

// spread penalises workers by the tasks of an interactive service that they
// hold. A worker that has gone silent keeps its tasks in doubt and so gets no
// more of the service than the others.
func (c *Cache) spread(s *service) {
	for w, n := range s.byWorker {
		if w.pos >= 0 {
			c.penalty[w.pos] |= uint64(min(n, maxSpread)) << workerSpreadBits
		}
	}
}

// scan returns the row with the lowest rank that fits need, or -1.
func (c *Cache) scan(need model.Resources, racks []uint64) int {
	best, at := uint64(math.MaxUint64), -1
	for i := range c.rows {
		r := &c.rows[i]
		if r.blocked || !need.Fits(r.free) {
			continue
		}
		rank := c.shapes[r.shape].rank(need, r.free) | c.penalty[i]
		if racks != nil {
			rank |= racks[r.rack]
		}
		if rank < best {
			best, at = rank, i
		}
	}
	return at
}

// rank returns how much of a worker of this shape is left after the task: the
// mean of the parts left of processors, memory and, at half weight, slots; for
// tasks with accelerators the mean of that and the part left of these. It is an
// integer, so that every machine computes the same choice. A mean packs better
// than the dominant component alone, which fills one component and strands the
// others. Slots count less, since a free slot strands nothing else.
func (s *shape) rank(need, free model.Resources) uint64 {
	left := s.part(s.weights.MilliCPU, free.MilliCPU-need.MilliCPU)*2 +
		s.part(s.weights.MemoryMB, free.MemoryMB-need.MemoryMB)*2 +
		s.part(s.weights.Slots, free.Slots-need.Slots)
	left /= 5
	if need.Accelerators > 0 {
		left = left/2 + s.part(s.weights.Accelerators, free.Accelerators-need.Accelerators)/2
	} else if s.capacity.Accelerators > 0 {
		return left>>(weightBits-remainderBits) | 1<<acceleratorBit
	}
	return left >> (weightBits - remainderBits)
}

// part returns the part that left is of the capacity behind weight, in
// 2^-weightBits.
func (s *shape) part(weight, left int64) uint64 { return uint64(left * weight) }

// weigh computes the weights of a shape. They replace a division per worker.
func (s *shape) weigh() {
	w := func(capacity int64) int64 { return (1<<weightBits - 1) / max(capacity, 1) }
	k := s.capacity
	s.weights = model.Resources{MilliCPU: w(k.MilliCPU), MemoryMB: w(k.MemoryMB), Accelerators: w(k.Accelerators), Slots: w(k.Slots)}
}

// component names one kind of capacity.
type component uint8

// The components of model.Resources.
const (
	milliCPU component = iota
	memoryMB
	accelerators
	slots
	connections
	components
)

// of returns that component of r.
func (k component) of(r model.Resources) int64 {
	switch k {
	case milliCPU:
		return r.MilliCPU
	case memoryMB:
		return r.MemoryMB
	case accelerators:
		return r.Accelerators
	case slots:
		return r.Slots
	default:
		return r.Connections
	}
}

// dominant returns the component of which need takes the largest part of
// capacity, the first of equals.
func dominant(need, capacity model.Resources) component {
	best := milliCPU
	for k := memoryMB; k < components; k++ {
		// need/capacity compared by cross multiplication; amounts are far below 2^31.
		if k.of(need)*max(best.of(capacity), 1) > best.of(need)*max(k.of(capacity), 1) {
			best = k
		}
	}
	return best
}

// CanEverFit reports whether some known worker could hold need if it were
// empty. Leaving and quarantined workers count, since their replacements have
// the same shape. Without any worker nothing is known, and it reports true.
func (c *Cache) CanEverFit(need model.Resources) bool {
	need = demand(need)
	for i := range c.shapes {
		if c.shapes[i].workers > 0 && need.Fits(c.shapes[i].capacity) {
			return true
		}
	}
	return len(c.workers) == 0
}

// WithinQuota reports whether need alone is within the team's quota, whatever
// the team uses at present. If it is not, waiting does not help.
func (c *Cache) WithinQuota(team string, need model.Resources) bool {
	t := c.teams[team]
	return t == nil || withinQuota(t.quota, demand(need))
}

// quotaAllows reports whether the team may use need in addition.
func (c *Cache) quotaAllows(team string, need model.Resources) bool {
	t := c.teams[team]
	return t == nil || withinQuota(t.quota, t.used.Add(need))
}

// withinQuota reports whether use is within quota; a zero component is unlimited.
func withinQuota(quota, use model.Resources) bool {
	for k := milliCPU; k < components; k++ {
		if q := k.of(quota); q > 0 && k.of(use) > q {
			return false
		}
	}
	return true
}

// leaves reports whether free minus need still holds reserve in each component
// that need takes from.
func leaves(free, need, reserve model.Resources) bool {
	for k := milliCPU; k < components; k++ {
		if n := k.of(need); n > 0 && k.of(free)-n < k.of(reserve) {
			return false
		}
	}
	return true
}
