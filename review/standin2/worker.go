//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// holdMax is the longest lease, heartbeat the interval between a worker's entries.
const (
	holdMax   = 6 * time.Second
	heartbeat = 1500 * time.Millisecond
)

// lasts is the payload of a job whose tasks run until they are stopped.
const lasts = "lasts"

// worker is a stand-in of a worker. The payload of a job is lasts or "ms=N": its tasks run for N
// milliseconds and end as done.
type worker struct {
	id, kind, rack string
	cpu            int64
	log            *recorder
	st             *store

	// hold, if set, takes a call out of the network. It returns whether it did.
	hold func(w *worker, path string, body []byte) bool

	mu      sync.Mutex
	up      bool
	address string
	srv     *http.Server
	quit    chan struct{}
	born    int64
	started time.Time
	fence   int64
	lease   time.Duration // end, on the worker's clock
	runs    map[string]*run
	barred  map[string]int // newest run of a task that was stopped or has ended here
	ended   [][]any
	seq     int64
	changed chan struct{}
}

type run struct {
	task  string
	run   int
	begun time.Time
	takes time.Duration
	timer *time.Timer
}

func (w *worker) clock() time.Duration { return time.Since(w.started) }

// start starts a new process of the worker. It keeps its id and, after the first start, its
// address.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var err error
	for try := 0; try < 50; try++ {
		if w.srv, w.address, err = serve(address, w); err == nil {
			break
		}
		w.address = address
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.up, w.started, w.born = true, time.Now(), time.Now().UnixMilli()
	w.fence, w.lease, w.seq = 0, 0, 0
	w.runs, w.barred, w.ended = map[string]*run{}, map[string]int{}, nil
	w.changed, w.quit = make(chan struct{}), make(chan struct{})
	go w.beat(w.quit)
	go w.expire(w.quit)
	w.log.event("worker %s starts, born %d", w.id, w.born)
	return nil
}

// crash ends the worker's process with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.quit)
	for _, r := range w.runs {
		r.timer.Stop()
		w.log.over(w.id, r.task, r.run, "crashed")
	}
	w.runs = map[string]*run{}
	_ = w.srv.Close()
	w.log.event("worker %s crashes", w.id)
}

func (w *worker) beat(quit chan struct{}) {
	for n := 1; ; n++ {
		w.mu.Lock()
		entry := map[string]any{
			"service": "svc", "address": w.address, "zone": "a", "version": "1", "slots": 8, "state": "ready", "born": w.born, "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": 32768, "gpus": 0}, "labels": []string{w.kind, w.rack}, "seq": n,
		}
		w.mu.Unlock()
		w.st.put("keyed.servers", w.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-quit:
			return
		}
	}
}

func (w *worker) expire(quit chan struct{}) {
	for {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-quit:
			return
		}
		w.mu.Lock()
		if w.up && w.clock() > w.lease {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The caller holds mu.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	w.barred[task] = max(w.barred[task], r.run)
	w.seq++
	w.ended = append(w.ended, []any{w.seq, task, r.run, how, ""})
	w.log.over(w.id, task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func duration(spec string) time.Duration {
	if spec == lasts {
		return time.Hour
	}
	n, err := strconv.Atoi(strings.TrimPrefix(spec, "ms="))
	if err != nil {
		n = 500
	}
	return time.Duration(n) * time.Millisecond
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Task       string `json:"task"`
		Run        int    `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadlineMs"`
		FenceToken int64  `json:"fenceToken"`
		LastSeen   int64  `json:"lastSeen"`
		WaitMs     int64  `json:"waitMs"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.hold != nil && w.hold(w, r.URL.Path, body) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	quit := w.quit
	reply := func(status int, body map[string]any) {
		body["clockMs"], body["born"] = w.clock().Milliseconds(), w.born
		writeJSON(rw, status, body)
	}
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if q.FenceToken < w.fence {
		reply(http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = q.FenceToken
	if q.DeadlineMs > 0 {
		w.lease = max(w.lease, min(time.Duration(q.DeadlineMs)*time.Millisecond, w.clock()+holdMax))
	}
	switch r.URL.Path {
	case "/-/run-start":
		known := w.runs[q.Task]
		switch {
		case known != nil && known.run == q.Run:
			reply(http.StatusOK, map[string]any{})
		case q.Run <= w.barred[q.Task] || known != nil:
			reply(http.StatusConflict, map[string]any{"reason": "old"})
		case w.clock() >= min(w.lease, time.Duration(q.DeadlineMs)*time.Millisecond):
			reply(http.StatusConflict, map[string]any{"reason": "late"})
		default:
			n := &run{task: q.Task, run: q.Run, begun: time.Now(), takes: duration(q.Spec)}
			w.runs[q.Task] = n
			n.timer = time.AfterFunc(n.takes, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[n.task] == n {
					w.end(n.task, "done")
				}
			})
			w.log.begun(w.id, q.Task, q.Run, q.FenceToken)
			reply(http.StatusOK, map[string]any{})
		}
	case "/-/run-stop":
		w.barred[q.Task] = max(w.barred[q.Task], q.Run)
		if known := w.runs[q.Task]; known != nil && known.run <= q.Run {
			w.end(q.Task, "stopped")
		}
		reply(http.StatusOK, map[string]any{})
	case "/-/hold":
		w.ended = slices.DeleteFunc(w.ended, func(e []any) bool { return e[0].(int64) <= q.LastSeen })
		if len(w.ended) == 0 && q.WaitMs > 0 {
			changed := w.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond):
			case <-r.Context().Done():
			case <-quit:
			}
			w.mu.Lock()
			if !w.up || w.quit != quit {
				panic(http.ErrAbortHandler)
			}
		}
		running := [][]any{}
		for _, r := range w.runs {
			percent := int(100 * time.Since(r.begun) / max(r.takes, 1))
			if r.takes == time.Hour {
				percent = 100
			}
			running = append(running, []any{r.task, r.run, "", percent, 500})
		}
		reply(http.StatusOK, map[string]any{"running": running, "ended": slices.Clone(w.ended[:min(len(w.ended), 500)])})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// newWorkers starts workers with ids of their own.
func newWorkers(n int, st *store, log *recorder) ([]*worker, error) {
	var out []*worker
	for i := range n {
		w := &worker{id: fmt.Sprintf("w%02d", i), kind: "a", rack: fmt.Sprintf("r1-%d", i/8), cpu: 16000, log: log, st: st}
		if err := w.start(); err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	return out, nil
}
