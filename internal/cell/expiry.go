package cell

import (
	"maps"
	"slices"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// removeExpired removes finished jobs after their retention, the progress of jobs whose
// submission was removed already, and cancellations whose submission was never stored.
func (c *Cell) removeExpired() {
	if c.now.Sub(c.lastExpiryAt) < expiryInterval {
		return
	}
	c.lastExpiryAt = c.now
	for _, j := range c.sortedJobs() {
		if j.storedState.Final() && j.dirtyCount == 0 && c.expired(j.finishedMs) {
			c.removeJob(j)
		}
	}
	for id, stored := range c.earlyProgress {
		if p := stored[0]; p != nil && p.State.Final() && c.expired(p.FinishedMs) {
			for part := range stored {
				c.removedKeys = append(c.removedKeys, jobs.ProgressPartKey(id, part))
			}
			delete(c.earlyProgress, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.earlyCancels)) {
		c.removeExpiredCancel(id, c.earlyCancels[id])
	}
}

// removeExpiredCancel removes a cancellation that has no job after the retention of jobs. By then
// its submission is certainly not stored any more.
func (c *Cell) removeExpiredCancel(id jobs.ID, e *earlyCancel) {
	if e.AtMs == 0 {
		e.AtMs = c.unixMs // of an earlier build
	}
	if !c.expired(e.AtMs) {
		return
	}
	for _, p := range slices.Clone(e.partitions) {
		if p == ProgressStream {
			c.removedKeys = append(c.removedKeys, jobs.CancelKey(id))
			c.cancellationRemoved(id, p)
		} else {
			c.emit(DeleteEntry{Job: id, Partition: p, Key: jobs.CancelKey(id)})
		}
	}
}

// expired reports whether the state of a job that finished at the given time, in Unix
// milliseconds, need not be kept any longer.
func (c *Cell) expired(finishedMs int64) bool {
	return finishedMs != 0 && c.unixMs-finishedMs > c.cfg.Retention.Milliseconds()
}

// removeJob removes a job and its entries. Its progress is removed last, with what the
// progress stream holds besides, by the next append: as long as a submission may be in the
// store, the progress tells that the job is done.
func (c *Cell) removeJob(j *job) {
	if j.removals > 0 {
		return
	}
	for _, entries := range []struct {
		partitions []int
		key        string
	}{{j.partitions, jobs.JobKey(j.id)}, {j.cancelPartitions, jobs.CancelKey(j.id)}} {
		for _, p := range entries.partitions {
			if p != ProgressStream {
				j.removals++
				c.emit(DeleteEntry{Job: j.id, Partition: p, Key: entries.key})
			}
		}
	}
	if j.removals > 0 {
		return
	}
	for part := range max(1, j.parts) {
		c.removedKeys = append(c.removedKeys, jobs.ProgressPartKey(j.id, part))
	}
	if slices.Contains(j.partitions, ProgressStream) {
		c.removedKeys = append(c.removedKeys, jobs.JobKey(j.id))
	}
	if slices.Contains(j.cancelPartitions, ProgressStream) {
		c.removedKeys = append(c.removedKeys, jobs.CancelKey(j.id))
	}
	delete(c.jobs, j.id)
}

// entryDeleted handles the answer to a DeleteEntry. An entry that may still be there is
// removed again later.
func (c *Cell) entryDeleted(e EntryDeleted) {
	j := c.jobs[e.Job]
	if e.Deleted && e.Key == jobs.CancelKey(e.Job) {
		c.cancellationRemoved(e.Job, e.Partition)
	}
	if j == nil || j.removals == 0 {
		return
	}
	j.removals--
	if e.Deleted {
		other := func(p int) bool { return p == e.Partition }
		if e.Key == jobs.JobKey(j.id) {
			j.partitions = slices.DeleteFunc(j.partitions, other)
		} else {
			j.cancelPartitions = slices.DeleteFunc(j.cancelPartitions, other)
		}
	}
	if j.removals == 0 && !slices.ContainsFunc(append(slices.Clone(j.partitions), j.cancelPartitions...), func(p int) bool { return p != ProgressStream }) {
		c.removeJob(j)
	}
}

// jobExpired handles the removal of a submission, which an owner has caused.
func (c *Cell) jobExpired(id jobs.ID, partition int) {
	if c.role == roleOwner {
		return // its progress is in the store until all entries are removed
	}
	// Only finished jobs are removed, also if this instance has not read the end of the job,
	// or only the tombstone of its submission.
	if j := c.jobs[id]; j != nil {
		j.partitions = slices.DeleteFunc(j.partitions, func(p int) bool { return p == partition })
		if len(j.partitions) > 0 {
			return
		}
		delete(c.jobs, id)
		if !j.progressRemoved && j.storedState.Final() {
			// If the owner fails now, the next one removes the progress.
			c.earlyProgress[id] = storedProgress{0: {State: j.storedState, FinishedMs: j.finishedMs}}
		}
	}
}
