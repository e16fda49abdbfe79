package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings of the small sites.
const (
	holdMaxMs    = 6000
	stopTime     = 50 * time.Millisecond // stopMs allows 400
	heartbeat    = 1500 * time.Millisecond
	endsInAnswer = 500
	saveMs       = 1000 // saveS
	restoreMs    = 600
)

// worker is a stand-in for one worker. A crash ends its life; it starts again under the same
// id and address, and knows nothing of before.
type worker struct {
	id, address, service string
	cpu, memMb           int
	store                *store
	rec                  *recorder

	mu   sync.Mutex
	life *life
	srv  *http.Server
	// intercept, if set, sees each call first; one for which it returns true gets no answer.
	intercept func(r *http.Request, body []byte) bool
}

// life is one incarnation of a worker.
type life struct {
	began    time.Time
	born     int64
	seq      int64
	fence    int64
	leaseEnd int64 // by its own clock, in milliseconds
	running  map[string]*run
	barred   map[string]int // highest run stopped or ended, by task
	ended    []end
	lastEnd  int64
	changed  chan struct{} // closed and replaced when a run ends
	lapsed   bool
}

type run struct {
	task    string
	number  int
	plan    plan
	began   time.Time
	stopAt  time.Time
	resumed int    // milliseconds of work that its checkpoint saved
	saved   string // its newest checkpoint
}

type end struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
}

// plan is what the text of a job says about its tasks: "ms=800"; with "fail=1" the
// first run ends failed by its own fault, with "saves=1" they checkpoint their progress, and
// with "spread=400" each takes up to 400 ms longer.
type plan struct {
	ms       int
	failures int
	cpu      int
	saves    bool
	spread   int // tasks take up to so many milliseconds longer, each its own time
}

func parsePlan(spec string) plan {
	p := plan{ms: 500}
	for _, f := range strings.Fields(spec) {
		k, v, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(v)
		switch k {
		case "ms":
			p.ms = n
		case "fail":
			p.failures = n
		case "cpu":
			p.cpu = n
		case "spread":
			p.spread = n
		case "saves":
			p.saves = n > 0
		}
	}
	return p
}

func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	l := &life{began: time.Now(), born: time.Now().UnixMilli(), running: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{})}
	srv := &http.Server{Handler: w.handler(l)}
	w.mu.Lock()
	w.life, w.srv = l, srv
	w.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go w.work(l)
	go w.beat(l)
	return nil
}

// crash ends everything without a word.
func (w *worker) crash() {
	w.mu.Lock()
	srv, l := w.srv, w.life
	w.life, w.srv = nil, nil
	for _, r := range l.running {
		w.rec.ran(w.id, r.task, r.number, "crashed")
	}
	w.mu.Unlock()
	_ = srv.Close()
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// beat writes the worker's entry in the directory.
func (w *worker) beat(l *life) {
	for {
		w.mu.Lock()
		alive := w.life == l
		l.seq++
		seq := l.seq
		w.mu.Unlock()
		if !alive {
			return
		}
		w.store.put("keyed.servers", w.id, map[string]any{
			"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMb, "gpus": 0}, "labels": []string{"a", "r1-1"},
			"clockMs": l.clock(), "born": l.born, "seq": seq,
		})
		time.Sleep(heartbeat)
	}
}

// work ends runs: when their work is done, when they are stopped, and when the lease is over.
func (w *worker) work(l *life) {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.life != l {
			w.mu.Unlock()
			return
		}
		now, lapsed, changed := time.Now(), l.clock() >= l.leaseEnd, false
		if lapsed && !l.lapsed && l.leaseEnd > 0 {
			w.rec.ran(w.id, "", 0, "lease over")
		}
		l.lapsed = lapsed
		for _, r := range l.running {
			how := ""
			work := r.worked(now)
			if r.plan.saves && work > 0 {
				r.saved = fmt.Sprintf("%08x%s", work/saveMs*saveMs, r.task[4:12])
			}
			switch {
			case lapsed:
				how = "lapsed"
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				how = "stopped"
			case r.stopAt.IsZero() && work >= r.plan.ms:
				how = "done"
				if r.number <= r.plan.failures {
					how = "failed"
				}
			}
			if how == "" {
				continue
			}
			delete(l.running, r.task)
			l.barred[r.task] = max(l.barred[r.task], r.number)
			l.lastEnd++
			l.ended = append(l.ended, end{l.lastEnd, r.task, r.number, how, r.saved})
			w.rec.ran(w.id, r.task, r.number, how)
			changed = true
		}
		if changed {
			close(l.changed)
			l.changed = make(chan struct{})
		}
		w.mu.Unlock()
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (w *worker) handler(l *life) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		intercept := w.intercept
		w.mu.Unlock()
		if intercept != nil && intercept(r, body) {
			<-r.Context().Done()
			return
		}
		var o order
		if err := json.Unmarshal(body, &o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != l {
			return
		}
		refuse := func(reason string) {
			writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": l.clock(), "born": l.born, "reason": reason})
		}
		if o.FenceToken < l.fence {
			refuse("fence")
			return
		}
		l.fence = o.FenceToken
		switch r.URL.Path {
		case "/-/run-start":
			l.extend(o.DeadlineMs)
			have := l.running[o.Task]
			switch {
			case have != nil && have.number == o.Run:
			case o.Run <= l.barred[o.Task] || have != nil && o.Run < have.number:
				refuse("old")
				return
			case o.DeadlineMs <= l.clock():
				refuse("late")
				return
			default:
				l.running[o.Task] = newRun(&o)
				w.rec.ran(w.id, o.Task, o.Run, "start")
			}
		case "/-/run-stop":
			l.barred[o.Task] = max(l.barred[o.Task], o.Run)
			if have := l.running[o.Task]; have != nil && have.number <= o.Run && have.stopAt.IsZero() {
				have.stopAt = time.Now().Add(stopTime)
			}
		case "/-/hold":
			l.extend(o.DeadlineMs)
			l.ended = slices.DeleteFunc(l.ended, func(e end) bool {
				if e.n <= o.LastSeen {
					w.rec.noted(w.id, e.task, e.run, e.how)
				}
				return e.n <= o.LastSeen
			})
			wait := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
			for expired := o.WaitMs == 0; len(l.ended) == 0 && !expired && w.life == l; {
				changed := l.changed
				w.mu.Unlock()
				select {
				case <-changed:
				case <-wait:
					expired = true
				}
				w.mu.Lock()
			}
			if w.life != l {
				return
			}
			running, ended := [][]any{}, [][]any{}
			for _, x := range l.running {
				percent := 100 * x.worked(time.Now()) / max(1, x.plan.ms)
				running = append(running, []any{x.task, x.number, x.saved, min(99, percent), x.plan.cpu})
			}
			for _, e := range l.ended[:min(len(l.ended), endsInAnswer)] {
				ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
			}
			writeJSON(rw, http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born, "running": running, "ended": ended})
			return
		default:
			rw.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(rw, http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born})
	})
}

func newRun(o *order) *run {
	r := &run{task: o.Task, number: o.Run, plan: parsePlan(o.Spec), began: time.Now(), saved: o.Checkpoint}
	if r.plan.spread > 0 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(o.Task))
		r.plan.ms += int(h.Sum32() % uint32(r.plan.spread))
	}
	if len(o.Checkpoint) == 16 {
		if ms, err := strconv.ParseInt(o.Checkpoint[:8], 16, 64); err == nil {
			r.resumed = int(ms)
			r.began = r.began.Add(restoreMs * time.Millisecond)
		}
	}
	return r
}

// worked returns the milliseconds of work that are done.
func (r *run) worked(now time.Time) int {
	return r.resumed + max(0, int(now.Sub(r.began).Milliseconds()))
}

// extend extends the lease of all that runs. A longer lease than holdMaxMs is shortened.
func (l *life) extend(deadline int64) {
	l.leaseEnd = max(l.leaseEnd, min(deadline, l.clock()+holdMaxMs))
}

// eachRun calls f for each run.
func (w *worker) eachRun(f func(r *run)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return
	}
	for _, r := range w.life.running {
		f(r)
	}
}

func (w *worker) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life != nil
}
