package burn

import (
	"math"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// ring counts good and bad requests in buckets of equal duration. It keeps the
// latest len(buckets) of these and overwrites older ones.
type ring struct {
	step    time.Duration
	newest  int64 // number of the newest bucket, counted from time 0
	buckets []bucket
}

// bucket uses 32 bits per count, half the memory of 64. The longest buckets span
// about six hours: to exceed the range, one instance would have to answer 190,000
// requests per second for this time. Counts saturate at the limit.
type bucket struct{ good, bad uint32 }

func newRing(step time.Duration, n int) ring {
	return ring{step: step, buckets: make([]bucket, n)}
}

// bucketNumber returns the number of the bucket that contains a time.
func (r *ring) bucketNumber(now model.Time) int64 { return int64(now) / int64(r.step) }

// bucket returns the bucket with a number.
func (r *ring) bucket(n int64) *bucket {
	size := int64(len(r.buckets))
	return &r.buckets[(n%size+size)%size]
}

// advance clears the buckets after the newest one up to now.
func (r *ring) advance(now model.Time) {
	n := r.bucketNumber(now)
	for k := max(r.newest+1, n-int64(len(r.buckets))+1); k <= n; k++ {
		*r.bucket(k) = bucket{}
	}
	r.newest = max(r.newest, n)
}

func (r *ring) add(now model.Time, good bool) {
	r.advance(now)
	b := r.bucket(r.newest)
	c := &b.bad
	if good {
		c = &b.good
	}
	if *c < math.MaxUint32 {
		*c++
	}
}

// sum returns the counts of the buckets that overlap the window that ends at now.
func (r *ring) sum(now model.Time, window time.Duration) (good, bad uint64) {
	r.advance(now)
	n := min(int64((window+r.step-1)/r.step), int64(len(r.buckets)))
	for k := r.newest - n + 1; k <= r.newest; k++ {
		b := r.bucket(k)
		good += uint64(b.good)
		bad += uint64(b.bad)
	}
	return good, bad
}
