package placement

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/gentianpick/gentianpick/internal/model"
)

// targetTasks and targetWorkers are the design page's target size.
const targetTasks, targetWorkers = 62000, 3900

// large is the capacity of one worker at the target size, which holds 16 tasks.
var large = model.Resources{MilliCPU: 32000, MemoryMB: 64000, Slots: 32, Connections: 256}

// filled returns a cache of n workers with a proportional number of tasks, a
// fifth of them services, and a third of the workers with 7 accelerators.
func filled(n int) *Cache {
	c, rng := NewCache(), rand.New(rand.NewSource(1))
	for i := range n {
		k := large
		if i%3 == 0 {
			k.Accelerators = 7
		}
		c.SetWorker(model.WorkerName(fmt.Sprintf("w%04d", i)), fmt.Sprint("r", i/8), k, WorkerFlags{})
	}
	for i := range targetTasks * n / targetWorkers {
		s := model.TaskSpec{ID: model.TaskID(fmt.Sprint("t", i)), Service: fmt.Sprint("b", i%50), Class: model.ClassBatch, Resources: mixed(rng)}
		if i%5 == 0 {
			s.Service, s.Class = fmt.Sprint("s", i/5%100), model.ClassService
		}
		if w, d := c.Place(Request{Service: s.Service, Class: s.Class, Resources: s.Resources}); d == DenialNone {
			c.Reserve(w, s, model.Time(i))
		}
	}
	return c
}

// mixed returns a demand of uneven proportions.
func mixed(rng *rand.Rand) model.Resources {
	return model.Resources{MilliCPU: 250 << rng.Intn(5), MemoryMB: 500 << rng.Intn(5), Slots: 1, Connections: rng.Int63n(8)}
}

// BenchmarkDecision measures one decision of each kind by number of workers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{50, 217, targetWorkers} {
		c, rng := filled(n), rand.New(rand.NewSource(2))
		needs := make([]model.Resources, 256)
		gang := make([]Request, 32)
		for i := range needs {
			needs[i] = mixed(rng)
		}
		full, small := filled(n), model.Resources{MilliCPU: 250}
		for i := 0; ; i++ {
			w, d := full.Place(Request{Resources: small})
			if d != DenialNone {
				break
			}
			full.Reserve(w, spec(fmt.Sprint("full", i), small), 0)
		}
		for i := range gang {
			gang[i] = Request{Class: model.ClassGang, Resources: model.Resources{MilliCPU: 500, MemoryMB: 1000, Slots: 1}}
		}
		for _, kind := range []struct {
			name string
			f    func(i int)
		}{
			{"batch", func(i int) { c.Place(Request{Class: model.ClassBatch, Resources: needs[i%256]}) }},
			{"service", func(i int) { c.Place(Request{Service: "s1", Class: model.ClassService, Resources: needs[i%256]}) }},
			{"retry", func(i int) {
				c.Place(Request{Resources: needs[i%256], Avoid: []model.WorkerName{"w0001", "w0002"}})
			}},
			{"nofit", func(int) { c.Place(Request{Resources: large}) }},
			{"promise", func(int) {
				c.Reserve("w0007", model.TaskSpec{ID: "p", Service: "b1", Class: model.ClassBatch}, 0)
				c.Release("p")
			}},
			{"gang32", func(int) { c.PlaceGang(gang) }},
			{"victims", func(int) {
				c.Victims(Request{Resources: model.Resources{MilliCPU: 31000}}, func(TaskUsage) bool { return true })
			}},
			{"manyvictims", func(int) {
				c.Victims(Request{Resources: model.Resources{MilliCPU: 4000, Connections: 240}}, func(TaskUsage) bool { return true })
			}},
			{"onevictim", func(int) {
				full.Victims(Request{Resources: model.Resources{MilliCPU: 2000}}, func(TaskUsage) bool { return true })
			}},
		} {
			b.Run(fmt.Sprintf("%s/workers=%d", kind.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					kind.f(i)
				}
			})
		}
	}
}

// firstFit is the baseline policy: the first worker by name that has room.
func firstFit(c *Cache, need model.Resources) (model.WorkerName, bool) {
	for i, w := range c.workers {
		if !c.rows[i].blocked && demand(need).Fits(c.rows[i].free) {
			return w.name, true
		}
	}
	return "", false
}

// churn fills 217 workers to a part of their slots and replaces tasks at random
// n times, as finished work is. It returns the mean number of workers in use and
// the mean lower bound, over the second half. Declared sizes are wrong by up to
// a factor of two either way if wrong is set.
func churn(n, tasks int, wrong bool, place func(*Cache, model.Resources) (model.WorkerName, bool)) (used, bound float64) {
	c, rng := NewCache(), rand.New(rand.NewSource(3))
	for i := range 217 {
		c.SetWorker(model.WorkerName(fmt.Sprintf("w%04d", i)), fmt.Sprint("r", i/8), standard, WorkerFlags{})
	}
	var live []model.TaskID
	for i := range n {
		if len(live) >= tasks {
			k := rng.Intn(len(live))
			c.Release(live[k])
			live[k] = live[len(live)-1]
			live = live[:len(live)-1]
		}
		s := model.TaskSpec{ID: model.TaskID(fmt.Sprint(i)), Service: "b", Class: model.ClassBatch, Resources: mixed(rng)}
		factor := 50 + rng.Int63n(150)
		if w, ok := place(c, s.Resources); ok {
			c.Reserve(w, s, 0)
			live = append(live, s.ID)
			if wrong {
				u := s.Resources
				u.MilliCPU, u.MemoryMB = u.MilliCPU*factor/100, u.MemoryMB*factor/100
				c.RecordReport(s.ID, w, s, u, 0)
			}
		}
		if i >= n/2 {
			u, l := inUse(c)
			used, bound = used+float64(u), bound+float64(l)
		}
	}
	half := float64(n - n/2)
	return used / half, bound / half
}

// inUse returns the number of workers with a task, and the number below which
// the same tasks can't fit: the largest of the components' sums over capacity.
func inUse(c *Cache) (used, bound int64) {
	var sum model.Resources
	for _, w := range c.workers {
		if len(w.tasks) > 0 {
			used++
		}
		sum = sum.Add(w.used)
	}
	for k := milliCPU; k < components; k++ {
		if q := k.of(standard); q > 0 {
			bound = max(bound, (k.of(sum)+q-1)/q)
		}
	}
	return used, bound
}

// bestFit places with the cache's own policy.
func bestFit(c *Cache, need model.Resources) (model.WorkerName, bool) {
	w, d := c.Place(Request{Class: model.ClassBatch, Resources: need})
	return w, d == DenialNone
}

// BenchmarkPacking reports the workers in use over the lower bound, for the
// cache's policy and for first fit.
func BenchmarkPacking(b *testing.B) {
	for _, wrong := range []bool{false, true} {
		for i, place := range []func(*Cache, model.Resources) (model.WorkerName, bool){bestFit, firstFit} {
			b.Run(fmt.Sprintf("%s/wrong=%v", []string{"best", "first"}[i], wrong), func(b *testing.B) {
				var used, bound float64
				for b.Loop() {
					used, bound = churn(20000, 800, wrong, place)
				}
				b.ReportMetric(used, "VMs")
				b.ReportMetric(used/bound, "VMs/bound")
			})
		}
	}
}
