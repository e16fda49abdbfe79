package node

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/cell"
)

// answering is a worker that gives every call the same verdict.
type answering struct {
	verdict cell.Verdict
	calls   int
}

func (a *answering) Start(context.Context, cell.Start) cell.Verdict {
	a.calls++
	return a.verdict
}

func (a *answering) Stop(context.Context, cell.Stop) cell.Verdict {
	a.calls++
	return a.verdict
}

func (a *answering) Renew(_ context.Context, r cell.Renew) cell.Renewed {
	a.calls++
	return cell.Renewed{Worker: r.Worker, Verdict: a.verdict}
}

// An instance that knows of a newer owner must not speak to workers for the old
// one any more, of whatever kind the call is.
func TestNoCallsForAnEpochThatIsOver(t *testing.T) {
	ctx := context.Background()
	calls := map[string]func(p peerHandler, epoch int64) cell.Verdict{
		"start": func(p peerHandler, epoch int64) cell.Verdict { return p.Start(ctx, cell.Start{Epoch: epoch}) },
		"stop":  func(p peerHandler, epoch int64) cell.Verdict { return p.Stop(ctx, cell.Stop{Epoch: epoch}) },
		"renew": func(p peerHandler, epoch int64) cell.Verdict { return p.Renew(ctx, cell.Renew{Epoch: epoch}).Verdict },
	}
	for told, tell := range calls {
		for name, call := range calls {
			t.Run(told+" then "+name, func(t *testing.T) {
				is := is.New(t)
				w := &answering{verdict: cell.Superseded}
				p := peerHandler{&Node{deps: Deps{Workers: w}}}
				is.Equal(tell(p, 7), cell.Superseded)
				is.Equal(w.calls, 1)
				is.Equal(call(p, 7), cell.Superseded)
				is.Equal(call(p, 6), cell.Superseded)
				is.Equal(w.calls, 1) // neither left the instance
				w.verdict = cell.Accepted
				is.Equal(call(p, 8), cell.Accepted)
				is.Equal(w.calls, 2)
			})
		}
	}
}
