//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// While the store is slow, it takes 60 times as long as usual for an answer.
	slowAnswer = 59 * appendTime
	slowFor    = 4500 * time.Millisecond
	// finish is finish_s, and idle how long a job may have nothing running after it.
	finish = 14 * time.Second
	idle   = 3 * time.Second
	// takeover is far longer than an instance needs to take the cell over.
	takeover = 5 * time.Second
	// submitPause separates the jobs of the clients, one in cancelEach of which is cancelled.
	submitPause = 60 * time.Millisecond
	cancelEach  = 10
)

// traffic submits jobs to instances until the function that it returns is called.
func (e *env) traffic() func() {
	quit := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(submitPause):
			}
			if n := e.c.nodes[rand.IntN(len(e.c.nodes))]; n.alive() {
				done.Go(func() {
					id := fmt.Sprintf("%016x", 0xc000+i)
					status, _ := n.call("POST", "q/"+id, chain(1, 2, 400))
					e.log.event("client: POST %s at %s: %d", id, n.name, status)
					if other := e.c.nodes[rand.IntN(len(e.c.nodes))]; i%cancelEach == 0 && other.alive() {
						status, _ = other.call("DELETE", "q/"+id, nil)
						e.log.event("client: DELETE %s at %s: %d", id, other.name, status)
					}
				})
			}
		}
	})
	return func() {
		close(quit)
		done.Wait()
	}
}

// slow adds a time to each answer of the store.
func (e *env) slow(d time.Duration) {
	if !e.trouble {
		return
	}
	e.log.event("store: %v is added to each answer", d)
	for _, n := range e.c.nodes {
		n.gate.set(d)
	}
}

// awaitOwner waits until an instance that is alive owns the cell.
func (e *env) awaitOwner() {
	for deadline := time.Now().Add(takeover); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if o, _ := e.c.owner(); o != nil && o.alive() {
			return
		}
	}
}

// killOwner kills the process that last wrote to the store under a condition, if it is alive, and
// starts it again after a time. With zero, the machine is lost for good.
func (e *env) killOwner(again time.Duration) bool {
	o, _ := e.c.owner()
	if !e.trouble || o == nil || !o.alive() {
		return false
	}
	o.kill()
	if again > 0 {
		time.AfterFunc(again, func() { _ = o.start() })
	}
	return true
}

// awaitRun waits until a task runs and returns its worker.
func (e *env) awaitRun(task string) (*worker, error) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if at := e.log.at(task); len(at) > 0 {
			for _, w := range e.c.workers {
				if w.id == at[0] {
					return w, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("task %s does not run", task)
}

// notDone returns a task of the first step that has not ended as done, or nothing.
func (e *env) notDone(id string, steps, tasks int) string {
	for s := range steps {
		for i := range tasks {
			if task := fmt.Sprintf("%s.0.%d.%d", id, s, i); !e.log.isDone(task) {
				return task
			}
		}
	}
	return ""
}
