// Package retry limits retries of failed work: by a budget relative to the number of
// first attempts, and by an exponential backoff with jitter.
//
// cenkalti/backoff keeps state and draws its own random numbers, so it can't be used
// by packages whose effects must be replayable.
package retry

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// budgetWindow is the span over which retries are compared with first attempts.
	// It smooths bursts, and is short enough that a period without retries doesn't
	// save up budget for a burst of them.
	budgetWindow = 10 * time.Second
	// windowBuckets is the number of buckets in the window.
	windowBuckets = 10
	// minRetries per window are allowed at any request rate, so that a service with
	// few requests can retry at all.
	minRetries = 3

	// backoffBase is the upper limit of the first delay, whose mean is half of it. It
	// is near the time that a placement takes.
	backoffBase = 20 * time.Millisecond
	// backoffCap is short enough for several attempts within a usual deadline.
	backoffCap = time.Second
)

type bucket struct {
	interval      int64 // index of the bucket's interval since the start of the clock
	firstAttempts int
	retries       int
}

// Budget limits one service's retries to a share of its first attempts over a
// sliding window. It is not safe for concurrent use.
type Budget struct {
	percent int
	buckets [windowBuckets]bucket
}

// NewBudget returns a budget of retryPercent retries per hundred first
// attempts.
func NewBudget(retryPercent int) *Budget { return &Budget{percent: retryPercent} }

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(now model.Time) { b.bucketAt(now).firstAttempts++ }

// AllowRetry reports whether a retry is within the budget. If so, it counts the
// retry.
func (b *Budget) AllowRetry(now model.Time) bool {
	cur := b.bucketAt(now)
	firstAttempts, retries := 0, 0
	for _, k := range b.buckets {
		if cur.interval-k.interval < windowBuckets {
			firstAttempts += k.firstAttempts
			retries += k.retries
		}
	}
	if retries >= minRetries && (retries+1)*100 > firstAttempts*b.percent {
		return false
	}
	cur.retries++
	return true
}

// bucketAt returns the bucket of a time. It resets a bucket of an older interval.
func (b *Budget) bucketAt(now model.Time) *bucket {
	interval := int64(now) / int64(budgetWindow/windowBuckets)
	k := &b.buckets[((interval%windowBuckets)+windowBuckets)%windowBuckets]
	if k.interval != interval {
		*k = bucket{interval: interval}
	}
	return k
}

// Backoff returns the delay before a retry: the fraction rnd, in [0,1), of a limit
// that doubles with each attempt, from backoffBase at the first retry (attempt 1) up
// to backoffCap.
func Backoff(attempt int, rnd float64) time.Duration {
	limit := backoffBase
	for i := 1; i < attempt && limit < backoffCap; i++ {
		limit *= 2
	}
	return time.Duration(rnd * float64(min(limit, backoffCap)))
}
