package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["lasting"] = playLasting }

// playLasting runs a job whose tasks last beside more batch work than the workers can do, and
// crashes the worker with most of its tasks.
func playLasting(rec *recorder, trouble bool) (int, error) {
	rec.brief = true
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
		tasks = 40
	)
	cl := newClient(rec, "a")
	job := map[string]any{"spec": "ms=600000 cpu=1500", "steps": []any{
		map[string]any{"count": tasks, "cpu": 1500, "memMb": 256, "longRunning": true},
	}}
	if !cl.submit(c.nodes, batchRoute, id, job, 2*time.Second) {
		return cannotRun, fmt.Errorf("the job was not accepted")
	}
	if c.waitRunning(id, tasks, 5*time.Second) == nil {
		return cannotRun, fmt.Errorf("the tasks of the job do not run")
	}
	began := time.Now()
	const load = 50 * time.Second
	var mu sync.Mutex
	accepted, notAccepted := 0, 0
	go func() {
		for i := 0; time.Since(began) < load; i++ {
			batch := fmt.Sprintf("%016x", 0xb000000000000000+uint64(i))
			go func() {
				b := newClient(rec, "b")
				b.mute = true
				ok := b.submit(c.nodes[i%3:i%3+1], proofRoute, batch, map[string]any{
					"spec": "ms=2000 cpu=1500", "steps": []any{map[string]any{"count": 10, "cpu": 1500, "memMb": 256, "estimateMs": 2000}},
				}, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					accepted++
				} else {
					notAccepted++
				}
			}()
			time.Sleep(160 * time.Millisecond)
		}
	}()
	time.Sleep(6 * time.Second)
	calmSince, lastRan, lost := began, map[string]time.Time{}, map[string]time.Duration{}
	look := func() {
		now := time.Now()
		c.eachRun(func(r *run) {
			if r.task[:16] == id {
				lastRan[r.task] = now
			}
		})
	}
	look()
	if trouble {
		w := c.waitRunning(id, tasks, time.Second)
		if w == nil {
			return cannotRun, fmt.Errorf("the tasks of the job do not run any more")
		}
		rec.log("worker %s crashes", w.id)
		w.crash()
		calmSince = time.Now().Add(4500 * time.Millisecond)
		time.AfterFunc(4500*time.Millisecond, func() {
			rec.log("worker %s starts again", w.id)
			_ = w.start()
		})
	}
	for lastLine := time.Now(); time.Since(began) < load; time.Sleep(50 * time.Millisecond) {
		look()
		now := time.Now()
		if now.Sub(calmSince) > calmTime+idleLimit {
			for task, at := range lastRan {
				if d := now.Sub(at); d > startTime+idleLimit {
					lost[task] = max(lost[task], d)
				}
			}
		}
		if now.Sub(lastLine) >= time.Second {
			lastLine = now
			running, cpu := c.running()
			mu.Lock()
			rec.summary(fmt.Sprintf("tasks that last: %d of %d run; batch jobs: %d accepted, %d not accepted; CPU in use %d of %d", running[id], tasks, accepted, notAccepted, cpu, workerCPU*len(c.workers)))
			mu.Unlock()
		}
	}
	for task, d := range lost {
		rec.log("task %s, which lasts, had no run for %v", task, d.Round(time.Millisecond))
	}
	rec.log("tasks that last without a run for %v or more, the last 7 s of it calm: %d", startTime+idleLimit, len(lost))
	if len(lost) > 0 {
		return broken, nil
	}
	return held, nil
}
