package api

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// counted collects what would spend an error budget.
type counted struct{ outcomes []model.Outcome }

func (c *counted) Answered(_ *model.Text, service string, a model.Answer, _ time.Duration) {
	if service == "plan" {
		c.outcomes = append(c.outcomes, a.Outcome)
	}
}

func (c *counted) Report(*model.Text) wire.Burn { return wire.Burn{} }

// Guards against the end of a polled job that spends the error budget twice or
// not at all.
func TestEndCountsOnce(t *testing.T) {
	is := is.New(t)
	f, burn := &fake{text: &driver.ActiveText{Parsed: &model.Text{}}}, &counted{}
	h := New(Config{Instance: f, Burn: burn, Limits: limits}).Handler
	call := func(method, path, body string, a model.Answer) {
		a.Job = "tartu/1"
		f.answer = a
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, path, strings.NewReader(body)))
	}
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeDone})
	is.Equal(len(burn.outcomes), 0) // accepted elsewhere, its service is not known
	call("POST", wire.PathJobs, `{"service":"plan"}`, model.Answer{Outcome: model.OutcomeAccepted})
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeRunning})
	is.Equal(len(burn.outcomes), 0)
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeFailed})
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeFailed})
	is.Equal(burn.outcomes, []model.Outcome{model.OutcomeFailed})
}
