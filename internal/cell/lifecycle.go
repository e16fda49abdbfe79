package cell

import (
	"slices"

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
		for k := range j.schedule.OccurrenceCount() {
			for i := range j.steps {
				g := &group{job: j, occurrence: k, index: i, step: &j.steps[i], tasks: make([]task, j.steps[i].Tasks)}
				g.pending = len(g.tasks)
				j.groups = append(j.groups, g)
			}
		}
	}
	if p := j.progress; p != nil {
		j.progress = nil
		for i := range p.Groups {
			c.applyGroup(j, &p.Groups[i])
		}
	}
	if j.state.Final() {
		return // its last runs are stopped when their workers answer
	}
	if j.cancelled {
		c.cancelJob(j)
		return
	}
	c.enqueueGroups(j)
	c.finishIfDone(j)
}

// applyGroup takes over what an earlier owner stored of one group. A task that
// may be running keeps a placement until its worker, or the end of the lease,
// settles it.
func (c *Cell) applyGroup(j *job, p *jobs.GroupProgress) {
	g := j.group(p.Occurrence, p.Step)
	if g == nil {
		c.log("progress names an unknown group", j.id, Fields{Count: p.Step})
		return
	}
	g.run, g.failures, g.failedRun = p.Run, p.Failures, p.FailedRun
	for i := range g.tasks {
		if p.Done.Has(i) {
			g.tasks[i].state = taskDone
			g.pending--
			g.doneCount++
		}
	}
	for _, t := range p.Tasks {
		if t.Index < 0 || t.Index >= len(g.tasks) {
			c.log("progress names an unknown task", j.id, Fields{Count: t.Index})
			continue
		}
		own := &g.tasks[t.Index]
		own.run, own.failures, own.failedRun, own.checkpoint = t.Run, t.Failures, t.FailedRun, t.Checkpoint
		if t.Worker != "" {
			pl := c.newPlacement(g, t.Index, c.workerOf(t.Worker), t.Run)
			pl.phase = phaseInherited
			pl.saved = t.Checkpoint
		}
	}
}

func (j *job) group(occurrence, step int) *group {
	i := occurrence*len(j.steps) + step
	if occurrence < 0 || step < 0 || step >= len(j.steps) || i >= len(j.groups) {
		return nil
	}
	return j.groups[i]
}

func (g *group) ref(index int) jobs.TaskRef {
	return jobs.TaskRef{Job: g.job.id, Occurrence: g.occurrence, Step: g.index, Index: index}
}

func (g *group) finished() bool { return g.doneCount == len(g.tasks) }

// enqueueGroups queues the groups of a job that may start now, and notes those
// that wait for their time.
func (c *Cell) enqueueGroups(j *job) {
	for _, g := range j.groups {
		if g.readyAt != 0 || g.finished() || !c.predecessorsDone(g) {
			continue
		}
		if due := j.schedule.DueMs(g.occurrence); due > c.unixMs {
			if !slices.Contains(c.due, g) {
				c.due = append(c.due, g)
			}
			continue
		}
		g.readyAt = c.now
		c.enqueue(g)
	}
}

func (c *Cell) predecessorsDone(g *group) bool {
	for _, a := range g.step.After {
		if !g.job.group(g.occurrence, a).finished() {
			return false
		}
	}
	return true
}

func (c *Cell) enqueue(g *group) {
	if !g.queued && g.pending > 0 {
		g.queued = true
		c.ready = append(c.ready, g)
		c.unranked++
		c.changed = true
	}
}

// releaseDue queues the groups whose time has come.
func (c *Cell) releaseDue() {
	if len(c.due) == 0 {
		return
	}
	due := c.due
	c.due = nil
	for _, g := range due {
		if !g.job.cancelled && !g.job.state.Final() {
			c.enqueueGroups(g.job)
		}
	}
}

func (c *Cell) newPlacement(g *group, index int, w *worker, run int) *placement {
	p := &placement{group: g, ref: g.ref(index), worker: w, run: run, need: room(g.step), plannedAt: c.now, percentAt: c.now}
	t := &g.tasks[index]
	if t.state == taskPending {
		t.state = taskPlaced
		g.pending--
	}
	t.placement, t.run = p, run
	g.placed++
	w.runs[p.ref] = p
	w.used = w.used.Add(p.need)
	return p
}

// room returns what a task of a step holds at its worker. Fillers use only the
// CPU that others leave.
func room(s *jobs.Step) model.Resources {
	need := s.Resources
	if s.BestEffortCPU {
		need.MilliCPU = 0
	}
	return need
}

// removePlacement gives a placement's room back.
func (c *Cell) removePlacement(p *placement) {
	p.phase = phaseOver
	c.pace.StartDropped(p.cost)
	p.cost = 0
	c.changed = true
	delete(p.worker.runs, p.ref)
	p.worker.used = p.worker.used.Sub(p.need)
	if g := p.group; g != nil {
		g.placed--
		if g.job.state.Final() && g.placed == 0 {
			c.markDirty(g.job)
		}
		if t := &g.tasks[p.ref.Index]; t.placement == p {
			t.placement = nil
		}
	}
}

// requeue makes the task of a removed placement wait for another one.
func (c *Cell) requeue(p *placement, checkpoint string) {
	g := p.group
	if g == nil || g.job.state.Final() {
		return
	}
	t := &g.tasks[p.ref.Index]
	if t.state != taskPlaced || t.placement != nil {
		return
	}
	t.state = taskPending
	g.pending++
	if checkpoint != "" {
		g.keepCheckpoint(p.ref.Index, checkpoint)
	}
	c.markDirty(g.job)
	if !g.job.cancelled {
		c.enqueue(g)
	}
}

// keepCheckpoint notes saved progress. That of one member serves a whole gang.
func (g *group) keepCheckpoint(index int, checkpoint string) {
	if !g.step.Checkpoints {
		return
	}
	if !g.step.Gang {
		g.tasks[index].checkpoint = checkpoint
		return
	}
	for i := range g.tasks {
		g.tasks[i].checkpoint = checkpoint
	}
}

// completeTask notes that a task is done, for good.
func (c *Cell) completeTask(g *group, index int) {
	t := &g.tasks[index]
	if t.state == taskDone {
		return
	}
	if t.state == taskPending {
		g.pending--
	}
	t.state = taskDone
	g.doneCount++
	if g.finished() {
		g.job.stepsDone++
		c.enqueueGroups(g.job)
	}
	c.markDirty(g.job)
	c.finishIfDone(g.job)
}

func (c *Cell) finishIfDone(j *job) {
	if j.state.Final() {
		return
	}
	for _, g := range j.groups {
		if !g.finished() {
			return
		}
	}
	c.finish(j, jobs.Completed, "")
}

// finish gives a job its final state and stops what still runs for it.
func (c *Cell) finish(j *job, s jobs.State, reason string) {
	j.state, j.finished = s, c.unixMs
	c.log("job finished", j.id, Fields{Outcome: string(s), Reason: reason, Age: c.now.Sub(j.arrived)})
	c.observe("job_seconds", j.queue, c.now.Sub(j.arrived))
	c.count("jobs_finished_total", string(s))
	for _, g := range j.groups {
		for i := range g.tasks {
			if p := g.tasks[i].placement; p != nil && (s != jobs.Completed || !g.step.Gang) {
				c.stop(p, "job "+string(s))
			}
		}
	}
	c.markDirty(j)
}

// cancelJob stops everything of a job.
func (c *Cell) cancelJob(j *job) {
	if !j.state.Final() {
		c.finish(j, jobs.Cancelled, "cancelled by its caller")
	}
}

func (c *Cell) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// failTask counts a failed run of a task, and fails the job when its attempts
// are used up.
func (c *Cell) failTask(g *group, index, run int, w *worker) {
	failures := 0
	if g.step.Gang {
		if run <= g.failedRun {
			return
		}
		g.failures++
		g.failedRun = run
		failures = g.failures
	} else {
		t := &g.tasks[index]
		if run <= t.failedRun {
			return
		}
		t.failures++
		t.failedRun = run
		failures = t.failures
	}
	g.tasks[index].avoid = w.info.Name
	c.markDirty(g.job)
	if most := c.queueOf(g.job).MaxAttempts; !g.step.LongRunning && failures >= most && !g.job.state.Final() {
		c.finish(g.job, jobs.Failed, "attempts used up")
	}
}
