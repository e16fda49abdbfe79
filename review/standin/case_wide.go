package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["wide"] = playWide }

// playWide runs some urgent jobs, loses one of 23 idle workers for good, and hands in a job of
// 9 tasks that need nearly a whole worker each.
func playWide(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 3, 23, workerCPU)
	if err != nil {
		return cannotRun, err
	}
	defer c.close()
	if err := c.waitReady(20 * time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	cl := newClient(rec, "a")
	for i := range 5 {
		urgent := fmt.Sprintf("%016x", 0xa000000000000000+uint64(i))
		job := map[string]any{"spec": "ms=500 cpu=8100", "steps": []any{
			map[string]any{"count": 2, "cpu": 8100, "memMb": 512, "estimateMs": 500},
		}}
		if !cl.submit(c.nodes, previewRoute, urgent, job, 2*time.Second) {
			return cannotRun, fmt.Errorf("an urgent job was not accepted")
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.lose(c.workers[5])
	}
	time.Sleep(7 * time.Second)
	const (
		id      = "5c0e7a21d94b36f8"
		tasks   = 9
		wideCPU = 15000
	)
	job := map[string]any{"spec": fmt.Sprintf("ms=2000 cpu=%d", wideCPU), "steps": []any{
		map[string]any{"count": tasks, "cpu": wideCPU, "memMb": 1024, "estimateMs": 2000},
	}}
	if !cl.submit(c.nodes, batchRoute, id, job, 2*time.Second) {
		return cannotRun, fmt.Errorf("the job was not accepted")
	}
	accepted := time.Now()
	var idleSince time.Time
	idle, told := time.Duration(0), false
	for ; time.Since(accepted) < finish+watch && rec.finished(id) < tasks; time.Sleep(100 * time.Millisecond) {
		running, cpu := c.running()
		room := 0
		for _, w := range c.workers {
			used := 0
			w.eachRun(func(r *run) { used += r.plan.cpu })
			if w.alive() && w.cpu-used >= wideCPU {
				room++
			}
		}
		if time.Since(accepted) < finish || running[id] > 0 || room < 2*tasks || cpu >= workerCPU*len(c.workers)/2 {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		idle = max(idle, time.Since(idleSince))
		if idle > idleLimit && !told {
			told = true
			rec.log("nothing of the job runs; workers with room for one of its tasks: %d; CPU in use: %d", room, cpu)
		}
	}
	status, state := cl.call(c.nodes[0], http.MethodGet, batchRoute, id, nil)
	rec.log("shown at the end: %d %s; tasks done: %d of %d; from %v after it was handed in on, nothing of it ran for %v beside room for it twice over",
		status, state, rec.finished(id), tasks, finish, idle.Round(time.Millisecond))
	if idle >= idleLimit {
		return broken, nil
	}
	return held, nil
}

// lose crashes a worker for good. The platform removes its entry after three heartbeats.
func (c *cluster) lose(w *worker) {
	c.rec.log("worker %s is lost for good", w.id)
	w.crash()
	time.AfterFunc(3*heartbeat, func() { c.store.put("keyed.servers", w.id, nil) })
}
