package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// calls records calls as method, escaped URI and body.
type calls struct {
	mu   sync.Mutex
	list []string
}

func (c *calls) add(s string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, s)
	return len(c.list)
}

func (c *calls) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.list)
}

// script answers the n-th call with the n-th handler, and the last one from
// then on.
func script(t *testing.T, seen *calls, handlers ...http.HandlerFunc) *Client {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		n := seen.add(r.Method + " " + r.RequestURI + " " + string(body))
		handlers[min(n, len(handlers))-1](w, r)
	}))
	t.Cleanup(srv.Close)
	c, err := New(srv.URL + "/")
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

func say(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// cut sends less than it announced.
func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	io.WriteString(w, `{"outcome":"done"}`)
}

// drop closes the connection without an answer.
func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against an answer of the server that is taken for a lost one, and
// against a lost or truncated one that is taken for an answer.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		outcome model.Outcome
		code    model.Code
		bad     bool
	}{
		{"done", say(200, `{"outcome":"done","result_text":"x"}`), model.OutcomeDone, "", false},
		{"refused", say(503, `{"outcome":"not_run","code":"no_owner"}`), model.OutcomeNotRun, model.CodeNoOwner, false},
		{"query refused", say(400, `{"outcome":"","code":"bad_request"}`), "", model.CodeBadRequest, false},
		{"truncated", cut, "", model.CodeInDoubt, true},
		{"half of a value", say(200, `{"outcome":"do`), "", model.CodeInDoubt, true},
		{"two values", say(200, `{"outcome":"done"}{}`), "", model.CodeInDoubt, true},
		{"error page", say(502, `<html>`), "", model.CodeInDoubt, true},
		{"redirect", say(302, ``), "", model.CodeInDoubt, true},
		{"empty object", say(200, `{}`), "", model.CodeInDoubt, true},
		{"closed connection", drop, "", model.CodeInDoubt, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var seen calls
			a, err := script(t, &seen, tc.handler).Request(context.Background(), wire.Submit{Service: "s", Deadline: "1s"})
			is.Equal(len(seen.all()), 1) // a submission is never repeated by itself
			is.Equal(seen.all()[0], `POST /v1/requests {"service":"s","deadline":"1s"}`)
			if tc.bad {
				var coded interface{ Code() model.Code }
				is.True(errors.As(err, &coded))
				is.Equal(coded.Code(), tc.code)
				is.True(!notSent(err))
				return
			}
			is.NoErr(err)
			is.Equal(a.Outcome, tc.outcome)
			is.Equal(a.Code, tc.code)
		})
	}
}

// Guards against a job id whose slash splits the path.
func TestJobPath(t *testing.T) {
	is := is.New(t)
	var seen calls
	c := script(t, &seen, say(200, `{"outcome":"running"}`))
	_, err := c.Job(context.Background(), "tartu/a b?", 5*time.Second)
	is.NoErr(err)
	_, err = c.Cancel(context.Background(), "tartu/7")
	is.NoErr(err)
	is.Equal(seen.all(), []string{"GET /v1/jobs/tartu%2Fa%20b%3F?wait=5s ", "DELETE /v1/jobs/tartu%2F7 "})
}

// Guards against a server that can't be reached being reported as in doubt.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(nil)
	srv.Close()
	c, err := New(srv.URL)
	is.NoErr(err)
	_, err = c.Request(context.Background(), wire.Submit{Service: "s"})
	is.True(notSent(err))
	_, err = New("127.0.0.1:7411")
	var bad *ServerURLError
	is.True(errors.As(err, &bad))
}

// Guards against a retry of a publish under another id, against a retry of a
// settled one, and against a definite answer after an attempt in doubt.
func TestPublish(t *testing.T) {
	accepted := say(200, `{"accepted":true,"version":4}`)
	unavailable := say(503, `{"accepted":false,"code":"log_unavailable"}`)
	for _, tc := range []struct {
		name     string
		handlers []http.HandlerFunc
		calls    int
		code     model.Code
		failed   bool
	}{
		{"accepted", []http.HandlerFunc{accepted}, 1, "", false},
		{"lost answer", []http.HandlerFunc{cut, drop, accepted}, 3, "", false},
		{"log out for a while", []http.HandlerFunc{unavailable, accepted}, 2, "", false},
		{"conflict", []http.HandlerFunc{say(409, `{"accepted":false,"code":"version_conflict","version":5}`)}, 1, model.CodeVersionConflict, false},
		{"answer without sense", []http.HandlerFunc{say(200, `{}`), accepted}, 2, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var seen calls
			p, err := script(t, &seen, tc.handlers...).Publish(context.Background(), 3, "id 1", []byte("text"))
			is.NoErr(err)
			is.Equal(p.Code, tc.code)
			is.True(len(seen.all()) >= tc.calls)
			for _, s := range seen.all() {
				is.Equal(s, "PUT /v1/text?base=3&id=id+1 text")
			}
		})
	}
	t.Run("in doubt until the end", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var seen calls
		c := script(t, &seen, drop, func(w http.ResponseWriter, r *http.Request) {
			unavailable(w, r)
			cancel()
		})
		_, err := c.Publish(ctx, 3, "id", []byte("text"))
		is.True(err != nil && !notSent(err))
	})
}

// Guards against a poll that ends on a lost answer or an open outcome.
func TestPoll(t *testing.T) {
	is := is.New(t)
	var seen calls
	c := script(t, &seen, say(202, `{"outcome":"running"}`), drop, say(202, `{"outcome":"unknown"}`), say(200, `{"outcome":"done"}`))
	a, err := c.Poll(context.Background(), "tartu/1", time.Second)
	is.NoErr(err)
	is.Equal(a.Outcome, model.OutcomeDone)
}

// Guards against an error body that is taken for a text or a report.
func TestGetRefused(t *testing.T) {
	is := is.New(t)
	var seen calls
	_, err := script(t, &seen, say(503, `{"accepted":false,"code":"not_ready","message":"no text"}`)).Text(context.Background())
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code(), model.CodeNotReady)
}
