package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/store"
)

// deadlineRecorder records whether eligibility calls have a deadline.
type deadlineRecorder struct{ bounded bool }

func (d *deadlineRecorder) Check(ctx context.Context, _ link.PermitRequest) (link.PermitReply, error) {
	_, d.bounded = ctx.Deadline()
	return link.PermitReply{}, nil
}

// An eligibility call without a deadline goes on after the owner has given up waiting for
// it, and occupies one of the instance's few connections to the service.
func TestEligibilityCallForOwnerHasTimeout(t *testing.T) {
	is := is.New(t)
	d := &deadlineRecorder{}
	peerHandler{&Node{deps: Deps{Eligibility: d}}}.Permits(context.Background(), link.PermitRequest{})
	is.True(d.bounded)
}

// pagedStore is a store with two pages. The first read of the second page fails.
type pagedStore struct {
	store.Store
	requested []string // keys after which pages were requested
}

func (p *pagedStore) Newest(_ context.Context, st store.Stream, after string, _ time.Duration) (store.Page, error) {
	p.requested = append(p.requested, after)
	switch {
	case after == "":
		return store.Page{Records: []store.Record{{Key: "a"}}, More: true, End: 2}, nil
	case len(p.requested) == 2:
		return store.Page{}, &store.Error{Kind: store.InDoubt, Stream: st, Cause: context.DeadlineExceeded}
	}
	return store.Page{Records: []store.Record{{Key: "b"}}, End: 2}, nil
}

// A load that starts over after a failed page reads all pages again and uses up the
// bandwidth of the link.
func TestLoadResumesAfterFailedPage(t *testing.T) {
	is := is.New(t)
	p := &pagedStore{}
	tel := NewTelemetry(io.Discard, "error", "i")
	defer tel.Close()
	n := &Node{deps: Deps{Store: p, Telemetry: tel, Now: func() model.Time { return model.Time(time.Hour) }}}
	f := newFollower(n, store.Progress, 0, 0, func(store.Record) {})
	is.True(f.load(context.Background()))
	is.Equal(p.requested, []string{"", "a", "a"})
}
