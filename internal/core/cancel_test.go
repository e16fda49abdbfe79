package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// TestCancellationIsAnsweredOnceTheLogHasIt guards against a cancellation that is answered
// and then lost with its owner, whose successor runs the job to its end.
func TestCancellationIsAnsweredOnceTheLogHasIt(t *testing.T) {
	is := is.New(t)
	c := New(Config{Timing: DefaultTiming(), Limits: DefaultLimits()}, nil)
	c.now = model.Time(time.Hour)
	c.owner = newOwnerState(1, c.now, false)
	j := &job{id: "j", durable: true, taskStates: []taskState{taskActive}, active: 1}
	c.jobs["j"] = j
	replies := func() (n int) {
		for _, e := range c.effects {
			if e.Send != nil && e.Send.Body.Reply != nil {
				is.Equal(e.Send.Body.Reply.Answer.Code, model.CodeCancelled)
				n++
			}
		}
		return n
	}
	for i := range 2 { // a repeated cancellation waits as well
		c.admitCancel(&message.Forward{Job: "j"}, waiter{origin: origin{member: model.Member{Incarnation: "caller"}, job: "j"}})
		is.Equal(replies(), 0)
		is.Equal(len(j.cancelWaiters), i+1)
	}
	is.Equal(len(c.commit.entries), 1)
	c.foldCancel(&record.Cancel{Job: "j"})
	is.Equal(replies(), 2)
	c.admitCancel(&message.Forward{Job: "j"}, waiter{origin: origin{member: model.Member{Incarnation: "caller"}, job: "j"}})
	is.Equal(replies(), 3)
}
