// Package admission decides whether a submission can be stored in time, and
// when a caller that is refused should come back.
//
// It answers an outage of the store under full load: hundreds of callers a
// second would wait until their deadlines for a store that does not answer, and
// those whose append is in doubt could not be told the truth. A submission that
// was not sent to the store yet is refused at once, which is certain.
package admission

import "time"

const (
	// slowest is how long an append may be without an answer before submissions
	// are refused, at least. It covers a store that is sixty times slower.
	slowest = 600 * time.Millisecond
	// slowFactor times the usual time of an append is waited at least.
	slowFactor = 4
	// minRetry and maxRetry bound the time to come back. Four tries with
	// doubled pauses cover outages of up to about 10 s.
	minRetry = time.Second
	maxRetry = 4 * time.Second
)

// Accepts reports whether a submission may wait for the append that follows
// the one in flight. Pending is how long that one has had no answer, usual the
// usual time of an append; refused says that the store refused the last one.
func Accepts(pending, usual time.Duration, refused bool) bool {
	return !refused && pending <= max(slowest, slowFactor*usual)
}

// RetryAfter returns when a caller should come back that was refused since the
// store has been out of reach for a while: about as long again. Short outages
// are over by then, and in long ones a caller's few tries reach further.
func RetryAfter(outage time.Duration) time.Duration {
	return min(max(outage, minRetry), maxRetry)
}
