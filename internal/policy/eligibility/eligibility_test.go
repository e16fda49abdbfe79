package eligibility

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Slow calls for batch work must never take all instances: urgent steps would
// wait half a second behind them.
func TestSlowCallsLeaveInstances(t *testing.T) {
	is := is.New(t)
	advisors := make([]Instance, 9)
	for i := range advisors {
		advisors[i].Up = true
	}
	slow := 0
	for {
		at := Choose(0, advisors, 500*time.Millisecond)
		if at < 0 {
			break
		}
		advisors[at].InFlight++
		slow++
	}
	is.Equal(slow, 6)
	is.True(Choose(0, advisors, 10*time.Millisecond) < 3)
	advisors[0].Up = false
	is.True(Choose(0, advisors[:1], 10*time.Millisecond) < 0)
}
