package cell

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// lossLogAfter is how long after their loss a log line tells of the tasks of a worker at the
// latest. Tasks that last are to run again within 9 s; others wait for room.
const lossLogAfter = 15 * time.Second

// maxLastingAway is how long a task that lasts may be without a run; users see each of them
// that is missing.
const maxLastingAway = 9 * time.Second

// reportLongRestarts tells of a job of so many tasks that last that those of one worker can't
// all run again within maxLastingAway of its loss.
func (c *Cell) reportLongRestarts(j *job) {
	bytes, tasks := 0, 0
	for _, g := range j.groups {
		if g.lasts() {
			tasks += len(g.tasks)
			bytes += len(g.tasks) * startSize(len(j.payload))
		}
	}
	workers := c.registeredWorkers()
	if tasks == 0 || workers == 0 {
		return
	}
	if away := c.longestLease() + c.pacer.SendTime(bytes/workers); away > maxLastingAway {
		c.log("tasks that last are too many to run again in time after the loss of a worker", j.id, Fields{Count: tasks / workers, Age: away})
	}
}

// workerLoss follows the tasks whose runs were lost with a worker until they run again.
type workerLoss struct {
	worker    model.WorkerName
	lastRunAt model.Time // newest answer of the worker, when the runs were certainly there
	noticedAt model.Time // first renewal without an answer
	// disconnected says that the worker's connection ended when it was noticed, and its runs no
	// earlier.
	disconnected bool
	certainAt    model.Time // when the runs were certainly over
	waiting      int        // tasks without a new run
	restarted    int
	longest      time.Duration // for which one of them had no run
	phase        string        // that took most of it
}

// restartPhase is a part of the time for which a lost task has no run.
type restartPhase struct {
	name string
	took time.Duration
}

// beginLoss records that the runs of a worker are over. Nothing is known of when an earlier
// owner last heard of it.
func (c *Cell) beginLoss(w *worker) {
	if w.answeredAt == 0 || w.answeredAt == c.now {
		return
	}
	w.loss = &workerLoss{worker: w.info.Name, lastRunAt: w.answeredAt, noticedAt: w.unreachableAt, certainAt: c.now, disconnected: w.disconnected}
	if w.unreachableAt == 0 {
		w.loss.noticedAt, w.loss.disconnected = c.now, false
	}
}

// endedAt returns when the runs may have ended at the earliest.
func (l *workerLoss) endedAt() model.Time {
	if l.disconnected {
		return l.noticedAt
	}
	return l.lastRunAt
}

// recordLoss follows the task of a run that was lost with its worker.
func (c *Cell) recordLoss(p *placement) {
	if p.phase != phaseRunning || p.group == nil || p.group.job.state.Final() {
		return
	}
	w := p.worker
	if w.loss == nil || w.loss.certainAt != c.now {
		c.beginLoss(w)
	}
	l := w.loss
	if l == nil || l.certainAt != c.now {
		return
	}
	if l.waiting++; l.waiting == 1 {
		c.losses = append(c.losses, l)
	}
	p.group.tasks[p.ref.Index].loss = l
}

// recordRestart records that a lost task runs again, in the phases of its restart.
func (c *Cell) recordRestart(p *placement) {
	t := &p.group.tasks[p.ref.Index]
	l := t.loss
	if l == nil {
		return
	}
	t.loss = nil
	l.waiting--
	l.restarted++
	queue := p.group.job.queue
	total := c.now.Sub(l.lastRunAt)
	c.observe("restart_seconds", queue, total)
	longest := restartPhase{}
	for _, phase := range []restartPhase{
		{"notice", l.noticedAt.Sub(l.lastRunAt)},
		{"certainty", l.certainAt.Sub(l.noticedAt)},
		{"placement", p.plannedAt.Sub(l.certainAt)},
		{"storage", p.storedAt.Sub(p.plannedAt)},
		{"sending", p.sentAt.Sub(p.storedAt)},
		{"start", c.now.Sub(p.sentAt)},
	} {
		c.observe("restart_"+phase.name+"_seconds", queue, phase.took)
		if phase.took > longest.took {
			longest = phase
		}
	}
	if total > l.longest {
		l.longest, l.phase = total, longest.name
	}
}

// reportLosses writes a log line for each lost worker whose tasks run again, or have waited for
// long.
func (c *Cell) reportLosses() {
	c.losses = slices.DeleteFunc(c.losses, func(l *workerLoss) bool {
		if l.waiting > 0 && c.now.Sub(l.certainAt) < lossLogAfter {
			return false
		}
		outcome := "run again"
		if l.waiting > 0 {
			outcome = "some wait or are not wanted any more"
		}
		c.log("tasks of lost worker", "", Fields{Worker: l.worker, Count: l.restarted, Age: l.longest, Reason: l.phase, Outcome: outcome})
		return true
	})
}
