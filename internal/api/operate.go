package api

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/wire"
)

func (s *server) text(w http.ResponseWriter, _ *http.Request) {
	t := s.cfg.Instance.Text()
	if t == nil {
		writeJSON(w, codeStatus(model.CodeNotReady), wire.PublishResult{Code: model.CodeNotReady, Message: "no text is in force"})
		return
	}
	writeJSON(w, http.StatusOK, wire.Text{Version: t.Version, Hash: wire.FormatHash(t.Hash), ID: t.ID, Text: string(t.Text)})
}

// publish publishes a text. It creates an id if the request has none; the answer
// contains the id.
func (s *server) publish(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id := q.Get(wire.ParamID)
	if id == "" {
		id = uuid.NewString()
	}
	base, err := strconv.ParseUint(q.Get(wire.ParamBase), 10, 64)
	if err != nil {
		s.writePublished(w, wire.PublishResult{ID: id, Code: model.CodeBadRequest, Message: "base: is not a version number"})
		return
	}
	text, err := s.readBody(w, r)
	if err != nil {
		s.writePublished(w, wire.PublishResult{ID: id, Code: codeOf(err), Message: err.Error()})
		return
	}
	a, err := s.cfg.Instance.Publish(r.Context(), id, base, text)
	if err != nil {
		s.writePublished(w, publishFailure(id, err))
		return
	}
	s.writePublished(w, wire.PublishResult{Accepted: a.Accepted, Version: a.Version, ID: id, Code: a.Code})
}

// publishFailure returns the body for a publish that failed without an answer.
func publishFailure(id string, err error) wire.PublishResult {
	p := wire.PublishResult{ID: id, Code: model.CodeLogUnavailable, Message: err.Error()}
	var invalid *driver.TextInvalidError
	var full *driver.OverloadedError
	switch {
	case errors.As(err, &invalid):
		p.Code = model.CodeTextInvalid
		p.Errors = wireTextErrors(err)
	case errors.As(err, &full):
		p.Code = model.CodeOverloaded
	}
	return p
}

// wireTextErrors returns the individual errors of a text that is not valid.
func wireTextErrors(err error) []wire.TextError {
	var found *servicetext.Errors
	if !errors.As(err, &found) {
		return nil
	}
	list := make([]wire.TextError, len(found.List))
	for i, e := range found.List {
		list[i] = wire.TextError{Code: string(e.Code), Line: e.Line, Path: e.Path, Message: e.Message}
	}
	return list
}

func (s *server) writePublished(w http.ResponseWriter, p wire.PublishResult) {
	status := http.StatusOK
	if !p.Accepted {
		status = codeStatus(p.Code)
	}
	if t := s.cfg.Instance.Text(); t != nil && p.Version == 0 {
		p.Version = t.Version
	}
	writeJSON(w, status, p)
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	report, err := s.cfg.Instance.Status(r.Context())
	if err != nil {
		code := model.CodeNotReady
		var full *driver.OverloadedError
		if errors.As(err, &full) {
			code = model.CodeOverloaded
		}
		writeJSON(w, codeStatus(code), readiness{Code: code})
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (s *server) burn(w http.ResponseWriter, _ *http.Request) {
	t := s.cfg.Instance.Text()
	if t == nil || s.cfg.Burn == nil {
		writeJSON(w, codeStatus(model.CodeNotReady), readiness{Code: model.CodeNotReady})
		return
	}
	writeJSON(w, http.StatusOK, s.cfg.Burn.Report(t.Parsed))
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
}

// readiness is the body of /readyz, and of the answers to status and burn requests
// that can't be served.
type readiness struct {
	Ready bool       `json:"ready"`
	Code  model.Code `json:"code,omitempty"`
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	ready, code := s.cfg.Instance.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness{Ready: ready, Code: code})
}

func (s *server) metrics(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	if s.cfg.Metrics != nil {
		s.cfg.Metrics(&b)
	}
	write(w, http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", b.Bytes())
}
