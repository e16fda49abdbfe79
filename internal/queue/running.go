package queue

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// completionRateUnit is the period that completion rates refer to. Rates are integers,
// in tasks per 1,000 s, so that adding and subtracting them leaves no rounding error.
const completionRateUnit = 1000 * time.Second

// runningTasks tracks the running tasks.
type runningTasks struct {
	byTask         map[model.TaskID]*runningTask
	byStart        map[model.Class][]*runningTask // in start order; ended tasks are skipped
	totalSlots     int64                          // slots of all usable workers
	stragglerSlots int64                          // slots held by stragglers
	overLimit      []*runningTask                 // batch tasks in the order in which they exceeded the limit; ended tasks are skipped
	completionRate int64                          // expected task ends per completionRateUnit
	interactiveUse model.Resources                // resources of running interactive tasks
}

type runningTask struct {
	item           *Item
	startedAt      model.Time
	completionRate int64
	straggler      bool
	ended          bool
	countedIn      *opStats // operation whose overLimit count includes this task, or nil
}

// newRunningTasks returns an empty runningTasks.
func newRunningTasks() runningTasks {
	return runningTasks{byTask: map[model.TaskID]*runningTask{}, byStart: map[model.Class][]*runningTask{}}
}

// SetTotalSlots sets the number of slots of all usable workers. While it is zero, the
// share of stragglers is not limited.
func (q *Queue) SetTotalSlots(total int64) { q.running.totalSlots = total }

// RecordStart records that an item's task has started. Repeated calls have no effect.
func (q *Queue) RecordStart(it *Item, now model.Time) {
	r := &q.running
	if r.byTask[it.Task] != nil {
		return
	}
	q.stats.recordClass(it.Service, it.Class)
	u := &runningTask{item: it, startedAt: now}
	r.byTask[it.Task] = u
	if it.Class == model.ClassInteractive {
		r.interactiveUse = r.interactiveUse.Add(it.Resources)
	}
	if it.Class == model.ClassService || it.Class == model.ClassGang {
		return
	}
	if d := q.stats.expectedRunTime(it.Service, it.Operation, it.Class); d > 0 {
		u.completionRate = int64(completionRateUnit / max(d, time.Microsecond))
		r.completionRate += u.completionRate
	}
	if it.Straggler || q.expectsStragglers(flowKey{class: it.Class, service: it.Service, operation: it.Operation}) {
		r.markStraggler(u)
		return
	}
	r.byStart[it.Class] = append(r.byStart[it.Class], u)
}

// markStraggler counts u as a straggler until it ends.
func (r *runningTasks) markStraggler(u *runningTask) {
	u.straggler = true
	r.stragglerSlots += taskSlots(u.item)
}

// markOverLimit marks the tasks that have run longer than the straggler limit as
// stragglers. Each task is visited once, since tasks are kept in start order.
func (r *runningTasks) markOverLimit(q *Queue, now model.Time) {
	for _, class := range [...]model.Class{model.ClassInteractive, model.ClassBatch} {
		limit := q.stats.stragglerLimit(class)
		list := r.byStart[class]
		for len(list) > 0 && (list[0].ended || limit > 0 && now.Sub(list[0].startedAt) > limit) {
			u := list[0]
			list[0] = nil
			list = list[1:]
			if u.ended {
				continue
			}
			r.markStraggler(u)
			r.completionRate -= u.completionRate
			u.completionRate = 0
			u.countedIn = q.stats.getOrAdd(opKey{u.item.Service, u.item.Operation})
			u.countedIn.overLimit++
			if class == model.ClassBatch {
				r.overLimit = append(r.overLimit, u)
			}
		}
		if len(list) > 2*len(r.byTask)+minCompactSize {
			// The first task may run for a long time while later ones end.
			list = slices.DeleteFunc(list, func(u *runningTask) bool { return u.ended })
		}
		r.byStart[class] = list
	}
}

// RecordRunTime records the run time of a task that ran to completion.
func (q *Queue) RecordRunTime(service, operation string, runTime time.Duration, now model.Time) {
	q.stats.recordRun(opKey{service, operation}, sample{now.Add(-runTime), runTime})
	q.demand.advance(q, now)
}

// RecordEnd records that a task no longer runs, however it ended.
func (q *Queue) RecordEnd(task model.TaskID) {
	r := &q.running
	u := r.byTask[task]
	if u == nil {
		return
	}
	delete(r.byTask, task)
	u.ended = true
	r.completionRate -= u.completionRate
	if u.straggler {
		r.stragglerSlots -= taskSlots(u.item)
	}
	if u.countedIn != nil {
		u.countedIn.overLimit--
	}
	if u.item.Class == model.ClassInteractive {
		r.interactiveUse = r.interactiveUse.Sub(u.item.Resources)
	}
}

// StragglerSlots returns the number of slots held by stragglers.
func (q *Queue) StragglerSlots() int64 { return q.running.stragglerSlots }
