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

// fakeBurnRecorder collects the outcomes that are counted for service plan.
type fakeBurnRecorder struct{ outcomes []model.Outcome }

func (c *fakeBurnRecorder) Answered(_ *model.Text, service string, a model.Answer, _ time.Duration) {
	if service == "plan" {
		c.outcomes = append(c.outcomes, a.Outcome)
	}
}

func (c *fakeBurnRecorder) Report(*model.Text) wire.Burn { return wire.Burn{} }

// Guards against counting a polled job in the error budget twice or not at all.
func TestFinishedJobIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f, burn := &fake{text: &driver.ActiveText{Parsed: &model.Text{}}}, &fakeBurnRecorder{}
	h := New(Config{Instance: f, Burn: burn, Limits: limits}).Handler
	call := func(method, path, body string, a model.Answer) {
		a.Job = "tartu/1"
		f.answer = a
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, path, strings.NewReader(body)))
	}
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeDone})
	is.Equal(len(burn.outcomes), 0) // accepted by another instance, so that its service is not known
	call("POST", wire.PathJobs, `{"service":"plan"}`, model.Answer{Outcome: model.OutcomeAccepted})
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeRunning})
	is.Equal(len(burn.outcomes), 0)
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeFailed})
	call("GET", wire.PathJobs+"/tartu%2F1", "", model.Answer{Outcome: model.OutcomeFailed})
	is.Equal(burn.outcomes, []model.Outcome{model.OutcomeFailed})
}
