package eligibility

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Slow calls for batch work must never occupy all instances: urgent steps would wait
// half a second behind them.
func TestSlowCallsLeaveInstances(t *testing.T) {
	is := is.New(t)
	instances := make([]Instance, 9)
	for i := range instances {
		instances[i].Up = true
	}
	slow := 0
	for {
		at := Choose(0, instances, 500*time.Millisecond)
		if at < 0 {
			break
		}
		instances[at].InFlight++
		slow++
	}
	is.Equal(slow, 6)
	is.True(Choose(0, instances, 10*time.Millisecond) < 3)
	instances[0].Up = false
	is.True(Choose(0, instances[:1], 10*time.Millisecond) < 0)
}

// Guards against a wide step that learns of eligible workers more slowly than their
// permits expire, and against calls that the service refuses.
func TestWideStepIsAskedAboutAtOnce(t *testing.T) {
	is := is.New(t)
	n := WorkerCount(240, 2, 0.35) // 120 workers, of which one in three is eligible
	is.True(float64(n)*0.35 >= 120)
	is.Equal(len(Split(n)), (n+maxWorkers-1)/maxWorkers)
	is.Equal(len(Split(minWorkers)), 1)
	for workers := 1; workers <= maxCalls*maxWorkers; workers++ {
		total := 0
		for _, size := range Split(workers) {
			is.True(size > 0 && size <= maxWorkers)
			total += size
		}
		is.Equal(total, workers)
	}
	is.True(WorkerCount(100000, 1, 0.1) <= maxCalls*maxWorkers)
}
