//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["renamed"] = renamedCase }

// cancelled is cancel_ms and stopMs, after which nothing of a cancelled job runs.
const cancelled = 3200 * time.Millisecond

// visible is visible_ms, after which an accepted job is known everywhere.
const visible = 3 * time.Second

// renamedCase replaces a route by one of another name with the same host and prefix, while a job
// of the route runs.
func renamedCase(e *env) (int, error) {
	if err := e.cluster(3, 12); err != nil {
		return notRun, err
	}
	c := e.c
	const id = "00000000000000a1"
	if !c.nodes[0].submit("r/"+id, chain(routeSteps, routeTasks, 4*routeMs)) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(visible + time.Second)
	ask := func(want string) (gone int) {
		for _, n := range c.nodes {
			status, state := n.state("r/" + id)
			e.log.event("client: GET /r/%s at %s: %d %s (%s)", id, n.name, status, state, want)
			if status == http.StatusGone {
				gone++
			}
		}
		return gone
	}
	if ask("before") > 0 {
		return notRun, fmt.Errorf("the job is not known before the change")
	}
	if e.trouble {
		c.configure(5, "q", "s=/r/")
	} else {
		c.configure(5, "q", "r")
	}
	time.Sleep(configApply + time.Second)
	gone := ask("after the change")
	if status, _ := c.nodes[0].call(http.MethodDelete, "r/"+id, nil); gone > 0 {
		e.log.event("client: DELETE /r/%s at %s: %d", id, c.nodes[0].name, status)
		time.Sleep(cancelled)
		e.log.event("workers with the second step %v later: %v", cancelled, e.log.at(id+".0.1.0"))
	}
	if gone > 0 {
		e.log.event("LOST: %d of %d instances answer 410 for job %s, which was accepted and which nobody has cancelled", gone, len(c.nodes), id)
		return broken, nil
	}
	return held, nil
}
