package core

import (
	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/model"
)

// applyHealth applies verdicts on workers.
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
	if w := c.own.workers[name]; w != nil {
		c.updatePlacementFlags(w)
	}
}

// startDueProbes notes the quarantined workers that are due for a probe; the
// next idempotent task is placed there.
func (c *Core) startDueProbes() {
	for _, name := range c.own.dueProbes {
		c.health.CancelProbe(c.now, name)
	}
	c.own.dueProbes = c.health.StartDueProbes(c.now)
}

// recordTaskHealth tells the health state how a task ended, and applies its verdict
// on the worker.
func (c *Core) recordTaskHealth(t *task, ok bool) {
	ch := c.health.RecordTaskEnd(c.now, t.worker, t.job.failureJobID(), ok)
	c.applyHealth(ch)
}

// failureJobID is the job that failures are attributed to. Requests are many small
// jobs; one id for all of an operation keeps a faulty operation from looking
// like many jobs that a worker fails.
func (j *job) failureJobID() model.JobID {
	if j.keyed || j.service.Class == model.ClassInteractive {
		return model.JobID(j.submission.Service + "/" + j.submission.Operation)
	}
	return j.id
}

// jobAtFault reports whether a batch or gang job fails on healthy workers.
func (c *Core) jobAtFault(j *job) bool { return j.failureJobID() == j.id && c.health.JobAtFault(j.id) }
