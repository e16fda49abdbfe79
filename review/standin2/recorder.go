//go:build review2

package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// recorder writes record.txt and knows what runs where.
type recorder struct {
	mu      sync.Mutex
	f       *os.File
	start   time.Time
	running map[string]map[string]int // by task, the run at each worker
	done    map[string]time.Time
	failed  map[string]int // ends "failed" by task
	doubles []string       // tasks that ran twice at the same time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &recorder{f: f, start: time.Now()}
	r.reset()
	return r, nil
}

// reset forgets what runs where, for a new deployment.
func (r *recorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running, r.done, r.failed, r.doubles = map[string]map[string]int{}, map[string]time.Time{}, map[string]int{}, nil
	r.line("a new deployment")
}

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes one line. The caller holds mu.
func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.f, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) begun(worker, task string, run int, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("worker %s starts %s run %d (token %d)", worker, task, run, fence)
	at := r.running[task]
	if at == nil {
		at = map[string]int{}
		r.running[task] = at
	}
	if len(at) > 0 || !r.done[task].IsZero() {
		r.doubles = append(r.doubles, fmt.Sprintf("%s run %d at %s beside %v", task, run, worker, at))
		r.line("TWICE %s run %d at %s, others %v, done %v", task, run, worker, at, !r.done[task].IsZero())
	}
	at[worker] = run
}

func (r *recorder) over(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("worker %s: %s run %d ends %s", worker, task, run, how)
	delete(r.running[task], worker)
	switch how {
	case "done":
		r.done[task] = time.Now()
	case "failed":
		r.failed[task]++
	}
}

// at returns the workers at which a task runs.
func (r *recorder) at(task string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for w := range r.running[task] {
		out = append(out, w)
	}
	return out
}

func (r *recorder) isDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.done[task].IsZero()
}

// failedRuns returns how many runs of a task have ended as failed.
func (r *recorder) failedRuns(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed[task]
}

// twice returns the tasks that ran twice at the same time, or again after they were done.
func (r *recorder) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.doubles)
}
