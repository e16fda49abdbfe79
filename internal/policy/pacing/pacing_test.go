package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

const start = model.Time(time.Hour)

// serve sends calls of a cost, as many as the pacer allows at a time, over a link
// with a rate in bytes a second for a time. It returns the bytes that were sent
// and the longest wait for an answer.
func serve(p *Pacer, rate float64, cost int, d time.Duration) (sent int, longest time.Duration) {
	type call struct{ sentAt, doneAt model.Time }
	var open []call
	free := start
	for now := start; now < start.Add(d); now = now.Add(time.Millisecond) {
		for len(open) > 0 && open[0].doneAt <= now {
			took := open[0].doneAt.Sub(open[0].sentAt)
			p.CallFinished(now, cost, took, true)
			longest = max(longest, took)
			open = open[1:]
		}
		for p.StartAllowed() {
			p.StartPlanned(cost)
			p.StartSent(0, cost)
			sent += cost
			free = max(free, now).Add(time.Duration(float64(cost) / rate * float64(time.Second)))
			open = append(open, call{now, free.Add(2 * time.Millisecond)})
		}
		p.SetThrottled(true)
	}
	for _, c := range open {
		p.CallFinished(c.doneAt, cost, c.doneAt.Sub(c.sentAt), true)
	}
	return sent, longest
}

// Starts without a bound waited for seconds behind each other on a narrow link,
// far beyond their timeout.
func TestLimitFollowsTheLink(t *testing.T) {
	for _, c := range []struct {
		name      string
		bandwidth int64 // as the settings say
		rate      float64
	}{
		{"2 Mbit/s", 250_000, 250_000},
		{"10 Mbit/s", 1_250_000, 1_250_000},
		{"unknown, 2 Mbit/s", 0, 250_000},
		{"the processor is slower than the link", 25_000_000, 250_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New(c.bandwidth, 0)
			serve(p, c.rate, 1000, 2*time.Second) // finds its limit
			sent, longest := serve(p, c.rate, 1000, 10*time.Second)
			is.True(longest < 200*time.Millisecond)             // the timeout of a start
			is.True(float64(sent) > 0.9*10*c.rate)              // the link is used
			is.True(p.Timeout(time.Millisecond) <= time.Second) // and its timeouts stay bounded
		})
	}
}

// Calls that a busy instance gave up after a fixed time cost it a stop and a new
// connection each, which made it busier.
func TestTimeoutsGrowWhileNothingAnswers(t *testing.T) {
	is := is.New(t)
	p := New(0, 0.12)
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		p.CallSent(1000)
		p.CallFinished(now, 1000, 200*time.Millisecond, false)
	}
	is.True(p.Timeout(200*time.Millisecond) >= 800*time.Millisecond)
	is.True(p.Timeout(200*time.Millisecond) <= time.Second)
	is.True(p.StartBudget(0) > 0) // a few calls are always tried
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		p.CallSent(1000)
		p.CallFinished(now, 1000, 5*time.Millisecond, true)
	}
	is.Equal(p.Timeout(200*time.Millisecond), 200*time.Millisecond)
}

// A few workers that do not answer must not slow the work for all others.
func TestDeadWorkersDoNotShrinkTheLimit(t *testing.T) {
	is := is.New(t)
	p := New(25_000_000, 0.8)
	before := p.Limit()
	now := start
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		p.CallSent(1000)
		if i%3 == 0 {
			p.CallFinished(now, 1000, 200*time.Millisecond, false)
		} else {
			p.CallFinished(now, 1000, 3*time.Millisecond, true)
		}
	}
	is.True(p.Limit() >= before)
	is.Equal(p.RenewalPause(), time.Duration(0))
	is.Equal(p.Timeout(200*time.Millisecond), 200*time.Millisecond)
}

// All that is added is taken back, so that no room is lost for good.
func TestRoomComesBack(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0)
	room := p.StartBudget(0)
	p.StartPlanned(700)
	p.StartDropped(700)
	p.CallSent(900)
	p.CallFinished(start, 900, time.Millisecond, false)
	is.True(p.StartBudget(0) >= room)
}

// Stops free room, so they go on when starts have to wait, but not without end.
func TestStopsGoBeforeStarts(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0)
	p.CallSent(p.Limit())
	is.Equal(p.StartBudget(0), 0)
	is.True(!p.StartAllowed())
	is.True(p.StopAllowed())
	p.CallSent(p.Limit())
	is.True(!p.StopAllowed())
}

// Work that would wait too long for its turn is refused with a time to come
// back; a burst of a moment is not.
func TestOverloaded(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0)
	over, _ := p.Overloaded(0, Backlog{Ahead: 1 << 30, Total: 1 << 30, MaxWait: time.Minute})
	is.True(!over) // nothing waits
	serve(p, 250_000, 1000, 3*time.Second)
	over, _ = p.Overloaded(0, Backlog{Ahead: 100_000, Total: 100_000, MaxWait: time.Minute}) // 0.4 s
	is.True(!over)
	over, retry := p.Overloaded(0, Backlog{Ahead: 5_000_000, Total: 5_000_000, MaxWait: time.Minute}) // 20 s
	is.True(over)
	is.True(retry >= time.Second && retry <= 4*time.Second)
	over, _ = p.Overloaded(0, Backlog{Ahead: 1_000_000, Total: 1_000_000, MaxWait: 3 * time.Second}) // 4 s
	is.True(over)
	p.SetThrottled(false)
	over, _ = p.Overloaded(0, Backlog{Ahead: 5_000_000, Total: 5_000_000, MaxWait: time.Minute})
	is.True(!over) // nothing waits any more
}

// A new owner that found much waiting work accepted more until it had measured
// its rate.
func TestNewOwnerKnowsItsLimits(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0.12)
	p.SetThrottled(true)
	over, _ := p.Overloaded(0, Backlog{Ahead: 3_000_000, Total: 3_000_000, MaxWait: time.Minute})
	is.True(over)
}

// mixed returns a pacer that is at its limit, with a share of urgent starts.
func mixed(urgentOfTen int) *Pacer {
	p := New(250_000, 0)
	now := start
	for i := range 3000 {
		now = now.Add(4 * time.Millisecond) // 250 KB/s
		priority := 1
		if i%10 < urgentOfTen {
			priority = 0
		}
		p.StartPlanned(1000)
		p.StartSent(priority, 1000)
		p.CallSent(p.Limit())
		p.CallFinished(now, 1000+p.Limit(), 10*time.Millisecond, true)
		p.SetThrottled(true)
	}
	return p
}

// Batch work was accepted for a time at which urgent work that came later had
// taken its turn.
func TestUrgentWorkTakesItsShareFirst(t *testing.T) {
	is := is.New(t)
	p := mixed(9)
	over, _ := p.Overloaded(0, Backlog{Ahead: 10_000, Total: 1_000_000, MaxWait: time.Minute}) // 4 s
	is.True(!over)
	over, _ = p.Overloaded(1, Backlog{Ahead: 1_000_000, Total: 1_000_000, MaxWait: time.Minute}) // 40 s at what urgent work leaves
	is.True(over)
}

// Accepted work that has become late waited for ever behind new urgent work.
func TestUrgentWorkLeavesHalfToWorkThatWaits(t *testing.T) {
	is := is.New(t)
	late := Backlog{Ahead: 10_000, Total: 4_000_000, MaxWait: time.Minute} // 16 s
	over, _ := mixed(9).Overloaded(0, late)
	is.True(over)
	over, _ = mixed(4).Overloaded(0, late)
	is.True(!over)
}

// A busy instance spent much of its processor on many small appends and steps.
func TestBusyInstancesGather(t *testing.T) {
	is := is.New(t)
	p := New(0, 0.12)
	is.Equal(p.BatchDelay(), time.Duration(0))
	now := start
	answer := func(took time.Duration) {
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			p.CallSent(1000)
			p.CallFinished(now, 1000, took, true)
		}
	}
	answer(10 * time.Millisecond)
	is.Equal(p.BatchDelay(), time.Duration(0)) // urgent work is not kept waiting
	answer(120 * time.Millisecond)
	is.True(p.BatchDelay() >= 10*time.Millisecond && p.BatchDelay() <= 20*time.Millisecond)
}

// An owner with few calls, all of them late, gave each one up after the usual time:
// two slow answers in a period were never enough to say anything.
func TestTimeoutsGrowWithFewCalls(t *testing.T) {
	is := is.New(t)
	p := New(0, 0.12)
	now := start
	for range 100 { // ten seconds
		for range 2 {
			now = now.Add(period / 2)
			p.CallSent(1000)
			p.CallFinished(now, 1000, 200*time.Millisecond, false)
		}
	}
	is.True(p.Timeout(200*time.Millisecond) > 200*time.Millisecond)
}

// Submissions were refused after many jobs had been cancelled, or a new owner had
// asked its workers: periods that were full of other calls counted as such in which
// no start could be sent.
func TestOtherCallsSayNothingAboutTheRateOfStarts(t *testing.T) {
	is := is.New(t)
	p := New(1_250_000, 0.4)
	now := start
	for range 200 { // two seconds
		now = now.Add(10 * time.Millisecond)
		n := 0
		for p.StopAllowed() {
			p.CallSent(StopCost)
			n++
		}
		for range n {
			p.CallFinished(now, StopCost, 5*time.Millisecond, true)
		}
	}
	p.SetThrottled(true)
	// A tenth of a second's worth of the rate that the link and processor have.
	over, _ := p.Overloaded(0, Backlog{Ahead: 60_000, Total: 60_000, MaxWait: 3 * time.Second})
	is.True(!over)
}

// A slow store kept the starts of a whole append cycle within what may be under
// way, although nothing was: 60 starts for each append of a quarter second.
func TestSlowAppendsDoNotHoldStartsBack(t *testing.T) {
	is := is.New(t)
	p := New(25_000_000, 0.8)
	const cost, appends = 1000, 240 * time.Millisecond
	planned := 0
	for p.StartBudget(appends) > 0 && planned < 1_000_000 {
		p.StartPlanned(cost)
		planned += cost
	}
	is.True(float64(planned)/appends.Seconds() > 700*cost) // starts a second at a crest
	is.Equal(p.StartBudget(0), 0)
	is.True(p.StartAllowed()) // nothing is under way
}

// A large VM that ran several times slower answered late whatever was under way,
// and was left with four calls at a time.
func TestLargeVMsKeepSomeCalls(t *testing.T) {
	is := is.New(t)
	p := New(25_000_000, 0.8)
	now := start
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		p.CallSent(1000)
		p.CallFinished(now, 1000, 300*time.Millisecond, true)
	}
	is.True(p.Limit() >= 15_000)
}

// Short bursts after calm seconds were refused: the rate was that of the calm.
func TestBurstsSayNothingAboutTheRate(t *testing.T) {
	is := is.New(t)
	p := New(25_000_000, 0.8)
	now := start
	for range 300 { // 30 s of 100 starts a second, each period ends with a burst
		p.SetThrottled(false)
		for range 10 {
			now = now.Add(10 * time.Millisecond)
			p.StartPlanned(800)
			p.StartSent(0, 800)
			p.SetThrottled(true)
			p.CallFinished(now, 800, 5*time.Millisecond, true)
		}
	}
	over, _ := p.Overloaded(0, Backlog{Ahead: 150_000, Total: 150_000, MaxWait: 1400 * time.Millisecond})
	is.True(!over)
}
