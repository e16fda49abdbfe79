package main

import (
	"fmt"
	"time"
)

// playBelow has a worker with a task that lasts, of a queue of priority 1, lost for good in a service
// full of tasks of 24 s and more of a queue of priority 2. The task may have nothing running for 9 s.
func playBelow(rec *record, trouble bool) error {
	const (
		places   = 8
		services = 4 // tasks that last
		jobs     = 60
		workMs   = 24_000
		excused  = 6 * time.Second
		idle     = 3 * time.Second
		more     = 40 * time.Second // in which the end of the wait is recorded
	)
	c, err := newCluster(rec, 3)
	defer c.close()
	if err != nil {
		return err
	}
	c.configureQueue(1, 4, 1)
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
	if !c.submitStep(c.instances[0], job, spec{Lasts: true}, map[string]any{"count": services, "cpu": 7600, "memMb": 256, "longRunning": true, "antiAffinity": 1}) {
		return fmt.Errorf("service was not accepted")
	}
	if err := waitFor(5*time.Second, func() bool { return len(c.runs.of(job)) == services }); err != nil {
		return fmt.Errorf("service does not run")
	}
	for n := range jobs {
		batch := jobID(100 + n)
		c.setBatch(batch)
		c.submitStep(c.instances[n%len(c.instances)], batch, spec{Ms: workMs + n*100}, map[string]any{"count": 1, "cpu": 4000, "memMb": 256, "estimateMs": workMs})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	place := c.workerOf(job)
	lost := time.Now()
	if trouble {
		c.worker(place).losePower()
	}
	time.Sleep(excused)
	for begin := time.Now(); time.Since(begin) < idle; time.Sleep(20 * time.Millisecond) {
		active := 0
		for _, r := range c.runs.of(job) {
			if r.how == "" {
				active++
			}
		}
		if active == services {
			rec.add("check", "all tasks that last run")
			return nil
		}
	}
	_ = waitFor(more, func() bool { return len(c.runs.of(job)) > services })
	away := time.Since(lost).Round(time.Millisecond)
	rec.add("check", "the lost task has had nothing running for %s", away)
	return fmt.Errorf("%w: a task that lasts has had nothing running for %s", errBroken, away)
}
