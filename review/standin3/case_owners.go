package main

import (
	"fmt"
	"time"
)

// playOwners has the worker of a job's only task lose its power for good, and kills the owner
// twice, 5.5 s apart. The task must run again: at no time after finish_s may the job have
// nothing running for 3 s.
func playOwners(rec *record, trouble bool) error {
	const (
		places   = 8
		workMs   = 36_000
		apart    = 5500 * time.Millisecond
		finish   = 14 * time.Second
		idle     = 3 * time.Second
		patience = 3 * time.Second // for the first start
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
	if !c.submit(c.instances[0], job, 1, 2000, workMs) {
		return fmt.Errorf("job was not accepted")
	}
	if err := waitFor(patience, func() bool { return c.workerOf(job) >= 0 }); err != nil {
		return fmt.Errorf("job does not start")
	}
	rec.add("check", "end of the traffic")
	end := time.Now()
	if trouble {
		time.Sleep(500 * time.Millisecond)
		c.worker(c.workerOf(job)).losePower()
		for range 2 {
			time.Sleep(apart - time.Second)
			if err := c.killOwner(); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(end.Add(finish)))
	for checked := time.Now(); time.Since(checked) < idle; time.Sleep(20 * time.Millisecond) {
		if c.workerOf(job) >= 0 {
			rec.add("check", "job %s runs", job)
			return nil
		}
	}
	rec.add("check", "job %s is %s and has had nothing running for %s, %s after the end of the traffic; %d workers of %d are idle", job, c.state(job), idle, finish, places-1, places)
	return fmt.Errorf("%w: job %s has nothing running for %s, %s after the end of the traffic", errBroken, job, idle, finish)
}
