package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/settings"
	"github.com/gentianpick/gentianpick/internal/standin"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const serviceText = `{
"name": "test", "data_centres": ["tartu"], "teams": [{"name": "ops", "quota": {}}],
"worker_shapes": [{"milli_cpu": 16000, "memory_mb": 32768, "slots": 8, "connections": 64}],
"services": [
{"name": "check", "team": "ops", "class": "interactive", "idempotent": true, "deadline": "20s", "resources": {"milli_cpu": 100, "memory_mb": 64}},
{"name": "book", "team": "ops", "class": "interactive", "idempotent": false, "deadline": "20s", "resources": {"milli_cpu": 100, "memory_mb": 64}},
{"name": "plan", "team": "ops", "class": "batch", "idempotent": true, "deadline": "1h", "resources": {"milli_cpu": 1000, "memory_mb": 64}},
]}`

const (
	testWorkers = 4
	// waitTimeout bounds the wait for a state; the test fails after it.
	waitTimeout = 30 * time.Second
)

// testInstance is a running instance.
type testInstance struct {
	*Instance
	kill   context.CancelFunc
	ended  chan error
	events *bytes.Buffer // recorded event file; read only after receiving from ended
}

// cluster is a data centre of real instances on a stand-in platform with stand-in workers.
type cluster struct {
	is       *is.I
	platform *standin.Platform
	address  string
	ledger   *standin.Ledger
	runs     []*testInstance
}

func newCluster(t *testing.T, instances int) *cluster {
	t.Helper()
	clock := standin.RealClock()
	c := &cluster{is: is.New(t), ledger: &standin.Ledger{}}
	c.platform = standin.NewPlatform(standin.NewLog(standin.LogConfig{}, clock), standin.NewVMList(0, clock), 1)
	c.address = c.serve(t, c.platform.Faults, c.platform.Handler())
	for i := range testWorkers {
		w := standin.NewWorker(standin.WorkerConfig{
			Name: model.WorkerName(fmt.Sprintf("w%d", i)), Rack: "r0",
			Capacity: standin.DefaultCapacity(), Seed: uint64(i), Ledger: c.ledger,
		}, clock)
		c.platform.List.Put(w.VM("tartu", c.serve(t, w.Faults, w.Handler())))
	}
	for i := range instances {
		c.start(t, fmt.Sprintf("i%d", i))
	}
	// An instance refuses to publish until it has caught up with the log.
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		p, err := c.runs[0].Driver.Publish(context.Background(), "first", 0, []byte(serviceText))
		c.is.NoErr(err)
		if p.Accepted {
			return c
		}
	}
	c.is.Fail() // the publish was not accepted in time
	return nil
}

func (c *cluster) serve(t *testing.T, f *standin.Faults, h http.Handler) string {
	server, err := standin.Serve("127.0.0.1:0", f, h)
	c.is.NoErr(err)
	t.Cleanup(func() { server.Close() })
	return server.Address()
}

func (c *cluster) start(t *testing.T, name string) {
	file := &bytes.Buffer{}
	in, err := New(Config{
		Core: core.Config{
			Self:   model.Member{Name: name, Incarnation: model.Incarnation(name + "-1"), DataCentre: "tartu"},
			Seed:   uint64(len(c.runs)),
			Timing: core.DefaultTiming(), Limits: core.DefaultLimits(),
		},
		PeerListen: "127.0.0.1:0", HTTPListen: "127.0.0.1:0", Platform: "http://" + c.address,
		HTTP: HTTPLimits(settings.DefaultHTTP()), Log: io.Discard, Record: file,
	})
	c.is.NoErr(err)
	c.platform.List.Put(model.VM{Name: name, Kind: model.VMEntry, DataCentre: "tartu", Address: in.Self.Address})
	ctx, kill := context.WithCancel(context.Background())
	r := &testInstance{Instance: in, kill: kill, ended: make(chan error, 1), events: file}
	done := make(chan struct{})
	go func() {
		r.ended <- in.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { kill(); <-done })
	c.runs = append(c.runs, r)
}

// waitOwner waits until one of the given instances is a ready owner that reaches every
// worker, and all of them know the owner, the published text and each other. It returns
// the owner's index.
func (c *cluster) waitOwner(instances ...int) int {
	c.is.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		owner, upToDate := -1, 0
		for _, i := range instances {
			s, err := c.runs[i].Driver.Status(context.Background())
			c.is.NoErr(err)
			if s.Ready && s.TextVersion == 1 && s.Owner != nil && len(s.Members) >= len(instances)-1 {
				upToDate++
			}
			if s.Acting && s.OwnerReady && reachable(s) == testWorkers {
				owner = i
			}
		}
		if owner >= 0 && upToDate == len(instances) {
			return owner
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.is.Fail() // no ready owner in time
	return -1
}

func reachable(s core.StatusReport) int {
	n := 0
	for _, w := range s.Workers {
		if w.Reachable {
			n++
		}
	}
	return n
}

// post sends a submission to instance i. It returns an empty answer if the connection
// broke.
func (c *cluster) post(i int, path string, s wire.Submit) wire.Answer {
	body, err := json.Marshal(s)
	c.is.NoErr(err)
	var a wire.Answer
	resp, err := http.Post("http://"+c.runs[i].Address()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return wire.Answer{}
	}
	return a
}

// booking returns a keyed submission; its key and its result contain n.
func booking(n int) wire.Submit {
	return wire.Submit{Service: "book", Key: model.Key(fmt.Sprint(n)), BodyText: fmt.Sprintf(`{"run_ms":300,"result":"b%d"}`, n)}
}

// waitStarts waits until at least n tasks have been started.
func (c *cluster) waitStarts(n int) {
	c.is.Helper()
	for deadline := time.Now().Add(waitTimeout); len(c.ledger.Runs()) < n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.is.Fail() // too few tasks were started in time
			return
		}
	}
}

// Guards against a drain of the owner that interrupts, loses or repeats a request in
// flight, and against an event file that cannot be replayed.
func TestOwnerDrainInterruptsNoRequest(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner(0, 1, 2)
	const requests = 24
	var wg sync.WaitGroup
	answers := make([]wire.Answer, requests)
	for n := range requests {
		wg.Go(func() {
			s := booking(n)
			if n%2 == 0 {
				s = wire.Submit{Service: "check", BodyText: fmt.Sprintf(`{"run_ms":300,"result":"b%d"}`, n)}
			}
			answers[n] = c.post(n%3, wire.PathRequests, s)
		})
	}
	c.waitStarts(requests / 2)
	c.runs[owner].Drain()
	wg.Wait()
	for n, a := range answers {
		c.is.Equal(a.Code, model.CodeNone)
		c.is.Equal(a.Outcome, model.OutcomeDone)
		c.is.Equal(a.ResultText, fmt.Sprintf("b%d", n))
	}
	c.is.NoErr(<-c.runs[owner].ended)
	rest := []int{(owner + 1) % 3, (owner + 2) % 3}
	c.waitOwner(rest...)
	c.is.Equal(c.post(rest[0], wire.PathRequests, booking(requests+1)).Outcome, model.OutcomeDone)
	c.is.Equal(c.post(rest[1], wire.PathRequests, booking(1)).ResultText, "b1")
	c.is.Equal(len(c.ledger.Violations()), 0)
	_, err := driver.Replay(c.runs[owner].events, servicetext.Parse)
	c.is.NoErr(err)
}

// Guards against a task that runs twice, or whose request is answered not_run although
// it ran, after the owner is killed while tasks run.
func TestOwnerKillRunsNoTaskTwice(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner(0, 1, 2)
	rest := []int{(owner + 1) % 3, (owner + 2) % 3}
	const requests = 16
	var wg sync.WaitGroup
	answers := make([]wire.Answer, requests)
	for n := range requests {
		wg.Go(func() { answers[n] = c.post(rest[n%2], wire.PathRequests, booking(n)) })
	}
	c.waitStarts(requests / 2)
	c.runs[owner].kill()
	wg.Wait()
	c.waitOwner(rest...)
	ran := map[model.Key]int{}
	for _, r := range c.ledger.Runs() {
		ran[r.Key]++
	}
	for n, a := range answers {
		key := booking(n).Key
		c.is.True(a.Outcome != "") // the connection to a live instance must not break
		c.is.True(a.Outcome != model.OutcomeNotRun || ran[key] == 0)
		again := c.post(rest[0], wire.PathRequests, booking(n))
		if a.Outcome == model.OutcomeDone {
			c.is.Equal(again.Outcome, model.OutcomeDone)
		}
		if again.Outcome == model.OutcomeDone {
			c.is.Equal(again.ResultText, fmt.Sprintf("b%d", n))
		}
	}
	ran = map[model.Key]int{}
	for _, r := range c.ledger.Runs() {
		ran[r.Key]++
		c.is.Equal(ran[r.Key], 1)
	}
	c.is.Equal(len(c.ledger.Violations()), 0)
}

// Guards against answers that differ when a non-owner instance forwards the request, and
// against a job that is known only to the instance that accepted it.
func TestEveryInstanceGivesSameAnswers(t *testing.T) {
	c := newCluster(t, 3)
	c.waitOwner(0, 1, 2)
	for i := range c.runs {
		a := c.post(i, wire.PathRequests, booking(1))
		c.is.Equal(a.Outcome, model.OutcomeDone)
		c.is.Equal(a.ResultText, "b1")
		c.is.Equal(c.post(i, wire.PathRequests, wire.Submit{Service: "book", Key: "1", BodyText: "other"}).Code, model.CodeKeyReused)
		c.is.Equal(c.post(i, wire.PathRequests, wire.Submit{Service: "book"}).Code, model.CodeKeyRequired)
		job := c.post(i, wire.PathJobs, wire.Submit{Service: "plan", Tasks: 3, BodyText: `{"run_ms":20,"result":"p"}`})
		c.is.Equal(job.Outcome, model.OutcomeAccepted)
		for k := range c.runs {
			resp, err := http.Get("http://" + c.runs[k].Address() + wire.PathJobs + "/" + string(job.Job) + "?wait=10s")
			c.is.NoErr(err)
			var a wire.Answer
			c.is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
			resp.Body.Close()
			c.is.Equal(a.Outcome, model.OutcomeDone)
			c.is.Equal(a.Tasks.Done, 3)
		}
	}
	c.is.Equal(len(c.ledger.Violations()), 0)
}

// Guards against the last instance of a data centre releasing its lease while a caller
// still waits: no other instance could finish the request.
func TestLastInstanceDrainFinishesRequest(t *testing.T) {
	c := newCluster(t, 1)
	c.waitOwner(0)
	answered := make(chan wire.Answer, 1)
	go func() { answered <- c.post(0, wire.PathRequests, booking(1)) }()
	c.waitStarts(1)
	c.runs[0].Drain()
	a := <-answered
	c.is.Equal(a.Outcome, model.OutcomeDone)
	c.is.Equal(a.ResultText, "b1")
	c.is.NoErr(<-c.runs[0].ended)
}
