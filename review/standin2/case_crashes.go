//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// crashAfter is how long after the start of the task its worker crashes, and downFor how
	// long the worker is down.
	crashAfter = 2 * time.Second
	downFor    = 3500 * time.Millisecond
	crashes    = 2
	taskMs     = 6000
)

func init() { cases["crashes"] = crashesCase }

// crashesCase lets the workers of a job's only task crash twice. No run of it ends as failed.
func crashesCase(e *env) (int, error) {
	if err := e.cluster(3, 12); err != nil {
		return notRun, err
	}
	c := e.c
	time.Sleep(2 * time.Second)
	const id = "00000000000000a1"
	const task = id + ".0.0.0"
	if !c.nodes[0].submit("q/"+id, chain(1, 1, taskMs)) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	for n := 0; e.trouble && n < crashes; n++ {
		w, err := e.awaitRun(task)
		if err != nil {
			return notRun, err
		}
		time.Sleep(crashAfter)
		w.crash()
		time.AfterFunc(downFor, func() { _ = w.start() })
	}
	for deadline := time.Now().Add(45 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		status, state := c.nodes[1].state("q/" + id)
		e.log.event("client: GET %s: %d %s", id, status, state)
		switch state {
		case "completed":
			return held, nil
		case "failed":
			e.log.event("LOST: job %s is shown as failed; %d of its runs have ended as failed, maxAttempts is 4", id, e.log.failedRuns(task))
			return broken, nil
		}
	}
	return notRun, fmt.Errorf("the job does not end")
}
