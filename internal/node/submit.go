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
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/admission"
	"github.com/gentianpick/gentianpick/internal/store"
)

const (
	// hedgeAfter is when an append without an answer is sent once more, at the
	// earliest. The store answers in a few milliseconds; a lost answer must not
	// cost the slack of urgent work. Repetitions are harmless: an owner's appends
	// carry a sequence number, and a repeated submission is the same job.
	hedgeAfter = 120 * time.Millisecond
	// doubtRetry is the pause before an entry in doubt is tried again.
	doubtRetry = 100 * time.Millisecond
	// hedgeFactor times the usual time of an append is waited at least, since
	// repetitions make a slow store slower.
	hedgeFactor = 3
	// latencyWeight is the weight of one append in the usual time.
	latencyWeight = 0.3
	// ownerPatience is how long the owner may take to store a submission before
	// the instance stores it itself as well. The owner refuses what it can't
	// store, and its death shows sooner by the lost link; with a slow store,
	// appends of all instances would only make it slower.
	ownerPatience = 600 * time.Millisecond
	// appendTimeout bounds one attempt at an append. A slow store takes a
	// fraction of a second.
	appendTimeout = 3 * time.Second
	// appendRetry is the pause after an attempt that failed.
	appendRetry = 30 * time.Millisecond
	// maxOpen bounds the attempts at one append that have no answer.
	maxOpen = 3
	// ownerTries bounds the attempts at an owner's append that certainly failed.
	// With one in doubt, it is tried until it has a final answer.
	ownerTries = 2
	// submitTries bounds the attempts at a submission that certainly failed.
	// More of them would only delay the refusal.
	submitTries = 2
	// submitBatches bounds the appends of submissions in flight.
	submitBatches = 1
	// batchBytes bounds one append; the store takes up to 2 MiB a call.
	batchBytes = 1 << 20
)

// repeat appends records until the store has them or gives a final answer. It
// sends an attempt again that has no answer yet. After the given number of
// attempts that were certainly not done, it gives up, but never on a fenced
// append in doubt, which the next one must follow. The result inDoubt says that
// the records may be or become stored in spite of the error.
func (n *Node) repeat(ctx context.Context, s store.Stream, records []store.Record, f *store.Fence, tries int) (inDoubt bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxOpen)
	open, failed := 0, 0
	attempt := func() {
		open++
		go func() {
			actx, done := context.WithTimeout(ctx, appendTimeout)
			defer done()
			sent := n.deps.Now()
			_, err := n.deps.Store.Append(actx, s, records, f)
			if err == nil {
				n.latency.add(n.deps.Now().Sub(sent))
			}
			results <- err
		}()
	}
	attempt()
	timer := time.NewTimer(n.hedgeTime())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return true, ctx.Err()
		case <-timer.C:
			if open < maxOpen {
				attempt()
			}
			timer.Reset(2 * n.hedgeTime())
		case err := <-results:
			open--
			if err == nil {
				if failed > 0 {
					n.deps.Telemetry.Log("append regained", LogFields{Subject: s.String(), Count: int64(failed)})
				}
				n.storeOK.Store(int64(n.deps.Now()))
				return false, nil
			}
			kind := store.KindOf(err)
			if kind == store.Fenced || kind == store.OutOfSequence || kind == store.EndMismatch {
				return inDoubt, err
			}
			if failed == 0 {
				n.deps.Telemetry.Log("append lost", LogFields{Subject: s.String(), Reason: err.Error()})
			}
			failed++
			inDoubt = inDoubt || kind != store.NotApplied
			if open > 0 {
				continue
			}
			if failed >= tries && (!inDoubt || f == nil) {
				return inDoubt, err
			}
			sleep(ctx, appendRetry)
			attempt()
		}
	}
}

// hedgeTime returns how long an append may have no answer before it is sent
// again.
func (n *Node) hedgeTime() time.Duration {
	return max(hedgeAfter, time.Duration(hedgeFactor*float64(n.latency.mean())))
}

// smoothed is a moving mean. It is safe for concurrent use.
type smoothed struct{ bits atomic.Uint64 }

func (s *smoothed) add(d time.Duration) {
	old := math.Float64frombits(s.bits.Load())
	s.bits.Store(math.Float64bits(old + latencyWeight*(float64(d)-old)))
}

func (s *smoothed) mean() time.Duration { return time.Duration(math.Float64frombits(s.bits.Load())) }

// submission is an entry that waits for the store.
type submission struct {
	entry cell.Entry
	done  chan result // has room for the one result
}

// submitter stores entries of callers: through the owner, which stores them
// with its own next append, or directly, several in one append.
type submitter struct {
	n      *Node
	stream store.Stream // this instance's part of the submissions

	mu      sync.Mutex
	queue   []*submission
	batches int

	owner    atomic.Int64 // epoch of the owner that the refusals are of
	refusals refusals
}

// refusals remembers which queues the owner refuses submissions of, so that it
// is not asked about each: while it is overloaded, refusing takes the processor
// that its work needs. It is safe for concurrent use.
type refusals struct {
	mu    sync.Mutex
	until map[string]model.Time // by queue
}

// overloadMemory is the part of the time to come back for which an instance
// refuses submissions of a queue without asking the owner again.
const overloadMemory = 0.5

// note remembers that the owner refused a submission.
func (r *refusals) note(now model.Time, queue string, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = map[string]model.Time{}
	}
	r.until[queue] = now.Add(time.Duration(overloadMemory * float64(retryAfter)))
}

// forget drops what an owner refused that is none any more.
func (r *refusals) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.until)
}

// refused reports whether a submission is refused without asking, and when its
// caller should come back.
func (r *refusals) refused(now model.Time, queue string) (bool, time.Duration) {
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
	part := xxhash.Sum64String(n.self) % uint64(max(1, n.set.SubmissionPartitions))
	return &submitter{n: n, stream: store.SubmissionPartition(int(part))}
}

// result is the answer of one way to store an entry.
type result struct {
	stored, inDoubt bool
	// retryAfter is set if the owner refuses since it is overloaded: when the
	// caller should come back.
	retryAfter time.Duration
}

// put stores an entry. A certain failure is final at once. One in doubt is
// tried again until the caller's deadline, since the entry is the same each
// time, and a caller can't do anything with a doubt.
func (s *submitter) put(ctx context.Context, e cell.Entry) Outcome {
	inDoubt := false
	for {
		r := s.try(ctx, e)
		if r.stored {
			return Outcome{Kind: Done}
		}
		inDoubt = inDoubt || r.inDoubt
		if !inDoubt && r.retryAfter > 0 {
			return Outcome{Kind: Refused, Refusal: Refusal{Reason: Overloaded, RetryAfter: r.retryAfter}}
		}
		if !inDoubt {
			return s.n.refusedByStore()
		}
		sleep(ctx, doubtRetry)
		if ctx.Err() != nil {
			return Outcome{Kind: InDoubt}
		}
	}
}

// try stores an entry through the owner, and directly if there is no link, the
// owner refuses, or it does not answer in time. One success is enough.
func (s *submitter) try(ctx context.Context, e cell.Entry) result {
	results := make(chan result, 2)
	go func() { results <- s.viaOwner(ctx, e) }()
	begun := s.n.deps.Now()
	inDoubt, open, direct, overloaded := false, 1, false, time.Duration(0)
	begin := func() {
		direct = true
		open++
		go func() { results <- s.direct(ctx, e) }()
	}
	patience := time.NewTimer(max(ownerPatience, s.n.hedgeTime()))
	defer patience.Stop()
	for {
		select {
		case <-ctx.Done():
			return result{inDoubt: true}
		case <-patience.C:
			// The owner may wait for a store that is out for all. An append here
			// would only bring doubt then.
			if answered := model.Time(s.n.storeOK.Load()); !direct && answered > begun {
				begin()
			} else if !direct {
				patience.Reset(ownerPatience / 4)
			}
		case r := <-results:
			if r.stored {
				return r
			}
			inDoubt = inDoubt || r.inDoubt
			open--
			overloaded = max(overloaded, r.retryAfter)
			if !direct && overloaded == 0 && admission.Reachable(s.n.storeAge()) {
				begin()
			}
			if open == 0 {
				return result{inDoubt: inDoubt, retryAfter: overloaded}
			}
		}
	}
}

func (n *Node) storeAge() time.Duration {
	return n.deps.Now().Sub(model.Time(n.storeOK.Load()))
}

// refusedByStore tells a caller when to come back.
func (n *Node) refusedByStore() Outcome {
	return Outcome{Kind: Refused, Refusal: Refusal{Reason: StoreUnavailable, RetryAfter: admission.RetryAfter(n.storeAge())}}
}

// viaOwner asks the owner to store an entry.
func (s *submitter) viaOwner(ctx context.Context, e cell.Entry) result {
	if s.n.IsOwner() {
		return s.n.offer(ctx, e)
	}
	sent := s.n.deps.Now()
	reply, err := s.n.client.Submit(ctx, link.SubmitRequest{Entry: e})
	if err == nil {
		if reply.Stored {
			s.n.latency.add(s.n.deps.Now().Sub(sent))
		}
		return result{stored: reply.Stored, inDoubt: reply.InDoubt, retryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	}
	if errors.Is(err, link.ErrNotConnected) {
		return result{}
	}
	s.n.deps.Telemetry.Log("submission not forwarded", LogFields{Subject: e.Key, Reason: err.Error()})
	return result{inDoubt: true}
}

// direct stores an entry with this instance's next append to its part of the
// submissions.
func (s *submitter) direct(ctx context.Context, e cell.Entry) result {
	sub := &submission{entry: e, done: make(chan result, 1)}
	s.mu.Lock()
	s.queue = append(s.queue, sub)
	s.start()
	s.mu.Unlock()
	select {
	case r := <-sub.done:
		return r
	case <-ctx.Done():
		return result{inDoubt: true}
	}
}

// start begins an append if there is something to do. The caller holds mu.
func (s *submitter) start() {
	if len(s.queue) == 0 || s.batches >= submitBatches {
		return
	}
	var batch []*submission
	for size := 0; len(s.queue) > 0 && size < batchBytes; s.queue = s.queue[1:] {
		size += len(s.queue[0].entry.Value)
		batch = append(batch, s.queue[0])
	}
	s.batches++
	go s.send(batch)
}

func (s *submitter) send(batch []*submission) {
	records := make([]store.Record, len(batch))
	for i, sub := range batch {
		records[i] = store.Record{Key: sub.entry.Key, Value: sub.entry.Value}
	}
	// The callers' own deadlines are no longer; what is not stored by then is in
	// doubt.
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	inDoubt, err := s.n.repeat(ctx, s.stream, records, nil, submitTries)
	s.mu.Lock()
	s.batches--
	s.start()
	s.mu.Unlock()
	for _, sub := range batch {
		sub.done <- result{stored: err == nil, inDoubt: inDoubt}
	}
}
