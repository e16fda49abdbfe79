package cell

import (
	"math"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/headroom"
)

const (
	// scanTimePerWorker times the number of workers separates passes over all of them that need
	// not follow each event: they would otherwise take a third of the owner's processor time on
	// a site of a thousand workers. On small sites such passes follow almost every event.
	scanTimePerWorker = 8 * time.Microsecond
	// headroomCheckInterval is the minimum time between two looks at whether a waiting gang
	// fits beside the room for urgent work, which takes a look at all workers.
	headroomCheckInterval = time.Second
	// maxHoldWait is how long a group without a run waits beside workers with room that is kept
	// for other work, if less than half of the site is in use. A job may have nothing running
	// for 3 s then.
	maxHoldWait = 1200 * time.Millisecond
	// settledAfter is how long after its restart a worker is not filled with the tasks that it
	// lost. It is longer than workers that go down and up by turns stay up.
	settledAfter = 30 * time.Second
)

// lastingAt returns the number of tasks that last at a worker, by which they are distributed.
// Those that it lost in a recent restart count as well, so that they do not all start there
// again, at one worker that may crash once more.
func (c *Cell) lastingAt(w *worker) int {
	if w.lostLasting > 0 && c.now.Sub(w.restartedAt) < settledAfter {
		return w.lastingRuns + w.lostLasting
	}
	return w.lastingRuns
}

// scanDue reports whether a pass over all workers is due whose last one was at the given
// time, and records it.
func (c *Cell) scanDue(last *model.Time) bool {
	if *last != 0 && c.now.Sub(*last) < time.Duration(len(c.workerList))*scanTimePerWorker {
		return false
	}
	*last = c.now
	return true
}

// countWorkers records the largest free amount of each resource at any usable worker,
// which at a load peak alone rules out most waiting groups, the room for urgent tasks, and
// how many workers answer or are kept for suspected tasks. In between, roomChanged follows
// the placements.
func (c *Cell) countWorkers() {
	if !c.scanDue(&c.countedAt) {
		return
	}
	for _, r := range c.urgentRoom {
		r.Reset()
	}
	c.maxFree, c.lostProbations, c.answeringWorkers = model.Resources{}, 0, 0
	c.smallestWorker = math.MaxInt64
	for _, w := range c.workerList {
		w.counted = false
		if w.registered && w.epochAccepted && w.failedRenewals == 0 {
			c.answeringWorkers++
			c.smallestWorker = min(c.smallestWorker, w.attainable().MilliCPU)
		}
		switch {
		case w.usable(c.now):
			free := w.free()
			c.maxFree = c.maxFree.Max(free)
			w.counted = true
			c.roomOf(w).AddWorker(w.info.Capacity.MilliCPU, free.MilliCPU)
		case w.probation != nil && w.failedRenewals > 0:
			c.lostProbations++
		}
	}
}

// roomChanged follows a change of the free resources of a worker, which were as given
// before.
func (c *Cell) roomChanged(w *worker, before int64) {
	if !w.counted {
		return
	}
	free := w.free()
	c.maxFree = c.maxFree.Max(free)
	c.roomOf(w).Changed(before, free.MilliCPU)
}

// siteRoom returns the room for urgent tasks at the workers of a service.
func (c *Cell) siteRoom(service string) *headroom.Site {
	r := c.urgentRoom[service]
	if r == nil {
		r = headroom.NewSite()
		c.urgentRoom[service] = r
	}
	return r
}

// roomOf returns the room for urgent tasks at the workers of a worker's service.
func (c *Cell) roomOf(w *worker) *headroom.Site {
	if w.room == nil || w.roomFor != w.info.Service {
		w.room, w.roomFor = c.siteRoom(w.info.Service), w.info.Service
	}
	return w.room
}

// recordUrgent records the tasks of an urgent job.
func (c *Cell) recordUrgent(j *job) {
	q := c.queueOf(j)
	if q.Priority != 0 {
		return
	}
	for i := range j.steps {
		c.siteRoom(q.Service).RecordUrgent(taskDemand(&j.steps[i]).MilliCPU, j.steps[i].Tasks)
	}
}

// headroom returns the CPU that a group's tasks must leave free on each worker, and how many of
// them may be placed without it.
func (c *Cell) headroom(g *group) (milliCPU int64, spare int) {
	q := c.queueOf(g.job)
	if q.Priority == 0 || g.step.BestEffortCPU {
		return 0, g.pending
	}
	site, need := c.siteRoom(q.Service), taskDemand(g.step).MilliCPU
	milliCPU = site.OnEachWorker(need, g.pending)
	if milliCPU == 0 || c.holdsOver(g, q) || c.fitsOnlyWithoutHeadroom(g, milliCPU) {
		return 0, g.pending
	}
	if !g.step.Gang {
		spare = int(min(site.Spare(need), int64(g.pending)))
	}
	return milliCPU, spare
}

// demand returns what the tasks of a group need of a worker at which the first of them may be
// placed.
func (c *Cell) demand(g *group) fit.Demand {
	d := fit.Demand{Need: taskDemand(g.step)}
	if cpu, spare := c.headroom(g); spare == 0 {
		d.Headroom = cpu
	}
	return d
}

// holdsOver reports whether a group has waited so long that room which is kept for other work no
// longer keeps it waiting: one of tasks that last, which their users miss, or one without a run on
// a site of which less than half is in use. Such room is kept for work that may not come in time
// to make up for the wait.
func (c *Cell) holdsOver(g *group, q *jobs.Queue) bool {
	if g.lasts() {
		return c.now.Sub(g.waitsSince) >= maxHoldWait
	}
	return g.activePlacements == 0 && c.siteRoom(q.Service).HalfFree() && c.now.Sub(max(g.readyAt, g.waitsSince)) >= maxHoldWait
}

// fitsOnlyWithoutHeadroom reports whether a group finds no room beside the given headroom
// even once all work has ended that does not last: no room for one task, or for a gang that has
// waited. It was accepted, and would wait as long as the tasks that last run.
func (c *Cell) fitsOnlyWithoutHeadroom(g *group, cpu int64) bool {
	switch {
	case !g.step.Gang && taskDemand(g.step).MilliCPU+cpu <= c.smallestWorker:
		return false // fits on each worker
	case g.step.Gang && c.now.Sub(g.readyAt) < reserveAfter:
		return false
	}
	if g.headroomCheckedAt != 0 && c.now.Sub(g.headroomCheckedAt) < headroomCheckInterval {
		return g.onlyWithoutHeadroom
	}
	q := c.queueOf(g.job)
	with, without := fit.Demand{Need: taskDemand(g.step), Headroom: cpu}, fit.Demand{Need: taskDemand(g.step)}
	share := c.stats(g.job.queue).eligibleShare
	room, all := 0.0, 0.0
	for _, w := range c.workerList {
		if !c.canRun(g, q, w) || q.Eligibility.Required() && g.eligibilityAt(w) == eligibleNo {
			continue
		}
		p := 1.0
		if q.Eligibility.Required() {
			p = eligibleProbability(g, w, share)
		}
		room += p * float64(g.count(with, w.attainable()))
		all += p * float64(g.count(without, w.attainable()))
	}
	g.headroomCheckedAt = c.now
	if g.step.Gang {
		g.onlyWithoutHeadroom = room < float64(g.pending) && all >= float64(g.pending)
	} else {
		g.onlyWithoutHeadroom = room == 0 && all > 0
	}
	return g.onlyWithoutHeadroom
}
