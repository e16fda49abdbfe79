package main

import (
	"fmt"
	"time"
)

// playGone has one worker in eight lose its power for good at the end of the traffic. Every job
// must run within 14 s (finish_s): at no time after that may it have nothing running for 3 s.
func playGone(rec *record, trouble bool) error {
	const (
		places  = 8
		jobs    = 80
		pause   = 100 * time.Millisecond
		crashAt = 70 // jobs handed in before
		finish  = 14 * time.Second
		idle    = 3 * time.Second
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
	var accepted []string
	for n := range jobs {
		if n == crashAt && trouble {
			c.worker(c.runs.lastPlace()).losePower()
		}
		if c.submit(c.instances[n%len(c.instances)], jobID(n), 2, 1400, 600) {
			accepted = append(accepted, jobID(n))
		}
		time.Sleep(pause)
	}
	rec.add("check", "end of the traffic: %d of %d jobs accepted", len(accepted), jobs)
	time.Sleep(finish)
	idleSince := map[string]time.Time{}
	for end := time.Now().Add(idle + 500*time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, job := range accepted {
			runs, active := c.runs.of(job), false
			done := map[string]bool{}
			for _, r := range runs {
				active = active || r.how == ""
				if r.how == "done" {
					done[r.task] = true
				}
			}
			switch {
			case active || len(done) == 2:
				delete(idleSince, job)
			case idleSince[job].IsZero():
				idleSince[job] = time.Now()
			case time.Since(idleSince[job]) >= idle:
				rec.add("check", "job %s: %s, %d of 2 tasks done, nothing running for %s, %s after the end of the traffic; no other job runs", job, c.state(job), len(done), idle, finish)
				return fmt.Errorf("%w: job %s has nothing running for %s, %s after the end of the traffic", errBroken, job, idle, finish)
			}
		}
	}
	for _, job := range accepted {
		if s := c.state(job); s != "completed" && s != "running" {
			return fmt.Errorf("job %s is %q", job, s)
		}
	}
	return nil
}
