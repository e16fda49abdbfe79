package placement

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/gentianpick/gentianpick/internal/model"
)

// targetTasks and targetWorkers are the target size from the design page.
const targetTasks, targetWorkers = 62000, 3900

// largeCapacity is the capacity of one worker at the target size, which holds 16 tasks.
var largeCapacity = model.Resources{MilliCPU: 32000, MemoryMB: 64000, Slots: 32, Connections: 256}

// filledCache returns a cache of n workers with a proportional number of tasks, a fifth
// of them of class service, and 7 accelerators on a third of the workers.
func filledCache(n int) *Cache {
	c, rng := NewCache(), rand.New(rand.NewSource(1))
	for i := range n {
		k := largeCapacity
		if i%3 == 0 {
			k.Accelerators = 7
		}
		c.SetWorker(model.WorkerName(fmt.Sprintf("w%04d", i)), fmt.Sprint("r", i/8), k, WorkerFlags{})
	}
	for i := range targetTasks * n / targetWorkers {
		s := model.TaskSpec{ID: model.TaskID(fmt.Sprint("t", i)), Service: fmt.Sprint("b", i%50), Class: model.ClassBatch, Resources: mixedDemand(rng)}
		if i%5 == 0 {
			s.Service, s.Class = fmt.Sprint("s", i/5%100), model.ClassService
		}
		if w, d := c.Place(Request{Service: s.Service, Class: s.Class, Resources: s.Resources}); d == DenialNone {
			c.Reserve(w, s, model.Time(i))
		}
	}
	return c
}

// mixedDemand returns a random demand of uneven proportions.
func mixedDemand(rng *rand.Rand) model.Resources {
	return model.Resources{MilliCPU: 250 << rng.Intn(5), MemoryMB: 500 << rng.Intn(5), Slots: 1, Connections: rng.Int63n(8)}
}

// BenchmarkPlacementDecision measures one decision of each kind by number of workers.
func BenchmarkPlacementDecision(b *testing.B) {
	for _, n := range []int{50, 217, targetWorkers} {
		c, rng := filledCache(n), rand.New(rand.NewSource(2))
		needs := make([]model.Resources, 256)
		gang := make([]Request, 32)
		for i := range needs {
			needs[i] = mixedDemand(rng)
		}
		full, small := filledCache(n), model.Resources{MilliCPU: 250}
		for i := 0; ; i++ {
			w, d := full.Place(Request{Resources: small})
			if d != DenialNone {
				break
			}
			full.Reserve(w, batchSpec(fmt.Sprint("full", i), small), 0)
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
			{"nofit", func(int) { c.Place(Request{Resources: largeCapacity}) }},
			{"reserve", func(int) {
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

// placeFirstFit is the baseline policy: the first worker by name with enough capacity.
func placeFirstFit(c *Cache, need model.Resources) (model.WorkerName, bool) {
	for i, w := range c.workers {
		if !c.rows[i].blocked && withMinSlots(need).Fits(c.rows[i].free) {
			return w.name, true
		}
	}
	return "", false
}

// simulateChurn keeps the given number of tasks on 217 workers and replaces random ones,
// as completed work is replaced, over n placements. It returns the mean number of
// workers in use and its mean lower bound over the second half. If misdeclared is set,
// actual sizes are 0.5 to 2 times the declared ones.
func simulateChurn(n, tasks int, misdeclared bool, place func(*Cache, model.Resources) (model.WorkerName, bool)) (used, bound float64) {
	c, rng := NewCache(), rand.New(rand.NewSource(3))
	for i := range 217 {
		c.SetWorker(model.WorkerName(fmt.Sprintf("w%04d", i)), fmt.Sprint("r", i/8), standardCapacity, WorkerFlags{})
	}
	var live []model.TaskID
	for i := range n {
		if len(live) >= tasks {
			k := rng.Intn(len(live))
			c.Release(live[k])
			live[k] = live[len(live)-1]
			live = live[:len(live)-1]
		}
		s := model.TaskSpec{ID: model.TaskID(fmt.Sprint(i)), Service: "b", Class: model.ClassBatch, Resources: mixedDemand(rng)}
		factor := 50 + rng.Int63n(150)
		if w, ok := place(c, s.Resources); ok {
			c.Reserve(w, s, 0)
			live = append(live, s.ID)
			if misdeclared {
				u := s.Resources
				u.MilliCPU, u.MemoryMB = u.MilliCPU*factor/100, u.MemoryMB*factor/100
				c.RecordReport(s.ID, w, s, u, 0)
			}
		}
		if i >= n/2 {
			u, l := workersInUse(c)
			used, bound = used+float64(u), bound+float64(l)
		}
	}
	half := float64(n - n/2)
	return used / half, bound / half
}

// workersInUse returns the number of workers with tasks, and a lower bound for it: the
// largest ratio, over the components, of the sum of use to the capacity of a worker.
func workersInUse(c *Cache) (used, bound int64) {
	var sum model.Resources
	for _, w := range c.workers {
		if len(w.tasks) > 0 {
			used++
		}
		sum = sum.Add(w.used)
	}
	for k := milliCPU; k < componentCount; k++ {
		if q := k.of(standardCapacity); q > 0 {
			bound = max(bound, (k.of(sum)+q-1)/q)
		}
	}
	return used, bound
}

// placeBestFit places with the cache's own policy.
func placeBestFit(c *Cache, need model.Resources) (model.WorkerName, bool) {
	w, d := c.Place(Request{Class: model.ClassBatch, Resources: need})
	return w, d == DenialNone
}

// BenchmarkPacking reports the number of workers in use and its ratio to the lower
// bound, for the cache's policy and for first fit.
func BenchmarkPacking(b *testing.B) {
	for _, wrong := range []bool{false, true} {
		for i, place := range []func(*Cache, model.Resources) (model.WorkerName, bool){placeBestFit, placeFirstFit} {
			b.Run(fmt.Sprintf("%s/wrong=%v", []string{"best", "first"}[i], wrong), func(b *testing.B) {
				var used, bound float64
				for b.Loop() {
					used, bound = simulateChurn(20000, 800, wrong, place)
				}
				b.ReportMetric(used, "VMs")
				b.ReportMetric(used/bound, "VMs/bound")
			})
		}
	}
}
