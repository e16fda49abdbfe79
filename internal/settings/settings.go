// Package settings parses and validates the settings file of an instance, a JSON document
// with comments.
package settings

import (
	"os"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

// MaxBytes is the maximum size of a settings file. The seed addresses of 18 data centres
// take a few KB.
const MaxBytes = 256 << 10

// Errors lists every error found in a settings file.
type Errors = jsonc.Errors

// Settings holds the startup settings of one instance, as given in its settings file. Parse
// fills in the defaults of HTTP and LogLevel, CoreConfig those of Timing and Limits.
type Settings struct {
	Name       string              `json:"name"`        // name of the VM
	DataCentre string              `json:"data_centre"` // data centre of the VM
	HTTPListen string              `json:"http_listen"` // IP:port of the API
	PeerListen string              `json:"peer_listen"` // IP:port that peers dial
	Platform   string              `json:"platform"`    // base URL of the platform
	Seeds      map[string][]string `json:"seeds"`       // data centre -> peer addresses
	Timing     Timing              `json:"timing"`
	Limits     Limits              `json:"limits"`
	HTTP       HTTP                `json:"http"`
	LogLevel   string              `json:"log_level"`
}

// Timing holds optional overrides of core.Timing; nil keeps the default.
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

// Limits holds optional overrides of core.Limits; nil keeps the default.
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

// HTTP holds the size limits and timeouts of the API server.
type HTTP struct {
	MaxConnections int           `json:"max_connections"`
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"` // per request; a service may set a lower limit
	HeaderTimeout  time.Duration `json:"header_timeout"` // for reading a request's header
	BodyTimeout    time.Duration `json:"body_timeout"`   // for reading a request's body
	IdleTimeout    time.Duration `json:"idle_timeout"`   // of a keep-alive connection
}

// DefaultHTTP returns the HTTP limits and timeouts of a production instance.
func DefaultHTTP() HTTP {
	return HTTP{
		// MaxConnections covers a load peak of 3 x 840 requests per second that each stay
		// open for 3 s, spread over the entry VMs of one data centre.
		MaxConnections: 4096,
		MaxHeaderBytes: 16 << 10,
		// MaxBodyBytes fits the largest service text, or a body of 1 MiB in base64.
		MaxBodyBytes:  2 << 20,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   15 * time.Second,
		// IdleTimeout exceeds the usual 60 s of load balancers, so that the balancer closes
		// idle connections first and never sends a request on a closed one.
		IdleTimeout: 75 * time.Second,
	}
}

// ReadError reports that the settings file could not be read.
type ReadError struct{ Cause error }

func (e *ReadError) Error() string { return "read settings: " + e.Cause.Error() }

// Unwrap returns the file system's error.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads and parses a settings file. The error is a *ReadError or an *Errors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{err}
	}
	return Parse(data)
}

// Parse parses and validates settings. The error is an *Errors that lists every error found.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{HTTP: DefaultHTTP(), LogLevel: "info"}
	d := jsonc.Decode(data, MaxBytes, s)
	if !d.Broken() {
		checker{d, s}.checkAll()
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// CoreConfig returns the core's configuration for one start of the instance.
func (s *Settings) CoreConfig(incarnation string, seed uint64) core.Config {
	c := core.Config{
		Self: model.Member{
			Name: s.Name, Incarnation: model.Incarnation(incarnation),
			DataCentre: model.DataCentre(s.DataCentre), Address: s.PeerListen,
		},
		Seed: seed, SeedPeers: map[model.DataCentre][]string{},
		Timing: s.Timing.overlay(core.DefaultTiming()),
		Limits: s.Limits.overlay(core.DefaultLimits()),
	}
	for dc, addresses := range s.Seeds {
		c.SeedPeers[model.DataCentre(dc)] = addresses
	}
	return c
}

// setIfGiven sets *to if the file contains a value.
func setIfGiven[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}

func (t Timing) overlay(c core.Timing) core.Timing {
	setIfGiven(&c.TickInterval, t.Tick)
	setIfGiven(&c.HeartbeatInterval, t.Heartbeat)
	setIfGiven(&c.RemoteHeartbeatInterval, t.RemoteHeartbeat)
	setIfGiven(&c.LeaseDuration, t.Lease)
	setIfGiven(&c.ClockDriftMargin, t.Margin)
	setIfGiven(&c.SuspectTimeout, t.Suspect)
	setIfGiven(&c.ConsentTimeout, t.ConsentTimeout)
	setIfGiven(&c.WatchTimeout, t.WatchTimeout)
	setIfGiven(&c.TaskLease, t.TaskLease)
	setIfGiven(&c.StartGrace, t.StartGrace)
	setIfGiven(&c.GroupCommitInterval, t.GroupCommit)
	setIfGiven(&c.LazyCommitDelay, t.LazyCommit)
	setIfGiven(&c.LogRetention, t.Retention)
	setIfGiven(&c.KeyRetention, t.KeyRetention)
	return c
}

func (l Limits) overlay(c core.Limits) core.Limits {
	setIfGiven(&c.QueuedRequests, l.QueuedRequests)
	setIfGiven(&c.Jobs, l.Jobs)
	setIfGiven(&c.PendingSubmissions, l.PendingSubmissions)
	setIfGiven(&c.InDoubt, l.InDoubt)
	setIfGiven(&c.Hops, l.Hops)
	setIfGiven(&c.RemotePeers, l.RemotePeers)
	setIfGiven(&c.RetryPercent, l.RetryPercent)
	setIfGiven(&c.TaskAttempts, l.TaskAttempts)
	setIfGiven(&c.MaxDeadline, l.MaxDeadline)
	return c
}
