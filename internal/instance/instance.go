// Package instance assembles one gentianpick instance from its components: the event
// loop, the peer transport, the platform and worker clients, and the HTTP API.
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
	// platformConns allows, for each of the two log streams, one long poll and four
	// appends in flight, and one connection for the VM list.
	platformConns = 11
	// workerConns allows the open watch, the watch that replaces it when the epoch
	// changes, and one start for each of a worker's 8 slots. It stays far below the 64
	// connections that a worker accepts.
	workerConns = 10
	// shutdownTimeout bounds the time for writing the last responses after a drain.
	shutdownTimeout = 30 * time.Second
)

// Config configures an instance.
type Config struct {
	Core       core.Config // if Self.Address is empty, the bound peer address is used
	PeerListen string      // IP:port
	HTTPListen string      // IP:port
	Platform   string      // base URL
	HTTP       api.Limits  // if MaxDeadline is zero, Core.Limits.MaxDeadline is used
	LogLevel   string      // empty means info
	Log        io.Writer   // receives log lines
	Record     io.Writer   // receives the event file; nil disables recording
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

// Unwrap returns the underlying network error.
func (e *ServeError) Unwrap() error { return e.Cause }

// Code returns model.CodeInternal.
func (e *ServeError) Code() model.Code { return model.CodeInternal }

// New binds the listeners and returns an instance; Run starts it. The error is a
// *peer.ListenError, a *ServeError or a *driver.ConfigError.
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
	var workerTraffic, platformTraffic httpjson.Traffic
	in.tel.RegisterCallTraffic("worker", &workerTraffic)
	in.tel.RegisterCallTraffic("platform", &platformTraffic)
	workerClient := httpjson.Instrument(worker.NewClient(workerConns), &workerTraffic)
	in.Driver, err = driver.New(driver.Config{
		Core:  cfg.Core,
		Parse: servicetext.Parse,
		Platform: platform.NewHTTP(cfg.Platform, httpjson.Instrument(platform.NewClient(platformConns), &platformTraffic),
			platform.WithDataCentre(cfg.Core.Self.DataCentre)),
		Worker:    func(address string) worker.Worker { return worker.NewHTTP(address, workerClient) },
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

// HTTPLimits converts the HTTP section of a settings file to the limits of the HTTP API.
func HTTPLimits(h settings.HTTP) api.Limits {
	return api.Limits{
		MaxInFlight: h.MaxConnections, MaxHeaderBytes: h.MaxHeaderBytes, MaxBodyBytes: h.MaxBodyBytes,
		HeaderTimeout: h.HeaderTimeout, BodyTimeout: h.BodyTimeout, IdleTimeout: h.IdleTimeout,
	}
}

// Address returns the IP:port on which the HTTP API listens.
func (in *Instance) Address() string { return in.ln.Addr().String() }

// Drain starts a graceful stop: the instance hands over ownership and finishes its
// requests, then Run returns.
func (in *Instance) Drain() { in.Driver.Drain() }

// Run serves until the instance has drained or ctx ends. A drain interrupts no request;
// the end of ctx cuts off requests in flight.
func (in *Instance) Run(ctx context.Context) error {
	in.logState("started")
	defer in.logState("stopped")
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	loopDone := make(chan error, 1)
	serveDone := make(chan error, 1)
	go in.peers.Serve()
	go func() { loopDone <- in.Driver.Run(loopCtx) }()
	go func() { serveDone <- in.http.Serve(in.ln) }()

	var serveErr error
	select {
	case <-in.Driver.Exited():
		// Every request has been answered; Shutdown waits until the responses are written.
		shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
		_ = in.http.Shutdown(shutdownCtx)
		cancel()
	case <-ctx.Done():
	case err := <-serveDone:
		serveErr = &ServeError{Address: in.Address(), Cause: err}
	}
	_ = in.http.Close()
	stop()
	err := <-loopDone
	in.peers.Close()
	if serveErr != nil {
		return serveErr
	}
	return err
}

func (in *Instance) logState(what string) {
	in.tel.Change(core.Change{What: what, Subject: in.Self.Name, To: string(in.Self.Incarnation)})
}
