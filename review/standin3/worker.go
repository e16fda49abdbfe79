package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxListedEnds = 500
	holdMax       = 6 * time.Second        // bounds.holdMaxMs of the settings
	stopTime      = 100 * time.Millisecond // below bounds.stopMs of the settings
	maxHoldWait   = 2 * time.Second
	never         = time.Hour
	targetHeader  = "X-Target-Instance"
)

// run is one run of a task at a worker.
type run struct {
	number   int
	begin    time.Time
	duration time.Duration // from the start's spec
	end      *time.Timer
	stopping bool
	lasts    bool // until it is stopped
}

// worker is one process of a worker. It follows PROTOCOL.md, "Running tasks".
type worker struct {
	rec     *record
	store   *store
	runs    *runLog
	id      string
	address string
	labels  []string
	cpu     int
	born    time.Time
	server  *http.Server
	stopped chan struct{}

	mu      sync.Mutex
	fence   int64
	lease   time.Time // until which everything that runs may run
	running map[string]*run
	highest map[string]int // highest run of a task that was stopped or has ended
	ended   [][]any
	seq     int64
	changed chan struct{} // closed and replaced when a run ends
	dead    bool
	silent  bool // requests get no answer and nothing is carried out
}

// startWorker starts a worker's process at an address; a port of 0 stands for any free one.
func startWorker(rec *record, s *store, runs *runLog, id, address, kind, rack string, cpu int) (*worker, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		rec: rec, store: s, runs: runs, id: id, address: ln.Addr().String(), labels: []string{kind, rack}, cpu: cpu, born: time.Now(),
		stopped: make(chan struct{}), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(ln) }()
	go w.heartbeats()
	go w.watchLease()
	rec.add(id, "worker starts at %s", w.address)
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *worker) heartbeats() {
	for seq := 1; ; seq++ {
		w.mu.Lock()
		quiet := w.dead || w.silent
		w.mu.Unlock()
		if !quiet {
			w.store.beat(w.id, map[string]any{
				"service": service, "address": w.address, "zone": zone, "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq,
				"born": w.born.UnixMilli(), "capacity": map[string]any{"cpu": w.cpu, "memMb": 32768, "gpus": 0}, "labels": w.labels,
			})
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) watchLease() {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		if len(w.running) > 0 && time.Now().After(w.lease) {
			for _, task := range slices.Sorted(maps.Keys(w.running)) {
				w.finish(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// crash ends the worker's process: connections are reset, and nothing runs any more.
func (w *worker) crash() {
	w.end("crashes")
	_ = w.server.Close()
}

// losePower ends the worker without a sign: what is sent to it is not answered.
func (w *worker) losePower() { w.end("loses power") }

func (w *worker) end(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead, w.silent = true, true
	close(w.stopped)
	tasks := slices.Sorted(maps.Keys(w.running))
	w.rec.add(w.id, "worker %s under %s", how, tasks)
	for _, task := range tasks {
		w.running[task].end.Stop()
		w.runs.over(task, w.running[task].number, w.id, "lost")
	}
	w.running = map[string]*run{}
}

// deaf reports whether the worker is without power. The caller then never answers.
func (w *worker) deaf() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.deaf() {
		<-r.Context().Done()
		return
	}
	if to := r.Header.Get(targetHeader); to != "" && to != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	var status int
	var reason string
	switch r.URL.Path {
	case "/-/run-start":
		status, reason = w.start(&o)
	case "/-/run-stop":
		status, reason = w.stop(&o)
	case "/-/hold":
		w.hold(rw, r, &o)
		return
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if w.deaf() { // lost its power over the order
		<-r.Context().Done()
		return
	}
	body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	answer(rw, status, body)
}

// fenced reports whether an order is of a former holder. The caller holds mu.
func (w *worker) fenced(o *order) bool {
	if o.FenceToken < w.fence {
		return true
	}
	w.fence = o.FenceToken
	return false
}

// extend extends the lease. The caller holds mu.
func (w *worker) extend(o *order) {
	if o.DeadlineMs == 0 {
		return
	}
	until := time.Now().Add(min(time.Duration(o.DeadlineMs-w.clock())*time.Millisecond, holdMax))
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(o *order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o) {
		return http.StatusConflict, "fence"
	}
	if o.DeadlineMs <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o)
	current := w.running[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		return http.StatusOK, ""
	case current != nil || o.Run <= w.highest[o.Task]:
		return http.StatusConflict, "old"
	}
	spec := parseSpec(o.Spec)
	n := &run{number: o.Run, begin: time.Now(), duration: spec.duration(), lasts: spec.Lasts}
	duration, how := n.duration, "done"
	switch {
	case spec.FailMs > 0:
		duration, how = time.Duration(spec.FailMs)*time.Millisecond, "failed"
	case spec.Lasts:
		duration = never
	}
	n.end = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == n && !n.stopping {
			w.finish(o.Task, how)
		}
	})
	w.running[o.Task] = n
	w.runs.begin(o.Task, o.Run, w.id, o.Spec, o.FenceToken)
	return http.StatusOK, ""
}

// failRuns has the runs of a job fail.
func (w *worker) failRuns(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		if strings.HasPrefix(task, job+".") {
			w.finish(task, "failed")
		}
	}
}

func (w *worker) stop(o *order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o) {
		return http.StatusConflict, "fence"
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if n := w.running[o.Task]; n != nil && n.number <= o.Run && !n.stopping {
		n.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[o.Task] == n {
				w.finish(o.Task, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// finish ends a run and lists its end. The caller holds mu.
func (w *worker) finish(task, how string) {
	n := w.running[task]
	n.end.Stop()
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], n.number)
	w.seq++
	w.ended = append(w.ended, []any{w.seq, task, n.number, how, ""})
	w.runs.over(task, n.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	deadline := time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	w.mu.Lock()
	if w.fenced(o) {
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "reason": "fence"})
		return
	}
	w.extend(o)
	w.ended = slices.DeleteFunc(w.ended, func(e []any) bool {
		noted := e[0].(int64) <= o.LastSeen
		if noted {
			w.runs.noted(e[1].(string), e[2].(int), w.id)
		}
		return noted
	})
	for waiting := o.WaitMs > 0; len(w.ended) == 0 && waiting; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-w.stopped:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		n := w.running[task]
		percent := 100
		if !n.lasts {
			percent = min(99, int(100*time.Since(n.begin)/max(n.duration, 1)))
		}
		running = append(running, []any{task, n.number, "", percent, 1000})
	}
	body := map[string]any{
		"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": slices.Clone(w.ended[:min(len(w.ended), maxListedEnds)]),
	}
	w.mu.Unlock()
	if w.deaf() {
		<-r.Context().Done()
		return
	}
	answer(rw, http.StatusOK, body)
}

// spec is the payload of the jobs of this program.
type spec struct {
	Ms     int  `json:"ms"`               // how long a task works
	FailMs int  `json:"failMs,omitempty"` // how long after its start each run fails; zero for never
	Lasts  bool `json:"lasts,omitempty"`  // a task runs until it is stopped
}

func parseSpec(text string) (s spec) {
	_ = json.Unmarshal([]byte(text), &s) // zero for another text
	return s
}

func (s spec) duration() time.Duration { return time.Duration(s.Ms) * time.Millisecond }

// taskRun is a run of a task as the workers saw it.
type taskRun struct {
	task, worker, spec string
	number             int
	fence              int64
	begin, end         time.Time
	how                string // empty while it runs
	noted              bool
}

// runLog holds the runs at all workers.
type runLog struct {
	rec *record

	mu   sync.Mutex
	runs []*taskRun
}

func (l *runLog) begin(task string, number int, worker, spec string, fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &taskRun{task: task, number: number, worker: worker, spec: spec, fence: fence, begin: time.Now()})
	l.rec.add(worker, "starts %s run %d for the holder %d", task, number, fence)
}

func (l *runLog) over(task string, number int, worker, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.task == task && r.number == number && r.worker == worker && r.how == "" {
			r.end, r.how = time.Now(), how
			l.rec.add(worker, "run %d of %s is over: %s", number, task, how)
		}
	}
}

func (l *runLog) noted(task string, number int, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.task == task && r.number == number && r.worker == worker && r.how != "" {
			r.noted = true
		}
	}
}

// of returns the runs of a job's tasks.
func (l *runLog) of(job string) []taskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []taskRun
	for _, r := range l.runs {
		if strings.HasPrefix(r.task, job+".") {
			out = append(out, *r)
		}
	}
	return out
}

// ends counts the runs of a job's tasks that have ended in one way.
func (l *runLog) ends(job, how string) (n int) {
	for _, r := range l.of(job) {
		if r.how == how {
			n++
		}
	}
	return n
}

func (r taskRun) String() string { return fmt.Sprintf("%s run %d at %s", r.task, r.number, r.worker) }

// lastPlace returns the place of the worker that was the last to start a run.
func (l *runLog) lastPlace() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var place, life int
	if len(l.runs) > 0 {
		_, _ = fmt.Sscanf(l.runs[len(l.runs)-1].worker, "i-%d-%d", &place, &life)
	}
	return place
}
