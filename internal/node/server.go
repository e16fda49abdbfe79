package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/link"
)

const (
	// drainFinish bounds the wait for requests that are being served at the end
	// of a drain.
	drainFinish = time.Second
	// drainReserve is left of the grace for the end of the process.
	drainReserve = 500 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	maxHeader     = 16 << 10
)

// ListenError reports an address that can't be bound.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Cause }

// Serve runs the node and its servers until stop is closed, and then drains.
func (n *Node) Serve(ctx context.Context, callers http.Handler, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lns := make([]net.Listener, 0, 4)
	listen := func(address string) (net.Listener, error) {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, &ListenError{Address: address, Cause: err}
		}
		lns = append(lns, ln)
		return ln, nil
	}
	defer func() {
		for _, ln := range lns {
			_ = ln.Close()
		}
	}()
	front, err := listen(n.set.CallerListen)
	if err != nil {
		return err
	}
	peerLn, err := listen(n.set.PeerListen)
	if err != nil {
		return err
	}
	srv := newServer(n.closing(callers))
	go n.serveHTTP(srv, n.deps.Traffic.Callers.WrapListener(front))
	go link.Serve(ctx, n.deps.Traffic.Instances.WrapListener(peerLn), peers{n})
	for _, extra := range []struct {
		address string
		handler http.Handler
	}{{n.set.ReadyListen, http.HandlerFunc(n.ready)}, {n.set.MetricsListen, http.HandlerFunc(n.metrics)}} {
		if extra.address == "" {
			continue
		}
		ln, err := listen(extra.address)
		if err != nil {
			return err
		}
		go n.serveHTTP(newServer(extra.handler), ln)
	}
	n.deps.Telemetry.Log("start", LogFields{Subject: n.set.Name, Reason: n.self})
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	select {
	case <-stop:
	case <-ctx.Done():
	}
	n.Drain()
	// Until the end, each answer closes its connection, which lets callers move
	// away. Closing idle connections earlier would cut off requests under way.
	sleep(ctx, n.set.TerminationGrace-drainFinish-drainReserve)
	sctx, end := context.WithTimeout(ctx, drainFinish)
	defer end()
	if err := srv.Shutdown(sctx); err != nil {
		n.deps.Telemetry.Log("requests cut off", LogFields{Reason: err.Error()})
	}
	cancel()
	<-done
	n.deps.Telemetry.Log("stop", LogFields{Subject: n.set.Name})
	return nil
}

// closing makes answers close their connection while the instance is not ready,
// since a connection stays with its instance.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ok, _ := n.Ready(); !ok {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

func (n *Node) serveHTTP(srv *http.Server, ln net.Listener) {
	if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.deps.Telemetry.Log("server ended", LogFields{Subject: ln.Addr().String(), Reason: err.Error()})
	}
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, why := n.Ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) metrics(w http.ResponseWriter, _ *http.Request) { n.deps.Telemetry.WriteMetrics(w) }
