package load

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// Arrival is one planned submission.
type Arrival struct {
	At            time.Duration // intended time since the start of the first phase
	Work          *Work
	RunTime       time.Duration // run time of each task, sent to the stand-in worker
	Straggler     bool
	UsageDeviates bool // its tasks use other amounts of resources than they declare
	KeyNumber     int  // number of the idempotency key; 0: no key
}

// planner draws random arrivals. Its generator is seeded from the profile.
type planner struct {
	rng     *rand.Rand
	lastKey int
}

// Plan returns the jobs that are queued before the first phase, and the arrivals of the
// phases in order of time. The plan is determined by the profile and its seed.
func Plan(p *Profile) (jobs, arrivals []Arrival) {
	pl := &planner{rng: rand.New(rand.NewPCG(uint64(p.Seed), 3))}
	for i := range p.QueuedJobs {
		for range p.QueuedJobs[i].Count {
			jobs = append(jobs, pl.drawArrival(&p.QueuedJobs[i], 0))
		}
	}
	weight := 0.0
	for _, w := range p.Mix {
		weight += w.Weight
	}
	if weight == 0 {
		return jobs, nil
	}
	start, previousRate := time.Duration(0), 0.0
	for _, ph := range p.Phases {
		at := time.Duration(0)
		for {
			at += pl.interArrivalTime(ph.rate(at, previousRate))
			if at >= ph.Duration || len(arrivals) >= p.MaxArrivals {
				break
			}
			arrivals = append(arrivals, pl.drawArrival(pl.pickWork(p.Mix, weight), start+at))
		}
		start, previousRate = start+ph.Duration, ph.Rate
	}
	return jobs, arrivals
}

// minRampRate is the lowest rate during a ramp, in arrivals per second. Without it, a ramp
// that starts at zero would never produce an arrival.
const minRampRate = 0.5

// rate returns the rate of arrivals at a time of the phase. During the ramp it is
// interpolated from the rate of the previous phase.
func (ph Phase) rate(at time.Duration, previousRate float64) float64 {
	if at >= ph.Ramp {
		return ph.Rate
	}
	r := previousRate + (ph.Rate-previousRate)*float64(at)/float64(ph.Ramp)
	return max(r, min(minRampRate, ph.Rate))
}

// interArrivalTime draws the time to the next arrival of a Poisson process.
func (pl *planner) interArrivalTime(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4 // later than the end of any phase
	}
	return time.Duration(pl.rng.ExpFloat64() / rate * float64(time.Second))
}

func (pl *planner) pickWork(mix []Work, weight float64) *Work {
	x := pl.rng.Float64() * weight
	for i := range mix {
		if x -= mix[i].Weight; x < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}

func (pl *planner) drawArrival(w *Work, at time.Duration) Arrival {
	a := Arrival{At: at, Work: w, RunTime: w.RunTime.draw(pl.rng)}
	if pl.rng.Float64() < w.Stragglers.Share {
		a.Straggler = true
		a.RunTime = time.Duration(float64(a.RunTime) * w.Stragglers.Factor)
	}
	a.UsageDeviates = pl.rng.Float64() < w.Usage.Share
	if pl.rng.Float64() < w.KeyedShare {
		pl.lastKey++
		a.KeyNumber = pl.lastKey
	}
	return a
}

// draw returns a random run time of at least 1 ms, the resolution of stand-in workers.
func (d Distribution) draw(rng *rand.Rand) time.Duration {
	run := d.Mean
	switch d.Kind {
	case KindExponential:
		run = time.Duration(rng.ExpFloat64() * float64(d.Mean))
		if d.Max > 0 {
			run = min(run, d.Max)
		}
	case KindPareto:
		// Inverse of the cumulative distribution function of the bounded Pareto
		// distribution.
		lo, hi := math.Pow(float64(d.Min), d.Shape), math.Pow(float64(d.Max), d.Shape)
		u := rng.Float64()
		run = time.Duration(math.Pow((hi*lo)/(hi-u*(hi-lo)), 1/d.Shape))
	}
	return max(run, time.Millisecond)
}

// submission returns the submission of an arrival. The key prefix distinguishes the keys
// of this run from those of other runs.
func (a *Arrival) submission(keyPrefix string) wire.Submit {
	w := a.Work
	ms := a.RunTime.Milliseconds()
	plan := standin.Plan{RunMS: &ms, Result: "ok"}
	if a.UsageDeviates {
		plan.Usage = w.Usage.Actual
	}
	body, _ := json.Marshal(plan) // marshalling these plain values never fails
	s := wire.Submit{
		Service: w.Service, Operation: a.operation(), BodyText: string(body), Tasks: w.Tasks,
		Resources: w.Resources, Deadline: wire.FormatDuration(w.Deadline),
	}
	if a.KeyNumber > 0 {
		s.Key = model.Key(keyPrefix + "-" + strconv.Itoa(a.KeyNumber))
	}
	return s
}

func (a *Arrival) operation() string {
	if a.Straggler && a.Work.Stragglers.Operation != "" {
		return a.Work.Stragglers.Operation
	}
	return a.Work.Operation
}
