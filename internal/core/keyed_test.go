package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against the start of a keyed task on a worker that began to leave while the
// task's intent was stored.
func TestStoredIntentIsNotStartedOnLeavingWorker(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		is := is.New(t)
		c := New(Config{Timing: DefaultTiming(), Limits: DefaultLimits()}, nil)
		c.now = model.Time(time.Hour)
		c.owner = newOwnerState(1, c.now, false)
		c.owner.workers["w"] = &workerState{name: "w", leaving: leaving}
		j := &job{id: "j", keyed: true, taskStates: []taskState{taskActive}, active: 1}
		task := &task{id: "j.1", job: j, worker: "w", phase: phaseIntent, notAfter: 1 << 62}
		c.owner.tasks[task.id] = task
		c.effects = nil
		c.startWithIntent(task)
		starts := 0
		for _, e := range c.effects {
			if e.Start != nil {
				starts++
			}
		}
		if leaving {
			is.Equal(starts, 0)
			is.True(c.owner.tasks[task.id] == nil) // it waits for another worker
		} else {
			is.Equal(starts, 1)
		}
	}
}
