//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contact     = 3 * time.Second        // contactMs
	configApply = 2 * time.Second        // configApplyMs
	lookMargin  = 200 * time.Millisecond // before a wrong answer counts
	rounds      = 8
	roundPause  = 2 * time.Second
)

func init() { cases["silent"] = silentCase }

// silentCase lets the open connections to the store go silent, and adds a route a second
// later. Each instance is asked for it when it is in touch again. The store is slow some time
// before, since the instances open more connections then.
func silentCase(e *env) (int, error) {
	if err := e.cluster(9, 12); err != nil {
		return notRun, err
	}
	c := e.c
	stop := e.traffic()
	defer stop()
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	wrong := 0
	routes := []string{"q", "r"}
	for round := 0; round < rounds && wrong == 0; round++ {
		e.slow(slowAnswer)
		time.Sleep(slowFor)
		e.slow(0)
		time.Sleep(contact)
		at := time.Now()
		if e.trouble {
			open := 0
			for _, n := range c.nodes {
				open += n.proxy.silence()
			}
			e.log.event("%d connections to the store go silent", open)
		}
		time.Sleep(contact - configApply - 50*time.Millisecond)
		route := fmt.Sprintf("z%d", round)
		routes = append(routes, route)
		c.configure(5+2*round, routes...)
		acked := time.Now()
		time.Sleep(max(time.Until(at.Add(contact)), time.Until(acked.Add(configApply))) + lookMargin)
		var asked sync.WaitGroup
		for _, n := range c.nodes {
			asked.Go(func() {
				sent := time.Now()
				status, _ := n.call(http.MethodGet, route+"/", nil)
				e.log.event("client: GET /%s/ at %s: %d", route, n.name, status)
				if status == http.StatusNotFound {
					mu.Lock()
					wrong++
					mu.Unlock()
					e.log.event("CONFIG: route %s is not there at %s, %.3f s after its acknowledgement and %.3f s after the connections went silent", route, n.name, sent.Sub(acked).Seconds(), sent.Sub(at).Seconds())
				}
			})
		}
		asked.Wait()
		time.Sleep(roundPause)
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
