// Package settings parses and checks the settings of one instance, a JSON
// document with comments.
package settings

import (
	"os"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

// MaxBytes bounds a settings file. Seeds of 18 data centres take a few KB.
const MaxBytes = 256 << 10

// Errors is every error found in a settings file.
type Errors = jsonc.Errors

// Settings is what one instance is told at its start. The fields are those of
// the file; the check fills in defaults.
type Settings struct {
	Name       string              `json:"name"`        // of the VM
	DataCentre string              `json:"data_centre"` // that the VM stands in
	HTTPListen string              `json:"http_listen"` // IP:port of the API
	PeerListen string              `json:"peer_listen"` // IP:port of the peer listener; peers dial it
	Platform   string              `json:"platform"`    // base URL
	Seeds      map[string][]string `json:"seeds"`       // data centre -> peer addresses
	Timing     Timing              `json:"timing"`
	Limits     Limits              `json:"limits"`
	HTTP       HTTP                `json:"http"`
	LogLevel   string              `json:"log_level"`
}

// Timing is core.Timing with every field optional.
type Timing struct {
	Tick            *time.Duration `json:"tick"`
	Heartbeat       *time.Duration `json:"heartbeat"`
	RemoteHeartbeat *time.Duration `json:"far_heartbeat"`
	Lease           *time.Duration `json:"lease"`
	Margin          *time.Duration `json:"margin"`
	Suspect         *time.Duration `json:"suspect"`
	ConsentTimeout  *time.Duration `json:"consent_after"`
	WatchTimeout    *time.Duration `json:"watch_wait"`
	TaskLease       *time.Duration `json:"task_lease"`
	StartGrace      *time.Duration `json:"start_grace"`
	GroupCommit     *time.Duration `json:"group_commit"`
	LazyCommit      *time.Duration `json:"lazy_commit"`
	Retention       *time.Duration `json:"retention"`
	KeyRetention    *time.Duration `json:"key_life"`
}

// Limits is core.Limits with every field optional.
type Limits struct {
	QueuedRequests     *int           `json:"waiting"`
	Jobs               *int           `json:"jobs"`
	PendingSubmissions *int           `json:"undurable"`
	InDoubt            *int           `json:"in_doubt"`
	Hops               *int           `json:"hops"`
	RemotePeers        *int           `json:"far_peers"`
	RetryPercent       *int           `json:"retry_percent"`
	TaskAttempts       *int           `json:"task_attempts"`
	MaxDeadline        *time.Duration `json:"max_deadline"`
}

// HTTP holds the limits of the API server.
type HTTP struct {
	MaxConnections int           `json:"max_connections"`
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"` // of a request; services may allow less
	HeaderTimeout  time.Duration `json:"header_timeout"` // until a request's header is read
	BodyTimeout    time.Duration `json:"body_timeout"`   // until a request's body is read
	IdleTimeout    time.Duration `json:"idle_timeout"`   // of a kept connection
}

// DefaultHTTP returns the limits of a production instance.
func DefaultHTTP() HTTP {
	return HTTP{
		// MaxConnections holds a peak of three times 840 requests a second that
		// each wait for 3 s, spread over the entry VMs of one data centre.
		MaxConnections: 4096,
		MaxHeaderBytes: 16 << 10,
		// MaxBodyBytes holds a service text of its largest size, or a body of
		// 1 MiB in base64.
		MaxBodyBytes:  2 << 20,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   15 * time.Second,
		// IdleTimeout is above the usual 60 s of balancers, so that the balancer
		// closes a connection first and sends nothing into a closed one.
		IdleTimeout: 75 * time.Second,
	}
}

// ReadError reports a settings file that can't be read.
type ReadError struct{ Cause error }

func (e *ReadError) Error() string { return "read settings: " + e.Cause.Error() }

// Unwrap returns the file system's error.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads and parses a settings file. The error is a *ReadError or an
// *Errors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{err}
	}
	return Parse(data)
}

// Parse parses and checks settings. The error is an *Errors that lists every
// error found.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{HTTP: DefaultHTTP(), LogLevel: "info"}
	d := jsonc.Decode(data, MaxBytes, s)
	if !d.Broken() {
		checker{d, s}.check()
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// CoreConfig returns the reducer's configuration for one run of the instance.
func (s *Settings) CoreConfig(incarnation string, seed uint64) core.Config {
	c := core.Config{
		Self: model.Member{
			Name: s.Name, Incarnation: model.Incarnation(incarnation),
			DataCentre: model.DataCentre(s.DataCentre), Address: s.PeerListen,
		},
		Seed: seed, SeedPeers: map[model.DataCentre][]string{},
		Timing: s.Timing.over(core.DefaultTiming()),
		Limits: s.Limits.over(core.DefaultLimits()),
	}
	for dc, addresses := range s.Seeds {
		c.SeedPeers[model.DataCentre(dc)] = addresses
	}
	return c
}

// override replaces *to if the file gives a value.
func override[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}

func (t Timing) over(c core.Timing) core.Timing {
	override(&c.TickInterval, t.Tick)
	override(&c.HeartbeatInterval, t.Heartbeat)
	override(&c.RemoteHeartbeatInterval, t.RemoteHeartbeat)
	override(&c.LeaseDuration, t.Lease)
	override(&c.ClockDriftMargin, t.Margin)
	override(&c.SuspectTimeout, t.Suspect)
	override(&c.ConsentTimeout, t.ConsentTimeout)
	override(&c.WatchTimeout, t.WatchTimeout)
	override(&c.TaskLease, t.TaskLease)
	override(&c.StartGrace, t.StartGrace)
	override(&c.GroupCommitInterval, t.GroupCommit)
	override(&c.LazyCommitDelay, t.LazyCommit)
	override(&c.LogRetention, t.Retention)
	override(&c.KeyRetention, t.KeyRetention)
	return c
}

func (l Limits) over(c core.Limits) core.Limits {
	override(&c.QueuedRequests, l.QueuedRequests)
	override(&c.Jobs, l.Jobs)
	override(&c.PendingSubmissions, l.PendingSubmissions)
	override(&c.InDoubt, l.InDoubt)
	override(&c.Hops, l.Hops)
	override(&c.RemotePeers, l.RemotePeers)
	override(&c.RetryPercent, l.RetryPercent)
	override(&c.TaskAttempts, l.TaskAttempts)
	override(&c.MaxDeadline, l.MaxDeadline)
	return c
}
