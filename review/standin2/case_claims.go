//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	trials = 4 // with a new deployment each, until the rule is broken
	// The power is lost between minKill and maxKill after the beginning of the slow spell.
	minKill, maxKill = 400 * time.Millisecond, 1500 * time.Millisecond
	darkFor          = 3500 * time.Millisecond // until the machine is back
	calmAfter        = 3 * time.Second
	lossPause        = 1500 * time.Millisecond
)

func init() { cases["claims"] = claimsCase }

// claimsCase lets the owner lose power while the store is slow. Then, with a sound store, machines
// are lost for good one after the other, always the owner, and those that are left are to run the
// jobs that they accept.
func claimsCase(e *env) (int, error) {
	for range trials {
		e.log.reset()
		status, err := e.claimsTrial()
		if e.c != nil {
			e.c.close()
		}
		if err != nil || status != held || !e.trouble {
			return status, err
		}
	}
	return held, nil
}

func (e *env) claimsTrial() (int, error) {
	if err := e.cluster(9, 12); err != nil {
		return notRun, err
	}
	c := e.c
	stop := e.traffic()
	e.slow(slowAnswer)
	killAfter := minKill + rand.N(maxKill-minKill)
	time.Sleep(killAfter)
	e.killOwner(darkFor)
	time.Sleep(slowFor - killAfter)
	e.slow(0)
	time.Sleep(calmAfter)
	for lost := 0; lost < len(c.nodes)-1 && e.killOwner(0); lost++ {
		time.Sleep(lossPause)
		e.awaitOwner()
	}
	stop()
	alive := 0
	for _, n := range c.nodes {
		if n.alive() {
			alive++
		}
	}
	e.log.event("%d of %d machines are left, the store and the workers are sound", alive, len(c.nodes))
	if o, _ := c.owner(); o != nil && o.alive() && e.trouble {
		e.log.event("%s owns the cell", o.name)
		return held, nil
	}
	return e.checkLastJobs()
}

// checkLastJobs submits jobs to the instances that are left and reports whether one of them
// has nothing running for the time that the rule gives.
func (e *env) checkLastJobs() (int, error) {
	ids := []string{}
	for i, n := range e.c.nodes {
		if !n.alive() {
			continue
		}
		id := fmt.Sprintf("00000000000000b%x", i)
		e.log.event("%s says ready: %v", n.name, n.ready())
		if n.submit("q/"+id, chain(1, 2, 500)) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return notRun, fmt.Errorf("no job was accepted")
	}
	time.Sleep(finish)
	for _, id := range ids {
		since := time.Now()
		for time.Since(since) < idle && !e.log.isDone(id+".0.0.0") && len(e.log.at(id+".0.0.0")) == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		for _, n := range e.c.nodes {
			if n.alive() {
				status, state := n.state("q/" + id)
				e.log.event("client: GET %s at %s: %d %s", id, n.name, status, state)
			}
		}
		if time.Since(since) >= idle {
			e.log.event("LOST: job %s was accepted and has nothing running %.0f s later, though all workers are free", id, (finish + idle).Seconds())
			return broken, nil
		}
	}
	return held, nil
}
