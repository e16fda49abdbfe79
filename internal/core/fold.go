package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/keys"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/record"
)

// onLogRead folds the records of one log read.
func (c *Core) onLogRead(ev *LogRead) {
	s := &c.logStream
	if ev.Stream == record.ConfigStream {
		s = &c.configStream
	} else if ev.Stream != c.dataCentreStream() {
		return
	}
	if ev.Failed || ev.Result == nil {
		c.onLogReadFailed(s, ev.Stream)
		return
	}
	if !s.readOK && s.started {
		c.change("log stream", ev.Stream, "failing", "ok")
	}
	s.readOK = true
	c.detectReadGap(s, ev)
	for _, r := range ev.Result.Records {
		if r.Offset < s.next {
			continue // already folded from an earlier read
		}
		s.next = r.Offset + 1
		c.foldRecord(ev.Stream, r)
	}
	s.next = max(s.next, ev.Result.Next)
	s.caughtUp = s.caughtUp || ev.Result.AtTail()
	if ev.Stream == record.ConfigStream {
		return
	}
	c.lease.OnLogRead(ev.StartedAt, ev.Result.AtTail() && c.claimVisible())
	c.leaseDirty = true
}

// onLogReadFailed records that a stream can't be read.
func (c *Core) onLogReadFailed(s *streamState, name string) {
	if s.readOK || !s.started {
		s.readOK, s.started, s.failingSince = false, true, c.now
		c.change("log stream", name, "ok", "failing")
	}
	c.count("log_read_failures", name, 1)
	if name != record.ConfigStream {
		c.lease.OnLogReadFailed(c.now)
	}
}

// detectReadGap handles records that the log removed before this instance read them.
func (c *Core) detectReadGap(s *streamState, ev *LogRead) {
	first := ev.Result.First
	switch {
	case !s.started || (s.next == 0 && !s.caughtUp):
		s.started = true
		s.complete = first == 0
		s.next, s.gaplessFrom, s.gaplessSince = first, first, c.now
	case first > s.next:
		s.complete = false
		s.next, s.gaplessFrom, s.gaplessSince = first, first, c.now
		c.count("log_gaps", ev.Stream, 1)
		c.change("log gap", ev.Stream, "", "records were forgotten before they were read")
		// An owner still has the complete state and writes a snapshot at once.
		c.nextSnapshot = c.now
	default:
		return
	}
	if ev.Stream == record.ConfigStream {
		c.pub.StartReadingAt(first)
	}
}

// claimVisible reports whether the part of the stream that was read must contain the
// claim in force. The owner repeats its claim in every snapshot, at least once in half
// of the retention, so that the log does not lose it.
func (c *Core) claimVisible() bool {
	return c.logStream.complete || c.now >= c.logStream.gaplessSince.Add(c.cfg.Timing.LogRetention/2)
}

// keysLost reports whether records of keys may have been lost: the log removed records
// that no snapshot contains, or a takeover found that all instances that may have held
// intents have exited. A key that is not known may then have run before and must not run
// again.
func (c *Core) keysLost() bool {
	gap := !c.logStream.complete && c.now < c.logStream.gaplessSince.Add(c.cfg.Timing.KeyRetention)
	return gap || c.wall.Before(c.keysLostUntil)
}

// foldRecord folds one record of the config stream or the data centre's stream.
func (c *Core) foldRecord(stream string, r platform.Record) {
	b, err := record.Decode(r.Payload)
	if err != nil {
		c.count("log_bad_records", stream, 1)
		return
	}
	if b.Seq != 0 {
		if c.lastBatch[b.Writer] >= b.Seq {
			c.count("log_repeated_batches", "", 1)
			return
		}
		c.lastBatch[b.Writer] = b.Seq
	}
	for _, e := range b.Entries {
		if stream == record.ConfigStream {
			c.foldConfig(r.Offset, e)
			continue
		}
		c.foldEntry(e, false)
	}
	c.onBatchFolded(b)
}

// foldEntry folds one entry of the data centre's stream. Restored is true for an entry
// of a snapshot: its epoch was checked when the snapshot's writer folded it.
func (c *Core) foldEntry(e record.Entry, restored bool) {
	current := c.lease.Epoch()
	switch {
	case e.Claim != nil:
		c.foldClaim(*e.Claim)
	case e.Release != nil:
		if c.lease.FoldRelease(c.now, *e.Release) {
			c.change("lease", "released", "", "")
		}
	case e.Accept != nil:
		if restored || e.Accept.Epoch == current {
			c.foldAccept(e.Accept)
		}
	case e.Progress != nil:
		c.foldProgress(e.Progress)
	case e.Finish != nil:
		if restored || e.Finish.Epoch == current {
			c.foldFinish(e.Finish)
		}
	case e.Cancel != nil:
		c.foldCancel(e.Cancel)
	case e.Intent != nil:
		c.foldIntent(*e.Intent, restored)
	case e.Outcome != nil:
		c.foldOutcome(*e.Outcome)
	case e.Snapshot != nil:
		c.foldSnapshot(e.Snapshot)
	case e.Boot != nil:
		c.foldBoot(*e.Boot)
	case e.KeysLost != nil:
		c.extendKeysLost(e.KeysLost.Until)
	}
}

func (c *Core) foldClaim(cl record.Claim) {
	if !c.lease.FoldClaim(c.now, cl) {
		c.count("claims_lost", "", 1)
		return
	}
	c.count("claims", "", 1)
	c.change("lease", string(c.cfg.Self.DataCentre), "", cl.Owner.Name)
	c.syncOwnership()
}

// foldIntent folds an intent. If this instance wrote it and still owns the epoch, the
// task starts: a keyed task may start only when its intent was read back.
func (c *Core) foldIntent(in record.Intent, restored bool) {
	delete(c.heldIntents, in.Task)
	var res keys.Result
	if restored {
		res = c.keys.Restore(c.now, in)
	} else {
		res = c.keys.FoldIntent(c.now, c.lease.Epoch(), in)
	}
	c.count("intents", string(res), 1)
	if c.owner != nil {
		c.intentDurable(in, res)
	}
}

// extendKeysLost extends the time until which an unknown key may have run before.
func (c *Core) extendKeysLost(until time.Time) {
	if until.After(c.keysLostUntil) {
		c.keysLostUntil = until
	}
}

func (c *Core) foldBoot(b record.Boot) {
	if b.Boot == "" {
		delete(c.workerBoots, b.Worker)
		return
	}
	c.workerBoots[b.Worker] = b.Boot
}

func (c *Core) foldOutcome(o record.Outcome) {
	c.keys.FoldOutcome(c.now, o)
	if c.owner != nil {
		c.outcomeDurable(o)
	}
}

// foldAccept adds a durable job, or completes one that only later records had created.
func (c *Core) foldAccept(a *record.Accept) {
	j := c.jobs[a.Job]
	if j == nil {
		j = newJob(a.Job, a.Submission, a.RequestHash)
		c.jobs[a.Job] = j
	}
	if j.durable {
		return
	}
	if j.submission.Service == "" {
		j.setSubmission(a.Submission, a.RequestHash) // created by an earlier record of the job
	}
	j.durable = true
	j.wallDeadline = a.DeadlineAt
	if c.owner != nil {
		c.jobDurable(j)
	}
}

// foldProgress records finished tasks. It creates a job that is not known yet, so that
// the tasks don't run again when a snapshot from before their end is folded later.
func (c *Core) foldProgress(p *record.Progress) {
	j := c.loggedJob(p.Job)
	for _, r := range p.Done {
		j.recordTaskEnd(r.Index, taskDone, r.Result)
	}
	for _, r := range p.Failed {
		j.recordTaskEnd(r.Index, taskFailed, r.Result)
	}
	if c.owner != nil {
		c.progressDurable(j, p)
	}
}

func (c *Core) foldFinish(f *record.Finish) {
	j := c.loggedJob(f.Job)
	if j.answer == nil {
		a := f.Answer
		j.answer = &a
		j.endedAt = c.now
		c.sendFinalAnswer(j)
	}
	j.finishLogged = true
	j.discardPayload()
}

func (c *Core) foldCancel(x *record.Cancel) {
	j := c.loggedJob(x.Job)
	j.cancelled, j.cancelLogged = true, true
	for _, w := range j.cancelWaiters {
		c.replyCancelled(j, w)
	}
	j.cancelWaiters = nil
}

// loggedJob returns the job of a log record. It creates an empty one if the job's Accept
// record was not read yet.
func (c *Core) loggedJob(id model.JobID) *job {
	j := c.jobs[id]
	if j == nil {
		j = newJob(id, model.Submission{}, 0)
		c.jobs[id] = j
	}
	return j
}
