package queue

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gentianpick/gentianpick/internal/model"
)

// TestMain fixes the seed of the property tests, so that a run is repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20240607")
	}
	_ = flag.Set("rapid.nofailfile", "true") // the seed is enough to repeat a failure
	os.Exit(m.Run())
}

// second is one second of model time.
const second = model.Time(time.Second)

// item returns an item of one slot. Its job is the service's name.
func item(id string, class model.Class, service string, enqueued, deadline model.Time) *Item {
	return &Item{Task: model.TaskID(id), Job: model.JobID(service), Service: service, Class: class,
		Resources: model.Resources{MilliCPU: 1000, Slots: 1}, Enqueued: enqueued, Deadline: deadline}
}

// drain places everything and returns the tasks in order.
func drain(q *Queue, now model.Time) (got []model.TaskID) {
	q.Schedule(now, func(it *Item) Decision { got = append(got, it.Task); return Placed })
	return got
}

// finish records n finished runs of a service.
func finish(q *Queue, service string, n int, ran time.Duration) {
	for range n {
		q.RecordRunTime(service, "", ran, 0)
	}
}

// TestOrder guards against an order that differs from the policy's.
func TestOrder(t *testing.T) {
	const i, s, g, b = model.ClassInteractive, model.ClassService, model.ClassGang, model.ClassBatch
	for _, tt := range []struct {
		name  string
		setup func(*Queue)
		items []*Item
		want  []model.TaskID
	}{
		{"classes", nil,
			[]*Item{item("b", b, "b", 0, 1), item("g", g, "g", 0, 1), item("s", s, "s", 0, 0), item("i", i, "i", 9, 10*second)},
			[]model.TaskID{"i", "s", "g", "b"}},
		{"batch by deadline across services", nil,
			[]*Item{item("b1", b, "x", 0, 30), item("b2", b, "y", 0, 20), item("b3", b, "x", 0, 10), item("b4", b, "z", 0, 0)},
			[]model.TaskID{"b3", "b2", "b1", "b4"}},
		{"raised before and after push", func(q *Queue) { q.SetPrioritized("z", true); q.SetPrioritized("y", true); q.SetPrioritized("y", false) },
			[]*Item{item("b1", b, "x", 0, 30), item("b2", b, "y", 0, 20), item("b3", b, "z", 0, 40)},
			[]model.TaskID{"b3", "b2", "b1"}},
		{"no deadline moves up with time", nil,
			[]*Item{item("new", b, "x", 0, 25*3600*second), item("old", b, "y", 0, 0)},
			[]model.TaskID{"old", "new"}},
		{"short before long", func(q *Queue) { finish(q, "long", 9, time.Second); finish(q, "short", 9, time.Millisecond) },
			[]*Item{item("l", i, "long", 0, 0), item("s1", i, "short", 1, 0), item("s2", i, "short", second/2, 0)},
			[]model.TaskID{"s1", "s2", "l"}},
		{"long work that waited", func(q *Queue) { finish(q, "long", 9, time.Second); finish(q, "short", 9, time.Millisecond) },
			[]*Item{item("l", i, "long", 0, 0), item("s", i, "short", 2*second, 0)},
			[]model.TaskID{"l", "s"}},
		{"unknown counts as typical", func(q *Queue) { finish(q, "long", 3, time.Second); finish(q, "short", 9, time.Millisecond) },
			[]*Item{item("l", i, "long", 0, 0), item("u", i, "new", 0, 0), item("s", i, "short", 1, 0)},
			[]model.TaskID{"u", "s", "l"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, q := is.New(t), New(Config{})
			for _, it := range tt.items {
				q.stats.learnClass(it.Service, it.Class)
			}
			if tt.setup != nil {
				tt.setup(q)
			}
			for _, it := range tt.items {
				q.Push(it)
				q.Push(it) // a repeated push changes nothing
			}
			is.Equal(q.Len(), len(tt.items))
			is.Equal(drain(q, 0), tt.want)
			is.Equal(q.Len(), 0)
		})
	}
}

// TestRaise guards against a job whose waiting items stay where they were when
// it is raised or no longer is, and against counting them twice.
func TestRaise(t *testing.T) {
	is, q := is.New(t), New(Config{})
	for n := range 3 {
		q.Push(item(fmt.Sprint("x", n), model.ClassBatch, "x", 0, 10))
		q.Push(item(fmt.Sprint("y", n), model.ClassBatch, "y", 0, 20))
	}
	q.Remove("y1")
	q.SetPrioritized("y", true)
	is.Equal(q.WaitingInJob("y"), 2)
	is.Equal(q.WaitingInClass(model.ClassBatch), 5)
	q.Schedule(0, func(it *Item) Decision { is.Equal(it.Task, model.TaskID("y0")); return StopPass })
	q.SetPrioritized("y", false)
	is.Equal(drain(q, 0), []model.TaskID{"x0", "x1", "x2", "y0", "y2"})
	is.Equal(q.WaitingInJob("y"), 0)
}

// TestBlocked guards against a pass that offers more than one item of a demand
// that does not fit, or that lets it hold up another service, operation or a
// smaller demand.
func TestBlocked(t *testing.T) {
	is, q := is.New(t), New(Config{})
	for n := range 1000 {
		q.Push(item(fmt.Sprint("big", n), model.ClassBatch, "big", 0, 1))
	}
	other := item("op", model.ClassBatch, "big", 0, 9)
	other.Operation = "other"
	small := item("small", model.ClassBatch, "big", 0, 9)
	small.Resources.MilliCPU = 1
	q.Push(other)
	q.Push(small)
	q.Push(item("drop", model.ClassBatch, "dropped", 0, 9))
	var tried []model.TaskID
	n := q.Schedule(0, func(it *Item) Decision {
		tried = append(tried, it.Task)
		switch {
		case it.Task == "drop":
			return Dropped
		case it.Operation == "" && it.Resources.MilliCPU > 1:
			return Blocked
		}
		return Placed
	})
	is.Equal(tried, []model.TaskID{"big0", "op", "small", "drop"})
	is.Equal(n, 2)
	is.Equal(q.Len(), 1000)
	q.Push(item("other", model.ClassBatch, "other", 0, 9))
	n = q.Schedule(0, func(*Item) Decision { // may remove and add work of any flow
		q.Remove("other")
		q.Push(item("late", model.ClassBatch, "big", 0, 0))
		return Blocked
	})
	is.Equal(n, 0)
	is.Equal(q.Len(), 1001)
}

// TestCancellationWave guards against a wave of cancellations that leaves
// entries behind in memory or offers cancelled work.
func TestCancellationWave(t *testing.T) {
	is, q := is.New(t), New(Config{})
	const n = 100000
	for k := range n {
		q.Push(item(fmt.Sprint(k), model.ClassInteractive, "x", 0, model.Time(k+1)))
	}
	f := q.items["0"].flow
	for k := range n {
		if k%1000 != 999 {
			is.True(q.Remove(model.TaskID(fmt.Sprint(k))))
		}
	}
	is.True(!q.Remove("0"))
	is.Equal(q.WaitingInClass(model.ClassInteractive), n/1000)
	is.True(len(f.a) <= 2*n/1000+compactAt)
	is.True(len(q.deadlines.a) <= 2*n/1000+compactAt)
	is.True(len(q.jobs["x"].entries) <= 2*n/1000+compactAt)
	is.Equal(len(drain(q, 0)), n/1000)
	is.Equal(q.demand.waiting, model.Resources{})
}

// TestExpire guards against expiring batch work, work placed already or work
// whose deadline has not passed.
func TestExpire(t *testing.T) {
	is, q := is.New(t), New(Config{})
	for k, d := range []model.Time{30, 10, 20, 0} {
		q.Push(item(fmt.Sprint("i", k), model.ClassInteractive, "x", 0, d))
	}
	q.Push(item("b", model.ClassBatch, "y", 0, 5))
	q.Remove("i2")
	var got []model.TaskID
	q.Expire(20, func(it *Item) { got = append(got, it.Task) })
	is.Equal(got, []model.TaskID{"i1"})
	is.Equal(drain(q, 20), []model.TaskID{"i0", "i3", "b"})
	q.Expire(model.Never, func(*Item) { t.Fatal("a placed item expired") })
}

// TestStragglerShare guards against stragglers, expected or found out while
// they run, that hold more than their share, and against holding up short or
// raised work because of it.
func TestStragglerShare(t *testing.T) {
	is, q := is.New(t), New(Config{MaxStragglerShare: 0.25})
	q.SetTotalSlots(40) // so stragglers may hold 10
	for _, s := range []string{"short", "long", "nightly"} {
		q.stats.learnClass(s, model.ClassBatch)
	}
	finish(q, "short", 100, time.Second)
	finish(q, "long", 5, 100*time.Second)
	n := 0
	push := func(service string, k int) {
		for range k {
			n++
			q.Push(item(fmt.Sprint(service, n), model.ClassBatch, service, 0, 1))
		}
	}
	run := func(now model.Time) map[string]int {
		got := map[string]int{}
		q.Schedule(now, func(it *Item) Decision { got[it.Service]++; q.RecordStart(it, now); return Placed })
		return got
	}
	push("long", 30)
	push("short", 4)
	is.Equal(run(0), map[string]int{"long": 10, "short": 4})
	for k := 1; k <= 3; k++ {
		q.RecordEnd(model.TaskID(fmt.Sprint("long", k)))
	}
	is.Equal(q.StragglerSlots(), int64(7))
	// Two short tasks have run too long by now; one that ended does not count.
	q.RecordEnd("short31")
	q.RecordEnd("short32")
	is.Equal(run(11*second), map[string]int{"long": 1})
	is.Equal(q.StragglerSlots(), int64(10))
	q.RecordEnd("short33")
	q.RecordEnd("short34")
	is.Equal(q.StragglerSlots(), int64(8))
	q.SetPrioritized("long", true)
	is.Equal(run(11*second), map[string]int{"long": 19})
	// A pass counts what it places even if the caller notes the starts later.
	q = New(Config{MaxStragglerShare: 0.25})
	q.SetTotalSlots(40)
	push("short", 1)
	push("long", 30)
	finish(q, "short", 100, time.Second)
	finish(q, "long", 5, 100*time.Second)
	is.Equal(len(drain(q, 0)), 11)
	// A straggler larger than the share still runs alone.
	q = New(Config{MaxStragglerShare: 0.25})
	q.SetTotalSlots(40)
	push("short", 1)
	finish(q, "short", 100, time.Second)
	finish(q, "long", 5, 100*time.Second)
	q.stats.learnClass("long", model.ClassBatch)
	wide := item("wide", model.ClassBatch, "long", 0, 0)
	wide.Resources.Slots = 20
	q.Push(wide)
	is.Equal(len(drain(q, 0)), 2)
}

// TestNewOperation guards against a new operation of long tasks that takes all
// slots before its first task ends, and against taking one with few stragglers
// for such an operation.
func TestNewOperation(t *testing.T) {
	is, q := is.New(t), New(Config{})
	q.stats.learnClass("short", model.ClassBatch)
	finish(q, "short", 100, time.Second)
	for k := range 8 {
		q.RecordStart(item(fmt.Sprint("n", k), model.ClassBatch, "new", 0, 0), 0)
	}
	key := flowKey{class: model.ClassBatch, service: "new"}
	q.running.promote(q, 10*second)
	is.True(!q.straggles(key))
	q.running.promote(q, 10*second+1)
	is.True(q.straggles(key))
	is.Equal(q.TypicalRunTime("new", ""), time.Duration(0)) // nothing observed yet
	finish(q, "new", 8, time.Second)
	is.True(!q.straggles(key))
}

// TestNothingStarves guards against work that is never offered however long it
// waits, and against an order that depends on map iteration.
func TestNothingStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, twin := New(Config{}), New(Config{})
		q.SetTotalSlots(4)
		twin.SetTotalSlots(4)
		classes := []model.Class{model.ClassInteractive, model.ClassService, model.ClassGang, model.ClassBatch}
		live, n, now := map[model.TaskID]bool{}, 0, model.Time(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				k := rapid.IntRange(0, 7).Draw(t, "service")
				it := item(fmt.Sprint(n), classes[k%4], fmt.Sprint("s", k), now, now.Add(rapid.Custom(duration).Draw(t, "d")))
				q.Push(it)
				twin.Push(it)
				live[it.Task] = true
			},
			"remove": func(t *rapid.T) {
				id := model.TaskID(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "task")))
				if q.Remove(id) != live[id] || twin.Remove(id) != live[id] {
					t.Fatalf("Remove(%s) is not %v", id, live[id])
				}
				delete(live, id)
			},
			"raise": func(t *rapid.T) {
				j, on := model.JobID(fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "job"))), rapid.Bool().Draw(t, "on")
				q.SetPrioritized(j, on)
				twin.SetPrioritized(j, on)
			},
			"finished": func(t *rapid.T) {
				s, d := fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "service")), rapid.Custom(duration).Draw(t, "d")
				q.RecordRunTime(s, "", d, now)
				twin.RecordRunTime(s, "", d, now)
			},
			"schedule": func(t *rapid.T) {
				k := rapid.IntRange(0, 5).Draw(t, "fit")
				pass := func(q *Queue) (got []model.TaskID) {
					q.Schedule(now, func(it *Item) Decision {
						if len(got) == k {
							return Blocked
						}
						got = append(got, it.Task)
						q.RecordStart(it, now)
						return Placed
					})
					return got
				}
				a, b := pass(q), pass(twin)
				if fmt.Sprint(a) != fmt.Sprint(b) {
					t.Fatalf("the same history gave %v and %v", a, b)
				}
				for _, id := range a {
					if !live[id] {
						t.Fatalf("%s was offered twice or after its removal", id)
					}
					delete(live, id)
					if rapid.Bool().Draw(t, "ends") {
						q.RecordEnd(id)
						twin.RecordEnd(id)
					}
				}
			},
			"": func(t *rapid.T) {
				now += second
				sum := 0
				for _, c := range classes {
					sum += q.WaitingInClass(c)
				}
				if q.Len() != len(live) || sum != len(live) {
					t.Fatalf("%d wait, Len %d, sum of classes %d", len(live), q.Len(), sum)
				}
			},
		})
		for id := range q.running.byTask {
			q.RecordEnd(id)
		}
		// One slot is enough for everything to be placed in the end.
		for range n + 1 {
			q.Schedule(now, func(it *Item) Decision { delete(live, it.Task); return Placed })
		}
		if len(live) != 0 || q.Len() != 0 || q.StragglerSlots() != 0 || q.running.drain != 0 || q.running.use != (model.Resources{}) {
			t.Fatalf("left over: %v, %d stragglers, drain %d", live, q.StragglerSlots(), q.running.drain)
		}
	})
}

// duration draws a run time over five orders of magnitude.
func duration(t *rapid.T) time.Duration {
	return time.Millisecond << rapid.IntRange(0, 17).Draw(t, "log2")
}

// TestBounds guards against statistics and flows that grow with the number of
// operation names that callers send, and against keeping tasks that ended.
func TestBounds(t *testing.T) {
	is, q := is.New(t), New(Config{MaxOperations: 10, MaxFlows: 10})
	for n := range 100 {
		it := item(fmt.Sprint(n), model.ClassBatch, "x", 0, 1)
		it.Operation = fmt.Sprint("op", n)
		q.Push(it)
		q.RecordRunTime("x", it.Operation, time.Second, 0)
	}
	is.Equal(len(q.stats.ops), 10)
	is.Equal(q.stats.recent.Len(), 10)
	is.Equal(len(q.flows), 11)
	is.Equal(q.TypicalRunTime("x", "op99"), time.Second)
	is.Equal(q.TypicalRunTime("x", "op0"), time.Duration(0))
	is.Equal(len(drain(q, 0)), 100)
	drain(q, 0)
	is.Equal(len(q.flows), 0)
	q.RecordStart(item("first", model.ClassBatch, "new", 0, 0), 0)
	for n := range 1000 {
		q.RecordStart(item(fmt.Sprint(n), model.ClassBatch, "new", 0, 0), 0)
		q.RecordEnd(model.TaskID(fmt.Sprint(n)))
		drain(q, 0)
	}
	is.True(len(q.running.started[model.ClassBatch]) <= compactAt+2)
}

// TestPredictions guards against a headroom that is late or vanishes at once, a
// predicted wait without evidence, and a forecast that ignores the run time.
func TestPredictions(t *testing.T) {
	is, q := is.New(t), New(Config{})
	probe := item("p", model.ClassInteractive, "x", 0, 0)
	is.Equal(q.PredictedWait(probe, 0, model.Resources{}), time.Duration(0)) // no evidence
	is.Equal(q.Headroom(0), model.Resources{})
	q.stats.learnClass("x", model.ClassInteractive)
	finish(q, "x", 10, time.Second)
	for n := range 20 {
		it := item(fmt.Sprint(n), model.ClassInteractive, "x", 0, 0)
		q.RecordArrival(it, 0)
		if n < 10 {
			q.RecordStart(it, 0)
		} else {
			q.Push(it)
		}
	}
	// Ten tasks of a second run and ten wait; ten end each second.
	is.Equal(q.PredictedWait(probe, 0, model.Resources{}), 1100*time.Millisecond)
	is.Equal(q.PredictedWait(probe, 0, probe.Resources.Scale(10)), 100*time.Millisecond)
	is.Equal(q.PredictedWait(probe, 0, probe.Resources.Scale(11)), time.Duration(0))
	is.Equal(q.Headroom(0).Slots, int64(15)) // 20 with a quarter more, less 10 that run
	for n := range 20 {
		q.Remove(model.TaskID(fmt.Sprint(n)))
		q.RecordEnd(model.TaskID(fmt.Sprint(n)))
	}
	is.Equal(q.Headroom(0).Slots, int64(25))
	minute := q.Headroom(60 * second).Slots
	is.True(minute < 25 && minute > 20) // falls slowly
	is.Equal(q.Headroom(3*3600*second), model.Resources{})
	is.Equal(q.Forecast("j", 100, "x", "", 10, 0), 10*time.Second)
	is.Equal(q.Forecast("j", 5, "x", "", 10, 0), time.Second)
	is.Equal(q.Forecast("j", 100, "unknown", "", 10, 0), time.Duration(0))
	q.SetTotalSlots(50)
	is.Equal(q.Forecast("j", 100, "x", "", 0, 0), 2*time.Second)
}
