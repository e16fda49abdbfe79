package link

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/model"
)

// BenchmarkRelayedCalls gives the processor time of both ends for a start and a
// renewal whose answer lists six runs, forty at a time.
func BenchmarkRelayedCalls(b *testing.B) {
	for name, bandwidth := range map[string]int64{"plain": packBelow, "compressed": packBelow - 1} {
		b.Run(name, func(b *testing.B) {
			maker := newInstance("maker")
			maker.bandwidth = bandwidth
			maker.start = func(context.Context, cell.Start) cell.Verdict { return cell.Accepted }
			maker.renew = func(_ context.Context, r cell.Renew) cell.Renewed {
				out := cell.Renewed{Worker: r.Worker, Boot: 1700000000123, Clock: model.WorkerTime(482113 * time.Millisecond)}
				for i := range 6 {
					out.Running = append(out.Running, cell.RunStatus{Task: startOf("5c0e7a21d94b36f8", i).Task, Run: 2, Percent: 41})
				}
				return out
			}
			p, _, _ := connect(b, maker)
			const together = 40
			for i := 0; b.Loop(); i++ {
				var all sync.WaitGroup
				for j := range together {
					all.Go(func() { _, _ = p.Start(context.Background(), startOf(fmt.Sprintf("%016x", i*10+j/4), j)) })
					all.Go(func() {
						_, _ = p.Renew(context.Background(), cell.Renew{Worker: "w", Address: "10.3.64.54:8206", Epoch: 7, Timeout: time.Second})
					})
				}
				all.Wait()
			}
			b.ReportMetric(float64(b.N*together*2), "calls")
		})
	}
}
