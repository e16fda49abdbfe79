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
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// writeTimeout bounds the writing of an answer.
	writeTimeout = 30 * time.Second
	// waitLimit bounds the wait of a job query.
	waitLimit = 5 * time.Minute
	// answerSlack is what an answer may take beyond its deadline until the
	// server gives up on it. The reducer answers at the deadline.
	answerSlack = 30 * time.Second
	// retryAfter is the value of Retry-After in seconds.
	retryAfter = "1"
)

// Limits bounds what callers can make the server hold.
type Limits struct {
	MaxInFlight    int           // requests in progress; more are answered overloaded
	MaxHeaderBytes int           // of a request
	MaxBodyBytes   int64         // of a request or text
	HeaderTimeout  time.Duration // until a header is read, so that slow clients can't hold connections
	BodyTimeout    time.Duration // until a body is read
	IdleTimeout    time.Duration // of a kept connection; above that of balancers, so that they close first
	MaxDeadline    time.Duration // of an interactive request
}

// Instance is what the API needs of the instance; *driver.Driver implements it.
type Instance interface {
	Submit(ctx context.Context, call core.Call) (model.Answer, error)
	Publish(ctx context.Context, id string, base uint64, text []byte) (core.PublishAnswer, error)
	Status(ctx context.Context) (core.StatusReport, error)
	Text() *driver.TextInForce
	Ready() (bool, model.Code)
}

// BurnRecorder counts answers and reports burn rates.
type BurnRecorder interface {
	Answered(text *model.Text, service string, a model.Answer, took time.Duration)
	Report(text *model.Text) wire.Burn
}

// Config is what a server needs.
type Config struct {
	Instance Instance
	Burn     BurnRecorder    // may be nil
	Metrics  func(io.Writer) // writes /metrics; may be nil
	Limits   Limits
}

// server holds the handlers' dependencies.
type server struct {
	cfg  Config
	open chan struct{}
	ends *ends
}

// New returns a server without an address. It is shut down with Shutdown, and
// only after the instance has drained, since Shutdown waits for requests in
// progress but refuses new ones.
func New(cfg Config) *http.Server {
	s := &server{cfg: cfg, open: make(chan struct{}, cfg.Limits.MaxInFlight), ends: newEnds()}
	return &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:       cfg.Limits.IdleTimeout,
		MaxHeaderBytes:    cfg.Limits.MaxHeaderBytes,
	}
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRequests, s.limited(s.request))
	mux.HandleFunc("POST "+wire.PathJobs, s.limited(s.job))
	mux.HandleFunc("GET "+wire.PathJobs+"/{id...}", s.limited(s.query))
	mux.HandleFunc("DELETE "+wire.PathJobs+"/{id...}", s.limited(s.cancel))
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
// outcome is unknown, since the request was not looked at: it may ask for a job,
// or have a key that an earlier try has used.
func (s *server) limited(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.open <- struct{}{}:
			defer func() { <-s.open }()
			h(w, r)
		default:
			answer(w, model.Answer{Outcome: model.OutcomeUnknown, Code: model.CodeOverloaded, Message: "too many requests in progress"})
		}
	}
}
