package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// maxLatency is the highest recorded latency; above it values count as it.
	maxLatency = 30 * time.Minute
	// digits is the precision of totals in significant decimal digits.
	digits = 3
	// secondDigits is that of one second of the series, which are many.
	secondDigits = 2
)

// histogram records durations in microseconds.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram(precision int) histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), precision)}
}

func (h histogram) add(d time.Duration) {
	// The value is cut to the range, so that recording can't fail.
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// Quantiles are durations in milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p99_9_ms"`
	MaxMS  float64 `json:"max_ms"`
}

func (h histogram) quantiles() Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	at := func(q float64) float64 { return ms(h.h.ValueAtQuantile(q)) }
	return Quantiles{
		Count: h.h.TotalCount(), MeanMS: h.h.Mean() / 1000,
		P50MS: at(50), P90MS: at(90), P99MS: at(99), P999MS: at(99.9), MaxMS: ms(h.h.Max()),
	}
}

// rowKey names one row of the result.
type rowKey struct {
	service, operation string
	straggler, queued  bool
}

// row counts what became of the arrivals of one kind.
type row struct {
	planned, dropped, unanswered, inTime, late int64
	outcomes                                   map[model.Outcome]int64
	codes                                      map[string]int64
	latency, wait, accept                      histogram
}

// second is one second of one service's series.
type second struct {
	planned, answered, inTime int64
	latency                   histogram
}

// stats collects results. It is safe for concurrent use.
type stats struct {
	mu     sync.Mutex
	rows   map[rowKey]*row
	series map[string]map[int]*second
	warmup time.Duration
}

func newStats(warmup time.Duration) *stats {
	return &stats{rows: map[rowKey]*row{}, series: map[string]map[int]*second{}, warmup: warmup}
}

// row is called with mu held.
func (s *stats) row(a *Arrival, queued bool) *row {
	k := rowKey{a.Work.Service, a.operation(), a.Straggler, queued}
	r := s.rows[k]
	if r == nil {
		r = &row{
			outcomes: map[model.Outcome]int64{}, codes: map[string]int64{},
			latency: newHistogram(digits), wait: newHistogram(digits), accept: newHistogram(digits),
		}
		s.rows[k] = r
	}
	return r
}

// second is called with mu held.
func (s *stats) second(a *Arrival) *second {
	of := s.series[a.Work.Service]
	if of == nil {
		of = map[int]*second{}
		s.series[a.Work.Service] = of
	}
	at := int(a.At / time.Second)
	if of[at] == nil {
		of[at] = &second{latency: newHistogram(secondDigits)}
	}
	return of[at]
}

// counts reports whether an arrival belongs to the reported part of the run.
func (s *stats) counts(a *Arrival, queued bool) bool { return queued || a.At >= s.warmup }

func (s *stats) planned(a *Arrival, queued bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !queued {
		s.second(a).planned++
	}
	if s.counts(a, queued) {
		s.row(a, queued).planned++
	}
}

func (s *stats) dropped(a *Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts(a, false) {
		s.row(a, false).dropped++
	}
}

// accepted records how long a job's acceptance took.
func (s *stats) accepted(a *Arrival, queued bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts(a, queued) {
		s.row(a, queued).accept.add(took)
	}
}

// result is the end of one arrival as its caller saw it.
type result struct {
	outcome model.Outcome // empty: no answer
	code    model.Code
	took    time.Duration // since the intended time
}

func (s *stats) ended(a *Arrival, queued bool, r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inTime := r.outcome == model.OutcomeDone && (a.Work.Deadline == 0 || r.took <= a.Work.Deadline)
	if !queued {
		c := s.second(a)
		c.answered++
		c.latency.add(r.took)
		if inTime {
			c.inTime++
		}
	}
	if !s.counts(a, queued) {
		return
	}
	w := s.row(a, queued)
	if r.outcome == "" {
		w.unanswered++
	} else {
		w.outcomes[r.outcome]++
	}
	if r.code != model.CodeNone {
		w.codes[string(r.code)]++
	}
	if r.outcome != model.OutcomeDone {
		return
	}
	w.latency.add(r.took)
	w.wait.add(r.took - a.RunTime)
	if inTime {
		w.inTime++
	} else {
		w.late++
	}
}
