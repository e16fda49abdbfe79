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

// BenchmarkRelayedCalls measures the processor time of both ends for pairs of a start
// and a renewal whose reply lists six runs. Forty pairs run concurrently.
func BenchmarkRelayedCalls(b *testing.B) {
	for name, bandwidth := range map[string]int64{"plain": compressBelow, "compressed": compressBelow - 1} {
		b.Run(name, func(b *testing.B) {
			follower := newInstance("follower")
			follower.bandwidth = bandwidth
			follower.start = func(context.Context, cell.Start) cell.Verdict { return cell.Accepted }
			follower.renew = func(_ context.Context, r cell.Renew) cell.Renewed {
				out := cell.Renewed{Worker: r.Worker, Boot: 1700000000123, Clock: model.WorkerTime(482113 * time.Millisecond)}
				for i := range 6 {
					out.Running = append(out.Running, cell.RunStatus{Task: newStart("5c0e7a21d94b36f8", i).Task, Run: 2, Percent: 41})
				}
				return out
			}
			p, _, _ := connect(b, follower)
			const concurrency = 40
			for i := 0; b.Loop(); i++ {
				var wg sync.WaitGroup
				for j := range concurrency {
					wg.Go(func() { _, _ = p.Start(context.Background(), newStart(fmt.Sprintf("%016x", i*10+j/4), j)) })
					wg.Go(func() {
						_, _ = p.Renew(context.Background(), cell.Renew{Worker: "w", Address: "10.3.64.54:8206", Epoch: 7, Timeout: time.Second})
					})
				}
				wg.Wait()
			}
			b.ReportMetric(float64(b.N*concurrency*2), "calls")
		})
	}
}
