package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// newOverShareQueue returns a queue of 10 slots with a straggler share of 2 slots,
// exceeded by 4 tasks that have run for 60 s where 1 s is typical. The tasks are l0 to
// l3 in start order.
func newOverShareQueue() (*Queue, model.Time) {
	q := New(Config{})
	q.SetTotalSlots(10)
	start := model.Time(0).Add(time.Second)
	for i := range 4 {
		id := model.TaskID(fmt.Sprintf("l%d", i))
		q.RecordStart(&Item{Task: id, Job: model.JobID("job-" + id), Service: "plan", Class: model.ClassBatch}, start.Add(time.Duration(i)))
	}
	now := start.Add(time.Minute)
	for range 20 {
		q.RecordRunTime("plan", "", time.Second, now)
	}
	return q, now
}

func shortItem(now model.Time) *Item {
	return &Item{Task: "short", Job: "short", Service: "plan", Class: model.ClassBatch, Enqueued: now}
}

// Guards against short batch work that waits behind stragglers which were not expected
// to be stragglers, and against stopping more tasks than exceed the share.
func TestTasksToDemote(t *testing.T) {
	is := is.New(t)
	q, now := newOverShareQueue()
	is.Equal(len(q.TasksToDemote(now)), 0) // no work waits, so stopping tasks would gain nothing
	q.Push(shortItem(now))
	is.Equal(q.TasksToDemote(now), []model.TaskID{"l3", "l2"})
	is.Equal(q.TasksToDemote(now), []model.TaskID{"l3", "l2"}) // returned again until they have ended
	q.RecordEnd("l3")
	q.RecordEnd("l2")
	is.Equal(len(q.TasksToDemote(now)), 0)
}

// Guards against stopping the tasks of a prioritized job, which would miss its deadline.
func TestTasksToDemoteExemptsPrioritizedJobs(t *testing.T) {
	is := is.New(t)
	q, now := newOverShareQueue()
	q.Push(shortItem(now))
	q.SetPrioritized("job-l3", true)
	is.Equal(q.TasksToDemote(now), []model.TaskID{"l2", "l1"})
}

// Guards against a task that is stopped repeatedly, and against one that takes a short
// task's slot right after releasing its own.
func TestDemotedTaskWaitsForStragglerShare(t *testing.T) {
	is := is.New(t)
	q, now := newOverShareQueue()
	q.Push(shortItem(now))
	q.RecordEnd("l3")
	q.Push(&Item{Task: "l3", Job: "job-l3", Service: "plan", Class: model.ClassBatch, Straggler: true, Enqueued: now})
	var order []model.TaskID
	place := func(it *Item) Decision {
		order = append(order, it.Task)
		q.RecordStart(it, now)
		return Placed
	}
	q.Schedule(now, place)
	is.Equal(order, []model.TaskID{"short"})
	is.Equal(len(q.TasksToDemote(now)), 0) // only a straggler waits
	q.RecordEnd("l0")
	q.RecordEnd("l1")
	q.Schedule(now, place)
	is.Equal(order, []model.TaskID{"short", "l3"})
	is.Equal(q.StragglerSlots(), int64(2))
	q.RecordStart(&Item{Task: "l4", Job: "job-l4", Service: "plan", Class: model.ClassBatch, Straggler: true}, now)
	q.Push(&Item{Task: "short2", Job: "short2", Service: "plan", Class: model.ClassBatch, Enqueued: now})
	// The short task is a straggler by then; l3 and l4 were requeued before.
	is.Equal(q.TasksToDemote(now.Add(time.Minute)), []model.TaskID{"short", "l2"})
}
