package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["big"] = playBig }

const (
	bigTasks   = 9000
	bigCPU     = 5 // thousandths of a core
	smallCPU   = 500
	workerCPU  = 16000
	trafficEnd = 30 * time.Second
	finish     = 14 * time.Second // finish_s
	watch      = 9 * time.Second
	idleLimit  = 3 * time.Second // of the rule
	startTime  = 6 * time.Second // of the rule, for a task that lasts
	calmTime   = 4 * time.Second // of the rule
)

// playBig runs one job of many small tasks that last beside small jobs, and crashes one of
// eight workers while the tasks of the large job run.
func playBig(rec *recorder, trouble bool) (int, error) {
	rec.brief = true
	c, err := newCluster(rec, 3, 8, workerCPU)
	if err != nil {
		return cannotRun, err
	}
	defer c.close()
	if err := c.waitReady(20 * time.Second); err != nil {
		return cannotRun, err
	}
	const big = "5c0e7a21d94b36f8"
	cl := newClient(rec, "a")
	job := map[string]any{
		"spec":  fmt.Sprintf("ms=600000 cpu=%d", bigCPU),
		"steps": []any{map[string]any{"count": bigTasks, "cpu": bigCPU, "memMb": 4, "longRunning": true}},
	}
	if !cl.submit(c.nodes, batchRoute, big, job, 5*time.Second) {
		return cannotRun, fmt.Errorf("the large job was not accepted")
	}
	began := time.Now()
	var mu sync.Mutex
	var accepted []string
	notAccepted := 0
	go func() { // small jobs, one every half second
		for i := 0; time.Since(began) < trafficEnd; i++ {
			id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(i))
			go func() {
				ok := newClient(rec, "b").submit(c.nodes[i%3:i%3+1], previewRoute, id, map[string]any{
					"spec": fmt.Sprintf("ms=300 cpu=%d", smallCPU), "steps": []any{map[string]any{"count": 2, "cpu": smallCPU, "memMb": 64, "estimateMs": 300}},
				}, 2*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					accepted = append(accepted, id)
				} else {
					notAccepted++
				}
			}()
			time.Sleep(500 * time.Millisecond)
		}
	}()
	crashed, idleSince, longest := false, map[string]time.Time{}, map[string]time.Duration{}
	calmSince, lastRan, lostTasks := began, map[string]time.Time{}, map[string]bool{}
	for lastLine := time.Now(); time.Since(began) < trafficEnd+finish+watch; time.Sleep(100 * time.Millisecond) {
		running, cpu := c.running()
		c.eachRun(func(r *run) {
			if r.task[:16] == big {
				lastRan[r.task] = time.Now()
			}
		})
		if running[big] > bigTasks*95/100 && !crashed {
			crashed = true
			rec.summary(fmt.Sprintf("tasks of the large job that run: %d", running[big]))
			if trouble {
				w := c.workers[2]
				rec.log("worker %s crashes", w.id)
				w.crash()
				calmSince = time.Now().Add(4500 * time.Millisecond)
				time.AfterFunc(4500*time.Millisecond, func() {
					rec.log("worker %s starts again", w.id)
					_ = w.start()
				})
			}
		}
		if crashed && time.Since(calmSince) > calmTime+idleLimit {
			for task, at := range lastRan {
				if time.Since(at) > startTime+idleLimit {
					lostTasks[task] = true
				}
			}
		}
		mu.Lock()
		waiting := 0
		for _, id := range append([]string{big}, accepted...) {
			if id != big && rec.finished(id) == 2 || running[id] > 0 {
				delete(idleSince, id)
				continue
			}
			waiting++
			// The rule holds from finish_s after the end of the traffic, while under half of
			// the capacity is in use. There is room for the tasks of a job many times over.
			if time.Since(began) < trafficEnd+finish || cpu >= workerCPU*len(c.workers)/2 {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
			longest[id] = max(longest[id], time.Since(idleSince[id]))
		}
		if time.Since(lastLine) >= time.Second {
			lastLine = time.Now()
			rec.summary(fmt.Sprintf("large job: %d run; small jobs: %d accepted, %d not accepted; jobs with nothing running: %d; tasks that last without a run for 9 s: %d; CPU in use %d of %d; appends rejected as too large %d",
				running[big], len(accepted), notAccepted, waiting, len(lostTasks), cpu, workerCPU*len(c.workers), c.store.rejectedAsTooLarge()))
		}
		mu.Unlock()
	}
	if !crashed {
		return cannotRun, fmt.Errorf("the tasks of the large job never ran together")
	}
	idle, unknown := 0, 0
	for id, d := range longest {
		if d < idleLimit {
			continue
		}
		if idle++; idle <= 5 {
			rec.log("job %s: accepted, not done, nothing running for %v", id, d.Round(time.Millisecond))
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, id := range append([]string{big}, accepted...) {
		r := previewRoute
		if id == big {
			r = batchRoute
		}
		asker := newClient(rec, "c")
		asker.mute = true
		status, _ := asker.state(c.nodes[0], r, id)
		if status != http.StatusOK {
			unknown++
		}
	}
	rec.log("at the end: %d jobs accepted; %d of them with nothing running for %v or more from %v after the traffic on; %d not known or without an answer",
		len(accepted)+1, idle, idleLimit, finish, unknown)
	rec.log("tasks of the large job, which last: %d had no run for %v or more in calm time", len(lostTasks), startTime+idleLimit)
	if len(lostTasks) > 0 || idle > 0 || unknown > 0 {
		return broken, nil
	}
	return held, nil
}

// running returns the number of runs of each job, and the CPU in use at all workers.
func (c *cluster) running() (runs map[string]int, cpu int) {
	runs = map[string]int{}
	c.eachRun(func(r *run) {
		runs[r.task[:16]]++
		cpu += r.plan.cpu
	})
	return runs, cpu
}

// eachRun calls f for each run at a worker.
func (c *cluster) eachRun(f func(r *run)) {
	for _, w := range c.workers {
		w.eachRun(f)
	}
}

// finished returns the number of a job's tasks with a run that ended done.
func (r *recorder) finished(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ; r.counted < len(r.events); r.counted++ {
		e := r.events[r.counted]
		if e.what != "done" {
			continue
		}
		id := e.task[:16]
		if r.doneOf[id] == nil {
			r.doneOf[id] = map[string]bool{}
		}
		r.doneOf[id][e.task] = true
	}
	return len(r.doneOf[job])
}
