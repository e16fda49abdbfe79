package node

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/cell"
)

// fixedVerdict is a WorkerClient that returns the same verdict for every call.
type fixedVerdict struct {
	verdict cell.Verdict
	calls   int
}

func (a *fixedVerdict) Start(context.Context, cell.Start) cell.Verdict {
	a.calls++
	return a.verdict
}

func (a *fixedVerdict) Stop(context.Context, cell.Stop) cell.Verdict {
	a.calls++
	return a.verdict
}

func (a *fixedVerdict) Renew(_ context.Context, r cell.Renew) cell.Renewed {
	a.calls++
	return cell.Renewed{Worker: r.Worker, Verdict: a.verdict}
}

// Once a call of any kind has shown that its epoch is superseded, an instance must not
// relay calls of that epoch or a lower one, whatever their kind.
func TestSupersededEpochIsRefusedForAllCalls(t *testing.T) {
	ctx := context.Background()
	calls := map[string]func(p peerHandler, epoch int64) cell.Verdict{
		"start": func(p peerHandler, epoch int64) cell.Verdict { return p.Start(ctx, cell.Start{Epoch: epoch}) },
		"stop":  func(p peerHandler, epoch int64) cell.Verdict { return p.Stop(ctx, cell.Stop{Epoch: epoch}) },
		"renew": func(p peerHandler, epoch int64) cell.Verdict { return p.Renew(ctx, cell.Renew{Epoch: epoch}).Verdict },
	}
	for firstName, first := range calls {
		for name, call := range calls {
			t.Run(firstName+" then "+name, func(t *testing.T) {
				is := is.New(t)
				w := &fixedVerdict{verdict: cell.Superseded}
				p := peerHandler{&Node{deps: Deps{Workers: w}}}
				is.Equal(first(p, 7), cell.Superseded)
				is.Equal(w.calls, 1)
				is.Equal(call(p, 7), cell.Superseded)
				is.Equal(call(p, 6), cell.Superseded)
				is.Equal(w.calls, 1) // neither call reached the worker
				w.verdict = cell.Accepted
				is.Equal(call(p, 8), cell.Accepted)
				is.Equal(w.calls, 2)
			})
		}
	}
}
