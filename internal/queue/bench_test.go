package queue

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// BenchmarkPass measures a pass over blocked flows, which must not grow with the
// number of waiting items.
func BenchmarkPass(b *testing.B) {
	for _, flows := range []int{10, 290, 2048} {
		for _, items := range []int{5000, 100000} {
			b.Run(fmt.Sprintf("flows=%d/items=%d", flows, items), func(b *testing.B) {
				q := New(Config{})
				for n := range items {
					q.Push(item(fmt.Sprint(n), model.ClassBatch, fmt.Sprint("s", n%flows), 0, model.Time(n)))
				}
				b.ReportAllocs()
				for b.Loop() {
					q.Schedule(0, func(*Item) Decision { return Blocked })
				}
			})
		}
	}
}

// BenchmarkTask measures one interactive task from arrival to end with 290
// services, and a cancellation.
func BenchmarkTask(b *testing.B) {
	ids := make([]model.TaskID, 1<<16)
	services := make([]string, 290)
	for i := range ids {
		ids[i] = model.TaskID(fmt.Sprint(i))
	}
	for i := range services {
		services[i] = fmt.Sprint("s", i)
	}
	b.Run("run", func(b *testing.B) {
		q := New(Config{})
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			now := model.Time(i) * second / 1000
			it := item(string(ids[i%len(ids)]), model.ClassInteractive, services[i%290], now, now+second)
			q.RecordArrival(it, now)
			q.Push(it)
			q.Schedule(now, func(it *Item) Decision { q.RecordStart(it, now); return Placed })
			q.RecordRunTime(it.Service, "", time.Duration(i%1000), now)
			q.RecordEnd(it.Task)
		}
	})
	b.Run("cancel", func(b *testing.B) {
		q := New(Config{})
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			q.Push(item(string(ids[i%len(ids)]), model.ClassInteractive, services[i%290], 0, model.Time(i+1)))
			if i >= 1000 {
				q.Remove(ids[(i-1000)%len(ids)])
			}
		}
	})
}

// policy is a queue under the experiment.
type policy interface {
	push(it *Item)
	// next returns the items that start now, given the free slots.
	next(now model.Time, free int) []*Item
	ended(it *Item, ran time.Duration, now model.Time)
}

// classes is the policy of this package.
type classes struct{ *Queue }

func (c classes) push(it *Item) { c.Push(it) }
func (c classes) next(now model.Time, free int) (out []*Item) {
	c.Schedule(now, func(it *Item) Decision {
		if len(out) == free {
			return StopPass
		}
		out = append(out, it)
		c.RecordStart(it, now)
		return Placed
	})
	return out
}
func (c classes) ended(it *Item, ran time.Duration, now model.Time) {
	c.RecordEnd(it.Task)
	c.RecordRunTime(it.Service, it.Operation, ran, now)
}

// oneQueue is the baseline: arrival order, one queue for everything.
type oneQueue struct{ items []*Item }

func (o *oneQueue) push(it *Item) { o.items = append(o.items, it) }
func (o *oneQueue) next(_ model.Time, free int) []*Item {
	n := min(free, len(o.items))
	out := o.items[:n]
	o.items = o.items[n:]
	return out
}
func (*oneQueue) ended(*Item, time.Duration, model.Time) {}

// experiment is one run in virtual time: slots serve n short tasks of 40 to
// 160 ms that arrive at random, burst at a time, at a part load of the slots'
// rate. With stragglers, a twentieth of the tasks run 100 times longer; named says whether
// they are an operation of their own.
type experiment struct {
	slots, n, burst   int
	load              float64
	stragglers, named bool
}

// p99 runs the experiment and returns the 99th percentile of the wait of short
// tasks that arrived in the second half, after run times were learned. Tasks
// that never started count as waiting until the end.
func (x experiment) p99(p policy) time.Duration {
	rng := rand.New(rand.NewSource(7))
	ends := heap[*ending]{less: func(a, b *ending) bool { return a.at < b.at || a.at == b.at && a.it.Task < b.it.Task }}
	free, now, mean := x.slots, model.Time(0), 100*time.Millisecond
	waits := map[*Item]time.Duration{}
	until := func(t model.Time) {
		for start := true; start || len(ends.a) > 0 && ends.a[0].at <= t; start = false {
			if !start || len(ends.a) > 0 && ends.a[0].at <= t {
				e := ends.pop()
				now = e.at
				free++
				p.ended(e.it, e.ran, now)
			}
			for _, it := range p.next(now, free) {
				ran := it.Data.(time.Duration)
				ends.push(&ending{it, now.Add(ran), ran})
				free--
				if _, ok := waits[it]; ok {
					waits[it] = now.Sub(it.Enqueued)
				}
			}
		}
		now = t
	}
	gap := float64(mean) / float64(x.slots) / x.load
	for i := range x.n {
		if i%x.burst == 0 {
			until(now.Add(time.Duration(rng.ExpFloat64() * gap * float64(x.burst))))
		}
		it := item(fmt.Sprint(i), model.ClassInteractive, "x", now, 0)
		ran := 40*time.Millisecond + time.Duration(rng.Int63n(int64(120*time.Millisecond)))
		if long := rng.Intn(20) == 0; long && x.stragglers {
			ran *= 100
			if x.named {
				it.Operation = "long"
			}
		} else if i > x.n/2 && !long {
			waits[it] = time.Hour
		}
		it.Data = ran
		p.push(it)
		if i%x.burst == x.burst-1 {
			until(now)
		}
	}
	until(now.Add(20 * time.Second))
	all := make([]time.Duration, 0, len(waits))
	for _, w := range waits {
		all = append(all, w)
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

// ending is the end of one running task.
type ending struct {
	it  *Item
	at  model.Time
	ran time.Duration
}

// newClasses returns the package's policy for an experiment.
func newClasses(slots int) policy {
	q := New(Config{})
	q.SetTotalSlots(int64(slots))
	return classes{q}
}

// TestStragglersDoNotDelayShortWork guards against short work that waits behind
// stragglers of another operation: its p99 wait may be 1.5 times that without.
func TestStragglersDoNotDelayShortWork(t *testing.T) {
	is := is.New(t)
	x := experiment{slots: 400, n: 60000, burst: 1200, load: 0.4}
	without := x.p99(newClasses(x.slots))
	x.stragglers, x.named = true, true
	with, baseline := x.p99(newClasses(x.slots)), x.p99(&oneQueue{})
	is.True(without > 0 && with <= without*3/2)
	is.True(baseline > 10*without) // the load is one that the baseline does not serve
}

// BenchmarkStragglers reports the p99 wait of short work in virtual time.
func BenchmarkStragglers(b *testing.B) {
	for _, base := range []experiment{
		{burst: 1, load: 0.15}, {burst: 1200, load: 0.1}, // all work together is below the capacity
		{burst: 1, load: 0.7}, {burst: 1200, load: 0.4}, // stragglers alone are above the capacity
	} {
		for _, x := range []experiment{{}, {stragglers: true, named: true}, {stragglers: true}} {
			x.slots, x.n, x.load, x.burst = 400, 200000, base.load, base.burst
			b.Run(fmt.Sprintf("load=%v/burst=%v/stragglers=%v/named=%v", x.load, x.burst, x.stragglers, x.named), func(b *testing.B) {
				var own, one time.Duration
				for b.Loop() {
					own, one = x.p99(newClasses(x.slots)), x.p99(&oneQueue{})
				}
				b.ReportMetric(float64(own.Microseconds())/1000, "ms-p99")
				b.ReportMetric(float64(one.Microseconds())/1000, "ms-p99-onequeue")
			})
		}
	}
}
