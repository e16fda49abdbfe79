//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// powerOffFor is how long all machines are without power, and dropAfter how long after its
	// loss the operator drops the route.
	powerOffFor = 3 * time.Second
	dropAfter   = time.Second
	routeSteps  = 3
	routeTasks  = 4
	routeMs     = 2000
)

func init() { cases["routes"] = routesCase }

// routesCase drops the route of an accepted job while all machines are without power.
func routesCase(e *env) (int, error) {
	if err := e.cluster(3, 12); err != nil {
		return notRun, err
	}
	c := e.c
	const id = "00000000000000a1"
	if !c.nodes[0].submit("r/"+id, chain(routeSteps, routeTasks, routeMs)) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	if _, err := e.awaitRun(id + ".0.0.0"); err != nil {
		return notRun, err
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		c.powerOff()
		time.Sleep(dropAfter)
	}
	c.configure(5, "q")
	if e.trouble {
		time.Sleep(powerOffFor - dropAfter)
		if err := c.startAll(); err != nil {
			return notRun, err
		}
	}
	if !c.nodes[1].submit("q/00000000000000b1", chain(1, 2, 500)) {
		return notRun, fmt.Errorf("the last job was not accepted")
	}
	time.Sleep(finish)
	missing := ""
	for since := time.Now(); time.Since(since) < idle; time.Sleep(50 * time.Millisecond) {
		if missing = e.notDone(id, routeSteps, routeTasks); missing == "" {
			return held, nil
		}
		if len(e.log.at(missing)) > 0 {
			since = time.Now() // a task is at work
		}
	}
	e.log.event("q/00000000000000b1 done: %v", e.notDone("00000000000000b1", 1, 2) == "")
	e.log.event("LOST: job %s was accepted, and %s has nothing running for %v, %v after the end of the traffic, though all workers are free", id, missing, idle, finish)
	return broken, nil
}
