package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
	"github.com/gentianpick/gentianpick/internal/policy/stall"
)

// healthConfig returns the quarantine thresholds. Workers run short tasks, one in twenty
// of which fails through no fault of the worker, and each failure uses up one of the
// task's few attempts.
func healthConfig() health.Config {
	return health.Config{
		FailureStreak:      3, // three consecutive independent tasks fail once in 8,000
		MinStreakJobs:      2,
		MinJobFaultWorkers: 2,
		SuccessWindow:      10 * time.Second,
		QuarantineDivisor:  3,
		InitialProbeDelay:  1500 * time.Millisecond,
		MaxProbeDelay:      10 * time.Second,
		ProbeTimeout:       3 * time.Second,
	}
}

// renewLeases keeps one renewal in flight at each worker that needs one: every registered
// worker, also an idle one, and an unregistered worker that still has runs or whose newest
// ended runs are not stored yet.
func (c *Cell) renewLeases() {
	if !c.scanDue(&c.renewedAt) {
		return
	}
	// Begins with a different worker each time, since the limits may not admit all
	// renewals.
	c.renewOffset++
	for i := range c.workerList {
		if w := c.workerList[(i+c.renewOffset)%len(c.workerList)]; c.renewDue(w) {
			c.renew(w)
		}
	}
}

func (c *Cell) renewDue(w *worker) bool {
	switch {
	case w.renewInFlight || w.info.Address == "":
		return false
	case !w.epochAccepted && !c.pacer.StopAllowed():
		return false // a new owner would otherwise poll all workers at the same time
	case !w.registered && len(w.runs) == 0 && w.seenEndSeq == w.storedEndSeq:
		return false
	case w.failedRenewals > 0:
		pause := renewRetryPause << min(w.failedRenewals-1, maxRenewDoublings)
		if len(w.runs) > 0 && w.leaseEnd.Sub(c.now) < c.cfg.MaxLease/2 || len(w.lateStarts) > 0 {
			pause = renewRetryPause // its runs end with the lease, and its next process has to reject late starts
		}
		return c.now.Sub(w.renewFailedAt) >= pause && c.renewRetries < c.pacer.MaxUnresponsiveRenewals()
	case w.seenEndSeq > w.storedEndSeq:
		// The newest ended runs are not stored yet. The worker would list them again at
		// once.
		return c.now.Sub(w.renewSentAt) >= renewRetryPause && c.pacer.StopAllowed()
	}
	return c.now.Sub(w.renewSentAt) >= c.pacer.RenewalPause()
}

// pollStatus asks a worker for its list of runs without waiting for one to end.
func (c *Cell) pollStatus(w *worker) {
	if w.statusInFlight {
		return // the answer in flight, or the long poll, will report the runs
	}
	w.statusInFlight = true
	call := c.beginImmediateCall()
	c.emit(Renew{Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, StatusOnly: true, Timeout: c.pacer.Timeout(renewTimeoutMargin), Call: call})
}

// beginImmediateCall accounts for a renewal that the worker answers at once, and returns
// the record to pass to callEnded.
func (c *Cell) beginImmediateCall() Call {
	call := Call{SentAt: c.now, Bytes: pacing.RenewCost}
	c.pacer.CallSent(call.Bytes)
	return call
}

func (c *Cell) renew(w *worker) {
	w.renewInFlight, w.renewSentAt = true, c.now
	r := Renew{Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, AckedEnd: w.storedEndSeq, LeaseUntil: c.grantLease(w)}
	switch {
	case !w.epochAccepted || w.seenEndSeq > w.storedEndSeq || w.failedRenewals > 0:
		// The answer is needed at once; a worker that is reachable again has little time
		// left in its lease.
		if w.failedRenewals > 0 {
			// The worker may have restarted. An acknowledgement from before its restart
			// would make it discard newer ended runs that were not handled.
			r.AckedEnd = 0
		}
	case len(w.runs) > 0:
		r.Wait = busyPollWait
	default:
		r.Wait = idlePollWait
	}
	switch {
	case w.failedRenewals > 0:
		w.retryInFlight = true
		c.renewRetries++
	case r.Wait == 0:
		r.Call = c.beginImmediateCall()
	}
	r.Timeout = r.Wait + c.pacer.Timeout(renewTimeoutMargin)
	w.renewTimeout = r.Timeout
	c.emit(r)
}

// grantLease extends the lease of a worker and returns its new end in the worker's clock,
// or zero if it grants none. The lease is counted from the moment at which this instance
// was last certain to be the owner, so that a successor knows when all leases have
// expired.
func (c *Cell) grantLease(w *worker) model.WorkerTime {
	if w.clockAt == 0 || w.failedRenewals > 0 || w.listed {
		// The lease of a worker that does not answer is not extended, so that its runs
		// certainly end once it expires. A successor may rely on that as long as the worker
		// is listed.
		return 0
	}
	until := w.clock + model.WorkerTime(c.confirmedOwnerAt.Sub(w.clockAt)+c.cfg.MaxLease)
	w.leaseEnd = max(w.leaseEnd, c.confirmedOwnerAt.Add(c.longestLease()))
	return max(until, 0)
}

// longestLease bounds how long after confirmedOwnerAt a lease that an owner granted can
// last, by any instance's clock.
func (c *Cell) longestLease() time.Duration {
	// The worker's clock may be slow during the lease, and since the clock reading from
	// which the lease was computed, which is at most one lease old.
	return time.Duration(float64(c.cfg.MaxLease)*(1+2*maxClockDrift)) + leaseMargin
}

func (c *Cell) renewed(e Renewed) {
	if e.Call.Bytes > 0 {
		c.callEnded(e.Call, e.Verdict)
	}
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	if e.StatusOnly {
		w.statusInFlight = false
	} else {
		w.renewInFlight = false
		if w.retryInFlight {
			w.retryInFlight = false
			c.renewRetries--
		}
	}
	switch e.Verdict {
	case Accepted:
		if e.Boot != 0 && e.Boot < w.boot && e.SentAt <= w.answeredAt || e.Boot == w.boot && e.Clock < w.clock {
			return // a newer answer arrived first
		}
		c.workerAnswered(w, e)
	case Superseded:
		c.stepDown("a worker has seen a higher epoch")
	default:
		if e.StatusOnly {
			return
		}
		w.failedRenewals++
		w.renewFailedAt = c.now
		if w.failedRenewals == 1 {
			if w.answeredAt != 0 {
				// A new owner finds all workers that are gone at the same time, whenever
				// they crashed.
				w.unreachableAt = c.now
			}
			w.disconnected = c.now.Sub(w.renewSentAt) < w.renewTimeout-TickInterval
			c.health.MarkUnreachable(c.now, w.info.Name)
			c.log("worker unreachable", "", Fields{Worker: w.info.Name, Outcome: e.Verdict.String(), Count: len(w.runs), Age: c.now.Sub(w.answeredAt)})
		}
		if e.Verdict == OtherInstance && !w.replaced {
			c.workerReplaced(w)
		}
	}
}

func (c *Cell) workerAnswered(w *worker, e Renewed) {
	if !w.epochAccepted || w.failedRenewals > 0 {
		c.scheduleNeeded = true
		// Its process may run what was started late, with a lease of its own.
		w.leaseEnd = max(w.leaseEnd, c.now.Add(c.longestLease()))
		c.health.MarkReachable(c.now, w.info.Name)
		c.log("worker reachable", "", Fields{Worker: w.info.Name, Epoch: c.epoch, Count: len(e.Running), Age: c.now.Sub(w.answeredAt)})
	}
	restarted := w.boot != 0 && e.Boot != 0 && e.Boot != w.boot
	if restarted {
		c.recordCrash(w, c.runsNotListed(w, e), "restarted")
		c.workerRestarted(w)
	} else {
		w.retractLapsed()
	}
	w.failedRenewals, w.answeredAt, w.replaced, w.unreachableAt = 0, c.now, false, 0
	if e.Boot != 0 {
		w.boot = e.Boot
	}
	w.clock, w.clockAt = e.Clock, c.now
	w.epochAccepted = true
	c.listedAnswers = c.listedAnswers || w.listed
	for _, end := range e.Ended.Entries() {
		if end.Seq > w.seenEndSeq {
			w.seenEndSeq = end.Seq
			c.runEnded(w, end)
		}
	}
	c.reportPartialList(w, e)
	c.reconcileRuns(w, e, restarted)
	c.barLateStarts(w, e.SentAt)
	c.checkSpeed(w)
	c.endsUnstored = c.endsUnstored || w.seenEndSeq > w.storedEndSeq
}

// reportPartialList reports a worker that has, or may have, more ended runs than it lists: what
// became of a run that it does not list is not known until they are acknowledged.
func (c *Cell) reportPartialList(w *worker, e Renewed) {
	if e.Ended.IsWhole() {
		return
	}
	c.count("partial_end_lists_total", "")
	if c.now.Sub(w.partialLoggedAt) >= partialLogInterval {
		w.partialLoggedAt = c.now
		c.log("worker lists a part of its ended runs", "", Fields{Worker: w.info.Name, Count: len(e.Ended.Entries()), Age: c.now.Sub(c.confirmedOwnerAt)})
	}
}

// checkSpeed gives no new tasks to a worker whose runs are slow, and stops its runs if
// they make no progress, so that their tasks are placed elsewhere.
func (c *Cell) checkSpeed(w *worker) {
	if c.now < w.nextSpeedCheck {
		return
	}
	var samples []stall.Sample
	for _, p := range w.runs {
		if p.phase == phaseRunning && p.confirmedAt != 0 && !p.unlisted && p.group != nil && !p.group.step.Gang && !p.group.step.LongRunning {
			samples = append(samples, stall.Sample{
				Elapsed: c.now.Sub(p.confirmedAt), Expected: c.estimate(p.group.job, p.group.step), Percent: p.percent - p.percentAtStart,
			})
		}
	}
	verdict := stall.Evaluate(samples)
	if verdict != stall.Slow && verdict != stall.Stalled {
		return
	}
	w.pausedUntil = c.now.Add(slowWorkerPause)
	w.nextSpeedCheck = c.now.Add(slowWorkerPause / 4)
	c.count("slow_workers_total", "")
	c.log("runs of worker slower than estimated", "", Fields{Worker: w.info.Name, Count: len(samples), Outcome: speedText(verdict)})
	if verdict != stall.Stalled {
		return
	}
	for _, p := range sortedPlacements(w) {
		if p.phase == phaseRunning && p.group != nil && !p.group.step.LongRunning && c.now.Sub(p.confirmedAt) > stalledRunAge {
			c.stop(p, "its worker stands still")
		}
	}
}

func speedText(v stall.Verdict) string {
	if v == stall.Stalled {
		return "stalled"
	}
	return "slow"
}

// workerRestarted handles the restart of a worker's process. Its ended runs are numbered
// from 1 again. Its runs from before the restart are over, but it may already have begun
// new ones, so its list of runs decides. A stop that it accepted before the restart does
// not prevent a start that is still in flight.
func (c *Cell) workerRestarted(w *worker) {
	c.log("worker restarted", "", Fields{Worker: w.info.Name, Count: len(w.runs)})
	w.lostLasting, w.restartedAt = w.lastingRuns, c.now
	c.beginLoss(w)
	for _, p := range sortedPlacements(w) {
		switch p.phase {
		case phasePlanned:
			c.dropUnsent(p, "worker restarted")
		case phaseStopping:
			p.stopAccepted = false
		}
	}
	w.epochAccepted, w.seenEndSeq, w.storedEndSeq = false, 0, 0
	w.quarantined, w.probeAllowed = false, false
	w.leaseEnd = c.now.Add(c.longestLease())
	c.health.ForgetWorker(w.info.Name)
}

// reconcileRuns updates the placements at a worker from the list of its runs.
func (c *Cell) reconcileRuns(w *worker, e Renewed, restarted bool) {
	listed := make(map[jobs.TaskRef]bool, len(e.Running))
	for i := range e.Running {
		r := &e.Running[i]
		listed[r.Task] = true
		p := w.runs[r.Task]
		if p == nil || p.run != r.Run {
			c.unplacedRunListed(w, r, p)
			continue
		}
		p.unlistedRenewals = 0
		p.resolveStart()
		if p.phase == phaseStarting || p.phase == phaseInherited {
			c.confirmRun(p)
			p.percentAtStart = r.Percent
		}
		p.checkpoint = r.Checkpoint
		if r.Percent > p.percent || p.progressAt == 0 {
			p.percent, p.progressAt = r.Percent, c.now
		}
		if p.phase == phaseRunning && p.notNeeded() {
			c.stop(p, "job "+string(p.group.job.state))
		}
	}
	poll := false
	for _, p := range sortedPlacements(w) {
		p.unlisted = !listed[p.ref]
		if p.unlisted && p.phase == phaseStarting && p.unansweredAt != 0 && w.runs[p.ref] == p {
			if e.SentAt >= p.unansweredAt {
				c.abandonStart(p)
			} else {
				poll = true
			}
			continue
		}
		if listed[p.ref] || w.runs[p.ref] != p || !e.Ended.IsWhole() {
			continue // a run in neither list may have ended if the worker has further ends
		}
		switch p.phase {
		case phaseInherited:
			// The worker has accepted this epoch, so its process will reject the earlier
			// owner's start from now on. The process after it may not.
			c.recordLateStart(p)
			c.runLost(p, "not at the worker")
			c.presumeCrash(p, false)
		case phaseRunning, phaseStopping:
			// Only a list that was requested after the confirmation is conclusive.
			if p.confirmedAt == 0 || e.SentAt < p.confirmedAt {
				continue
			}
			if p.unlistedRenewals++; p.phase == phaseRunning && restarted {
				c.runLost(p, "worker restarted")
			} else if p.phase == phaseStopping && p.stopAccepted || p.unlistedRenewals >= 2 {
				c.runLost(p, "not listed")
			}
		}
	}
	if poll {
		c.pollStatus(w)
	}
}

// notNeeded reports whether a run is to be stopped. The members of a gang that is done
// end on their own.
func (p *placement) notNeeded() bool {
	done := p.group.tasks[p.ref.Index].state == taskDone
	if p.group.step.Gang && done {
		return false
	}
	return done || p.group.job.state.Final()
}

// unplacedRunListed handles a run that this owner did not place: one of an earlier owner, or of
// a late start. A waiting task adopts it. Otherwise it is stopped: if the worker has an inherited
// placement of the same task, that placement becomes the listed run. With any other placement of
// the task there the run is not stopped, and only logged if it is the newer one.
func (c *Cell) unplacedRunListed(w *worker, r *RunStatus, known *placement) {
	if known != nil && known.phase != phaseInherited {
		if r.Run > known.run {
			c.log("worker lists a newer run than was placed", r.Task.Job, Fields{Task: r.Task, HasTask: true, Run: r.Run, Worker: w.info.Name})
		}
		return
	}
	adopted := known == nil && c.adoptRun(w, r)
	listed := Fields{Task: r.Task, HasTask: true, Run: r.Run, Worker: w.info.Name, Epoch: c.epoch, Outcome: "stopped"}
	if adopted {
		listed.Outcome = "adopted"
	}
	c.log("worker lists a run that this owner did not place", r.Task.Job, listed)
	c.count("foreign_runs_total", "")
	if adopted {
		return
	}
	p := known
	if p == nil {
		p = &placement{ref: r.Task, worker: w, plannedAt: c.now, sizeUnknown: true}
		if j := c.jobs[r.Task.Job]; j != nil {
			if g := j.group(r.Task.Occurrence, r.Task.Step); g != nil {
				p.need, p.sizeUnknown = taskDemand(g.step), false
			}
		}
		w.runs[p.ref] = p
		w.foreignRuns++
		if p.sizeUnknown {
			w.runsOfUnknownSize++
		}
		w.used = w.used.Add(p.need)
	}
	p.run, p.phase, p.confirmedAt = r.Run, phaseRunning, c.now
	c.checkStepLimit(p)
	c.stop(p, "not placed by this owner")
}

// adoptRun makes a run the one of its task, if that waits for a placement or its start was not
// sent yet, so that it isn't started elsewhere beside it. The run of a member of a gang, and one
// that may not be there, is stopped.
func (c *Cell) adoptRun(w *worker, r *RunStatus) bool {
	j := c.jobs[r.Task.Job]
	if j == nil || j.state.Final() {
		return false
	}
	g := j.group(r.Task.Occurrence, r.Task.Step)
	if g == nil || r.Task.Index < 0 || r.Task.Index >= len(g.tasks) {
		return false
	}
	t := &g.tasks[r.Task.Index]
	if p := t.placement; p != nil && p.phase == phasePlanned {
		c.dropUnsent(p, "another run of the task is listed")
	}
	if t.state != taskPending {
		return false
	}
	newest := max(t.run, r.Run)
	p := c.newPlacement(g, r.Task.Index, w, r.Run)
	t.run = newest
	p.phase = phaseInherited
	p.resolveStart()
	c.confirmRun(p)
	p.checkpoint, p.percent, p.percentAtStart = r.Checkpoint, r.Percent, r.Percent
	c.markTask(g, r.Task.Index)
	if g.step.Gang || !g.suits(c.queueOf(j), w) || w.overCapacity() || g.step.MaxPerWorker > 0 && w.stepTasks(g) > g.step.MaxPerWorker {
		c.stop(p, "not placed by this owner")
	}
	return true
}

// expireLeases removes the runs of workers whose lease has expired. It also allows the
// probe tasks that are due at quarantined workers, since these too depend only on time.
func (c *Cell) expireLeases() {
	for _, w := range c.workerList {
		if len(w.runs) == 0 || c.now <= w.leaseEnd {
			continue
		}
		for _, p := range sortedPlacements(w) {
			if w.runs[p.ref] != p || p.phase == phasePlanned {
				continue
			}
			c.runLost(p, "lease over")
			c.presumeCrash(p, true)
		}
	}
	for _, name := range c.health.StartDueProbes(c.now) {
		if w := c.workers[name]; w != nil {
			if !w.probeAllowed {
				w.probeAllowed, w.probeDueAt = true, c.now
			}
		}
	}
}

// recordHealth counts an ended run for or against its worker. Only runs that are done or
// failed and that have a placement at the worker count; members of a gang count like other
// runs.
func (c *Cell) recordHealth(w *worker, g *group, p *placement, e RunEnd) {
	if p == nil || e.Outcome != jobs.OutcomeDone && e.Outcome != jobs.OutcomeFailed {
		return
	}
	c.recordTaskEnd(w, g, e.Outcome == jobs.OutcomeDone)
}

// recordTaskEnd counts a success or a failure of a task for or against its worker and its job.
func (c *Cell) recordTaskEnd(w *worker, g *group, ok bool) {
	change := c.health.RecordTaskEnd(c.now, w.info.Name, model.JobID(g.job.id), ok)
	for _, name := range change.Quarantined {
		if failing := c.workers[name]; failing != nil {
			failing.quarantined = true
		}
		c.log("worker quarantined", g.job.id, Fields{Worker: name, Reason: "failures in a row"})
		c.count("quarantines_total", "")
	}
	for _, name := range change.Released {
		if released := c.workers[name]; released != nil {
			released.quarantined, released.probeAllowed = false, false
		}
		c.log("worker released from quarantine", "", Fields{Worker: name})
	}
}
