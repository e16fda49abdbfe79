package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
)

// sendStarts sends the starts of stored placements, as many as may be in flight. The
// starts of a gang are sent together, since its members wait for each other at their
// workers.
func (c *Cell) sendStarts() {
	for len(c.storedPlacements) > 0 {
		p := c.storedPlacements[0]
		if !c.pacer.StartAllowed() && !(p.group.step.Gang && p.group.runStarted(p.run)) {
			return
		}
		c.storedPlacements = c.storedPlacements[1:]
		c.sendStart(p)
	}
}

// runStarted reports whether the start of a member of a gang's run was sent.
func (g *group) runStarted(run int) bool {
	for i := range g.tasks {
		if p := g.tasks[i].placement; p != nil && p.run == run && p.phase != phasePlanned {
			return true
		}
	}
	return false
}

// sendStart sends the start of a placement that is in the store.
func (c *Cell) sendStart(p *placement) {
	if p.phase != phasePlanned {
		return
	}
	g, w := p.group, p.worker
	if g.job.state.Final() || !w.epochAccepted || w.failedRenewals > 0 || w.listed || w.info.Draining || !c.submissionsCurrent() {
		c.dropUnsent(p, "no longer wanted")
		return
	}
	if c.now.Sub(p.plannedAt) > maxPlacementAge {
		c.dropUnsent(p, "placement too old")
		return
	}
	if w.overCapacity() {
		c.dropUnsent(p, "worker has shrunk")
		return
	}
	if !w.entryCurrent() || !g.suits(c.queueOf(g.job), w) || g.step.MaxPerWorker > 0 && w.stepTasks(g) > g.step.MaxPerWorker {
		c.dropUnsent(p, "worker no longer suits the step")
		return
	}
	perm, needed := g.permitAt(w), c.queueOf(g.job).Eligibility.Required()
	if needed && (perm.worker == nil || !c.permitOutlastsCall(&perm) || g.step.Gang && !g.runStarted(p.run) && !c.gangPermitsOutlastCall(g, p.run)) {
		c.dropUnsent(p, "permit expired")
		return
	}
	p.phase, p.sentAt = phaseStarting, c.now
	call := Call{SentAt: c.now, Bytes: p.startBytes}
	c.pacer.StartSent(c.queueOf(g.job).Priority, p.startBytes)
	p.startBytes = 0
	j := g.job
	sent := Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: w.info.Name, Age: c.now.Sub(p.plannedAt)}
	c.log("start sent", j.id, sent.withStepTasks(g, w))
	c.emit(Start{
		Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, Task: p.ref, Run: p.run,
		Payload: j.payload, LeaseUntil: c.grantLease(w), Checkpoint: g.checkpointOf(p.ref.Index), Permit: perm.token, Timeout: c.pacer.Timeout(callTimeout), Call: call,
	})
}

// permitOutlastsCall reports whether a permit is valid until a start that is sent now
// arrives.
func (c *Cell) permitOutlastsCall(p *permit) bool {
	return p.boot == p.worker.boot && p.expiresAt.Sub(c.now) > c.pacer.Latency()
}

// gangPermitsOutlastCall reports whether the permits of all members of a gang's run are
// valid until their starts arrive. One member without a permit ends the run of all.
func (c *Cell) gangPermitsOutlastCall(g *group, run int) bool {
	for i := range g.tasks {
		if p := g.tasks[i].placement; p != nil && p.run == run {
			if perm := g.permitAt(p.worker); perm.worker == nil || !c.permitOutlastsCall(&perm) {
				return false
			}
		}
	}
	return true
}

// dropUnsent removes a placement whose start was never sent.
func (c *Cell) dropUnsent(p *placement, reason string) {
	c.log("placement dropped before its start", p.ref.Job, Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Reason: reason})
	c.removePlacement(p)
	c.requeueTask(p, "")
	if g := p.group; g.step.Gang {
		c.stopGang(g, p.run, "a member was not started")
	}
}

func (c *Cell) startAnswered(e StartAnswered) {
	c.callEnded(e.Call, e.Verdict)
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	p := w.runs[e.Task]
	if p == nil || p.run != e.Run {
		if e.Verdict != Unknown {
			w.resolveStart(e.Task, e.Run)
		}
		return // the end of the run was reported first
	}
	if e.Verdict != Accepted {
		c.log("start not accepted by worker", e.Task.Job, Fields{Task: e.Task, HasTask: true, Run: e.Run, Worker: e.Worker, Outcome: e.Verdict.String()})
	}
	c.count("starts_total", e.Verdict.String())
	if e.Verdict != Unknown {
		p.resolveStart()
	}
	switch e.Verdict {
	case Accepted:
		c.confirmRun(p)
	case Superseded:
		c.stepDown("a worker has seen a higher epoch")
	case Busy, NotSent, TooLate, Malformed, NoRoom, NoPermit, OtherInstance:
		if p.phase != phaseStarting {
			return
		}
		if e.Verdict == NoPermit {
			p.group.setPermit(permit{worker: w})
		}
		if e.Verdict != NoPermit && e.Verdict != OtherInstance {
			w.pausedUntil = c.now.Add(refusedStartPause)
		}
		c.removePlacement(p)
		c.requeueTask(p, "")
		if p.group.step.Gang {
			c.stopGang(p.group, p.run, "a member was refused")
		}
	case Unknown:
		c.recordLateStart(p)
		switch {
		case p.group.step.Gang:
			c.abandonStart(p) // the other members would wait for it
		case p.phase == phaseStarting:
			// A slow processor or a link that is busy answers late. The worker's list tells
			// whether the run has begun.
			p.unansweredAt = c.now
			c.pollStatus(w)
		}
	case OldRun:
		c.abandonStart(p)
	}
}

// abandonStart stops a run that may be running, may have ended, or whose start may still
// arrive. The stop resolves all three cases unless a renewal lists the run first.
func (c *Cell) abandonStart(p *placement) {
	if p.phase != phaseStarting {
		return
	}
	c.stop(p, "start without a usable answer")
	if p.group.step.Gang {
		c.stopGang(p.group, p.run, "a member has no answer")
	}
}

// startInDoubt reports whether a start has no answer and no list of its worker is awaited that
// tells whether it was carried out.
func (p *placement) startInDoubt() bool {
	return p.phase == phaseStarting && p.unansweredAt != 0 && !p.worker.statusInFlight
}

// confirmRun marks a run as confirmed by its worker.
func (c *Cell) confirmRun(p *placement) {
	if p.phase != phaseStarting && p.phase != phaseInherited {
		return
	}
	if p.phase == phaseStarting {
		c.observe("start_seconds", "", c.now.Sub(p.sentAt))
		c.pacer.StartFinished(c.now.Sub(p.plannedAt))
		c.recordRestart(p)
	}
	p.phase, p.began, p.confirmedAt, p.progressAt = phaseRunning, true, c.now, c.now
	c.checkStepLimit(p)
	if j := p.group.job; j.state == jobs.Queued {
		j.state, j.started = jobs.Running, true
		c.observe("job_wait_seconds", j.queue, c.now.Sub(j.arrived))
		c.firstStarts = append(c.firstStarts, firstStart{job: j, at: c.now})
	}
}

// stop stops a run. Its resources are held until the worker reports that it is over.
func (c *Cell) stop(p *placement, reason string) {
	switch p.phase {
	case phaseStopping, phaseOver, phaseInherited:
		return // an inherited run is resolved when its worker answers
	case phasePlanned:
		c.removePlacement(p)
		c.requeueTask(p, "")
		return
	}
	p.phase, p.stopReason = phaseStopping, reason
	c.sendStop(p)
}

// sendStop sends a stop, or leaves it to a later tick: a stop to a worker that does not
// answer, or one queued behind many other calls, would time out and be sent again.
func (c *Cell) sendStop(p *placement) {
	if p.stopInFlight || !p.worker.epochAccepted || p.worker.failedRenewals > 0 || !c.pacer.StopAllowed() {
		return
	}
	p.stopInFlight, p.stopSentAt = true, c.now
	call := Call{SentAt: c.now, Bytes: pacing.StopCost}
	c.pacer.CallSent(call.Bytes)
	c.log("stop sent", p.ref.Job, Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Reason: p.stopReason})
	c.emit(Stop{Worker: p.worker.info.Name, Address: p.worker.info.Address, Epoch: c.epoch, Task: p.ref, Run: p.run, Timeout: c.pacer.Timeout(callTimeout), Call: call})
}

// callEnded updates the flow control with the end of a call to a worker.
func (c *Cell) callEnded(call Call, v Verdict) {
	before := c.pacer.Limit()
	c.pacer.CallFinished(c.now, call.Bytes, c.now.Sub(call.SentAt), v != Unknown && v != NotSent)
	if now := c.pacer.Limit(); now < before && c.now.Sub(c.throttleLoggedAt) >= throttleLogInterval {
		c.throttleLoggedAt = c.now
		c.log("limit of calls to workers reduced", "", Fields{Count: now, Age: c.pacer.Latency(), Epoch: c.epoch})
	}
	c.scheduleNeeded = c.scheduleNeeded || c.heldBytes > 0
}

func (c *Cell) stopAnswered(e StopAnswered) {
	c.callEnded(e.Call, e.Verdict)
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	c.lateStartBarred(w, e)
	p := w.runs[e.Task]
	if p == nil || p.run != e.Run || p.phase != phaseStopping {
		return
	}
	p.stopInFlight = false
	switch e.Verdict {
	case Accepted:
		// The worker has stopped the run, or will reject its start. The reported end of
		// the run, or a list without it, releases its resources.
		p.stopAccepted, p.confirmedAt = true, c.now
		if w.epochAccepted {
			c.pollStatus(w)
		}
	case Superseded:
		c.stepDown("a worker has seen a higher epoch")
	default:
		p.unansweredStops++
	}
}

// runEnded handles one ended run that a worker lists.
func (c *Cell) runEnded(w *worker, e RunEnd) {
	p := w.runs[e.Task]
	if p != nil && p.run != e.Run {
		if e.Run > p.run {
			c.log("worker reported the end of a run that was not placed", e.Task.Job, Fields{Task: e.Task, HasTask: true, Run: e.Run, Worker: w.info.Name, Outcome: string(e.Outcome)})
		}
		p = nil
	}
	j := c.jobs[e.Task.Job]
	var g *group
	if j != nil {
		g = j.group(e.Task.Occurrence, e.Task.Step)
	}
	var ended Fields
	if p != nil {
		if p.sentAt != 0 {
			ended.Age = c.now.Sub(p.sentAt)
		}
		p.resolveStart()
		c.removePlacement(p)
	}
	c.log("run ended", e.Task.Job, Fields{Task: e.Task, HasTask: true, Run: e.Run, Worker: w.info.Name, Outcome: string(e.Outcome), Age: ended.Age, Count: int(e.Seq)})
	c.count("ends_total", string(e.Outcome))
	if g == nil || e.Task.Index < 0 || e.Task.Index >= len(g.tasks) {
		return
	}
	c.recordHealth(w, g, p, e)
	switch {
	case g.step.LongRunning && (e.Outcome == jobs.OutcomeDone || e.Outcome == jobs.OutcomeFailed):
	case e.Outcome == jobs.OutcomeDone:
		c.recordRunTime(g, p)
		c.runDone(g, e.Task.Index)
		return
	case e.Outcome == jobs.OutcomeFailed:
		c.failTask(g, e.Task.Index, e.Run, w, p != nil && p.group == g)
	}
	if p == nil || p.group == nil {
		return
	}
	c.requeueTask(p, e.Checkpoint)
	if g.step.Gang {
		c.stopGang(g, e.Run, string(e.Outcome)+" member")
	}
}

// runDone marks the task of a run, or all tasks of its gang, as done.
func (c *Cell) runDone(g *group, index int) {
	if g.job.state.Final() {
		return
	}
	if !g.step.Gang {
		if other := g.tasks[index].placement; other != nil {
			c.stop(other, "another run is done")
		}
		c.completeTask(g, index)
		return
	}
	if g.finished() {
		return // by the end of another member
	}
	for i := range g.tasks {
		c.visited++
		c.completeTask(g, i)
	}
}

// stopGang stops the remaining members of a gang's run, since they only work together.
// They are placed again when all of them are over.
func (c *Cell) stopGang(g *group, run int, reason string) {
	if run == g.stoppedRun {
		return
	}
	inherited := false
	for i := range g.tasks {
		c.visited++
		p := g.tasks[i].placement
		switch {
		case p == nil || p.run != run:
		case p.phase == phaseInherited:
			inherited = true // stopped at the next end of a member
		default:
			c.stop(p, reason)
		}
	}
	if !inherited {
		g.stoppedRun = run
	}
}

// runLost handles a run that is over although its worker listed no end of it.
func (c *Cell) runLost(p *placement, reason string) {
	lost := 0
	if p.group != nil {
		t := &p.group.tasks[p.ref.Index]
		t.lostRuns++
		lost = t.lostRuns
	}
	c.log("run lost", p.ref.Job, Fields{
		Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Reason: reason, Outcome: p.phase.String(),
		Count: lost, Age: max(0, p.worker.answeredAt.Sub(p.sentAt)),
	})
	c.count("runs_lost_total", reason)
	c.recordLoss(p)
	c.removePlacement(p)
	c.requeueTask(p, p.checkpoint)
	if p.group != nil && p.group.step.Gang {
		c.stopGang(p.group, p.run, "lost member")
	}
}

// checkRuns resends stops without an answer, and stops runs without progress, or of which
// neither the start was answered nor a list, so that their tasks are placed again. It forgets
// late starts that are over.
func (c *Cell) checkRuns() {
	for _, w := range c.workerList {
		c.expireLateStarts(w)
		if c.watchedRuns > 0 {
			c.clearSuspects(w)
		}
		due := false
		for _, p := range w.runs {
			due = due || c.stopRetryDue(p) || c.stalled(p) || p.startInDoubt() || c.provesSound(p)
		}
		if !due {
			continue // most workers, whose runs need no order
		}
		for _, p := range sortedPlacements(w) {
			if p.startInDoubt() {
				c.abandonStart(p)
			}
			if c.provesSound(p) {
				p.sound = true
				c.recordTaskEnd(w, p.group, true)
			}
			if c.stopRetryDue(p) {
				c.sendStop(p)
			}
			if c.stalled(p) {
				c.stop(p, "no progress")
			}
		}
	}
}

// provesSound reports whether a run of a task that lasts has been at work for so long that it shows
// its worker to be sound, as the end of another task as done does. One that was there before its
// worker was put into quarantine shows nothing of the tasks that failed there since.
func (c *Cell) provesSound(p *placement) bool {
	return !p.sound && p.phase == phaseRunning && !p.unlisted && p.group != nil && p.group.lasts() && p.worker.answeredAt.Sub(p.confirmedAt) >= soundAfter &&
		(!p.worker.quarantined || p.worker.probe == p)
}

// stopRetryDue reports whether the stop of a run is to be sent again.
func (c *Cell) stopRetryDue(p *placement) bool {
	return p.phase == phaseStopping && !p.stopInFlight && !p.stopAccepted && c.now.Sub(p.stopSentAt) >= stopRetryPause<<min(p.unansweredStops, maxStopDoublings)
}

// stalled reports whether a run has made no progress for too long. Only answers of the
// worker count: one that is cut off may still make progress.
func (c *Cell) stalled(p *placement) bool {
	return p.phase == phaseRunning && !p.unlisted && p.group != nil && p.worker.answeredAt.Sub(p.progressAt) > c.stallTimeout(p.group)
}

// stallTimeout returns how long a run of a group may show no progress. Even a straggler
// shows some within the expected time of a run.
func (c *Cell) stallTimeout(g *group) time.Duration {
	if g.step.LongRunning || g.job.state.Final() {
		return time.Hour
	}
	return max(c.cfg.GangWait+gangStallMargin, c.estimate(g.job, g.step))
}

// sortedPlacements returns a worker's placements in a fixed order.
func sortedPlacements(w *worker) []*placement {
	out := make([]*placement, 0, len(w.runs))
	for _, p := range w.runs {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Occurrence, b.ref.Occurrence),
			cmp.Compare(a.ref.Step, b.ref.Step), cmp.Compare(a.ref.Index, b.ref.Index))
	})
	return out
}
