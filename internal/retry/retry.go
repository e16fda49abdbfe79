// Package retry bounds how often failed work is tried again: a budget relative
// to first attempts, and a growing delay with jitter.
//
// The backoff of cenkalti/backoff keeps state and draws its own random
// numbers, so it doesn't fit packages whose effects must be replayable.
package retry

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// window is the span over which retries are compared with first attempts.
	// It smooths bursts, and is short enough that a quiet hour earns no burst
	// of retries.
	window = 10 * time.Second
	// buckets is the resolution of the window.
	buckets = 10
	// minRetries per window are allowed at any traffic, so that a service with
	// few requests can retry at all.
	minRetries = 3

	// backoffBase is the mean of the first delay times two. It is near the
	// time that a placement takes.
	backoffBase = 20 * time.Millisecond
	// backoffCap keeps several attempts within a usual deadline.
	backoffCap = time.Second
)

type bucket struct {
	slot    int64 // number of the bucket's interval since the clock's start
	firsts  int
	retries int
}

// Budget limits one service's retries to a share of its first attempts over a
// sliding window. It is not safe for concurrent use.
type Budget struct {
	percent int
	ring    [buckets]bucket
}

// NewBudget returns a budget of retryPercent retries per hundred first
// attempts.
func NewBudget(retryPercent int) *Budget { return &Budget{percent: retryPercent} }

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(now model.Time) { b.at(now).firsts++ }

// AllowRetry reports whether a retry is within the budget, and counts it if so.
func (b *Budget) AllowRetry(now model.Time) bool {
	cur := b.at(now)
	firsts, retries := 0, 0
	for _, k := range b.ring {
		if cur.slot-k.slot < buckets {
			firsts += k.firsts
			retries += k.retries
		}
	}
	if retries >= minRetries && (retries+1)*100 > firsts*b.percent {
		return false
	}
	cur.retries++
	return true
}

// at returns the bucket of a time, emptied if it held an older interval.
func (b *Budget) at(now model.Time) *bucket {
	slot := int64(now) / int64(window/buckets)
	k := &b.ring[((slot%buckets)+buckets)%buckets]
	if k.slot != slot {
		*k = bucket{slot: slot}
	}
	return k
}

// Backoff returns the delay before a retry: rnd, in [0,1), of a limit that
// doubles from the first retry (attempt 1) up to a cap.
func Backoff(attempt int, rnd float64) time.Duration {
	limit := backoffBase
	for i := 1; i < attempt && limit < backoffCap; i++ {
		limit *= 2
	}
	return time.Duration(rnd * float64(min(limit, backoffCap)))
}
