package queue

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against a comparison with a baseline that has part of the policy.
func TestFirstCome(t *testing.T) {
	is := is.New(t)
	q := New(Config{FIFO: true})
	for i, it := range []Item{
		{Task: "b1", Job: "j1", Service: "plan", Class: model.ClassBatch, Deadline: 900},
		{Task: "i1", Service: "check", Class: model.ClassInteractive, Deadline: 100},
		{Task: "b2", Job: "j2", Service: "plan", Class: model.ClassBatch, Deadline: 200},
		{Task: "i2", Service: "check", Class: model.ClassInteractive, Deadline: 50},
	} {
		it.Enqueued = model.Time(i)
		q.RecordArrival(&it, it.Enqueued)
		q.Push(&it)
	}
	q.SetPrioritized("j2", true)
	is.Equal(q.Headroom(5), model.Resources{})
	is.Equal(q.PredictedWait(&Item{Task: "i3", Class: model.ClassInteractive}, 5, model.Resources{}).Nanoseconds(), int64(0))
	var order []model.TaskID
	n := q.Schedule(5, func(it *Item) Decision {
		order = append(order, it.Task)
		if it.Task == "b2" {
			return StopPass
		}
		return Placed
	})
	is.Equal(n, 2)
	is.Equal(order, []model.TaskID{"b1", "i1", "b2"}) // the blocked head holds up all
}
