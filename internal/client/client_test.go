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

// callLog records each call as its method, escaped URI and body.
type callLog struct {
	mu   sync.Mutex
	list []string
}

func (c *callLog) add(s string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, s)
	return len(c.list)
}

func (c *callLog) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.list)
}

// newScriptedClient returns a client of a server that answers the n-th call with the
// n-th handler, and all calls after the last handler with that one.
func newScriptedClient(t *testing.T, seen *callLog, handlers ...http.HandlerFunc) *Client {
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

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// truncate sends a shorter body than its Content-Length.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	io.WriteString(w, `{"outcome":"done"}`)
}

// closeConnection closes the connection without an answer.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against treating a complete answer as lost, and a lost or truncated one as
// an answer.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		outcome model.Outcome
		code    model.Code
		bad     bool
	}{
		{"done", respond(200, `{"outcome":"done","result_text":"x"}`), model.OutcomeDone, "", false},
		{"refused", respond(503, `{"outcome":"not_run","code":"no_owner"}`), model.OutcomeNotRun, model.CodeNoOwner, false},
		{"query refused", respond(400, `{"outcome":"","code":"bad_request"}`), "", model.CodeBadRequest, false},
		{"truncated", truncate, "", model.CodeInDoubt, true},
		{"half of a value", respond(200, `{"outcome":"do`), "", model.CodeInDoubt, true},
		{"two values", respond(200, `{"outcome":"done"}{}`), "", model.CodeInDoubt, true},
		{"error page", respond(502, `<html>`), "", model.CodeInDoubt, true},
		{"redirect", respond(302, ``), "", model.CodeInDoubt, true},
		{"empty object", respond(200, `{}`), "", model.CodeInDoubt, true},
		{"closed connection", closeConnection, "", model.CodeInDoubt, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var seen callLog
			a, err := newScriptedClient(t, &seen, tc.handler).Request(context.Background(), wire.Submit{Service: "s", Deadline: "1s"})
			is.Equal(len(seen.all()), 1) // the client never retries a submission
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

// Guards against job ids that are split into two path segments at their slash.
func TestJobPath(t *testing.T) {
	is := is.New(t)
	var seen callLog
	c := newScriptedClient(t, &seen, respond(200, `{"outcome":"running"}`))
	_, err := c.Job(context.Background(), "tartu/a b?", 5*time.Second)
	is.NoErr(err)
	_, err = c.Cancel(context.Background(), "tartu/7")
	is.NoErr(err)
	is.Equal(seen.all(), []string{"GET /v1/jobs/tartu%2Fa%20b%3F?wait=5s ", "DELETE /v1/jobs/tartu%2F7 "})
}

// Guards against reporting a call to an unreachable server as in doubt.
func TestUnreachableServerIsNotSent(t *testing.T) {
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

// Guards against a retry of a publish with a different id, a retry after a final
// answer, and an error that hides an earlier attempt in doubt.
func TestPublish(t *testing.T) {
	accepted := respond(200, `{"accepted":true,"version":4}`)
	unavailable := respond(503, `{"accepted":false,"code":"log_unavailable"}`)
	for _, tc := range []struct {
		name     string
		handlers []http.HandlerFunc
		calls    int
		code     model.Code
		failed   bool
	}{
		{"accepted", []http.HandlerFunc{accepted}, 1, "", false},
		{"lost answer", []http.HandlerFunc{truncate, closeConnection, accepted}, 3, "", false},
		{"log temporarily unavailable", []http.HandlerFunc{unavailable, accepted}, 2, "", false},
		{"conflict", []http.HandlerFunc{respond(409, `{"accepted":false,"code":"version_conflict","version":5}`)}, 1, model.CodeVersionConflict, false},
		{"answer without acceptance or code", []http.HandlerFunc{respond(200, `{}`), accepted}, 2, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var seen callLog
			p, err := newScriptedClient(t, &seen, tc.handlers...).Publish(context.Background(), 3, "id 1", []byte("text"))
			is.NoErr(err)
			is.Equal(p.Code, tc.code)
			is.True(len(seen.all()) >= tc.calls)
			for _, s := range seen.all() {
				is.Equal(s, "PUT /v1/text?base=3&id=id+1 text")
			}
		})
	}
	t.Run("in doubt when the context is cancelled", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var seen callLog
		c := newScriptedClient(t, &seen, closeConnection, func(w http.ResponseWriter, r *http.Request) {
			unavailable(w, r)
			cancel()
		})
		_, err := c.Publish(ctx, 3, "id", []byte("text"))
		is.True(err != nil && !notSent(err))
	})
}

// Guards against a poll that ends at a lost answer or at an outcome that is not
// final.
func TestPoll(t *testing.T) {
	is := is.New(t)
	var seen callLog
	c := newScriptedClient(t, &seen, respond(202, `{"outcome":"running"}`), closeConnection, respond(202, `{"outcome":"unknown"}`), respond(200, `{"outcome":"done"}`))
	a, err := c.Poll(context.Background(), "tartu/1", time.Second)
	is.NoErr(err)
	is.Equal(a.Outcome, model.OutcomeDone)
}

// Guards against decoding an error body as a text or a report.
func TestRefusedGetReturnsError(t *testing.T) {
	is := is.New(t)
	var seen callLog
	_, err := newScriptedClient(t, &seen, respond(503, `{"accepted":false,"code":"not_ready","message":"no text"}`)).Text(context.Background())
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code(), model.CodeNotReady)
}
