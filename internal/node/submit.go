package node

import (
	"context"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/store"
)

const (
	// hedgeAfter is when an append without an answer is sent once more. The
	// store answers in a few milliseconds; a lost answer must not cost the slack
	// of urgent work. Repetitions are harmless: an owner's appends carry a
	// sequence number, and a repeated submission is the same job.
	hedgeAfter = 150 * time.Millisecond
	// appendTimeout bounds one attempt at an append. A slow store takes a
	// fraction of a second.
	appendTimeout = 3 * time.Second
	// appendRetry is the pause after an attempt that failed.
	appendRetry = 30 * time.Millisecond
	// maxOpen bounds the attempts at one append that have no answer.
	maxOpen = 3
	// forever lets an append be tried until it has a final answer.
	forever = 0
	// submitTries bounds the attempts at a submission that certainly failed.
	// More of them would only delay the refusal.
	submitTries = 3
	// submitBatches bounds the appends of submissions in flight.
	submitBatches = 2
	// batchBytes bounds one append; the store takes up to 2 MiB a call.
	batchBytes = 1 << 20
	// storeRetryAfter is when a caller should come back that was refused for
	// want of the store. By then the balancer sends it elsewhere.
	storeRetryAfter = time.Second
)

// repeat appends records until the store has them or gives a final answer. It
// sends an attempt again that has no answer yet. After the given number of
// attempts that were certainly not done, it gives up. The result inDoubt says
// that the records may be or become stored in spite of the error.
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
			_, err := n.deps.Store.Append(actx, s, records, f)
			results <- err
		}()
	}
	attempt()
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return true, ctx.Err()
		case <-timer.C:
			if open < maxOpen {
				attempt()
			}
			timer.Reset(2 * hedgeAfter)
		case err := <-results:
			open--
			if err == nil {
				if failed > 0 {
					n.deps.Telemetry.Line("append regained", LineFields{Subject: s.String(), Count: int64(failed)})
				}
				n.storeOK.Store(int64(n.deps.Now()))
				return false, nil
			}
			kind := store.KindOf(err)
			if kind == store.Fenced || kind == store.OutOfSequence || kind == store.Moved {
				return inDoubt, err
			}
			if failed == 0 {
				n.deps.Telemetry.Line("append lost", LineFields{Subject: s.String(), Reason: err.Error()})
			}
			failed++
			inDoubt = inDoubt || kind != store.NotDone
			if open > 0 {
				continue
			}
			if tries != forever && failed >= tries {
				return inDoubt, err
			}
			sleep(ctx, appendRetry)
			attempt()
		}
	}
}

// submission is an entry that waits for the store.
type submission struct {
	entry cell.Entry
	done  chan Outcome // has room for the one outcome
	taken bool         // part of an append; guarded by the submitter
}

// submitter stores entries of callers, several in one append.
type submitter struct {
	n *Node

	mu      sync.Mutex
	queue   []*submission
	batches int
}

func newSubmitter(n *Node) *submitter { return &submitter{n: n} }

// put stores an entry. If ctx ends first, the entry may still become stored,
// unless it was not sent yet.
func (s *submitter) put(ctx context.Context, e cell.Entry) Outcome {
	sub := &submission{entry: e, done: make(chan Outcome, 1)}
	s.mu.Lock()
	s.queue = append(s.queue, sub)
	s.start()
	s.mu.Unlock()
	select {
	case o := <-sub.done:
		return o
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sub.taken {
		sub.taken = true
		return refusedByStore()
	}
	return Outcome{Kind: InDoubt}
}

func refusedByStore() Outcome {
	return Outcome{Kind: Refused, Refusal: Refusal{Reason: StoreUnavailable, RetryAfter: storeRetryAfter}}
}

// start begins an append if there is something to do. The caller holds mu.
func (s *submitter) start() {
	if len(s.queue) == 0 || s.batches >= submitBatches {
		return
	}
	var batch []*submission
	size := 0
	for len(s.queue) > 0 && size < batchBytes {
		sub := s.queue[0]
		s.queue = s.queue[1:]
		if sub.taken {
			continue // its caller has given up
		}
		sub.taken = true
		size += len(sub.entry.Value)
		batch = append(batch, sub)
	}
	if len(batch) == 0 {
		return
	}
	s.batches++
	go s.send(batch)
}

func (s *submitter) send(batch []*submission) {
	entries := make([]cell.Entry, len(batch))
	for i, sub := range batch {
		entries[i] = sub.entry
	}
	// The callers' own deadlines are no longer; what is not stored by then is in
	// doubt.
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	inDoubt, err := s.store(ctx, entries)
	o := Outcome{Kind: Done}
	if err != nil && !inDoubt {
		stored, doubt := s.forward(ctx, entries)
		switch {
		case stored:
			err = nil
		case doubt:
			inDoubt = true
		}
	}
	switch {
	case err == nil:
	case inDoubt:
		o = Outcome{Kind: InDoubt}
	default:
		o = refusedByStore()
	}
	s.mu.Lock()
	s.batches--
	s.start()
	s.mu.Unlock()
	for _, sub := range batch {
		sub.done <- o
	}
}

// store appends entries to the submissions.
func (s *submitter) store(ctx context.Context, entries []cell.Entry) (inDoubt bool, err error) {
	records := make([]store.Record, len(entries))
	for i, e := range entries {
		records[i] = store.Record{Key: e.Key, Value: e.Value}
	}
	return s.n.repeat(ctx, store.Submissions, records, nil, submitTries)
}

// forward asks the owner to store entries, since this instance can't.
func (s *submitter) forward(ctx context.Context, entries []cell.Entry) (stored, inDoubt bool) {
	reply, err := s.n.client.Submit(ctx, link.SubmitRequest{Entries: entries})
	if err != nil {
		s.n.deps.Telemetry.Line("submissions not forwarded", LineFields{Count: int64(len(entries)), Reason: err.Error()})
		return false, err != link.ErrNoLink
	}
	s.n.deps.Telemetry.Line("submissions forwarded", LineFields{Count: int64(len(entries)), Outcome: storedText(reply)})
	return reply.Stored, reply.InDoubt
}

func storedText(r link.SubmitReply) string {
	switch {
	case r.Stored:
		return "stored"
	case r.InDoubt:
		return "in doubt"
	}
	return "not stored"
}
