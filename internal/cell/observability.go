package cell

import (
	"fmt"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/rank"
)

const (
	// waitLogAfter is how long a group waits before a log line tells why, and waitLogInterval
	// the minimum time between two such lines about it.
	waitLogAfter    = 2 * time.Second
	waitLogInterval = 2 * time.Second
)

// size returns the expected CPU time of one occurrence of a job, in core-seconds by its
// estimates.
func (j *job) size() float64 {
	sum := 0.0
	for i := range j.steps {
		s := &j.steps[i]
		sum += float64(s.Tasks) * float64(s.Resources.MilliCPU) * float64(s.EstimateMs) / 1e6
	}
	return sum
}

// countBySize counts a finished job by queue, rank by size and whether it was in time.
func (c *Cell) countBySize(j *job) {
	if j.sizeTenth == 0 || j.schedule.OccurrenceCount() > 1 || j.state == jobs.Cancelled {
		return
	}
	outcome := "failed"
	if j.state == jobs.Completed {
		chain := c.runTime(j, j.totalChain())
		objective := c.rankInput(j, j.arrived, chain, chain).Objective()
		switch took := c.now.Sub(j.arrived); {
		case took <= objective:
			outcome = "in time"
		case took <= rank.UselessFactor*objective:
			outcome = "late"
		default:
			outcome = "useless"
		}
	}
	c.count("jobs_by_size_total", fmt.Sprintf("%s %d %s", j.queue, j.sizeTenth, outcome))
}

// logWait logs why a gang could not be placed, or any group without a run while less than half of
// the site is in use. The reason tells apart too few permits, room that is kept free for urgent
// work, tasks that last, and workers that are in use.
func (c *Cell) logWait(g *group, d fit.Demand) {
	if c.now.Sub(g.readyAt) < waitLogAfter || g.waitLoggedAt != 0 && c.now.Sub(g.waitLoggedAt) < waitLogInterval {
		return
	}
	q := c.queueOf(g.job)
	message := "gang waits"
	if !g.step.Gang {
		if g.activePlacements > 0 || !c.siteRoom(q.Service).HalfFree() {
			return
		}
		message = "tasks wait"
	}
	g.waitLoggedAt = c.now
	wanted := 1
	if g.step.Gang {
		wanted = g.pending
	}
	withoutHeadroom := fit.Demand{Need: d.Need}
	suited, permitted, attainable, room, roomAndHeadroom, sound := 0, 0, 0, 0, 0, 0
	for _, w := range c.workerList {
		if !c.canRun(g, q, w) {
			continue
		}
		suited += g.count(withoutHeadroom, w.info.Capacity)
		if q.Eligibility.Required() {
			if p := g.permitAt(w); !c.permitValid(&p) {
				continue
			}
		}
		permitted += g.count(withoutHeadroom, w.info.Capacity)
		attainable += g.count(withoutHeadroom, w.attainable())
		roomAndHeadroom += c.countAt(g, withoutHeadroom, w, w.free())
		room += c.countAt(g, d, w, w.free())
		if !w.quarantined {
			sound += c.countAt(g, d, w, w.free())
		}
	}
	reason := "other work has the workers reserved"
	switch {
	case g.boundTasks > 0:
		reason = "tasks wait for workers that may still carry out their starts"
	case suited < wanted:
		reason = "too few workers suit the step"
	case permitted < wanted:
		reason = "too few permits"
	case attainable < wanted:
		reason = "tasks that last leave too little room"
	case roomAndHeadroom < wanted:
		reason = "permitted workers are in use"
	case room < wanted:
		reason = "room is kept for urgent work"
	case sound < wanted:
		reason = "workers are in quarantine"
	}
	c.log(message, g.job.id, Fields{Reason: reason, Count: g.pending, Age: c.now.Sub(g.readyAt)})
}

// withStepTasks adds how many tasks of a group's step a worker holds, if the step has a
// limit.
func (f Fields) withStepTasks(g *group, w *worker) Fields {
	if g.step.MaxPerWorker > 0 {
		f.StepTasks, f.StepLimit = w.stepTasks(g), g.step.MaxPerWorker
	}
	return f
}

// checkStepLimit reports a run that has begun at a worker that holds more tasks of its step
// than may be there.
func (c *Cell) checkStepLimit(p *placement) {
	j := c.jobs[p.ref.Job]
	if j == nil {
		return
	}
	g := j.group(p.ref.Occurrence, p.ref.Step)
	if g == nil || g.step.MaxPerWorker == 0 || p.worker.stepTasks(g) <= g.step.MaxPerWorker {
		return
	}
	c.count("step_limits_exceeded_total", "")
	over := Fields{Task: p.ref, HasTask: true, Run: p.run, Worker: p.worker.info.Name, Outcome: p.phase.String()}
	c.log("worker runs more tasks of a step than allowed", p.ref.Job, over.withStepTasks(g, p.worker))
}
