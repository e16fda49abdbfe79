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

// standard is the capacity of one worker on the design page.
var standard = model.Resources{MilliCPU: 16000, MemoryMB: 32000, Slots: 8, Connections: 64}

// spec returns a task of class batch.
func spec(id string, need model.Resources) model.TaskSpec {
	return model.TaskSpec{ID: model.TaskID(id), Service: "s", Class: model.ClassBatch, Team: "a", Resources: need}
}

// cpu returns a demand of processors and one slot.
func cpu(milli int64) model.Resources { return model.Resources{MilliCPU: milli, Slots: 1} }

// resources draws an amount, up to limit in each component.
func resources(t *rapid.T, limit int64) model.Resources {
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
			if u.slot != i || u.on != w || u.Worker != name || c.tasks[u.Task] != u {
				t.Fatalf("task %s is linked wrongly", u.Task)
			}
			used = used.Add(u.EffectiveUse())
			teams[u.Team] = teams[u.Team].Add(u.EffectiveUse())
			count[u.Service]++
			if u.Class == model.ClassBatch {
				batch = batch.Add(u.EffectiveUse())
			}
		}
		if used != w.used || batch != w.batch {
			t.Fatalf("%s: used %+v, sum of tasks %+v", name, w.used, used)
		}
		if w.pos < 0 {
			continue
		}
		if r := c.rows[w.pos]; c.workers[w.pos] != w || r.free != w.capacity.Sub(used) || c.shapes[r.shape].capacity != w.capacity {
			t.Fatalf("%s: row is out of date", name)
		}
		if !w.flags.any() {
			free, capacity = free.Add(w.capacity.Sub(used).Max(model.Resources{})), capacity.Add(w.capacity)
		}
	}
	if free != c.Free() || capacity != c.Capacity() || !slices.IsSorted(c.Workers()) || slices.Max(append(c.penalty, 0)) != 0 {
		t.Fatalf("free %+v want %+v, capacity %+v want %+v", c.Free(), free, c.Capacity(), capacity)
	}
	for name, s := range c.services {
		if s.tasks != count[name] || s.tasks == 0 {
			t.Fatalf("service %s counts %d, has %d", name, s.tasks, count[name])
		}
	}
	for name, used := range teams {
		if c.teams[name].used != used {
			t.Fatalf("team %s counts %+v, uses %+v", name, c.teams[name].used, used)
		}
	}
}

// TestNeverAboveCapacity guards against a promise that puts a worker above its
// capacity or a team above its quota, against sums that drift, against a choice
// that changes state, and against one that depends on map order.
func TestNeverAboveCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, twin := NewCache(), NewCache()
		id, now := 0, model.Time(0)
		worker := rapid.SampledFrom([]model.WorkerName{"w1", "w2", "w3", "w4"})
		class := rapid.SampledFrom([]model.Class{model.ClassBatch, model.ClassService, model.ClassInteractive})
		both := func(f func(*Cache)) { f(c); f(twin) }
		draw := func(t *rapid.T) model.TaskSpec {
			id++
			s := spec(fmt.Sprint("t", id), resources(t, 6))
			s.Class, s.Team = class.Draw(t, "class"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			return s
		}
		old := func(t *rapid.T) model.TaskID {
			return model.TaskID(fmt.Sprint("t", rapid.IntRange(1, id+1).Draw(t, "task")))
		}
		promise := func(w model.WorkerName, s model.TaskSpec) {
			before := c.Used(w)
			both(func(c *Cache) { c.Reserve(w, s, now) })
			if e := c.byName[w]; e != nil && e.pos >= 0 && c.Used(w) != before && !c.Used(w).Fits(e.capacity) {
				t.Fatalf("%s holds %+v of %+v after a promise", w, c.Used(w), e.capacity)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				w, k := worker.Draw(t, "w"), resources(t, 12)
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
						t.Fatalf("removing %s released other tasks than its own", w)
					}
				})
			},
			"quota":   func(t *rapid.T) { q := resources(t, 30); both(func(c *Cache) { c.SetQuota("a", q) }) },
			"promise": func(t *rapid.T) { promise(worker.Draw(t, "w"), draw(t)) },
			"observe": func(t *rapid.T) {
				w, s, u, known := worker.Draw(t, "w"), draw(t), resources(t, 8), rapid.Bool().Draw(t, "known")
				if known {
					s.ID = old(t)
				}
				both(func(c *Cache) { c.RecordReport(s.ID, w, s, u, now) })
				if got, ok := c.Task(s.ID); !ok || got.Worker != w || got.InDoubt {
					t.Fatalf("a report of %s on %s was not recorded", s.ID, w)
				}
			},
			"release": func(t *rapid.T) { id := old(t); both(func(c *Cache) { c.MarkInDoubt(id); c.Release(id) }) },
			"place": func(t *rapid.T) {
				s := draw(t)
				r := Request{Task: s.ID, Service: s.Service, Class: s.Class, Team: s.Team, Resources: s.Resources, Headroom: resources(t, 3), Avoid: []model.WorkerName{worker.Draw(t, "avoid")}}
				w, d := c.Place(r)
				if w2, d2 := twin.Place(r); w2 != w || d2 != d {
					t.Fatalf("the same history gave %s %s and %s %s", w, d, w2, d2)
				}
				if d != DenialNone {
					return
				}
				promise(w, s)
				_, ok := c.Task(s.ID)
				if !ok || c.byName[w].flags.any() || !withinQuota(c.teams[s.Team].quota, c.teams[s.Team].used) || (w == r.Avoid[0]) && c.fitsElsewhere(r) {
					t.Fatalf("placed on %s, which it must not", w)
				}
			},
			"gang": func(t *rapid.T) {
				rs, equal := make([]Request, rapid.IntRange(1, 6).Draw(t, "n")), rapid.Bool().Draw(t, "equal")
				for i := range rs {
					s := draw(t)
					if equal && i > 0 {
						s.Resources, s.Team = rs[0].Resources, rs[0].Team
					}
					rs[i] = Request{Task: s.ID, Service: s.Service, Class: model.ClassGang, Team: s.Team, Resources: s.Resources}
				}
				tasks, free := len(c.tasks), c.Free()
				ws, d := c.PlaceGang(rs)
				if (d == DenialNone) != (len(ws) == len(rs)) || len(c.tasks) != tasks || c.Free() != free {
					t.Fatalf("gang of %d: %v %q, tasks %d to %d", len(rs), ws, d, tasks, len(c.tasks))
				}
				for i, w := range ws {
					if one, _ := c.Place(rs[i]); equal && one != w {
						t.Fatalf("member %d goes to %s as part of a gang and to %s alone", i, w, one)
					}
					s := model.TaskSpec{ID: rs[i].Task, Service: rs[i].Service, Class: rs[i].Class, Team: rs[i].Team, Resources: rs[i].Resources}
					promise(w, s)
					if _, ok := c.Task(s.ID); !ok {
						t.Fatalf("gang member %d does not fit on %s", i, w)
					}
				}
			},
			"": func(t *rapid.T) { now++; checkSums(t, c) },
		})
	})
}

// fitsElsewhere reports whether some usable worker outside r.Avoid has room,
// after r was promised.
func (c *Cache) fitsElsewhere(r Request) bool {
	for i, w := range c.workers {
		if !c.rows[i].blocked && !slices.Contains(r.Avoid, w.name) && demand(r.Resources).Fits(c.rows[i].free) {
			return true
		}
	}
	return false
}

// TestPlace guards against a wrong worker or a wrong denial in each rule.
func TestPlace(t *testing.T) {
	accelerated := standard
	accelerated.Accelerators = 4
	base := func() *Cache {
		c := NewCache()
		c.SetWorker("a1", "r1", accelerated, WorkerFlags{})
		c.SetWorker("b1", "r1", standard, WorkerFlags{})
		c.SetWorker("b2", "r1", standard, WorkerFlags{})
		c.SetWorker("b3", "r2", standard, WorkerFlags{})
		c.Reserve("b2", spec("x", cpu(4000)), 1)
		return c
	}
	service := func(c *Cache, id string, w model.WorkerName) {
		c.Reserve(w, model.TaskSpec{ID: model.TaskID(id), Service: "web", Class: model.ClassService, Resources: cpu(10)}, 1)
	}
	for _, tt := range []struct {
		name   string
		setup  func(*Cache)
		r      Request
		want   model.WorkerName
		denial Denial
	}{
		{"best fit", nil, Request{Resources: cpu(1000)}, "b2", ""},
		{"first by name of equals", nil, Request{Resources: cpu(14000)}, "b1", ""},
		{"accelerators kept", func(c *Cache) { c.Reserve("a1", spec("y", cpu(15000)), 1) }, Request{Resources: cpu(1000)}, "b2", ""},
		{"accelerators used as a last resort", func(c *Cache) {
			for _, w := range []model.WorkerName{"b1", "b2", "b3"} {
				c.SetFlags(w, WorkerFlags{Leaving: true})
			}
		}, Request{Resources: cpu(1000)}, "a1", ""},
		{"accelerator needed", nil, Request{Resources: model.Resources{Accelerators: 1}}, "a1", ""},
		{"avoided", nil, Request{Resources: cpu(1000), Avoid: []model.WorkerName{"b2"}}, "b1", ""},
		{"avoided, nothing else", nil, Request{Resources: model.Resources{Accelerators: 1}, Avoid: []model.WorkerName{"a1"}}, "a1", ""},
		{"rack spread", func(c *Cache) { service(c, "y", "b2") }, Request{Service: "web", Class: model.ClassService, Resources: cpu(10)}, "b3", ""},
		{"worker spread", func(c *Cache) { service(c, "y", "b2"); service(c, "z", "b3") }, Request{Service: "web", Class: model.ClassService, Resources: cpu(10)}, "b1", ""},
		{"never fits", nil, Request{Resources: cpu(16001)}, "", DenialNeverFits},
		{"no fit now", func(c *Cache) {
			for _, w := range c.Workers() {
				c.Reserve(w, spec("f"+string(w), cpu(9000)), 1)
			}
		}, Request{Resources: cpu(16000)}, "", DenialNoFitNow},
		{"no worker known", func(c *Cache) {
			for _, w := range c.Workers() {
				c.RemoveWorker(w)
			}
		}, Request{Resources: cpu(1)}, "", DenialNoFitNow},
		{"quota", func(c *Cache) { c.SetQuota("a", cpu(4500)) }, Request{Team: "a", Resources: cpu(501)}, "", DenialOverQuota},
		{"quota has room", func(c *Cache) { c.SetQuota("a", model.Resources{MilliCPU: 4500}) }, Request{Team: "a", Resources: cpu(500)}, "b2", ""},
		{"reserve", nil, Request{Resources: cpu(1000), Headroom: model.Resources{MilliCPU: 59001}}, "", DenialNoFitNow},
		{"reserve kept", nil, Request{Resources: cpu(1000), Headroom: model.Resources{MilliCPU: 59000, Accelerators: 9}}, "b2", ""},
		{"observed above declared", func(c *Cache) { c.RecordReport("x", "b2", spec("x", cpu(4000)), cpu(16000), 2) }, Request{Resources: cpu(1)}, "b1", ""},
		{"observed below declared", func(c *Cache) { c.RecordReport("x", "b2", spec("x", cpu(4000)), cpu(1), 2) }, Request{Resources: cpu(12000)}, "b2", ""},
		{"doubt counts", func(c *Cache) { c.MarkInDoubt("x") }, Request{Resources: cpu(12001)}, "b1", ""},
		{"unfenced", func(c *Cache) { c.SetFlags("b2", WorkerFlags{Unfenced: true}) }, Request{Resources: cpu(1)}, "b1", ""},
		{"quarantined", func(c *Cache) { c.SetFlags("b2", WorkerFlags{Quarantined: true}) }, Request{Resources: cpu(1)}, "b1", ""},
		{"probe", func(c *Cache) { c.SetFlags("b3", WorkerFlags{Quarantined: true}) }, Request{Resources: cpu(1), ProbeWorker: "b3"}, "b3", ""},
		{"probe of a leaving worker", func(c *Cache) { c.SetFlags("b3", WorkerFlags{Quarantined: true, Leaving: true}) }, Request{Resources: cpu(1), ProbeWorker: "b3"}, "", DenialNoFitNow},
		{"probe of a full worker", func(c *Cache) { c.Reserve("b3", spec("y", cpu(16000)), 1) }, Request{Resources: cpu(1), ProbeWorker: "b3"}, "", DenialNoFitNow},
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

// TestPromiseBeforeReport guards against losing an intent of a worker that has
// not reported yet, and against forgetting it when the capacity becomes known.
func TestPromiseBeforeReport(t *testing.T) {
	is, c := is.New(t), NewCache()
	c.Reserve("w", spec("x", cpu(15000)), 1)
	is.Equal(c.WorkerCount(), 0)
	is.Equal(c.CanEverFit(cpu(1<<40)), true) // nothing is known
	c.SetWorker("w", "r", standard, WorkerFlags{})
	is.Equal(c.Free().MilliCPU, int64(1000))
	c.Reserve("w", spec("y", cpu(1001)), 1)
	_, ok := c.Task("y")
	is.True(!ok) // does not fit
	c.SetThrottled("x", true)
	u, _ := c.Task("x")
	is.True(u.Throttled)
	is.True(c.WithinQuota("a", cpu(1)))
	c.SetQuota("a", model.Resources{MilliCPU: 1000})
	is.True(c.WithinQuota("a", cpu(1000)))
	is.True(!c.WithinQuota("a", cpu(1001)))
}

// TestGang guards against a gang that is placed in part, refused although it
// fits, or left waiting although it can never fit.
func TestGang(t *testing.T) {
	c := NewCache()
	for _, w := range []model.WorkerName{"a", "b", "c"} {
		c.SetWorker(w, "r", standard, WorkerFlags{})
	}
	c.SetQuota("small", model.Resources{Slots: 2})
	gang := func(team string, needs ...int64) (rs []Request) {
		for _, n := range needs {
			rs = append(rs, Request{Class: model.ClassGang, Team: team, Resources: cpu(n)})
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
			is.Equal(c.Free(), standard.Scale(3)) // nothing stays reserved
		})
	}
}

// TestVictims guards against stopping more, older or protected work than needed.
func TestVictims(t *testing.T) {
	is, c := is.New(t), NewCache()
	c.SetWorker("a", "r", standard, WorkerFlags{})
	c.SetWorker("b", "r", standard, WorkerFlags{})
	for i, n := range []int64{6000, 5000, 5000} {
		c.Reserve("a", spec(fmt.Sprint("a", i), cpu(n)), model.Time(i))
	}
	for i, n := range []int64{8000, 4000, 4000} {
		c.Reserve("b", spec(fmt.Sprint("b", i), cpu(n)), model.Time(10+i))
	}
	all := func(TaskUsage) bool { return true }
	for _, tt := range []struct {
		need    int64
		allowed func(TaskUsage) bool
		w       model.WorkerName
		tasks   []model.TaskID
	}{
		{1000, all, "b", []model.TaskID{"b2"}}, // the youngest
		{5000, all, "b", []model.TaskID{"b0"}}, // one old task instead of two young ones
		{9000, all, "b", []model.TaskID{"b2", "b0"}},
		{16000, all, "b", []model.TaskID{"b2", "b1", "b0"}},
		{5000, func(u TaskUsage) bool { return u.Worker == "a" }, "a", []model.TaskID{"a2"}},
		{1000, func(TaskUsage) bool { return false }, "", nil},
	} {
		w, tasks, ok := c.Victims(Request{Resources: cpu(tt.need)}, tt.allowed)
		is.Equal(w, tt.w)
		is.Equal(tasks, tt.tasks)
		is.Equal(ok, tt.tasks != nil)
	}
	c.MarkInDoubt("b2")
	_, tasks, _ := c.Victims(Request{Resources: cpu(1000)}, all)
	is.Equal(tasks, []model.TaskID{"b1"}) // a task in doubt stays
	c.SetQuota("q", model.Resources{MilliCPU: 1})
	_, _, ok := c.Victims(Request{Team: "q", Resources: cpu(1000)}, all)
	is.True(!ok) // ending others does not help against a quota
	c.Release("b1")
	w, tasks, ok := c.Victims(Request{Resources: cpu(1000)}, all)
	is.True(ok && w == "b" && len(tasks) == 0) // fits already
}
