package cell

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/blame"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
)

// lateStartWindow is for how long a start may still be carried out once its call has ended without
// an answer. Orders that the platform's network holds up are carried out within 12 s, and a process that
// has restarted meanwhile answers within a second more.
const lateStartWindow = 13 * time.Second

// lateStart is a start without an answer, which may be carried out as long as its window lasts.
// The process that it was sent to rejects it once it has accepted a stop of the run, or has seen
// a higher epoch, and after its lease. A process that restarts under the worker's name has to be
// told again, and may carry the start out before.
type lateStart struct {
	worker   *worker
	group    *group
	index    int // of the task
	run      int
	until    model.Time
	barredAt int64 // start of the process that rejects it
	// stopSentAt is when a stop that is in flight was sent to the process that started at
	// sentTo, and stopAcceptedAt when that process accepted it; zero if none is or it did not.
	stopSentAt, stopAcceptedAt model.Time
	sentTo                     int64
}

// boundTask is a pending task that may start at the worker of its late start only: no other
// worker can keep the process that the worker restarts as from running it as well.
type boundTask struct {
	group  *group
	index  int
	worker *worker
	since  model.Time
}

// startUnresolved reports whether the start that this owner has sent may still be carried out:
// the worker has neither answered it nor listed the run.
func (p *placement) startUnresolved() bool { return p.sentAt != 0 && !p.startResolved }

// recordLateStart records that a start may still be carried out.
func (c *Cell) recordLateStart(p *placement) {
	if g := p.group; g != nil && !p.late && !p.worker.replaced { // one that has replaced it rejects the start
		p.late = true
		c.addLateStart(g, p.ref.Index, p.worker, p.run, p.worker.boot, c.now.Add(lateStartWindow))
		if !g.job.state.Final() {
			c.markTask(g, p.ref.Index)
		}
	}
}

// addLateStart records a late start that may be carried out until the given time. The process with
// the start barredAt rejects it.
func (c *Cell) addLateStart(g *group, index int, w *worker, run int, barredAt int64, until model.Time) {
	t := &g.tasks[index]
	l := &lateStart{worker: w, group: g, index: index, run: run, until: until, barredAt: barredAt}
	w.lateStarts = append(w.lateStarts, l)
	if barredAt != w.boot {
		w.unbarredStarts++
	}
	// A permit is valid for one process. Copies of a speculative task may run.
	if !g.step.Speculative && !c.queueOf(g.job).Eligibility.Required() {
		t.lateStart = l
	}
}

func (l *lateStart) task() *task { return &l.group.tasks[l.index] }

// resolveStart records that the worker has answered the start of a run, or has listed the run.
func (p *placement) resolveStart() {
	p.startResolved = true
	if p.late {
		p.late = false
		p.worker.resolveStart(p.ref, p.run)
	}
}

// resolveStart drops the late start of a run, which certainly isn't carried out any more.
func (w *worker) resolveStart(ref jobs.TaskRef, run int) {
	w.dropLateStarts(func(l *lateStart) bool { return l.run == run && l.group.ref(l.index) == ref })
}

// dropLateStarts removes some late starts. The tasks keep the ones of their other runs.
func (w *worker) dropLateStarts(over func(l *lateStart) bool) {
	if len(w.lateStarts) == 0 {
		return
	}
	kept := w.lateStarts[:0]
	for _, l := range w.lateStarts {
		if !over(l) {
			kept = append(kept, l)
		} else if t := l.task(); t.lateStart == l {
			t.lateStart = nil
		}
	}
	if len(kept) == len(w.lateStarts) {
		return
	}
	clear(w.lateStarts[len(kept):])
	w.lateStarts = kept
	w.countUnbarred()
	for _, l := range kept {
		if t := l.task(); t.lateStart == nil && !l.group.step.Speculative {
			t.lateStart = l
		}
	}
}

// expireLateStarts removes the late starts that can't be carried out any more.
func (c *Cell) expireLateStarts(w *worker) {
	w.dropLateStarts(func(l *lateStart) bool { return c.now > l.until })
}

// barLateStarts has a process that has restarted reject the starts that were sent to the one
// before it. One that was carried out before the stop arrived takes room until a list shows it,
// so that only a list that was requested after the stop was accepted is conclusive.
func (c *Cell) barLateStarts(w *worker, listSentAt model.Time) {
	if len(w.lateStarts) == 0 {
		return
	}
	defer w.countUnbarred()
	c.expireLateStarts(w)
	for _, l := range w.lateStarts {
		if l.barredAt == w.boot {
			continue
		}
		if l.sentTo == w.boot {
			switch {
			case l.stopAcceptedAt != 0 && listSentAt >= l.stopAcceptedAt:
				l.barredAt = w.boot
				c.scheduleNeeded = true
				continue
			case l.stopAcceptedAt != 0:
				c.pollStatus(w)
				continue
			case l.stopSentAt != 0:
				continue
			}
		}
		l.stopSentAt, l.stopAcceptedAt, l.sentTo = c.now, 0, w.boot
		call := Call{SentAt: c.now, Bytes: pacing.StopCost}
		c.pacer.CallSent(call.Bytes)
		ref := l.group.ref(l.index)
		c.log("stop sent", ref.Job, Fields{Task: ref, HasTask: true, Run: l.run, Worker: w.info.Name, Reason: "its start may reach the restarted worker"})
		c.emit(Stop{Worker: w.info.Name, Address: w.info.Address, Epoch: c.epoch, Task: ref, Run: l.run, Timeout: c.pacer.Timeout(callTimeout), Call: call})
	}
}

// lateStartBarred handles the answer to a stop that barLateStarts may have sent. The answer to
// another stop of the run may be of an earlier process.
func (c *Cell) lateStartBarred(w *worker, e StopAnswered) {
	for _, l := range w.lateStarts {
		if l.group.ref(l.index) != e.Task || l.run != e.Run || l.stopSentAt == 0 || l.stopSentAt != e.Call.SentAt {
			continue
		}
		l.stopSentAt = 0
		if e.Verdict == Accepted {
			l.stopAcceptedAt = c.now
			c.pollStatus(w)
		}
	}
}

// countUnbarred counts the late starts that the worker's process may still carry out. A worker
// that has one may be given more than it has room for.
func (w *worker) countUnbarred() {
	w.unbarredStarts = 0
	for _, l := range w.lateStarts {
		if l.barredAt != w.boot {
			w.unbarredStarts++
		}
	}
}

// boundWorker returns the worker at which alone a task may start, or nil if it may start at any.
// Tasks that last are missed by their users, so that they are bound no longer than their worker
// can be waited for: until it turns out to have no place for them, or its lease is over.
func (c *Cell) boundWorker(g *group, t *task) *worker {
	l := t.lateStart
	if l == nil || c.now > l.until || l.worker.replaced || c.queueOf(g.job).Eligibility.Required() {
		return nil
	}
	w := l.worker
	answers := w.failedRenewals == 0 && l.barredAt == w.boot
	if g.lasts() && (c.now > w.leaseEnd || answers && (c.startMode(g, t) != blame.Normal || !c.fitsAtBound(g, w))) {
		return nil
	}
	return w
}

// bind records that a pending task is bound to a worker, if it is.
func (c *Cell) bind(g *group, index int) {
	t := &g.tasks[index]
	if t.bound || t.lateStart == nil {
		return
	}
	w := c.boundWorker(g, t)
	if w == nil {
		return
	}
	t.bound = true
	g.boundTasks++
	c.boundTasks = append(c.boundTasks, boundTask{group: g, index: index, worker: w, since: c.now})
	c.log("task waits for the worker that may still carry out its start", g.job.id, Fields{Task: g.ref(index), HasTask: true, Run: t.lateStart.run, Worker: w.info.Name, Age: t.lateStart.until.Sub(c.now)})
}

// unbind records that a task is not bound, or is not pending any more.
func (g *group) unbind(t *task) {
	if t.bound {
		t.bound = false
		g.boundTasks--
	}
}

// placeBound places the tasks that are bound to a worker, before others get the room that their
// last runs had there. The members of gangs are placed with the others.
func (c *Cell) placeBound() {
	c.boundTasks = slices.DeleteFunc(c.boundTasks, func(b boundTask) bool {
		c.visited++
		g, t := b.group, &b.group.tasks[b.index]
		if !t.bound || !g.waits() {
			g.unbind(t)
			return true
		}
		w := c.boundWorker(g, t)
		if w == nil {
			g.unbind(t)
			g.attemptedAt = 0
			c.markTask(g, b.index)
			c.log("task may start at any worker again", g.job.id, Fields{Task: g.ref(b.index), HasTask: true, Worker: b.worker.info.Name, Age: c.now.Sub(b.since)})
			c.observe("bound_wait_seconds", g.job.queue, c.now.Sub(b.since))
			return true
		}
		if g.step.Gang || !c.placeAtBound(g, b.index, w) {
			return false
		}
		c.observe("bound_wait_seconds", g.job.queue, c.now.Sub(b.since))
		return true
	})
}

// placeAtBound places a task at the worker that it is bound to, if that is possible now.
func (c *Cell) placeAtBound(g *group, index int, w *worker) bool {
	t := &g.tasks[index]
	if !c.canStartAtBound(g, t, w) || !c.fitsAtBound(g, w) || c.placeLimit(g) == 0 {
		return false
	}
	mode := c.startMode(g, t)
	if mode == blame.Wait || mode.TriedApart() && w.hasNewRun() {
		return false
	}
	c.place(g, index, w, 0)
	if p := t.placement; mode != blame.Normal {
		p.beside = mode == blame.Beside
		c.watch(p, mode == blame.Alone)
	}
	return true
}

// canStartAtBound reports whether the process of the worker that a task is bound to rejects its
// late start and has no run of the task.
func (c *Cell) canStartAtBound(g *group, t *task, w *worker) bool {
	l := t.lateStart
	_, holds := w.runs[g.ref(l.index)]
	return l.barredAt == w.boot && !holds
}

// fitsAtBound reports whether a worker may run one more task of a group now and has the room.
func (c *Cell) fitsAtBound(g *group, w *worker) bool {
	return c.canRun(g, c.queueOf(g.job), w) && !w.quarantined && c.countAt(g, fit.Demand{Need: taskDemand(g.step)}, w, w.free()) > 0
}
