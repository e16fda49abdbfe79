//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lateMs      = 20000
	shortMs     = 700
	crashAt     = 2 * time.Second         // after the start was sent
	lateDown    = 3800 * time.Millisecond // until the worker is back
	lateArrival = 30 * time.Millisecond   // after that
)

func init() { cases["late"] = lateCase }

// lateCase delays a start in the network. Its worker crashes and is back when the start arrives.
func lateCase(e *env) (int, error) {
	if err := e.cluster(3, 12); err != nil {
		return notRun, err
	}
	c := e.c
	time.Sleep(2 * time.Second)
	const id = "00000000000000a1"
	const task = id + ".0.0.0"
	type order struct {
		w    *worker
		body []byte
	}
	delayed := make(chan order, 1)
	var once sync.Once
	hold := func(w *worker, path string, body []byte) (taken bool) {
		var q struct {
			Task string `json:"task"`
		}
		if path != "/-/run-start" || json.Unmarshal(body, &q) != nil || q.Task != task {
			return false
		}
		once.Do(func() {
			taken = true
			delayed <- order{w, body}
		})
		return taken
	}
	if e.trouble {
		for _, w := range c.workers {
			w.hold = hold
		}
	}
	// A task that soon ends leaves the worker of the task with more room than another one.
	one := func(cpu, ms int) map[string]any {
		return map[string]any{"spec": fmt.Sprintf("ms=%d", ms), "steps": []any{map[string]any{"count": 1, "cpu": cpu, "memMb": 256, "estimateMs": ms}}}
	}
	if !c.nodes[0].submit("q/00000000000000b1", one(12000, shortMs)) || !c.nodes[0].submit("q/00000000000000b2", one(8000, lateMs)) {
		return notRun, fmt.Errorf("a job was not accepted")
	}
	time.Sleep((shortMs - 100) * time.Millisecond)
	if !c.nodes[0].submit("q/"+id, one(1000, lateMs)) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	if e.trouble {
		o := <-delayed
		e.log.event("the start of %s at %s is delayed", task, o.w.id)
		time.Sleep(crashAt)
		o.w.crash()
		time.Sleep(lateDown)
		if err := o.w.start(); err != nil {
			return notRun, err
		}
		time.Sleep(lateArrival)
		req, err := http.NewRequest(http.MethodPost, "http://"+o.w.address+"/-/run-start", bytes.NewReader(o.body))
		if err != nil {
			return notRun, err
		}
		req.Header.Set("X-Target-Instance", o.w.id)
		resp, err := httpClient.Do(req)
		if err != nil {
			return notRun, err
		}
		_ = resp.Body.Close()
		e.log.event("the delayed start arrives at %s: %d", o.w.id, resp.StatusCode)
	}
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if e.log.isDone(task) {
			break
		}
	}
	time.Sleep(2 * time.Second)
	if twice := e.log.twice(); len(twice) > 0 {
		e.log.event("TWICE: %s", strings.Join(twice, "; "))
		return broken, nil
	}
	if !e.log.isDone(task) {
		return notRun, fmt.Errorf("the task does not end")
	}
	return held, nil
}
