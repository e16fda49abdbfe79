package cell

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
)

// lateStartWindow is how long after it was sent a start without an answer may be carried out.
const lateStartWindow = 20 * time.Second

// lateStart is a start without an answer. The stop that settled it bars it at the process of
// its worker at that time only; one that restarts under the worker's name has to be told too.
type lateStart struct {
	task     jobs.TaskRef
	run      int
	until    model.Time
	barredAt int64 // start of the process that rejects it
	sentTo   int64 // start of the process that a stop in flight was sent to; zero if none
}

// recordLateStart records that a start has no answer.
func (c *Cell) recordLateStart(p *placement) {
	w := p.worker
	w.lateStarts = append(w.unexpiredStarts(c.now), lateStart{
		task: p.ref, run: p.run, until: c.now.Add(lateStartWindow), barredAt: w.boot,
	})
}

// unexpiredStarts returns the late starts that may still be carried out.
func (w *worker) unexpiredStarts(now model.Time) []lateStart {
	return slices.DeleteFunc(w.lateStarts, func(s lateStart) bool { return now > s.until })
}

// barLateStarts has a process that has restarted reject the starts that were sent to the one
// before it.
func (c *Cell) barLateStarts(w *worker) {
	if len(w.lateStarts) == 0 {
		return
	}
	w.lateStarts = w.unexpiredStarts(c.now)
	for i := range w.lateStarts {
		s := &w.lateStarts[i]
		if s.barredAt == w.boot || s.sentTo == w.boot {
			continue
		}
		s.sentTo = w.boot
		call := Call{SentAt: c.now, Bytes: pacing.StopCost}
		c.pacer.CallSent(call.Bytes)
		c.log("stop sent", s.task.Job, Fields{Task: s.task, HasTask: true, Run: s.run, Worker: w.info.Name, Reason: "its start may reach the restarted worker"})
		c.emit(Stop{Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, Task: s.task, Run: s.run, Timeout: c.pacer.Timeout(callTimeout), Call: call})
	}
}

// lateStartBarred handles the answer to a stop that barLateStarts may have sent.
func (w *worker) lateStartBarred(e StopAnswered) {
	for i := range w.lateStarts {
		s := &w.lateStarts[i]
		if s.task != e.Task || s.run != e.Run || s.sentTo == 0 {
			continue
		}
		if e.Verdict == Accepted {
			s.barredAt = s.sentTo
		}
		s.sentTo = 0
	}
}
