// Package admission decides whether a submission can be stored in time, and when a
// refused caller is to retry.
//
// It handles an outage of the store under full load. Without it, hundreds of callers a
// second would wait for the store until their deadlines, and callers whose append is in
// doubt could not learn its outcome. A submission that has not been sent to the store
// yet is refused at once, and certainly not stored.
package admission

import "time"

const (
	// silentStoreLimit is the shortest time for which an append may be unanswered
	// before submissions are refused, if the store answers no other call either. It
	// covers a store that is sixty times slower than usual.
	silentStoreLimit = 600 * time.Millisecond
	// slowStoreLimit is the corresponding limit for a store that answers other calls.
	// An append that takes this long and the next one fit into the 3 s that callers
	// wait.
	slowStoreLimit = 1300 * time.Millisecond
	// maxReachableAge is the greatest age of the store's newest answer at which it
	// counts as reachable.
	maxReachableAge = 450 * time.Millisecond
	// appendTimeFactor times the usual time of an append is always allowed for an
	// answer.
	appendTimeFactor = 4
	// minRetryAfter and maxRetryAfter bound the retry delay. Four attempts with doubled
	// delays cover outages of up to about 10 s.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Reachable reports whether a store counts as reachable whose newest answer to any call
// has the given age. An instance reads several times in half a second, also from a slow
// store.
func Reachable(age time.Duration) bool { return age < maxReachableAge }

// Accepts reports whether a submission may wait for the append after the one in flight.
// Pending is how long the append in flight has been unanswered, usualAppend the usual
// time of an append, and lastAnswerAge the age of the store's newest answer to any
// call: a store that answers other calls is slow but not unreachable. The argument
// lastRefused says that the store refused the last append.
func Accepts(pending, usualAppend, lastAnswerAge time.Duration, lastRefused bool) bool {
	switch {
	case lastRefused:
		return false
	case pending <= max(silentStoreLimit, appendTimeFactor*usualAppend):
		return true
	}
	return Reachable(lastAnswerAge) && pending <= slowStoreLimit
}

// RetryAfter returns the delay after which a caller is to retry that was refused
// because the store has been unreachable for the given time. The delay is about as long
// as the outage so far: short outages are over by then, and in long ones a caller's few
// attempts cover more time.
func RetryAfter(outage time.Duration) time.Duration {
	return min(max(outage, minRetryAfter), maxRetryAfter)
}
