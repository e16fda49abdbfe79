package cell

import (
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// activate builds the groups of an unfinished job from its submission and
// progress, and queues those that may start.
func (c *Cell) activate(j *job) {
	if len(j.steps) == 0 {
		return
	}
	if j.groups == nil {
		j.graph, j.occurrences = newStepGraph(j.steps), make([]occurrence, j.schedule.OccurrenceCount())
		first := 0
		for k := range j.schedule.OccurrenceCount() {
			for i := range j.steps {
				g := &group{job: j, occurrence: k, stepIndex: i, step: &j.steps[i], tasks: make([]task, j.steps[i].Tasks)}
				g.pending, g.firstTask = len(g.tasks), first
				first += len(g.tasks)
				j.groups = append(j.groups, g)
			}
		}
	}
	c.applyProgress(j)
	if j.state.Final() {
		return // its remaining runs are stopped when their workers answer
	}
	if j.cancelled {
		c.cancelJob(j)
		return
	}
	c.recordUrgent(j)
	j.sizeTenth = c.stats(j.queue).sizes.Add(j.size())
	c.countFinished(j)
	c.reportLongRestarts(j)
	c.enqueueOccurrences(j)
	c.finishIfDone(j)
}

// applyGroup restores a group from what an earlier owner stored. A task that may be
// running keeps a placement until its worker reports on it or the worker's lease
// expires. It returns nil for a group that is not of the job.
func (c *Cell) applyGroup(j *job, p *jobs.GroupProgress) *group {
	g := j.group(p.Occurrence, p.Step)
	if g == nil {
		c.log("stored progress refers to an unknown group", j.id, Fields{Count: p.Step})
		return nil
	}
	if err := p.Validate(); err != nil {
		c.log("stored progress is invalid", j.id, Fields{Count: p.Step, Reason: err.Error()})
		return nil
	}
	// The parts that hold a gang may be of different times.
	g.run, g.failures, g.lastFailedRun = max(g.run, p.Run), max(g.failures, p.Failures), max(g.lastFailedRun, p.FailedRun)
	g.mostFailures = max(g.mostFailures, p.Failures)
	for i := range g.tasks {
		if p.Done.Has(i) && g.tasks[i].state != taskDone {
			if g.tasks[i].state == taskPending {
				g.pending--
			}
			g.tasks[i].state = taskDone
			g.doneCount++
		}
	}
	for _, t := range p.Tasks {
		if t.Index < 0 || t.Index >= len(g.tasks) {
			c.log("stored progress refers to an unknown task", j.id, Fields{Count: t.Index})
			continue
		}
		target := &g.tasks[t.Index]
		target.run, target.failures, target.lastFailedRun = t.Run, t.Failures, t.FailedRun
		g.mostFailures = max(g.mostFailures, t.Failures)
		if t.Checkpoint != "" {
			g.saveCheckpoint(t.Index, t.Checkpoint)
		}
		target.crash, g.hasCrashed = t.Crash, g.hasCrashed || t.Crash != nil
		if t.Worker != "" {
			w := c.getOrAddWorker(t.Worker)
			if t.LateRun != 0 {
				c.addLateStart(g, t.Index, w, t.LateRun, 0, c.lateStartsUntil(w))
			}
			if t.Waits {
				c.bind(g, t.Index)
				continue
			}
			pl := c.newPlacement(g, t.Index, w, t.Run)
			pl.phase, pl.late = phaseInherited, t.LateRun == t.Run
			pl.checkpoint = t.Checkpoint
		}
	}
	return g
}

func (j *job) group(occurrence, step int) *group {
	if step < 0 || step >= len(j.steps) || occurrence < 0 || occurrence >= len(j.groups)/len(j.steps) {
		return nil
	}
	return j.groups[occurrence*len(j.steps)+step]
}

func (g *group) ref(index int) jobs.TaskRef {
	return jobs.TaskRef{Job: g.job.id, Occurrence: g.occurrence, Step: g.stepIndex, Index: index}
}

// lasts reports whether a group's tasks run, each by itself, until their job is cancelled.
func (g *group) lasts() bool { return g.step.LongRunning && !g.step.Gang }

func (g *group) finished() bool { return g.doneCount == len(g.tasks) }

func (c *Cell) enqueue(g *group) {
	if !g.queued && g.pending > 0 {
		g.queued = true
		c.readyGroups = append(c.readyGroups, g)
		c.unranked++
		c.scheduleNeeded = true
	}
}

func (c *Cell) newPlacement(g *group, index int, w *worker, run int) *placement {
	p := &placement{group: g, ref: g.ref(index), worker: w, run: run, need: taskDemand(g.step), plannedAt: c.now, progressAt: c.now}
	t := &g.tasks[index]
	if t.state == taskPending {
		t.state = taskPlaced
		g.pending--
		g.unbind(t)
	}
	t.placement, t.run = p, run
	g.activePlacements++
	w.runs[p.ref] = p
	w.used = w.used.Add(p.need)
	if g.step.LongRunning {
		w.usedByLasting = w.usedByLasting.Add(p.need)
	}
	if g.lasts() {
		w.lastingRuns++
	}
	return p
}

// taskDemand returns the resources that a task of a step reserves at its worker. Filler
// tasks use only CPU that other tasks leave idle, and reserve none of it.
func taskDemand(s *jobs.Step) model.Resources {
	need := s.Resources
	if s.BestEffortCPU {
		need.MilliCPU = 0
	}
	return need
}

// removePlacement ends a placement and releases its resources.
func (c *Cell) removePlacement(p *placement) {
	if p.startUnresolved() {
		c.recordLateStart(p)
	}
	p.phase = phaseOver
	c.pacer.StartDropped(p.startBytes)
	p.startBytes = 0
	c.scheduleNeeded = true
	delete(p.worker.runs, p.ref)
	before := p.worker.free().MilliCPU
	p.worker.used = p.worker.used.Sub(p.need)
	c.roomChanged(p.worker, before)
	c.unwatch(p)
	if p.worker.probation == p {
		c.passProbation(p.worker)
	}
	if p.group == nil {
		p.worker.foreignRuns--
	}
	if p.sizeUnknown {
		p.worker.runsOfUnknownSize--
	}
	if g := p.group; g != nil {
		if g.step.LongRunning {
			p.worker.usedByLasting = p.worker.usedByLasting.Sub(p.need)
		}
		if g.lasts() {
			p.worker.lastingRuns--
		}
		g.activePlacements--
		if g.job.state.Final() && g.activePlacements == 0 {
			c.markGroup(g)
		}
		if t := &g.tasks[p.ref.Index]; t.placement == p {
			t.placement = nil
		}
	}
}

// requeueTask returns the task of a removed placement to the pending ones.
func (c *Cell) requeueTask(p *placement, checkpoint string) {
	g := p.group
	if g == nil || g.job.state.Final() {
		return
	}
	t := &g.tasks[p.ref.Index]
	if t.state != taskPlaced || t.placement != nil {
		return
	}
	t.state = taskPending
	if g.pending == 0 {
		g.waitsSince = c.now
	}
	g.pending++
	if checkpoint != "" {
		g.saveCheckpoint(p.ref.Index, checkpoint)
	}
	c.bind(g, p.ref.Index)
	c.markTask(g, p.ref.Index)
	if g.step.Gang && checkpoint != "" {
		c.markGroup(g)
	}
	if !g.job.cancelled {
		c.enqueue(g)
	}
}

// saveCheckpoint records a checkpoint. The checkpoint of one gang member applies to all
// of them.
func (g *group) saveCheckpoint(index int, checkpoint string) {
	if !g.step.Checkpoints {
		return
	}
	if g.step.Gang {
		g.checkpoint = checkpoint
	} else {
		g.tasks[index].checkpoint = checkpoint
	}
}

// checkpointOf returns the checkpoint from which the next run of a task resumes.
func (g *group) checkpointOf(index int) string {
	if g.step.Gang {
		return g.checkpoint
	}
	return g.tasks[index].checkpoint
}

// completeTask marks a task as done, which is final.
func (c *Cell) completeTask(g *group, index int) {
	t := &g.tasks[index]
	if t.state == taskDone {
		return
	}
	if t.state == taskPending {
		g.pending--
		g.unbind(t)
	}
	t.state = taskDone
	g.doneCount++
	if g.finished() {
		g.permits, g.eligible = nil, nil
		c.groupFinished(g)
	}
	c.markTask(g, index)
	c.finishIfDone(g.job)
}

func (c *Cell) finishIfDone(j *job) {
	if !j.state.Final() && j.finishedGroups == len(j.groups) {
		c.finish(j, jobs.Completed, "")
	}
}

// finish sets a job's final state and stops its remaining runs.
func (c *Cell) finish(j *job, s jobs.State, reason string) {
	j.state, j.finishedMs = s, c.unixMs
	c.dropDelayed(j)
	c.log("job finished", j.id, Fields{Outcome: string(s), Reason: reason, Age: c.now.Sub(j.arrived), Count: j.sizeTenth})
	c.observe("job_seconds", j.queue, c.now.Sub(j.arrived))
	c.count("jobs_finished_total", string(s))
	c.countBySize(j)
	for _, g := range j.groups {
		for i := range g.tasks {
			if p := g.tasks[i].placement; p != nil && (s != jobs.Completed || !g.step.Gang) {
				c.stop(p, "job "+string(s))
			}
		}
	}
	c.markJob(j)
}

// cancelJob cancels a job and stops its runs.
func (c *Cell) cancelJob(j *job) {
	if !j.state.Final() {
		c.finish(j, jobs.Cancelled, "cancelled by its caller")
	}
}

// avoid makes a worker the last choice for a group, in place of the one at which the task
// failed before.
func (g *group) avoid(index int, name model.WorkerName) {
	if g.avoided == nil {
		g.avoided = map[model.WorkerName]int{}
	}
	t := &g.tasks[index]
	if t.avoidWorker != "" {
		g.avoided[t.avoidWorker]--
	}
	g.avoided[name]++
	t.avoidWorker = name
}

// failTask counts a failed run of a task, and fails the job once the task's attempts
// are used up. A run without a placement may have been counted by an earlier owner.
func (c *Cell) failTask(g *group, index, run int, w *worker, placed bool) {
	failures := 0
	if g.step.Gang {
		if run <= g.lastFailedRun {
			return
		}
		g.failures++
		g.lastFailedRun = run
		failures = g.failures
	} else {
		t := &g.tasks[index]
		if run <= t.lastFailedRun && !placed {
			return
		}
		t.failures++
		t.lastFailedRun = max(t.lastFailedRun, run)
		failures = t.failures
	}
	g.mostFailures = max(g.mostFailures, failures)
	g.avoid(index, w.info.Name)
	if g.step.Gang {
		c.markGroup(g)
	} else {
		c.markTask(g, index)
	}
	c.failIfAttemptsUsedUp(g)
}

// failIfAttemptsUsedUp fails the job of a group with a task, or a gang, that has failed as
// often as its queue allows. Tasks that last have no limit.
func (c *Cell) failIfAttemptsUsedUp(g *group) {
	if !g.step.LongRunning && g.mostFailures > 0 && g.mostFailures >= c.queueOf(g.job).MaxAttempts && !g.job.state.Final() {
		c.finish(g.job, jobs.Failed, "attempts used up")
	}
}
