package cell

import (
	"slices"
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
	c.log("claim of the cell sent", "", Fields{Epoch: c.maxEpoch, Age: silent, Reason: c.latestClaim.Owner})
	c.emit(TryClaim{At: c.progressEnd, Claim: jobs.Claim{
		Epoch: c.maxEpoch, Owner: c.cfg.Self, Address: c.cfg.Address, DataCentre: c.cfg.DataCentre,
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

// claimAnswered makes the instance the owner if its claim is in the store. The instance
// has replayed every entry before the claim, since the claim was conditional on the
// stream's end.
func (c *Cell) claimAnswered(e ClaimAnswered) {
	if c.role != roleClaiming || e.Epoch != c.maxEpoch {
		return
	}
	if !e.Won {
		c.role = roleFollower
		c.nextClaimAt = c.now.Add(claimRetryPause)
		c.log("claim of the cell failed", "", Fields{Epoch: e.Epoch})
		return
	}
	c.role, c.epoch = roleOwner, e.Epoch
	c.confirmedOwnerAt, c.ownerSince, c.lastAppendAt = e.SentAt, c.now, c.now
	c.latestClaim = jobs.Claim{Epoch: e.Epoch, Owner: c.cfg.Self, Address: c.cfg.Address, DataCentre: c.cfg.DataCentre}
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
	// Leases granted by an earlier owner expire at the latest this long after the claim
	// reached the store.
	for _, w := range c.workerList {
		w.leaseEnd = c.now.Add(c.longestLease())
	}
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

// appended handles the answer to an append. The placements that it stored may now be
// started.
func (c *Cell) appended(e Appended) {
	in := c.inFlight
	if in == nil || in.seq != e.Seq {
		return
	}
	if e.Fenced {
		c.stepDown("a newer claim is in the store")
		return
	}
	c.inFlight = nil
	if e.Refused {
		c.restoreRefused(in)
		return
	}
	c.appendRefused = false
	c.appendLatency += (c.now.Sub(in.sentAt) - c.appendLatency) / appendSmoothing
	c.confirmedOwnerAt = max(c.confirmedOwnerAt, e.SentAt)
	c.observe("append_seconds", "", c.now.Sub(in.sentAt))
	c.confirmRequests(in)
	for _, s := range in.states {
		s.job.storedState = s.state
		if s.state.Final() {
			c.emit(FinalStateStored{ID: s.job.id})
		}
		if s.state.Final() && !s.job.dirty && s.job.dropDetailsIfOver() && slices.Contains(s.job.partitions, ProgressStream) {
			c.jobsToTrim = append(c.jobsToTrim, s.job)
		}
	}
	for w, e := range in.ends {
		// A restarted worker numbers its ended runs from 1 again.
		if e.boot == w.boot {
			w.storedEndSeq = max(w.storedEndSeq, e.seq)
		}
	}
	if in.release {
		c.role, c.ownerReady = roleFollower, false
		c.latestClaim.Released = true
		c.log("cell ownership released", "", Fields{Epoch: c.epoch})
		c.emit(OwnershipChanged{Epoch: c.epoch})
		c.emit(Reload{Reason: "released"})
		return
	}
	c.storedPlacements = append(c.storedPlacements, in.placements...)
}

// restoreRefused moves the changes of a refused append into the next one. Requests are
// refused instead, since they are certainly not stored.
func (c *Cell) restoreRefused(in *pendingAppend) {
	if !c.appendRefused {
		c.log("store refused an append", "", Fields{Epoch: c.epoch, Age: c.now.Sub(c.confirmedOwnerAt)})
	}
	c.appendRefused = true
	c.appendSeq--
	c.refuseRequests(in.newJobs, in.cancelRequests)
	for _, s := range in.states {
		if c.jobs[s.job.id] == s.job {
			c.markDirty(s.job)
		}
	}
	c.plannedPlacements = append(in.placements, c.plannedPlacements...)
	c.removedKeys = append(in.removedKeys, c.removedKeys...)
	c.jobsToTrim = append(in.jobsToTrim, c.jobsToTrim...)
	c.endsUnstored = true
	if in.release {
		c.releaseSent = false
	}
}

// markStartedJobs includes the jobs in the next append whose first start was put off long
// enough, unless an append has stored it in the meantime.
func (c *Cell) markStartedJobs() {
	for len(c.firstStarts) > 0 && c.now.Sub(c.firstStarts[0].at) >= firstStartDelay {
		if j := c.firstStarts[0].job; j.storedState == jobs.Queued {
			c.markDirty(j)
		}
		c.firstStarts = c.firstStarts[1:]
	}
}

// flush appends all pending changes, or a heartbeat.
func (c *Cell) flush() {
	c.markStartedJobs()
	if c.inFlight != nil {
		c.refuseDelayedRequests()
		return
	}
	if c.releaseSent || c.appendRefused && c.now.Sub(c.lastAppendAt) < appendRetryPause {
		return
	}
	if c.now.Sub(c.lastAppendAt) < c.pacer.BatchDelay() {
		return
	}
	heartbeatDue := c.now.Sub(c.lastAppendAt) >= heartbeatInterval
	if len(c.dirtyJobs) == 0 && len(c.requestEntries) == 0 && len(c.plannedPlacements) == 0 && !c.endsUnstored && !heartbeatDue && !c.wantsRelease() {
		return
	}
	c.appendSeq++
	in := &pendingAppend{seq: c.appendSeq, sentAt: c.now, ends: map[*worker]endMark{}}
	a := Append{Seq: c.appendSeq, Epoch: c.epoch, Entries: c.moveRequestsTo(in)}
	for _, j := range c.dirtyJobs {
		j.dirty = false
		if c.jobs[j.id] != j {
			continue // its submission was refused; the job may have been submitted again
		}
		p := j.snapshot()
		in.states = append(in.states, jobState{job: j, state: j.state})
		a.Entries = append(a.Entries, Entry{Key: jobs.ProgressKey(j.id), Value: jobs.Encode(p)})
	}
	for _, key := range c.removedKeys {
		a.Entries = append(a.Entries, Entry{Key: key})
	}
	in.removedKeys, c.removedKeys = c.removedKeys, nil
	for _, j := range c.jobsToTrim {
		if c.jobs[j.id] == j {
			a.Entries = append(a.Entries, Entry{Key: jobs.JobKey(j.id), Value: jobs.Encode(j.tombstone())})
		}
	}
	in.jobsToTrim, c.jobsToTrim = c.jobsToTrim, nil
	for _, w := range c.workerList {
		if w.seenEndSeq > w.storedEndSeq {
			in.ends[w] = endMark{boot: w.boot, seq: w.seenEndSeq}
		}
	}
	in.placements = c.plannedPlacements
	c.dirtyJobs, c.plannedPlacements, c.endsUnstored = nil, nil, false
	if c.wantsRelease() {
		in.release, c.releaseSent = true, true
		released := c.latestClaim
		released.Released = true
		a.Entries = append(a.Entries, Entry{Key: jobs.KeyOwner, Value: jobs.Encode(released)})
	} else if len(a.Entries) == 0 {
		a.Entries = append(a.Entries, Entry{Key: jobs.KeyOwner, Value: jobs.Encode(c.latestClaim)})
	}
	c.inFlight, c.lastAppendAt = in, c.now
	c.emit(a)
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

// snapshot returns the stored form of a job's progress.
func (j *job) snapshot() *jobs.Progress {
	p := &jobs.Progress{State: j.state, FinishedMs: j.finishedMs}
	for _, g := range j.groups {
		if j.state.Final() && g.activePlacements == 0 {
			continue
		}
		if gp := g.snapshot(); gp != nil {
			p.Groups = append(p.Groups, *gp)
		}
	}
	return p
}

// tombstone returns what is kept of the submission of a job that is finished and has no
// runs left, so that instances that load the cell read little of finished jobs.
func (j *job) tombstone() jobs.Job {
	return jobs.Job{ID: j.id, Queue: j.queue, SubmittedMs: j.submittedMs}
}

func (g *group) snapshot() *jobs.GroupProgress {
	gp := &jobs.GroupProgress{Occurrence: g.occurrence, Step: g.stepIndex, Run: g.run, Failures: g.failures, FailedRun: g.lastFailedRun}
	touched := g.run > 0 || g.doneCount > 0
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state == taskDone {
			gp.Done.Set(i)
			if t.placement == nil {
				continue
			}
		}
		checkpoint := g.checkpointOf(i)
		if t.run == 0 && checkpoint == "" {
			continue // also has no crash record
		}
		touched = true
		tp := jobs.TaskProgress{Index: i, Run: t.run, Failures: t.failures, FailedRun: t.lastFailedRun, Checkpoint: checkpoint}
		if t.placement != nil {
			tp.Worker = t.placement.worker.info.Name
		}
		tp.Crash = t.crash
		gp.Tasks = append(gp.Tasks, tp)
	}
	if !touched {
		return nil
	}
	return gp
}

// removeExpired removes finished jobs after their retention.
func (c *Cell) removeExpired() {
	if c.now.Sub(c.lastExpiryAt) < expiryInterval {
		return
	}
	c.lastExpiryAt = c.now
	for _, j := range c.sortedJobs() {
		if j.storedState.Final() && !j.dirty && j.finishedMs != 0 && c.unixMs-j.finishedMs > c.cfg.Retention.Milliseconds() {
			c.removeJob(j)
		}
	}
}

// removeJob removes a job and its entries. Those in the progress stream are removed by
// the next append.
func (c *Cell) removeJob(j *job) {
	c.removedKeys = append(c.removedKeys, jobs.ProgressKey(j.id))
	c.removeKey(j.partitions, jobs.JobKey(j.id))
	c.removeKey(j.cancelPartitions, jobs.CancelKey(j.id))
	delete(c.jobs, j.id)
}

func (c *Cell) removeKey(partitions []int, key string) {
	for _, p := range partitions {
		if p == ProgressStream {
			c.removedKeys = append(c.removedKeys, key)
		} else {
			c.emit(DeleteEntry{Partition: p, Key: key})
		}
	}
}
