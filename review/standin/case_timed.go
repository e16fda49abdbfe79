package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["timed"] = playTimed }

const (
	timedRepeats = 1440 // every minute for a day
	timedEvery   = time.Minute
	timedTraffic = 20 * time.Second
)

// playTimed hands in a job that runs every minute for a day, beside small jobs.
func playTimed(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 3, 8, workerCPU)
	if err != nil {
		return cannotRun, err
	}
	defer c.close()
	if err := c.waitReady(20 * time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var mu sync.Mutex
	var accepted []string
	notAccepted := 0
	small := func(i int) {
		id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(i))
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
	}
	var sent sync.WaitGroup
	for i := 0; time.Since(began) < timedTraffic; i++ {
		if i == 10 && trouble {
			job := map[string]any{
				"spec": "ms=300 cpu=500", "steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 300}},
				"repeats": timedRepeats, "firstRunMs": time.Now().Add(timedEvery).UnixMilli(), "intervalMs": timedEvery.Milliseconds(),
			}
			if !newClient(rec, "a").submit(c.nodes, batchRoute, "5c0e7a21d94b36f8", job, 2*time.Second) {
				return cannotRun, fmt.Errorf("the job with times was not accepted")
			}
		}
		sent.Go(func() { small(i) })
		time.Sleep(500 * time.Millisecond)
	}
	sent.Wait()
	time.Sleep(time.Until(began.Add(timedTraffic + finish)))
	unanswered, idle := 0, 0
	for _, id := range accepted {
		if rec.finished(id) < 2 {
			idle++
		}
		answered := false
		for _, n := range c.nodes {
			status, _ := newClient(rec, "c").state(n, previewRoute, id)
			if answered = status == http.StatusOK; answered {
				break
			}
		}
		if !answered {
			if unanswered++; unanswered == 3 {
				break // each takes 9 s
			}
		}
	}
	ready := 0
	for _, n := range c.nodes {
		if n.ready() {
			ready++
		}
	}
	rec.log("small jobs: %d accepted, %d not accepted; from %v after the end of the traffic on: %d of the accepted have tasks that are not done, %d got no answer at any instance (3 s each; given up after 3); instances that are ready: %d of %d",
		len(accepted), notAccepted, finish, idle, unanswered, ready, len(c.nodes))
	if unanswered > 0 {
		return broken, nil
	}
	return held, nil
}
