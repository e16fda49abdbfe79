package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// TestServiceThatCrashesItsWorkersIsRestartedEverMoreRarely guards against a service
// instance that is started on worker after worker at once although it crashes each of
// them, with all work beside it.
func TestServiceThatCrashesItsWorkersIsRestartedEverMoreRarely(t *testing.T) {
	killed := map[model.TaskID]bool{}
	runHistory(0, func(w *world) { // seed 0 schedules no faults
		var kill func()
		kill = func() {
			for _, r := range w.ledger.Runs() {
				if r.Service != "leader" || r.State != model.TaskRunning || killed[r.Task] {
					continue
				}
				killed[r.Task] = true
				for _, u := range w.workers {
					if u.name == r.Worker {
						u.Set(standin.WorkerFaults{Restart: true})
					}
				}
			}
			w.after(50*time.Millisecond, kill)
		}
		w.after(time.Second, kill)
	})
	is := is.New(t)
	is.True(len(killed) > 1)
	// At once, and then after 1, 2, 4, 8 s and so on.
	is.True(len(killed) <= 7)
}
