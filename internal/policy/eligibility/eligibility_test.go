package eligibility

import (
	"math"
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
	is.Equal(len(Split(n)), (n+MaxWorkers-1)/MaxWorkers)
	is.Equal(len(Split(MinWorkers)), 1)
	for workers := 1; workers <= maxCalls*MaxWorkers; workers++ {
		total := 0
		for _, size := range Split(workers) {
			is.True(size > 0 && size <= MaxWorkers)
			total += size
		}
		is.Equal(total, workers)
	}
	is.True(WorkerCount(100000, 1, 0.1) <= maxCalls*MaxWorkers)
}

// Guards against a gang that waits for more calls than the instances can ever make.
func TestFreeCallsLeaveTheReservedInstances(t *testing.T) {
	is := is.New(t)
	instances := make([]Instance, 9)
	for i := range instances {
		instances[i].Up = i != 8
	}
	free, total := FreeCalls(instances, 500*time.Millisecond)
	is.Equal([]int{free, total}, []int{6, 6}) // two of the eight that are up are reserved
	instances[7].InFlight = 1
	free, total = FreeCalls(instances, 500*time.Millisecond)
	is.Equal([]int{free, total}, []int{5, 6})
	free, total = FreeCalls(instances, 10*time.Millisecond)
	is.Equal([]int{free, total}, []int{8*maxQuickCalls - 1, 8 * maxQuickCalls})
	free, total = FreeCalls(nil, time.Second)
	is.Equal([]int{free, total}, []int{0, 0})
}

// Guards against calls about so few workers that chance often leaves a small step without
// enough permits.
func TestDrawAllowsForChance(t *testing.T) {
	is := is.New(t)
	var d Draw
	workers := 0
	for ; !d.Suffices(5); workers++ {
		d.Add(0.35, 3)
	}
	short := math.Pow(0.65, float64(workers)) + float64(workers)*0.35*math.Pow(0.65, float64(workers-1)) // fewer than two are eligible
	is.True(short < 0.05)
	var known Draw
	known.Add(1, 7)
	is.True(!known.Suffices(5))
	known.Add(1, 1)
	is.True(known.Suffices(5))
}
