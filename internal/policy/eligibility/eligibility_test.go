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
