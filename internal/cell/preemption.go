package cell

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/preempt"
)

const (
	// preemptionTime is how long before the end of the time for which a task that lasts may be
	// away runs are stopped for it. It covers the stop, the list that shows it, the append and
	// the start of the task.
	preemptionTime = 2 * time.Second
	// clearedWorkerHold is how long a worker is kept for the task for which its runs were
	// stopped.
	clearedWorkerHold = 2 * time.Second
	// maxCleared bounds the workers that are kept for such tasks at the same time.
	maxCleared = 16
)

// clearedWorker is a worker of which runs were stopped to make room for tasks of a group.
type clearedWorker struct {
	worker *worker
	group  *group
	tasks  int // that get room there
	until  model.Time
}

// preemptForLasting stops runs of batch work of lower priority for lost tasks that last, if these
// would otherwise be away for too long.
func (c *Cell) preemptForLasting() {
	kept := c.cleared[:0]
	for _, cl := range c.cleared {
		if c.now <= cl.until && cl.group.waits() {
			kept = append(kept, cl)
		}
	}
	c.cleared = kept
	for _, g := range c.readyGroups {
		if !g.lasts() || !g.waits() {
			continue
		}
		q := c.queueOf(g.job)
		if tasks, away := c.lostTasks(g); away >= maxLastingAway-preemptionTime {
			c.clearRoom(g, q, tasks, away)
		}
	}
}

// lostTasks returns how many tasks of a group were lost and wait for room, and how long one of
// them has had no run at most. Those that are to be started apart from others wait for that.
func (c *Cell) lostTasks(g *group) (tasks int, longest time.Duration) {
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state != taskPending || t.run == 0 || t.bound || c.startMode(g, t).TriedApart() {
			continue
		}
		since := g.waitsSince
		if t.loss != nil {
			since = t.loss.endedAt()
		} else if t.lostRuns > 0 {
			since = since.Add(-c.longestLease()) // of an earlier owner's last answer nothing is known
		}
		tasks++
		longest = max(longest, c.now.Sub(since))
	}
	return tasks, longest
}

// clearRoom stops runs until there is room for some tasks of a group, where it costs least. One
// of them has had no run for the given time.
func (c *Cell) clearRoom(g *group, q *jobs.Queue, missing int, away time.Duration) {
	d := fit.Demand{Need: taskDemand(g.step)}
	taken := map[*worker]bool{}
	for _, cl := range c.cleared {
		taken[cl.worker] = true
		if cl.group == g {
			missing -= cl.tasks
		}
	}
	for _, w := range c.workerList {
		if !taken[w] && c.mayClear(g, q, w) {
			missing -= c.countAt(g, d, w, w.free())
		}
	}
	for missing > 0 && len(c.cleared) < maxCleared {
		w, victims := c.cheapestWorker(g, q, d, taken)
		if w == nil {
			return
		}
		taken[w] = true
		room := w.free()
		for _, p := range victims {
			room = room.Add(p.need)
			c.count("runs_preempted_total", p.group.job.queue)
			c.stop(p, "room for a task that lasts")
			if p.group.step.Gang {
				c.stopGang(p.group, p.run, "a member made room for a task that lasts")
			}
		}
		n := max(1, min(missing, c.countAt(g, d, w, room)))
		c.cleared = append(c.cleared, clearedWorker{worker: w, group: g, tasks: n, until: c.now.Add(clearedWorkerHold)})
		c.log("runs stopped for tasks that last", g.job.id, Fields{Worker: w.info.Name, Count: len(victims), Age: away, Reason: g.job.queue})
		missing -= n
	}
}

// cheapestWorker returns the worker at which room for a task of a group costs least, and the runs
// that are to be stopped there.
func (c *Cell) cheapestWorker(g *group, q *jobs.Queue, d fit.Demand, taken map[*worker]bool) (best *worker, victims []*placement) {
	least := 0.0
	for _, w := range c.workerList {
		if taken[w] || !c.mayClear(g, q, w) || c.taskLimit(g, w) == 0 {
			continue
		}
		var may []*placement
		var runs []preempt.Run
		for _, p := range sortedPlacements(w) {
			c.visited++
			if c.mayPreempt(q, p) {
				may = append(may, p)
				runs = append(runs, preempt.Run{Need: p.need, Cost: c.lostWork(p)})
			}
		}
		chosen, cost, ok := preempt.Cheapest(d.Need, w.free(), runs)
		if !ok || best != nil && cost >= least {
			continue
		}
		best, least, victims = w, cost, nil
		for _, i := range chosen {
			victims = append(victims, may[i])
		}
	}
	return best, victims
}

// mayClear reports whether a worker may run tasks of a group once it has room.
func (c *Cell) mayClear(g *group, q *jobs.Queue, w *worker) bool {
	return c.canRun(g, q, w) && !w.quarantined && (!q.Eligibility.Required() || g.eligibilityAt(w) != eligibleNo)
}

// mayPreempt reports whether a run may be stopped for a queue: batch work of a lower priority.
func (c *Cell) mayPreempt(q *jobs.Queue, p *placement) bool {
	return p.phase == phaseRunning && p.group != nil && !p.watched && !p.group.step.LongRunning && c.queueOf(p.group.job).Priority > q.Priority
}

// lostWork returns the core-seconds that are lost if a run is stopped. A task with checkpoints
// saves one as it stops, and a gang does all of its work again.
func (c *Cell) lostWork(p *placement) float64 {
	if p.group.step.Checkpoints {
		return 0
	}
	work := c.now.Sub(p.confirmedAt).Seconds() * float64(p.group.step.Resources.MilliCPU) / 1000
	if p.group.step.Gang {
		work *= float64(len(p.group.tasks))
	}
	return work
}

// isCleared reports whether runs of a worker were just stopped for tasks that last.
func (c *Cell) isCleared(w *worker) bool {
	return slices.ContainsFunc(c.cleared, func(cl clearedWorker) bool { return cl.worker == w })
}

// reserveCleared keeps batch work from the workers that were cleared.
func (c *Cell) reserveCleared() {
	for _, cl := range c.cleared {
		if c.now <= cl.until && cl.group.waits() {
			c.reservedFor[cl.worker] = cl.group
		}
	}
}
