package worker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/model"
)

// CallTimeout bounds a call whose context has no earlier deadline. For a watch,
// its wait is added. Workers respond within milliseconds, so a second without a
// response means a dead worker or an unresponsive connection.
const CallTimeout = time.Second

// QueryRequest is the body of a query.
type QueryRequest struct {
	Epoch uint64       `json:"epoch"`
	Task  model.TaskID `json:"task"`
}

// Problem is the body of a response with status 409.
type Problem struct {
	Code  model.Code       `json:"code"`
	Epoch uint64           `json:"epoch,omitempty"`
	Clock model.WorkerTime `json:"clock,omitempty"` // set for start only
}

// HTTP implements Worker with JSON over HTTP.
type HTTP struct {
	base   string
	client *http.Client
}

var _ Worker = (*HTTP)(nil)

// NewHTTP returns a client of the worker at address, which has the form IP:port.
func NewHTTP(address string, client *http.Client) *HTTP {
	return &HTTP{base: "http://" + address, client: client}
}

// NewClient returns an HTTP client for NewHTTP. It opens at most maxConnsPerHost
// connections to each worker and never retries a request.
func NewClient(maxConnsPerHost int) *http.Client { return httpjson.NewClient(maxConnsPerHost) }

// Watch implements Worker.
func (h *HTTP) Watch(ctx context.Context, req WatchRequest) (model.Report, error) {
	var r model.Report
	resp, err := h.call(ctx, "watch", CallTimeout+req.Wait, req, &r)
	if err == nil && r.Boot == "" {
		err = &UnavailableError{Op: "watch", Cause: resp.MissingField("boot")}
	}
	if err != nil {
		return model.Report{}, err
	}
	return r, nil
}

// Start implements Worker. Only status 409 with one of the codes of Refusal is a
// refusal. After any other failure status the task may be running.
func (h *HTTP) Start(ctx context.Context, req StartRequest) (StartResult, error) {
	resp, err := h.post(ctx, "start", CallTimeout, req)
	if err != nil {
		return StartResult{}, err
	}
	if p, ok := decodeProblem(resp); ok && isRefusalCode(p.Code) {
		return StartResult{Refusal: &Refusal{Code: p.Code, Epoch: p.Epoch}, Clock: p.Clock}, nil
	}
	var r StartResult
	err = resp.Decode(&r)
	if err == nil && r.Clock == 0 {
		err = resp.MissingField("clock")
	}
	if err != nil {
		return StartResult{}, &UnavailableError{Op: "start", Cause: err}
	}
	return r, nil
}

// Query implements Worker.
func (h *HTTP) Query(ctx context.Context, epoch uint64, task model.TaskID) (QueryResult, error) {
	var r QueryResult
	resp, err := h.call(ctx, "query", CallTimeout, QueryRequest{Epoch: epoch, Task: task}, &r)
	if err == nil && (r.Boot == "" || r.Status.State == "") {
		err = &UnavailableError{Op: "query", Cause: resp.MissingField("boot or state")}
	}
	if err != nil {
		return QueryResult{}, err
	}
	return r, nil
}

// Control implements Worker.
func (h *HTTP) Control(ctx context.Context, req ControlRequest) error {
	_, err := h.call(ctx, "control", CallTimeout, req, &struct{}{})
	return err
}

func (h *HTTP) call(ctx context.Context, op string, timeout time.Duration, in, out any) (httpjson.Response, error) {
	resp, err := h.post(ctx, op, timeout, in)
	if err != nil {
		return resp, err
	}
	if p, ok := decodeProblem(resp); ok && p.Code == model.CodeStaleEpoch {
		return resp, &StaleEpochError{Epoch: p.Epoch}
	}
	if err := resp.Decode(out); err != nil {
		return resp, &UnavailableError{Op: op, Cause: err}
	}
	return resp, nil
}

// post sends a request and returns the response, whatever its status. Its errors
// are NotSentError and UnavailableError.
func (h *HTTP) post(ctx context.Context, op string, timeout time.Duration, in any) (httpjson.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return httpjson.Response{}, &NotSentError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := httpjson.Do(ctx, h.client, httpjson.Request{Method: http.MethodPost, URL: h.base + "/" + op, Body: body})
	var ce *httpjson.CallError
	switch {
	case err == nil:
		return resp, nil
	case errors.As(err, &ce) && ce.Code == httpjson.CodeNotSent:
		return resp, &NotSentError{Cause: err}
	default:
		return resp, &UnavailableError{Op: op, Cause: err}
	}
}

func decodeProblem(r httpjson.Response) (Problem, bool) {
	var p Problem
	ok := r.Status == http.StatusConflict && json.Unmarshal(r.Body, &p) == nil
	return p, ok
}

func isRefusalCode(c model.Code) bool {
	switch c {
	case model.CodeStaleEpoch, model.CodeTooLate, model.CodeNoCapacity, model.CodeLeaving, model.CodeWorkerLost:
		return true
	}
	return false
}
