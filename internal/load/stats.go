package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// maxLatency is the highest recorded latency. Higher values are recorded as
	// maxLatency.
	maxLatency = 30 * time.Minute
	// significantDigits is the precision of totals, in decimal digits.
	significantDigits = 3
	// secondSignificantDigits is the precision of one second of a series. It is lower
	// because a run has many of these histograms.
	secondSignificantDigits = 2
)

// histogram records durations in microseconds.
type histogram struct{ hdr *hdrhistogram.Histogram }

func newHistogram(precision int) histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), precision)}
}

func (h histogram) record(d time.Duration) {
	// Recording can't fail, because the value is clamped to the range.
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// Quantiles summarizes a distribution of durations. All durations are in milliseconds.
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
	at := func(q float64) float64 { return ms(h.hdr.ValueAtQuantile(q)) }
	return Quantiles{
		Count: h.hdr.TotalCount(), MeanMS: h.hdr.Mean() / 1000,
		P50MS: at(50), P90MS: at(90), P99MS: at(99), P999MS: at(99.9), MaxMS: ms(h.hdr.Max()),
	}
}

// rowKey identifies one row of the result.
type rowKey struct {
	service, operation string
	straggler, queued  bool
}

// rowStats collects the outcomes of the arrivals of one row.
type rowStats struct {
	planned, dropped, unanswered, inTime, late int64
	outcomes                                   map[model.Outcome]int64
	codes                                      map[string]int64
	latency, wait, accept                      histogram
}

// secondStats collects the arrivals of one second of a service's series.
type secondStats struct {
	planned, answered, inTime int64
	latency                   histogram
}

// stats collects results. It is safe for concurrent use.
type stats struct {
	mu     sync.Mutex
	rows   map[rowKey]*rowStats
	series map[string]map[int]*secondStats
	warmup time.Duration
}

func newStats(warmup time.Duration) *stats {
	return &stats{rows: map[rowKey]*rowStats{}, series: map[string]map[int]*secondStats{}, warmup: warmup}
}

// rowFor returns the row of an arrival and creates it if needed. The caller must hold mu.
func (s *stats) rowFor(a *Arrival, queued bool) *rowStats {
	k := rowKey{a.Work.Service, a.operation(), a.Straggler, queued}
	r := s.rows[k]
	if r == nil {
		r = &rowStats{
			outcomes: map[model.Outcome]int64{}, codes: map[string]int64{},
			latency: newHistogram(significantDigits), wait: newHistogram(significantDigits), accept: newHistogram(significantDigits),
		}
		s.rows[k] = r
	}
	return r
}

// secondFor returns the second of an arrival and creates it if needed. The caller must
// hold mu.
func (s *stats) secondFor(a *Arrival) *secondStats {
	seconds := s.series[a.Work.Service]
	if seconds == nil {
		seconds = map[int]*secondStats{}
		s.series[a.Work.Service] = seconds
	}
	at := int(a.At / time.Second)
	if seconds[at] == nil {
		seconds[at] = &secondStats{latency: newHistogram(secondSignificantDigits)}
	}
	return seconds[at]
}

// reported reports whether an arrival counts in the rows: queued jobs always do, other
// arrivals only after the warm-up.
func (s *stats) reported(a *Arrival, queued bool) bool { return queued || a.At >= s.warmup }

func (s *stats) recordPlanned(a *Arrival, queued bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !queued {
		s.secondFor(a).planned++
	}
	if s.reported(a, queued) {
		s.rowFor(a, queued).planned++
	}
}

func (s *stats) recordDropped(a *Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported(a, false) {
		s.rowFor(a, false).dropped++
	}
}

// recordAccepted records the time until a job was accepted.
func (s *stats) recordAccepted(a *Arrival, queued bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported(a, queued) {
		s.rowFor(a, queued).accept.record(took)
	}
}

// callResult is the result of one arrival as its caller saw it.
type callResult struct {
	outcome model.Outcome // empty: no answer
	code    model.Code
	took    time.Duration // since the intended time, or since the submission of a queued job
}

func (s *stats) recordEnd(a *Arrival, queued bool, r callResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inTime := r.outcome == model.OutcomeDone && (a.Work.Deadline == 0 || r.took <= a.Work.Deadline)
	if !queued {
		c := s.secondFor(a)
		c.answered++
		c.latency.record(r.took)
		if inTime {
			c.inTime++
		}
	}
	if !s.reported(a, queued) {
		return
	}
	w := s.rowFor(a, queued)
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
	w.latency.record(r.took)
	w.wait.record(r.took - a.RunTime)
	if inTime {
		w.inTime++
	} else {
		w.late++
	}
}
