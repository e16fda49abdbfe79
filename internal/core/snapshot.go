package core

import (
	"github.com/gentianpick/gentianpick/internal/record"
)

// snapshotWriter is a snapshot on its way into the log, a few parts at a time.
type snapshotWriter struct {
	parts []record.Snapshot
}

const (
	// snapshotEntries bounds the size of one part.
	snapshotEntries = 200
	// snapshotBacklog is how many queued records let a snapshot wait: intents
	// and acceptances go first.
	snapshotBacklog = 50
)

// tickSnapshot writes the state of the data centre's stream again before half
// of the log's retention has passed.
func (c *Core) tickSnapshot() {
	o := c.owner
	if c.nextSnapshot == 0 {
		c.scheduleSnapshot()
	}
	if o.snapshot == nil && c.now >= c.nextSnapshot && c.logStream.readOK {
		o.snapshot = &snapshotWriter{parts: c.buildSnapshot()}
		c.scheduleSnapshot()
		c.count("snapshots", "", 1)
	}
	if o.snapshot == nil || len(c.commit.entries) > snapshotBacklog {
		return
	}
	p := o.snapshot.parts[0]
	c.append(record.Entry{Snapshot: &p}, true)
	o.snapshot.parts = o.snapshot.parts[1:]
	if len(o.snapshot.parts) == 0 {
		o.snapshot = nil
	}
}

func (c *Core) scheduleSnapshot() {
	c.nextSnapshot = c.now.Add(c.jitter(c.cfg.Timing.LogRetention/2, 0.6, 0.9))
}

// buildSnapshot collects everything that a later owner needs.
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
		n := min(batchLen(entries), snapshotEntries)
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

// records returns the records from which a durable job can be folded again.
func (j *job) records(epoch uint64) []record.Entry {
	if !j.durable {
		return nil
	}
	if j.answer != nil {
		return []record.Entry{
			{Accept: &record.Accept{Epoch: epoch, Job: j.id, Submission: j.sub, RequestHash: j.hash, DeadlineAt: j.deadlineAt}},
			{Finish: &record.Finish{Epoch: epoch, Job: j.id, Answer: *j.answer}},
		}
	}
	out := []record.Entry{{Accept: &record.Accept{
		Epoch: epoch, Job: j.id, Submission: j.sub, RequestHash: j.hash, DeadlineAt: j.deadlineAt,
	}}}
	p := &record.Progress{Epoch: epoch, Job: j.id}
	for i, m := range j.marks {
		switch m {
		case taskDone:
			p.Done = append(p.Done, record.TaskResult{Index: i, Result: j.results[i]})
		case taskFailed:
			p.Failed = append(p.Failed, record.TaskResult{Index: i, Result: j.results[i]})
		}
	}
	if len(p.Done)+len(p.Failed) > 0 {
		// Before the acceptance, so that a reader never sees finished tasks as
		// waiting.
		out = append([]record.Entry{{Progress: p}}, out...)
	}
	if j.cancelled {
		out = append(out, record.Entry{Cancel: &record.Cancel{Epoch: epoch, Job: j.id}})
	}
	return out
}

// foldSnapshot folds one part. Once every part of a snapshot was read whose
// writer had folded all that was forgotten, the folded state has no gap.
func (c *Core) foldSnapshot(s *record.Snapshot) {
	if s.Claim != nil && c.lease.FoldClaim(c.now, *s.Claim) {
		c.syncOwner()
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
