package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
	"github.com/gentianpick/gentianpick/internal/policy/stall"
)

// healthConfig returns the thresholds of quarantine. Workers here run short
// tasks, one in twenty of which fails by its own fault, and each failure uses
// up one of a task's few attempts.
func healthConfig() health.Config {
	return health.Config{
		FailureStreak:      3, // of independent tasks once in 8,000
		MinStreakJobs:      2,
		MinJobFaultWorkers: 2,
		SuccessWindow:      10 * time.Second,
		QuarantineDivisor:  3,
		InitialProbeDelay:  1500 * time.Millisecond,
		MaxProbeDelay:      10 * time.Second,
		ProbeTimeout:       3 * time.Second,
	}
}

// pump keeps one renewal at each worker that matters.
func (c *Cell) pump() {
	// Begins with another worker each time, since the bounds may not let all
	// through.
	c.pumpFrom++
	for i := range c.list {
		if w := c.list[(i+c.pumpFrom)%len(c.list)]; c.renewDue(w) {
			c.renew(w)
		}
	}
}

func (c *Cell) renewDue(w *worker) bool {
	switch {
	case w.renewing || w.info.Address == "":
		return false
	case !w.fenced && !c.pace.StopAllowed():
		return false // a new owner asks all workers
	case !w.listed && len(w.runs) == 0 && w.seenEnd == w.durableEnd:
		return false
	case w.failedCalls > 0:
		pause := renewPause << min(w.failedCalls-1, maxRenewDoublings)
		return c.now.Sub(w.renewFailed) >= pause && c.lostRenewals < c.pace.MaxUnresponsiveRenewals()
	case w.seenEnd > w.durableEnd:
		// The store does not have the newest ends yet. The worker would list
		// them again at once.
		return c.now.Sub(w.renewSent) >= renewPause && c.pace.StopAllowed()
	}
	return c.now.Sub(w.renewSent) >= c.pace.RenewalPause()
}

// peek asks a worker for its runs without waiting for one to end.
func (c *Cell) peek(w *worker) {
	if w.peeking {
		return // its answer, or the renewal that waits, tells
	}
	w.peeking = true
	call := c.renewCall()
	c.emit(Renew{Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, StatusOnly: true, Timeout: c.pace.Timeout(renewMargin), Call: call})
}

// renewCall notes a renewal that is answered at once.
func (c *Cell) renewCall() Call {
	call := Call{SentAt: c.now, Bytes: pacing.RenewCost}
	c.pace.CallSent(call.Bytes)
	return call
}

func (c *Cell) renew(w *worker) {
	w.renewing, w.renewSent = true, c.now
	r := Renew{Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, AckedEnd: w.durableEnd, LeaseUntil: c.leaseUntil(w)}
	switch {
	case !w.fenced || w.seenEnd > w.durableEnd || w.failedCalls > 0:
		// The answer is needed at once; a worker that is back has little left of
		// its lease.
		if w.failedCalls > 0 {
			// It may have started again. The number of an end of its old life would
			// make it forget ends of the new one, unseen.
			r.AckedEnd = 0
		}
	case len(w.runs) > 0:
		r.Wait = busyWait
	default:
		r.Wait = idleWait
	}
	switch {
	case w.failedCalls > 0:
		w.lostRenewal = true
		c.lostRenewals++
	case r.Wait == 0:
		r.Call = c.renewCall()
	}
	r.Timeout = r.Wait + c.pace.Timeout(renewMargin)
	c.emit(r)
}

// leaseUntil returns the end of the lease that may be granted to a worker now,
// in its own clock. It counts from the moment at which this instance last was
// the owner for certain, so that a successor knows when leases have run out.
func (c *Cell) leaseUntil(w *worker) model.WorkerTime {
	if w.clockAt == 0 || w.failedCalls > 0 {
		// A worker that does not answer keeps the lease that it has, so that its
		// runs are certainly over some time.
		return 0
	}
	until := w.clock + model.WorkerTime(c.evidence.Sub(w.clockAt)+c.cfg.MaxLease)
	w.leaseEnd = max(w.leaseEnd, c.evidence.Add(c.longestLease()))
	return max(until, 0)
}

// longestLease bounds how long after its evidence a lease that an owner
// granted can last, on any instance's clock.
func (c *Cell) longestLease() time.Duration {
	// The worker's clock may be slow during the lease and since the reading
	// that the lease was computed from, which is at most as old again.
	return time.Duration(float64(c.cfg.MaxLease)*(1+2*clockRate)) + leaseMargin
}

func (c *Cell) renewed(e Renewed) {
	if e.Call.Bytes > 0 {
		c.callOver(e.Call, e.Verdict)
	}
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	if e.StatusOnly {
		w.peeking = false
	} else {
		w.renewing = false
		if w.lostRenewal {
			w.lostRenewal = false
			c.lostRenewals--
		}
	}
	switch e.Verdict {
	case Accepted:
		if e.Boot != 0 && e.Boot < w.boot || e.Boot == w.boot && e.Clock < w.clock {
			return // overtaken by a newer answer
		}
		c.workerAnswered(w, e)
	case Superseded:
		c.reload("a worker has seen a higher epoch")
	default:
		if e.StatusOnly {
			return
		}
		w.failedCalls++
		w.renewFailed = c.now
		if w.failedCalls == 1 {
			c.health.MarkUnreachable(c.now, w.info.Name)
			c.log("worker lost", "", Fields{Worker: w.info.Name, Outcome: e.Verdict.String(), Count: len(w.runs), Age: c.now.Sub(w.answeredAt)})
		}
	}
}

func (c *Cell) workerAnswered(w *worker, e Renewed) {
	if !w.fenced || w.failedCalls > 0 {
		c.changed = true
		c.health.MarkReachable(c.now, w.info.Name)
		c.log("worker reached", "", Fields{Worker: w.info.Name, Epoch: c.epoch, Count: len(e.Running), Age: c.now.Sub(w.answeredAt)})
	}
	w.failedCalls, w.answeredAt = 0, c.now
	reborn := w.boot != 0 && e.Boot != 0 && e.Boot != w.boot
	if reborn {
		c.workerReborn(w)
	}
	if e.Boot != 0 {
		w.boot = e.Boot
	}
	w.clock, w.clockAt = e.Clock, c.now
	w.fenced = true
	for _, end := range e.Ended {
		if end.Seq > w.seenEnd {
			w.seenEnd = end.Seq
			c.runEnded(w, end)
		}
	}
	c.compareRuns(w, e, reborn)
	c.judgePace(w)
	c.endsDirty = c.endsDirty || w.seenEnd > w.durableEnd
}

// judgePace keeps new work from a worker whose runs are slow, and moves its runs
// if they stand still.
func (c *Cell) judgePace(w *worker) {
	if c.now < w.judgeAt {
		return
	}
	var samples []stall.Sample
	for _, p := range w.runs {
		if p.phase == phaseRunning && p.confirmedAt != 0 && p.group != nil && !p.group.step.Gang && !p.group.step.LongRunning {
			samples = append(samples, stall.Sample{
				Elapsed: c.now.Sub(p.confirmedAt), Expected: c.estimate(p.group.job, p.group.step), Percent: p.percent - p.percentAtStart,
			})
		}
	}
	verdict := stall.Evaluate(samples)
	if verdict != stall.Slow && verdict != stall.Stalled {
		return
	}
	w.refusedUntil = c.now.Add(slowPause)
	w.judgeAt = c.now.Add(slowPause / 4)
	c.count("slow_workers_total", "")
	c.log("worker is slow", "", Fields{Worker: w.info.Name, Count: len(samples), Outcome: stalledText(verdict)})
	if verdict != stall.Stalled {
		return
	}
	for _, p := range sortedRuns(w) {
		if p.phase == phaseRunning && p.group != nil && !p.group.step.LongRunning && c.now.Sub(p.confirmedAt) > stalledAfter {
			c.stop(p, "its worker stands still")
		}
	}
}

func stalledText(v stall.Verdict) string {
	if v == stall.Stalled {
		return "stalled"
	}
	return "slow"
}

// workerReborn notes that a worker's process has started again. Its ends are
// counted anew. What it ran before is over, but it may have begun some runs in
// its new life already, so its list decides. A stop that it accepted before
// does not bar a start that is still under way.
func (c *Cell) workerReborn(w *worker) {
	c.log("worker restarted", "", Fields{Worker: w.info.Name, Count: len(w.runs)})
	for _, p := range sortedRuns(w) {
		switch p.phase {
		case phasePlanned:
			c.dropUnsent(p, "worker restarted")
		case phaseStopping:
			p.barred = false
		}
	}
	w.fenced, w.seenEnd, w.durableEnd = false, 0, 0
	w.leaseEnd = c.now.Add(c.longestLease())
	c.health.ForgetWorker(w.info.Name)
}

// compareRuns brings the placements at a worker in line with the runs that it
// lists.
func (c *Cell) compareRuns(w *worker, e Renewed, reborn bool) {
	listed := make(map[jobs.TaskRef]bool, len(e.Running))
	for i := range e.Running {
		r := &e.Running[i]
		listed[r.Task] = true
		p := w.runs[r.Task]
		if p == nil || p.run != r.Run {
			c.stopForeign(w, r, p)
			continue
		}
		p.unlisted = 0
		if p.phase == phaseStarting || p.phase == phaseInherited {
			c.confirm(p)
			p.percentAtStart = r.Percent
		}
		p.saved = r.Checkpoint
		if r.Percent > p.percent || p.percentAt == 0 {
			p.percent, p.percentAt = r.Percent, c.now
		}
		if p.phase == phaseRunning && p.notNeeded() {
			c.stop(p, "job "+string(p.group.job.state))
		}
	}
	for _, p := range sortedRuns(w) {
		if listed[p.ref] || w.runs[p.ref] != p {
			continue
		}
		switch p.phase {
		case phaseInherited:
			// The worker has accepted this epoch, so the start can't arrive any more.
			c.runLost(p, "not at the worker")
		case phaseRunning, phaseStopping:
			// Only a list that was asked for after the confirmation tells.
			if p.confirmedAt == 0 || e.SentAt < p.confirmedAt {
				continue
			}
			if p.unlisted++; p.phase == phaseRunning && reborn {
				c.runLost(p, "worker restarted")
			} else if p.phase == phaseStopping && p.barred || p.unlisted >= 2 {
				c.runLost(p, "not listed")
			}
		}
	}
}

// notNeeded reports whether a run is to be stopped. The members of a gang that is
// done end by themselves.
func (p *placement) notNeeded() bool {
	done := p.group.tasks[p.ref.Index].state == taskDone
	if p.group.step.Gang && done {
		return false
	}
	return done || p.group.job.state.Final()
}

// stopForeign ends a run that this owner did not place. An earlier owner's
// placement that was given up is the usual cause.
func (c *Cell) stopForeign(w *worker, r *RunStatus, known *placement) {
	if known != nil && known.phase != phaseInherited {
		if r.Run > known.run {
			c.log("unknown run listed", r.Task.Job, Fields{Task: r.Task, HasTask: true, Run: r.Run, Worker: w.info.Name})
		}
		return
	}
	c.log("foreign run stopped", r.Task.Job, Fields{Task: r.Task, HasTask: true, Run: r.Run, Worker: w.info.Name, Epoch: c.epoch})
	c.count("foreign_runs_total", "")
	p := &placement{ref: r.Task, worker: w, run: r.Run, phase: phaseRunning, confirmedAt: c.now, plannedAt: c.now}
	if j := c.jobs[r.Task.Job]; j != nil {
		if g := j.group(r.Task.Occurrence, r.Task.Step); g != nil {
			p.need = room(g.step)
		}
	}
	if known != nil {
		return
	}
	w.runs[p.ref] = p
	w.used = w.used.Add(p.need)
	c.stop(p, "not placed by this owner")
}

// checkWorkers gives up the runs of workers whose lease is over.
func (c *Cell) checkWorkers() {
	for _, w := range c.list {
		if len(w.runs) == 0 || c.now <= w.leaseEnd {
			continue
		}
		for _, p := range sortedRuns(w) {
			if w.runs[p.ref] != p || p.phase == phasePlanned {
				continue
			}
			c.runLost(p, "lease over")
		}
	}
	for _, name := range c.health.StartDueProbes(c.now) {
		if w := c.workers[name]; w != nil {
			w.probe = true
		}
	}
}

// noteHealth counts an end for or against its worker. Ends of gangs other than
// failures say little about one worker.
func (c *Cell) noteHealth(w *worker, g *group, p *placement, e RunEnd) {
	if p == nil || e.Outcome != jobs.OutcomeDone && e.Outcome != jobs.OutcomeFailed {
		return
	}
	change := c.health.RecordTaskEnd(c.now, w.info.Name, model.JobID(g.job.id), e.Outcome == jobs.OutcomeDone)
	for _, name := range change.Quarantined {
		c.log("worker quarantined", g.job.id, Fields{Worker: name, Reason: "failures in a row"})
		c.count("quarantines_total", "")
	}
	for _, name := range change.Released {
		c.log("worker released from quarantine", "", Fields{Worker: name})
	}
}
