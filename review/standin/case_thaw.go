package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["thaw"] = playThaw }

const (
	cancelMs   = 3 * time.Second // cancel_ms
	freezeTime = 3500 * time.Millisecond
)

// playThaw freezes the instance that gives the orders. While it stands still, a client hands
// in a job at another instance; then it cancels the job over a connection to the frozen one
// that was open all the while.
func playThaw(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 8, 8, workerCPU)
	if err != nil {
		return cannotRun, err
	}
	defer c.close()
	if err := c.waitReady(20 * time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	frozen := c.owner()
	var others []*node
	for _, n := range c.nodes {
		if n != frozen {
			others = append(others, n)
		}
	}
	canceller, submitter := newClient(rec, "a"), newClient(rec, "b")
	canceller.call(frozen, http.MethodGet, batchRoute, "", nil) // opens the connection
	began := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	job := map[string]any{"spec": "ms=5000 cpu=1000", "steps": []any{
		map[string]any{"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 5000},
		map[string]any{"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 5000, "after": []int{0}},
	}}
	if !submitter.submit(others, batchRoute, id, job, time.Second) {
		return cannotRun, fmt.Errorf("the job was not accepted while an instance was frozen")
	}
	time.Sleep(500 * time.Millisecond)
	type answer struct {
		status int
		at     time.Duration
	}
	answered := make(chan answer, 1)
	go func() {
		status, _ := canceller.call(frozen, http.MethodDelete, batchRoute, id, nil)
		answered <- answer{status, time.Since(rec.began)}
	}()
	if trouble {
		time.Sleep(time.Until(began.Add(freezeTime)))
		frozen.signal(syscall.SIGCONT)
	}
	a := <-answered
	time.Sleep(14 * time.Second)
	submitter.state(others[0], batchRoute, id)
	if a.status/100 != 2 && a.status != http.StatusGone {
		rec.log("the cancelling was not acknowledged")
		return held, nil
	}
	late, runsOn := 0, 0
	for _, e := range rec.of(id) {
		if e.what == "start" && e.at > a.at+cancelMs {
			late++
		}
		if e.what == "done" && e.at > a.at+cancelMs {
			runsOn++
		}
	}
	rec.log("cancelling acknowledged with %d; starts more than %v after it: %d; runs that ended done more than %v after it: %d", a.status, cancelMs, late, cancelMs, runsOn)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
