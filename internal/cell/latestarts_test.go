package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// Guards against a start without an answer that is carried out after its worker has restarted
// under its name: the stop that settled it was known to the former process only, and the task
// ran twice.
func TestLateStartIsRejectedByRestartedWorker(t *testing.T) {
	is := is.New(t)
	settled := 0
	for seed := range uint64(30) {
		s := newSim(seed, 1, 3)
		s.reliableRuns, s.lateCallsOutliveProcess = true, true
		s.run(3 * time.Second)
		const id = "00000000000000aa"
		task := jobs.TaskRef{Job: id}
		var first *simWorker
		s.onLog = func(l Log) {
			if l.Message == "start sent" && first == nil {
				first = s.worker(l.Worker)
				s.after(0, func() { s.lateCallShare = 0 })
			}
		}
		s.lateCallShare = 1
		s.storeJob(id, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 60_000})
		for i := 0; first == nil || first.barred[task] == 0; i++ {
			if i == 2000 || first != nil && len(first.runs) > 0 {
				break
			}
			s.run(time.Millisecond)
		}
		if first == nil || first.barred[task] == 0 {
			continue // the start arrived before the stop
		}
		s.nodes[0].cell.workers[first.name].pausedUntil = s.now.Add(20 * time.Second) // runs elsewhere
		for i := 0; len(s.truth.running[task]) == 0; i++ {
			is.True(i < 5000)
			s.run(time.Millisecond)
		}
		first.crash(100 * time.Millisecond)
		s.run(14 * time.Second)
		settled++
		if len(s.violations) > 0 {
			t.Logf("seed %d", seed)
		}
		is.Equal(s.violations, nil)
	}
	is.True(settled > 10)
}
