package cell

import (
	"sort"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// defaultTasksPerPart is the number of tasks of a job whose progress is one record. The
// largest such record, with everything that can be known of each task, is below the store's
// limit, and a change of one task of a large job is a small record. Instances of one cell
// have to agree on it.
const defaultTasksPerPart = 400

// partRef is a part of the progress of a job. Part 0 holds the state of the job besides.
type partRef struct {
	job  *job
	part int
}

// storedProgress is the progress of a job as it is in the store, by part.
type storedProgress map[int]*jobs.Progress

// set records a part. One without groups was removed, apart from part 0.
func (s storedProgress) set(part int, p *jobs.Progress) {
	if part != 0 && len(p.Groups) == 0 {
		delete(s, part)
		return
	}
	s[part] = p
}

// hasGroups reports whether any part holds tasks.
func (s storedProgress) hasGroups() bool {
	for _, p := range s {
		if len(p.Groups) > 0 {
			return true
		}
	}
	return false
}

// taskCount returns the number of tasks of a job over all occurrences.
func (j *job) taskCount() int {
	if len(j.groups) == 0 {
		return 0
	}
	last := j.groups[len(j.groups)-1]
	return last.firstTask + len(last.tasks)
}

// partCount returns the number of parts of a job's progress.
func (j *job) partCount() int { return max(1, (j.taskCount()+j.tasksPerPart-1)/j.tasksPerPart) }

// part returns the part of the progress that holds a task.
func (g *group) part(index int) int { return (g.firstTask + index) / g.job.tasksPerPart }

// markPart includes a part of a job's progress in the next append.
func (c *Cell) markPart(j *job, part int) {
	if len(j.dirty) < j.partCount() {
		j.dirty = append(j.dirty, make([]bool, j.partCount()-len(j.dirty))...)
	}
	j.parts = max(j.parts, part+1)
	if !j.dirty[part] {
		j.dirty[part] = true
		j.dirtyCount++
		c.dirtyParts = append(c.dirtyParts, partRef{j, part})
	}
}

// markTask includes a task in the next append.
func (c *Cell) markTask(g *group, index int) { c.markPart(g.job, g.part(index)) }

// markGroup includes what the members of a gang share in the next append.
func (c *Cell) markGroup(g *group) {
	for part := g.part(0); part <= g.part(len(g.tasks)-1); part++ {
		c.markPart(g.job, part)
	}
}

// markJob includes the whole progress of a job in the next append.
func (c *Cell) markJob(j *job) {
	for part := range j.partCount() {
		c.markPart(j, part)
	}
}

// encodePart returns the stored form of a part of a job's progress, which is empty for a part
// that holds nothing.
func (j *job) encodePart(part int) []byte {
	p := j.snapshot(part)
	if part != 0 && len(p.Groups) == 0 {
		return nil
	}
	v := jobs.Encode(p)
	if len(v) <= jobs.MaxEntryBytes {
		return v
	}
	// Without its checkpoints a task loses work and nothing else.
	for i := range p.Groups {
		for t := range p.Groups[i].Tasks {
			p.Groups[i].Tasks[t].Checkpoint = ""
		}
	}
	return jobs.Encode(p)
}

// snapshot returns a part of a job's progress.
func (j *job) snapshot(part int) *jobs.Progress {
	p := &jobs.Progress{State: j.state, FinishedMs: j.finishedMs}
	from, to := part*j.tasksPerPart, (part+1)*j.tasksPerPart
	first := sort.Search(len(j.groups), func(i int) bool { return j.groups[i].firstTask+len(j.groups[i].tasks) > from })
	for _, g := range j.groups[first:] {
		if g.firstTask >= to {
			break
		}
		if j.state.Final() && g.activePlacements == 0 {
			continue
		}
		if gp := g.snapshot(max(0, from-g.firstTask), min(len(g.tasks), to-g.firstTask)); gp != nil {
			p.Groups = append(p.Groups, *gp)
		}
	}
	return p
}

// snapshot returns the progress of some tasks of a group, or nil if there is none.
func (g *group) snapshot(from, to int) *jobs.GroupProgress {
	var gp *jobs.GroupProgress
	touch := func() {
		if gp == nil {
			gp = &jobs.GroupProgress{Occurrence: g.occurrence, Step: g.stepIndex, Run: g.run, Failures: g.failures, FailedRun: g.lastFailedRun}
		}
	}
	if g.run > 0 {
		touch()
	}
	for i := from; i < to; i++ {
		t := &g.tasks[i]
		if t.state == taskDone {
			touch()
			gp.Done.Set(i)
			if t.placement == nil {
				continue
			}
		}
		checkpoint := g.checkpointOf(i)
		if t.run == 0 && checkpoint == "" {
			continue // also has no crash record
		}
		touch()
		tp := jobs.TaskProgress{Index: i, Run: t.run, Failures: t.failures, FailedRun: t.lastFailedRun, Checkpoint: checkpoint}
		if t.placement != nil {
			tp.Worker = t.placement.worker.info.Name
		}
		if l := t.lateStart; l != nil && (t.bound || t.placement != nil && t.placement.worker == l.worker) {
			tp.Worker, tp.LateRun, tp.Waits = l.worker.info.Name, l.run, t.bound
		}
		tp.Crash = t.crash
		gp.Tasks = append(gp.Tasks, tp)
	}
	return gp
}

// applyProgress applies what earlier owners stored. Earlier builds stored the progress of all
// tasks in part 0; it is divided before that part is written again.
func (c *Cell) applyProgress(j *job) {
	stored := j.stored
	j.stored = nil
	divide := false
	for part := range j.partCount() {
		p := stored[part]
		if p == nil {
			continue
		}
		for i := range p.Groups {
			g := c.applyGroup(j, &p.Groups[i])
			divide = divide || part == 0 && g != nil && g.part(len(g.tasks)-1) > 0 && j.beyondPart(&p.Groups[i], 0)
		}
	}
	if divide {
		for part := j.partCount() - 1; part >= 0; part-- {
			c.markPart(j, part)
		}
	}
}

// beyondPart reports whether the progress of a group holds tasks of a later part.
func (j *job) beyondPart(p *jobs.GroupProgress, part int) bool {
	g := j.group(p.Occurrence, p.Step)
	end := (part+1)*j.tasksPerPart - g.firstTask
	for i := max(0, end); i < len(g.tasks); i++ {
		if p.Done.Has(i) {
			return true
		}
	}
	return len(p.Tasks) > 0 && p.Tasks[len(p.Tasks)-1].Index >= end
}
