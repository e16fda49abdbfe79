package main

import (
	"fmt"
	"time"
)

// playLarge hands in a job of four wide tasks where a service uses 7.9 of the 16 cores of each of
// eight workers, after an urgent job that is done. At no time after finish_s may the job have
// nothing running for 3 s.
func playLarge(rec *record, trouble bool) error {
	const (
		places     = 8
		serviceCPU = 3950 // of each of two tasks on a worker
		urgentCPU  = 4200
		cpu        = 7600
		large      = 4 // tasks
		small      = 2
		workMs     = 5000
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
		if err := c.startWorker(place, ""); err != nil {
			return err
		}
	}
	if err := c.waitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	services := jobID(1)
	if !c.submitStep(c.instances[0], services, spec{Lasts: true}, map[string]any{"count": 2 * places, "cpu": serviceCPU, "memMb": 256, "longRunning": true, "antiAffinity": 2}) {
		return fmt.Errorf("service was not accepted")
	}
	if err := waitFor(5*time.Second, func() bool { return len(c.runs.of(services)) == 2*places }); err != nil {
		return fmt.Errorf("service does not run")
	}
	urgent := jobID(3)
	c.setUrgent(urgent)
	if !c.submit(c.instances[2], urgent, 1, urgentCPU, 500) {
		return fmt.Errorf("urgent job was not accepted")
	}
	if err := waitFor(10*time.Second, func() bool { return c.runs.ends(urgent, "done") == 1 }); err != nil {
		return fmt.Errorf("urgent job does not end")
	}
	time.Sleep(time.Second)
	job, tasks := jobID(2), small
	if trouble {
		tasks = large
	}
	if !c.submitStep(c.instances[1], job, spec{Ms: workMs}, map[string]any{"count": tasks, "cpu": cpu, "memMb": 256, "estimateMs": workMs}) {
		return fmt.Errorf("job was not accepted")
	}
	rec.add("check", "end of the traffic")
	time.Sleep(finish)
	for begin := time.Now(); time.Since(begin) < idle; time.Sleep(20 * time.Millisecond) {
		if done := c.runs.ends(job, "done"); done == tasks || c.workerOf(job) >= 0 {
			rec.add("check", "%d of %d tasks of job %s are done, one runs: %t", done, tasks, job, c.workerOf(job) >= 0)
			return nil
		}
	}
	rec.add("check", "job %s is %s; %d runs of its %d tasks; each of the %d workers has %d of 16000 free", job, c.state(job), len(c.runs.of(job)), tasks, places, 16000-2*serviceCPU)
	return fmt.Errorf("%w: job has nothing running for %s, %s after the end of the traffic", errBroken, idle, finish)
}
