package core

import (
	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/model"
)

// applyHealth applies verdicts on workers.
func (c *Core) applyHealth(ch health.Change) {
	for _, name := range ch.Quarantined {
		c.quarantine(name, "quarantined")
	}
	for _, name := range ch.Released {
		c.quarantine(name, "released")
	}
	for _, id := range ch.JobsAtFault {
		c.count("jobs_at_fault", "", 1)
		c.change("job", string(id), "", "fails on healthy workers")
	}
}

func (c *Core) quarantine(name model.WorkerName, to string) {
	c.count("worker_verdicts", to, 1)
	c.change("worker", string(name), "", to)
	if w := c.owner.workers[name]; w != nil {
		c.setFlags(w)
	}
}

// probeWorkers notes the quarantined workers that are due for a probe; the
// next idempotent task is placed there.
func (c *Core) probeWorkers() {
	for _, name := range c.owner.probes {
		c.health.CancelProbe(c.now, name)
	}
	c.owner.probes = c.health.StartDueProbes(c.now)
}

// noteHealth tells the health state how a task ended, and applies its verdict
// on the worker.
func (c *Core) noteHealth(t *task, ok bool) {
	ch := c.health.RecordTaskEnd(c.now, t.worker, t.j.attributedTo(), ok)
	c.applyHealth(ch)
}

// attributedTo is the job that failures are attributed to. Requests are many small
// jobs; one id for all of an operation keeps a faulty operation from looking
// like many jobs that a worker fails.
func (j *job) attributedTo() model.JobID {
	if j.keyed || j.svc.Class == model.ClassInteractive {
		return model.JobID(j.sub.Service + "/" + j.sub.Operation)
	}
	return j.id
}

// atFault reports whether a batch or gang job fails on healthy workers.
func (c *Core) atFault(j *job) bool { return j.attributedTo() == j.id && c.health.JobAtFault(j.id) }
