package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// commitQueue groups records of the data centre's stream into appends. At most
// one append is in flight, so that batches reach the log in order and the
// records that arrive meanwhile share the next one.
type commitQueue struct {
	entries  []record.Entry
	urgentAt model.Time // when the oldest urgent entry was queued; zero: none
	lazyAt   model.Time // when the oldest entry was queued; zero: none
	flight   *flight
	lastSent model.Time
	seq      uint64
}

// flight is an append that was sent and is not known to have taken effect.
type flight struct {
	batch   record.Batch
	payload []byte
	since   model.Time
	sending bool // a call is outstanding
	retryAt model.Time
	sent    bool // an attempt may have taken effect
}

const (
	// appendRetry is the delay before an append is repeated, with jitter.
	appendRetry = 200 * time.Millisecond
	// logOutAfter is how long the log must be silent before it counts as out.
	// It is short, since callers of non-idempotent work wait meanwhile.
	logOutAfter = 400 * time.Millisecond
	// maxBatchEntries bounds the records of one append.
	maxBatchEntries = 500
	// maxBatchBytes bounds the bodies and results of one append. A log that
	// refuses a batch for its size would refuse it for ever and hold up all
	// later records; logs commonly take 1 MiB.
	maxBatchBytes = 512 << 10
	// maxLoggedBody is the largest body of a durable submission, in bytes. With
	// the encoding of bytes in JSON it stays below 1 MiB.
	maxLoggedBody = 512 << 10
	// maxLoggedResult is the largest result of a key, or of all tasks of a job,
	// that the log keeps, in bytes.
	maxLoggedResult = 256 << 10
)

// append queues a record. An urgent one is sent as soon as the rate allows;
// others wait for company.
func (c *Core) append(e record.Entry, urgent bool) {
	q := &c.commit
	q.entries = append(q.entries, e)
	if q.lazyAt == 0 {
		q.lazyAt = c.now
	}
	if urgent && q.urgentAt == 0 {
		q.urgentAt = c.now
	}
}

// flushCommits sends the next batch if its time has come.
func (c *Core) flushCommits() {
	q := &c.commit
	if len(q.entries) == 0 || q.flight != nil || c.now < q.lastSent.Add(c.cfg.Timing.GroupCommitInterval) {
		return
	}
	if q.urgentAt == 0 && c.now < q.lazyAt.Add(c.cfg.Timing.LazyCommitDelay) {
		return
	}
	n := batchLen(q.entries)
	q.seq++
	b := record.Batch{
		ID: c.nextID(), Seq: q.seq, Writer: c.cfg.Self.Incarnation, Entries: q.entries[:n:n],
	}
	q.entries = append([]record.Entry(nil), q.entries[n:]...)
	if len(q.entries) == 0 {
		q.urgentAt, q.lazyAt = 0, 0
	}
	payload, err := record.Encode(b)
	if err != nil {
		c.count("encode_errors", "", 1)
		return
	}
	q.flight = &flight{batch: b, payload: payload, since: c.now}
	c.sendFlight()
}

// batchLen returns how many records go into the next append, at least one.
func batchLen(entries []record.Entry) int {
	bytes := 0
	for i, e := range entries {
		bytes += payloadBytes(e)
		if i > 0 && bytes > maxBatchBytes || i == maxBatchEntries {
			return i
		}
	}
	return len(entries)
}

// payloadBytes returns the size of what a caller or a worker put into a record.
func payloadBytes(e record.Entry) int {
	n := 0
	switch {
	case e.Accept != nil:
		n = len(e.Accept.Submission.Body)
	case e.Finish != nil:
		n = len(e.Finish.Answer.Result)
	case e.Outcome != nil:
		n = len(e.Outcome.Answer.Result)
	case e.Progress != nil:
		for _, r := range e.Progress.Done {
			n += len(r.Result)
		}
	case e.Snapshot != nil:
		for _, s := range e.Snapshot.Entries {
			n += payloadBytes(s)
		}
	}
	return n
}

func (c *Core) sendFlight() {
	f := c.commit.flight
	f.sending = true
	c.commit.lastSent = c.now
	c.count("appends", "", 1)
	c.count("append_bytes", "", len(f.payload))
	c.emit(Effect{Append: &Append{Stream: c.streamName(), Batch: f.batch.ID, Payload: f.payload}})
}

func (c *Core) streamName() string { return record.DataCentreStream(c.cfg.Self.DataCentre) }

// onAppended handles the answer to an append. Success is only a hint that the
// next batch may go; the read decides what is in the log.
func (c *Core) onAppended(ev *Appended) {
	if c.onPublishAppended(ev) {
		return
	}
	f := c.commit.flight
	if f == nil || f.batch.ID != ev.Batch {
		return
	}
	f.sending = false
	switch ev.Delivery {
	case DeliveryOK:
		c.commit.flight = nil
		return
	case DeliveryAmbiguous:
		f.sent = true
	}
	c.count("append_failures", string(ev.Delivery), 1)
	f.retryAt = c.now.Add(c.jitter(appendRetry, 0.5, 1.5))
}

// tickCommits repeats a failed append. The fold ignores the second of two
// copies.
func (c *Core) tickCommits() {
	f := c.commit.flight
	if f != nil && !f.sending && c.now >= f.retryAt {
		c.sendFlight()
	}
}

// folded notes that a batch of this instance was read back.
func (c *Core) folded(b record.Batch) {
	if f := c.commit.flight; f != nil && b.Writer == c.cfg.Self.Incarnation && b.Seq >= f.batch.Seq {
		c.commit.flight = nil
	}
}

// dropCommits forgets what a former owner had not yet appended. Facts that
// matter are learnt again by the successor from workers and callers.
func (c *Core) dropCommits() {
	c.commit.entries = nil
	c.commit.urgentAt, c.commit.lazyAt = 0, 0
	c.commit.flight = nil
}

// logOut reports whether the log takes no appends or answers no reads.
func (c *Core) logOut() bool {
	if f := c.commit.flight; f != nil && c.now.Sub(f.since) > logOutAfter {
		return true
	}
	return !c.logStream.readOK && c.now.Sub(c.logStream.failingSince) > logOutAfter
}
