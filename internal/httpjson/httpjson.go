// Package httpjson makes HTTP calls with JSON bodies, without retries. The error of
// a failed call tells whether the request may have reached the server.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/model"
)

// MaxResponseBytes bounds a response body. The largest response is a read of the
// log, which the platform limits to a few MiB.
const MaxResponseBytes = 16 << 20

// Timeouts of a client's connections.
const (
	dialTimeout = time.Second      // servers are in the same region, at most a few milliseconds away
	idleTimeout = 90 * time.Second // longer than any long poll, so that its connection is kept
)

// Codes of CallError.
const (
	CodeNotSent   model.Code = "not_sent"   // the server definitely has no complete request
	CodeNoAnswer  model.Code = "no_answer"  // sent, but no complete response arrived
	CodeBadAnswer model.Code = "bad_answer" // the response is too long or not the expected JSON
	CodeStatus    model.Code = "status"     // the response has an unexpected status
)

// CallError reports a call without a usable response.
type CallError struct {
	Code   model.Code
	Status int   // HTTP status if a response arrived, else zero
	Cause  error // nil for CodeStatus
}

func (e *CallError) Error() string {
	if e.Cause == nil {
		return string(e.Code) + " " + strconv.Itoa(e.Status)
	}
	return string(e.Code) + ": " + e.Cause.Error()
}

// Unwrap returns the error of the transport or the decoder.
func (e *CallError) Unwrap() error { return e.Cause }

// TooLargeError reports a response body above MaxResponseBytes.
type TooLargeError struct{}

func (e *TooLargeError) Error() string { return "response body exceeds the size limit" }

// StalledError reports a call that received no data for its stall timeout.
type StalledError struct{ Timeout time.Duration }

func (e *StalledError) Error() string { return "no data received for " + e.Timeout.String() }

// LostError reports a call that was aborted since its caller knows that no answer will come.
type LostError struct{}

func (e *LostError) Error() string { return "given up by its caller" }

// MissingFieldError reports a response without a mandatory field. The server is
// another program or has another version.
type MissingFieldError struct{ Field string }

func (e *MissingFieldError) Error() string { return "response has no " + e.Field }

// MissingField returns the error for a response that lacks a field.
func (r Response) MissingField(field string) error {
	return &CallError{Code: CodeBadAnswer, Status: r.Status, Cause: &MissingFieldError{Field: field}}
}

// Request is one call.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte // nil: no body
	// StallTimeout aborts the call when no data of the response arrives for that
	// long. A response that arrives slowly over a link with little bandwidth is not
	// aborted. Zero means that only the context ends the call.
	StallTimeout time.Duration
	// Lost, if set, aborts the call when it is closed before data of the response has arrived.
	Lost <-chan struct{}
	// OneServer says that the client calls one server only. After a call without an answer its
	// idle connections are closed: those that were open at the same time may be silent as well.
	OneServer bool
}

// Response is a response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewClient returns a client that opens at most maxConnsPerHost connections to an
// address and sends each request at most once.
func NewClient(maxConnsPerHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:     maxConnsPerHost,
			MaxIdleConnsPerHost: maxConnsPerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do makes one call. Its errors are of type *CallError. When ctx ends before the
// response is complete, net/http closes the connection, so that the next call uses
// another one.
func Do(ctx context.Context, client *http.Client, r Request) (Response, error) {
	// The server acts only on a complete header. net/http calls WroteHeaders before
	// the last flush of the header and closes the connection of a failed call before
	// client.Do returns. If WroteHeaders was not called, no complete header was sent.
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resetStall := func() {}
	if r.StallTimeout > 0 {
		timer := time.AfterFunc(r.StallTimeout, func() { cancel(&StalledError{Timeout: r.StallTimeout}) })
		defer timer.Stop()
		resetStall = func() { timer.Reset(r.StallTimeout) }
	}
	var headersSent, answering atomic.Bool
	if r.Lost != nil {
		ended := ctx.Done()
		go func() {
			select {
			case <-r.Lost:
				if !answering.Load() {
					cancel(&LostError{})
				}
			case <-ended:
			}
		}()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headersSent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, &CallError{Code: CodeNotSent, Cause: err}
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	req.GetBody = nil // without GetBody, net/http can't send the request a second time
	if r.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	closeIdle := func() {
		if r.OneServer && !errors.Is(callerCtx.Err(), context.Canceled) {
			client.CloseIdleConnections()
		}
	}
	resp, err := client.Do(req)
	answering.Store(err == nil)
	if err != nil {
		closeIdle()
		if !headersSent.Load() {
			return Response{}, &CallError{Code: CodeNotSent, Cause: err}
		}
		return Response{}, &CallError{Code: CodeNoAnswer, Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(&progressReader{r: io.LimitReader(resp.Body, MaxResponseBytes+1), onData: resetStall})
	if err != nil {
		closeIdle()
		return Response{}, &CallError{Code: CodeNoAnswer, Status: resp.StatusCode, Cause: err}
	}
	if len(body) > MaxResponseBytes {
		return Response{}, &CallError{Code: CodeBadAnswer, Status: resp.StatusCode, Cause: &TooLargeError{}}
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// progressReader calls alive when bytes arrive.
type progressReader struct {
	r      io.Reader
	onData func()
}

// Read implements io.Reader.
func (w *progressReader) Read(b []byte) (int, error) {
	n, err := w.r.Read(b)
	if n > 0 {
		w.onData()
	}
	return n, err
}

// Decode parses the body of a response with status 200 into out. Any other
// status or a body that doesn't parse is a CallError.
func (r Response) Decode(out any) error {
	if r.Status != http.StatusOK {
		return &CallError{Code: CodeStatus, Status: r.Status}
	}
	if err := json.Unmarshal(r.Body, out); err != nil {
		return &CallError{Code: CodeBadAnswer, Status: r.Status, Cause: err}
	}
	return nil
}
