package placement

import (
	"math"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Place chooses a worker for r, or returns the reason why there is none. The cache is
// unchanged afterwards.
//
// Among the workers that fit, it prefers in this order: one that is not in r.Avoid; one
// without accelerators if r needs none; for class service, the rack and then the worker
// with the fewest tasks of the service; for class interactive, the worker with the
// fewest tasks of the service; the one with the least capacity left, see rank; the first
// by name.
func (c *Cache) Place(r Request) (model.WorkerName, Denial) {
	row, d := c.place(r)
	if d != DenialNone {
		return "", d
	}
	return c.workers[row].name, DenialNone
}

// place is Place but returns the index of the row.
func (c *Cache) place(r Request) (int, Denial) {
	need := withMinSlots(r.Resources)
	if r.ProbeWorker != "" {
		return c.placeProbe(r.ProbeWorker, need)
	}
	switch {
	case !c.CanEverFit(need):
		return -1, DenialNeverFits
	case !c.quotaAllows(r.Team, need):
		return -1, DenialOverQuota
	case !leavesHeadroom(c.free, need, r.Headroom):
		return -1, DenialNoFitNow
	}
	row := -1
	if r.FirstFit {
		row = slices.IndexFunc(c.rows, func(w workerRow) bool { return !w.blocked && need.Fits(w.free) })
	} else {
		row = c.bestRow(need, c.setPenalties(r))
		clear(c.penalties)
	}
	if row < 0 {
		return -1, DenialNoFitNow
	}
	return row, DenialNone
}

// placeProbe considers only the named worker, which may be quarantined. A probe is one
// small task, so neither quota nor headroom applies.
func (c *Cache) placeProbe(name model.WorkerName, need model.Resources) (int, Denial) {
	w := c.byName[name]
	if w == nil || w.rowIndex < 0 || w.flags.Leaving || w.flags.Unfenced || !need.Fits(c.rows[w.rowIndex].free) {
		return -1, DenialNoFitNow
	}
	return w.rowIndex, DenialNone
}

// setPenalties sets the scratch penalties of avoided workers and of workers that run the
// same service. It returns the penalties by rack, or nil if there are none.
func (c *Cache) setPenalties(r Request) []uint64 {
	for _, name := range r.Avoid {
		if w := c.byName[name]; w != nil && w.rowIndex >= 0 {
			c.penalties[w.rowIndex] |= 1 << avoidBit
		}
	}
	s := c.services[r.Service]
	if s == nil {
		return nil
	}
	if r.Class == model.ClassInteractive {
		c.addSpreadPenalties(s)
		return nil
	}
	if r.Class != model.ClassService {
		return nil
	}
	racks := make([]uint64, len(c.racks))
	for w, n := range s.countByWorker { // only sums, so the map order does not matter
		if w.rowIndex >= 0 {
			c.penalties[w.rowIndex] |= uint64(min(n, maxSpreadCount)) << workerSpreadBits
			racks[c.rows[w.rowIndex].rack] += uint64(n)
		}
	}
	for i := range racks {
		racks[i] = min(racks[i], maxSpreadCount) << rackSpreadBits
	}
	return racks
}

// addSpreadPenalties penalizes workers by the number of tasks of an interactive service
// that they hold. The tasks of an unreachable worker stay counted as in doubt, so it
// gets no more of the service than other workers.
func (c *Cache) addSpreadPenalties(s *service) {
	for w, n := range s.countByWorker {
		if w.rowIndex >= 0 {
			c.penalties[w.rowIndex] |= uint64(min(n, maxSpreadCount)) << workerSpreadBits
		}
	}
}

// bestRow returns the index of the row with the lowest rank that fits need, or -1.
func (c *Cache) bestRow(need model.Resources, racks []uint64) int {
	best, bestIndex := uint64(math.MaxUint64), -1
	for i := range c.rows {
		r := &c.rows[i]
		if r.blocked || !need.Fits(r.free) {
			continue
		}
		rank := c.shapes[r.shape].rank(need, r.free) | c.penalties[i]
		if racks != nil {
			rank |= racks[r.rack]
		}
		if rank < best {
			best, bestIndex = rank, i
		}
	}
	return bestIndex
}

// rank returns the fraction of a worker of this shape that is left after the task: the
// mean of the fractions left of processors, memory and, at half weight, slots; for tasks
// with accelerators, the mean of that and the fraction of accelerators left. Integer
// arithmetic gives the same choice on every machine. A mean packs better than the
// dominant component alone, which fills one component and strands the others. Slots have
// less weight, since a free slot strands nothing else.
func (s *shape) rank(need, free model.Resources) uint64 {
	left := s.fractionLeft(s.reciprocals.MilliCPU, free.MilliCPU-need.MilliCPU)*2 +
		s.fractionLeft(s.reciprocals.MemoryMB, free.MemoryMB-need.MemoryMB)*2 +
		s.fractionLeft(s.reciprocals.Slots, free.Slots-need.Slots)
	left /= 5
	if need.Accelerators > 0 {
		left = left/2 + s.fractionLeft(s.reciprocals.Accelerators, free.Accelerators-need.Accelerators)/2
	} else if s.capacity.Accelerators > 0 {
		return left>>(reciprocalBits-fractionBits) | 1<<acceleratorBit
	}
	return left >> (reciprocalBits - fractionBits)
}

// fractionLeft returns left as a fraction of the capacity with this reciprocal, in units
// of 2^-reciprocalBits.
func (s *shape) fractionLeft(reciprocal, left int64) uint64 { return uint64(left * reciprocal) }

// setReciprocals computes the reciprocals of a capacity. They save a division per
// worker.
func (s *shape) setReciprocals() {
	reciprocal := func(capacity int64) int64 { return (1<<reciprocalBits - 1) / max(capacity, 1) }
	k := s.capacity
	s.reciprocals = model.Resources{MilliCPU: reciprocal(k.MilliCPU), MemoryMB: reciprocal(k.MemoryMB), Accelerators: reciprocal(k.Accelerators), Slots: reciprocal(k.Slots)}
}

// component identifies one component of model.Resources.
type component uint8

// The components of model.Resources.
const (
	milliCPU component = iota
	memoryMB
	accelerators
	slots
	connections
	componentCount
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

// dominantComponent returns the component of which need takes the largest share of
// capacity, the first one on a tie.
func dominantComponent(need, capacity model.Resources) component {
	best := milliCPU
	for k := memoryMB; k < componentCount; k++ {
		// Compares need/capacity by cross multiplication; amounts are far below 2^31.
		if k.of(need)*max(best.of(capacity), 1) > best.of(need)*max(k.of(capacity), 1) {
			best = k
		}
	}
	return best
}

// CanEverFit reports whether some known worker could hold need if it were empty. Leaving
// and quarantined workers count, since their replacements have the same shape. It
// reports true while no worker is known.
func (c *Cache) CanEverFit(need model.Resources) bool {
	need = withMinSlots(need)
	for i := range c.shapes {
		if c.shapes[i].workers > 0 && need.Fits(c.shapes[i].capacity) {
			return true
		}
	}
	return len(c.workers) == 0
}

// WithinQuota reports whether need alone is within the team's quota, regardless of what
// the team uses now. If it is not, waiting does not help.
func (c *Cache) WithinQuota(team string, need model.Resources) bool {
	t := c.teams[team]
	return t == nil || withinQuota(t.quota, withMinSlots(need))
}

// quotaAllows reports whether need fits into the team's quota beside its current use.
func (c *Cache) quotaAllows(team string, need model.Resources) bool {
	t := c.teams[team]
	return t == nil || withinQuota(t.quota, t.used.Add(need))
}

// withinQuota reports whether use is within quota. A zero component is unlimited.
func withinQuota(quota, use model.Resources) bool {
	for k := milliCPU; k < componentCount; k++ {
		if q := k.of(quota); q > 0 && k.of(use) > q {
			return false
		}
	}
	return true
}

// leavesHeadroom reports whether free minus need still covers headroom in each component
// that need takes from.
func leavesHeadroom(free, need, headroom model.Resources) bool {
	for k := milliCPU; k < componentCount; k++ {
		if n := k.of(need); n > 0 && k.of(free)-n < k.of(headroom) {
			return false
		}
	}
	return true
}
