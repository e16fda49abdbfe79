package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	began time.Time
	brief bool // runs of tasks are counted, not listed

	mu     sync.Mutex
	out    *bufio.Writer
	events []event
	counts map[string]int

	doneOf  map[string]map[string]bool // tasks that are done, by job
	counted int                        // events that doneOf covers
}

// event is a start or an end of a run at a worker, or that its end was taken note of.
type event struct {
	at     time.Duration
	worker string
	task   string
	run    int
	what   string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), out: bufio.NewWriter(f), counts: map[string]int{}, doneOf: map[string]map[string]bool{}}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

func (r *recorder) write(line string) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), line)
	_ = r.out.Flush()
}

func (r *recorder) ran(worker, task string, run int, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{time.Since(r.began), worker, task, run, what})
	r.counts[what]++
	if !r.brief {
		r.write(fmt.Sprintf("worker %s: task %s run %d %s", worker, task, run, what))
	}
}

func (r *recorder) noted(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{time.Since(r.began), worker, task, run, "noted " + how})
}

// summary writes the numbers of starts and ends so far.
func (r *recorder) summary(more string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf("runs so far: %v; %s", r.counts, more))
}

// of returns the events of a job's tasks.
func (r *recorder) of(job string) (out []event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if strings.HasPrefix(e.task, job+".") {
			out = append(out, e)
		}
	}
	return out
}
