//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	spells     = 8 // of a slow store, in each of which the owner loses power
	spellPause = 2 * time.Second
	killAfter  = 600 * time.Millisecond  // from the beginning of a spell
	darkFor    = 3500 * time.Millisecond // until the machine is back
	lossPause  = 3 * time.Second
)

func init() { cases["claims"] = claimsCase }

// claimsCase lets owners lose power while the store is slow. Then, with a sound store, machines
// are lost for good one after the other, always the owner, and those that are left are to run the
// jobs that they accept.
func claimsCase(e *env) (int, error) {
	if err := e.cluster(9, 12); err != nil {
		return notRun, err
	}
	c := e.c
	stop := e.traffic()
	for range spells {
		at := time.Now()
		e.slow(slowAnswer)
		time.Sleep(killAfter)
		e.killOwner(darkFor)
		time.Sleep(time.Until(at.Add(slowFor)))
		e.slow(0)
		time.Sleep(spellPause)
	}
	time.Sleep(lossPause)
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
