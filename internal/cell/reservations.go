package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
)

const (
	// reserveAfter is how long a gang waits before workers are reserved for it. Until
	// then it would often find enough workers anyway.
	reserveAfter = 1200 * time.Millisecond
	// maxReservations bounds the number of gangs with reserved workers, since reserved
	// workers are left idle.
	maxReservations = 2
	// maxReservedShare bounds the workers that are reserved at the same time, as a share of
	// all, and minReserved is the number that may be in any case. Reserved workers lose more
	// room than wide gangs gain by them.
	maxReservedShare = 0.03
	minReserved      = 6
)

// reserve keeps batch work that ranks lower from the workers with the most free CPU that
// waiting tasks may use: those of a gang, and tasks that last. Otherwise small tasks take
// each bit of capacity as it becomes free, and wide tasks wait until the load peak is over.
// Workers that tasks which last leave too little room are not reserved, and a gang that can't
// start beside these has none.
func (c *Cell) reserve(g *group, q *jobs.Queue, d fit.Demand) {
	g.reserved = nil
	if c.reservations >= maxReservations || d.Need.MilliCPU <= 0 {
		return
	}
	switch {
	case g.step.Gang && (q.Priority == 0 || c.now.Sub(g.readyAt) < reserveAfter):
		return
	case !g.step.Gang && (!g.step.LongRunning || c.now.Sub(g.waitsSince) < reserveAfter):
		return
	}
	var pool []*worker
	total := 0
	for _, w := range c.workerList {
		if (!q.Eligibility.Required() || g.eligibilityAt(w) == eligibleYes) && c.canRun(g, q, w) && c.reservedFor[w] == nil {
			if n := g.count(d, w.attainable()); n > 0 {
				pool = append(pool, w)
				total += n
			}
		}
	}
	if g.step.Gang && total < g.pending {
		return
	}
	slices.SortStableFunc(pool, func(a, b *worker) int { return -cmp.Compare(a.free().MilliCPU, b.free().MilliCPU) })
	most := max(minReserved, int(maxReservedShare*float64(len(c.workerList)))) - len(c.reservedFor)
	capacity := 0
	for i, w := range pool {
		if i == most {
			if g.step.Gang {
				g.reserved = nil
				return
			}
			break
		}
		g.reserved = pool[:i+1]
		if capacity += g.count(d, w.attainable()); capacity >= g.pending {
			break
		}
	}
	c.renewReservation(g)
}

// renewReservation reserves the workers of a gang's last attempt in this scheduling pass.
func (c *Cell) renewReservation(g *group) {
	if len(g.reserved) == 0 || c.reservations >= maxReservations {
		return
	}
	c.reservations++
	for _, w := range g.reserved {
		if c.reservedFor[w] == nil {
			c.reservedFor[w] = g
		}
	}
}

// keptFromOthers reports whether a worker is reserved and a group that is not urgent has to leave
// it alone. A group that has waited long enough leaves alone only workers of which runs were just
// stopped.
func (c *Cell) keptFromOthers(w *worker, holdsOver bool) bool {
	return c.reservedFor[w] != nil && (!holdsOver || c.isCleared(w))
}
