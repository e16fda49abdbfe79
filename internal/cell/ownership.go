package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/succession"
)

// claimIfOwnerSilent claims the cell if its owner released it or has appended nothing
// for too long. A mistaken suspicion does no harm: the claim is conditional on the end
// of the progress stream, which a live owner advances with each heartbeat.
func (c *Cell) claimIfOwnerSilent() {
	if c.draining || c.config == nil || c.progressReadAt == 0 {
		return
	}
	silent := c.now.Sub(max(c.ownerSeenAt, c.readableSince))
	if silent < c.ownerTimeout() || c.now.Sub(c.progressReadAt) > maxProgressAge {
		// While the store can't be read, the owner's silence is no evidence of a failure.
		c.suspectedAt = 0
		return
	}
	if c.suspectedAt == 0 {
		c.suspectedAt = c.now
	}
	wait := succession.ClaimDelay(c.ownVM(), c.registeredWorkers(), c.cfg.ClaimJitter)
	if c.now < c.nextClaimAt || c.now.Sub(c.suspectedAt) < wait {
		return
	}
	c.role = roleClaiming
	c.maxEpoch++
	c.claimEpoch = c.maxEpoch
	c.log("claim of the cell sent", "", Fields{Epoch: c.maxEpoch, Age: silent, Reason: c.latestClaim.Owner})
	c.emit(TryClaim{At: c.progressEnd, Claim: jobs.Claim{
		Epoch: c.maxEpoch, Owner: c.cfg.Self, Address: c.cfg.Address, DataCentre: c.cfg.DataCentre, UnreachableEpoch: c.inheritedUnreachable().Epoch,
	}})
}

// ownerTimeout returns how long the owner may append nothing before it is suspected.
func (c *Cell) ownerTimeout() time.Duration {
	switch {
	case c.latestClaim.Released && c.latestClaim.Address == c.cfg.Address:
		return yieldPause // lets another instance claim first, which reads the release later
	case c.latestClaim.Epoch == 0 || c.latestClaim.Released || c.ownerExited:
		return 0
	case c.ownerLinkUp:
		return ownerTimeoutLinkUp
	}
	return ownerTimeoutLinkDown
}

// claimAnswered makes the instance the owner if its claim is in the store and no later one was
// read. The instance has replayed every entry before the claim, since the claim was conditional
// on the stream's end. Only this answer ends roleClaiming.
func (c *Cell) claimAnswered(e ClaimAnswered) {
	if c.role != roleClaiming || e.Epoch != c.claimEpoch {
		return
	}
	if superseded := c.latestClaim.Epoch > e.Epoch; !e.Won || superseded {
		c.role = roleFollower
		c.nextClaimAt = c.now.Add(claimRetryPause)
		failed := Fields{Epoch: e.Epoch}
		if superseded {
			failed.Reason = "a newer claim is in the store"
		}
		c.log("claim of the cell failed", "", failed)
		return
	}
	inherited := c.inheritedUnreachable().Epoch
	c.role, c.epoch = roleOwner, e.Epoch
	c.confirmedOwnerAt, c.ownerSince, c.lastAppendAt = e.SentAt, c.now, c.now
	c.latestClaim = jobs.Claim{Epoch: e.Epoch, Owner: c.cfg.Self, Address: c.cfg.Address, DataCentre: c.cfg.DataCentre, UnreachableEpoch: inherited}
	c.appendSeq = 0
	c.emit(OwnershipChanged{Owner: true, Epoch: c.epoch})
}

// submissionsCaughtUp lets a new owner act once it knows every job that an earlier owner
// may have started. An ended run that a worker lists for an unknown job would be lost.
func (c *Cell) submissionsCaughtUp(e SubmissionsCaughtUp) {
	if !c.submissionsCurrent() {
		c.scheduleNeeded = true // tasks may be placed again
	}
	c.submissionsReadAt = max(c.submissionsReadAt, e.SentAt)
	if c.role != roleOwner || c.ownerReady || e.SentAt < c.ownerSince {
		return
	}
	c.ownerReady = true
	for _, j := range c.sortedJobs() {
		c.activate(j)
	}
	c.storeQueuesInUse()
	c.applyUnreachable()
	c.observe("takeover_silence_seconds", "", c.now.Sub(c.ownerSeenAt))
	c.log("cell ownership acquired", "", Fields{Epoch: c.epoch, Count: len(c.jobs), Age: c.now.Sub(c.ownerSeenAt)})
}

// submissionsCurrent reports whether all submissions were read recently enough to know
// of cancellations. Tasks of a job that was cancelled in the meantime must not be
// started.
func (c *Cell) submissionsCurrent() bool { return c.now.Sub(c.submissionsReadAt) <= maxSubmissionsAge }

// sortedJobs returns all jobs in the order of their submission.
func (c *Cell) sortedJobs() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	sortJobs(out)
	return out
}

// stepDown ends the ownership and asks for a reload, since the Cell holds decisions that
// the store may not have.
func (c *Cell) stepDown(reason string) {
	if c.role != roleOwner {
		return
	}
	c.abandonRequests()
	c.role, c.ownerReady = roleFollower, false
	c.log("cell ownership lost", "", Fields{Epoch: c.epoch, Reason: reason, Age: c.now.Sub(c.confirmedOwnerAt)})
	c.emit(OwnershipChanged{Epoch: c.epoch})
	c.emit(Reload{Reason: reason})
}

// wantsRelease reports whether the owner is to release the cell.
func (c *Cell) wantsRelease() bool { return c.draining || c.yielding }

// yieldIfBetterInstance releases the cell if another instance has the CPU and the link
// bandwidth that an owner needs, and this one does not.
func (c *Cell) yieldIfBetterInstance() {
	if c.yielding || c.draining {
		return
	}
	own, workers := c.ownVM(), c.registeredWorkers()
	for _, a := range c.instanceList {
		other := succession.VM{Cores: a.cores, Bandwidth: a.bandwidth}
		if a.up && succession.ShouldHandOver(own, other, workers, c.now.Sub(c.ownerSince), c.now.Sub(a.upSince)) {
			c.yielding = true
			c.log("releasing cell to a larger instance", "", Fields{Epoch: c.epoch, Reason: a.name, Age: c.now.Sub(a.upSince)})
			return
		}
	}
}

// ownVM returns the CPU and bandwidth of this instance.
func (c *Cell) ownVM() succession.VM {
	return succession.VM{Cores: c.cfg.Cores, Bandwidth: c.cfg.Bandwidth}
}

// registeredWorkers returns the number of workers in the directory.
func (c *Cell) registeredWorkers() (n int) {
	for _, w := range c.workerList {
		if w.registered {
			n++
		}
	}
	return n
}

// tombstone returns what is kept of the submission of a job that is finished and has no
// runs left, so that instances that load the cell read little of finished jobs.
func (j *job) tombstone() jobs.Job {
	return jobs.Job{ID: j.id, Queue: j.queue, SubmittedMs: j.submittedMs}
}
