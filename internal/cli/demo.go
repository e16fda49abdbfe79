package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// demoPollInterval is the time between two polls of the instance's state.
	demoPollInterval = 100 * time.Millisecond
	// demoStepTimeout bounds each step of the demo. The first step includes the wait for
	// the lease of a possible previous owner to expire.
	demoStepTimeout = 20 * time.Second
)

// DemoError reports a step of the demo that failed or timed out.
type DemoError struct {
	Step   string
	Detail string
}

func (e *DemoError) Error() string { return "sample " + e.Step + ": " + e.Detail }

// sample is one submission of the demo and the API path that accepts it.
type sample struct {
	path   string
	submit wire.Submit
}

// samples are submissions to the services of standalone.jsonc. The bodies set the run
// time and the result of the task on the stand-in worker. The second booking repeats the
// key of the first one.
var samples = []sample{
	{wire.PathRequests, wire.Submit{Service: "preview", BodyText: `{"run_ms":20,"result":"a preview"}`}},
	{wire.PathRequests, wire.Submit{Service: "booking", Key: "order-1", BodyText: `{"run_ms":20,"result":"booked"}`}},
	{wire.PathRequests, wire.Submit{Service: "booking", Key: "order-1", BodyText: `{"run_ms":20,"result":"booked"}`}},
	{wire.PathJobs, wire.Submit{Service: "plan", Tasks: 6, BodyText: `{"run_ms":200,"result":"planned"}`}},
	{wire.PathJobs, wire.Submit{Service: "simulate", Tasks: 4, BodyText: `{"run_ms":200,"result":"simulated"}`}},
}

// demoClient calls the HTTP API of one instance.
type demoClient struct {
	baseURL string
	http    *http.Client
	out     io.Writer
}

// runSamples publishes the service text of standalone mode, submits the samples, and
// prints the answers.
func runSamples(ctx context.Context, address string, out io.Writer) error {
	c := &demoClient{baseURL: "http://" + address, http: httpjson.NewClient(2), out: out}
	err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(out, err)
	}
	fmt.Fprintf(out, "serving on http://%s; try one of:\n", address)
	fmt.Fprintf(out, "  gentianpick submit --server http://%s --body hello preview\n", address)
	fmt.Fprintf(out, "  curl -s -d '%s' http://%s%s\n", `{"service":"preview","body_text":"hello"}`, address, wire.PathRequests)
	return err
}

func (c *demoClient) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(len(samples)+2)*demoStepTimeout)
	defer cancel()
	if err := c.publish(ctx); err != nil {
		return err
	}
	if err := c.waitForService(ctx); err != nil {
		return err
	}
	for _, s := range samples {
		if err := c.submit(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the service text. Repeating it is safe, since the server applies a
// publish id only once.
func (c *demoClient) publish(ctx context.Context) error {
	q := url.Values{wire.ParamBase: {"0"}, wire.ParamID: {"standalone"}}
	var p wire.PublishResult
	return c.waitUntil(ctx, "text", func() (bool, string, error) {
		_, err := c.call(ctx, http.MethodPut, wire.PathText+"?"+q.Encode(), standaloneText, &p)
		if p.Accepted {
			fmt.Fprintf(c.out, "text: version %d is in force\n", p.Version)
		}
		return p.Accepted, string(p.Code) + " " + p.Message, err
	})
}

// waitForService waits until the instance places tasks and all instances of the
// long-running service are running.
func (c *demoClient) waitForService(ctx context.Context) error {
	return c.waitUntil(ctx, "service", func() (bool, string, error) {
		var s wire.Status
		if _, err := c.call(ctx, http.MethodGet, wire.PathStatus, nil, &s); err != nil {
			return false, "", err
		}
		detail := fmt.Sprintf("acting %t, %d workers", s.Acting, len(s.Workers))
		if !s.Acting || len(s.Services) == 0 {
			return false, detail, nil
		}
		service := s.Services[0]
		detail = fmt.Sprintf("%s: %d of %d instances", service.Name, service.Running, service.Desired)
		if service.Running < service.Desired {
			return false, detail, nil
		}
		fmt.Fprintf(c.out, "service %s run on %d workers\n", detail, len(s.Workers))
		return true, "", nil
	})
}

// submit submits one sample, waits until its job ends and prints the answer.
func (c *demoClient) submit(ctx context.Context, s sample) error {
	body, err := json.Marshal(s.submit)
	if err != nil {
		return &DemoError{Step: s.submit.Service, Detail: err.Error()}
	}
	var a wire.Answer
	if _, err := c.call(ctx, http.MethodPost, s.path, body, &a); err != nil {
		return err
	}
	firstOutcome := a.Outcome
	if firstOutcome == model.OutcomeAccepted {
		path := wire.PathJobs + "/" + url.PathEscape(string(a.Job)) + "?" + wire.ParamWait + "=" + demoStepTimeout.String()
		if _, err := c.call(ctx, http.MethodGet, path, nil, &a); err != nil {
			return err
		}
	}
	line := fmt.Sprintf("%s: %s", s.submit.Service, a.Outcome)
	if a.Outcome != firstOutcome {
		line = fmt.Sprintf("%s: %s, then %s", s.submit.Service, firstOutcome, a.Outcome)
	}
	if a.Tasks != nil {
		line += ", " + strconv.Itoa(a.Tasks.Done) + " of " + strconv.Itoa(a.Tasks.Total) + " tasks done"
	}
	if a.ResultText != "" {
		line += ", result " + strconv.Quote(a.ResultText)
	}
	fmt.Fprintln(c.out, line, a.Job)
	if a.Outcome != model.OutcomeDone {
		return &DemoError{Step: s.submit.Service, Detail: string(a.Code) + " " + a.Message}
	}
	return nil
}

// call makes one HTTP call and decodes the response body, whatever the status code.
func (c *demoClient) call(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	resp, err := httpjson.Do(ctx, c.http, httpjson.Request{Method: method, URL: c.baseURL + path, Body: body})
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return resp.Status, &DemoError{Step: path, Detail: err.Error()}
	}
	return resp.Status, nil
}

// waitUntil repeats check until it reports success or demoStepTimeout has passed. A
// *DemoError then contains the last detail that check returned.
func (c *demoClient) waitUntil(ctx context.Context, step string, check func() (bool, string, error)) error {
	deadline := time.Now().Add(demoStepTimeout)
	for {
		done, detail, err := check()
		if err != nil || done {
			return err
		}
		if time.Now().After(deadline) {
			return &DemoError{Step: step, Detail: detail}
		}
		select {
		case <-time.After(demoPollInterval):
		case <-ctx.Done():
			return &DemoError{Step: step, Detail: ctx.Err().Error()}
		}
	}
}
