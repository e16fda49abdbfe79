package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Submissions are accepted while the store is slow, and refused while it refuses
// appends or does not answer. Callers must learn of a refusal before their deadline.
func TestAccepts(t *testing.T) {
	is := is.New(t)
	const usual = 5 * time.Millisecond
	is.True(Accepts(0, usual, 0, false))
	is.True(Accepts(480*time.Millisecond, 240*time.Millisecond, 480*time.Millisecond, false)) // slow
	is.True(Accepts(700*time.Millisecond, usual, 200*time.Millisecond, false))                // has just become slow
	is.True(!Accepts(700*time.Millisecond, usual, 700*time.Millisecond, false))               // no answer to any call
	is.True(!Accepts(1500*time.Millisecond, usual, 0, false))                                 // the next append would be too late
	is.True(!Accepts(0, usual, 0, true))
	sum := time.Duration(0)
	for range 4 { // attempts of one caller
		sum += RetryAfter(sum)
	}
	is.True(sum >= 8*time.Second)
}
