// Package pacing decides how much an owner may have under way to its workers.
//
// It answers a burst of starts on a narrow link or a slow processor. Calls that
// are sent regardless queue behind each other until their timeouts pass; each of
// them then costs a stop and a new connection, which queue as well, and the
// instance sends at its limit for ever while little of it is of use. Work that
// waits here instead is sent in the order of its rank.
package pacing

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Costs of calls in bytes on the wire, about, without what is particular to one.
const (
	// StartCost is that of a start without its payload: headers, task, lease and
	// acknowledgements.
	StartCost = 500
	// StopCost is that of a stop.
	StopCost = 400
	// RenewCost is that of a renewal that is answered at once.
	RenewCost = 400
)

const (
	// slowAfter is the time to an answer from which on a call has waited behind
	// others. Workers answer within milliseconds; the rest of it covers the way
	// through an instance of an eighth of a core, and it is below the timeout of a
	// start and the slack of urgent work.
	slowAfter = 150 * time.Millisecond
	// initialQueue is the time in which the link sends the first limit, and the
	// processor works it off.
	initialQueue = 50 * time.Millisecond
	// coreRate is the bytes of starts a second that a core works off, with the
	// renewals, ends and entries that come with them.
	coreRate = 1_500_000
	// period is the time after which the limit is judged.
	period = 100 * time.Millisecond
	// minAnswers is the number of answers that says anything. A period lasts until
	// there are as many.
	minAnswers = 3
	// shrink and grow change the limit; growth is slower, so that it settles.
	shrink = 0.7
	grow   = 1.1
	// growBytes is added at least, so that a small limit recovers soon.
	growBytes = 1000
	// minLimit lets a few calls through whatever the answers say, since only
	// answers tell that the way is free again; floorShare of the first limit, up to
	// maxFloor, lets a VM that is slowed itself go on. The last is in a tenth of a
	// second on 2 Mbit/s.
	minLimit   = 4 << 10
	floorShare = 0.25
	maxFloor   = 16 << 10
	// maxLimit is above what bursts on sites with wide links need, and in a
	// tenth of a second on 40 Mbit/s.
	maxLimit = 512 << 10
	// askShare is the part of the limit, in bytes, for which one eligibility call
	// may be under way. A new owner has work for hundreds of them.
	askShare = 1000
	// minAsks lets the usual work of a small site through.
	minAsks = 16
	// maxAhead bounds how many times the limit may be planned while a slow store
	// takes the placements.
	maxAhead = 8
	// minLost lets a few of the workers that do not answer be asked at a time.
	minLost = 8
	// stopShare times the limit may be under way with stops, which free room and
	// must not wait behind starts.
	stopShare = 2
	// delayWeight is the weight of one answer in the usual delay.
	delayWeight = 0.1
	// timeoutFactor times the usual delay is waited at least for an answer.
	timeoutFactor = 4
	// maxBackoff bounds the growth of timeouts while most calls have no answer in
	// time. Late answers are of use; calls that are given up only add others.
	maxBackoff = 4
	// maxTimeout bounds the wait for an answer. The way to a worker that is gone
	// has to be noticed while its tasks can be in time.
	maxTimeout = time.Second
	// spacingFactor times the usual delay separates renewals at one worker when
	// calls are slow; several ends are then told by one answer.
	spacingFactor = 3
	// maxSpacing stays far below leases and below the patience of urgent work.
	maxSpacing = 400 * time.Millisecond
	// rateWeight is the weight of one period in the rate.
	rateWeight = 0.2
	// batchPart of the usual delay is spent on gathering, up to maxBatching.
	batchPart   = 8
	maxBatching = 20 * time.Millisecond
	// longestWait is how long work may wait for its turn to be sent. What would
	// wait longer is better handed in again later.
	longestWait = 8 * time.Second
	// longestBacklog is how long all accepted work may take to be sent before urgent
	// work is held to its share. Callers expect accepted work to have begun within
	// 14 s of the last submission.
	longestBacklog = 10 * time.Second
	// leastShare of the rate is left for any work: urgent work comes in waves.
	leastShare = 0.1
	// urgentShare is what urgent work gets while other accepted work waits.
	urgentShare = 0.5
	// retryShare of the expected wait is when a caller should come back: by then
	// a good part of what was ahead is gone, and others come back as well.
	retryShare = 0.5
	minRetry   = time.Second
	maxRetry   = 4 * time.Second
)

// Pacer is the state of the decision. It is not safe for concurrent use.
type Pacer struct {
	limit   float64 // bytes that may be under way
	floor   float64 // of limit
	under   int     // bytes of calls under way
	planned int     // bytes of starts to be sent
	delay   time.Duration
	backoff time.Duration // factor of timeouts
	began   model.Time    // of the period
	quick   int           // answers in the period
	slow    int
	full    bool        // the limit was reached in the period
	held    bool        // work was held back
	starts  map[int]int // bytes of starts that were added in the period, by priority
	// rate is the bytes of starts a second while work is held back, and shares that
	// of each priority.
	rate   float64
	shares map[int]float64
}

// New returns the state of an instance whose link has a rate in bytes a second,
// and that has a number of cores; zero if they are not known.
func New(bandwidth int64, cores float64) *Pacer {
	rate := maxLimit / initialQueue.Seconds()
	if bandwidth > 0 {
		rate = min(rate, float64(bandwidth))
	}
	if cores > 0 {
		rate = min(rate, cores*coreRate)
	}
	limit := max(rate*initialQueue.Seconds(), minLimit)
	return &Pacer{
		limit: limit, floor: min(max(floorShare*limit, minLimit), maxFloor), backoff: 1,
		starts: map[int]int{}, rate: rate, shares: map[int]float64{},
	}
}

// StartBudget returns how many bytes of starts may be planned, which are sent after an
// append that usually takes a time.
func (p *Pacer) StartBudget(appends time.Duration) int {
	ahead := min(1+float64(appends)/float64(initialQueue), maxAhead)
	return max(0, int(ahead*p.limit)-p.under-p.planned)
}

// StartAllowed reports whether a start that was planned may be sent.
func (p *Pacer) StartAllowed() bool { return p.under < int(p.limit) }

// StopAllowed reports whether a stop may be sent.
func (p *Pacer) StopAllowed() bool { return p.under+StopCost <= int(stopShare*p.limit) }

// MaxEligibilityCalls returns how many eligibility calls may be under way. Urgent work may use
// what other work leaves, whose calls take long.
func (p *Pacer) MaxEligibilityCalls(urgent bool) int {
	n := max(minAsks, int(p.limit)/askShare)
	if !urgent {
		n -= n / 4
	}
	return n
}

// MaxUnresponsiveRenewals returns how many renewals may be under way to workers that did not answer
// before. They wait for their timeouts, so that they don't count with the rest.
func (p *Pacer) MaxUnresponsiveRenewals() int { return max(minLost, int(p.limit)/RenewCost) }

// CallSent notes a call that is sent.
func (p *Pacer) CallSent(cost int) { p.under += cost }

// StartPlanned notes a start that is to be sent.
func (p *Pacer) StartPlanned(cost int) { p.planned += cost }

// StartDropped notes that a planned start is not sent after all.
func (p *Pacer) StartDropped(cost int) { p.planned -= cost }

// StartSent notes that a planned start of work of a priority is sent.
func (p *Pacer) StartSent(priority, cost int) {
	p.planned -= cost
	p.under += cost
	p.starts[priority] += cost
}

// CallFinished notes that a call is over after a time, with or without an answer.
func (p *Pacer) CallFinished(now model.Time, cost int, took time.Duration, answer bool) {
	if !p.StartAllowed() {
		p.full = true
	}
	p.under -= cost
	if answer {
		p.delay += time.Duration(delayWeight * float64(took-p.delay))
	}
	if took > slowAfter {
		p.slow++
	} else {
		p.quick++
	}
	if now.Sub(p.began) >= period && p.quick+p.slow >= minAnswers {
		p.judge(now)
	}
}

// judge adapts the limit to the answers of a period. The majority counts: a
// few workers that do not answer say nothing about the instance.
func (p *Pacer) judge(now model.Time) {
	switch {
	case p.slow > p.quick:
		p.limit = max(p.limit*shrink, p.floor)
		p.backoff = min(2*p.backoff, maxBackoff)
	case p.quick > p.slow:
		p.backoff = max(p.backoff/2, 1)
		if p.full {
			p.limit = min(max(p.limit*grow, p.limit+growBytes), maxLimit)
		}
	}
	if p.full && p.held {
		p.measure(now.Sub(p.began))
	}
	clear(p.starts)
	p.began, p.quick, p.slow, p.full = now, 0, 0, false
}

// measure takes the starts of a period into account in which calls reached the
// limit and work was held back. The moment at which a burst arrives says nothing
// about the rate.
func (p *Pacer) measure(d time.Duration) {
	total := 0
	for priority, bytes := range p.starts {
		total += bytes
		p.shares[priority] += 0 // is in the map from now on
	}
	if total == 0 {
		return // other calls were at the limit
	}
	p.rate = max(p.rate+rateWeight*(float64(total)/d.Seconds()-p.rate), 1)
	for priority, share := range p.shares {
		p.shares[priority] += rateWeight * (float64(p.starts[priority])/float64(total) - share)
	}
}

// SetThrottled notes whether work is held back.
func (p *Pacer) SetThrottled(held bool) { p.held = held }

// Timeout returns how long an answer is waited for that usually takes up to a
// time. What is under way, a wide gang for one, goes before it.
func (p *Pacer) Timeout(usual time.Duration) time.Duration {
	before := time.Duration(float64(p.under) / p.rate * float64(time.Second))
	return max(usual, min(p.backoff*max(usual, timeoutFactor*p.delay)+before, maxTimeout))
}

// RenewalPause returns the pause between renewals at one worker.
func (p *Pacer) RenewalPause() time.Duration {
	if p.delay < slowAfter/2 {
		return 0
	}
	return min(spacingFactor*p.delay, maxSpacing)
}

// BatchDelay returns for how long work for the store and for workers is gathered
// before it is sent. A busy instance sends fewer and larger messages.
func (p *Pacer) BatchDelay() time.Duration {
	if p.delay < slowAfter/4 {
		return 0
	}
	return min(p.delay/batchPart, maxBatching)
}

// Backlog is the work that waits for its turn to be sent, in bytes of starts.
type Backlog struct {
	Ahead int // goes before the work in question, itself included
	Total int
	// MaxWait is how long the work in question may wait and still be of use.
	MaxWait time.Duration
}

// Overloaded reports whether work of a priority must be refused, and when its
// caller should come back. More urgent work that comes meanwhile goes first as
// well. While other work that was accepted waits for too long, any priority and
// those above it get half of the rate, so that all that was accepted ends.
func (p *Pacer) Overloaded(priority int, b Backlog) (bool, time.Duration) {
	if !p.held {
		return false, 0
	}
	above, own := 0.0, 0.0 // shares of the rate
	for other, share := range p.shares {
		switch {
		case other < priority:
			above += share
		case other == priority:
			own += share
		}
	}
	wait := p.wait(b.Ahead, 1-above)
	all := p.wait(b.Total, 1)
	if wait <= min(longestWait, b.MaxWait) && (all <= longestBacklog || above+own <= urgentShare) {
		return false, 0
	}
	return true, min(max(time.Duration(retryShare*float64(max(wait, all))), minRetry), maxRetry)
}

// wait returns how long it takes to send bytes at a share of the rate.
func (p *Pacer) wait(bytes int, share float64) time.Duration {
	return time.Duration(float64(bytes) / (p.rate * max(share, leastShare)) * float64(time.Second))
}

// Limit returns the bytes that may be under way.
func (p *Pacer) Limit() int { return int(p.limit) }

// Latency returns the usual time to an answer.
func (p *Pacer) Latency() time.Duration { return p.delay }
