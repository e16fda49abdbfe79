package cell

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// jobAdded takes a submission from the store. A repeated one is the same job.
func (c *Cell) jobAdded(s jobs.Job, partition int) {
	if j := c.jobs[s.ID]; j != nil {
		// A copy in any stream is enough, and each is removed in the end.
		j.unstored = false
		j.partitions = addPartition(j.partitions, partition)
		return
	}
	j := &job{
		id: s.ID, queue: s.Queue, payload: s.Payload, schedule: s.Schedule, steps: s.Steps,
		submittedMs: s.SubmittedMs, arrived: c.now, state: jobs.Queued, storedState: jobs.Queued,
		stored: c.earlyProgress[s.ID], partitions: []int{partition}, dueIndex: notDelayed, tasksPerPart: c.cfg.TasksPerPart,
	}
	if e := c.earlyCancels[s.ID]; e != nil && c.cancels(e.Cancellation, j) {
		j.cancelled, j.cancelPartitions = true, e.partitions
		delete(c.earlyCancels, s.ID)
	}
	delete(c.earlyProgress, s.ID)
	c.jobs[s.ID] = j
	j.applyState()
	if !c.ownerReady {
		return
	}
	c.log("job accepted", j.id, Fields{Reason: j.queue, Count: len(j.steps)})
	c.storeQueue(j.queue)
	c.activate(j)
}

// jobCancelled takes a cancellation from the store. It is kept if its job is not known: the
// submission may be stored later, although its caller no longer waits.
func (c *Cell) jobCancelled(id jobs.ID, cancellation jobs.Cancellation, partition int) {
	j := c.jobs[id]
	if j == nil || !c.cancels(cancellation, j) {
		e := c.earlyCancels[id]
		if e == nil {
			e = &earlyCancel{Cancellation: cancellation}
			c.earlyCancels[id] = e
		} else {
			e.Cancellation = mergedCancellation(e.Cancellation, cancellation)
		}
		e.partitions = addPartition(e.partitions, partition)
		return
	}
	j.cancelPartitions = addPartition(j.cancelPartitions, partition)
	if j.cancelled {
		return
	}
	j.cancelled = true
	if c.ownerReady {
		c.cancelJob(j)
	}
}

// cancels reports whether a cancellation is of a job, and not of another one with its ID that is
// reached by another route.
func (c *Cell) cancels(e jobs.Cancellation, j *job) bool {
	return len(e.Queues) == 0 || slices.ContainsFunc(e.Queues, func(queue string) bool { return c.SameRoute(j.queue, queue) })
}

// mergedCancellation returns a cancellation by the routes of two, of which one may be by any.
func mergedCancellation(a, b jobs.Cancellation) jobs.Cancellation {
	merged := jobs.Cancellation{AtMs: max(a.AtMs, b.AtMs)}
	if len(a.Queues) > 0 && len(b.Queues) > 0 {
		merged.Queues = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(a.Queues), b.Queues...))))
	}
	return merged
}

// cancellationRemoved handles the removal of a cancellation.
func (c *Cell) cancellationRemoved(id jobs.ID, partition int) {
	e := c.earlyCancels[id]
	if e == nil {
		return
	}
	e.partitions = slices.DeleteFunc(e.partitions, func(p int) bool { return p == partition })
	if len(e.partitions) == 0 {
		delete(c.earlyCancels, id)
	}
}

func addPartition(partitions []int, partition int) []int {
	if slices.Contains(partitions, partition) {
		return partitions
	}
	return append(partitions, partition)
}

// progressRead handles an entry that an owner wrote. The owner itself ignores it, since
// its own state is newer.
func (c *Cell) progressRead(id jobs.ID, part int, p *jobs.Progress) {
	c.ownerSeenAt = c.now
	if c.role == roleOwner {
		return
	}
	if part < 0 || part > jobs.MaxTasks/c.cfg.TasksPerPart {
		c.log("stored progress refers to an unknown part", id, Fields{Count: part})
		return
	}
	j := c.jobs[id]
	if part == 0 && p.State == "" { // was removed
		delete(c.earlyProgress, id)
		if j != nil {
			j.progressRemoved = true
		}
		return
	}
	if j == nil {
		if c.earlyProgress[id] == nil {
			c.earlyProgress[id] = storedProgress{}
		}
		c.earlyProgress[id].set(part, p)
		return
	}
	if j.stored == nil {
		j.stored = storedProgress{}
	}
	j.stored.set(part, p)
	j.applyState()
}

// applyState applies the state that callers see. The details are applied when the
// instance becomes the owner.
func (j *job) applyState() {
	for part := range j.stored {
		j.parts = max(j.parts, part+1)
	}
	p := j.stored[0]
	if p == nil {
		return
	}
	j.state, j.storedState, j.finishedMs = p.State, p.State, p.FinishedMs
	j.started = j.started || p.State != jobs.Queued
	if p.State.Final() && !j.stored.hasGroups() {
		j.dropDetails()
	}
}

// dropDetails drops the data that only an unfinished job needs.
func (j *job) dropDetails() {
	j.payload, j.steps, j.groups, j.graph, j.occurrences, j.stored = "", nil, nil, nil, nil, nil
}

// dropDetailsIfOver drops the details of a finished job unless it has runs left, which
// still hold resources. It returns true if it dropped something.
func (j *job) dropDetailsIfOver() bool {
	for _, g := range j.groups {
		if g.activePlacements > 0 {
			return false
		}
	}
	hadDetails := len(j.steps) > 0
	j.dropDetails()
	return hadDetails
}

func (c *Cell) claimRead(claim jobs.Claim) {
	if c.role == roleOwner {
		if claim.Epoch > c.epoch {
			c.stepDown("a newer claim is in the store")
		}
		return // its own claim
	}
	c.maxEpoch = max(c.maxEpoch, claim.Epoch)
	if claim.Epoch < c.latestClaim.Epoch {
		return
	}
	changed := claim.Owner != c.latestClaim.Owner || claim.Epoch != c.latestClaim.Epoch || claim.Released != c.latestClaim.Released
	c.latestClaim, c.ownerSeenAt = claim, c.now
	if changed {
		c.ownerExited = false
		c.log("cell owner changed", "", Fields{Epoch: claim.Epoch, Reason: claim.Owner, Outcome: releasedText(claim.Released)})
	}
}

func releasedText(released bool) string {
	if released {
		return "released"
	}
	return "claimed"
}

func (c *Cell) progressCaughtUp(e ProgressCaughtUp) {
	if e.SentAt.Sub(c.progressReadAt) > maxProgressAge {
		// The owner's entries could not be read, and the owner may have been cut off from
		// the store as well.
		c.readableSince = c.now
	}
	c.progressEnd, c.progressReadAt = e.End, e.SentAt
	if e.Records > 0 {
		c.ownerSeenAt = c.now
	}
}

// maxBootAhead is how far in the future the start of a worker may lie by this instance's
// time of day, which may be wrong.
const maxBootAhead = 24 * time.Hour

func (c *Cell) workerRegistered(info jobs.WorkerInfo) {
	if c.unixMs != 0 && info.Boot > c.unixMs+maxBootAhead.Milliseconds() {
		// Entries with earlier starts would be taken for older ones from then on.
		c.log("worker directory entry is of the future", "", Fields{Worker: info.Name})
		c.workerUnregistered(info.Name)
		return
	}
	w := c.getOrAddWorker(info.Name)
	if info.Boot != 0 && w.info.Boot != 0 && info.Boot < w.info.Boot && !c.timeSteppedBack(w, info) {
		return // an entry from before the worker's restart
	}
	wasDraining := w.info.Draining
	appeared := !w.registered
	if c.ownerReady && !appeared && info.Capacity != w.info.Capacity {
		c.log("worker capacity changed", "", Fields{Worker: info.Name, Count: int(info.Capacity.MilliCPU), Outcome: resizeText(w, info)})
	}
	w.info, w.registered = info, true
	if appeared || wasDraining != info.Draining {
		c.log("worker directory entry changed", "", Fields{Worker: info.Name, Outcome: drainingText(info.Draining)})
	}
}

// maxEntryDelay is how long after a worker has stopped answering an entry of an earlier process
// may be read.
const maxEntryDelay = 3 * time.Second

// timeSteppedBack reports whether an entry with an earlier start than the one before is of a
// newer process, whose time of day is behind that of the former one: the worker answers with that
// start, or does not answer, so that its address may be another one. A worker gets no task
// before its answer and its entry agree.
func (c *Cell) timeSteppedBack(w *worker, info jobs.WorkerInfo) bool {
	return info.Boot == w.boot || w.unreachableAt != 0 && c.now.Sub(w.unreachableAt) > maxEntryDelay
}

// resizeText says whether a worker of a new size still holds what runs on it.
func resizeText(w *worker, info jobs.WorkerInfo) string {
	if w.used.Fits(info.Capacity) {
		return "fits"
	}
	return "over capacity"
}

func drainingText(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

func (c *Cell) workerUnregistered(name model.WorkerName) {
	w := c.workers[name]
	if w == nil || !w.registered {
		return
	}
	w.registered, w.unregisteredAt = false, c.now
	c.log("worker directory entry removed", "", Fields{Worker: name, Count: len(w.runs)})
}
