package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// fake is an Instance with fixed answers.
type fake struct {
	calls     []core.Call
	answer    model.Answer
	err       error
	published core.PublishAnswer
	text      *driver.ActiveText
	unblock   chan struct{} // if not nil, Submit signals entered and waits until unblock is closed
	entered   chan struct{}
}

func (f *fake) Submit(_ context.Context, c core.Call) (model.Answer, error) {
	if f.unblock != nil {
		f.entered <- struct{}{}
		<-f.unblock
		return f.answer, f.err
	}
	f.calls = append(f.calls, c)
	return f.answer, f.err
}

func (f *fake) Publish(_ context.Context, _ string, _ uint64, text []byte) (core.PublishAnswer, error) {
	if _, err := servicetext.Parse(text); err != nil {
		return core.PublishAnswer{}, &driver.TextInvalidError{Cause: err}
	}
	return f.published, f.err
}

func (f *fake) Status(context.Context) (core.StatusReport, error) { return core.StatusReport{}, f.err }
func (f *fake) Text() *driver.ActiveText                          { return f.text }
func (f *fake) Ready() (bool, model.Code)                         { return f.err == nil, model.CodeDraining }

var limits = Limits{
	MaxInFlight: 1, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4096,
	HeaderTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute, MaxDeadline: time.Minute,
}

// do sends one request and decodes the body of the answer into out.
func do(is *is.I, f *fake, method, target, body string, out any) *http.Response {
	is.Helper()
	server := httptest.NewServer(New(Config{Instance: f, Limits: limits}).Handler)
	defer server.Close()
	req, err := http.NewRequest(method, server.URL+target, strings.NewReader(body))
	is.NoErr(err)
	resp, err := server.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(b, out))
	return resp
}

// Guards against an HTTP status that contradicts the outcome in the body.
func TestAnswerStatus(t *testing.T) {
	for _, tc := range []struct {
		outcome model.Outcome
		code    model.Code
		status  int
	}{
		{model.OutcomeDone, "", 200},
		{model.OutcomeFailed, model.CodeTaskFailed, 200},
		{model.OutcomeAccepted, "", 202},
		{model.OutcomeRunning, "", 202},
		{model.OutcomeUnknown, model.CodeInDoubt, 202},
		{model.OutcomeUnknown, model.CodeDeadline, 202},
		{model.OutcomeUnknown, model.CodeOverloaded, 429},
		{model.OutcomeUnknown, model.CodeJobNotFound, 404},
		{model.OutcomeNotRun, model.CodeUnknownService, 404},
		{model.OutcomeNotRun, model.CodeKeyReused, 409},
		{model.OutcomeNotRun, model.CodeNeverFits, 422},
		{model.OutcomeNotRun, model.CodeQueueFull, 429},
		{model.OutcomeNotRun, model.CodeDraining, 503},
		{model.OutcomeNotRun, model.CodeDeadline, 504},
		{model.OutcomeNotRun, model.CodeInternal, 500},
	} {
		t.Run(string(tc.outcome)+" "+string(tc.code), func(t *testing.T) {
			is := is.New(t)
			f := &fake{answer: model.Answer{Job: "tartu/1", Outcome: tc.outcome, Code: tc.code, Result: []byte("r")}}
			var a wire.Answer
			resp := do(is, f, "POST", wire.PathRequests, `{"service":"s","deadline":"2s"}`, &a)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(a.Outcome, tc.outcome)
			is.Equal(a.Code, tc.code)
			is.Equal(a.ResultText, "r")
			is.Equal(resp.Header.Get("Location"), "/v1/jobs/tartu%2F1")
			is.Equal(resp.Header.Get("Retry-After") != "", tc.status == 429 || tc.status == 503)
		})
	}
}

// Guards against malformed requests that reach the reducer.
func TestMalformedRequestDoesNotReachReducer(t *testing.T) {
	for _, tc := range []struct {
		name, method, target, body string
		status                     int
		code                       model.Code
	}{
		{"not JSON", "POST", wire.PathRequests, `{`, 400, model.CodeBadRequest},
		{"unknown field", "POST", wire.PathJobs, `{"service":"s","dead_line":"1s"}`, 400, model.CodeBadRequest},
		{"two values", "POST", wire.PathJobs, `{"service":"s"}{}`, 400, model.CodeBadRequest},
		{"no service", "POST", wire.PathRequests, `{}`, 400, model.CodeBadRequest},
		{"too large", "POST", wire.PathRequests, `{"service":"` + strings.Repeat("s", int(limits.MaxBodyBytes)) + `"}`, 413, model.CodeBodyTooLarge},
		{"bad wait", "GET", wire.PathJobs + "/a%2Fb?wait=x", ``, 400, model.CodeBadRequest},
		{"no id", "DELETE", wire.PathJobs + "/", ``, 400, model.CodeBadRequest},
		{"no base", "PUT", wire.PathText, `{}`, 400, model.CodeBadRequest},
		{"bad text", "PUT", wire.PathText + "?base=0", `{}`, 422, model.CodeTextInvalid},
		{"no text", "GET", wire.PathText, ``, 503, model.CodeNotReady},
		{"no burn", "GET", wire.PathBurn, ``, 503, model.CodeNotReady},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{}
			var got struct{ Code model.Code }
			resp := do(is, f, tc.method, tc.target, tc.body, &got)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(got.Code, tc.code)
			is.Equal(len(f.calls), 0)
		})
	}
}

// Guards against job ids that are cut at their slash, and against the outcome
// not_run for a call whose outcome is not known.
func TestQueryAndCancel(t *testing.T) {
	is := is.New(t)
	f := &fake{answer: model.Answer{Outcome: model.OutcomeRunning}}
	var a wire.Answer
	for _, path := range []string{"/tartu%2Fx-1?wait=2s", "/tartu/x-1?wait=2s"} {
		do(is, f, "GET", wire.PathJobs+path, "", &a)
	}
	do(is, f, "DELETE", wire.PathJobs+"/tartu%2Fx-1", "", &a)
	is.Equal(len(f.calls), 3)
	for i, c := range f.calls {
		is.Equal(c.Job, model.JobID("tartu/x-1"))
		is.Equal(c.Kind == message.ForwardCancel, i == 2)
		is.Equal(c.Wait.Seconds() == 2, i < 2)
	}
	f.err = &driver.OverloadedError{}
	is.Equal(do(is, f, "GET", wire.PathJobs+"/tartu%2Fx-1", "", &a).StatusCode, 429)
	is.Equal(a.Outcome, model.OutcomeUnknown)
	f.err = &driver.StoppedError{}
	is.Equal(do(is, f, "POST", wire.PathJobs, `{"service":"s"}`, &a).StatusCode, 202)
	is.Equal(a.Outcome, model.OutcomeUnknown)
}

// Guards against an unlimited number of requests in flight, and against health
// checks that fail when the limit is reached.
func TestInFlightLimit(t *testing.T) {
	is := is.New(t)
	f := &fake{unblock: make(chan struct{}), entered: make(chan struct{}), answer: model.Answer{Outcome: model.OutcomeDone}}
	server := httptest.NewServer(New(Config{Instance: f, Limits: limits}).Handler)
	defer server.Close()
	post := func() int {
		resp, err := http.Post(server.URL+wire.PathRequests, "application/json", strings.NewReader(`{"service":"s"}`))
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	first := make(chan int)
	go func() { first <- post() }()
	<-f.entered
	is.Equal(post(), 429)
	for _, path := range []string{"/healthz", "/readyz", "/metrics", wire.PathStatus} {
		resp, err := http.Get(server.URL + path)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, 200)
	}
	close(f.unblock)
	is.Equal(<-first, 200)
}
