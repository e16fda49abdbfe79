// Package instance assembles one instance of gentianpick from its adapters:
// the event loop, the peer transport, the platform, the workers and the HTTP
// API.
package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gentianpick/gentianpick/internal/api"
	"github.com/gentianpick/gentianpick/internal/burn"
	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/peer"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/settings"
	"github.com/gentianpick/gentianpick/internal/telemetry"
	"github.com/gentianpick/gentianpick/internal/worker"
)

const (
	// platformConns is one connection for each stream's long poll, four appends
	// in flight for each stream, and one for the VM list.
	platformConns = 11
	// workerConns holds the open watch, its successor at a change of epoch, and
	// the starts of today's 8 slots, and stays far below a worker's 64.
	workerConns = 10
	// shutdownWait bounds the writing of the last answers after the drain.
	shutdownWait = 30 * time.Second
)

// Config is what an instance needs.
type Config struct {
	Core       core.Config // an empty Self.Address is replaced by the bound one
	PeerListen string      // IP:port
	HTTPListen string      // IP:port
	Platform   string      // base URL
	HTTP       api.Limits  // a zero MaxDeadline is replaced by the reducer's
	LogLevel   string      // empty: info
	Log        io.Writer   // takes log lines
	Record     io.Writer   // takes the event file; nil: no recording
}

// Instance is one instance of gentianpick.
type Instance struct {
	Driver *driver.Driver
	Self   model.Member

	tel   *telemetry.Telemetry
	peers *peer.Transport
	http  *http.Server
	ln    net.Listener
}

// ServeError reports that the HTTP API can't be served.
type ServeError struct {
	Address string
	Cause   error
}

func (e *ServeError) Error() string { return "serve HTTP on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the system's error.
func (e *ServeError) Unwrap() error { return e.Cause }

// Code returns model.CodeInternal.
func (e *ServeError) Code() model.Code { return model.CodeInternal }

// New binds the listeners and returns an instance that does not run yet. The
// error is a *peer.ListenError, a ServeError or a *driver.ConfigError.
func New(cfg Config) (*Instance, error) {
	peerLn, err := peer.Listen(cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", cfg.HTTPListen)
	if err != nil {
		_ = peerLn.Close()
		return nil, &ServeError{Address: cfg.HTTPListen, Cause: err}
	}
	if cfg.Core.Self.Address == "" {
		cfg.Core.Self.Address = peerLn.Addr().String()
	}
	in := &Instance{Self: cfg.Core.Self, tel: telemetry.New(cfg.Log, cfg.LogLevel), ln: ln}
	in.peers = peer.New(peer.Config{
		Self: cfg.Core.Self, Listener: peerLn,
		Handler: func(env message.Envelope) bool { return in.Driver.HandleMessage(env) },
	})
	var toWorkers, toPlatform httpjson.Traffic
	in.tel.RegisterCallTraffic("worker", &toWorkers)
	in.tel.RegisterCallTraffic("platform", &toPlatform)
	workers := httpjson.Instrument(worker.NewClient(workerConns), &toWorkers)
	in.Driver, err = driver.New(driver.Config{
		Core:  cfg.Core,
		Parse: servicetext.Parse,
		Platform: platform.NewHTTP(cfg.Platform, httpjson.Instrument(platform.NewClient(platformConns), &toPlatform),
			platform.WithDataCentre(cfg.Core.Self.DataCentre)),
		Worker:    func(address string) worker.Worker { return worker.NewHTTP(address, workers) },
		Peers:     in.peers,
		Sink:      in.tel,
		EventFile: cfg.Record,
	})
	if err != nil {
		in.peers.Close()
		_ = ln.Close()
		return nil, err
	}
	in.tel.RegisterDriver(in.Driver)
	in.tel.RegisterPeerTraffic(in.peers)
	if cfg.HTTP.MaxDeadline == 0 {
		cfg.HTTP.MaxDeadline = cfg.Core.Limits.MaxDeadline
	}
	start := time.Now()
	in.http = api.New(api.Config{
		Instance: in.Driver,
		Burn:     burn.NewRecorder(func() model.Time { return model.Time(time.Since(start)) }),
		Metrics:  in.tel.WriteMetrics,
		Limits:   cfg.HTTP,
	})
	return in, nil
}

// HTTPLimits returns the limits that a settings file gives.
func HTTPLimits(h settings.HTTP) api.Limits {
	return api.Limits{
		MaxInFlight: h.MaxConnections, MaxHeaderBytes: h.MaxHeaderBytes, MaxBodyBytes: h.MaxBodyBytes,
		HeaderTimeout: h.HeaderTimeout, BodyTimeout: h.BodyTimeout, IdleTimeout: h.IdleTimeout,
	}
}

// Address returns the IP:port of the HTTP API.
func (in *Instance) Address() string { return in.ln.Addr().String() }

// Drain asks the instance to hand over and finish; Run returns afterwards.
func (in *Instance) Drain() { in.Driver.Drain() }

// Run serves until the instance has drained, which interrupts no request, or
// until the context ends, which does.
func (in *Instance) Run(ctx context.Context) error {
	in.change("started")
	defer in.change("stopped")
	loop, stop := context.WithCancel(context.Background())
	defer stop()
	looped := make(chan error, 1)
	served := make(chan error, 1)
	go in.peers.Serve()
	go func() { looped <- in.Driver.Run(loop) }()
	go func() { served <- in.http.Serve(in.ln) }()

	var failure error
	select {
	case <-in.Driver.Exited():
		// Every request has its answer; Shutdown lets the answers be written.
		shutdown, cancel := context.WithTimeout(ctx, shutdownWait)
		_ = in.http.Shutdown(shutdown)
		cancel()
	case <-ctx.Done():
	case err := <-served:
		failure = &ServeError{Address: in.Address(), Cause: err}
	}
	_ = in.http.Close()
	stop()
	err := <-looped
	in.peers.Close()
	if failure != nil {
		return failure
	}
	return err
}

func (in *Instance) change(what string) {
	in.tel.Change(core.Change{What: what, Subject: in.Self.Name, To: string(in.Self.Incarnation)})
}
