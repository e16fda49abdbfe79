package worker_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// silentDeadline is the timeout of calls that receive no response.
const silentDeadline = 100 * time.Millisecond

func serve(t *testing.T) (*standin.Worker, *worker.HTTP) {
	w := standin.NewWorker(standin.WorkerConfig{Name: "w", Capacity: standin.DefaultCapacity(), Seed: 1}, standin.RealClock())
	s, err := standin.Serve("127.0.0.1:0", w.Faults, w.Handler())
	is.New(t).NoErr(err)
	t.Cleanup(func() { s.Close() })
	return w, worker.NewHTTP(s.Address(), worker.NewClient(2))
}

func errorKind(err error) string {
	var notSent *worker.NotSentError
	var unavailable *worker.UnavailableError
	var stale *worker.StaleEpochError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &notSent):
		return "not_sent"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &stale):
		return "stale"
	}
	return err.Error()
}

func startRequest(id model.TaskID, r model.Report) worker.StartRequest {
	return worker.StartRequest{
		Epoch: 3, Boot: r.Boot, NotAfter: r.Clock + model.WorkerTime(time.Minute), Lease: time.Minute,
		Spec: model.TaskSpec{ID: id, Service: "proof"}, Body: []byte("result"),
	}
}

func TestHTTPCalls(t *testing.T) {
	// Guards against a client that drops a field or a refusal in transit.
	is := is.New(t)
	w, h := serve(t)
	ctx := context.Background()
	r, err := h.Watch(ctx, worker.WatchRequest{Epoch: 3, Wait: time.Minute})
	is.NoErr(err)
	is.True(r.Full && r.Worker == "w" && r.Epoch == 3)
	res, err := h.Start(ctx, startRequest("t", r))
	is.NoErr(err)
	is.True(res.Refusal == nil && res.Clock >= r.Clock)
	for r.Tasks == nil || r.Tasks[0].State == model.TaskRunning { // both the start and the end of the task end a watch
		r, err = h.Watch(ctx, worker.WatchRequest{Epoch: 3, After: r.Seq, Boot: r.Boot, Lease: time.Minute, Wait: time.Minute})
		is.NoErr(err)
		is.True(!r.Full)
	}
	is.Equal(string(r.Tasks[0].Result), "result")
	q, err := h.Query(ctx, 3, "t")
	is.NoErr(err)
	is.Equal(q.Status.State, model.TaskDone)
	is.NoErr(h.Control(ctx, worker.ControlRequest{Epoch: 3, Tasks: []model.TaskID{"t"}, Action: worker.ActionForget}))
	q, err = h.Query(ctx, 4, "other")
	is.NoErr(err)
	is.Equal(q.Status.State, model.TaskNotKnown)
	res, err = h.Start(ctx, startRequest("u", r))
	is.NoErr(err)
	is.Equal(*res.Refusal, worker.Refusal{Code: model.CodeStaleEpoch, Epoch: 4})
	_, err = h.Watch(ctx, worker.WatchRequest{Epoch: 3})
	is.Equal(errorKind(err), "stale")
	is.Equal(errorKind(h.Control(ctx, worker.ControlRequest{Epoch: 3})), "stale")
	_, err = h.Query(ctx, 3, "t")
	is.Equal(errorKind(err), "stale")
	is.Equal(w.Starts("t")+w.Starts("u"), 1)
}

func TestHTTPStartDelivery(t *testing.T) {
	// Guards against reporting a start as not sent although the task may have
	// run. The caller would start the task a second time.
	on, one := true, 1
	for _, tc := range []struct {
		name   string
		faults standin.WorkerFaults
		want   string
		starts int
	}{
		{"no fault", standin.WorkerFaults{}, "ok", 1},
		{"response lost", standin.WorkerFaults{CallFaults: standin.CallFaults{LoseNext: &one}}, "unavailable", 1},
		{"outage", standin.WorkerFaults{CallFaults: standin.CallFaults{Outage: &on}}, "unavailable", 0},
		{"crash", standin.WorkerFaults{Crash: true}, "unavailable", 0},
		{"silent connection", standin.WorkerFaults{CallFaults: standin.CallFaults{Silence: true}}, "unavailable", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w, h := serve(t)
			r, err := h.Watch(context.Background(), worker.WatchRequest{Epoch: 3})
			is.NoErr(err)
			w.Set(tc.faults)
			ctx, cancel := context.WithTimeout(context.Background(), silentDeadline)
			defer cancel()
			_, err = h.Start(ctx, startRequest("t", r))
			is.Equal(errorKind(err), tc.want)
			is.Equal(w.Starts("t"), tc.starts)
			if tc.faults.Silence { // a call on a new connection succeeds
				_, err = h.Start(context.Background(), startRequest("t", r))
				is.NoErr(err)
				is.Equal(w.Starts("t"), 1)
			}
		})
	}
}

func TestHTTPConnectionLimit(t *testing.T) {
	// Guards against reporting a call as unavailable instead of not sent when it
	// timed out waiting for a connection or could not dial, and against an
	// unresponsive connection that counts towards the limit forever.
	is := is.New(t)
	arrived := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only after the body was read
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	h := worker.NewHTTP(s.Listener.Addr().String(), worker.NewClient(1))
	long, stop := context.WithCancel(context.Background())
	first := make(chan error)
	go func() {
		_, err := h.Watch(long, worker.WatchRequest{Wait: time.Minute})
		first <- err
	}()
	<-arrived
	short, cancel := context.WithTimeout(context.Background(), silentDeadline)
	defer cancel()
	_, err := h.Start(short, worker.StartRequest{})
	is.Equal(errorKind(err), "not_sent") // the only connection is in use
	stop()
	is.Equal(errorKind(<-first), "unavailable")
	_, err = h.Start(context.Background(), worker.StartRequest{}) // times out after CallTimeout
	is.Equal(errorKind(err), "unavailable")
	<-arrived
	s.Close()
	_, err = h.Start(context.Background(), worker.StartRequest{})
	is.Equal(errorKind(err), "not_sent")
}

func TestHTTPUnexpectedResponses(t *testing.T) {
	// Guards against treating an unexpected response, for example one from another
	// program, as a refusal. The caller would repeat a start that may have run.
	for _, tc := range []struct {
		name         string
		status       int
		body         string
		start, query string
	}{
		{"refusal", 409, `{"code":"too_late"}`, "ok", "unavailable"},
		{"unknown code", 409, `{"code":"teapot"}`, "unavailable", "unavailable"},
		{"conflict without body", 409, ``, "unavailable", "unavailable"},
		{"not found", 404, `{}`, "unavailable", "unavailable"},
		{"empty object", 200, `{}`, "unavailable", "unavailable"},
		{"truncated", 200, `{"clock":1`, "unavailable", "unavailable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			}))
			defer s.Close()
			h := worker.NewHTTP(s.Listener.Addr().String(), worker.NewClient(1))
			res, err := h.Start(context.Background(), worker.StartRequest{})
			is.Equal(errorKind(err), tc.start)
			is.Equal(res.Refusal != nil, tc.start == "ok")
			_, err = h.Query(context.Background(), 1, "t")
			is.Equal(errorKind(err), tc.query)
		})
	}
}

func TestHTTPClosedIdleConnection(t *testing.T) {
	// Guards against net/http sending a request twice when the server closes the
	// idle connection that the request reuses.
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	requests := make(chan int, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnce(c, requests)
		}
	}()
	h := worker.NewHTTP(l.Addr().String(), worker.NewClient(1))
	_, err = h.Start(context.Background(), worker.StartRequest{})
	is.NoErr(err)
	_, err = h.Start(context.Background(), worker.StartRequest{})
	is.Equal(errorKind(err), "unavailable")
	is.Equal(len(requests), 2)
}

// answerOnce responds to the first request of a connection. It reads the second
// and closes the connection without a response.
func answerOnce(c net.Conn, requests chan<- int) {
	defer c.Close()
	buf := make([]byte, 4096)
	for i := range 2 {
		if _, err := c.Read(buf); err != nil {
			return
		}
		requests <- i
		if i == 0 {
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"clock\":1}"))
		}
	}
}
