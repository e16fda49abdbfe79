package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = playLate }

// lateBy is how long the late order takes (applied_late: 2 to 12 s).
const lateBy = 8 * time.Second

// playLate has one start get no answer and arrive 8 s later. Meanwhile its worker crashes and
// starts again under its id.
func playLate(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rec, 3, 8, workerCPU)
	if err != nil {
		return cannotRun, err
	}
	defer c.close()
	if err := c.waitReady(20 * time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	var first *worker
	var once sync.Once
	if trouble {
		for _, w := range c.workers {
			w.mu.Lock()
			w.intercept = func(r *http.Request, body []byte) bool {
				late := false
				if r.URL.Path == "/-/run-start" {
					once.Do(func() { late, first = true, w })
				}
				if !late {
					return false
				}
				rec.log("a start for worker %s is held up: %s", w.id, body)
				header := r.Header.Clone()
				time.AfterFunc(lateBy, func() {
					req, _ := http.NewRequest(http.MethodPost, "http://"+w.address+"/-/run-start", bytes.NewReader(body))
					req.Header = header
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						rec.log("the late start did not arrive: %v", err)
						return
					}
					answer, _ := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					rec.log("the late start arrives at worker %s: %d %s", w.id, resp.StatusCode, answer)
				})
				return true
			}
			w.mu.Unlock()
		}
	}
	const id = "5c0e7a21d94b36f8"
	cl := newClient(rec, "a")
	job := map[string]any{"spec": "ms=15000 cpu=1000", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 15000}}}
	if !cl.submit(c.nodes, batchRoute, id, job, 2*time.Second) {
		return cannotRun, fmt.Errorf("the job was not accepted")
	}
	if c.waitRunning(id, 1, 5*time.Second) == nil {
		return cannotRun, fmt.Errorf("the task does not run")
	}
	if trouble {
		if at := c.waitRunning(id, 1, time.Second); at == first {
			rec.log("the second run is at the same worker")
		}
		rec.log("worker %s crashes", first.id)
		first.crash()
		time.AfterFunc(4500*time.Millisecond, func() {
			rec.log("worker %s starts again", first.id)
			_ = first.start()
		})
	}
	both := 0
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r, _ := c.running(); r[id] > 1 {
			both++
		}
	}
	rec.log("the task ran twice at the same time in %d of the looks, 5 ms apart", both)
	if both > 0 {
		return broken, nil
	}
	return held, nil
}
