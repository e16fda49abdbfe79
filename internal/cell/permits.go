package cell

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// findPermit returns the position in a group's permits of the one for a worker, or where
// it is to be inserted.
func (g *group) findPermit(w *worker) (int, bool) {
	return slices.BinarySearchFunc(g.permits, w.index, func(p permit, index int) int { return cmp.Compare(p.worker.index, index) })
}

// permitAt returns a group's permit for a worker, which may be empty or expired.
func (g *group) permitAt(w *worker) permit {
	if at, ok := g.findPermit(w); ok {
		return g.permits[at]
	}
	return permit{}
}

// setPermit adds a permit, or replaces the one for the same worker.
func (g *group) setPermit(p permit) {
	at, ok := g.findPermit(p.worker)
	if ok {
		g.permits[at] = p
	} else {
		g.permits = slices.Insert(g.permits, at, p)
	}
}

// permitValid reports whether a permit remains valid until a start that is placed now has
// been answered.
func (c *Cell) permitValid(p *permit) bool { return c.permitValidAt(p, c.now) }

// permitValidAt is permitValid for a later placement.
func (c *Cell) permitValidAt(p *permit, at model.Time) bool {
	return p.token != "" && p.boot == p.worker.boot && p.expiresAt.Sub(at) > c.pacer.StartMargin()
}
