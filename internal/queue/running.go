package queue

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// drainUnit is the time over which drain rates are counted: tasks per 1,000 s,
// as an integer so that adding and subtracting leaves no remainder.
const drainUnit = 1000 * time.Second

// running counts the tasks that run.
type running struct {
	byTask     map[model.TaskID]*run
	started    map[model.Class][]*run // in order of start; dead ones are skipped
	slots      int64                  // of all usable workers
	stragglers int64                  // slots that stragglers hold
	over       []*run                 // batch tasks that ran over the limit, in that order; dead ones are skipped
	drain      int64                  // expected ends per drainUnit
	use        model.Resources        // of interactive tasks
}

// run is one running task.
type run struct {
	it        *Item
	since     model.Time
	drain     int64
	straggler bool
	ended     bool
	late      *op // counted there as running above the limit
}

// newRunning returns counts of nothing.
func newRunning() running {
	return running{byTask: map[model.TaskID]*run{}, started: map[model.Class][]*run{}}
}

// SetTotalSlots sets the slots of all usable workers. While it is zero, the share
// of stragglers is not limited.
func (q *Queue) SetTotalSlots(total int64) { q.running.slots = total }

// RecordStart notes that an item's task runs.
func (q *Queue) RecordStart(it *Item, now model.Time) {
	r := &q.running
	if r.byTask[it.Task] != nil {
		return
	}
	q.stats.learnClass(it.Service, it.Class)
	u := &run{it: it, since: now}
	r.byTask[it.Task] = u
	if it.Class == model.ClassInteractive {
		r.use = r.use.Add(it.Resources)
	}
	if it.Class == model.ClassService || it.Class == model.ClassGang {
		return
	}
	if d := q.stats.assumed(it.Service, it.Operation, it.Class); d > 0 {
		u.drain = int64(drainUnit / max(d, time.Microsecond))
		r.drain += u.drain
	}
	if it.Straggler || q.straggles(flowKey{class: it.Class, service: it.Service, operation: it.Operation}) {
		r.mark(u)
		return
	}
	r.started[it.Class] = append(r.started[it.Class], u)
}

// mark counts u as a straggler until it ends.
func (r *running) mark(u *run) {
	u.straggler = true
	r.stragglers += slotsOf(u.it)
}

// promote marks the tasks that have run longer than the straggler limit. Each
// task is visited once, since they are kept in order of their start.
func (r *running) promote(q *Queue, now model.Time) {
	for _, class := range [...]model.Class{model.ClassInteractive, model.ClassBatch} {
		limit := q.stats.limit(class)
		list := r.started[class]
		for len(list) > 0 && (list[0].ended || limit > 0 && now.Sub(list[0].since) > limit) {
			u := list[0]
			list[0] = nil
			list = list[1:]
			if u.ended {
				continue
			}
			r.mark(u)
			r.drain -= u.drain
			u.drain = 0
			u.late = q.stats.op(opKey{u.it.Service, u.it.Operation})
			u.late.late++
			if class == model.ClassBatch {
				r.over = append(r.over, u)
			}
		}
		if len(list) > 2*len(r.byTask)+compactAt {
			// The first task may run for long while later ones end.
			list = slices.DeleteFunc(list, func(u *run) bool { return u.ended })
		}
		r.started[class] = list
	}
}

// RecordRunTime records the run time of a task that ran to its end.
func (q *Queue) RecordRunTime(service, operation string, ran time.Duration, now model.Time) {
	q.stats.finished(opKey{service, operation}, sample{now.Add(-ran), ran})
	q.demand.advance(q, now)
}

// RecordEnd notes that a task no longer runs, however it ended.
func (q *Queue) RecordEnd(task model.TaskID) {
	r := &q.running
	u := r.byTask[task]
	if u == nil {
		return
	}
	delete(r.byTask, task)
	u.ended = true
	r.drain -= u.drain
	if u.straggler {
		r.stragglers -= slotsOf(u.it)
	}
	if u.late != nil {
		u.late.late--
	}
	if u.it.Class == model.ClassInteractive {
		r.use = r.use.Sub(u.it.Resources)
	}
}

// StragglerSlots returns the slots that stragglers hold.
func (q *Queue) StragglerSlots() int64 { return q.running.stragglers }
