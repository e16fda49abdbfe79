package main

import (
	"fmt"
	"time"
)

// playCrashes has one worker in eight crash twice, each time the one that runs a job's only
// task. The job must be completed: none of its runs has ended failed.
func playCrashes(rec *record, trouble bool) error {
	const (
		places   = 8
		attempts = 4
		workMs   = 12_000
	)
	c, err := newCluster(rec, 3)
	defer c.close()
	if err != nil {
		return err
	}
	c.configure(1, attempts)
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
	if !c.submit(c.instances[0], job, 1, 2000, workMs) {
		return fmt.Errorf("job was not accepted")
	}
	for crash := range 2 {
		place := -1
		if err := waitFor(25*time.Second, func() bool { place = c.workerOf(job); return place >= 0 }); err != nil {
			if s := c.state(job); s == "failed" {
				break
			}
			return fmt.Errorf("job does not run before crash %d", crash+1)
		}
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		w := c.worker(place)
		w.crash()
		time.Sleep(1500 * time.Millisecond)
		if err := c.startWorker(place, w.address); err != nil {
			return err
		}
	}
	state := ""
	if err := waitFor(40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = c.state(job)
		return state == "completed" || state == "failed"
	}); err != nil {
		return fmt.Errorf("job has no final state: %q", state)
	}
	rec.add("check", "job %s is %s; %d runs, %d of them ended failed, %d lost with their worker", job, state, len(c.runs.of(job)), c.runs.ends(job, "failed"), c.runs.ends(job, "lost"))
	if state == "failed" && c.runs.ends(job, "failed") == 0 {
		return fmt.Errorf("%w: job is shown as failed, and no run of it has ended failed", errBroken)
	}
	return nil
}
