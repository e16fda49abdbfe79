package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

const start = model.Time(time.Hour)

// runLink sends calls of the given cost, as many as the pacer allows at a time, over a
// link with the given rate in bytes a second. It returns the bytes sent and the longest
// wait for an answer.
func runLink(p *Pacer, rate float64, cost int, d time.Duration) (sent int, longest time.Duration) {
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

// Guards against starts on a narrow link that queue for seconds, far beyond their
// timeouts, because their number is not limited.
func TestLimitFollowsLinkRate(t *testing.T) {
	for _, c := range []struct {
		name      string
		bandwidth int64 // as configured
		rate      float64
	}{
		{"2 Mbit/s", 250_000, 250_000},
		{"10 Mbit/s", 1_250_000, 1_250_000},
		{"unknown rate, 2 Mbit/s", 0, 250_000},
		{"the processor is slower than the link", 25_000_000, 250_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New(c.bandwidth, 0)
			runLink(p, c.rate, 1000, 2*time.Second) // settles the limit
			sent, longest := runLink(p, c.rate, 1000, 10*time.Second)
			is.True(longest < 200*time.Millisecond)             // the timeout of a start
			is.True(float64(sent) > 0.9*10*c.rate)              // the link is used
			is.True(p.Timeout(time.Millisecond) <= time.Second) // timeouts stay bounded
		})
	}
}

// Guards against fixed timeouts on a busy instance: each expired call costs a stop and
// a new connection, which add to its load.
func TestTimeoutsGrowWithoutAnswers(t *testing.T) {
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
	is.True(p.StartBudget(0) > 0) // a few calls are always allowed
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		p.CallSent(1000)
		p.CallFinished(now, 1000, 5*time.Millisecond, true)
	}
	is.Equal(p.Timeout(200*time.Millisecond), 200*time.Millisecond)
}

// A few workers that do not answer must not slow down the work for all others.
func TestUnresponsiveWorkersDoNotShrinkLimit(t *testing.T) {
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

// Guards against a leak in the accounting: planned starts that are dropped and calls
// without an answer release their bytes.
func TestStartBudgetIsReleased(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0)
	budget := p.StartBudget(0)
	p.StartPlanned(700)
	p.StartDropped(700)
	p.CallSent(900)
	p.CallFinished(start, 900, time.Millisecond, false)
	is.True(p.StartBudget(0) >= budget)
}

// Stops free capacity, so they are still sent when starts have to wait, up to a limit
// of their own.
func TestStopsExceedStartLimit(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0)
	p.CallSent(p.Limit())
	is.Equal(p.StartBudget(0), 0)
	is.True(!p.StartAllowed())
	is.True(p.StopAllowed())
	p.CallSent(p.Limit())
	is.True(!p.StopAllowed())
}

// Work that would wait too long to be sent is refused with a retry delay; work that
// arrives in a short burst is not.
func TestOverloaded(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0)
	over, _ := p.Overloaded(0, Backlog{Ahead: 1 << 30, Total: 1 << 30, MaxWait: time.Minute})
	is.True(!over) // nothing waits
	runLink(p, 250_000, 1000, 3*time.Second)
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

// Guards against a new owner that accepts too much on top of a large backlog, because
// it has not measured its rate yet.
func TestNewOwnerRefusesOverload(t *testing.T) {
	is := is.New(t)
	p := New(250_000, 0.12)
	p.SetThrottled(true)
	over, _ := p.Overloaded(0, Backlog{Ahead: 3_000_000, Total: 3_000_000, MaxWait: time.Minute})
	is.True(over)
}

// newMixedPacer returns a pacer at its limit, with the given share of urgent starts.
func newMixedPacer(urgentOfTen int) *Pacer {
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

// Guards against batch work that is accepted although urgent work that arrives later
// takes the rate it counts on.
func TestOverloadedCountsUrgentShare(t *testing.T) {
	is := is.New(t)
	p := newMixedPacer(9)
	over, _ := p.Overloaded(0, Backlog{Ahead: 10_000, Total: 1_000_000, MaxWait: time.Minute}) // 4 s
	is.True(!over)
	over, _ = p.Overloaded(1, Backlog{Ahead: 1_000_000, Total: 1_000_000, MaxWait: time.Minute}) // 40 s at the rate that urgent work leaves
	is.True(over)
}

// Guards against starvation of accepted work that has become late, behind new urgent
// work.
func TestUrgentWorkLeavesHalfToBacklog(t *testing.T) {
	is := is.New(t)
	late := Backlog{Ahead: 10_000, Total: 4_000_000, MaxWait: time.Minute} // 16 s
	over, _ := newMixedPacer(9).Overloaded(0, late)
	is.True(over)
	over, _ = newMixedPacer(4).Overloaded(0, late)
	is.True(!over)
}

// Guards against a busy instance that spends much of its processor on many small
// appends and steps.
func TestBatchDelayOfBusyInstance(t *testing.T) {
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
	is.Equal(p.BatchDelay(), time.Duration(0)) // urgent work is not delayed
	answer(120 * time.Millisecond)
	is.True(p.BatchDelay() >= 10*time.Millisecond && p.BatchDelay() <= 20*time.Millisecond)
}

// Guards against an owner with few calls whose timeouts never grow although all answers
// are late: two slow answers in a period were too few for an adjustment.
func TestTimeoutsGrowWithFewCalls(t *testing.T) {
	is := is.New(t)
	p := New(0, 0.12)
	now := start
	for range 100 { // ten seconds
		for range 2 {
			now = now.Add(adjustPeriod / 2)
			p.CallSent(1000)
			p.CallFinished(now, 1000, 200*time.Millisecond, false)
		}
	}
	is.True(p.Timeout(200*time.Millisecond) > 200*time.Millisecond)
}

// Guards against refused submissions after many cancellations, or when a new owner
// renews all workers: periods in which other calls reached the limit, so that no start
// could be sent, lowered the rate of starts.
func TestStartRateIgnoresOtherCalls(t *testing.T) {
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
	// What the link and processor send in a tenth of a second.
	over, _ := p.Overloaded(0, Backlog{Ahead: 60_000, Total: 60_000, MaxWait: 3 * time.Second})
	is.True(!over)
}

// Guards against a slow store that throttles starts although nothing is in flight: with
// appends of a quarter second, all starts of one append had to fit into the limit of
// calls in flight, which allowed 60 of them.
func TestSlowAppendsDoNotThrottleStarts(t *testing.T) {
	is := is.New(t)
	p := New(25_000_000, 0.8)
	const cost, appends = 1000, 240 * time.Millisecond
	planned := 0
	for p.StartBudget(appends) > 0 && planned < 1_000_000 {
		p.StartPlanned(cost)
		planned += cost
	}
	is.True(float64(planned)/appends.Seconds() > 700*cost) // starts a second at peak load
	is.Equal(p.StartBudget(0), 0)
	is.True(p.StartAllowed()) // nothing is in flight
}

// Guards against a limit of only four calls on a large VM that is several times slower
// than usual: its answers are late however few calls are in flight.
func TestLargeVMKeepsMinimumLimit(t *testing.T) {
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

// Guards against refused bursts after a quiet period: the low rate of the quiet seconds
// was taken for the instance's rate.
func TestStartRateIgnoresBursts(t *testing.T) {
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

// Guards against permits that expire between a placement and its start while starts are
// slow, and against a margin that uses up a permit's validity.
func TestStartMarginFollowsSlowStarts(t *testing.T) {
	is := is.New(t)
	p := New(0, 1)
	is.Equal(p.StartMargin(), minStartMargin)
	for range 100 {
		p.StartFinished(20 * time.Millisecond)
	}
	is.Equal(p.StartMargin(), minStartMargin)
	for i := range 100 {
		p.StartFinished(time.Duration(200+100*(i%3)) * time.Millisecond)
	}
	is.True(p.StartMargin() >= 400*time.Millisecond) // the slowest of them
	for range 100 {
		p.StartFinished(time.Minute)
	}
	is.Equal(p.StartMargin(), maxStartMargin)
}
