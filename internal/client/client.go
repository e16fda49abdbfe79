// Package client calls the HTTP API of an instance, or of a load balancer in front
// of several instances.
//
// A submission, query or cancellation returns an error only if no complete answer
// arrived. An answer with a 4xx or 5xx status is not an error: its outcome and code
// describe what happened.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// dialTimeout limits a connection attempt to a host that does not answer.
	dialTimeout = 3 * time.Second
	// idleTimeout is shorter than the server's, so that the client closes an idle
	// connection first and never sends on one that the server has closed.
	idleTimeout = 30 * time.Second
	// maxConnsPerHost is large enough to reuse all connections at the load peak of
	// a load generator.
	maxConnsPerHost = 256
	// maxAnswerBytes limits the size of an answer, to protect the client's memory.
	maxAnswerBytes = 64 << 20
)

// Client calls one server. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for a base URL such as http://127.0.0.1:7411. Each call's
// deadline is that of its context.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, &ServerURLError{base}
	}
	u.RawQuery, u.Fragment = "", ""
	return &Client{
		base: strings.TrimSuffix(u.String(), "/"),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				IdleConnTimeout:     idleTimeout,
				MaxIdleConnsPerHost: maxConnsPerHost,
			},
			// A submission that is redirected could be sent twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request submits work and waits for its outcome.
func (c *Client) Request(ctx context.Context, s wire.Submit) (wire.Answer, error) {
	return c.answer(ctx, http.MethodPost, wire.PathRequests, s)
}

// Submit submits a job and waits until it is accepted.
func (c *Client) Submit(ctx context.Context, s wire.Submit) (wire.Answer, error) {
	return c.answer(ctx, http.MethodPost, wire.PathJobs, s)
}

// Job returns the state of a job. The server waits up to wait for the job to
// finish.
func (c *Client) Job(ctx context.Context, id model.JobID, wait time.Duration) (wire.Answer, error) {
	path := jobPath(id)
	if wait > 0 {
		path += "?" + url.Values{wire.ParamWait: {wait.String()}}.Encode()
	}
	return c.answer(ctx, http.MethodGet, path, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id model.JobID) (wire.Answer, error) {
	return c.answer(ctx, http.MethodDelete, jobPath(id), nil)
}

// jobPath escapes the slash in a job id, so that the id is one path segment.
func jobPath(id model.JobID) string { return wire.PathJobs + "/" + url.PathEscape(string(id)) }

// Text returns the service text in force. If there is none, it returns a
// *RefusedError with code not_ready.
func (c *Client) Text(ctx context.Context) (wire.Text, error) {
	var t wire.Text
	err := c.get(ctx, wire.PathText, &t)
	return t, err
}

// PutText makes one attempt to publish a text. If the answer is lost, a retry with
// the same id is safe; Publish retries by itself.
func (c *Client) PutText(ctx context.Context, base uint64, id string, text []byte) (wire.PublishResult, error) {
	query := url.Values{wire.ParamBase: {strconv.FormatUint(base, 10)}, wire.ParamID: {id}}
	path := wire.PathText + "?" + query.Encode()
	var p wire.PublishResult
	status, err := c.do(ctx, http.MethodPut, path, text, &p)
	if err == nil && p.Accepted == (p.Code != model.CodeNone) {
		err = &BadAnswerError{Op: http.MethodPut + " " + wire.PathText, Status: status, Cause: &ContentError{"neither an acceptance nor a refusal with a code"}}
	}
	return p, err
}

// Status returns the status report of the answering instance.
func (c *Client) Status(ctx context.Context) (wire.Status, error) {
	var s wire.Status
	err := c.get(ctx, wire.PathStatus, &s)
	return s, err
}

// Burn returns the burn rates of the answers that the answering instance has
// counted.
func (c *Client) Burn(ctx context.Context) (wire.Burn, error) {
	var b wire.Burn
	err := c.get(ctx, wire.PathBurn, &b)
	return b, err
}

// Metrics returns the metrics of the answering instance in the Prometheus text
// format.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) {
	const path = "/metrics"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, &TransportError{Op: path, NotSent: true, Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &TransportError{Op: path, Cause: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return nil, &BadAnswerError{Op: path, Status: res.StatusCode, Cause: err}
	}
	return data, nil
}

// get reads an answer and returns an error for any status other than 200.
func (c *Client) get(ctx context.Context, path string, v any) error {
	var raw json.RawMessage
	status, err := c.do(ctx, http.MethodGet, path, nil, &raw)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		r := &RefusedError{Op: http.MethodGet + " " + path, Status: status, Reason: model.CodeInternal}
		var body wire.Answer
		if json.Unmarshal(raw, &body) == nil && body.Code != model.CodeNone {
			r.Reason, r.Message = body.Code, body.Message
		}
		return r
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &BadAnswerError{Op: http.MethodGet + " " + path, Status: status, Cause: err}
	}
	return nil
}

func (c *Client) answer(ctx context.Context, method, path string, body any) (wire.Answer, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return wire.Answer{}, &TransportError{Op: method + " " + path, NotSent: true, Cause: err}
		}
	}
	var a wire.Answer
	status, err := c.do(ctx, method, path, data, &a)
	if err == nil && a.Outcome == "" && a.Code == model.CodeNone {
		err = &BadAnswerError{Op: method + " " + path, Status: status, Cause: &ContentError{"neither an outcome nor a code"}}
	}
	return a, err
}

// do makes one call and decodes the whole body of the answer.
func (c *Client) do(ctx context.Context, method, path string, body []byte, v any) (status int, err error) {
	op := method + " " + path
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, &TransportError{Op: op, NotSent: true, Cause: err}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		var dial *net.OpError
		return 0, &TransportError{Op: op, NotSent: errors.As(err, &dial) && dial.Op == "dial", Cause: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	switch {
	case err != nil: // including a truncated answer
		return res.StatusCode, &BadAnswerError{Op: op, Status: res.StatusCode, Cause: err}
	case len(data) > maxAnswerBytes:
		return res.StatusCode, &BadAnswerError{Op: op, Status: res.StatusCode, Cause: &ContentError{"larger than the client's limit"}}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return res.StatusCode, &BadAnswerError{Op: op, Status: res.StatusCode, Cause: err}
	}
	return res.StatusCode, nil
}
