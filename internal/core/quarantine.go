package core

import (
	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/model"
)

// applyHealth applies the health tracker's verdicts on workers and jobs.
func (c *Core) applyHealth(ch health.Change) {
	for _, name := range ch.Quarantined {
		c.applyVerdict(name, "quarantined")
	}
	for _, name := range ch.Released {
		c.applyVerdict(name, "released")
	}
	for _, id := range ch.JobsAtFault {
		c.count("jobs_at_fault", "", 1)
		c.change("job", string(id), "", "fails on healthy workers")
	}
}

func (c *Core) applyVerdict(name model.WorkerName, to string) {
	c.count("worker_verdicts", to, 1)
	c.change("worker", string(name), "", to)
	if w := c.owner.workers[name]; w != nil {
		c.updatePlacementFlags(w)
	}
}

// startDueProbes cancels the probes for which no task was found and selects the
// quarantined workers that are due for a probe. The next idempotent tasks are placed
// there.
func (c *Core) startDueProbes() {
	for _, name := range c.owner.dueProbes {
		c.health.CancelProbe(c.now, name)
	}
	c.owner.dueProbes = c.health.StartDueProbes(c.now)
}

// recordTaskHealth records how a task ended in the health tracker and applies the
// resulting verdicts.
func (c *Core) recordTaskHealth(t *task, ok bool) {
	ch := c.health.RecordTaskEnd(c.now, t.worker, t.job.failureJobID(), ok)
	c.applyHealth(ch)
}

// failureJobID returns the id of the job that the failures of j are attributed to. All
// requests of an operation share one id: each is a job of its own, and a faulty operation
// would otherwise look like a worker that fails many different jobs.
func (j *job) failureJobID() model.JobID {
	if j.keyed || j.service.Class == model.ClassInteractive {
		return model.JobID(j.submission.Service + "/" + j.submission.Operation)
	}
	return j.id
}

// jobAtFault reports whether a batch or gang job fails on healthy workers.
func (c *Core) jobAtFault(j *job) bool { return j.failureJobID() == j.id && c.health.JobAtFault(j.id) }
