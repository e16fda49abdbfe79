package cell

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// defaultAppendBytes is the size of an append above which further changes wait for the
	// next one. With the largest record on top, it is below the 2 MiB that the store takes in
	// one call.
	defaultAppendBytes = 1 << 20
	// maxRemovedKeys bounds the keys that one append removes.
	maxRemovedKeys = 10_000
)

// pendingAppend is the content of an append in flight.
type pendingAppend struct {
	seq         uint64
	sentAt      model.Time
	requests    []request
	queues      []*jobs.Queue // that are stored
	placements  []*placement
	parts       []storedPart
	ends        map[*worker]endMark
	release     bool
	removedKeys []string
	jobsToTrim  []*job
	unreachable map[*worker]bool // workers in the list that it holds; nil without a list
}

// request is a requested submission or cancellation that waits to be stored.
type request struct {
	entry  Entry
	newJob *job             // of a submission
	cancel *CancelRequested // of a cancellation
}

// storedPart is a part of a job's progress in an append.
type storedPart struct {
	partRef
	state jobs.State // of the job
}

// endMark identifies the newest ended run since one start of a worker that an append
// covers.
type endMark struct {
	boot int64
	seq  int64
}

// endBarrier holds the ended runs that workers had listed when an append could not hold all
// changes. They are stored once the parts that were left out are.
type endBarrier struct {
	ends  map[*worker]endMark
	parts int // of the first dirty ones, which are not stored yet
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
	if len(c.dirtyParts) == 0 && len(c.requests) == 0 && len(c.changedQueues) == 0 && len(c.plannedPlacements) == 0 && !c.endsUnstored && !c.listedAnswers && !heartbeatDue && !c.wantsRelease() {
		return
	}
	c.appendSeq++
	in := &pendingAppend{seq: c.appendSeq, sentAt: c.now}
	b := appendBuilder{in: in, limit: c.cfg.AppendBytes, Append: Append{Seq: c.appendSeq, Epoch: c.epoch}}
	c.addRequests(&b)
	c.addUnreachable(&b)
	c.addQueues(&b)
	c.addParts(&b)
	c.addPlacements(&b)
	c.addRemovals(&b)
	c.addEnds(&b)
	switch {
	case c.wantsRelease() && len(c.dirtyParts) == 0 && len(c.requests) == 0:
		in.release, c.releaseSent = true, true
		released := c.latestClaim
		released.Released = true
		b.add(Entry{Key: jobs.KeyOwner, Value: jobs.Encode(released)})
	case len(b.Entries) == 0:
		b.add(Entry{Key: jobs.KeyOwner, Value: jobs.Encode(c.latestClaim)})
	}
	c.inFlight, c.lastAppendAt = in, c.now
	c.emit(b.Append)
}

// appendBuilder collects the entries of an append.
type appendBuilder struct {
	Append
	in    *pendingAppend
	bytes int
	limit int
}

func (b *appendBuilder) add(e Entry) {
	b.Entries = append(b.Entries, e)
	b.bytes += len(e.Key) + len(e.Value)
}

// full reports whether further changes are to wait for the next append.
func (b *appendBuilder) full() bool { return b.bytes >= b.limit }

// addRequests adds the waiting requests in their order, before all else: the progress of a job
// is stored after its submission.
func (c *Cell) addRequests(b *appendBuilder) {
	n := 0
	for ; n < len(c.requests) && !b.full(); n++ {
		b.add(c.requests[n].entry)
	}
	b.in.requests, c.requests = c.requests[:n:n], c.requests[n:]
}

// addQueues adds the queues of jobs that the store does not have yet.
func (c *Cell) addQueues(b *appendBuilder) {
	for _, q := range c.changedQueues {
		b.add(Entry{Key: jobs.QueueKey(q.Name), Value: jobs.Encode(q)})
	}
	b.in.queues, c.changedQueues = c.changedQueues, nil
}

// addParts adds the changed parts of the jobs' progress, the oldest changes first.
func (c *Cell) addParts(b *appendBuilder) {
	dirty := c.dirtyParts
	c.dirtyParts = nil
	added := 0
	for i, r := range dirty {
		if b.full() {
			c.dirtyParts = append(c.dirtyParts, dirty[i:]...)
			break
		}
		added++
		if r.part != 0 && r.job.state.Final() {
			// Its tasks must not be missing from the progress of an unfinished job.
			c.addPart(b, partRef{r.job, 0})
		}
		c.addPart(b, r)
	}
	if c.endBarrier != nil {
		c.endBarrier.parts -= added
	}
}

// addPart adds a part unless it is stored as it is.
func (c *Cell) addPart(b *appendBuilder, r partRef) {
	j := r.job
	if !j.dirty[r.part] {
		return // was added before the parts that depend on it
	}
	j.dirty[r.part] = false
	j.dirtyCount--
	if c.jobs[j.id] != j {
		return // its submission was refused; the job may have been submitted again
	}
	b.in.parts = append(b.in.parts, storedPart{r, j.state})
	b.add(Entry{Key: jobs.ProgressPartKey(j.id, r.part), Value: j.encodePart(r.part)})
}

// addPlacements adds the placements whose tasks are in the append, or in the store.
func (c *Cell) addPlacements(b *appendBuilder) {
	if len(c.dirtyParts) == 0 {
		b.in.placements, c.plannedPlacements = c.plannedPlacements, nil
		return
	}
	var waiting []*placement
	for _, p := range c.plannedPlacements {
		if j := p.group.job; len(j.dirty) > 0 && j.dirty[p.group.part(p.ref.Index)] {
			waiting = append(waiting, p)
		} else {
			b.in.placements = append(b.in.placements, p)
		}
	}
	c.plannedPlacements = waiting
}

// addRemovals adds the removals of keys, and the tombstones of finished jobs.
func (c *Cell) addRemovals(b *appendBuilder) {
	n := min(len(c.removedKeys), maxRemovedKeys)
	b.in.removedKeys, c.removedKeys = c.removedKeys[:n:n], c.removedKeys[n:]
	for _, key := range b.in.removedKeys {
		b.add(Entry{Key: key})
	}
	for _, j := range c.jobsToTrim {
		if c.jobs[j.id] == j {
			b.add(Entry{Key: jobs.JobKey(j.id), Value: jobs.Encode(j.tombstone())})
		}
	}
	b.in.jobsToTrim, c.jobsToTrim = c.jobsToTrim, nil
}

// addEnds records the ended runs whose effects are all stored with the append.
func (c *Cell) addEnds(b *appendBuilder) {
	switch {
	case len(c.dirtyParts) == 0:
		b.in.ends, c.endBarrier = c.listedEnds(), nil
		c.endsUnstored = false
	case c.endBarrier == nil:
		c.endBarrier = &endBarrier{ends: c.listedEnds(), parts: len(c.dirtyParts)}
	case c.endBarrier.parts <= 0:
		b.in.ends, c.endBarrier = c.endBarrier.ends, nil
	}
}

// listedEnds returns the ended runs that workers have listed and the store may not have.
func (c *Cell) listedEnds() map[*worker]endMark {
	out := map[*worker]endMark{}
	for _, w := range c.workerList {
		if w.seenEndSeq > w.storedEndSeq {
			out[w] = endMark{boot: w.boot, seq: w.seenEndSeq}
		}
	}
	return out
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
	c.unreachableStored(in.unreachable)
	for _, s := range in.parts {
		c.partStored(s)
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
	for _, p := range in.placements {
		p.storedAt = c.now
	}
	c.storedPlacements = append(c.storedPlacements, in.placements...)
}

// partStored updates a job with a part of its progress that the store has.
func (c *Cell) partStored(s storedPart) {
	j := s.job
	if s.part == 0 {
		j.storedState = s.state
		if s.state.Final() {
			c.emit(FinalStateStored{ID: j.id})
		}
	}
	if j.storedState.Final() && j.dirtyCount == 0 && j.dropDetailsIfOver() && slices.Contains(j.partitions, ProgressStream) {
		c.jobsToTrim = append(c.jobsToTrim, j)
	}
}

// restoreRefused moves the changes of a refused append into the next one. Requests are
// refused instead, since they are certainly not stored.
func (c *Cell) restoreRefused(in *pendingAppend) {
	if !c.appendRefused {
		c.log("store refused an append", "", Fields{Epoch: c.epoch, Age: c.now.Sub(c.confirmedOwnerAt)})
	}
	c.appendRefused = true
	c.appendSeq--
	c.refuseRequests(in.requests)
	for _, s := range in.parts {
		if c.jobs[s.job.id] == s.job {
			c.markPart(s.job, s.part)
		}
	}
	c.plannedPlacements = append(in.placements, c.plannedPlacements...)
	c.changedQueues = append(in.queues, c.changedQueues...)
	c.removedKeys = append(in.removedKeys, c.removedKeys...)
	c.jobsToTrim = append(in.jobsToTrim, c.jobsToTrim...)
	c.endsUnstored, c.endBarrier = true, nil
	c.listedAnswers = c.listedAnswers || in.unreachable != nil // to be stored again
	if in.release {
		c.releaseSent = false
	}
}

// markStartedJobs includes the jobs in the next append whose first start was put off long
// enough, unless an append has stored it in the meantime.
func (c *Cell) markStartedJobs() {
	for len(c.firstStarts) > 0 && c.now.Sub(c.firstStarts[0].at) >= firstStartDelay {
		if j := c.firstStarts[0].job; j.storedState == jobs.Queued {
			c.markPart(j, 0)
		}
		c.firstStarts = c.firstStarts[1:]
	}
}
