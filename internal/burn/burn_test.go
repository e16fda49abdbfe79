package burn

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

func textWith(l model.ServiceLevel) *model.Text {
	return &model.Text{Services: []model.Service{{Name: "check", Level: &l}, {Name: "plan"}}}
}

var monthlyLevel = model.ServiceLevel{Objective: 0.99, Latency: time.Second, Window: 30 * 24 * time.Hour}

// recordRequests counts one request per second, of which every n-th is bad; with
// n 0 none is bad.
func recordRequests(m *Meter, from, to time.Duration, n int) {
	for i, at := 0, from; at < to; i, at = i+1, at+time.Second {
		a := model.Answer{Outcome: model.OutcomeDone}
		if n > 0 && i%n == 0 {
			a.Outcome = model.OutcomeFailed
		}
		m.Answered(model.Time(at), "check", a, 0)
	}
}

// Guards against caller errors that spend the error budget of a service, and
// against lost, slow or failed work that spends none.
func TestClassify(t *testing.T) {
	for _, tc := range []struct {
		outcome model.Outcome
		code    model.Code
		took    time.Duration
		want    Classification
	}{
		{model.OutcomeDone, "", time.Second, Good},
		{model.OutcomeDone, "", time.Second + 1, Bad},
		{model.OutcomeFailed, model.CodeTaskFailed, 0, Bad},
		{model.OutcomeUnknown, model.CodeInDoubt, 0, Bad},
		{model.OutcomeNotRun, model.CodeOverloaded, 0, Bad},
		{model.OutcomeNotRun, model.CodeKeyReused, 0, Excluded},
		{model.OutcomeNotRun, model.CodeCancelled, 0, Excluded},
		{model.OutcomeAccepted, "", time.Hour, Excluded},
	} {
		is := is.New(t)
		is.Equal(Classify(monthlyLevel, model.Answer{Outcome: tc.outcome, Code: tc.code}, tc.took), tc.want)
	}
}

// Guards against an alert that does not fire, that fires for a short fault, or
// that continues after the fault ended.
func TestAlerts(t *testing.T) {
	const start = 10 * time.Hour
	for _, tc := range []struct {
		name       string
		fault      time.Duration // a fifth of the requests fail: a burn rate of 20
		afterFault time.Duration
		fast, slow bool
	}{
		{"no fault", 0, 0, false, false},
		{"short fault", 5 * time.Minute, 0, false, false},
		{"fault of 50 minutes", 50 * time.Minute, 0, true, false},
		{"fault of 4 hours", 4 * time.Hour, 0, true, true},
		{"fault that ended 7 minutes ago", 4 * time.Hour, 7 * time.Minute, false, true},
		{"fault that ended 40 minutes ago", 4 * time.Hour, 40 * time.Minute, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m, text := NewMeter(), textWith(monthlyLevel)
			m.SetText(text)
			recordRequests(m, start-7*time.Hour, start, 0)
			recordRequests(m, start, start+tc.fault, 5)
			recordRequests(m, start+tc.fault, start+tc.fault+tc.afterFault, 0)
			r := m.Report(model.Time(start+tc.fault+tc.afterFault), text)
			is.Equal(len(r.Services), 1)
			alerts := r.Services[0].Alerts
			is.True(math.Abs(alerts[0].Threshold-14.4) < 1e-9 && math.Abs(alerts[1].Threshold-6) < 1e-9)
			is.Equal(alerts[0].Firing, tc.fast)
			is.Equal(alerts[1].Firing, tc.slow)
		})
	}
}

// Guards against requests that are still counted after the compliance window, or
// are lost within it.
func TestCompliance(t *testing.T) {
	is := is.New(t)
	m, text := NewMeter(), textWith(monthlyLevel)
	m.SetText(text)
	m.Answered(-5, "check", model.Answer{Outcome: model.OutcomeDone}, 0) // times may be negative
	recordRequests(m, 0, 1000*time.Second, 20)
	complianceAt := func(d time.Duration) Compliance { return m.Report(model.Time(d), text).Services[0].Compliance }
	c := complianceAt(time.Hour)
	is.Equal(c.Good+c.Bad, uint64(1001))
	is.Equal(c.Bad, uint64(50))
	is.True(math.Abs(c.Rate-50.0/1001*100) < 1e-9)
	is.True(math.Abs(c.BudgetLeft-(1-c.Rate)) < 1e-9)
	is.Equal(complianceAt(29*24*time.Hour).Bad, uint64(50))
	is.Equal(complianceAt(31*24*time.Hour), Compliance{Window: "720h0m0s", BudgetLeft: 1})
}

// Guards against counts that are kept although the latency or window changed, or
// that are lost when only the objective changes.
func TestSetText(t *testing.T) {
	is := is.New(t)
	m := NewMeter()
	level := monthlyLevel
	for _, step := range []struct {
		change func()
		bad    uint64
	}{
		{func() {}, 1},
		{func() { level.Objective = 0.5 }, 2},
		{func() { level.Latency = time.Minute }, 1},
		{func() { level.Window = 24 * time.Hour }, 1},
	} {
		step.change()
		text := textWith(level)
		m.SetText(text)
		m.Answered(1, "check", model.Answer{Outcome: model.OutcomeFailed}, 0)
		m.Answered(1, "plan", model.Answer{Outcome: model.OutcomeFailed}, 0)
		s := m.Report(2, text).Services
		is.Equal(len(s), 1)
		is.Equal(s[0].Compliance.Bad, step.bad)
		is.Equal(s[0].Objective, level.Objective)
	}
	m.SetText(&model.Text{})
	is.Equal(len(m.services), 0)
}

// Guards against a text report that doesn't show a firing alert.
func TestWriteTextShowsFiringAlert(t *testing.T) {
	is := is.New(t)
	m, text := NewMeter(), textWith(monthlyLevel)
	m.SetText(text)
	recordRequests(m, 0, time.Hour, 2)
	var b strings.Builder
	is.NoErr(m.Report(model.Time(time.Hour), text).WriteText(&b))
	is.True(strings.Contains(b.String(), "FIRING"))
	is.True(strings.Contains(b.String(), "99% within 1s"))
	is.True(strings.Contains(b.String(), "1800 good, 1800 bad"))
}

// Guards against a recorder that still counts by an older text.
func TestRecorderUpdatesText(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(func() model.Time { return 0 })
	text := textWith(monthlyLevel)
	r.Answered(text, "check", model.Answer{Outcome: model.OutcomeDone}, 0)
	is.Equal(r.Report(text).Services[0].Compliance.Good, uint64(1))
	is.Equal(len(r.Report(&model.Text{}).Services), 0)
}
