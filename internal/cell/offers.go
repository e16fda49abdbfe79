package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/admission"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
	"github.com/gentianpick/gentianpick/internal/policy/rank"
)

// jobOffered takes a submission from an instance. The job is planned at once;
// no task of it starts before the store has it, since its placements are stored
// with it or after it.
func (c *Cell) jobOffered(e SubmitRequested) {
	if !c.takesOffers() {
		c.emit(RequestAnswered{RequestID: e.RequestID})
		return
	}
	j := c.jobs[e.Job.ID]
	switch {
	case j != nil && j.unstored:
		j.offers = append(j.offers, e.RequestID)
		return
	case j != nil:
		c.emit(RequestAnswered{RequestID: e.RequestID, Stored: true})
		return
	}
	if over, retry := c.pace.Overloaded(c.priorityOf(e.Job.Queue), c.backlog(&e.Job)); over {
		c.log("submission refused", e.Job.ID, Fields{Reason: "overloaded", Age: retry, Count: c.held})
		c.emit(RequestAnswered{RequestID: e.RequestID, Overloaded: true, RetryAfter: retry})
		return
	}
	c.jobAdded(e.Job, ProgressStream)
	j = c.jobs[e.Job.ID]
	j.unstored, j.offers = true, []uint64{e.RequestID}
	c.newJobs = append(c.newJobs, j)
	c.offered = append(c.offered, Entry{Key: jobs.JobKey(j.id), Value: e.Value})
}

// backlog returns the starts that wait for their turn, as a new job meets them.
// Urgent work that is late may rank behind other work; it is ahead all the same.
func (c *Cell) backlog(n *jobs.Job) pacing.Backlog {
	var b pacing.Backlog
	if c.held == 0 {
		return b
	}
	newcomer := &job{queue: n.Queue, steps: n.Steps, schedule: n.Schedule, arrived: c.now}
	chain := c.runTime(newcomer, newcomer.longestChain(0, false))
	in := c.rankInput(newcomer, c.now, chain, chain)
	own := rank.Key(c.now, in)
	b.MaxWait = rank.UselessFactor*in.Objective() - chain
	for i := range n.Steps {
		b.Ahead += n.Steps[i].Tasks * startCost(len(n.Payload))
	}
	b.Total = b.Ahead
	priority := c.priorityOf(n.Queue)
	for _, g := range c.ready {
		bytes := g.pending * startCost(len(g.job.payload))
		b.Total += bytes
		if g.rank <= own || !rank.Useless(g.rank) && c.priorityOf(g.job.queue) <= priority {
			b.Ahead += bytes
		}
	}
	return b
}

func (c *Cell) cancelOffered(e CancelRequested) {
	j := c.jobs[e.ID]
	if !c.takesOffers() || j == nil || j.unstored {
		c.emit(RequestAnswered{RequestID: e.RequestID})
		return
	}
	if j.stored.Final() {
		c.emit(RequestAnswered{RequestID: e.RequestID, Stored: true})
		return
	}
	if !j.cancelled {
		// The runs are stopped when the store has the cancellation: until then it
		// can still be refused.
		c.cancelled = append(c.cancelled, j)
	}
	c.offers = append(c.offers, e.RequestID)
	c.offered = append(c.offered, Entry{Key: jobs.CancelKey(e.ID), Value: []byte("{}")})
}

func (c *Cell) takesOffers() bool {
	return c.role == roleOwner && c.settled && !c.released && !c.wantsRelease() && c.storeAccepts()
}

// storeAccepts reports whether an offer can be stored before its caller gives up.
func (c *Cell) storeAccepts() bool {
	pending := time.Duration(0)
	if c.inFlight != nil {
		pending = c.now.Sub(c.inFlight.sentAt)
	}
	return admission.Accepts(pending, c.usualAppend, c.now.Sub(c.storeAnswered), c.storeRefuses)
}

// refuseLateOffers refuses the offers that wait behind an append without an
// answer.
func (c *Cell) refuseLateOffers() {
	if len(c.offered) == 0 || c.storeAccepts() {
		return
	}
	c.log("offers refused", "", Fields{Count: len(c.offered), Age: c.now.Sub(c.inFlight.sentAt), Reason: "the store does not answer"})
	c.refuseOffers(c.newJobs, c.offers)
	c.offers, c.newJobs, c.offered, c.cancelled = nil, nil, nil, nil
}

// refuseOffers answers offers that are certainly in no stream, and drops their
// jobs.
func (c *Cell) refuseOffers(added []*job, offers []uint64) {
	for _, j := range added {
		for _, t := range j.offers {
			// Its instance may have stored it directly meanwhile.
			c.emit(RequestAnswered{RequestID: t, Stored: !j.unstored})
		}
		j.offers = nil
		if j.unstored {
			c.dropUnstored(j)
		}
	}
	for _, t := range offers {
		c.emit(RequestAnswered{RequestID: t})
	}
}

// dropUnstored forgets a job that no stream has. Nothing of it was started.
func (c *Cell) dropUnstored(j *job) {
	j.state = jobs.Cancelled
	for _, g := range j.groups {
		for i := range g.tasks {
			if p := g.tasks[i].placement; p != nil {
				c.removePlacement(p)
			}
		}
	}
	if len(j.cancelParts) > 0 {
		// Its caller may submit it again, or may have elsewhere.
		c.cancels[j.id] = j.cancelParts
	}
	delete(c.jobs, j.id)
}

// takeOffers moves the offers into an append.
func (c *Cell) takeOffers(in *commit) []Entry {
	in.offers, in.stored, in.cancels = c.offers, c.newJobs, c.cancelled
	out := c.offered
	c.offers, c.newJobs, c.offered, c.cancelled = nil, nil, nil, nil
	return out
}

// settleOffers answers the offers of an append that the store has.
func (c *Cell) settleOffers(in *commit) {
	for _, j := range in.stored {
		for _, t := range j.offers {
			c.emit(RequestAnswered{RequestID: t, Stored: true})
		}
		j.unstored, j.offers = false, nil
	}
	for _, j := range in.cancels {
		c.jobCancelled(j.id, ProgressStream)
	}
	for _, t := range in.offers {
		c.emit(RequestAnswered{RequestID: t, Stored: true})
	}
}

// abandonOffers answers the offers that an owner can't store any more. Those
// of the append in flight may be stored.
func (c *Cell) abandonOffers() {
	if in := c.inFlight; in != nil {
		for _, j := range in.stored {
			for _, t := range j.offers {
				c.emit(RequestAnswered{RequestID: t, InDoubt: true})
			}
		}
		for _, t := range in.offers {
			c.emit(RequestAnswered{RequestID: t, InDoubt: true})
		}
	}
	for _, j := range c.newJobs {
		for _, t := range j.offers {
			c.emit(RequestAnswered{RequestID: t})
		}
	}
	for _, t := range c.offers {
		c.emit(RequestAnswered{RequestID: t})
	}
}
