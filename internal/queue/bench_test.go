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

// BenchmarkBlockedPass measures a pass over blocked flows. Its cost must not grow with
// the number of waiting items.
func BenchmarkBlockedPass(b *testing.B) {
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

// BenchmarkTaskLifecycle measures one interactive task from arrival to end with 290
// services, and one cancellation.
func BenchmarkTaskLifecycle(b *testing.B) {
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

// policy is a scheduling policy under simulation.
type policy interface {
	push(it *Item)
	// start returns the items that start now, given the number of free slots.
	start(now model.Time, free int) []*Item
	ended(it *Item, ran time.Duration, now model.Time)
}

// queuePolicy is the policy of this package.
type queuePolicy struct{ *Queue }

func (c queuePolicy) push(it *Item) { c.Push(it) }
func (c queuePolicy) start(now model.Time, free int) (out []*Item) {
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
func (c queuePolicy) ended(it *Item, ran time.Duration, now model.Time) {
	c.RecordEnd(it.Task)
	c.RecordRunTime(it.Service, it.Operation, ran, now)
}

// fifoPolicy is the baseline: one queue for all items, in order of arrival.
type fifoPolicy struct{ items []*Item }

func (o *fifoPolicy) push(it *Item) { o.items = append(o.items, it) }
func (o *fifoPolicy) start(_ model.Time, free int) []*Item {
	n := min(free, len(o.items))
	out := o.items[:n]
	o.items = o.items[n:]
	return out
}
func (*fifoPolicy) ended(*Item, time.Duration, model.Time) {}

// simulation is one run in virtual time: slots serve n short tasks of 40 to 160 ms that
// arrive at random in bursts of the given size, at a load given as a fraction of the
// slots' capacity. With stragglers, 5% of the tasks run 100 times longer; ownOperation
// gives them an operation of their own.
type simulation struct {
	slots, n, burst          int
	load                     float64
	stragglers, ownOperation bool
}

// p99 runs the simulation and returns the 99th percentile of the wait of short tasks
// that arrive in the second half, after run times have been learned. A task that never
// starts counts as waiting for an hour.
func (x simulation) p99(p policy) time.Duration {
	rng := rand.New(rand.NewSource(7))
	ends := heap[*taskEnd]{less: func(a, b *taskEnd) bool { return a.at < b.at || a.at == b.at && a.it.Task < b.it.Task }}
	free, now, mean := x.slots, model.Time(0), 100*time.Millisecond
	waits := map[*Item]time.Duration{}
	runUntil := func(t model.Time) {
		for start := true; start || len(ends.values) > 0 && ends.values[0].at <= t; start = false {
			if !start || len(ends.values) > 0 && ends.values[0].at <= t {
				e := ends.pop()
				now = e.at
				free++
				p.ended(e.it, e.ran, now)
			}
			for _, it := range p.start(now, free) {
				ran := it.Data.(time.Duration)
				ends.push(&taskEnd{it, now.Add(ran), ran})
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
			runUntil(now.Add(time.Duration(rng.ExpFloat64() * gap * float64(x.burst))))
		}
		it := item(fmt.Sprint(i), model.ClassInteractive, "x", now, 0)
		ran := 40*time.Millisecond + time.Duration(rng.Int63n(int64(120*time.Millisecond)))
		if long := rng.Intn(20) == 0; long && x.stragglers {
			ran *= 100
			if x.ownOperation {
				it.Operation = "long"
			}
		} else if i > x.n/2 && !long {
			waits[it] = time.Hour
		}
		it.Data = ran
		p.push(it)
		if i%x.burst == x.burst-1 {
			runUntil(now)
		}
	}
	runUntil(now.Add(20 * time.Second))
	all := make([]time.Duration, 0, len(waits))
	for _, w := range waits {
		all = append(all, w)
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

// taskEnd is the scheduled end of one running task.
type taskEnd struct {
	it  *Item
	at  model.Time
	ran time.Duration
}

// newQueuePolicy returns this package's policy with the given number of slots.
func newQueuePolicy(slots int) policy {
	q := New(Config{})
	q.SetTotalSlots(int64(slots))
	return queuePolicy{q}
}

// TestStragglersDoNotDelayShortWork guards against short work that waits behind
// stragglers of another operation: its p99 wait may be at most 1.5 times that without
// stragglers.
func TestStragglersDoNotDelayShortWork(t *testing.T) {
	is := is.New(t)
	x := simulation{slots: 400, n: 60000, burst: 1200, load: 0.4}
	without := x.p99(newQueuePolicy(x.slots))
	x.stragglers, x.ownOperation = true, true
	with, baseline := x.p99(newQueuePolicy(x.slots)), x.p99(&fifoPolicy{})
	is.True(without > 0 && with <= without*3/2)
	is.True(baseline > 10*without) // the baseline fails at this load
}

// BenchmarkStragglers reports the p99 wait of short work in virtual time, for this
// package's policy and for the baseline.
func BenchmarkStragglers(b *testing.B) {
	for _, base := range []simulation{
		{burst: 1, load: 0.15}, {burst: 1200, load: 0.1}, // total load including stragglers is below capacity
		{burst: 1, load: 0.7}, {burst: 1200, load: 0.4}, // load of the stragglers alone exceeds capacity
	} {
		for _, x := range []simulation{{}, {stragglers: true, ownOperation: true}, {stragglers: true}} {
			x.slots, x.n, x.load, x.burst = 400, 200000, base.load, base.burst
			b.Run(fmt.Sprintf("load=%v/burst=%v/stragglers=%v/named=%v", x.load, x.burst, x.stragglers, x.ownOperation), func(b *testing.B) {
				var queueP99, fifoP99 time.Duration
				for b.Loop() {
					queueP99, fifoP99 = x.p99(newQueuePolicy(x.slots)), x.p99(&fifoPolicy{})
				}
				b.ReportMetric(float64(queueP99.Microseconds())/1000, "ms-p99")
				b.ReportMetric(float64(fifoP99.Microseconds())/1000, "ms-p99-onequeue")
			})
		}
	}
}
