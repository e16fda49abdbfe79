package load

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/servicetext"
)

type checker struct {
	*jsonc.Doc
	profile *Profile
}

func (c checker) check() {
	p := c.profile
	if c.Require("$.name") && !servicetext.ValidName(p.Name) {
		c.Addf(jsonc.CodeBadName, "$.name", "%q is not a name", p.Name)
	}
	c.checkCount("$.max_arrivals", p.MaxArrivals, 1, maxArrivals)
	c.checkCount("$.concurrency", p.Concurrency, 1, maxConcurrency)
	c.checkPositive("$.timeout", p.Timeout)
	c.checkNotNegative("$.drain", p.Drain)
	c.checkNotNegative("$.warmup", p.Warmup)
	c.checkPhases()
	if len(p.Mix)+len(p.QueuedJobs) == 0 {
		c.Addf(jsonc.CodeMissing, "$.mix", "there is neither a mix nor a queued job")
	}
	weight := 0.0
	for i := range p.Mix {
		at := jsonc.Index("$.mix", i)
		c.checkWork(at, &p.Mix[i])
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
		c.checkWork(at, &p.QueuedJobs[i])
		c.checkCount(at+".count", p.QueuedJobs[i].Count, 1, maxArrivals)
	}
	for i, w := range p.CancelWaves {
		at := jsonc.Index("$.cancel_waves", i)
		c.checkNotNegative(at+".at", w.At)
		c.checkShare(at+".share", w.Share)
	}
}

func (c checker) checkPhases() {
	if len(c.profile.Phases) == 0 {
		c.Addf(jsonc.CodeMissing, "$.phases", "is required")
	}
	total := time.Duration(0)
	for i, ph := range c.profile.Phases {
		at := jsonc.Index("$.phases", i)
		c.checkPositive(at+".duration", ph.Duration)
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

func (c checker) checkWork(path string, w *Work) {
	if c.Require(path+".service") && !servicetext.ValidName(w.Service) {
		c.Addf(jsonc.CodeBadName, path+".service", "%q is not a name", w.Service)
	}
	if c.Require(path + ".run") {
		c.checkDistribution(path+".run", w.RunTime)
	}
	c.checkShare(path+".stragglers.share", w.Stragglers.Share)
	if s := w.Stragglers; s.Share > 0 && s.Factor <= 1 {
		c.Addf(jsonc.CodeBadValue, path+".stragglers.factor", "must be above 1")
	}
	c.checkShare(path+".usage.share", w.Usage.Share)
	if w.Usage.Share > 0 && w.Usage.Actual == nil {
		c.Addf(jsonc.CodeMissing, path+".usage.actual", "is required")
	}
	c.checkShare(path+".keyed_share", w.KeyedShare)
	c.checkNotNegative(path+".deadline", w.Deadline)
	c.checkCount(path+".tasks", w.Tasks, 0, maxJobTasks)
}

func (c checker) checkDistribution(path string, r Distribution) {
	switch r.Kind {
	case KindFixed, KindExponential:
		c.checkPositive(path+".mean", r.Mean)
	case KindPareto:
		c.checkPositive(path+".min", r.Min)
		if r.Max <= r.Min {
			c.Addf(jsonc.CodeBadValue, path+".max", "must be above min")
		}
		if r.Shape <= 0 {
			c.Addf(jsonc.CodeBadValue, path+".shape", "must be positive")
		}
	default:
		c.Addf(jsonc.CodeBadValue, path+".kind", "must be %s, %s or %s, not %q", KindFixed, KindExponential, KindPareto, r.Kind)
	}
}

func (c checker) checkCount(path string, n, low, high int) {
	if n < low || n > high {
		c.Addf(jsonc.CodeBadValue, path, "must be %d to %d, not %d", low, high, n)
	}
}

func (c checker) checkShare(path string, s float64) {
	if s < 0 || s > 1 {
		c.Addf(jsonc.CodeBadValue, path, "must be 0 to 1, not %g", s)
	}
}

func (c checker) checkPositive(path string, d time.Duration) {
	if d <= 0 {
		c.Addf(jsonc.CodeBadValue, path, "must be positive")
	}
}

func (c checker) checkNotNegative(path string, d time.Duration) {
	if d < 0 {
		c.Addf(jsonc.CodeBadValue, path, "is negative")
	}
}
