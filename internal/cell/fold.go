package cell

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// jobAdded takes a submission from the store. A repeated one is the same job.
func (c *Cell) jobAdded(s jobs.Job, part int) {
	if j := c.jobs[s.ID]; j != nil {
		// A copy in any stream is enough, and each is removed in the end.
		j.unstored = false
		j.parts = addPart(j.parts, part)
		return
	}
	j := &job{
		id: s.ID, queue: s.Queue, payload: s.Payload, schedule: s.Schedule, steps: s.Steps,
		submitted: s.SubmittedMs, arrived: c.now, state: jobs.Queued, stored: jobs.Queued,
		progress: c.early[s.ID], parts: []int{part},
	}
	if at, ok := c.cancels[s.ID]; ok {
		j.cancelled, j.cancelParts = true, at
	}
	delete(c.early, s.ID)
	delete(c.cancels, s.ID)
	c.jobs[s.ID] = j
	if j.progress != nil {
		j.applyState(j.progress)
	}
	if !c.settled {
		return
	}
	c.log("job accepted", j.id, Fields{Reason: j.queue, Count: len(j.steps)})
	c.activate(j)
}

func (c *Cell) jobCancelled(id jobs.ID, part int) {
	j := c.jobs[id]
	if j == nil {
		c.cancels[id] = addPart(c.cancels[id], part)
		return
	}
	j.cancelParts = addPart(j.cancelParts, part)
	if j.cancelled {
		return
	}
	j.cancelled = true
	if c.settled {
		c.cancelJob(j)
	}
}

func addPart(parts []int, part int) []int {
	if slices.Contains(parts, part) {
		return parts
	}
	return append(parts, part)
}

func (c *Cell) jobDropped(id jobs.ID) {
	// Of a finished job that was removed while it was being loaded, only the
	// remains of its submission may be known.
	if j := c.jobs[id]; j != nil && (j.state.Final() || len(j.steps) == 0) {
		delete(c.jobs, id)
	}
	delete(c.cancels, id)
	delete(c.early, id)
}

// progressRead takes an entry that an owner wrote. An owner itself knows more
// than its entries say.
func (c *Cell) progressRead(id jobs.ID, p *jobs.Progress) {
	c.ownerSeen = c.now
	if c.role == roleOwner {
		return
	}
	j := c.jobs[id]
	if j == nil {
		c.early[id] = p
		return
	}
	j.progress = p
	j.applyState(p)
}

// applyState takes over what callers see. The details are applied when the
// instance becomes the owner.
func (j *job) applyState(p *jobs.Progress) {
	j.state, j.stored, j.finished = p.State, p.State, p.FinishedMs
	j.started = j.started || p.State != jobs.Queued
	if p.State.Final() && len(p.Groups) == 0 {
		j.release()
	}
}

// release drops what only an unfinished job needs.
func (j *job) release() {
	j.payload, j.steps, j.groups, j.progress = "", nil, nil, nil
}

// releaseIfOver releases a finished job that has no runs left. While it has,
// their room is taken. It returns true if it released something.
func (j *job) releaseIfOver() bool {
	for _, g := range j.groups {
		if g.placed > 0 {
			return false
		}
	}
	held := len(j.steps) > 0
	j.release()
	return held
}

func (c *Cell) claimRead(claim jobs.Claim) {
	c.maxEpoch = max(c.maxEpoch, claim.Epoch)
	if claim.Epoch < c.claim.Epoch {
		return
	}
	changed := claim.Owner != c.claim.Owner || claim.Epoch != c.claim.Epoch || claim.Released != c.claim.Released
	c.claim, c.ownerSeen = claim, c.now
	if changed {
		c.ownerGone = false
		c.log("owner changed", "", Fields{Epoch: claim.Epoch, Reason: claim.Owner, Outcome: releasedText(claim.Released)})
	}
}

func releasedText(released bool) string {
	if released {
		return "released"
	}
	return "claimed"
}

func (c *Cell) streamRead(e ProgressCaughtUp) {
	if e.SentAt.Sub(c.streamAt) > readFresh {
		// The owner could not be seen, and may have been without the store as well.
		c.readableAt = c.now
	}
	c.streamEnd, c.streamAt = e.End, e.SentAt
	if e.Records > 0 {
		c.ownerSeen = c.now
	}
}

func (c *Cell) workerListed(info jobs.WorkerInfo) {
	w := c.workerOf(info.Name)
	if info.Boot != 0 && w.info.Boot != 0 && info.Boot < w.info.Boot {
		return // an entry of an earlier life
	}
	was := w.info.Draining
	appeared := !w.listed
	w.info, w.listed = info, true
	if appeared || was != info.Draining {
		c.log("worker listed", "", Fields{Worker: info.Name, Outcome: drainingText(info.Draining)})
	}
}

func drainingText(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

func (c *Cell) workerUnlisted(name model.WorkerName) {
	w := c.workers[name]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.goneAt = false, c.now
	c.log("worker unlisted", "", Fields{Worker: name, Count: len(w.runs)})
}
