package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/blame"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
)

const (
	// simultaneous is how close together workers become unreachable that crash for the
	// same reason.
	simultaneous = 100 * time.Millisecond
	// maxBesideCrashes is the number of crashes after which suspected tasks of a group are not
	// started beside others any more, until besideCrashPeriod has passed without one. A single
	// crash narrows the search for the task that causes it.
	maxBesideCrashes  = 2
	besideCrashPeriod = time.Minute
	// maxClockError bounds how far the clocks of VMs and workers, which may jump, are apart.
	maxClockError = 5 * time.Second
)

// workerReplaced handles an answer of another worker at a worker's address. It proves that
// the worker's process has ended, and its runs with it, so that they need not wait for
// the end of its lease.
func (c *Cell) workerReplaced(w *worker) {
	w.replaced = true
	c.log("another worker answers at the worker's address", "", Fields{Worker: w.info.Name, Count: len(w.runs), Age: c.now.Sub(w.answeredAt)})
	victims := append(w.lapsed, sentPlacements(w)...)
	c.recordCrash(w, victims, "replaced")
	for _, p := range sortedPlacements(w) {
		switch {
		case w.runs[p.ref] != p:
		case p.phase == phasePlanned:
			c.dropUnsent(p, "worker replaced")
		default:
			c.runLost(p, "worker replaced")
		}
	}
}

// sentPlacements returns the placements at a worker whose start was sent.
func sentPlacements(w *worker) []*placement {
	var out []*placement
	for _, p := range sortedPlacements(w) {
		if p.phase != phasePlanned {
			out = append(out, p)
		}
	}
	return out
}

// runsNotListed returns the runs of a restarted worker that its new process doesn't list,
// if it lists all that it has.
func (c *Cell) runsNotListed(w *worker, e Renewed) []*placement {
	listed := make(map[jobs.TaskRef]int, len(e.Running))
	for i := range e.Running {
		listed[e.Running[i].Task] = e.Running[i].Run
	}
	out := w.lapsed
	if !e.Ended.IsWhole() {
		return out
	}
	for _, p := range sentPlacements(w) {
		if listed[p.ref] != p.run && p.confirmedAt <= e.SentAt {
			out = append(out, p)
		}
	}
	return out
}

// recordCrash records the crash of a worker for the runs that were lost with it, and gives
// up the tasks that are to blame for several crashes.
func (c *Cell) recordCrash(w *worker, victims []*placement, reason string) {
	w.lapsed = nil
	if w.info.Draining || len(victims) == 0 {
		return // a worker that drains ends on purpose
	}
	at := w.unreachableAt
	if at == 0 {
		at = c.now
	}
	lost, runs := countedRuns(w, victims, at)
	common := w.unreachableAt != 0 && blame.CommonCause(c.unreachableAround(w), len(c.workerList))
	var suspects []int
	certain := false
	if !common {
		c.lastCrashAt = c.now
		suspects, certain = blame.Suspects(runs)
	}
	c.count("worker_crashes_total", reason)
	c.log("worker crashed", "", Fields{Worker: w.info.Name, Reason: reason, Outcome: crashCause(common, suspects, certain), Count: len(lost), Age: c.now.Sub(at)})
	c.suspectsCountedAt = 0
	c.countBesideCrashes(lost)
	for i, p := range lost {
		c.countCrash(p, runs[i])
	}
	for _, i := range suspects {
		c.suspect(lost[i], runs[i].Age, certain)
	}
	for _, p := range lost {
		c.giveUpIfToBlame(p)
	}
}

// countedRuns returns the placements that a crash of a worker at the given time is to be
// counted for, and what is known of their runs.
func countedRuns(w *worker, victims []*placement, at model.Time) ([]*placement, []blame.Run) {
	// A worker that was cut off before it crashed may have ended its runs in between.
	crashSeen := w.failedRenewals == 0 || w.disconnected
	var counted []*placement
	var runs []blame.Run
	for _, p := range victims {
		if p.group == nil || p.group.job.state.Final() || p.crashCounted {
			continue
		}
		since := p.sentAt
		if since == 0 {
			since = p.plannedAt // inherited
		}
		counted = append(counted, p)
		runs = append(runs, blame.Run{
			Job: p.ref.Job, Age: max(0, at.Sub(since)), Confirmed: p.began && !p.stopAccepted && crashSeen, Suspect: p.suspected(),
		})
	}
	return counted, runs
}

func crashCause(common bool, suspects []int, certain bool) string {
	switch {
	case common:
		return "many workers at once"
	case len(suspects) == 0:
		return "no task suspected"
	case certain:
		return "tasks of one job"
	}
	return "one of several jobs"
}

// unreachableAround returns how many workers became unreachable at about the same moment
// as a worker, itself included.
func (c *Cell) unreachableAround(w *worker) (n int) {
	for _, o := range c.workerList {
		if o.unreachableAt != 0 && o.unreachableAt.Sub(w.unreachableAt).Abs() <= simultaneous {
			n++
		}
	}
	return n
}

// suspected reports whether a placement's task is suspected of crashing its workers.
func (p *placement) suspected() bool {
	t := &p.group.tasks[p.ref.Index]
	return t.crash != nil && t.crash.Suspect
}

// crashRecord returns the crash record of a placement's task.
func (p *placement) crashRecord() *jobs.CrashRecord {
	t := &p.group.tasks[p.ref.Index]
	if t.crash == nil {
		t.crash = &jobs.CrashRecord{}
		p.group.hasCrashed = true
	}
	return t.crash
}

func (c *Cell) countCrash(p *placement, r blame.Run) {
	record := p.crashRecord()
	p.crashCounted = true
	p.group.tasks[p.ref.Index].waitsSince = c.now
	if p.presumed {
		p.presumed = false
		record.Presumed--
	}
	switch {
	case !blame.Counts(r.Age):
	case r.Confirmed:
		record.Crashes++
	default:
		record.Presumed++
	}
	c.markTask(p.group, p.ref.Index)
}

func (c *Cell) suspect(p *placement, age time.Duration, certain bool) {
	record := p.crashRecord()
	record.Suspect, record.AgeMs = true, age.Milliseconds()
	if certain {
		record.Blamed++
	}
	c.log("task suspected of crashing its worker", p.ref.Job, Fields{
		Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Count: record.Crashes, Age: age,
	})
}

// presumeCrash counts a lost run whose worker may have crashed under it. With lapsed, the
// run was lost with the worker's lease, and an answer of the worker may still show that it
// has not crashed. Otherwise it is a run of an earlier owner that the worker doesn't know:
// its start was never sent, or the worker has restarted since.
func (c *Cell) presumeCrash(p *placement, lapsed bool) {
	w := p.worker
	if p.group == nil || p.group.job.state.Final() || p.crashCounted {
		return
	}
	switch {
	case !lapsed && w.boot != 0 && w.boot < p.group.job.submittedMs-maxClockError.Milliseconds():
		return // it has been running since before the job was submitted
	case lapsed:
		if p.sentAt != 0 && !blame.Counts(w.unreachableAt.Sub(p.sentAt)) {
			return
		}
		w.lapsed = append(w.lapsed, p)
		p.presumed = true
	}
	p.crashRecord().Presumed++
	c.giveUpIfToBlame(p)
}

// retractLapsed withdraws what was presumed of a worker that was only unreachable.
func (w *worker) retractLapsed() {
	for _, p := range w.lapsed {
		if p.presumed {
			p.presumed = false
			p.group.tasks[p.ref.Index].crash.Presumed--
		}
	}
	w.lapsed = nil
}

// giveUpIfToBlame fails the job of a task that crashes its workers. Tasks that last run until
// their job is cancelled, however they end.
func (c *Cell) giveUpIfToBlame(p *placement) {
	if g := p.group; !g.job.state.Final() && !g.step.LongRunning && blame.GiveUp(p.crashRecord()) {
		c.count("tasks_given_up_total", g.job.queue)
		c.finish(g.job, jobs.Failed, "a task crashes its workers")
	}
}

// sinceCrash returns the time since a worker has crashed because of a task, as far as this
// owner knows.
func (c *Cell) sinceCrash() time.Duration { return c.now.Sub(max(c.lastCrashAt, c.ownerSince)) }

// startMode returns how a task is to be started after workers have crashed under it.
func (c *Cell) startMode(g *group, t *task) blame.Mode {
	if t.crash == nil {
		return blame.Normal
	}
	return blame.ModeOf(t.crash, blame.Circumstances{
		SinceCrash: c.sinceCrash(), Waited: c.now.Sub(t.waitsSince), MayStartAlone: c.mayStartAlone(), NeverGivenUp: g.step.LongRunning,
		Crowd: c.inCrowd(g), CrashedBesideOthers: g.besideCrashes >= maxBesideCrashes && c.now.Sub(g.besideCrashAt) < besideCrashPeriod,
	})
}

// countBesideCrashes counts a crash for each group with suspected tasks among the lost ones that
// were started beside others.
func (c *Cell) countBesideCrashes(lost []*placement) {
	counted := map[*group]bool{}
	for _, p := range lost {
		if g := p.group; p.watched && p.beside && !counted[g] {
			counted[g] = true
			if c.now.Sub(g.besideCrashAt) >= besideCrashPeriod {
				g.besideCrashes = 0
			}
			g.besideCrashes++
			g.besideCrashAt = c.now
		}
	}
}

// countSuspects counts the waiting tasks that may crash their next worker, in each group and
// among the tasks that last, and decides which of them are too many to try them apart from
// others. Members of gangs are left out: they start together in any case.
func (c *Cell) countSuspects() {
	if c.now.Sub(c.suspectsCountedAt) < rankInterval {
		return
	}
	c.suspectsCountedAt = c.now
	lasting, sinceCrash := 0, c.sinceCrash()
	for _, g := range c.readyGroups {
		if !g.hasCrashed || g.step.Gang {
			continue
		}
		suspects := 0
		for i := range g.tasks {
			if t := &g.tasks[i]; t.state == taskPending && t.crash != nil && blame.Doubtful(t.crash, sinceCrash) {
				suspects++
			}
		}
		if g.step.LongRunning {
			lasting += suspects
			continue
		}
		g.crowd = c.isCrowd(g.crowd, suspects)
	}
	c.lastingCrowd = c.isCrowd(c.lastingCrowd, lasting)
}

// isCrowd reports whether waiting suspected tasks are a crowd, which they were or were not
// before. It lasts until all of them are placed.
func (c *Cell) isCrowd(before bool, waiting int) bool {
	crowd := waiting > 0 && (before || blame.Crowd(waiting, c.answeringWorkers))
	if crowd && !before {
		c.count("suspect_crowds_total", "")
		c.log("suspected tasks start beside others, too many to try them apart", "", Fields{Count: waiting})
	}
	return crowd
}

// inCrowd reports whether too many suspected tasks wait to try those of a group apart from
// others: tasks of the group itself, or tasks that last, of which none may wait for long.
func (c *Cell) inCrowd(g *group) bool { return g.crowd || g.step.LongRunning && c.lastingCrowd }

func (c *Cell) mayStartAlone() bool {
	return blame.MayStartAlone(c.probations-c.lostProbations, c.lostProbations, c.answeringWorkers)
}

// placeSuspects places the tasks of a group that are not to be started like others, all on
// the candidate with the least work. It returns the number of such tasks that were pending,
// and of those it placed. If that worker crashes, the job is to blame, whichever of its
// tasks it was.
func (c *Cell) placeSuspects(g *group, d fit.Demand, candidates []fit.Candidate, workers []*worker, limit int) (pending, placed int) {
	at, mode := -1, blame.Normal
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state != taskPending || t.bound {
			continue
		}
		m := c.startMode(g, t)
		if !m.TriedApart() {
			continue
		}
		pending++
		if at < 0 && m != blame.Wait {
			mode = m
			at = quietest(d, candidates, workers)
			if at >= 0 && c.hasForeignRun(g, []int{at}, candidates, workers) {
				at = -1
			}
		}
		if at < 0 || placed == limit || fit.Place(d, candidates[at:at+1], 1) == nil {
			continue
		}
		c.place(g, i, workers[candidates[at].Index], 0)
		c.watch(t.placement, mode == blame.Alone)
		placed++
	}
	if placed > 0 {
		candidates[at].TaskLimit = 0 // for the other tasks of the group
	}
	return pending, placed
}

// quietest returns the candidate with room for a task that has the least CPU in use, or -1.
// A worker with starts under way or with another watched task is left out: it could not be
// told which of them has crashed it.
func quietest(d fit.Demand, candidates []fit.Candidate, workers []*worker) int {
	best := -1
	inUse := func(at int) int64 { return candidates[at].Capacity.MilliCPU - candidates[at].Free.MilliCPU }
	for i := range candidates {
		if candidates[i].TaskLimit == 0 || fit.Count(d, candidates[i].Free) == 0 || workers[candidates[i].Index].hasNewRun() {
			continue
		}
		if best < 0 || inUse(i) < inUse(best) {
			best = i
		}
	}
	return best
}

func (w *worker) hasNewRun() bool {
	for _, p := range w.runs {
		if p.watched || p.phase == phasePlanned || p.phase == phaseStarting {
			return true
		}
	}
	return false
}

// watch watches a run until it has proved harmless. With alone, its worker starts nothing
// else until then.
func (c *Cell) watch(p *placement, alone bool) {
	if !p.watched {
		p.watched = true
		c.watchedRuns++
	}
	if alone && p.worker.probation == nil {
		p.worker.probation = p
		c.probations++
	}
}

func (c *Cell) unwatch(p *placement) {
	if p.watched {
		p.watched = false
		c.watchedRuns--
	}
}

// passProbation ends the probation of a worker, unless another of its runs is watched.
func (c *Cell) passProbation(w *worker) {
	w.probation = nil
	for _, p := range sortedPlacements(w) {
		if p.watched {
			w.probation = p
			return
		}
	}
	c.probations--
	c.scheduleNeeded = true
}

// gangMode returns how a gang is to be started: as the strictest mode of its members.
func (c *Cell) gangMode(g *group) blame.Mode {
	mode := blame.Normal
	if g.step.Gang && g.hasCrashed {
		for i := range g.tasks {
			mode = max(mode, c.startMode(g, &g.tasks[i]))
		}
	}
	return mode
}

// watchGang watches all members of a gang.
func (c *Cell) watchGang(g *group, alone bool) {
	for i := range g.tasks {
		if p := g.tasks[i].placement; p != nil {
			c.watch(p, alone)
		}
	}
}

// clearSuspects ends the suspicion of runs that have proved harmless, so that their worker
// may start other work beside them.
func (c *Cell) clearSuspects(w *worker) {
	for _, p := range w.runs {
		if !p.watched || p.phase != phaseRunning {
			continue
		}
		record := p.crashRecord()
		d, wholeRun := blame.Probation(record, c.sinceCrash())
		if wholeRun || w.answeredAt.Sub(p.confirmedAt) < d {
			continue // a worker that has not answered since may have crashed
		}
		record.Suspect, record.Blamed = false, 0
		c.unwatch(p)
	}
	if w.probation != nil && !w.probation.watched {
		c.passProbation(w)
	}
}
