package core

import (
	"github.com/gentianpick/gentianpick/internal/record"
)

// pendingSnapshot holds the parts of a snapshot that are not queued for the log yet.
type pendingSnapshot struct {
	parts []record.Snapshot
}

const (
	// maxSnapshotPartEntries limits the entries of one snapshot part.
	maxSnapshotPartEntries = 200
	// maxSnapshotBacklog is the number of queued records above which snapshot parts
	// wait, so that intents and acceptances go first.
	maxSnapshotBacklog = 50
)

// tickSnapshot writes snapshots of the data centre's stream, each before half of the
// log's retention has passed since the last. It queues one part in a tick.
func (c *Core) tickSnapshot() {
	o := c.owner
	if c.nextSnapshot == 0 {
		c.scheduleSnapshot()
	}
	if o.snapshot == nil && c.now >= c.nextSnapshot && c.logStream.readOK {
		o.snapshot = &pendingSnapshot{parts: c.buildSnapshot()}
		c.scheduleSnapshot()
		c.count("snapshots", "", 1)
	}
	if o.snapshot == nil || len(c.commit.entries) > maxSnapshotBacklog {
		return
	}
	p := o.snapshot.parts[0]
	c.queueRecord(record.Entry{Snapshot: &p}, true)
	o.snapshot.parts = o.snapshot.parts[1:]
	if len(o.snapshot.parts) == 0 {
		o.snapshot = nil
	}
}

func (c *Core) scheduleSnapshot() {
	c.nextSnapshot = c.now.Add(c.jitter(c.cfg.Timing.LogRetention/2, 0.6, 0.9))
}

// buildSnapshot returns the parts of a snapshot of all state that a later owner needs.
func (c *Core) buildSnapshot() []record.Snapshot {
	var entries []record.Entry
	for _, name := range sortedKeys(c.workerBoots) {
		entries = append(entries, record.Entry{Boot: &record.Boot{Worker: name, Boot: c.workerBoots[name]}})
	}
	if c.wall.Before(c.keysLostUntil) {
		entries = append(entries, record.Entry{KeysLost: &record.KeysLost{Until: c.keysLostUntil}})
	}
	for _, id := range sortedKeys(c.jobs) {
		entries = append(entries, c.jobs[id].records(c.owner.epoch)...)
	}
	for _, e := range c.keys.Sorted() {
		entries = append(entries, e.Records(c.owner.epoch)...)
	}
	asOf := max(c.logStream.next, 1) - 1
	var parts []record.Snapshot
	for len(parts) == 0 || len(entries) > 0 {
		n := min(batchLen(entries), maxSnapshotPartEntries)
		parts = append(parts, record.Snapshot{Epoch: c.owner.epoch, AsOf: asOf, Part: len(parts), Entries: entries[:n:n]})
		entries = entries[n:]
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	if cl, ok := c.lease.Claim(); ok {
		parts[0].Claim = &cl
	}
	return parts
}

// records returns the records from which a durable job can be rebuilt.
func (j *job) records(epoch uint64) []record.Entry {
	if !j.durable {
		return nil
	}
	if j.answer != nil {
		return []record.Entry{
			{Accept: &record.Accept{Epoch: epoch, Job: j.id, Submission: j.submission, RequestHash: j.requestHash, DeadlineAt: j.wallDeadline}},
			{Finish: &record.Finish{Epoch: epoch, Job: j.id, Answer: *j.answer}},
		}
	}
	out := []record.Entry{{Accept: &record.Accept{
		Epoch: epoch, Job: j.id, Submission: j.submission, RequestHash: j.requestHash, DeadlineAt: j.wallDeadline,
	}}}
	p := &record.Progress{Epoch: epoch, Job: j.id}
	for i, m := range j.taskStates {
		switch m {
		case taskDone:
			p.Done = append(p.Done, record.TaskResult{Index: i, Result: j.results[i]})
		case taskFailed:
			p.Failed = append(p.Failed, record.TaskResult{Index: i, Result: j.results[i]})
		}
	}
	if len(p.Done)+len(p.Failed) > 0 {
		// The progress comes before the acceptance, so that a reader never sees
		// finished tasks as waiting.
		out = append([]record.Entry{{Progress: p}}, out...)
	}
	if j.cancelled {
		out = append(out, record.Entry{Cancel: &record.Cancel{Epoch: epoch, Job: j.id}})
	}
	return out
}

// foldSnapshot folds one part of a snapshot. The folded state is complete once all parts
// were read of a snapshot whose writer had folded every record up to the start of the
// part of the stream that this instance can read.
func (c *Core) foldSnapshot(s *record.Snapshot) {
	if s.Claim != nil && c.lease.FoldClaim(c.now, *s.Claim) {
		c.syncOwnership()
	}
	for _, e := range s.Entries {
		if e.Snapshot == nil && e.Claim == nil && e.Release == nil {
			c.foldEntry(e, true)
		}
	}
	st := &c.logStream
	if st.snapshotParts == nil || s.Part == 0 {
		st.snapshotParts = make(map[uint64]int)
	}
	if s.Part == st.snapshotParts[s.AsOf] {
		st.snapshotParts[s.AsOf]++
	}
	if st.snapshotParts[s.AsOf] == s.Parts && s.AsOf+1 >= st.gaplessFrom {
		st.complete = true
		if c.owner == nil {
			c.scheduleSnapshot()
		}
	}
}
