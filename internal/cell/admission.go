package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/admission"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
	"github.com/gentianpick/gentianpick/internal/policy/rank"
)

// submitRequested handles a request to store a submission. The job is planned at once;
// no task of it starts before the store has it, since its placements are stored
// with it or after it.
func (c *Cell) submitRequested(e SubmitRequested) {
	if !c.acceptsRequests() {
		c.emit(RequestAnswered{RequestID: e.RequestID})
		return
	}
	j := c.jobs[e.Job.ID]
	switch {
	case j != nil && j.unstored:
		j.submitRequests = append(j.submitRequests, e.RequestID)
		return
	case j != nil:
		c.emit(RequestAnswered{RequestID: e.RequestID, Stored: true})
		return
	}
	if c.lastKnownQueue(e.Job.Queue) == nil {
		// The instance that received it has a newer configuration, and stores the queue itself.
		c.emit(RequestAnswered{RequestID: e.RequestID})
		return
	}
	if over, retry := c.pacer.Overloaded(c.priorityOf(e.Job.Queue), c.backlog(&e.Job)); over {
		c.log("submission refused", e.Job.ID, Fields{Reason: "overloaded", Age: retry, Count: c.heldBytes})
		c.emit(RequestAnswered{RequestID: e.RequestID, Overloaded: true, RetryAfter: retry})
		return
	}
	c.jobAdded(e.Job, ProgressStream)
	j = c.jobs[e.Job.ID]
	j.unstored, j.submitRequests = true, []uint64{e.RequestID}
	c.requests = append(c.requests, request{entry: Entry{Key: jobs.JobKey(j.id), Value: e.Value}, newJob: j})
}

// backlog returns the waiting starts, and which of them are ahead of a new job.
// Urgent work that is late may rank behind other work; it is ahead all the same.
func (c *Cell) backlog(n *jobs.Job) pacing.Backlog {
	var b pacing.Backlog
	if c.heldBytes == 0 {
		return b
	}
	newcomer := &job{queue: n.Queue, steps: n.Steps, schedule: n.Schedule, arrived: c.now}
	chain := c.runTime(newcomer, longestChain(n.Steps))
	in := c.rankInput(newcomer, c.now, chain, chain)
	own := rank.Key(c.now, in)
	b.MaxWait = rank.UselessFactor*in.Objective() - chain
	for i := range n.Steps {
		b.Ahead += n.Steps[i].Tasks * startSize(len(n.Payload))
	}
	b.Total = b.Ahead
	lasting := 0 // of those ahead
	priority := c.priorityOf(n.Queue)
	for _, g := range c.readyGroups {
		bytes := g.pending * startSize(len(g.job.payload))
		b.Total += bytes
		if g.rank <= own || !rank.Useless(g.rank) && c.queueOf(g.job).Priority <= priority {
			b.Ahead += bytes
			if g.lasts() {
				lasting += bytes
			}
		}
	}
	if rank.Urgent(own) {
		// Tasks that last get at most half of the starts; see placeUrgent.
		others := b.Ahead - lasting
		b.Ahead = others + min(lasting, others)
	}
	return b
}

// cancelRequested handles a request to store a cancellation. A job that is unknown, or in no
// stream yet, may be in an append in doubt, of this instance or another one.
func (c *Cell) cancelRequested(e CancelRequested) {
	if !c.acceptsRequests() {
		c.emit(RequestAnswered{RequestID: e.RequestID})
		return
	}
	if j := c.jobs[e.ID]; j != nil && j.storedState.Final() && c.cancels(e.Cancellation, j) {
		c.emit(RequestAnswered{RequestID: e.RequestID, Stored: true})
		return
	}
	if known := c.earlyCancels[e.ID]; known != nil {
		e.Cancellation = mergedCancellation(known.Cancellation, e.Cancellation)
	}
	// Runs are stopped when the store has the cancellation: until then it can be refused.
	c.requests = append(c.requests, request{entry: Entry{Key: jobs.CancelKey(e.ID), Value: jobs.Encode(e.Cancellation)}, cancel: &e})
}

func (c *Cell) acceptsRequests() bool {
	return c.role == roleOwner && c.ownerReady && !c.releaseSent && !c.wantsRelease() && c.storeResponsive()
}

// storeResponsive reports whether the store is likely to store a request before the
// caller's deadline.
func (c *Cell) storeResponsive() bool {
	pending := time.Duration(0)
	if c.inFlight != nil {
		pending = c.now.Sub(c.inFlight.sentAt)
	}
	return admission.Accepts(pending, c.appendLatency, c.now.Sub(c.storeAnsweredAt), c.appendRefused)
}

// refuseDelayedRequests refuses the requests that wait behind an append without an
// answer.
func (c *Cell) refuseDelayedRequests() {
	if len(c.requests) == 0 || c.storeResponsive() {
		return
	}
	c.log("waiting requests refused", "", Fields{Count: len(c.requests), Age: c.now.Sub(c.inFlight.sentAt), Reason: "the store does not answer"})
	c.refuseRequests(c.requests)
	c.requests = nil
}

// refuseRequests refuses requests that are certainly in no stream, and drops their jobs.
func (c *Cell) refuseRequests(refused []request) {
	for _, r := range refused {
		j := r.newJob
		if j == nil {
			c.emit(RequestAnswered{RequestID: r.cancel.RequestID})
			continue
		}
		for _, t := range j.submitRequests {
			// The instance that received it may have stored it directly in the meantime.
			c.emit(RequestAnswered{RequestID: t, Stored: !j.unstored})
		}
		j.submitRequests = nil
		if j.unstored {
			c.dropUnstored(j)
		}
	}
}

// dropUnstored removes a job that no stream has. None of its tasks was started.
func (c *Cell) dropUnstored(j *job) {
	j.state = jobs.Cancelled
	c.dropDelayed(j)
	for _, g := range j.groups {
		for i := range g.tasks {
			if p := g.tasks[i].placement; p != nil {
				c.removePlacement(p)
			}
		}
	}
	if len(j.cancelPartitions) > 0 {
		// The caller may submit it again, or may have submitted it to another instance.
		c.earlyCancels[j.id] = &earlyCancel{Cancellation: jobs.Cancellation{Queues: []string{j.queue}, AtMs: c.unixMs}, partitions: j.cancelPartitions}
	}
	delete(c.jobs, j.id)
}

// confirmRequests answers the requests of an append that is in the store.
func (c *Cell) confirmRequests(in *pendingAppend) {
	for _, r := range in.requests {
		if e := r.cancel; e != nil {
			c.jobCancelled(e.ID, e.Cancellation, ProgressStream)
		}
		c.answerRequest(r, RequestAnswered{Stored: true})
		if j := r.newJob; j != nil {
			j.unstored, j.submitRequests = false, nil
		}
	}
}

// answerRequest answers the callers of a request.
func (c *Cell) answerRequest(r request, a RequestAnswered) {
	if r.newJob == nil {
		a.RequestID = r.cancel.RequestID
		c.emit(a)
		return
	}
	for _, t := range r.newJob.submitRequests {
		a.RequestID = t
		c.emit(a)
	}
}

// abandonRequests answers the waiting requests when the ownership ends. Those of the
// append in flight are in doubt.
func (c *Cell) abandonRequests() {
	if in := c.inFlight; in != nil {
		for _, r := range in.requests {
			c.answerRequest(r, RequestAnswered{InDoubt: true})
		}
	}
	for _, r := range c.requests {
		c.answerRequest(r, RequestAnswered{})
	}
}
