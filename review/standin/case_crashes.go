package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["crashes"] = playCrashes }

// playCrashes runs one job whose tasks last, and crashes the worker that runs them, and after
// some seconds the worker that runs them then.
func playCrashes(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 3, 8, workerCPU)
	if err != nil {
		return cannotRun, err
	}
	defer c.close()
	if err := c.waitReady(20 * time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	const (
		id    = "5c0e7a21d94b36f8"
		tasks = 3
	)
	cl := newClient(rec, "a")
	job := map[string]any{"spec": "ms=600000 cpu=2000", "steps": []any{
		map[string]any{"count": tasks, "cpu": 2000, "memMb": 256, "longRunning": true},
	}}
	if !cl.submit(c.nodes, batchRoute, id, job, 2*time.Second) {
		return cannotRun, fmt.Errorf("the job was not accepted")
	}
	for range 2 {
		w := c.waitRunning(id, tasks, 15*time.Second)
		if w == nil {
			return cannotRun, fmt.Errorf("the tasks of the job did not run")
		}
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		rec.log("worker %s crashes", w.id)
		w.crash()
		time.AfterFunc(4500*time.Millisecond, func() {
			rec.log("worker %s starts again", w.id)
			_ = w.start()
		})
	}
	time.Sleep(20 * time.Second)
	status, state := cl.state(c.nodes[0], batchRoute, id)
	running, _ := c.running()
	failed := 0
	for _, e := range rec.of(id) {
		if e.what == "failed" {
			failed++
		}
	}
	rec.log("shown at the end: %d %s; tasks that run: %d of %d; runs that ended failed: %d", status, state, running[id], tasks, failed)
	if failed == 0 && (state == "failed" || state == "cancelled" || status == http.StatusGone) {
		return broken, nil
	}
	return held, nil
}

// waitRunning waits until so many tasks of a job run, and returns the worker with most of
// them.
func (c *cluster) waitRunning(job string, tasks int, limit time.Duration) *worker {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		at := map[*worker]int{}
		all := 0
		var most *worker
		for _, w := range c.workers {
			w.eachRun(func(r *run) {
				if r.task[:16] == job {
					at[w]++
					all++
				}
			})
			if most == nil || at[w] > at[most] {
				most = w
			}
		}
		if all == tasks {
			return most
		}
	}
	return nil
}
