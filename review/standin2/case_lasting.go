//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	lastingTasks = 6
	lastingCPU   = 7600
	batchJobs    = 24
	batchTasks   = 12
	batchCPU     = 4500
	batchMs      = 24000
	// maxAway is how long a task that lasts may be without a run: 6 s, and 3 s more.
	maxAway   = 9 * time.Second
	crashWait = 4 * time.Second // until the workers are full
	watchFor  = 40 * time.Second
)

func init() { cases["lasting"] = lastingCase }

// lastingCase loses a worker with tasks that last, while batch tasks of a queue of lower priority
// fill the other workers.
func lastingCase(e *env) (int, error) {
	if err := e.cluster(3, 24); err != nil {
		return notRun, err
	}
	c := e.c
	time.Sleep(2 * time.Second)
	const id = "00000000000000a1"
	step := func(tasks int, cpu int64, more map[string]any) []any {
		s := map[string]any{"count": tasks, "cpu": cpu, "memMb": 256}
		for k, v := range more {
			s[k] = v
		}
		return []any{s}
	}
	if !c.nodes[0].submit("q/"+id, map[string]any{"spec": lasts, "steps": step(lastingTasks, lastingCPU, map[string]any{"longRunning": true})}) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	lasting := func(i int) string { return fmt.Sprintf("%s.0.0.%d", id, i) }
	for i := range lastingTasks {
		if _, err := e.awaitRun(lasting(i)); err != nil {
			return notRun, err
		}
	}
	for i := range batchJobs {
		job := map[string]any{"spec": fmt.Sprintf("ms=%d", batchMs), "steps": step(batchTasks, batchCPU, map[string]any{"estimateMs": batchMs})}
		if !c.nodes[i%len(c.nodes)].submit(fmt.Sprintf("r/%016x", 0xb00+i), job) {
			return notRun, fmt.Errorf("a batch job was not accepted")
		}
	}
	time.Sleep(crashWait)
	if e.trouble {
		w, err := e.awaitRun(lasting(0))
		if err != nil {
			return notRun, err
		}
		w.crash() // for good
	}
	lost := time.Now()
	worst := held
	lastRun := make([]time.Time, lastingTasks)
	for i := range lastRun {
		lastRun[i] = lost
	}
	reported := make([]bool, lastingTasks)
	for ; time.Since(lost) < watchFor; time.Sleep(50 * time.Millisecond) {
		for i := range lastingTasks {
			if len(e.log.at(lasting(i))) > 0 {
				if away := time.Since(lastRun[i]); away > maxAway {
					e.log.event("task %s runs again after %.1f s", lasting(i), away.Seconds())
				}
				lastRun[i], reported[i] = time.Now(), false
			} else if !reported[i] && time.Since(lastRun[i]) > maxAway {
				reported[i], worst = true, broken
				e.log.event("LOST: task %s, which lasts, has had no run for %v", lasting(i), maxAway)
			}
		}
	}
	return worst, nil
}
