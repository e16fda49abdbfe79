package burn

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// The window pairs. An alert of the fast pair means that the budget is gone
// within days, one of the slow pair that it will not last the compliance
// window. The short window is a twelfth of the long one, so that an alert ends
// soon after its cause.
var pairs = []struct {
	name        string
	long, short time.Duration
	budget      float64 // fraction of the budget that may be spent in long
}{
	{"fast", time.Hour, 5 * time.Minute, 0.02},
	{"slow", 6 * time.Hour, 30 * time.Minute, 0.05},
}

const (
	// fineStep and fineBuckets cover the longest pair. A step of a minute makes
	// the shortest window, of 5 minutes, at most a fifth too long.
	fineStep    = time.Minute
	fineBuckets = 361
	// coarseBuckets cover the compliance window to a 360th. With the fine ring
	// a service takes about 6 KB.
	coarseBuckets = 361
)

// Classification says how a request counts against its service level.
type Classification int

// The verdicts.
const (
	Excluded Classification = iota // the caller's own doing
	Good
	Bad
)

// callerCodes are the reasons of answers that the caller brought about. They
// spend no error budget.
var callerCodes = map[model.Code]bool{
	model.CodeBadRequest: true, model.CodeBodyTooLarge: true, model.CodeUnknownService: true,
	model.CodeKeyRequired: true, model.CodeKeyReused: true, model.CodeNeverFits: true,
	model.CodeQuotaExceeded: true, model.CodeCancelled: true, model.CodeJobNotFound: true,
}

// Classify returns how an answer counts that took the given time. An accepted job
// counts once it has ended. Work that ran and reported a failure is bad: from
// here a faulty worker can't be told from a faulty request.
func Classify(l model.ServiceLevel, a model.Answer, took time.Duration) Classification {
	switch {
	case callerCodes[a.Code], a.Outcome == model.OutcomeAccepted, a.Outcome == model.OutcomeRunning:
		return Excluded
	case a.Outcome != model.OutcomeDone, l.Latency > 0 && took > l.Latency:
		return Bad
	}
	return Good
}

// Meter counts the requests of the services with a service level. Its memory
// is bounded by the number of those services. It is not safe for concurrent
// use.
type Meter struct{ services map[string]*counts }

type counts struct {
	level  model.ServiceLevel
	fine   ring
	coarse ring
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter { return &Meter{services: map[string]*counts{}} }

// SetText makes the meter follow the levels of a text. Counts of services
// that are gone or have another latency or window are dropped, since they
// don't answer the new question; another objective keeps them.
func (m *Meter) SetText(t *model.Text) {
	kept := map[string]*counts{}
	for i := range t.Services {
		s := &t.Services[i]
		if s.Level == nil {
			continue
		}
		c := m.services[s.Name]
		if c == nil || c.level.Window != s.Level.Window || c.level.Latency != s.Level.Latency {
			c = &counts{
				fine:   newRing(fineStep, fineBuckets),
				coarse: newRing(max(s.Level.Window/(coarseBuckets-1), time.Second), coarseBuckets),
			}
		}
		c.level = *s.Level
		kept[s.Name] = c
	}
	m.services = kept
}

// Answered counts one answer of a service. Answers of services without a
// level are ignored.
func (m *Meter) Answered(now model.Time, service string, a model.Answer, took time.Duration) {
	c := m.services[service]
	if c == nil {
		return
	}
	if v := Classify(c.level, a, took); v != Excluded {
		c.fine.add(now, v == Good)
		c.coarse.add(now, v == Good)
	}
}

// Report returns the burn of every service in the order of the text.
func (m *Meter) Report(now model.Time, t *model.Text) Report {
	r := Report{Services: []ServiceReport{}}
	for i := range t.Services {
		if c := m.services[t.Services[i].Name]; c != nil {
			r.Services = append(r.Services, c.report(now, t.Services[i].Name))
		}
	}
	return r
}

func (c *counts) report(now model.Time, name string) ServiceReport {
	s := ServiceReport{Service: name, Objective: c.level.Objective}
	if c.level.Latency > 0 {
		s.Latency = c.level.Latency.String()
	}
	for _, p := range pairs {
		a := AlertState{Name: p.name, Long: p.long.String(), Short: p.short.String(), Threshold: threshold(p.budget, c.level.Window, p.long)}
		a.LongRate = c.rate(c.fine.sum(now, p.long))
		a.ShortRate = c.rate(c.fine.sum(now, p.short))
		a.Firing = a.LongRate >= a.Threshold && a.ShortRate >= a.Threshold
		s.Alerts = append(s.Alerts, a)
	}
	good, bad := c.coarse.sum(now, c.level.Window)
	rate := c.rate(good, bad)
	s.Compliance = Compliance{Window: c.level.Window.String(), Good: good, Bad: bad, Rate: rate, BudgetLeft: 1 - rate}
	return s
}

// rate returns the fraction of bad requests as a multiple of the fraction that
// the objective allows; without requests it is 0.
func (c *counts) rate(good, bad uint64) float64 {
	if bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - c.level.Objective)
}

// threshold returns the burn rate that spends a part of the budget of a
// compliance window within long. For 30 days it is 14.4 and 6. A rate below 1
// is never a loss, so that short compliance windows don't lower it further.
func threshold(budget float64, window, long time.Duration) float64 {
	return max(budget*float64(window)/float64(long), 1)
}
