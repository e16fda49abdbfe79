package load

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/servicetext"
)

type checker struct {
	*jsonc.Doc
	p *Profile
}

func (c checker) check() {
	p := c.p
	if c.Require("$.name") && !servicetext.ValidName(p.Name) {
		c.Addf(jsonc.CodeBadName, "$.name", "%q is not a name", p.Name)
	}
	c.count("$.max_arrivals", p.MaxArrivals, 1, maxArrivals)
	c.count("$.concurrency", p.Concurrency, 1, maxConcurrency)
	c.positive("$.timeout", p.Timeout)
	c.notNegative("$.drain", p.Drain)
	c.notNegative("$.warmup", p.Warmup)
	c.phases()
	if len(p.Mix)+len(p.QueuedJobs) == 0 {
		c.Addf(jsonc.CodeMissing, "$.mix", "there is neither a mix nor a queued job")
	}
	weight := 0.0
	for i := range p.Mix {
		at := jsonc.Index("$.mix", i)
		c.work(at, &p.Mix[i])
		if p.Mix[i].Weight < 0 {
			c.Addf(jsonc.CodeBadValue, at+".weight", "is negative")
		}
		weight += p.Mix[i].Weight
	}
	if len(p.Mix) > 0 && weight <= 0 {
		c.Addf(jsonc.CodeBadValue, "$.mix", "has no weight")
	}
	for i := range p.QueuedJobs {
		at := jsonc.Index("$.jobs", i)
		c.work(at, &p.QueuedJobs[i])
		c.count(at+".count", p.QueuedJobs[i].Count, 1, maxArrivals)
	}
	for i, w := range p.CancelWaves {
		at := jsonc.Index("$.cancel_waves", i)
		c.notNegative(at+".at", w.At)
		c.share(at+".share", w.Share)
	}
}

func (c checker) phases() {
	if len(c.p.Phases) == 0 {
		c.Addf(jsonc.CodeMissing, "$.phases", "is required")
	}
	total := time.Duration(0)
	for i, ph := range c.p.Phases {
		at := jsonc.Index("$.phases", i)
		c.positive(at+".duration", ph.Duration)
		if ph.Rate < 0 {
			c.Addf(jsonc.CodeBadValue, at+".rate", "is negative")
		}
		if ph.Ramp < 0 || ph.Ramp > ph.Duration {
			c.Addf(jsonc.CodeBadValue, at+".ramp", "is not within the phase")
		}
		total += ph.Duration
	}
	if total > maxDuration {
		c.Addf(jsonc.CodeBadValue, "$.phases", "take %s, allowed are %s", total, maxDuration)
	}
}

func (c checker) work(at string, w *Work) {
	if c.Require(at+".service") && !servicetext.ValidName(w.Service) {
		c.Addf(jsonc.CodeBadName, at+".service", "%q is not a name", w.Service)
	}
	if c.Require(at + ".run") {
		c.run(at+".run", w.RunTime)
	}
	c.share(at+".stragglers.share", w.Stragglers.Share)
	if s := w.Stragglers; s.Share > 0 && s.Factor <= 1 {
		c.Addf(jsonc.CodeBadValue, at+".stragglers.factor", "must be above 1")
	}
	c.share(at+".usage.share", w.Usage.Share)
	if w.Usage.Share > 0 && w.Usage.Actual == nil {
		c.Addf(jsonc.CodeMissing, at+".usage.actual", "is required")
	}
	c.share(at+".keyed_share", w.KeyedShare)
	c.notNegative(at+".deadline", w.Deadline)
	c.count(at+".tasks", w.Tasks, 0, maxJobTasks)
}

func (c checker) run(at string, r Distribution) {
	switch r.Kind {
	case KindFixed, KindExponential:
		c.positive(at+".mean", r.Mean)
	case KindPareto:
		c.positive(at+".min", r.Min)
		if r.Max <= r.Min {
			c.Addf(jsonc.CodeBadValue, at+".max", "must be above min")
		}
		if r.Shape <= 0 {
			c.Addf(jsonc.CodeBadValue, at+".shape", "must be positive")
		}
	default:
		c.Addf(jsonc.CodeBadValue, at+".kind", "must be %s, %s or %s, not %q", KindFixed, KindExponential, KindPareto, r.Kind)
	}
}

func (c checker) count(at string, n, low, high int) {
	if n < low || n > high {
		c.Addf(jsonc.CodeBadValue, at, "must be %d to %d, not %d", low, high, n)
	}
}

func (c checker) share(at string, s float64) {
	if s < 0 || s > 1 {
		c.Addf(jsonc.CodeBadValue, at, "must be 0 to 1, not %g", s)
	}
}

func (c checker) positive(at string, d time.Duration) {
	if d <= 0 {
		c.Addf(jsonc.CodeBadValue, at, "must be positive")
	}
}

func (c checker) notNegative(at string, d time.Duration) {
	if d < 0 {
		c.Addf(jsonc.CodeBadValue, at, "is negative")
	}
}
