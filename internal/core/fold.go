package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/keys"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/record"
)

// onLogRead folds the records of one read.
func (c *Core) onLogRead(ev *LogRead) {
	s := &c.stream
	if ev.Stream == record.ConfigStream {
		s = &c.config
	} else if ev.Stream != c.streamName() {
		return
	}
	if ev.Failed || ev.Result == nil {
		c.onReadFailed(s, ev.Stream)
		return
	}
	if !s.ok && s.started {
		c.change("log stream", ev.Stream, "failing", "ok")
	}
	s.ok = true
	c.readGap(s, ev)
	for _, r := range ev.Result.Records {
		if r.Offset < s.next {
			continue // an earlier read had it
		}
		s.next = r.Offset + 1
		c.foldRecord(ev.Stream, r)
	}
	s.next = max(s.next, ev.Result.Next)
	s.caughtUp = s.caughtUp || ev.Result.AtTail()
	if ev.Stream == record.ConfigStream {
		return
	}
	c.lease.OnLogRead(ev.StartedAt, ev.Result.AtTail() && c.trusted())
	c.leaseDirty = true
}

// onReadFailed notes that a stream can't be read.
func (c *Core) onReadFailed(s *streamState, name string) {
	if s.ok || !s.started {
		s.ok, s.started, s.failedAt = false, true, c.now
		c.change("log stream", name, "ok", "failing")
	}
	c.count("log_read_failures", name, 1)
	if name != record.ConfigStream {
		c.lease.OnLogReadFailed(c.now)
	}
}

// readGap notes records that the log forgot before this instance read them.
func (c *Core) readGap(s *streamState, ev *LogRead) {
	first := ev.Result.First
	switch {
	case !s.started || (s.next == 0 && !s.caughtUp):
		s.started = true
		s.complete = first == 0
		s.next, s.from, s.fromAt = first, first, c.now
	case first > s.next:
		s.complete = false
		s.next, s.from, s.fromAt = first, first, c.now
		c.count("log_gaps", ev.Stream, 1)
		c.change("log gap", ev.Stream, "", "records were forgotten before they were read")
		// An owner still has all state; it writes it again at once.
		c.nextSnapshot = c.now
	default:
		return
	}
	if ev.Stream == record.ConfigStream {
		c.pub.StartReadingAt(first)
	}
}

// trusted reports whether the read part of the stream shows the claim in
// force. A claim that the log has forgotten is written again with the owner's
// snapshot before half of the retention has passed.
func (c *Core) trusted() bool {
	return c.stream.complete || c.now >= c.stream.fromAt.Add(c.cfg.Timing.Retention/2)
}

// keysLost reports whether the log has forgotten keys that no snapshot carried,
// or a takeover found that everybody who may have held intents is gone.
// A key that is not known may then have run; it must not run again.
func (c *Core) keysLost() bool {
	gap := !c.stream.complete && c.now < c.stream.fromAt.Add(c.cfg.Timing.KeyLife)
	return gap || c.wall.Before(c.lostUntil)
}

// foldRecord folds one record of either stream.
func (c *Core) foldRecord(stream string, r platform.Record) {
	b, err := record.Decode(r.Payload)
	if err != nil {
		c.count("log_bad_records", stream, 1)
		return
	}
	if b.Seq != 0 {
		if c.batches[b.Writer] >= b.Seq {
			c.count("log_repeated_batches", "", 1)
			return
		}
		c.batches[b.Writer] = b.Seq
	}
	for _, e := range b.Entries {
		if stream == record.ConfigStream {
			c.foldConfig(r.Offset, e)
			continue
		}
		c.foldEntry(e, false)
	}
	c.folded(b)
}

// foldEntry folds one record of the data centre's stream. Restored is true
// for an entry of a snapshot, which was accepted before.
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
		c.loseKeys(e.KeysLost.Until)
	}
}

func (c *Core) foldClaim(cl record.Claim) {
	if !c.lease.FoldClaim(c.now, cl) {
		c.count("claims_lost", "", 1)
		return
	}
	c.count("claims", "", 1)
	c.change("lease", string(c.cfg.Self.DataCentre), "", cl.Owner.Name)
	c.syncOwner()
}

// foldIntent folds an intent and starts it if this instance made it and still
// holds the epoch. Reading the own intent back is what permits the start.
func (c *Core) foldIntent(in record.Intent, restored bool) {
	delete(c.held, in.Task)
	var res keys.Result
	if restored {
		res = c.keys.Restore(c.now, in)
	} else {
		res = c.keys.FoldIntent(c.now, c.lease.Epoch(), in)
	}
	c.count("intents", string(res), 1)
	if c.own != nil {
		c.intentStable(in, res)
	}
}

// loseKeys notes until when keys that are not known may have run.
func (c *Core) loseKeys(until time.Time) {
	if until.After(c.lostUntil) {
		c.lostUntil = until
	}
}

func (c *Core) foldBoot(b record.Boot) {
	if b.Boot == "" {
		delete(c.boots, b.Worker)
		return
	}
	c.boots[b.Worker] = b.Boot
}

func (c *Core) foldOutcome(o record.Outcome) {
	c.keys.FoldOutcome(c.now, o)
	if c.own != nil {
		c.outcomeDurable(o)
	}
}

// foldAccept adds a durable job.
func (c *Core) foldAccept(a *record.Accept) {
	j := c.jobs[a.Job]
	if j == nil {
		j = newJob(a.Job, a.Submission, a.RequestHash)
		c.jobs[a.Job] = j
	}
	if j.durable {
		return
	}
	if j.sub.Service == "" {
		j.setSubmission(a.Submission, a.RequestHash) // known so far only by its progress or end
	}
	j.durable = true
	j.deadlineAt = a.DeadlineAt
	if c.own != nil {
		c.jobDurable(j)
	}
}

// foldProgress notes finished tasks. A job that is not known yet is created,
// so that a snapshot that was written earlier does not run them again.
func (c *Core) foldProgress(p *record.Progress) {
	j := c.durableJob(p.Job)
	for _, r := range p.Done {
		j.settle(r.Index, taskDone, r.Result)
	}
	for _, r := range p.Failed {
		j.settle(r.Index, taskFailed, r.Result)
	}
	if c.own != nil {
		c.progressDurable(j, p)
	}
}

func (c *Core) foldFinish(f *record.Finish) {
	j := c.durableJob(f.Job)
	if j.answer == nil {
		a := f.Answer
		j.answer = &a
		j.endedAt = c.now
		c.replyWaiters(j)
	}
	j.finishDurable = true
	j.release()
}

func (c *Core) foldCancel(x *record.Cancel) {
	j := c.durableJob(x.Job)
	j.cancelled = true
}

// durableJob returns a job that the log knows, creating an empty one if its
// acceptance was not read yet.
func (c *Core) durableJob(id model.JobID) *job {
	j := c.jobs[id]
	if j == nil {
		j = newJob(id, model.Submission{}, 0)
		c.jobs[id] = j
	}
	return j
}
