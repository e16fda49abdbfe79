// Package api is the HTTP API for callers and operators.
package api

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// headerTimeout bounds the header of a request, so that slow clients can't
	// hold connections.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the body of a request, and writeTimeout the answer.
	bodyTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	// idleTimeout closes unused connections. It is above the usual idle time-out
	// of balancers, so that the balancer closes first.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
	// bodyLimit bounds a submission. JSON text takes at most six bytes for each
	// byte of the largest body; the rest is for the other fields.
	bodyLimit = 6*servicetext.MaxBodyBytes + 64<<10
	// openLimit bounds the memory of requests in progress. It is below the
	// reducer's limit of waiting requests, so that the reducer still orders them.
	openLimit = 16384
	// waitLimit bounds the wait of a job query.
	waitLimit = 5 * time.Minute
	// answerSlack is what an answer may take beyond its deadline until the
	// server gives up on it. The reducer answers at the deadline.
	answerSlack = 30 * time.Second
	// retryAfter is the value of Retry-After in seconds.
	retryAfter = "1"
)

// Instance is what the API needs of the instance; *driver.Driver implements it.
type Instance interface {
	Submit(ctx context.Context, call core.Call) (model.Answer, error)
	Publish(ctx context.Context, id string, base uint64, text []byte) (core.PublishAnswer, error)
	Status(ctx context.Context) (core.StatusReport, error)
	Text() *driver.TextInForce
	Ready() (bool, model.Code)
}

// Burn counts answers and reports burn rates.
type Burn interface {
	Answered(text *model.Text, service string, a model.Answer, took time.Duration)
	Report(text *model.Text) wire.Burn
}

// Config is what a server needs.
type Config struct {
	Instance    Instance
	Burn        Burn            // may be nil
	Metrics     func(io.Writer) // writes /metrics; may be nil
	MaxDeadline time.Duration   // of a request; zero: 5 minutes
	MaxOpen     int             // requests in progress; zero: 16384
}

// server holds the handlers' dependencies.
type server struct {
	cfg  Config
	open chan struct{}
}

// New returns a server without an address. It is shut down with Shutdown, and
// only after the instance has drained, since Shutdown waits for requests in
// progress but refuses new ones.
func New(cfg Config) *http.Server {
	if cfg.MaxDeadline == 0 {
		cfg.MaxDeadline = waitLimit
	}
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = openLimit
	}
	s := &server{cfg: cfg, open: make(chan struct{}, cfg.MaxOpen)}
	return &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRequests, s.limited(s.request, model.OutcomeNotRun))
	mux.HandleFunc("POST "+wire.PathJobs, s.limited(s.job, model.OutcomeNotRun))
	mux.HandleFunc("GET "+wire.PathJobs+"/{id...}", s.limited(s.query, model.OutcomeUnknown))
	mux.HandleFunc("DELETE "+wire.PathJobs+"/{id...}", s.limited(s.cancel, model.OutcomeUnknown))
	mux.HandleFunc("GET "+wire.PathText, s.text)
	mux.HandleFunc("PUT "+wire.PathText, s.publish)
	mux.HandleFunc("GET "+wire.PathStatus, s.status)
	mux.HandleFunc("GET "+wire.PathBurn, s.burn)
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	return mux
}

// limited answers overloaded while too many requests are in progress. The
// outcome of a submission that was not looked at is not_run; that of a query
// is unknown, since it says nothing about the job.
func (s *server) limited(h http.HandlerFunc, outcome model.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.open <- struct{}{}:
			defer func() { <-s.open }()
			h(w, r)
		default:
			answer(w, model.Answer{Outcome: outcome, Code: model.CodeOverloaded, Message: "too many requests in progress"})
		}
	}
}
