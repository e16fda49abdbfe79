// Package api implements the HTTP API for callers and operators.
package api

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// writeTimeout is the time limit for writing an answer.
	writeTimeout = 30 * time.Second
	// maxQueryWait limits how long a job query waits for the end of the job.
	maxQueryWait = 5 * time.Minute
	// answerGrace is how long after its deadline the server stops waiting for an
	// answer. The reducer normally answers at the deadline.
	answerGrace = 30 * time.Second
	// retryAfterSeconds is the value of the Retry-After header, in seconds.
	retryAfterSeconds = "1"
)

// Limits bounds the connections, memory and time that callers can use.
type Limits struct {
	MaxInFlight    int           // requests in flight; further ones are answered with code overloaded
	MaxHeaderBytes int           // of a request
	MaxBodyBytes   int64         // of a request or text
	HeaderTimeout  time.Duration // for reading a header, so that slow clients can't occupy connections
	BodyTimeout    time.Duration // for reading a body
	IdleTimeout    time.Duration // of an idle connection; longer than the load balancers', so that they close first
	MaxDeadline    time.Duration // of an interactive request
}

// Instance is the part of the instance that the API uses. *driver.Driver
// implements it.
type Instance interface {
	Submit(ctx context.Context, call core.Call) (model.Answer, error)
	Publish(ctx context.Context, id string, base uint64, text []byte) (core.PublishAnswer, error)
	Status(ctx context.Context) (core.StatusReport, error)
	Text() *driver.ActiveText
	Ready() (bool, model.Code)
}

// BurnRecorder counts answers and computes burn rates from them.
type BurnRecorder interface {
	Answered(text *model.Text, service string, a model.Answer, took time.Duration)
	Report(text *model.Text) wire.Burn
}

// Config contains the dependencies and limits of a server.
type Config struct {
	Instance Instance
	Burn     BurnRecorder    // may be nil
	Metrics  func(io.Writer) // writes /metrics; may be nil
	Limits   Limits
}

// server contains the state that the handlers share.
type server struct {
	cfg        Config
	inFlight   chan struct{}
	unfinished *jobTracker
}

// New returns a server without an address. Call its Shutdown method only after the
// instance has drained, since Shutdown refuses new requests while it waits for
// those in flight.
func New(cfg Config) *http.Server {
	s := &server{cfg: cfg, inFlight: make(chan struct{}, cfg.Limits.MaxInFlight), unfinished: newJobTracker()}
	return &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:       cfg.Limits.IdleTimeout,
		MaxHeaderBytes:    cfg.Limits.MaxHeaderBytes,
	}
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRequests, s.limitInFlight(s.request))
	mux.HandleFunc("POST "+wire.PathJobs, s.limitInFlight(s.job))
	mux.HandleFunc("GET "+wire.PathJobs+"/{id...}", s.limitInFlight(s.query))
	mux.HandleFunc("DELETE "+wire.PathJobs+"/{id...}", s.limitInFlight(s.cancel))
	mux.HandleFunc("GET "+wire.PathText, s.text)
	mux.HandleFunc("PUT "+wire.PathText, s.publish)
	mux.HandleFunc("GET "+wire.PathStatus, s.status)
	mux.HandleFunc("GET "+wire.PathBurn, s.burn)
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	return mux
}

// limitInFlight answers with code overloaded while too many requests are in
// flight. The outcome is unknown, since the request has not been read: it may be a
// job query, or its key may have been used by an earlier attempt.
func (s *server) limitInFlight(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.inFlight <- struct{}{}:
			defer func() { <-s.inFlight }()
			h(w, r)
		default:
			respond(w, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeOverloaded, Message: "too many requests in progress"})
		}
	}
}
