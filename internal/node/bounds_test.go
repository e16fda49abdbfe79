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

// deadlines notes whether eligibility calls are bounded.
type deadlines struct{ bounded bool }

func (d *deadlines) Check(ctx context.Context, _ link.PermitRequest) (link.PermitReply, error) {
	_, d.bounded = ctx.Deadline()
	return link.PermitReply{}, nil
}

// Eligibility calls for an owner that had given them up went on for ever, and took
// the instance's few connections to the service.
func TestEligibilityCallsForOwnersAreBounded(t *testing.T) {
	is := is.New(t)
	d := &deadlines{}
	peers{&Node{deps: Deps{Eligibility: d}}}.Permits(context.Background(), link.PermitRequest{})
	is.True(d.bounded)
}

// pages is a store with two pages, of which the second one fails once.
type pages struct {
	store.Store
	asked []string // after which key
}

func (p *pages) Newest(_ context.Context, st store.Stream, after string) (store.Page, error) {
	p.asked = append(p.asked, after)
	switch {
	case after == "":
		return store.Page{Records: []store.Record{{Key: "a"}}, More: true, End: 2}, nil
	case len(p.asked) == 2:
		return store.Page{}, &store.Error{Kind: store.InDoubt, Stream: st, Cause: context.DeadlineExceeded}
	}
	return store.Page{Records: []store.Record{{Key: "b"}}, End: 2}, nil
}

// A load of which one page was late began anew and took the link for all pages again.
func TestLoadGoesOnWhereItFailed(t *testing.T) {
	is := is.New(t)
	p := &pages{}
	tel := NewTelemetry(io.Discard, "error", "i")
	defer tel.Close()
	n := &Node{deps: Deps{Store: p, Telemetry: tel, Now: func() model.Time { return model.Time(time.Hour) }}}
	f := newFollower(n, store.Progress, 0, 0, func(store.Record) {})
	is.True(f.load(context.Background()))
	is.Equal(p.asked, []string{"", "a", "a"})
}
