package main

import (
	"fmt"
	"time"
)

func init() { cases["route"] = playRoute }

// playRoute removes a route while a job of its queue runs, restarts the instances in turn as
// the platform does, and adds the route again. One task of the job ends failed once, which
// its queue allows three times more.
func playRoute(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 3, 8, workerCPU)
	if err != nil {
		return cannotRun, err
	}
	defer c.close()
	if err := c.waitReady(20 * time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	cl := newClient(rec, "a")
	const id = "5c0e7a21d94b36f8"
	job := map[string]any{"spec": "ms=27000 fail=1 cpu=1000", "steps": []any{
		map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 27000},
	}}
	if !cl.submit(c.nodes, batchRoute, id, job, 2*time.Second) {
		return cannotRun, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Second)
	c.configure(proofRoute, previewRoute)
	time.Sleep(2 * time.Second)
	if trouble {
		for _, n := range c.nodes {
			n.terminate()
			time.Sleep(time.Second)
			if err := n.start(false); err != nil {
				return cannotRun, err
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}
	failed := func() (n int) {
		for _, e := range rec.of(id) {
			if e.what == "failed" {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(40 * time.Second); failed() == 0 && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c.configure(batchRoute, proofRoute, previewRoute)
	time.Sleep(3 * time.Second)
	shown := map[string]bool{}
	for _, n := range c.nodes {
		status, state := cl.state(n, batchRoute, id)
		shown[fmt.Sprintf("%d %s", status, state)] = true
	}
	rec.log("runs of the task that ended failed: %d, maxAttempts of its queue: %d; shown: %v", failed(), batchRoute.attempts, shown)
	if failed() == 0 {
		return cannotRun, fmt.Errorf("no run has failed")
	}
	if failed() < batchRoute.attempts && (shown["200 failed"] || shown["410 "]) {
		return broken, nil
	}
	return held, nil
}
