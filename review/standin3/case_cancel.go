package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCancel has the store go silent while it is asked to store a job. The caller gets 504, and
// cancels the job once the store answers again. No task of the job may run when cancel_ms and
// stopMs have passed since its cancellation was answered with 2xx or 410.
func playCancel(rec *record, trouble bool) error {
	const (
		places      = 8
		workMs      = 36_000
		silence     = 2200 * time.Millisecond
		cancelTime  = 3 * time.Second
		stopLimit   = 400 * time.Millisecond
		contactTime = 3 * time.Second // contactMs, after which no disruption is near
	)
	c, err := newCluster(rec, 3)
	defer c.close()
	if err != nil {
		return err
	}
	c.configure(1, 4)
	for place := range places {
		if err := c.startWorker(place, ""); err != nil {
			return err
		}
	}
	if err := c.waitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	job := jobID(1)
	if trouble {
		c.store.goSilent(job, silence)
	}
	accepted := c.submit(c.instances[0], job, 1, 2000, workMs)
	if accepted == trouble {
		return fmt.Errorf("job accepted: %t", accepted)
	}
	status := 0
	for n := 0; status != http.StatusGone && status/100 != 2; n++ {
		if n == 20 {
			return fmt.Errorf("the cancellation is not answered")
		}
		status, _ = c.call(c.instances[n%len(c.instances)], http.MethodDelete, job, "")
	}
	answered := time.Now()
	time.Sleep(cancelTime + stopLimit + contactTime)
	for _, r := range c.runs.of(job) {
		if r.how == "" {
			rec.add("check", "%s, begun %s after the answer %d to the cancellation, still runs %s after that answer; job is %s",
				r, r.begin.Sub(answered).Round(time.Millisecond), status, time.Since(answered).Round(time.Millisecond), c.state(job))
			return fmt.Errorf("%w: a task runs on after its job's cancellation was answered with %d", errBroken, status)
		}
	}
	rec.add("check", "nothing of job %s runs", job)
	return nil
}
