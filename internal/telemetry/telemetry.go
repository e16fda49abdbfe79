// Package telemetry turns the telemetry effects of the reducer into counters, histograms
// and log lines.
package telemetry

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/peer"
)

const (
	prefix = "gentianpick_"
	// maxLabelValues bounds the label values of one metric, so that a label with an
	// unbounded set of values can't exhaust the memory. It is above the number of
	// services in a service text of the target size.
	maxLabelValues = 2000
	// overflowLabel replaces the label values beyond maxLabelValues.
	overflowLabel = "other"
)

// series identifies one counter or histogram.
type series struct{ name, label string }

// Telemetry implements driver.Sink. It is safe for concurrent use.
type Telemetry struct {
	set *metrics.Set
	log log.Logger

	mu         sync.Mutex
	labels     map[string]int // number of label values by metric name
	counters   map[series]*metrics.Counter
	histograms map[series]*metrics.Histogram
}

var _ driver.Sink = (*Telemetry)(nil)

// New returns a Telemetry that writes log lines as JSON to w. An empty level means info,
// which is the level of state changes.
func New(w io.Writer, level string) *Telemetry {
	if level == "" {
		level = "info"
	}
	return &Telemetry{
		set:        metrics.NewSet(),
		log:        log.Logger{Level: log.ParseLevel(level), Writer: log.IOWriter{Writer: w}},
		labels:     map[string]int{},
		counters:   map[series]*metrics.Counter{},
		histograms: map[series]*metrics.Histogram{},
	}
}

// Count implements driver.Sink.
func (t *Telemetry) Count(c core.Count) {
	metricOf(t, t.counters, series{c.Name, c.Label}, t.set.GetOrCreateCounter).Add(c.N)
}

// Observe implements driver.Sink.
func (t *Telemetry) Observe(o core.Observe) {
	metricOf(t, t.histograms, series{o.Name, o.Label}, t.set.GetOrCreateHistogram).Update(o.Seconds)
}

// Change implements driver.Sink. It writes one log line.
func (t *Telemetry) Change(c core.Change) {
	e := t.log.Info()
	for _, f := range [...]struct{ name, value string }{{"subject", c.Subject}, {"from", c.From}, {"to", c.To}} {
		if f.value != "" {
			e = e.Str(f.name, f.value)
		}
	}
	e.Msg(c.What)
}

// metricOf returns the metric of a series and creates it on first use.
func metricOf[M any](t *Telemetry, known map[series]M, s series, create func(string) M) M {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := known[s]
	if ok {
		return m
	}
	if s.label != "" && t.labels[s.name] >= maxLabelValues {
		s.label = overflowLabel
	} else if s.label != "" {
		t.labels[s.name]++
	}
	name := prefix + s.name
	if s.label != "" {
		name += "{kind=" + strconv.Quote(s.label) + "}"
	}
	m = create(name)
	if s.label != overflowLabel {
		known[s] = m
	}
	return m
}

// RegisterDriver registers gauges of a driver's queues, readiness and service text.
func (t *Telemetry) RegisterDriver(d *driver.Driver) {
	t.set.NewGauge(prefix+"event_queue_length", func() float64 { return float64(d.QueueLengths().Events) })
	t.set.NewGauge(prefix+"call_queue_length", func() float64 { return float64(d.QueueLengths().Calls) })
	t.set.NewGauge(prefix+"open_requests", func() float64 { return float64(d.QueueLengths().OpenRequests) })
	t.set.NewGauge(prefix+"ready", func() float64 {
		if ready, _ := d.Ready(); ready {
			return 1
		}
		return 0
	})
	t.set.NewGauge(prefix+"text_version", func() float64 {
		if text := d.Text(); text != nil {
			return float64(text.Version)
		}
		return 0
	})
}

// RegisterPeerTraffic registers the byte counters of a transport.
func (t *Telemetry) RegisterPeerTraffic(p *peer.Transport) {
	near, far := p.Traffic()
	for _, k := range [...]struct {
		name    string
		traffic *peer.Traffic
	}{{"own_data_centre", near}, {"other", far}} {
		label := "{kind=" + strconv.Quote(k.name) + "}"
		t.set.NewGauge(prefix+"peer_sent_bytes_total"+label, func() float64 { return float64(k.traffic.Sent.Load()) })
		t.set.NewGauge(prefix+"peer_received_bytes_total"+label, func() float64 { return float64(k.traffic.Received.Load()) })
	}
}

// RegisterCallTraffic registers the counters of an adapter's HTTP client.
func (t *Telemetry) RegisterCallTraffic(adapter string, traffic *httpjson.Traffic) {
	for _, k := range [...]struct {
		name  string
		value *atomic.Uint64
	}{{"calls", &traffic.Calls}, {"sent_bytes", &traffic.BytesSent}, {"received_bytes", &traffic.BytesReceived}} {
		t.set.NewGauge(prefix+adapter+"_"+k.name+"_total", func() float64 { return float64(k.value.Load()) })
	}
	t.set.NewGauge(prefix+adapter+"_open_calls", func() float64 { return float64(traffic.InFlight.Load()) })
}

// WriteMetrics writes all metrics, including those of the process, in the Prometheus text
// format.
func (t *Telemetry) WriteMetrics(w io.Writer) {
	t.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
