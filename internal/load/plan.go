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
	At            time.Duration // intended, from the start of the first phase
	Work          *Work
	RunTime       time.Duration // that the stand-in worker is told to take
	Straggler     bool
	UsageDeviates bool // uses other amounts than it declares
	KeyNumber     int  // number of the key; zero: none
}

// planner draws arrivals from one seed.
type planner struct {
	rng  *rand.Rand
	keys int
}

// Plan returns the jobs that are queued first and the arrivals of the phases,
// in order. The same profile gives the same plan.
func Plan(p *Profile) (jobs, arrivals []Arrival) {
	pl := &planner{rng: rand.New(rand.NewPCG(uint64(p.Seed), 3))}
	for i := range p.QueuedJobs {
		for range p.QueuedJobs[i].Count {
			jobs = append(jobs, pl.draw(&p.QueuedJobs[i], 0))
		}
	}
	weight := 0.0
	for _, w := range p.Mix {
		weight += w.Weight
	}
	if weight == 0 {
		return jobs, nil
	}
	start, before := time.Duration(0), 0.0
	for _, ph := range p.Phases {
		at := time.Duration(0)
		for {
			at += pl.gap(ph.rate(at, before))
			if at >= ph.Duration || len(arrivals) >= p.MaxArrivals {
				break
			}
			arrivals = append(arrivals, pl.draw(pl.pick(p.Mix, weight), start+at))
		}
		start, before = start+ph.Duration, ph.Rate
	}
	return jobs, arrivals
}

// minRate lets a ramp from zero make progress, in arrivals a second.
const minRate = 0.5

// rate returns the rate at a time of the phase.
func (ph Phase) rate(at time.Duration, before float64) float64 {
	if at >= ph.Ramp {
		return ph.Rate
	}
	r := before + (ph.Rate-before)*float64(at)/float64(ph.Ramp)
	return max(r, min(minRate, ph.Rate))
}

// gap draws the time to the next arrival of a Poisson process.
func (pl *planner) gap(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4 // beyond every phase
	}
	return time.Duration(pl.rng.ExpFloat64() / rate * float64(time.Second))
}

func (pl *planner) pick(mix []Work, weight float64) *Work {
	x := pl.rng.Float64() * weight
	for i := range mix {
		if x -= mix[i].Weight; x < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}

func (pl *planner) draw(w *Work, at time.Duration) Arrival {
	a := Arrival{At: at, Work: w, RunTime: w.RunTime.draw(pl.rng)}
	if pl.rng.Float64() < w.Stragglers.Share {
		a.Straggler = true
		a.RunTime = time.Duration(float64(a.RunTime) * w.Stragglers.Factor)
	}
	a.UsageDeviates = pl.rng.Float64() < w.Usage.Share
	if pl.rng.Float64() < w.KeyedShare {
		pl.keys++
		a.KeyNumber = pl.keys
	}
	return a
}

// draw returns a run time of at least a millisecond, the stand-in's unit.
func (d Distribution) draw(rng *rand.Rand) time.Duration {
	run := d.Mean
	switch d.Kind {
	case KindExponential:
		run = time.Duration(rng.ExpFloat64() * float64(d.Mean))
		if d.Max > 0 {
			run = min(run, d.Max)
		}
	case KindPareto:
		// The inverse of the bounded distribution's function.
		lo, hi := math.Pow(float64(d.Min), d.Shape), math.Pow(float64(d.Max), d.Shape)
		u := rng.Float64()
		run = time.Duration(math.Pow((hi*lo)/(hi-u*(hi-lo)), 1/d.Shape))
	}
	return max(run, time.Millisecond)
}

// submit returns the body of an arrival's submission. The prefix makes the keys
// of one run differ from those of every other.
func (a *Arrival) submit(prefix string) wire.Submit {
	w := a.Work
	ms := a.RunTime.Milliseconds()
	plan := standin.Plan{RunMS: &ms, Result: "ok"}
	if a.UsageDeviates {
		plan.Usage = w.Usage.Actual
	}
	body, _ := json.Marshal(plan) // can't fail: plain values only
	s := wire.Submit{
		Service: w.Service, Operation: a.operation(), BodyText: string(body), Tasks: w.Tasks,
		Resources: w.Resources, Deadline: wire.FormatDuration(w.Deadline),
	}
	if a.KeyNumber > 0 {
		s.Key = model.Key(prefix + "-" + strconv.Itoa(a.KeyNumber))
	}
	return s
}

func (a *Arrival) operation() string {
	if a.Straggler && a.Work.Stragglers.Operation != "" {
		return a.Work.Stragglers.Operation
	}
	return a.Work.Operation
}
