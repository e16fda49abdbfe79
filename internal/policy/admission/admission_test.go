package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A slow store still stores; one that refuses or is silent doesn't, and callers
// must hear so before their deadline.
func TestAccepts(t *testing.T) {
	is := is.New(t)
	is.True(Accepts(0, 5*time.Millisecond, false))
	is.True(Accepts(480*time.Millisecond, 240*time.Millisecond, false)) // slow
	is.True(!Accepts(700*time.Millisecond, 5*time.Millisecond, false))  // silent
	is.True(!Accepts(0, 5*time.Millisecond, true))
	sum := time.Duration(0)
	for range 4 { // a caller's tries
		sum += RetryAfter(sum)
	}
	is.True(sum >= 8*time.Second)
}
