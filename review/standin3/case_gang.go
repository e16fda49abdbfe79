package main

import (
	"fmt"
	"time"
)

// playGang hands in 16 jobs for workers of one kind, of which the first is a gang that finds no room
// beside a service. At no time after finish_s may one of the others, small jobs with room on each
// worker of the kind, have nothing running for 3 s.
func playGang(rec *record, trouble bool) error {
	const (
		places     = 16
		ofKind     = 6
		serviceCPU = 4300 // of each of two tasks on a worker
		gangCPU    = 7600
		gangTasks  = 12
		cpu        = 1000
		gangMs     = 36_000
		workMs     = 36_000
		jobs       = 15
		finish     = 14 * time.Second
		idle       = 3 * time.Second
	)
	c, err := newCluster(rec, 3)
	defer c.close()
	if err != nil {
		return err
	}
	c.configureQueue(1, 4, 1)
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
	services := jobID(1)
	if !c.submitStep(c.instances[0], services, spec{Lasts: true}, map[string]any{"count": 2 * ofKind, "cpu": serviceCPU, "memMb": 256, "longRunning": true, "antiAffinity": 2, "requires": "b"}) {
		return fmt.Errorf("service was not accepted")
	}
	if err := waitFor(5*time.Second, func() bool { return len(c.runs.of(services)) == 2*ofKind }); err != nil {
		return fmt.Errorf("service does not run")
	}
	if trouble && !c.submitStep(c.instances[2], jobID(2), spec{Ms: gangMs}, map[string]any{"count": gangTasks, "cpu": gangCPU, "memMb": 256, "estimateMs": gangMs, "gang": true, "requires": "b"}) {
		return fmt.Errorf("gang was not accepted")
	}
	time.Sleep(2 * time.Second)
	var small []string
	for n := range jobs {
		job := jobID(10 + n)
		if !c.submitStep(c.instances[n%len(c.instances)], job, spec{Ms: workMs}, map[string]any{"count": 1, "cpu": cpu, "memMb": 256, "estimateMs": workMs, "requires": "b"}) {
			return fmt.Errorf("job was not accepted")
		}
		small = append(small, job)
		time.Sleep(100 * time.Millisecond)
	}
	rec.add("check", "end of the traffic")
	time.Sleep(finish)
	waiting := map[string]bool{}
	for _, job := range small {
		waiting[job] = true
	}
	for begin := time.Now(); time.Since(begin) < idle; time.Sleep(20 * time.Millisecond) {
		for _, job := range small {
			if waiting[job] && len(c.runs.of(job)) > 0 {
				delete(waiting, job)
			}
		}
	}
	rec.add("check", "%d of %d small jobs have nothing running for %s, %s after the end of the traffic; %d of 16000 are in use on each of the %d workers of the kind", len(waiting), jobs, idle, finish, 2*serviceCPU, ofKind)
	if len(waiting) == 0 {
		return nil
	}
	rec.add("check", "the first is %s", c.state(small[0]))
	return fmt.Errorf("%w: %d of %d small jobs have nothing running for %s, %s after the end of the traffic", errBroken, len(waiting), jobs, idle, finish)
}
