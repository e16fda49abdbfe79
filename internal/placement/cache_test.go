package placement

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

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

// standardCapacity is the capacity of one worker on the design page.
var standardCapacity = model.Resources{MilliCPU: 16000, MemoryMB: 32000, Slots: 8, Connections: 64}

// batchSpec returns a task of class batch.
func batchSpec(id string, need model.Resources) model.TaskSpec {
	return model.TaskSpec{ID: model.TaskID(id), Service: "s", Class: model.ClassBatch, Team: "a", Resources: need}
}

// cpuDemand returns a demand of processors and one slot.
func cpuDemand(milli int64) model.Resources { return model.Resources{MilliCPU: milli, Slots: 1} }

// drawResources draws an amount of at most limit in each component.
func drawResources(t *rapid.T, limit int64) model.Resources {
	n := func(name string, limit int64) int64 { return rapid.Int64Range(0, limit).Draw(t, name) }
	return model.Resources{MilliCPU: n("cpu", limit), MemoryMB: n("mem", limit), Accelerators: n("acc", 2), Slots: n("slots", 3), Connections: n("conn", limit)}
}

// checkSums compares every incremental sum with one computed from the tasks.
func checkSums(t *rapid.T, c *Cache) {
	var free, capacity model.Resources
	count, teams := map[string]int{}, map[string]model.Resources{}
	for name, w := range c.byName {
		var used, batch model.Resources
		for i, u := range w.tasks {
			if u.index != i || u.worker != w || u.Worker != name || c.tasks[u.Task] != u {
				t.Fatalf("task %s is linked to the wrong worker, index or record", u.Task)
			}
			used = used.Add(u.EffectiveUse())
			teams[u.Team] = teams[u.Team].Add(u.EffectiveUse())
			count[u.Service]++
			if u.Class == model.ClassBatch {
				batch = batch.Add(u.EffectiveUse())
			}
		}
		if used != w.used || batch != w.batchUsed {
			t.Fatalf("worker %s: used is %+v, sum of its tasks is %+v", name, w.used, used)
		}
		if w.rowIndex < 0 {
			continue
		}
		if r := c.rows[w.rowIndex]; c.workers[w.rowIndex] != w || r.free != w.capacity.Sub(used) || c.shapes[r.shape].capacity != w.capacity {
			t.Fatalf("worker %s: row does not match the worker", name)
		}
		if !w.flags.blocksNewTasks() {
			free, capacity = free.Add(w.capacity.Sub(used).Max(model.Resources{})), capacity.Add(w.capacity)
		}
	}
	if free != c.Free() || capacity != c.Capacity() || !slices.IsSorted(c.Workers()) || slices.Max(append(c.penalties, 0)) != 0 {
		t.Fatalf("free is %+v, want %+v; capacity is %+v, want %+v", c.Free(), free, c.Capacity(), capacity)
	}
	for name, s := range c.services {
		if s.taskCount != count[name] || s.taskCount == 0 {
			t.Fatalf("service %s: task count is %d, has %d tasks", name, s.taskCount, count[name])
		}
	}
	for name, used := range teams {
		if c.teams[name].used != used {
			t.Fatalf("team %s: used is %+v, sum of its tasks is %+v", name, c.teams[name].used, used)
		}
	}
}

// TestReservationsStayWithinCapacity guards against a reservation that puts a worker
// above its capacity or a team above its quota, against sums that drift, and against a
// choice that changes state or depends on map order.
func TestReservationsStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, replica := NewCache(), NewCache()
		id, now := 0, model.Time(0)
		worker := rapid.SampledFrom([]model.WorkerName{"w1", "w2", "w3", "w4"})
		class := rapid.SampledFrom([]model.Class{model.ClassBatch, model.ClassService, model.ClassInteractive})
		both := func(f func(*Cache)) { f(c); f(replica) }
		drawSpec := func(t *rapid.T) model.TaskSpec {
			id++
			s := batchSpec(fmt.Sprint("t", id), drawResources(t, 6))
			s.Class, s.Team = class.Draw(t, "class"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			return s
		}
		drawTaskID := func(t *rapid.T) model.TaskID {
			return model.TaskID(fmt.Sprint("t", rapid.IntRange(1, id+1).Draw(t, "task")))
		}
		reserve := func(w model.WorkerName, s model.TaskSpec) {
			before := c.Used(w)
			both(func(c *Cache) { c.Reserve(w, s, now) })
			if e := c.byName[w]; e != nil && e.rowIndex >= 0 && c.Used(w) != before && !c.Used(w).Fits(e.capacity) {
				t.Fatalf("worker %s uses %+v of capacity %+v after a reservation", w, c.Used(w), e.capacity)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				w, k := worker.Draw(t, "w"), drawResources(t, 12)
				k.Slots += 4
				f := WorkerFlags{Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0}
				both(func(c *Cache) { c.SetWorker(w, string(w[1:]), k, f) })
			},
			"flags": func(t *rapid.T) {
				w, f := worker.Draw(t, "w"), WorkerFlags{Quarantined: rapid.Bool().Draw(t, "q"), Unfenced: rapid.Bool().Draw(t, "u")}
				both(func(c *Cache) { c.SetFlags(w, f) })
			},
			"remove": func(t *rapid.T) {
				w := worker.Draw(t, "w")
				want := c.TasksOn(w)
				both(func(c *Cache) {
					if !slices.Equal(c.RemoveWorker(w), want) || len(c.TasksOn(w)) != 0 {
						t.Fatalf("removing worker %s did not release exactly its own tasks", w)
					}
				})
			},
			"quota":   func(t *rapid.T) { q := drawResources(t, 30); both(func(c *Cache) { c.SetQuota("a", q) }) },
			"promise": func(t *rapid.T) { reserve(worker.Draw(t, "w"), drawSpec(t)) },
			"observe": func(t *rapid.T) {
				w, s, u, known := worker.Draw(t, "w"), drawSpec(t), drawResources(t, 8), rapid.Bool().Draw(t, "known")
				if known {
					s.ID = drawTaskID(t)
				}
				both(func(c *Cache) { c.RecordReport(s.ID, w, s, u, now) })
				if got, ok := c.Task(s.ID); !ok || got.Worker != w || got.InDoubt {
					t.Fatalf("report of task %s on worker %s was not recorded", s.ID, w)
				}
			},
			"release": func(t *rapid.T) { id := drawTaskID(t); both(func(c *Cache) { c.MarkInDoubt(id); c.Release(id) }) },
			"place": func(t *rapid.T) {
				s := drawSpec(t)
				r := Request{Task: s.ID, Service: s.Service, Class: s.Class, Team: s.Team, Resources: s.Resources, Headroom: drawResources(t, 3), Avoid: []model.WorkerName{worker.Draw(t, "avoid")}}
				w, d := c.Place(r)
				if w2, d2 := replica.Place(r); w2 != w || d2 != d {
					t.Fatalf("identical histories chose %s %s and %s %s", w, d, w2, d2)
				}
				if d != DenialNone {
					return
				}
				reserve(w, s)
				_, ok := c.Task(s.ID)
				if !ok || c.byName[w].flags.blocksNewTasks() || !withinQuota(c.teams[s.Team].quota, c.teams[s.Team].used) || (w == r.Avoid[0]) && c.fitsElsewhere(r) {
					t.Fatalf("task must not be placed on worker %s", w)
				}
			},
			"gang": func(t *rapid.T) {
				rs, equal := make([]Request, rapid.IntRange(1, 6).Draw(t, "n")), rapid.Bool().Draw(t, "equal")
				for i := range rs {
					s := drawSpec(t)
					if equal && i > 0 {
						s.Resources, s.Team = rs[0].Resources, rs[0].Team
					}
					rs[i] = Request{Task: s.ID, Service: s.Service, Class: model.ClassGang, Team: s.Team, Resources: s.Resources}
				}
				tasks, free := len(c.tasks), c.Free()
				ws, d := c.PlaceGang(rs)
				if (d == DenialNone) != (len(ws) == len(rs)) || len(c.tasks) != tasks || c.Free() != free {
					t.Fatalf("gang of %d: workers %v, denial %q, task count %d before and %d after", len(rs), ws, d, tasks, len(c.tasks))
				}
				for i, w := range ws {
					if one, _ := c.Place(rs[i]); equal && one != w {
						t.Fatalf("gang member %d is placed on %s in the gang and on %s alone", i, w, one)
					}
					s := model.TaskSpec{ID: rs[i].Task, Service: rs[i].Service, Class: rs[i].Class, Team: rs[i].Team, Resources: rs[i].Resources}
					reserve(w, s)
					if _, ok := c.Task(s.ID); !ok {
						t.Fatalf("gang member %d does not fit on its worker %s", i, w)
					}
				}
			},
			"": func(t *rapid.T) { now++; checkSums(t, c) },
		})
	})
}

// fitsElsewhere reports whether some usable worker outside r.Avoid has capacity for r,
// after r was reserved.
func (c *Cache) fitsElsewhere(r Request) bool {
	for i, w := range c.workers {
		if !c.rows[i].blocked && !slices.Contains(r.Avoid, w.name) && withMinSlots(r.Resources).Fits(c.rows[i].free) {
			return true
		}
	}
	return false
}

// TestPlaceRules guards against a wrong worker or a wrong denial under each rule.
func TestPlaceRules(t *testing.T) {
	accelerated := standardCapacity
	accelerated.Accelerators = 4
	base := func() *Cache {
		c := NewCache()
		c.SetWorker("a1", "r1", accelerated, WorkerFlags{})
		c.SetWorker("b1", "r1", standardCapacity, WorkerFlags{})
		c.SetWorker("b2", "r1", standardCapacity, WorkerFlags{})
		c.SetWorker("b3", "r2", standardCapacity, WorkerFlags{})
		c.Reserve("b2", batchSpec("x", cpuDemand(4000)), 1)
		return c
	}
	service := func(c *Cache, id string, w model.WorkerName) {
		c.Reserve(w, model.TaskSpec{ID: model.TaskID(id), Service: "web", Class: model.ClassService, Resources: cpuDemand(10)}, 1)
	}
	for _, tt := range []struct {
		name   string
		setup  func(*Cache)
		r      Request
		want   model.WorkerName
		denial Denial
	}{
		{"best fit", nil, Request{Resources: cpuDemand(1000)}, "b2", ""},
		{"first by name among equals", nil, Request{Resources: cpuDemand(14000)}, "b1", ""},
		{"accelerators left free", func(c *Cache) { c.Reserve("a1", batchSpec("y", cpuDemand(15000)), 1) }, Request{Resources: cpuDemand(1000)}, "b2", ""},
		{"accelerators used as a last resort", func(c *Cache) {
			for _, w := range []model.WorkerName{"b1", "b2", "b3"} {
				c.SetFlags(w, WorkerFlags{Leaving: true})
			}
		}, Request{Resources: cpuDemand(1000)}, "a1", ""},
		{"accelerator needed", nil, Request{Resources: model.Resources{Accelerators: 1}}, "a1", ""},
		{"avoided", nil, Request{Resources: cpuDemand(1000), Avoid: []model.WorkerName{"b2"}}, "b1", ""},
		{"avoided worker as a last resort", nil, Request{Resources: model.Resources{Accelerators: 1}, Avoid: []model.WorkerName{"a1"}}, "a1", ""},
		{"rack spread", func(c *Cache) { service(c, "y", "b2") }, Request{Service: "web", Class: model.ClassService, Resources: cpuDemand(10)}, "b3", ""},
		{"worker spread", func(c *Cache) { service(c, "y", "b2"); service(c, "z", "b3") }, Request{Service: "web", Class: model.ClassService, Resources: cpuDemand(10)}, "b1", ""},
		{"never fits", nil, Request{Resources: cpuDemand(16001)}, "", DenialNeverFits},
		{"no fit now", func(c *Cache) {
			for _, w := range c.Workers() {
				c.Reserve(w, batchSpec("f"+string(w), cpuDemand(9000)), 1)
			}
		}, Request{Resources: cpuDemand(16000)}, "", DenialNoFitNow},
		{"no worker known", func(c *Cache) {
			for _, w := range c.Workers() {
				c.RemoveWorker(w)
			}
		}, Request{Resources: cpuDemand(1)}, "", DenialNoFitNow},
		{"quota", func(c *Cache) { c.SetQuota("a", cpuDemand(4500)) }, Request{Team: "a", Resources: cpuDemand(501)}, "", DenialOverQuota},
		{"within quota", func(c *Cache) { c.SetQuota("a", model.Resources{MilliCPU: 4500}) }, Request{Team: "a", Resources: cpuDemand(500)}, "b2", ""},
		{"headroom not left", nil, Request{Resources: cpuDemand(1000), Headroom: model.Resources{MilliCPU: 59001}}, "", DenialNoFitNow},
		{"headroom left, unneeded component ignored", nil, Request{Resources: cpuDemand(1000), Headroom: model.Resources{MilliCPU: 59000, Accelerators: 9}}, "b2", ""},
		{"observed above declared", func(c *Cache) { c.RecordReport("x", "b2", batchSpec("x", cpuDemand(4000)), cpuDemand(16000), 2) }, Request{Resources: cpuDemand(1)}, "b1", ""},
		{"observed below declared", func(c *Cache) { c.RecordReport("x", "b2", batchSpec("x", cpuDemand(4000)), cpuDemand(1), 2) }, Request{Resources: cpuDemand(12000)}, "b2", ""},
		{"task in doubt counts", func(c *Cache) { c.MarkInDoubt("x") }, Request{Resources: cpuDemand(12001)}, "b1", ""},
		{"unfenced", func(c *Cache) { c.SetFlags("b2", WorkerFlags{Unfenced: true}) }, Request{Resources: cpuDemand(1)}, "b1", ""},
		{"quarantined", func(c *Cache) { c.SetFlags("b2", WorkerFlags{Quarantined: true}) }, Request{Resources: cpuDemand(1)}, "b1", ""},
		{"probe", func(c *Cache) { c.SetFlags("b3", WorkerFlags{Quarantined: true}) }, Request{Resources: cpuDemand(1), ProbeWorker: "b3"}, "b3", ""},
		{"probe of a leaving worker", func(c *Cache) { c.SetFlags("b3", WorkerFlags{Quarantined: true, Leaving: true}) }, Request{Resources: cpuDemand(1), ProbeWorker: "b3"}, "", DenialNoFitNow},
		{"probe of a full worker", func(c *Cache) { c.Reserve("b3", batchSpec("y", cpuDemand(16000)), 1) }, Request{Resources: cpuDemand(1), ProbeWorker: "b3"}, "", DenialNoFitNow},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, c := is.New(t), base()
			if tt.setup != nil {
				tt.setup(c)
			}
			w, d := c.Place(tt.r)
			is.Equal(w, tt.want)
			is.Equal(d, tt.denial)
		})
	}
}

// TestReserveBeforeFirstReport guards against losing the reservation of an intent on a
// worker that has not reported yet, at once or when its capacity becomes known.
func TestReserveBeforeFirstReport(t *testing.T) {
	is, c := is.New(t), NewCache()
	c.Reserve("w", batchSpec("x", cpuDemand(15000)), 1)
	is.Equal(c.WorkerCount(), 0)
	is.Equal(c.CanEverFit(cpuDemand(1<<40)), true) // no worker is known
	c.SetWorker("w", "r", standardCapacity, WorkerFlags{})
	is.Equal(c.Free().MilliCPU, int64(1000))
	c.Reserve("w", batchSpec("y", cpuDemand(1001)), 1)
	_, ok := c.Task("y")
	is.True(!ok) // does not fit
	c.SetThrottled("x", true)
	u, _ := c.Task("x")
	is.True(u.Throttled)
	is.True(c.WithinQuota("a", cpuDemand(1)))
	c.SetQuota("a", model.Resources{MilliCPU: 1000})
	is.True(c.WithinQuota("a", cpuDemand(1000)))
	is.True(!c.WithinQuota("a", cpuDemand(1001)))
}

// TestPlaceGangAllOrNone guards against a gang that is placed in part, denied although
// it fits, or kept waiting although it can never fit.
func TestPlaceGangAllOrNone(t *testing.T) {
	c := NewCache()
	for _, w := range []model.WorkerName{"a", "b", "c"} {
		c.SetWorker(w, "r", standardCapacity, WorkerFlags{})
	}
	c.SetQuota("small", model.Resources{Slots: 2})
	gang := func(team string, needs ...int64) (rs []Request) {
		for _, n := range needs {
			rs = append(rs, Request{Class: model.ClassGang, Team: team, Resources: cpuDemand(n)})
		}
		return rs
	}
	for _, tt := range []struct {
		name   string
		rs     []Request
		denial Denial
	}{
		{"fits exactly", gang("", 8000, 8000, 8000, 8000, 8000, 8000), ""},
		{"small members first would not fit", gang("", 1000, 1000, 1000, 15000, 15000, 15000), ""},
		{"fragments", gang("", 9000, 9000, 9000, 9000), DenialNoFitNow},
		{"sum too large", gang("", 16000, 16000, 16000, 1), DenialNeverFits},
		{"member too large", gang("", 16001), DenialNeverFits},
		{"quota as a whole", gang("small", 1, 1, 1), DenialOverQuota},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ws, d := c.PlaceGang(tt.rs)
			is.Equal(d, tt.denial)
			is.Equal(len(ws) == len(tt.rs), d == DenialNone)
			is.Equal(c.Free(), standardCapacity.Scale(3)) // nothing stays reserved
		})
	}
}

// TestVictimsFewestAndYoungest guards against stopping more or older tasks than needed,
// or protected ones.
func TestVictimsFewestAndYoungest(t *testing.T) {
	is, c := is.New(t), NewCache()
	c.SetWorker("a", "r", standardCapacity, WorkerFlags{})
	c.SetWorker("b", "r", standardCapacity, WorkerFlags{})
	for i, n := range []int64{6000, 5000, 5000} {
		c.Reserve("a", batchSpec(fmt.Sprint("a", i), cpuDemand(n)), model.Time(i))
	}
	for i, n := range []int64{8000, 4000, 4000} {
		c.Reserve("b", batchSpec(fmt.Sprint("b", i), cpuDemand(n)), model.Time(10+i))
	}
	all := func(TaskUsage) bool { return true }
	for _, tt := range []struct {
		need    int64
		allowed func(TaskUsage) bool
		w       model.WorkerName
		tasks   []model.TaskID
	}{
		{1000, all, "b", []model.TaskID{"b2"}}, // the youngest
		{5000, all, "b", []model.TaskID{"b0"}}, // one older task instead of two younger ones
		{9000, all, "b", []model.TaskID{"b2", "b0"}},
		{16000, all, "b", []model.TaskID{"b2", "b1", "b0"}},
		{5000, func(u TaskUsage) bool { return u.Worker == "a" }, "a", []model.TaskID{"a2"}},
		{1000, func(TaskUsage) bool { return false }, "", nil},
	} {
		w, tasks, ok := c.Victims(Request{Resources: cpuDemand(tt.need)}, tt.allowed)
		is.Equal(w, tt.w)
		is.Equal(tasks, tt.tasks)
		is.Equal(ok, tt.tasks != nil)
	}
	c.MarkInDoubt("b2")
	_, tasks, _ := c.Victims(Request{Resources: cpuDemand(1000)}, all)
	is.Equal(tasks, []model.TaskID{"b1"}) // a task in doubt is not stopped
	c.SetQuota("q", model.Resources{MilliCPU: 1})
	_, _, ok := c.Victims(Request{Team: "q", Resources: cpuDemand(1000)}, all)
	is.True(!ok) // stopping other tasks does not help against a quota
	c.Release("b1")
	w, tasks, ok := c.Victims(Request{Resources: cpuDemand(1000)}, all)
	is.True(ok && w == "b" && len(tasks) == 0) // already fits
}
