package rank

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

func urgent(arrived time.Duration) Input {
	return Input{Urgent: true, Arrived: model.Time(arrived), CriticalPath: 680 * time.Millisecond, Remaining: 680 * time.Millisecond, Stretch: 1.5, LatencyTarget: 250 * time.Millisecond}
}

func batch(arrived time.Duration) Input {
	return Input{Priority: 2, Arrived: model.Time(arrived), CriticalPath: 2300 * time.Millisecond, Remaining: 2300 * time.Millisecond, Stretch: 4, LatencyTarget: 3 * time.Second}
}

// Under overload, urgent work goes before batch work that arrived earlier, and work
// that is already late does not delay work that is not.
func TestKeyOrderUnderOverload(t *testing.T) {
	is := is.New(t)
	now := model.Time(100 * time.Second)
	at := func(ago time.Duration) time.Duration { return time.Duration(now) - ago }
	in := []Input{urgent(at(100 * time.Millisecond)), batch(at(5 * time.Second)), batch(at(time.Second)), urgent(at(2 * time.Second)), batch(at(12 * time.Second)), batch(at(60 * time.Second))}
	keys := make([]int64, len(in))
	for i := range in {
		keys[i] = Key(now, in[i])
	}
	is.True(slices.IsSorted(keys))
}

// Simulates a load of 2.2 times the capacity. In order of arrival, every urgent task
// behind the backlog is late; in order of rank, no urgent task is.
func TestUrgentWorkUnderOverload(t *testing.T) {
	is := is.New(t)
	countLate := func(order func(now model.Time, waiting []Input) int) (n int) {
		rnd := rand.New(rand.NewPCG(1, 2))
		const slots = 40
		var waiting []Input
		var free [slots]model.Time
		for now := model.Time(0); now < model.Time(6*time.Second); now = now.Add(5 * time.Millisecond) {
			if rnd.IntN(3) == 0 {
				waiting = append(waiting, urgent(time.Duration(now)))
			}
			if rnd.IntN(3) == 0 {
				waiting = append(waiting, batch(time.Duration(now)))
			}
			for i := range free {
				if free[i] > now || len(waiting) == 0 {
					continue
				}
				at := order(now, waiting)
				in := waiting[at]
				waiting = slices.Delete(waiting, at, at+1)
				free[i] = now.Add(in.Remaining)
				if in.Urgent && free[i] > in.Arrived.Add(in.Objective()) {
					n++
				}
			}
		}
		return n
	}
	fifoLate := countLate(func(model.Time, []Input) int { return 0 })
	rankedLate := countLate(func(now model.Time, waiting []Input) int {
		best := 0
		for i := range waiting {
			if Key(now, waiting[i]) < Key(now, waiting[best]) {
				best = i
			}
		}
		return best
	})
	is.True(fifoLate > 50)
	is.Equal(rankedLate, 0)
}

// Guards against taking tasks that last for useless because of the time since their job was
// handed in: they go before all work that can wait, and before urgent work in the end.
func TestTasksThatLastGoBeforeWorkThatCanWait(t *testing.T) {
	is := is.New(t)
	now := model.Time(1000 * time.Second)
	lasting := func(waited time.Duration) int64 {
		return Key(now, Input{Priority: 2, Lasting: true, Arrived: now.Add(-waited), LatencyTarget: time.Second})
	}
	inTime, urgentInTime := Key(now, batch(time.Duration(now))), Key(now, urgent(time.Duration(now)))
	is.True(lasting(0) < inTime && lasting(time.Hour) < inTime)
	is.True(urgentInTime < lasting(maxLastingWait))
	is.True(lasting(maxLastingWait+1) < urgentInTime)
	is.True(!Useless(lasting(time.Hour)))
	is.True(Key(now, Input{Urgent: true, Lasting: true, Arrived: now}) <= urgentInTime) // of an urgent queue
}
