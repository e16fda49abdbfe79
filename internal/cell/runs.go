package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
)

// sendStarts sends the starts of stored placements, as many as may be under way.
// A gang is sent whole: its members wait for each other at their workers.
func (c *Cell) sendStarts() {
	for len(c.stored) > 0 {
		p := c.stored[0]
		if !c.pace.StartAllowed() && !(p.group.step.Gang && p.group.starting(p.run)) {
			return
		}
		c.stored = c.stored[1:]
		c.startPlaced(p)
	}
}

// starting reports whether a member of a gang's run was sent.
func (g *group) starting(run int) bool {
	for i := range g.tasks {
		if p := g.tasks[i].placement; p != nil && p.run == run && p.phase != phasePlanned {
			return true
		}
	}
	return false
}

// startPlaced sends the start of a placement that the store has.
func (c *Cell) startPlaced(p *placement) {
	if p.phase != phasePlanned {
		return
	}
	g, w := p.group, p.worker
	if g.job.state.Final() || !w.fenced || w.failedCalls > 0 || w.info.Draining || !c.knowsCancellations() {
		c.dropUnsent(p, "no longer wanted")
		return
	}
	if c.now.Sub(p.plannedAt) > placementLife {
		c.dropUnsent(p, "placement too old")
		return
	}
	perm, needed := g.permitAt(w), c.queueOf(g.job).Eligibility.Required()
	if needed && (perm.boot != w.boot || c.now >= perm.expires) {
		c.dropUnsent(p, "permit expired")
		return
	}
	t := &g.tasks[p.ref.Index]
	p.phase, p.sentAt = phaseStarting, c.now
	call := Call{SentAt: c.now, Bytes: p.cost}
	c.pace.StartSent(c.priorityOf(g.job.queue), p.cost)
	p.cost = 0
	j := g.job
	c.log("start sent", j.id, Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: w.info.Name, Age: c.now.Sub(p.plannedAt)})
	c.emit(Start{
		Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, Task: p.ref, Run: p.run,
		Payload: j.payload, LeaseUntil: c.leaseUntil(w), Checkpoint: t.checkpoint, Permit: perm.token, Timeout: c.pace.Timeout(orderTimeout), Call: call,
	})
}

// dropUnsent takes back a placement whose start was never sent.
func (c *Cell) dropUnsent(p *placement, reason string) {
	c.log("placement dropped", p.ref.Job, Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Reason: reason})
	c.removePlacement(p)
	c.requeue(p, "")
	if g := p.group; g.step.Gang {
		c.breakGang(g, p.run, "a member was not started")
	}
}

func (c *Cell) startAnswered(e StartAnswered) {
	c.callOver(e.Call, e.Verdict)
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	p := w.runs[e.Task]
	if p == nil || p.run != e.Run {
		return // its end was listed first
	}
	if e.Verdict != Accepted {
		c.log("start refused", e.Task.Job, Fields{Task: e.Task, HasTask: true, Run: e.Run, Worker: e.Worker, Outcome: e.Verdict.String()})
	}
	c.count("starts_total", e.Verdict.String())
	switch e.Verdict {
	case Accepted:
		c.confirm(p)
	case Superseded:
		c.reload("a worker has seen a higher epoch")
	case Busy, NotSent, TooLate, Malformed, NoRoom, NoPermit, OtherInstance:
		if p.phase != phaseStarting {
			return
		}
		if e.Verdict == NoPermit {
			p.group.permits[w.number] = permit{}
		}
		if e.Verdict != NoPermit && e.Verdict != OtherInstance {
			w.refusedUntil = c.now.Add(refusedPause)
		}
		c.removePlacement(p)
		c.requeue(p, "")
		if p.group.step.Gang {
			c.breakGang(p.group, p.run, "a member was refused")
		}
	case Unknown, OldRun:
		// Either it runs, or it ended, or it may still arrive. A stop settles
		// all three unless a renewal lists the run before.
		if p.phase == phaseStarting {
			c.stop(p, "start without a usable answer")
			if p.group.step.Gang {
				c.breakGang(p.group, p.run, "a member has no answer")
			}
		}
	}
}

// confirm notes that the worker has a run.
func (c *Cell) confirm(p *placement) {
	if p.phase != phaseStarting && p.phase != phaseInherited {
		return
	}
	if p.phase == phaseStarting {
		c.observe("start_seconds", "", c.now.Sub(p.sentAt))
	}
	p.phase, p.confirmedAt, p.percentAt = phaseRunning, c.now, c.now
	if j := p.group.job; j.state == jobs.Queued {
		j.state, j.started = jobs.Running, true
		c.observe("job_wait_seconds", j.queue, c.now.Sub(j.arrived))
		c.firstStarts = append(c.firstStarts, firstStart{job: j, at: c.now})
	}
}

// stop ends a run. Its room is held until the worker says that it is over.
func (c *Cell) stop(p *placement, reason string) {
	switch p.phase {
	case phaseStopping, phaseOver, phaseInherited:
		return // an inherited run is settled when its worker has answered
	case phasePlanned:
		c.removePlacement(p)
		c.requeue(p, "")
		return
	}
	p.phase, p.reason = phaseStopping, reason
	c.sendStop(p)
}

// sendStop sends a stop, or leaves it to a later tick: one to a worker that does
// not answer, or behind many other calls, would only be sent again.
func (c *Cell) sendStop(p *placement) {
	if p.stopping || !p.worker.fenced || p.worker.failedCalls > 0 || !c.pace.StopAllowed() {
		return
	}
	p.stopping, p.stopSentAt = true, c.now
	call := Call{SentAt: c.now, Bytes: pacing.StopCost}
	c.pace.CallSent(call.Bytes)
	c.log("stop sent", p.ref.Job, Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Reason: p.reason})
	c.emit(Stop{Worker: p.worker.info.Name, Address: p.worker.info.Address, Epoch: c.epoch, Task: p.ref, Run: p.run, Timeout: c.pace.Timeout(orderTimeout), Call: call})
}

// callOver takes the end of a start or stop into account.
func (c *Cell) callOver(call Call, v Verdict) {
	before := c.pace.Limit()
	c.pace.CallFinished(c.now, call.Bytes, c.now.Sub(call.SentAt), v != Unknown && v != NotSent)
	if now := c.pace.Limit(); now < before && c.now.Sub(c.slowedAt) >= slowedInterval {
		c.slowedAt = c.now
		c.log("calls slowed", "", Fields{Count: now, Age: c.pace.Latency(), Epoch: c.epoch})
	}
	c.changed = c.changed || c.held > 0
}

func (c *Cell) stopAnswered(e StopAnswered) {
	c.callOver(e.Call, e.Verdict)
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	p := w.runs[e.Task]
	if p == nil || p.run != e.Run || p.phase != phaseStopping {
		return
	}
	p.stopping = false
	switch e.Verdict {
	case Accepted:
		// The worker has it stopped or barred. Its end, or a list without it,
		// frees the room.
		p.barred, p.confirmedAt = true, c.now
		if w.fenced {
			c.peek(w)
		}
	case Superseded:
		c.reload("a worker has seen a higher epoch")
	default:
		p.stops++
	}
}

// runEnded takes one end that a worker lists.
func (c *Cell) runEnded(w *worker, e RunEnd) {
	p := w.runs[e.Task]
	if p != nil && p.run != e.Run {
		if e.Run > p.run {
			c.log("end of a run that was not placed", e.Task.Job, Fields{Task: e.Task, HasTask: true, Run: e.Run, Worker: w.info.Name, Outcome: string(e.Outcome)})
		}
		p = nil
	}
	j := c.jobs[e.Task.Job]
	var g *group
	if j != nil {
		g = j.group(e.Task.Occurrence, e.Task.Step)
	}
	var took Fields
	if p != nil {
		if p.sentAt != 0 {
			took.Age = c.now.Sub(p.sentAt)
		}
		c.removePlacement(p)
	}
	c.log("run ended", e.Task.Job, Fields{Task: e.Task, HasTask: true, Run: e.Run, Worker: w.info.Name, Outcome: string(e.Outcome), Age: took.Age, Count: int(e.Seq)})
	c.count("ends_total", string(e.Outcome))
	if g == nil || e.Task.Index >= len(g.tasks) {
		return
	}
	c.noteHealth(w, g, p, e)
	switch {
	case g.step.LongRunning && (e.Outcome == jobs.OutcomeDone || e.Outcome == jobs.OutcomeFailed):
	case e.Outcome == jobs.OutcomeDone:
		c.learn(g, p)
		c.runDone(g, e.Task.Index)
		return
	case e.Outcome == jobs.OutcomeFailed:
		c.failTask(g, e.Task.Index, e.Run, w)
	}
	if p == nil || p.group == nil {
		return
	}
	c.requeue(p, e.Checkpoint)
	if g.step.Gang {
		c.breakGang(g, e.Run, string(e.Outcome)+" member")
	}
}

// runDone marks the task of a run, or its whole gang, as done.
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
	for i := range g.tasks {
		c.completeTask(g, i)
	}
}

// breakGang stops what is left of a gang's run, since its members work only
// together. The members are placed again when all of them are over.
func (c *Cell) breakGang(g *group, run int, reason string) {
	for i := range g.tasks {
		if p := g.tasks[i].placement; p != nil && p.run == run && p.phase != phaseInherited {
			c.stop(p, reason)
		}
	}
}

// runLost notes that a run is over without an end being listed.
func (c *Cell) runLost(p *placement, reason string) {
	c.log("run lost", p.ref.Job, Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Reason: reason, Outcome: p.phase.String()})
	c.count("runs_lost_total", reason)
	c.removePlacement(p)
	c.requeue(p, p.saved)
	if p.group != nil && p.group.step.Gang {
		c.breakGang(p.group, p.run, "lost member")
	}
}

// checkRuns sends stops again that had no answer, and moves runs that stand
// still.
func (c *Cell) checkRuns() {
	for _, w := range c.list {
		for _, p := range sortedRuns(w) {
			if p.phase == phaseStopping && !p.stopping && !p.barred && c.now.Sub(p.stopSentAt) >= stopRetry<<min(p.stops, maxStopDoublings) {
				c.sendStop(p)
			}
			// Only answers of the worker tell; one that is cut off may work on.
			if p.phase == phaseRunning && p.group != nil && w.answeredAt.Sub(p.percentAt) > c.standstill(p.group) {
				c.stop(p, "no progress")
			}
		}
	}
}

// standstill returns how long a run of a group may show no progress. Even a
// straggler shows some in the time that a usual run takes.
func (c *Cell) standstill(g *group) time.Duration {
	if g.step.LongRunning || g.job.state.Final() {
		return time.Hour
	}
	return max(c.cfg.GangWait+standstillMargin, c.estimate(g.job, g.step))
}

// sortedRuns returns a worker's placements in a fixed order.
func sortedRuns(w *worker) []*placement {
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
