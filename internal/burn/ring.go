package burn

import (
	"math"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// ring counts good and bad requests in buckets of equal length. It covers the
// latest len(buckets) of them; older ones are overwritten.
type ring struct {
	step    time.Duration
	newest  int64 // number of the newest bucket since time 0
	buckets []bucket
}

// bucket uses 32 bits a count, which halves the memory. The largest buckets
// span about six hours, in which one instance would have to answer 190,000
// requests a second to exceed the range; counts stop there.
type bucket struct{ good, bad uint32 }

func newRing(step time.Duration, n int) ring {
	return ring{step: step, buckets: make([]bucket, n)}
}

// at returns the number of the bucket for a time, and the place of a number.
func (r *ring) at(now model.Time) int64 { return int64(now) / int64(r.step) }

func (r *ring) place(n int64) *bucket {
	size := int64(len(r.buckets))
	return &r.buckets[(n%size+size)%size]
}

// advance empties the buckets between the newest and now.
func (r *ring) advance(now model.Time) {
	n := r.at(now)
	for k := max(r.newest+1, n-int64(len(r.buckets))+1); k <= n; k++ {
		*r.place(k) = bucket{}
	}
	r.newest = max(r.newest, n)
}

func (r *ring) add(now model.Time, good bool) {
	r.advance(now)
	b := r.place(r.newest)
	c := &b.bad
	if good {
		c = &b.good
	}
	if *c < math.MaxUint32 {
		*c++
	}
}

// sum returns the counts of the buckets that overlap the window before now.
func (r *ring) sum(now model.Time, window time.Duration) (good, bad uint64) {
	r.advance(now)
	n := min(int64((window+r.step-1)/r.step), int64(len(r.buckets)))
	for k := r.newest - n + 1; k <= r.newest; k++ {
		b := r.place(k)
		good += uint64(b.good)
		bad += uint64(b.bad)
	}
	return good, bad
}
