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
	// silent is how long an append may be without an answer before submissions
	// are refused, at least, if the store answers nothing else either. It covers
	// a store that is sixty times slower.
	silent = 600 * time.Millisecond
	// slowest is the same for a store that answers other calls. An append as slow
	// as that and the next one fit into the 3 s that callers wait.
	slowest = 1300 * time.Millisecond
	// answering is how old the store's newest answer may be for it to count as
	// reachable.
	answering = 450 * time.Millisecond
	// slowFactor times the usual time of an append is waited at least.
	slowFactor = 4
	// minRetry and maxRetry bound the time to come back. Four tries with
	// doubled pauses cover outages of up to about 10 s.
	minRetry = time.Second
	maxRetry = 4 * time.Second
)

// Reachable reports whether a store whose newest answer to any call has a given
// age counts as reachable. An instance reads several times in half a second,
// from a slow store too.
func Reachable(age time.Duration) bool { return age < answering }

// Accepts reports whether a submission may wait for the append that follows
// the one in flight. Pending is how long that one has had no answer, usual the
// usual time of an append, and answered the age of the store's newest answer to
// any call: a store that answers others is slow and not silent. Refused says
// that the store refused the last append.
func Accepts(pending, usual, answered time.Duration, refused bool) bool {
	switch {
	case refused:
		return false
	case pending <= max(silent, slowFactor*usual):
		return true
	}
	return Reachable(answered) && pending <= slowest
}

// RetryAfter returns when a caller should come back that was refused since the
// store has been out of reach for a while: about as long again. Short outages
// are over by then, and in long ones a caller's few tries reach further.
func RetryAfter(outage time.Duration) time.Duration {
	return min(max(outage, minRetry), maxRetry)
}
