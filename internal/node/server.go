package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/link"
)

const (
	// shutdownTimeout bounds the wait for requests in flight at the end of a drain.
	shutdownTimeout = time.Second
	// exitReserve is the part of the termination grace that is left for the exit of the
	// process.
	exitReserve = 500 * time.Millisecond
	// headerTimeout, bodyTimeout and idleTimeout bound the connections of callers.
	headerTimeout  = 3 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the error of the system call.
func (e *ListenError) Unwrap() error { return e.Cause }

// Serve runs the node and its servers until stop is closed or ctx ends. It then drains the
// instance and shuts the servers down.
func (n *Node) Serve(ctx context.Context, callers http.Handler, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lns := make([]net.Listener, 0, 4)
	listen := func(address string) (net.Listener, error) {
		ln, err := n.deps.Listen(address)
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
	callerLn, err := listen(n.settings.CallerListen)
	if err != nil {
		return err
	}
	peerLn, err := listen(n.settings.PeerListen)
	if err != nil {
		return err
	}
	srv := newServer(limitBodyTime(bodyTimeout, n.closeUnlessReady(callers)))
	go n.serveHTTP(srv, n.deps.Traffic.Callers.WrapListener(callerLn))
	go link.Serve(ctx, n.deps.Traffic.Instances.WrapListener(peerLn), peerHandler{n})
	for _, optional := range []struct {
		address string
		handler http.Handler
	}{{n.settings.ReadyListen, http.HandlerFunc(n.ready)}, {n.settings.MetricsListen, http.HandlerFunc(n.metrics)}} {
		if optional.address == "" {
			continue
		}
		ln, err := listen(optional.address)
		if err != nil {
			return err
		}
		go n.serveHTTP(newServer(optional.handler), ln)
	}
	n.deps.Telemetry.Log("instance started", LogFields{Subject: n.settings.Name, Reason: n.self})
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
	// During the drain, each response closes its connection, so that callers move to
	// other instances. Closing idle connections now could abort requests that are on
	// their way.
	sleep(ctx, n.settings.TerminationGrace-shutdownTimeout-exitReserve)
	shutdownCtx, end := context.WithTimeout(ctx, shutdownTimeout)
	defer end()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		n.deps.Telemetry.Log("requests aborted at the end of the drain", LogFields{Reason: err.Error()})
	}
	cancel()
	<-done
	n.deps.Telemetry.Log("instance stopped", LogFields{Subject: n.settings.Name})
	return nil
}

// closeUnlessReady makes responses close their connection while the instance is not ready.
// Otherwise the requests on a connection would keep going to this instance.
func (n *Node) closeUnlessReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ok, _ := n.Ready(); !ok {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitBodyTime ends requests whose body does not arrive in time. What follows the body is not
// limited: the handler has its own deadline.
func limitBodyTime(d time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			c := http.NewResponseController(w)
			if c.SetReadDeadline(time.Now().Add(d)) == nil {
				r.Body = &timedBody{ReadCloser: r.Body, arrived: func() { _ = c.SetReadDeadline(time.Time{}) }}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody calls arrived once the body has been read to its end.
type timedBody struct {
	io.ReadCloser
	arrived func()
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.arrived()
	}
	return n, err
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (n *Node) serveHTTP(srv *http.Server, ln net.Listener) {
	if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.deps.Telemetry.Log("HTTP server failed", LogFields{Subject: ln.Addr().String(), Reason: err.Error()})
	}
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := n.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) metrics(w http.ResponseWriter, _ *http.Request) { n.deps.Telemetry.WriteMetrics(w) }
