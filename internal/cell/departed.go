package cell

import "slices"

// unusedIndex returns an index for a new worker. The index of a worker that was forgotten
// is used again, so that what groups hold by index does not grow.
func (c *Cell) unusedIndex() int {
	if n := len(c.unusedIndexes); n > 0 {
		i := c.unusedIndexes[n-1]
		c.unusedIndexes = c.unusedIndexes[:n-1]
		return i
	}
	c.indexCount++
	return c.indexCount - 1
}

// forgetDepartedWorkers forgets workers that have left for good. Each replacement of a
// worker has another name, so that they would otherwise become ever more.
func (c *Cell) forgetDepartedWorkers() {
	if c.now.Sub(c.forgottenAt) < expiryInterval {
		return
	}
	c.forgottenAt = c.now
	var departed []*worker
	for _, w := range c.workerList {
		switch {
		case !c.departed(w):
		case w.listed:
			c.listedAnswers = true // a list without it comes first
		default:
			departed = append(departed, w)
		}
	}
	if len(departed) == 0 {
		return
	}
	for _, w := range departed {
		delete(c.workers, w.info.Name)
		c.health.ForgetWorker(w.info.Name)
		c.unusedIndexes = append(c.unusedIndexes, w.index)
	}
	gone := func(w *worker) bool { return c.workers[w.info.Name] != w }
	c.workerList = slices.DeleteFunc(c.workerList, gone)
	for _, j := range c.jobs {
		for _, g := range j.groups {
			g.permits = slices.DeleteFunc(g.permits, func(p permit) bool { return gone(p.worker) })
			for _, w := range departed {
				if w.index < len(g.eligible) {
					g.eligible[w.index] = eligibleUnknown
				}
			}
		}
	}
	c.log("departed workers forgotten", "", Fields{Count: len(departed)})
}

// departed reports whether a worker has had no entry for a while and nothing refers to it.
func (c *Cell) departed(w *worker) bool {
	return !w.registered && len(w.runs) == 0 && !w.renewInFlight && !w.statusInFlight &&
		c.now.Sub(w.unregisteredAt) >= departedWorkerRetention
}
