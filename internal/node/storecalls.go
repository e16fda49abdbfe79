package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/store"
)

// errReadLost reports a read that was given up since the store has answered a later call.
var errReadLost = errors.New("the store has answered a later call")

// storeCalls gives reads up that the store will not answer. Reads wait longer after each
// failure, since a busy store answers late. A store that was silent, or a connection that still
// is, never answers them: that is known once a call that was sent later, by more than the time
// that a read waits at first, has its answer.
type storeCalls struct {
	store.Store
	now func() model.Time

	mu   sync.Mutex
	open map[*openRead]struct{}
}

// openRead is a read without an answer.
type openRead struct {
	// overdueAt is when the answer of a store that is not busy would have arrived.
	overdueAt model.Time
	lost      chan struct{} // closed when the read is given up
	isLost    bool
}

var _ store.Store = (*storeCalls)(nil)

func newStoreCalls(s store.Store, now func() model.Time) *storeCalls {
	return &storeCalls{Store: s, now: now, open: map[*openRead]struct{}{}}
}

// Append implements store.Store.
func (s *storeCalls) Append(ctx context.Context, st store.Stream, records []store.Record, f *store.Fence) (int64, error) {
	sent := s.now()
	end, err := s.Store.Append(ctx, st, records, f)
	s.ended(sent, err)
	return end, err
}

// Read implements store.Store.
func (s *storeCalls) Read(ctx context.Context, st store.Stream, from int64, wait, stallTimeout time.Duration) (store.Batch, error) {
	sent := s.now()
	r := s.begin(sent.Add(wait + minReadStall))
	b, err := s.Store.Read(store.WithLostSignal(ctx, r.lost), st, from, wait, stallTimeout)
	return b, s.end(r, sent, st, err)
}

// Newest implements store.Store.
func (s *storeCalls) Newest(ctx context.Context, st store.Stream, after string, stallTimeout time.Duration) (store.Page, error) {
	sent := s.now()
	r := s.begin(sent.Add(minLoadStall))
	p, err := s.Store.Newest(store.WithLostSignal(ctx, r.lost), st, after, stallTimeout)
	return p, s.end(r, sent, st, err)
}

func (s *storeCalls) begin(overdueAt model.Time) *openRead {
	r := &openRead{overdueAt: overdueAt, lost: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[r] = struct{}{}
	return r
}

// end returns the error of a read that has ended.
func (s *storeCalls) end(r *openRead, sent model.Time, st store.Stream, err error) error {
	s.mu.Lock()
	delete(s.open, r)
	lost := r.isLost
	s.mu.Unlock()
	s.ended(sent, err)
	if err != nil && lost {
		return &store.Error{Kind: store.InDoubt, Stream: st, Cause: errReadLost}
	}
	return err
}

// ended gives the reads up that were overdue when a call was sent that has an answer now.
func (s *storeCalls) ended(sent model.Time, err error) {
	if err != nil && !answered(err) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.open {
		if sent > r.overdueAt && !r.isLost {
			r.isLost = true
			close(r.lost)
		}
	}
}

// answered reports whether a failed call has an answer of the store.
func answered(err error) bool {
	var e *store.Error
	return errors.As(err, &e) && e.Status != 0
}
