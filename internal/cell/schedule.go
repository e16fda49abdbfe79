package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
	"github.com/gentianpick/gentianpick/internal/policy/rank"
)

const (
	// reserveAfter is how long a gang waits before workers are reserved for it.
	// Until then it would often find room anyway.
	reserveAfter = 1200 * time.Millisecond
	// maxReservations bounds the gangs that workers are reserved for, since
	// reserved workers run empty.
	maxReservations = 2
	// rankInterval is how often the order of waiting groups is computed anew
	// without a change, since work becomes late as time passes.
	rankInterval = 100 * time.Millisecond
	// permitMargin is how much longer a permit must be valid than until the
	// placement; the store and the way to the worker take part of it.
	permitMargin = 150 * time.Millisecond
	// askAhead is how many times what may be under way can be ahead of a group that
	// asks which workers may run it. It covers the time to the answer.
	askAhead = 8
	// headroomCPU is left free on each worker by work that is not urgent, in
	// thousandths of a core. It takes one task of a usual urgent job.
	headroomCPU = 1500
)

// schedule places waiting tasks in the order of their rank.
func (c *Cell) schedule() {
	if c.config == nil || c.released || c.wantsRelease() || !c.knowsCancellations() {
		return
	}
	c.changed = false
	c.sortReady()
	c.measureRoom()
	clear(c.reserved)
	c.reservations, c.held = 0, 0
	kept := c.ready[:0]
	for _, g := range c.ready {
		switch {
		case g.pending == 0 || g.job.state.Final():
		case c.held > askAhead*c.pace.Limit() && c.pace.StartBudget(c.usualAppend) == 0:
			// Nothing more can be sent or asked in this pass, and thousands may wait.
			c.held += g.pending * startCost(len(g.job.payload))
		default:
			c.placeGroup(g)
		}
		if g.pending > 0 && !g.job.state.Final() {
			kept = append(kept, g)
		} else {
			g.queued = false
		}
	}
	clear(c.ready[len(kept):])
	c.ready = kept
	c.pace.SetThrottled(c.held > 0)
}

// startCost returns the bytes that a start with a payload takes.
func startCost(payload int) int { return pacing.StartCost + payload }

// turn returns how many tasks of a group may be placed now, so that their starts
// are not sent behind too many others. A gang starts whole or not at all, so
// that any room lets it through.
func (c *Cell) turn(g *group) int {
	room := c.pace.StartBudget(c.usualAppend)
	switch cost := startCost(len(g.job.payload)); {
	case room == 0:
		return 0
	case g.step.Gang:
		return g.pending
	default:
		return min(g.pending, (room+cost-1)/cost)
	}
}

// sortReady brings the waiting groups in the order of their rank. In between,
// only those that were queued since take their places.
func (c *Cell) sortReady() {
	if !c.resort && c.now.Sub(c.rankedAt) < rankInterval {
		c.insertUnranked()
		return
	}
	c.resort, c.rankedAt, c.unranked = false, c.now, 0
	c.sortByRank(c.ready)
}

// insertUnranked merges the groups that were queued since the last sort into the
// others.
func (c *Cell) insertUnranked() {
	if c.unranked == 0 {
		return
	}
	at := len(c.ready) - c.unranked - 1 // the last one in order
	added := slices.Clone(c.ready[at+1:])
	c.unranked = 0
	c.sortByRank(added)
	for to := len(c.ready) - 1; len(added) > 0; to-- {
		last := added[len(added)-1]
		if at >= 0 && c.ready[at].rank > last.rank {
			c.ready[to] = c.ready[at]
			at--
			continue
		}
		c.ready[to] = last
		added = added[:len(added)-1]
	}
}

func (c *Cell) sortByRank(groups []*group) {
	for _, g := range groups {
		g.rank = rank.Key(c.now, c.groupRank(g))
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(a.rank, b.rank) })
}

// groupRank returns what orders a group.
func (c *Cell) groupRank(g *group) rank.Input {
	arrived := g.job.arrived
	if due := g.job.schedule.DueMs(g.occurrence); due != 0 {
		arrived = g.readyAt
	}
	if k := &g.chains; !k.known || k.stepsDone != g.job.stepsDone {
		*k = chains{
			known: true, stepsDone: g.job.stepsDone,
			all: g.job.longestChain(g.occurrence, false), toRun: g.job.longestChain(g.occurrence, true),
		}
	}
	return c.rankInput(g.job, arrived, c.runTime(g.job, g.chains.all), c.runTime(g.job, g.chains.toRun))
}

func (c *Cell) rankInput(j *job, arrived model.Time, chain, remaining time.Duration) rank.Input {
	q := c.queueOf(j)
	return rank.Input{
		Priority: q.Priority, Urgent: q.Priority == 0, Arrived: arrived,
		CriticalPath: chain, Remaining: remaining, Stretch: q.StretchFactor, LatencyTarget: q.LatencyTarget,
	}
}

// longestChain returns the estimate of the longest chain of steps of one
// occurrence, or of its unfinished ones, in milliseconds.
func (j *job) longestChain(occurrence int, unfinished bool) int64 {
	var ends [16]int64
	all := ends[:0]
	longest := int64(0)
	for i := range j.steps {
		own := j.steps[i].EstimateMs
		if unfinished && j.group(occurrence, i).finished() {
			own = 0
		}
		begin := int64(0)
		for _, a := range j.steps[i].After {
			begin = max(begin, all[a])
		}
		all = append(all, begin+own)
		longest = max(longest, begin+own)
	}
	return longest
}

// headroom returns the CPU that a group's tasks must leave free.
func (c *Cell) headroom(g *group) int64 {
	if c.queueOf(g.job).Priority == 0 || g.step.BestEffortCPU {
		return 0
	}
	return headroomCPU
}

// placeGroup places what it can of a group, and asks for permits that are
// missing.
func (c *Cell) placeGroup(g *group) {
	q := c.queueOf(g.job)
	if g.step.Gang && (g.placed > 0 || g.pending < len(g.tasks)-g.doneCount) {
		return // the members of the last run are not all over
	}
	d := fit.Demand{Need: room(g.step), Headroom: c.headroom(g), DataRack: g.step.DataRack, OneRack: g.step.Gang && g.step.PreferOneRack}
	if d.Need.MilliCPU+d.Headroom > c.mostFree.MilliCPU || d.Need.MemoryMB > c.mostFree.MemoryMB {
		c.reserve(g, q, d)
		return // no worker has room for even one task
	}
	turn := c.turn(g)
	if turn < g.pending {
		c.held += (g.pending - turn) * startCost(len(g.job.payload))
	}
	if turn == 0 {
		if len(g.permits) == 0 && q.Eligibility.Required() && c.held <= askAhead*c.pace.Limit() {
			c.askFor(g, q)
		}
		return
	}
	candidates, workers := c.candidates(g, q)
	var got []int
	if len(candidates) > 0 {
		if g.step.Gang {
			got = fit.PlaceGang(d, candidates, g.pending)
		} else {
			got = fit.Place(d, candidates, turn)
		}
	}
	if len(got) < turn && q.Eligibility.Required() {
		c.askFor(g, q)
	}
	if len(got) == 0 {
		c.reserve(g, q, d)
		return
	}
	if c.hasLeftover(g, got, candidates, workers) {
		return
	}
	run := 0
	if g.step.Gang {
		run = g.nextRun()
		g.run = run
	}
	next := 0
	for _, at := range got {
		for g.tasks[next].state != taskPending {
			next++
		}
		c.place(g, next, workers[candidates[at].Index], run)
	}
	c.markDirty(g.job)
}

// reserve keeps the emptiest workers that a waiting gang may use from batch work
// that comes after it. Without that, narrow tasks take each piece of room as it
// comes free, and a wide gang waits until the crest is over.
func (c *Cell) reserve(g *group, q *jobs.Queue, d fit.Demand) {
	if !g.step.Gang || q.Priority == 0 || c.reservations >= maxReservations || c.now.Sub(g.readyAt) < reserveAfter || d.Need.MilliCPU <= 0 {
		return
	}
	var pool []*worker
	for _, w := range c.list {
		if c.allowed(g, q, w) && c.reserved[w] == nil && (!q.Eligibility.Required() || g.eligibleAt(w) == eligibleYes) {
			pool = append(pool, w)
		}
	}
	slices.SortStableFunc(pool, func(a, b *worker) int { return -cmp.Compare(a.free().MilliCPU, b.free().MilliCPU) })
	room := int64(0)
	for i, w := range pool {
		if room += (w.info.Capacity.MilliCPU - d.Headroom) / d.Need.MilliCPU; room < int64(g.pending) {
			continue
		}
		for _, w := range pool[:i+1] {
			c.reserved[w] = g
		}
		c.reservations++
		return
	}
}

// hasLeftover reports whether a chosen worker still has a run of one of the
// group's tasks that this owner did not place.
func (c *Cell) hasLeftover(g *group, got []int, candidates []fit.Candidate, workers []*worker) bool {
	for _, at := range got {
		for i := range g.tasks {
			p := workers[candidates[at].Index].runs[g.ref(i)]
			if p != nil && g.tasks[i].placement != p {
				return true
			}
		}
	}
	return false
}

// nextRun returns a run number above all that the group's members have used.
func (g *group) nextRun() int {
	run := g.run
	for i := range g.tasks {
		run = max(run, g.tasks[i].run)
	}
	return run + 1
}

func (c *Cell) place(g *group, index int, w *worker, gangRun int) {
	run := gangRun
	if run == 0 {
		run = g.tasks[index].run + 1
	}
	p := c.newPlacement(g, index, w, run)
	p.cost = startCost(len(g.job.payload))
	c.pace.StartPlanned(p.cost)
	w.probe = false
	c.planned = append(c.planned, p)
	c.observe("placement_wait_seconds", g.job.queue, c.now.Sub(g.readyAt))
	c.log("placed", g.job.id, Fields{
		Task: p.ref, HasTask: true, Run: run, Worker: w.info.Name, Age: c.now.Sub(g.readyAt), Count: int(w.free().MilliCPU),
	})
}

// candidates returns the workers that may run tasks of a group now.
func (c *Cell) candidates(g *group, q *jobs.Queue) ([]fit.Candidate, []*worker) {
	var out []fit.Candidate
	var workers []*worker
	add := func(w *worker) {
		if !c.allowed(g, q, w) || q.Priority > 0 && c.reserved[w] != nil {
			return
		}
		limit := -1
		if g.step.MaxPerWorker > 0 {
			limit = max(0, g.step.MaxPerWorker-g.tasksAt(w))
		}
		if c.health.Quarantined(w.info.Name) {
			if !w.probe || g.step.Gang {
				return
			}
			limit = 1
		}
		out = append(out, fit.Candidate{
			Index: len(workers), Free: w.free(), Capacity: w.info.Capacity, Rack: w.info.Rack, TaskLimit: limit, Penalty: c.penalty(g, w),
		})
		workers = append(workers, w)
	}
	if !q.Eligibility.Required() {
		for _, w := range c.list {
			add(w)
		}
		return out, workers
	}
	if len(g.permits) == 0 {
		return nil, nil
	}
	for _, w := range c.list {
		if c.permitted(g, w) {
			add(w)
		}
	}
	return out, workers
}

// measureRoom notes the most that any usable worker has free. Most groups that
// wait at a crest are passed over by this alone.
func (c *Cell) measureRoom() {
	c.mostFree = model.Resources{}
	for _, w := range c.list {
		if w.usable(c.now) {
			c.mostFree = c.mostFree.Max(w.free())
		}
	}
}

// permitAt returns a group's permit for a worker, which may be empty or old.
func (g *group) permitAt(w *worker) permit {
	if w.number < len(g.permits) {
		return g.permits[w.number]
	}
	return permit{}
}

// permitted reports whether a group has a permit for a worker that lasts long
// enough for a start.
func (c *Cell) permitted(g *group, w *worker) bool {
	p := g.permitAt(w)
	return p.token != "" && p.boot == w.boot && p.expires.Sub(c.now) > permitMargin
}

func (g *group) eligibleAt(w *worker) eligibility {
	if w.number < len(g.eligible) {
		return g.eligible[w.number]
	}
	return eligibleUnknown
}

// allowed reports whether a worker may run tasks of a group, room apart.
func (c *Cell) allowed(g *group, q *jobs.Queue, w *worker) bool {
	return w.usable(c.now) && w.info.Service == q.Service && (g.step.Label == "" || slices.Contains(w.info.Labels, g.step.Label))
}

// tasksAt returns how many tasks of a group a worker has.
func (g *group) tasksAt(w *worker) int {
	n := 0
	for i := range g.tasks {
		if p := g.tasks[i].placement; p != nil && p.worker == w {
			n++
		}
	}
	return n
}

// avoidPenalty makes a worker at which a task of the group failed the last
// choice among those with room.
const avoidPenalty = 20000

func (c *Cell) penalty(g *group, w *worker) int64 {
	for i := range g.tasks {
		if g.tasks[i].avoid == w.info.Name {
			return avoidPenalty
		}
	}
	return 0
}

func sortJobs(all []*job) {
	slices.SortFunc(all, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.id, b.id))
	})
}
