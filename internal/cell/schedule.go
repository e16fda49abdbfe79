package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/blame"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
	"github.com/gentianpick/gentianpick/internal/policy/rank"
)

const (
	// rankInterval is how often the order of waiting groups is recomputed even without a
	// change, since ranks change as jobs become late.
	rankInterval = 100 * time.Millisecond
	// queryAhead bounds the starts that wait ahead of a group for which an eligibility
	// call is made, in multiples of the bytes that may be in flight. It covers the
	// duration of the call.
	queryAhead = 8
	// attemptPause is the minimum time between attempts to place a group of batch work that
	// found no room. It is a small part of its slack, and attempts to place all waiting
	// groups after each event would take most of the processor at peak load.
	attemptPause = 20 * time.Millisecond
)

// schedule places waiting tasks in the order of their rank.
func (c *Cell) schedule() {
	if c.config == nil || c.releaseSent || c.wantsRelease() || !c.submissionsCurrent() {
		return
	}
	c.scheduleNeeded = false
	c.sortReady()
	c.countWorkers()
	c.countSuspects()
	clear(c.reservedFor)
	c.reservations, c.heldBytes, c.wideQueryWaits = 0, 0, false
	c.reserveCleared()
	c.placeBound()
	c.placeUrgent()
	kept := c.readyGroups[:0]
	for i, g := range c.readyGroups {
		if c.heldBytes > queryAhead*c.pacer.Limit() && c.pacer.StartBudget(c.appendLatency) == 0 {
			// No more starts or eligibility calls can be sent in this pass. Thousands of
			// groups may wait, and even looking at each of them takes long.
			kept = append(kept, c.readyGroups[i:]...)
			break
		}
		if g.waits() {
			c.placeGroup(g)
		}
		if g.waits() {
			kept = append(kept, g)
		} else {
			g.queued = false
		}
	}
	clear(c.readyGroups[len(kept):])
	c.readyGroups = kept
	c.pacer.SetThrottled(c.heldBytes > 0)
}

// placeUrgent places the urgent tasks while more tasks that last rank before them than may be
// started at the same time. There may be thousands, so they get half of the starts until the
// others have theirs.
func (c *Cell) placeUrgent() {
	groups := c.groupsBehindLasting()
	if len(groups) == 0 {
		return
	}
	c.urgentFirst = true
	for _, g := range groups {
		if g.waits() {
			c.placeGroup(g)
		}
	}
	c.urgentFirst = false
	clear(c.reservedFor)
	c.reserveCleared()
	c.reservations, c.heldBytes = 0, 0
}

// groupsBehindLasting returns the groups that rank as urgent if more tasks that last are among
// them than may be started now. Without such tasks there are none: a pass over all urgent
// groups is long at peak load.
func (c *Cell) groupsBehindLasting() []*group {
	urgent, lasting := 0, 0
	for ; urgent < len(c.readyGroups) && rank.Urgent(c.readyGroups[urgent].rank); urgent++ {
		if g := c.readyGroups[urgent]; g.lasts() {
			lasting += g.pending * startSize(len(g.job.payload))
		}
	}
	if lasting == 0 || lasting < c.pacer.StartBudget(c.appendLatency) {
		return nil
	}
	return c.readyGroups[:urgent]
}

// waits reports whether tasks of a group are to be placed.
func (g *group) waits() bool { return g.pending > 0 && !g.job.state.Final() }

// dropEnded removes the groups that no longer wait from the ready ones.
func (c *Cell) dropEnded() {
	c.readyGroups = slices.DeleteFunc(c.readyGroups, func(g *group) bool {
		if g.waits() {
			return false
		}
		g.queued = false
		return true
	})
}

// startSize returns the size of a start with a payload of the given size.
func startSize(payload int) int { return pacing.StartCost + payload }

// placeLimit returns how many tasks of a group may be placed now, so that their starts
// don't queue behind too many others. A gang starts whole or not at all, so it is
// allowed as soon as any bytes may be sent.
func (c *Cell) placeLimit(g *group) int {
	room := c.pacer.StartBudget(c.appendLatency)
	if c.urgentFirst && g.lasts() {
		room /= 2
	}
	switch cost := startSize(len(g.job.payload)); {
	case room == 0:
		return 0
	case g.step.Gang:
		return g.pending
	default:
		return min(g.pending, (room+cost-1)/cost)
	}
}

// sortReady sorts the waiting groups by rank. Between the full sorts, only newly queued
// groups are merged in.
func (c *Cell) sortReady() {
	if !c.fullSortNeeded && c.now.Sub(c.rankedAt) < rankInterval {
		c.insertUnranked()
		return
	}
	c.fullSortNeeded, c.rankedAt, c.unranked = false, c.now, 0
	c.dropEnded()
	c.sortByRank(c.readyGroups)
}

// insertUnranked merges the groups that were queued since the last sort into the sorted
// ones.
func (c *Cell) insertUnranked() {
	if c.unranked == 0 {
		return
	}
	at := len(c.readyGroups) - c.unranked - 1 // the last sorted one
	added := slices.Clone(c.readyGroups[at+1:])
	c.unranked = 0
	c.sortByRank(added)
	for to := len(c.readyGroups) - 1; len(added) > 0; to-- {
		last := added[len(added)-1]
		if at >= 0 && c.readyGroups[at].rank > last.rank {
			c.readyGroups[to] = c.readyGroups[at]
			at--
			continue
		}
		c.readyGroups[to] = last
		added = added[:len(added)-1]
	}
}

func (c *Cell) sortByRank(groups []*group) {
	for _, g := range groups {
		g.rank = rank.Key(c.now, c.groupRank(g))
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(a.rank, b.rank) })
}

// groupRank returns the inputs to the rank of a group.
func (c *Cell) groupRank(g *group) rank.Input {
	arrived := g.job.arrived
	if g.step.LongRunning {
		in := c.rankInput(g.job, g.waitsSince, 0, 0)
		in.Lasting = true
		return in
	}
	if due := g.job.schedule.DueMs(g.occurrence); due != 0 {
		arrived = g.readyAt
	}
	return c.rankInput(g.job, arrived, c.runTime(g.job, g.job.totalChain()), c.runTime(g.job, g.job.remainingChain(g.occurrence)))
}

func (c *Cell) rankInput(j *job, arrived model.Time, chain, remaining time.Duration) rank.Input {
	q := c.queueOf(j)
	return rank.Input{
		Priority: q.Priority, Urgent: q.Priority == 0, Arrived: arrived,
		CriticalPath: chain, Remaining: remaining, Stretch: q.StretchFactor, LatencyTarget: q.LatencyTarget,
	}
}

// placeGroup places as many tasks of a group as possible, and requests missing
// permits.
func (c *Cell) placeGroup(g *group) {
	q := c.queueOf(g.job)
	if g.mostFailures > 0 && g.mostFailures >= q.MaxAttempts {
		c.failIfAttemptsUsedUp(g) // the queue allows fewer than it did, or was not known
		if g.job.state.Final() {
			return
		}
	}
	if g.step.Gang && (g.activePlacements > 0 || g.pending < len(g.tasks)-g.doneCount) {
		return // some members of the last run are not over yet
	}
	d := fit.Demand{Need: taskDemand(g.step), DataRack: g.step.DataRack, OneRack: g.step.Gang && g.step.PreferOneRack, Lasting: g.lasts()}
	var spare int
	d.Headroom, spare = c.headroom(g)
	least := d.Need.MilliCPU
	if spare == 0 {
		least += d.Headroom
	}
	if least > c.maxFree.MilliCPU || d.Need.MemoryMB > c.maxFree.MemoryMB {
		c.logWait(g, d)
		c.reserve(g, q, d)
		return // no worker can take even one task
	}
	gangMode := c.gangMode(g)
	if gangMode == blame.Wait {
		return
	}
	pending := g.pending
	if !g.step.Gang {
		pending -= g.boundTasks
	}
	if pending == 0 {
		return
	}
	limit := min(c.placeLimit(g), pending)
	if limit < pending {
		c.heldBytes += (pending - limit) * startSize(len(g.job.payload))
	}
	if limit == 0 {
		if len(g.permits) == 0 && q.Eligibility.Required() && c.heldBytes <= queryAhead*c.pacer.Limit() {
			c.queryEligibility(g, q)
		}
		return
	}
	if g.attemptedAt != 0 && c.now.Sub(g.attemptedAt) < attemptPause && q.Priority > 0 {
		c.renewReservation(g)
		if g.callsWanted > 0 {
			c.queryEligibility(g, q) // work that ranks lower must not take its calls
		}
		return
	}
	candidates, workers := c.candidates(g, q)
	suspects, placedSuspects := 0, 0
	if g.hasCrashed && !g.step.Gang {
		suspects, placedSuspects = c.placeSuspects(g, d, candidates, workers, limit)
	}
	waiting := suspects - placedSuspects
	wanted := min(limit-placedSuspects, pending-placedSuspects-waiting)
	var chosen []int
	if len(candidates) > 0 {
		if g.step.Gang {
			chosen = c.chooseForGang(g, d, candidates, workers)
		} else {
			chosen = fit.Place(d, candidates, wanted)
			if len(chosen) == 0 && d.Headroom > 0 {
				without := d
				without.Headroom = 0
				chosen = fit.Place(without, candidates, min(wanted, spare))
			}
		}
	}
	permitsMissing := len(chosen) < wanted || waiting > 0 && c.mayStartAlone()
	if permitsMissing && q.Eligibility.Required() {
		c.queryEligibility(g, q)
	}
	g.attemptedAt = 0
	if len(chosen) > 0 {
		g.reserved = nil
	} else {
		if placedSuspects > 0 {
			return
		}
		g.attemptedAt = c.now
		c.logWait(g, d)
		c.reserve(g, q, d)
		return
	}
	if c.hasForeignRun(g, chosen, candidates, workers) {
		return
	}
	run := 0
	if g.step.Gang {
		run = g.nextRun()
		g.run = run
		c.markGroup(g)
	}
	next := 0
	for _, at := range chosen {
		mode := blame.Normal
		for ; ; next++ {
			if t := &g.tasks[next]; t.state != taskPending || t.bound && !g.step.Gang {
				continue
			} else if !g.step.Gang {
				mode = c.startMode(g, t)
			}
			if !mode.TriedApart() {
				break
			}
		}
		c.place(g, next, workers[candidates[at].Index], run)
		if mode == blame.Beside {
			p := g.tasks[next].placement
			p.beside = true
			c.watch(p, false)
		}
	}
	if gangMode != blame.Normal {
		c.watchGang(g, gangMode == blame.Alone)
	}
}

// chooseForGang returns the candidates for the pending members of a gang in their order, or none.
// Members that are bound to a worker get it.
func (c *Cell) chooseForGang(g *group, d fit.Demand, candidates []fit.Candidate, workers []*worker) []int {
	if g.boundTasks == 0 {
		return fit.PlaceGang(d, candidates, g.pending)
	}
	candidates = slices.Clone(candidates)
	chosen := make([]int, 0, g.pending)
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state != taskPending {
			continue
		}
		if !t.bound {
			chosen = append(chosen, -1)
			continue
		}
		w := t.lateStart.worker
		at := slices.Index(workers, w)
		if at < 0 || !c.canStartAtBound(g, t, w) || fit.Place(d, candidates[at:at+1], 1) == nil {
			return nil
		}
		chosen = append(chosen, at)
	}
	others := fit.PlaceGang(d, candidates, g.pending-g.boundTasks)
	if len(others) < g.pending-g.boundTasks {
		return nil
	}
	for i, at := range chosen {
		if at < 0 {
			chosen[i], others = others[0], others[1:]
		}
	}
	return chosen
}

// hasForeignRun reports whether a chosen worker still has a run of one of the group's
// tasks that this owner did not place.
func (c *Cell) hasForeignRun(g *group, chosen []int, candidates []fit.Candidate, workers []*worker) bool {
	checked := -1
	for _, at := range chosen {
		if at == checked {
			continue
		}
		checked = at
		w := workers[candidates[at].Index]
		if w.foreignRuns == 0 {
			continue
		}
		for ref, p := range w.runs {
			c.visited++
			if p.group == nil && g.holds(ref) {
				return true
			}
		}
	}
	return false
}

// holds reports whether a task belongs to a group.
func (g *group) holds(t jobs.TaskRef) bool {
	return t.Job == g.job.id && t.Step == g.stepIndex && t.Occurrence == g.occurrence
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
	before := w.free().MilliCPU
	p := c.newPlacement(g, index, w, run)
	c.roomChanged(w, before)
	p.startBytes = startSize(len(g.job.payload))
	c.pacer.StartPlanned(p.startBytes)
	w.probeAllowed = false
	c.markTask(g, index)
	c.plannedPlacements = append(c.plannedPlacements, p)
	c.observe("placement_wait_seconds", g.job.queue, c.now.Sub(g.readyAt))
	placed := Fields{Task: p.ref, HasTask: true, Run: run, Worker: w.info.Name, Age: c.now.Sub(g.readyAt), Count: int(w.free().MilliCPU)}
	if w.quarantined {
		placed.Reason = "probe"
		c.recordProbe(w, p)
	}
	c.log("task placed", g.job.id, placed.withStepTasks(g, w))
}

// candidates returns the workers on which tasks of a group may be placed now. The
// slices are valid until the next call.
func (c *Cell) candidates(g *group, q *jobs.Queue) ([]fit.Candidate, []*worker) {
	out, workers := c.candidateBuffer[:0], c.workerBuffer[:0]
	defer func() { c.candidateBuffer, c.workerBuffer = out[:0], workers[:0] }()
	holdsOver := c.holdsOver(g, q)
	add := func(w *worker) {
		if !c.canRun(g, q, w) || q.Priority > 0 && c.keptFromOthers(w, holdsOver) {
			return
		}
		if w.quarantined && !c.mayProbe(g, q, w) {
			return
		}
		out = append(out, fit.Candidate{
			Index: len(workers), Free: w.free(), Capacity: w.info.Capacity, Rack: w.info.Rack, TaskLimit: c.taskLimit(g, w), Penalty: c.penalty(g, w), Lasting: c.lastingAt(w),
		})
		workers = append(workers, w)
	}
	if !q.Eligibility.Required() {
		for _, w := range c.workerList {
			add(w)
		}
		return out, workers
	}
	for i := range g.permits {
		if p := &g.permits[i]; c.permitValid(p) {
			add(p.worker)
		}
	}
	return out, workers
}

func (g *group) eligibilityAt(w *worker) eligibility {
	if w.index < len(g.eligible) {
		return g.eligible[w.index]
	}
	return eligibleUnknown
}

// canRun reports whether a worker may run tasks of a group, regardless of free resources.
func (c *Cell) canRun(g *group, q *jobs.Queue, w *worker) bool {
	return w.usable(c.now) && g.suits(q, w)
}

// suits reports whether a worker is of the service that a group's queue is sent to, and has
// the label that its step requires.
func (g *group) suits(q *jobs.Queue, w *worker) bool {
	return w.info.Service == q.Service && (g.step.Label == "" || slices.Contains(w.info.Labels, g.step.Label))
}

// avoidPenalty makes a worker at which a task of the group failed the last choice among
// the workers with enough free resources.
const avoidPenalty = 20000

func (c *Cell) penalty(g *group, w *worker) int64 {
	if g.avoided[w.info.Name] > 0 {
		return avoidPenalty
	}
	return 0
}

func sortJobs(all []*job) {
	slices.SortFunc(all, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submittedMs, b.submittedMs), cmp.Compare(a.id, b.id))
	})
}
