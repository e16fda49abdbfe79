package main

import (
	"fmt"
	"time"
)

// playLasting has two jobs of tasks that last among 32, of which every run fails soon after its
// start, on workers of one kind. A task of another job there fails once. It must be started
// again: at no time after finish_s may it have nothing running for 3 s, from 6 s after its last
// run.
func playLasting(rec *record, trouble bool) error {
	const (
		places    = 16
		ofKind    = 4
		jobs      = 32
		hopeless  = 2 // of them, 0.0625
		onKind    = 8 // of them, with the hopeless ones
		failAfter = 6 * time.Second
		finish    = 14 * time.Second
		idle      = 3 * time.Second
		excused   = 6 * time.Second
		more      = 40 * time.Second // in which the end of the wait is recorded
	)
	c, err := newCluster(rec, 3)
	defer c.close()
	if err != nil {
		return err
	}
	c.configure(1, 4)
	for place := range places {
		kind := "a"
		if place < ofKind {
			kind = "b"
		}
		if err := c.startWorkerOfKind(place, "", kind); err != nil {
			return err
		}
	}
	if err := c.waitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for n := range jobs {
		s := spec{Lasts: true}
		step := map[string]any{"count": 1, "cpu": 500, "memMb": 256, "longRunning": true}
		if n < onKind {
			step["requires"] = "b"
		}
		if n < hopeless {
			step["count"] = 4
			if trouble {
				s.FailMs = 400
			}
		}
		if !c.submitStep(c.instances[n%len(c.instances)], jobID(n), s, step) {
			return fmt.Errorf("job %d was not accepted", n)
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.add("check", "end of the traffic")
	end := time.Now()
	time.Sleep(failAfter)
	job := jobID(onKind - 1)
	place := c.workerOf(job)
	if place < 0 {
		return fmt.Errorf("job %s does not run", job)
	}
	rec.add("check", "the task of job %s fails once", job)
	c.worker(place).failRuns(job)
	failed := time.Now()
	time.Sleep(max(time.Until(end.Add(finish)), time.Until(failed.Add(excused))))
	for begin := time.Now(); time.Since(begin) < idle; time.Sleep(20 * time.Millisecond) {
		if c.workerOf(job) >= 0 {
			rec.add("check", "job %s runs", job)
			return nil
		}
	}
	away := time.Since(failed).Round(time.Millisecond)
	rec.add("check", "job %s is %s and has had nothing running for %s", job, c.state(job), away)
	if waitFor(more, func() bool { return c.workerOf(job) >= 0 }) == nil {
		rec.add("check", "job %s runs again %s after its last run", job, time.Since(failed).Round(time.Millisecond))
	}
	return fmt.Errorf("%w: a task that lasts has nothing running %s after its last run", errBroken, away)
}
