package burn

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// windowPairs are the window pairs of the burn-rate alerts. An alert of the fast
// pair means that the budget is exhausted within days, an alert of the slow pair
// that it will not last for the compliance window. The short window is a twelfth
// of the long one, so that an alert ends soon after its cause.
var windowPairs = []struct {
	name        string
	long, short time.Duration
	budgetShare float64 // an alert needs this fraction of the budget to be spent within long
}{
	{"fast", time.Hour, 5 * time.Minute, 0.02},
	{"slow", 6 * time.Hour, 30 * time.Minute, 0.05},
}

const (
	// fineStep and fineBuckets cover the longest window of the pairs. With a step
	// of one minute, the shortest window (5 minutes) is at most a fifth too long.
	fineStep    = time.Minute
	fineBuckets = 361
	// coarseBuckets covers the compliance window with a resolution of 1/360.
	// Together with the fine ring, a service takes about 6 KB.
	coarseBuckets = 361
)

// Classification says how a request counts against its service level.
type Classification int

// The classifications.
const (
	Excluded Classification = iota // caused by the caller
	Good
	Bad
)

// callerErrorCodes are the codes of answers that the caller caused. These answers
// spend no error budget.
var callerErrorCodes = map[model.Code]bool{
	model.CodeBadRequest: true, model.CodeBodyTooLarge: true, model.CodeUnknownService: true,
	model.CodeKeyRequired: true, model.CodeKeyReused: true, model.CodeNeverFits: true,
	model.CodeQuotaExceeded: true, model.CodeCancelled: true, model.CodeJobNotFound: true,
}

// Classify returns how an answer that took the given time counts. An accepted job
// is excluded until it has ended. Work that ran and reported a failure is bad,
// since a faulty worker can't be distinguished from a faulty request here.
func Classify(l model.ServiceLevel, a model.Answer, took time.Duration) Classification {
	switch {
	case callerErrorCodes[a.Code], a.Outcome == model.OutcomeAccepted, a.Outcome == model.OutcomeRunning:
		return Excluded
	case a.Outcome != model.OutcomeDone, l.Latency > 0 && took > l.Latency:
		return Bad
	}
	return Good
}

// Meter counts the requests of all services with a service level. Its memory is
// bounded by the number of these services. Meter is not safe for concurrent use.
type Meter struct{ services map[string]*serviceCounts }

type serviceCounts struct {
	level  model.ServiceLevel
	fine   ring
	coarse ring
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{services: map[string]*serviceCounts{}} }

// SetText replaces the service levels by those of a text. Counts of a service are
// dropped if the service was removed or its latency or window changed, since they
// don't apply to the new level; they are kept if only the objective changed.
func (m *Meter) SetText(t *model.Text) {
	kept := map[string]*serviceCounts{}
	for i := range t.Services {
		s := &t.Services[i]
		if s.Level == nil {
			continue
		}
		c := m.services[s.Name]
		if c == nil || c.level.Window != s.Level.Window || c.level.Latency != s.Level.Latency {
			c = &serviceCounts{
				fine:   newRing(fineStep, fineBuckets),
				coarse: newRing(max(s.Level.Window/(coarseBuckets-1), time.Second), coarseBuckets),
			}
		}
		c.level = *s.Level
		kept[s.Name] = c
	}
	m.services = kept
}

// Answered counts one answer of a service. Answers of services without a service
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

// Report returns the burn rates of every service in the order of the text.
func (m *Meter) Report(now model.Time, t *model.Text) Report {
	r := Report{Services: []ServiceReport{}}
	for i := range t.Services {
		if c := m.services[t.Services[i].Name]; c != nil {
			r.Services = append(r.Services, c.report(now, t.Services[i].Name))
		}
	}
	return r
}

func (c *serviceCounts) report(now model.Time, name string) ServiceReport {
	s := ServiceReport{Service: name, Objective: c.level.Objective}
	if c.level.Latency > 0 {
		s.Latency = c.level.Latency.String()
	}
	for _, p := range windowPairs {
		a := AlertState{Name: p.name, Long: p.long.String(), Short: p.short.String(), Threshold: alertThreshold(p.budgetShare, c.level.Window, p.long)}
		a.LongRate = c.burnRate(c.fine.sum(now, p.long))
		a.ShortRate = c.burnRate(c.fine.sum(now, p.short))
		a.Firing = a.LongRate >= a.Threshold && a.ShortRate >= a.Threshold
		s.Alerts = append(s.Alerts, a)
	}
	good, bad := c.coarse.sum(now, c.level.Window)
	rate := c.burnRate(good, bad)
	s.Compliance = Compliance{Window: c.level.Window.String(), Good: good, Bad: bad, Rate: rate, BudgetLeft: 1 - rate}
	return s
}

// burnRate returns the fraction of bad requests as a multiple of the fraction that
// the objective allows, or 0 without requests.
func (c *serviceCounts) burnRate(good, bad uint64) float64 {
	if bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - c.level.Objective)
}

// alertThreshold returns the burn rate that spends budgetShare of the budget of a
// compliance window within long. For a compliance window of 30 days, the
// thresholds are 14.4 and 6. The threshold is at least 1 for short compliance
// windows too, since a lower rate never exhausts the budget.
func alertThreshold(budgetShare float64, window, long time.Duration) float64 {
	return max(budgetShare*float64(window)/float64(long), 1)
}
