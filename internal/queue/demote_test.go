package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// straggling returns a queue of 10 slots whose share of 2 is exceeded by 4
// tasks that have run for 60 s, where 1 s is usual. They are l0 to l3 by start.
func straggling() (*Queue, model.Time) {
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

func short(now model.Time) *Item {
	return &Item{Task: "short", Job: "short", Service: "plan", Class: model.ClassBatch, Enqueued: now}
}

// Guards against short batch work that waits behind stragglers which nothing
// announced, and against more tasks stopped than make up the share.
func TestDemote(t *testing.T) {
	is := is.New(t)
	q, now := straggling()
	is.Equal(len(q.TasksToDemote(now)), 0) // nothing waits, so that nothing is gained
	q.Push(short(now))
	is.Equal(q.TasksToDemote(now), []model.TaskID{"l3", "l2"})
	is.Equal(q.TasksToDemote(now), []model.TaskID{"l3", "l2"}) // until they have ended
	q.RecordEnd("l3")
	q.RecordEnd("l2")
	is.Equal(len(q.TasksToDemote(now)), 0)
}

// Guards against a job that misses its deadline because its tasks are stopped.
func TestDemoteSparesRaised(t *testing.T) {
	is := is.New(t)
	q, now := straggling()
	q.Push(short(now))
	q.SetPrioritized("job-l3", true)
	is.Equal(q.TasksToDemote(now), []model.TaskID{"l2", "l1"})
}

// Guards against a task that is stopped again and again, and against one that
// takes a short task's slot right after it gave up its own.
func TestDemotedWaitsForTheShare(t *testing.T) {
	is := is.New(t)
	q, now := straggling()
	q.Push(short(now))
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
	// The short task has become one by then; l3 and l4 were moved before.
	is.Equal(q.TasksToDemote(now.Add(time.Minute)), []model.TaskID{"short", "l2"})
}
