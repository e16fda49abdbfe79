package node

import (
	"fmt"
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/logbuf"
	"github.com/gentianpick/gentianpick/internal/telemetry"
)

// Telemetry writes the logs and metrics of an instance. It never blocks.
type Telemetry struct {
	*telemetry.Telemetry
	buf *logbuf.Writer
	log log.Logger
}

// NewTelemetry returns a Telemetry that writes log lines as JSON to w.
func NewTelemetry(w io.Writer, level, instance string) *Telemetry {
	if level == "" {
		level = "info"
	}
	buf := logbuf.New(w)
	return &Telemetry{
		Telemetry: telemetry.New(buf, level),
		buf:       buf,
		log: log.Logger{
			Level: log.ParseLevel(level), Writer: log.IOWriter{Writer: buf}, TimeFormat: log.TimeFormatUnixMs,
			Context: log.NewContext(nil).Str("instance", instance).Value(),
		},
	}
}

// Close flushes the buffered log lines.
func (t *Telemetry) Close() { t.buf.Close() }

// Dropped returns the number of log lines that were dropped since the buffer was full.
func (t *Telemetry) Dropped() uint64 { return t.buf.Dropped() }

// LogFields are the fields of a log line about the instance or one of its dependencies.
type LogFields struct {
	Subject string
	Reason  string
	Outcome string
	Count   int64
}

// Log writes one line about the instance or one of its dependencies.
func (t *Telemetry) Log(msg string, f LogFields) {
	e := t.log.Info()
	if f.Subject != "" {
		e = e.Str("subject", f.Subject)
	}
	if f.Reason != "" {
		e = e.Str("reason", f.Reason)
	}
	if f.Outcome != "" {
		e = e.Str("outcome", f.Outcome)
	}
	if f.Count != 0 {
		e = e.Int64("count", f.Count)
	}
	e.Msg(msg)
}

// registerTraffic registers the metrics of the instance's traffic.
func (t *Telemetry) registerTraffic(traffic *Traffic) {
	for i, one := range traffic.all() {
		t.RegisterCallTraffic(trafficNames[i], one)
	}
}

// LogBandwidth writes one line about the bandwidth use of the VM's network link.
func (t *Telemetry) LogBandwidth(msg string, u *bandwidthUse) {
	e := t.log.Info().Int64("open_worker_calls", u.openCalls)
	for i, name := range trafficNames {
		e = e.Int64(name+"_sent_bytes_s", u.sent[i]).Int64(name+"_received_bytes_s", u.received[i])
	}
	e.Msg(msg)
}

// LogRequest writes one line about a caller's request.
func (t *Telemetry) LogRequest(msg string, id jobs.ID, queue string, took time.Duration, outcome, reason string) {
	e := t.log.Info().Str("job", string(id)).Str("queue", queue).Str("outcome", outcome)
	if took != 0 {
		e = e.Float64("took_ms", millis(took))
	}
	if reason != "" {
		e = e.Str("reason", reason)
	}
	e.Msg(msg)
}

// LogDecision writes one line about a decision of the reducer.
func (t *Telemetry) LogDecision(l cell.Log) {
	e := t.log.Info()
	if l.Job != "" {
		e = e.Str("job", string(l.Job))
	}
	if l.HasTask {
		e = e.Str("task", fmt.Sprintf("%d.%d.%d", l.Task.Occurrence, l.Task.Step, l.Task.Index)).Int("run", l.Run)
	}
	if l.Worker != "" {
		e = e.Str("worker", string(l.Worker))
	}
	if l.Epoch != 0 {
		e = e.Int64("epoch", l.Epoch)
	}
	if l.Age != 0 {
		e = e.Float64("age_ms", millis(l.Age))
	}
	if l.Count != 0 {
		e = e.Int("count", l.Count)
	}
	if l.StepLimit != 0 {
		e = e.Int("step_tasks", l.StepTasks).Int("step_limit", l.StepLimit)
	}
	if l.Reason != "" {
		e = e.Str("reason", l.Reason)
	}
	if l.Outcome != "" {
		e = e.Str("outcome", l.Outcome)
	}
	e.Msg(l.Message)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Count adds one to a counter.
func (t *Telemetry) Count(name, label string) {
	t.Telemetry.Count(core.Count{Name: name, Label: label, N: 1})
}

// Observe adds a value to a histogram.
func (t *Telemetry) Observe(name, label string, d time.Duration) {
	t.Telemetry.Observe(core.Observe{Name: name, Label: label, Seconds: d.Seconds()})
}

// LogOwnership writes one line when the instance becomes the owner of the cell or stops
// being it.
func (t *Telemetry) LogOwnership(owner bool, epoch int64) {
	outcome := "follower"
	if owner {
		outcome = "owner"
	}
	t.Log("ownership of cell changed", LogFields{Outcome: outcome, Count: epoch})
}
