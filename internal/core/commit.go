package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// commitQueue groups the records for the data centre's stream into batches. At most one
// append is in flight, so that batches reach the log in order; records queued meanwhile
// share the next batch.
type commitQueue struct {
	entries        []record.Entry
	oldestUrgentAt model.Time // when the oldest urgent entry was queued; zero: none
	oldestAt       model.Time // when the oldest entry was queued; zero: none
	inFlight       *inFlightAppend
	lastSentAt     model.Time
	seq            uint64
}

// inFlightAppend is a batch that was sent and is not known to be in the log.
type inFlightAppend struct {
	batch         record.Batch
	payload       []byte
	startedAt     model.Time
	callInFlight  bool // an append call has not returned
	retryAt       model.Time
	mayBeAppended bool // the outcome of an attempt is ambiguous
}

const (
	// appendRetryDelay is the delay before a failed append is repeated, before jitter.
	appendRetryDelay = 200 * time.Millisecond
	// logOutageTimeout is how long an append must be outstanding, or reads must fail,
	// before the log counts as unavailable. It is short, since callers of
	// non-idempotent work wait meanwhile.
	logOutageTimeout = 400 * time.Millisecond
	// maxBatchEntries limits the records of one batch.
	maxBatchEntries = 500
	// maxBatchBytes limits the bodies and results of one batch, in bytes. A batch that
	// the log rejects for its size would be rejected at every repetition and block all
	// later records. Logs commonly accept 1 MiB.
	maxBatchBytes = 512 << 10
	// maxLoggedBody is the largest body of a durable submission, in bytes. Encoded in
	// JSON it stays below 1 MiB.
	maxLoggedBody = 512 << 10
	// maxLoggedResult is the largest result that is written to the log, in bytes: of a
	// key, or of all tasks of a job together.
	maxLoggedResult = 256 << 10
)

// queueRecord queues a record for the data centre's stream. An urgent record is sent
// after GroupCommit since the last append, others wait up to LazyCommit to be batched.
func (c *Core) queueRecord(e record.Entry, urgent bool) {
	q := &c.commit
	q.entries = append(q.entries, e)
	if q.oldestAt == 0 {
		q.oldestAt = c.now
	}
	if urgent && q.oldestUrgentAt == 0 {
		q.oldestUrgentAt = c.now
	}
}

// flushCommits sends the next batch if one is due.
func (c *Core) flushCommits() {
	q := &c.commit
	if len(q.entries) == 0 || q.inFlight != nil || c.now < q.lastSentAt.Add(c.cfg.Timing.GroupCommitInterval) {
		return
	}
	if q.oldestUrgentAt == 0 && c.now < q.oldestAt.Add(c.cfg.Timing.LazyCommitDelay) {
		return
	}
	n := batchLen(q.entries)
	q.seq++
	b := record.Batch{
		ID: c.nextID(), Seq: q.seq, Writer: c.cfg.Self.Incarnation, Entries: q.entries[:n:n],
	}
	q.entries = append([]record.Entry(nil), q.entries[n:]...)
	if len(q.entries) == 0 {
		q.oldestUrgentAt, q.oldestAt = 0, 0
	}
	payload, err := record.Encode(b)
	if err != nil {
		c.count("encode_errors", "", 1)
		return
	}
	q.inFlight = &inFlightAppend{batch: b, payload: payload, startedAt: c.now}
	c.sendAppend()
}

// batchLen returns how many records go into the next batch, at least one.
func batchLen(entries []record.Entry) int {
	bytes := 0
	for i, e := range entries {
		bytes += payloadSize(e)
		if i > 0 && bytes > maxBatchBytes || i == maxBatchEntries {
			return i
		}
	}
	return len(entries)
}

// payloadSize returns the size of the bodies and results in a record, in bytes.
func payloadSize(e record.Entry) int {
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
			n += payloadSize(s)
		}
	}
	return n
}

func (c *Core) sendAppend() {
	f := c.commit.inFlight
	f.callInFlight = true
	c.commit.lastSentAt = c.now
	c.count("appends", "", 1)
	c.count("append_bytes", "", len(f.payload))
	c.emit(Effect{Append: &Append{Stream: c.dataCentreStream(), Batch: f.batch.ID, Payload: f.payload}})
}

func (c *Core) dataCentreStream() string { return record.DataCentreStream(c.cfg.Self.DataCentre) }

// onAppended handles the result of an append. Success only lets the next batch go out:
// a record takes effect when it is read back.
func (c *Core) onAppended(ev *Appended) {
	if c.onPublishAppended(ev) {
		return
	}
	f := c.commit.inFlight
	if f == nil || f.batch.ID != ev.Batch {
		return
	}
	f.callInFlight = false
	switch ev.Delivery {
	case DeliveryOK:
		c.commit.inFlight = nil
		return
	case DeliveryAmbiguous:
		f.mayBeAppended = true
	}
	c.count("append_failures", string(ev.Delivery), 1)
	f.retryAt = c.now.Add(c.jitter(appendRetryDelay, 0.5, 1.5))
}

// retryAppend repeats a failed append after its delay. Readers ignore a batch whose
// sequence number they have folded before.
func (c *Core) retryAppend() {
	f := c.commit.inFlight
	if f != nil && !f.callInFlight && c.now >= f.retryAt {
		c.sendAppend()
	}
}

// onBatchFolded ends the append in flight when its batch was read back.
func (c *Core) onBatchFolded(b record.Batch) {
	if f := c.commit.inFlight; f != nil && b.Writer == c.cfg.Self.Incarnation && b.Seq >= f.batch.Seq {
		c.commit.inFlight = nil
	}
}

// discardQueuedRecords drops the records that this instance had not appended when it
// lost the lease. The successor gets the facts that matter from workers and callers.
func (c *Core) discardQueuedRecords() {
	c.commit.entries = nil
	c.commit.oldestUrgentAt, c.commit.oldestAt = 0, 0
	c.commit.inFlight = nil
}

// logUnavailable reports whether an append has been outstanding, or reads have failed, for
// longer than logOutageTimeout.
func (c *Core) logUnavailable() bool {
	if f := c.commit.inFlight; f != nil && c.now.Sub(f.startedAt) > logOutageTimeout {
		return true
	}
	return !c.logStream.readOK && c.now.Sub(c.logStream.failingSince) > logOutageTimeout
}
