package cell

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/succession"
)

// considerClaim tries to take the cell over if its owner gave it up or shows no
// sign of life. A mistaken suspicion does no harm: the claim is conditional on
// the end of the progress stream, which a live owner moves with each heartbeat.
func (c *Cell) considerClaim() {
	if c.draining || c.config == nil || c.streamAt == 0 {
		return
	}
	silent := c.now.Sub(max(c.ownerSeen, c.readableAt))
	if silent < c.patience() || c.now.Sub(c.streamAt) > readFresh {
		// While the store can't be read, the owner's silence means nothing.
		c.suspectedAt = 0
		return
	}
	if c.suspectedAt == 0 {
		c.suspectedAt = c.now
	}
	wait := succession.ClaimDelay(c.vm(), c.workersListed(), c.cfg.ClaimJitter)
	if c.now < c.tryAt || c.now.Sub(c.suspectedAt) < wait {
		return
	}
	c.role = roleClaiming
	c.maxEpoch++
	c.log("claim sent", "", Fields{Epoch: c.maxEpoch, Age: silent, Reason: c.claim.Owner})
	c.emit(TryClaim{At: c.streamEnd, Claim: jobs.Claim{
		Epoch: c.maxEpoch, Owner: c.cfg.Self, Address: c.cfg.Address, DataCentre: c.cfg.DataCentre,
	}})
}

// patience returns how long the owner may be silent.
func (c *Cell) patience() time.Duration {
	switch {
	case c.claim.Released && c.claim.Address == c.cfg.Address:
		return wayPause // for another instance, which reads of it later
	case c.claim.Epoch == 0 || c.claim.Released || c.ownerGone:
		return 0
	case c.linkUp:
		return silenceWithLink
	}
	return silenceWithoutLink
}

// claimed makes the instance the owner if its claim is in the store. It has
// folded every entry before the claim, since the claim was conditional on that.
func (c *Cell) claimed(e ClaimAnswered) {
	if c.role != roleClaiming || e.Epoch != c.maxEpoch {
		return
	}
	if !e.Won {
		c.role = roleFollower
		c.tryAt = c.now.Add(claimRetry)
		c.log("claim lost", "", Fields{Epoch: e.Epoch})
		return
	}
	c.role, c.epoch = roleOwner, e.Epoch
	c.evidence, c.ownerSince, c.lastSent = e.SentAt, c.now, c.now
	c.claim = jobs.Claim{Epoch: e.Epoch, Owner: c.cfg.Self, Address: c.cfg.Address, DataCentre: c.cfg.DataCentre}
	c.commit = 0
	c.emit(OwnershipChanged{Owner: true, Epoch: c.epoch})
}

// submissionsRead lets a new owner act once it knows every job that an earlier
// one may have started. An end that a worker lists for a job that is not known
// would be lost.
func (c *Cell) submissionsRead(e SubmissionsCaughtUp) {
	if !c.knowsCancellations() {
		c.changed = true // work may be placed again
	}
	c.submissionsAt = max(c.submissionsAt, e.SentAt)
	if c.role != roleOwner || c.settled || e.SentAt < c.ownerSince {
		return
	}
	c.settled = true
	for _, j := range c.sortedJobs() {
		c.activate(j)
	}
	// What an earlier owner granted ends at the latest this long after the
	// claim reached the store.
	for _, w := range c.list {
		w.leaseEnd = c.now.Add(c.longestLease())
	}
	c.observe("takeover_silence_seconds", "", c.now.Sub(c.ownerSeen))
	c.log("cell owned", "", Fields{Epoch: c.epoch, Count: len(c.jobs), Age: c.now.Sub(c.ownerSeen)})
}

// knowsCancellations reports whether all submissions were read lately. Work of a
// job that was cancelled meanwhile must not be started.
func (c *Cell) knowsCancellations() bool { return c.now.Sub(c.submissionsAt) <= submissionsFresh }

// sortedJobs returns all jobs in the order of their submission.
func (c *Cell) sortedJobs() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	sortJobs(out)
	return out
}

// reload gives up everything that this instance believes. Its memory holds
// decisions that the store does not have.
func (c *Cell) reload(reason string) {
	if c.role != roleOwner {
		return
	}
	c.abandonOffers()
	c.role, c.settled = roleFollower, false
	c.log("cell lost", "", Fields{Epoch: c.epoch, Reason: reason, Age: c.now.Sub(c.evidence)})
	c.emit(OwnershipChanged{Epoch: c.epoch})
	c.emit(Reload{Reason: reason})
}

// appended takes the answer to an append. What it stored may now be acted on.
func (c *Cell) appended(e Appended) {
	in := c.inFlight
	if in == nil || in.number != e.Seq {
		return
	}
	if e.Fenced {
		c.reload("a newer claim is in the store")
		return
	}
	c.inFlight = nil
	if e.Refused {
		c.takeBack(in)
		return
	}
	c.storeRefuses = false
	c.usualAppend += (c.now.Sub(in.sentAt) - c.usualAppend) / appendWeight
	c.evidence = max(c.evidence, e.SentAt)
	c.observe("append_seconds", "", c.now.Sub(in.sentAt))
	c.settleOffers(in)
	for _, s := range in.states {
		s.job.stored = s.state
		if s.state.Final() {
			c.emit(FinalStateStored{ID: s.job.id})
		}
		if s.state.Final() && !s.job.dirty && s.job.releaseIfOver() && slices.Contains(s.job.parts, ProgressStream) {
			c.finished = append(c.finished, s.job)
		}
	}
	for w, e := range in.ends {
		// A worker that has started again counts its ends anew.
		if e.boot == w.boot {
			w.durableEnd = max(w.durableEnd, e.seq)
		}
	}
	if in.release {
		c.role, c.settled = roleFollower, false
		c.claim.Released = true
		c.log("cell released", "", Fields{Epoch: c.epoch})
		c.emit(OwnershipChanged{Epoch: c.epoch})
		c.emit(Reload{Reason: "released"})
		return
	}
	c.stored = append(c.stored, in.planned...)
}

// takeBack makes what a refused append would have stored part of the next one.
// Offers are refused instead, which is certain now.
func (c *Cell) takeBack(in *commit) {
	if !c.storeRefuses {
		c.log("store refuses appends", "", Fields{Epoch: c.epoch, Age: c.now.Sub(c.evidence)})
	}
	c.storeRefuses = true
	c.commit--
	c.refuseOffers(in.stored, in.offers)
	for _, s := range in.states {
		if c.jobs[s.job.id] == s.job {
			c.markDirty(s.job)
		}
	}
	c.planned = append(in.planned, c.planned...)
	c.forgotten = append(in.forgotten, c.forgotten...)
	c.finished = append(in.finished, c.finished...)
	c.endsDirty = true
	if in.release {
		c.released = false
	}
}

// noteFirstStarts lets the next append say that a job has started, unless an end
// said so meanwhile.
func (c *Cell) noteFirstStarts() {
	for len(c.firstStarts) > 0 && c.now.Sub(c.firstStarts[0].at) >= firstStartDelay {
		if j := c.firstStarts[0].job; j.stored == jobs.Queued {
			c.markDirty(j)
		}
		c.firstStarts = c.firstStarts[1:]
	}
}

// flush appends everything that changed, or a heartbeat.
func (c *Cell) flush() {
	c.noteFirstStarts()
	if c.inFlight != nil {
		c.refuseLateOffers()
		return
	}
	if c.released || c.storeRefuses && c.now.Sub(c.lastSent) < refusedRetry {
		return
	}
	if c.now.Sub(c.lastSent) < c.pace.BatchDelay() {
		return
	}
	beat := c.now.Sub(c.lastSent) >= heartbeatInterval
	if len(c.dirty) == 0 && len(c.offered) == 0 && len(c.planned) == 0 && !c.endsDirty && !beat && !c.wantsRelease() {
		return
	}
	c.commit++
	in := &commit{number: c.commit, sentAt: c.now, ends: map[*worker]endMark{}}
	a := Append{Seq: c.commit, Epoch: c.epoch, Entries: c.takeOffers(in)}
	for _, j := range c.dirty {
		j.dirty = false
		if c.jobs[j.id] != j {
			continue // refused; the same id may have been handed in again
		}
		p := j.snapshot()
		in.states = append(in.states, jobState{job: j, state: j.state})
		a.Entries = append(a.Entries, Entry{Key: jobs.ProgressKey(j.id), Value: jobs.Encode(p)})
	}
	for _, key := range c.forgotten {
		a.Entries = append(a.Entries, Entry{Key: key})
	}
	in.forgotten, c.forgotten = c.forgotten, nil
	for _, j := range c.finished {
		if c.jobs[j.id] == j {
			a.Entries = append(a.Entries, Entry{Key: jobs.JobKey(j.id), Value: jobs.Encode(j.remains())})
		}
	}
	in.finished, c.finished = c.finished, nil
	for _, w := range c.list {
		if w.seenEnd > w.durableEnd {
			in.ends[w] = endMark{boot: w.boot, seq: w.seenEnd}
		}
	}
	in.planned = c.planned
	c.dirty, c.planned, c.endsDirty = nil, nil, false
	if c.wantsRelease() {
		in.release, c.released = true, true
		released := c.claim
		released.Released = true
		a.Entries = append(a.Entries, Entry{Key: jobs.KeyOwner, Value: jobs.Encode(released)})
	} else if len(a.Entries) == 0 {
		a.Entries = append(a.Entries, Entry{Key: jobs.KeyOwner, Value: jobs.Encode(c.claim)})
	}
	c.inFlight, c.lastSent = in, c.now
	c.emit(a)
}

// wantsRelease reports whether the owner gives the cell up.
func (c *Cell) wantsRelease() bool { return c.draining || c.makesWay }

// considerWay gives the cell up if another instance has the processor and the
// link that its owner needs and this one has not.
func (c *Cell) considerWay() {
	if c.makesWay || c.draining {
		return
	}
	own, workers := c.vm(), c.workersListed()
	for _, a := range c.advisorList {
		other := succession.VM{Cores: a.cores, Bandwidth: a.bandwidth}
		if a.up && succession.ShouldHandOver(own, other, workers, c.now.Sub(c.ownerSince), c.now.Sub(a.upSince)) {
			c.makesWay = true
			c.log("owner makes way", "", Fields{Epoch: c.epoch, Reason: a.name, Age: c.now.Sub(a.upSince)})
			return
		}
	}
}

// vm returns what this instance has of what an owner needs.
func (c *Cell) vm() succession.VM {
	return succession.VM{Cores: c.cfg.Cores, Bandwidth: c.cfg.Bandwidth}
}

// workersListed returns the number of workers that the directory has.
func (c *Cell) workersListed() (n int) {
	for _, w := range c.list {
		if w.listed {
			n++
		}
	}
	return n
}

// snapshot returns the entry that describes a job.
func (j *job) snapshot() *jobs.Progress {
	p := &jobs.Progress{State: j.state, FinishedMs: j.finished}
	for _, g := range j.groups {
		if j.state.Final() && g.placed == 0 {
			continue
		}
		if gp := g.snapshot(); gp != nil {
			p.Groups = append(p.Groups, *gp)
		}
	}
	return p
}

// remains returns what is kept of a submission once nothing is left to be done
// for it, so that those who load the cell read little of finished jobs.
func (j *job) remains() jobs.Job {
	return jobs.Job{ID: j.id, Queue: j.queue, SubmittedMs: j.submitted}
}

func (g *group) snapshot() *jobs.GroupProgress {
	gp := &jobs.GroupProgress{Occurrence: g.occurrence, Step: g.index, Run: g.run, Failures: g.failures, FailedRun: g.failedRun}
	touched := g.run > 0 || g.doneCount > 0
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state == taskDone {
			gp.Done.Set(i)
			if t.placement == nil {
				continue
			}
		}
		if t.run == 0 && t.checkpoint == "" {
			continue
		}
		touched = true
		tp := jobs.TaskProgress{Index: i, Run: t.run, Failures: t.failures, FailedRun: t.failedRun, Checkpoint: t.checkpoint}
		if t.placement != nil {
			tp.Worker = t.placement.worker.info.Name
		}
		gp.Tasks = append(gp.Tasks, tp)
	}
	if !touched {
		return nil
	}
	return gp
}

// forgetOld removes finished jobs after their retention.
func (c *Cell) forgetOld() {
	if c.now.Sub(c.forgetAt) < forgetInterval {
		return
	}
	c.forgetAt = c.now
	for _, j := range c.sortedJobs() {
		if j.stored.Final() && !j.dirty && j.finished != 0 && c.unixMs-j.finished > c.cfg.Retention.Milliseconds() {
			c.forget(j)
		}
	}
}

// forget removes everything of a job. What the progress stream has goes with
// the next append.
func (c *Cell) forget(j *job) {
	c.forgotten = append(c.forgotten, jobs.ProgressKey(j.id))
	c.forgetKey(j.parts, jobs.JobKey(j.id))
	c.forgetKey(j.cancelParts, jobs.CancelKey(j.id))
	delete(c.jobs, j.id)
}

func (c *Cell) forgetKey(parts []int, key string) {
	for _, part := range parts {
		if part == ProgressStream {
			c.forgotten = append(c.forgotten, key)
		} else {
			c.emit(DeleteEntry{Partition: part, Key: key})
		}
	}
}
