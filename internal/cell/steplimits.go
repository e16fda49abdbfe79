package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
)

// lastResortProbeAfter is how long a probe waits for batch work before an urgent task becomes
// it, and how long a group waits for other workers before its tasks become probes in any
// case: the workers in quarantine may be the only ones that it can use. Urgent tasks have few
// attempts, and a gang fails whole.
const lastResortProbeAfter = 5 * time.Second

// suspectProbeDelay is how long a probe waits for a task of another job than those that have
// failed on its worker: only that tells whether the worker or the jobs are at fault.
const suspectProbeDelay = time.Second

// mayProbe reports whether a task of a group may be the probe of a worker in quarantine. The
// members of a gang, which end together, count as one probe.
func (c *Cell) mayProbe(g *group, q *jobs.Queue, w *worker) bool {
	switch {
	case !w.probeAllowed:
		return c.mayProbeEarly(g, q, w)
	case c.failuresOn(w, g) > 0 && c.now.Sub(w.probeDueAt) < suspectProbeDelay:
		return false
	case c.now.Sub(g.readyAt) >= lastResortProbeAfter:
		return true
	case g.step.Gang:
		return false
	}
	return q.Priority > 0 || c.now.Sub(w.probeDueAt) >= lastResortProbeAfter
}

// maxEarlyFailures is the number of failures of a job on a worker from which its tasks are no early
// probes there. A single one may be the task's own.
const maxEarlyFailures = 2

// suspectProbePause separates early probes of a worker by jobs that have failed there. Tasks of
// others get their turn in between.
const suspectProbePause = 2 * time.Second

// mayProbeEarly reports whether a task of a group may be a probe before the next one is due: one
// that has waited long enough, of a job whose failures did not cause the quarantine, and which
// has attempts to spare. Jobs that fail on every worker could otherwise keep all that it may use
// in quarantine. A task that lasts, which has no limit of attempts, is one of any job in the end.
func (c *Cell) mayProbeEarly(g *group, q *jobs.Queue, w *worker) bool {
	if g.step.Gang || w.probed() || !c.holdsOver(g, q) {
		return false
	}
	if c.failuresOn(w, g) >= maxEarlyFailures {
		return g.lasts() && c.now.Sub(g.waitsSince) >= lastResortProbeAfter && c.now.Sub(w.suspectProbedAt) >= suspectProbePause
	}
	return g.lasts() || g.mostFailures+1 < q.MaxAttempts
}

// recordProbe records a placement on a worker in quarantine.
func (c *Cell) recordProbe(w *worker, p *placement) {
	w.probe = p
	if c.failuresOn(w, p.group) >= maxEarlyFailures {
		w.suspectProbedAt = c.now
	}
}

// failuresOn returns how many tasks of a group's job have failed on a worker since another one
// succeeded there.
func (c *Cell) failuresOn(w *worker, g *group) int {
	return c.health.FailuresOn(w.info.Name, model.JobID(g.job.id))
}

// probed reports whether a probe of the worker runs and hasn't shown yet whether it is sound.
func (w *worker) probed() bool { return w.probe != nil && w.probe.phase != phaseOver && !w.probe.sound }

// taskLimit returns how many more tasks of a group a worker may get, independently of its
// free resources; negative: no limit. A worker in quarantine gets one probe.
func (c *Cell) taskLimit(g *group, w *worker) int {
	limit := -1
	if g.step.MaxPerWorker > 0 {
		limit = max(0, g.step.MaxPerWorker-w.stepTasks(g))
	}
	if limit != 0 && !g.step.Gang && w.quarantined {
		return 1
	}
	return limit
}

// count returns how many tasks of a group fit into free resources of one worker, at most as
// many as may be at a worker.
func (g *group) count(d fit.Demand, free model.Resources) int {
	n := fit.Count(d, free)
	if g.step.MaxPerWorker > 0 {
		n = min(n, g.step.MaxPerWorker)
	}
	return n
}

// countAt is count for a worker's free resources, less the tasks of the step that the worker
// holds.
func (c *Cell) countAt(g *group, d fit.Demand, w *worker, free model.Resources) int {
	n := fit.Count(d, free)
	if limit := c.taskLimit(g, w); limit >= 0 {
		n = min(n, limit)
	}
	return n
}

// stepTasks returns how many tasks of a group's step a worker holds, as far as the owner
// knows. Runs that this owner did not place count too.
func (w *worker) stepTasks(g *group) int {
	n := 0
	for ref := range w.runs {
		if g.holds(ref) {
			n++
		}
	}
	return n
}
