package load

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// Guards against a sample that the parser refuses.
func TestSamples(t *testing.T) {
	names, err := filepath.Glob("../../samples/load/*.load.jsonc")
	is.New(t).NoErr(err)
	is.New(t).True(len(names) > 1)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			_, err := ReadProfile(name)
			is.New(t).NoErr(err)
		})
	}
}

// Guards against a mistake in a profile that runs as something else than meant.
func TestParseRefuses(t *testing.T) {
	for _, tc := range []struct{ name, text, path string }{
		{"unknown field", `{"name":"a","phasen":[]}`, "$.phasen"},
		{"no phase", `{"name":"a","mix":[{"service":"s","weight":1,"run":{"kind":"fixed","mean":"1s"}}]}`, "$.phases"},
		{"no weight", `{"name":"a","phases":[{"duration":"1s"}],"mix":[{"service":"s","run":{"kind":"fixed","mean":"1s"}}]}`, "$.mix"},
		{"ramp", `{"name":"a","phases":[{"duration":"1s","ramp":"2s"}],"mix":[{"service":"s","weight":1,"run":{"kind":"fixed","mean":"1s"}}]}`, "$.phases[0].ramp"},
		{"kind", `{"name":"a","phases":[{"duration":"1s"}],"mix":[{"service":"s","weight":1,"run":{"kind":"normal"}}]}`, "$.mix[0].run.kind"},
		{"share", `{"name":"a","phases":[{"duration":"1s"}],"mix":[{"service":"s","weight":1,"run":{"kind":"fixed","mean":"1s"},"keyed_share":2}]}`, "$.mix[0].keyed_share"},
		{"too long", `{"name":"a","phases":[{"duration":"9h"}],"mix":[{"service":"s","weight":1,"run":{"kind":"fixed","mean":"1s"}}]}`, "$.phases"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(tc.text))
			var list *jsonc.Errors
			is.True(errors.As(err, &list))
			paths := map[string]bool{}
			for _, e := range list.List {
				paths[e.Path] = true
			}
			is.True(paths[tc.path])
		})
	}
}

const crest = `{
"name": "crest", "seed": 7,
"phases": [{"duration": "20s", "rate": 100}, {"duration": "10s", "rate": 300, "ramp": "2s"}],
"mix": [
  {"service": "check", "operation": "a", "weight": 3, "run": {"kind": "pareto", "min": "10ms", "max": "1s", "shape": 1.2}},
  {"service": "book", "weight": 1, "keyed_share": 1, "run": {"kind": "fixed", "mean": "50ms"},
    "stragglers": {"share": 0.1, "factor": 100, "operation": "long"}},
],
"jobs": [{"service": "plan", "count": 3, "tasks": 4, "run": {"kind": "exponential", "mean": "1s", "max": "2s"}}],
}`

// Guards against a run that can't be repeated, and against a crest that does
// not come.
func TestPlan(t *testing.T) {
	is := is.New(t)
	p, err := Parse([]byte(crest))
	is.NoErr(err)
	jobs, arrivals := Plan(p)
	jobs2, arrivals2 := Plan(p)
	is.Equal(jobs, jobs2)
	is.Equal(arrivals, arrivals2)
	is.Equal(len(jobs), 3)
	var before, top, long int
	keys := map[int]bool{}
	for _, a := range arrivals {
		switch {
		case a.At < 20*time.Second:
			before++
		case a.At >= 22*time.Second:
			top++
		}
		if a.Work.Service == "check" {
			is.True(a.RunTime >= 10*time.Millisecond && a.RunTime <= time.Second)
			continue
		}
		is.True(a.KeyNumber > 0 && !keys[a.KeyNumber]) // every booking has a key of its own
		keys[a.KeyNumber] = true
		if a.Straggler {
			long++
			is.Equal(a.operation(), "long")
			is.Equal(a.RunTime, 5*time.Second)
		}
	}
	is.True(before > 1800 && before < 2200)
	is.True(top > 2200 && top < 2600)
	is.True(long > 60 && long < 160)

	p.MaxArrivals = 10
	_, arrivals = Plan(p)
	is.Equal(len(arrivals), 10)
}

// api answers submissions; requests to "slow" only after release.
func api(release chan struct{}) http.Handler {
	write := func(w http.ResponseWriter, a wire.Answer) { _ = json.NewEncoder(w).Encode(a) }
	m := http.NewServeMux()
	m.HandleFunc("POST "+wire.PathRequests, func(w http.ResponseWriter, r *http.Request) {
		var s wire.Submit
		_ = json.NewDecoder(r.Body).Decode(&s)
		switch s.Service {
		case "slow":
			<-release
		case "refused":
			write(w, wire.Answer{Outcome: model.OutcomeNotRun, Code: model.CodeOverloaded})
			return
		}
		write(w, wire.Answer{Job: "tartu/1", Outcome: model.OutcomeDone})
	})
	m.HandleFunc("POST "+wire.PathJobs, func(w http.ResponseWriter, r *http.Request) {
		write(w, wire.Answer{Job: "tartu/2", Outcome: model.OutcomeAccepted})
	})
	m.HandleFunc("GET "+wire.PathJobs+"/{id...}", func(w http.ResponseWriter, r *http.Request) {
		write(w, wire.Answer{Job: "tartu/2", Outcome: model.OutcomeFailed, Code: model.CodeTaskFailed})
	})
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "gentianpick_appends 7\n")
	})
	return m
}

// run runs a profile with one arrival every few milliseconds.
func run(is *is.I, mix string, release chan struct{}) *Result {
	is.Helper()
	server := httptest.NewServer(api(release))
	defer server.Close()
	p, err := Parse([]byte(`{"name": "t", "max_arrivals": 20, "concurrency": 1, "phases": [{"duration": "200ms", "rate": 1000}], ` + mix + `}`))
	is.NoErr(err)
	r, err := NewRunner(p, []string{server.URL})
	is.NoErr(err)
	if release != nil {
		go func() {
			// The first call holds the only slot until every other arrival was
			// dropped.
			for {
				r.stats.mu.Lock()
				row := r.stats.rows[rowKey{service: "slow"}]
				done := row != nil && row.dropped == 19
				r.stats.mu.Unlock()
				if done {
					close(release)
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	return r.Run(context.Background())
}

// Guards against a slow server that slows the load down, and against arrivals
// that vanish from the report because they could not be sent.
func TestOpenLoop(t *testing.T) {
	is := is.New(t)
	res := run(is, `"mix": [{"service": "slow", "weight": 1, "run": {"kind": "fixed", "mean": "1ms"}}]`, make(chan struct{}))
	is.Equal(len(res.Rows), 1)
	is.Equal(res.Rows[0].Planned, int64(20))
	is.Equal(res.Rows[0].Dropped, int64(19))
	is.Equal(res.Rows[0].Outcomes[model.OutcomeDone], int64(1))
}

// Guards against refusals and ends of jobs that are counted as something else.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	res := run(is, `"mix": [{"service": "refused", "weight": 1, "run": {"kind": "fixed", "mean": "1ms"}}],
		"jobs": [{"service": "plan", "count": 2, "run": {"kind": "fixed", "mean": "1ms"}}]`, nil)
	is.Equal(len(res.Rows), 2)
	is.Equal(res.Rows[0].Service, "plan")
	is.Equal(res.Rows[0].Outcomes, map[model.Outcome]int64{model.OutcomeFailed: 2})
	is.Equal(res.Rows[0].AcceptLatency.Count, int64(2))
	refused := res.Rows[1]
	is.Equal(refused.Outcomes[model.OutcomeNotRun]+refused.Dropped, int64(20))
	is.Equal(refused.Codes[string(model.CodeOverloaded)], refused.Outcomes[model.OutcomeNotRun])
	is.Equal(refused.InTime, int64(0))
}

// Guards against a page that does not stand by itself or is cut short.
func TestPage(t *testing.T) {
	is := is.New(t)
	res := run(is, `"mix": [{"service": "done", "weight": 1, "run": {"kind": "fixed", "mean": "1ms"}}]`, nil)
	var b bytes.Buffer
	is.NoErr(res.WritePage(&b))
	text := b.String()
	is.True(strings.Contains(text, "<svg") && strings.Contains(text, "<polyline"))
	is.True(!strings.Contains(text, "http://") && !strings.Contains(text, "https://"))
	d := xml.NewDecoder(&b)
	d.Strict, d.AutoClose = false, xml.HTMLAutoClose
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else {
			is.NoErr(err)
		}
	}
}

// Guards against quantiles of the owners' histograms that mix up classes or
// count what happened before the run.
func TestPlacementWaits(t *testing.T) {
	is := is.New(t)
	before := parseMetrics([]byte(`x_bucket 1
gentianpick_placement_wait_seconds_bucket{kind="batch",vmrange="1.000e-03...1.136e-03"} 5
`))
	after := parseMetrics([]byte(`gentianpick_placement_wait_seconds_bucket{kind="batch",vmrange="1.000e-03...1.136e-03"} 104
gentianpick_placement_wait_seconds_bucket{kind="batch",vmrange="1.000e+00...1.136e+00"} 1
gentianpick_placement_wait_seconds_bucket{kind="interactive",vmrange="0...1.000e-09"} 3
`))
	waits := placementWaits([]sample{before}, []sample{after})
	is.Equal(len(waits), 2)
	is.Equal(waits["batch"].Count, int64(100))
	is.True(waits["batch"].P99MS > 1.13 && waits["batch"].P99MS < 1.14)
	is.Equal(waits["batch"].MaxMS, 1136.0)
	is.Equal(waits["interactive"].Count, int64(3))
}
