package succession

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a small VM that owns the cell while a larger one could.
func TestClaimDelay(t *testing.T) {
	is := is.New(t)
	is.True(ClaimDelay(0.8, 0.99) < ClaimDelay(0.19, 0)) // enough goes first
	is.True(ClaimDelay(0.4, 0) == 0)
	is.True(ClaimDelay(0.3, 0.5) < ClaimDelay(0.2, 0.5))
	is.True(ClaimDelay(0, 0.99) < 600*time.Millisecond) // the slack of urgent work
}

// Guards against a cell that changes its owner again and again.
func TestMakesWay(t *testing.T) {
	is := is.New(t)
	const long = time.Minute
	is.True(MakesWay(0.19, 0.8, long, long))
	is.True(!MakesWay(0.19, 0.8, long, time.Second)) // it may be restarting
	is.True(!MakesWay(0.19, 0.8, time.Second, long))
	is.True(!MakesWay(0.19, 0.3, long, long)) // no better
	is.True(!MakesWay(0.5, 4, long, long))    // good enough
}
