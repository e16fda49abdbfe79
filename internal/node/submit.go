package node

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/admission"
	"github.com/gentianpick/gentianpick/internal/store"
)

const (
	// minHedgeDelay is the minimum time after which an append without an answer is sent
	// again. The store usually answers in a few milliseconds, and a lost answer must not
	// use up the slack of urgent work. Duplicates are harmless: an owner's appends carry
	// a sequence number, and a duplicate submission is the same job.
	minHedgeDelay = 120 * time.Millisecond
	// inDoubtRetryPause is the pause before an entry in doubt is submitted again.
	inDoubtRetryPause = 100 * time.Millisecond
	// hedgeFactor times the mean latency of appends is the minimum hedge delay of a slow
	// store, since duplicates would slow it down further.
	hedgeFactor = 3
	// latencyWeight is the weight of one append in the moving average of the latency.
	latencyWeight = 0.3
	// directFallbackDelay is how long the owner may take to store a submission before
	// the instance also stores it directly. It need not be short: the owner refuses what
	// it can't store, and the failure of an owner is detected sooner by the closed
	// connection. Appends of all instances would slow down a slow store further.
	directFallbackDelay = 600 * time.Millisecond
	// appendTimeout bounds one attempt of an append. A slow store takes a fraction of a
	// second.
	appendTimeout = 3 * time.Second
	// appendRetryPause is the pause after a failed attempt.
	appendRetryPause = 30 * time.Millisecond
	// maxOpenAttempts bounds the unanswered attempts of one append.
	maxOpenAttempts = 3
	// ownerAppendAttempts bounds the attempts of an owner's append of which none was
	// applied. If an attempt is in doubt, the append is retried until the store gives a
	// final answer.
	ownerAppendAttempts = 2
	// submissionAppendAttempts bounds the failed attempts of an append of submissions.
	// More of them would only delay the refusal.
	submissionAppendAttempts = 2
	// maxSubmissionAppends bounds the submission appends in flight.
	maxSubmissionAppends = 1
	// maxBatchBytes bounds one append. The store accepts up to 2 MiB per call.
	maxBatchBytes = 1 << 20
)

// appendWithRetry appends records and retries until the store has accepted them or given a
// final answer. It sends another attempt while one has no answer yet. It returns an error
// after maxAttempts failed attempts, but not for a fenced append in doubt: the next append
// has to follow it in sequence. It returns the stream's end behind the stored records. The
// result inDoubt says that the records may be or become stored in spite of the error.
func (n *Node) appendWithRetry(ctx context.Context, s store.Stream, records []store.Record, f *store.Fence, maxAttempts int) (end int64, inDoubt bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		end int64
		err error
	}
	results := make(chan result, maxOpenAttempts)
	open, failures := 0, 0
	attempt := func() {
		open++
		go func() {
			actx, done := context.WithTimeout(ctx, appendTimeout)
			defer done()
			sent := n.deps.Now()
			end, err := n.deps.Store.Append(actx, s, records, f)
			if err == nil {
				n.appendLatency.add(n.deps.Now().Sub(sent))
			}
			results <- result{end, err}
		}()
	}
	attempt()
	timer := time.NewTimer(n.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, true, ctx.Err()
		case <-timer.C:
			if open < maxOpenAttempts {
				attempt()
			}
			timer.Reset(2 * n.hedgeDelay())
		case r := <-results:
			open--
			err := r.err
			if err == nil {
				if failures > 0 {
					n.deps.Telemetry.Log("append to stream succeeded after failures", LogFields{Subject: s.String(), Count: int64(failures)})
				}
				n.storeAnsweredAt.Store(int64(n.deps.Now()))
				return r.end, false, nil
			}
			kind := store.KindOf(err)
			if kind == store.Fenced || kind == store.OutOfSequence || kind == store.EndMismatch {
				return 0, inDoubt, err
			}
			if failures == 0 {
				n.deps.Telemetry.Log("append to stream failed", LogFields{Subject: s.String(), Reason: err.Error()})
			}
			failures++
			inDoubt = inDoubt || kind != store.NotApplied
			if open > 0 {
				continue
			}
			if failures >= maxAttempts && (!inDoubt || f == nil) {
				return 0, inDoubt, err
			}
			sleep(ctx, appendRetryPause)
			attempt()
		}
	}
}

// hedgeDelay returns the time after which an append without an answer is sent again.
func (n *Node) hedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(n.appendLatency.mean())))
}

// ewma is an exponential moving average. It is safe for concurrent use.
type ewma struct{ bits atomic.Uint64 }

func (m *ewma) add(d time.Duration) {
	old := math.Float64frombits(m.bits.Load())
	m.bits.Store(math.Float64bits(old + latencyWeight*(float64(d)-old)))
}

func (m *ewma) mean() time.Duration { return time.Duration(math.Float64frombits(m.bits.Load())) }

// queuedEntry is an entry that is queued for an append.
type queuedEntry struct {
	entry cell.Entry
	queue *jobs.Queue      // of a submission; nil if it is not known, or for another entry
	done  chan storeResult // buffered for the one result
}

// submitter stores the entries of callers, either through the owner, which adds them to its
// next append, or directly, several in one append.
type submitter struct {
	n      *Node
	stream store.Stream // this instance's submission partition

	mu          sync.Mutex
	queue       []*queuedEntry
	openAppends int

	refusalEpoch atomic.Int64 // epoch of the owner whose refusals are kept
	refusals     recentRefusals
}

// recentRefusals holds the queues whose submissions the owner has refused recently, so that
// further submissions to them are refused without asking the owner. An overloaded owner
// needs its CPU for other work than refusals. It is safe for concurrent use.
type recentRefusals struct {
	mu    sync.Mutex
	until map[string]model.Time // by queue
}

// refusalCacheShare is the share of the owner's retry-after delay for which an instance
// refuses submissions to a queue without asking the owner again.
const refusalCacheShare = 0.5

// record records that the owner refused a submission to a queue.
func (r *recentRefusals) record(now model.Time, queue string, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = map[string]model.Time{}
	}
	r.until[queue] = now.Add(time.Duration(refusalCacheShare * float64(retryAfter)))
}

// reset removes all entries. It is called when the owner's epoch changes.
func (r *recentRefusals) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.until)
}

// refused reports whether a submission is refused without asking the owner, and returns
// the delay after which the caller should retry.
func (r *recentRefusals) refused(now model.Time, queue string) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.until[queue].Sub(now)
	if left <= 0 {
		delete(r.until, queue)
		return false, 0
	}
	return true, max(left, time.Second)
}

func newSubmitter(n *Node) *submitter {
	partition := xxhash.Sum64String(n.self) % uint64(max(1, n.settings.SubmissionPartitions))
	return &submitter{n: n, stream: store.SubmissionPartition(int(partition))}
}

// storeResult is the result of an attempt to store an entry.
type storeResult struct {
	stored, inDoubt bool
	// retryAfter is set if the owner refuses the entry since it is overloaded. It is the
	// delay after which the caller should retry.
	retryAfter time.Duration
}

// storeEntry stores an entry. A failure is returned at once if the entry is certainly not
// stored. A failure in doubt is retried until the caller's deadline: storing the entry
// twice is harmless, and a caller can't act on an outcome in doubt. The queue is the one of a
// submission.
func (s *submitter) storeEntry(ctx context.Context, e cell.Entry, q *jobs.Queue) Outcome {
	inDoubt := false
	for {
		r := s.storeOnce(ctx, e, q)
		if r.stored {
			return Outcome{Kind: Done}
		}
		inDoubt = inDoubt || r.inDoubt
		if !inDoubt && r.retryAfter > 0 {
			return Outcome{Kind: Refused, Refusal: Refusal{Reason: Overloaded, RetryAfter: r.retryAfter}}
		}
		if !inDoubt {
			return s.n.storeUnavailable()
		}
		sleep(ctx, inDoubtRetryPause)
		if ctx.Err() != nil {
			return Outcome{Kind: InDoubt}
		}
	}
}

// storeOnce stores an entry through the owner. If the owner is not connected, fails to
// store the entry without being overloaded, or does not answer in time, the entry is also
// stored directly. One success is enough.
func (s *submitter) storeOnce(ctx context.Context, e cell.Entry, q *jobs.Queue) storeResult {
	results := make(chan storeResult, 2)
	go func() { results <- s.storeViaOwner(ctx, e) }()
	started := s.n.deps.Now()
	inDoubt, open, direct, overloaded := false, 1, false, time.Duration(0)
	startDirect := func() {
		direct = true
		open++
		go func() { results <- s.storeDirectly(ctx, e, q) }()
	}
	fallback := time.NewTimer(max(directFallbackDelay, s.n.hedgeDelay()))
	defer fallback.Stop()
	for {
		select {
		case <-ctx.Done():
			return storeResult{inDoubt: true}
		case <-fallback.C:
			// If the store has not answered this instance since the attempt began,
			// it may be down for all instances. A direct append would then only
			// leave the entry in doubt.
			if answered := model.Time(s.n.storeAnsweredAt.Load()); !direct && answered > started {
				startDirect()
			} else if !direct {
				fallback.Reset(directFallbackDelay / 4)
			}
		case r := <-results:
			if r.stored {
				return r
			}
			inDoubt = inDoubt || r.inDoubt
			open--
			overloaded = max(overloaded, r.retryAfter)
			if !direct && overloaded == 0 && admission.Reachable(s.n.storeSilence()) {
				startDirect()
			}
			if open == 0 {
				return storeResult{inDoubt: inDoubt, retryAfter: overloaded}
			}
		}
	}
}

func (n *Node) storeSilence() time.Duration {
	return n.deps.Now().Sub(model.Time(n.storeAnsweredAt.Load()))
}

// storeUnavailable returns a refusal since the store does not answer, with a retry-after
// delay.
func (n *Node) storeUnavailable() Outcome {
	return Outcome{Kind: Refused, Refusal: Refusal{Reason: StoreUnavailable, RetryAfter: admission.RetryAfter(n.storeSilence())}}
}

// storeViaOwner asks the owner to store an entry.
func (s *submitter) storeViaOwner(ctx context.Context, e cell.Entry) storeResult {
	if s.n.IsOwner() {
		return s.n.storeAsOwner(ctx, e)
	}
	sent := s.n.deps.Now()
	reply, err := s.n.client.Submit(ctx, link.SubmitRequest{Entry: e})
	if err == nil {
		if reply.Stored {
			s.n.appendLatency.add(s.n.deps.Now().Sub(sent))
		}
		return storeResult{stored: reply.Stored, inDoubt: reply.InDoubt, retryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	}
	if errors.Is(err, link.ErrNotConnected) {
		return storeResult{}
	}
	s.n.deps.Telemetry.Log("forwarding submission to owner failed", LogFields{Subject: e.Key, Reason: err.Error()})
	return storeResult{inDoubt: true}
}

// storeDirectly stores an entry with this instance's next append to its submission
// partition.
func (s *submitter) storeDirectly(ctx context.Context, e cell.Entry, q *jobs.Queue) storeResult {
	queued := &queuedEntry{entry: e, queue: q, done: make(chan storeResult, 1)}
	s.mu.Lock()
	s.queue = append(s.queue, queued)
	s.startAppend()
	s.mu.Unlock()
	select {
	case r := <-queued.done:
		return r
	case <-ctx.Done():
		return storeResult{inDoubt: true}
	}
}

// startAppend starts an append if entries are queued and the number of appends in flight
// permits it. The caller holds mu.
func (s *submitter) startAppend() {
	if len(s.queue) == 0 || s.openAppends >= maxSubmissionAppends {
		return
	}
	var batch []*queuedEntry
	for size := 0; len(s.queue) > 0 && size < maxBatchBytes; s.queue = s.queue[1:] {
		size += len(s.queue[0].entry.Value)
		batch = append(batch, s.queue[0])
	}
	s.openAppends++
	go s.appendBatch(batch)
}

// batchRecords returns the records of a batch. Its queues come first: a job needs its queue to run
// to its end, also when no instance that starts later sees it in a configuration.
func batchRecords(batch []*queuedEntry) []store.Record {
	records := make([]store.Record, 0, len(batch)+1)
	added := map[string]bool{}
	for _, queued := range batch {
		if q := queued.queue; q != nil && !added[q.Name] && len(q.Name) <= jobs.MaxQueueNameBytes {
			added[q.Name] = true
			records = append(records, store.Record{Key: jobs.QueueKey(q.Name), Value: jobs.Encode(q)})
		}
	}
	for _, queued := range batch {
		records = append(records, store.Record{Key: queued.entry.Key, Value: queued.entry.Value})
	}
	return records
}

func (s *submitter) appendBatch(batch []*queuedEntry) {
	records := batchRecords(batch)
	// The callers' deadlines are no longer than this. An entry that is not stored by
	// then is in doubt.
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, inDoubt, err := s.n.appendWithRetry(ctx, s.stream, records, nil, submissionAppendAttempts)
	s.mu.Lock()
	s.openAppends--
	s.startAppend()
	s.mu.Unlock()
	for _, queued := range batch {
		queued.done <- storeResult{stored: err == nil, inDoubt: inDoubt}
	}
}
