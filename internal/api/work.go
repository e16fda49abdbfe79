package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// coded is implemented by the errors of this program that have a code.
type coded interface{ Code() model.Code }

// codeOf returns the code of an error, or model.CodeInternal if it has none.
func codeOf(err error) model.Code {
	var c coded
	if errors.As(err, &c) {
		return c.Code()
	}
	return model.CodeInternal
}

// BodyError reports a request body that could not be read because it is larger
// than the limit or truncated.
type BodyError struct {
	code  model.Code
	Cause error
}

func (e *BodyError) Error() string { return "request body: " + e.Cause.Error() }

// Unwrap returns the reader's error.
func (e *BodyError) Unwrap() error { return e.Cause }

// Code returns model.CodeBodyTooLarge or model.CodeBadRequest.
func (e *BodyError) Code() model.Code { return e.code }

// readBody reads a whole body. It removes the read deadline afterwards, since the
// server would treat an expired one as a caller that has disconnected.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.cfg.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.Limits.MaxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &large):
		return nil, &BodyError{code: model.CodeBodyTooLarge, Cause: err}
	default:
		return nil, &BodyError{code: model.CodeBadRequest, Cause: err}
	}
}

// readSubmission reads and validates a submission. Its errors have a code.
func (s *server) readSubmission(w http.ResponseWriter, r *http.Request) (model.Submission, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return model.Submission{}, err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var in wire.Submit
	if err := dec.Decode(&in); err != nil {
		return model.Submission{}, &wire.BadRequestError{Field: "body", Reason: err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return model.Submission{}, &wire.BadRequestError{Field: "body", Reason: "has data after the JSON value"}
	}
	return in.Submission()
}

func (s *server) request(w http.ResponseWriter, r *http.Request) {
	s.submit(w, r, message.ForwardRequest)
}

func (s *server) job(w http.ResponseWriter, r *http.Request) { s.submit(w, r, message.ForwardJob) }

func (s *server) submit(w http.ResponseWriter, r *http.Request, kind message.ForwardKind) {
	start := time.Now()
	sub, err := s.readSubmission(w, r)
	if err != nil {
		refuseSubmission(w, codeOf(err), err.Error())
		return
	}
	wait := s.cfg.Limits.MaxDeadline
	if kind == message.ForwardRequest && sub.Deadline > 0 {
		wait = min(wait, sub.Deadline)
	}
	call := core.Call{Kind: kind, Submission: sub, Wait: wait}
	a, ok := s.call(w, r, call, wait)
	if !ok {
		return
	}
	s.recordSubmission(sub, a, start)
	if a.Job != "" {
		w.Header().Set("Location", wire.PathJobs+"/"+url.PathEscape(string(a.Job)))
	}
	respond(w, a)
}

func (s *server) query(w http.ResponseWriter, r *http.Request) {
	wait, err := wire.ParseDuration(wire.ParamWait, r.URL.Query().Get(wire.ParamWait))
	if err != nil {
		refuseQuery(w, err)
		return
	}
	s.callByID(w, r, message.ForwardQuery, min(wait, maxQueryWait))
}

func (s *server) cancel(w http.ResponseWriter, r *http.Request) {
	s.callByID(w, r, message.ForwardCancel, 0)
}

func (s *server) callByID(w http.ResponseWriter, r *http.Request, kind message.ForwardKind, wait time.Duration) {
	id := model.JobID(r.PathValue("id"))
	if id == "" {
		refuseQuery(w, &wire.BadRequestError{Field: "id", Reason: "is required"})
		return
	}
	if a, ok := s.call(w, r, core.Call{Kind: kind, Job: id, Wait: wait}, wait); ok {
		s.recordFinished(id, a)
		respond(w, a)
	}
}

// refuseQuery answers a malformed query or cancellation. The answer has no outcome,
// since it says nothing about the job.
func refuseQuery(w http.ResponseWriter, err error) {
	code := codeOf(err)
	writeJSON(w, codeStatus(code), wire.Answer{Code: code, Message: err.Error()})
}

// call passes a call to the instance. It reports false if the caller has
// disconnected.
func (s *server) call(w http.ResponseWriter, r *http.Request, call core.Call, wait time.Duration) (model.Answer, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), wait+answerGrace)
	defer cancel()
	a, err := s.cfg.Instance.Submit(ctx, call)
	if err == nil {
		return a, true
	}
	if r.Context().Err() != nil {
		return a, false
	}
	// The outcome of the call is not known: the instance has stopped or did not
	// answer in time. An overloaded instance has not executed a query.
	a = model.Answer{Job: call.Job, Outcome: model.OutcomeUnknown, Code: model.CodeDeadline, Message: err.Error()}
	var full *driver.OverloadedError
	if errors.As(err, &full) {
		a.Code = model.CodeOverloaded
	}
	return a, true
}
