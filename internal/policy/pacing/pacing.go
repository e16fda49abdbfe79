// Package pacing decides how many calls an owner may have in flight to its workers.
//
// It handles bursts of starts on a narrow link or a slow processor. Calls that are sent
// without a limit queue behind each other until their timeouts expire. Each expired
// call then costs a stop and a new connection, which queue as well, so the instance
// keeps sending at its limit while little of the traffic is useful. Work that waits in
// the scheduler instead is sent in the order of its rank.
package pacing

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Approximate costs of calls in bytes on the wire, without their variable parts.
const (
	// StartCost is the cost of a start without its payload: headers, task, lease and
	// acknowledgements.
	StartCost = 500
	// StopCost is the cost of a stop.
	StopCost = 400
	// RenewCost is the cost of a renewal that is answered at once.
	RenewCost = 400
)

const (
	// slowThreshold is the response time above which a call is taken to have queued
	// behind others. Workers answer within milliseconds; the remainder covers the
	// processing on an instance with an eighth of a core. It is below the timeout of a
	// start and the slack of urgent work.
	slowThreshold = 150 * time.Millisecond
	// initialQueueTime is how long the link takes to send, and the processor to handle,
	// the bytes of the initial limit.
	initialQueueTime = 50 * time.Millisecond
	// bytesPerCoreSecond is the number of bytes of starts that one core handles in a
	// second, together with the renewals, run ends and entries that they cause.
	bytesPerCoreSecond = 1_500_000
	// adjustPeriod is the minimum interval between adjustments of the limit.
	adjustPeriod = 100 * time.Millisecond
	// minAnswers is the smallest number of answers that allows an adjustment. A period
	// is extended until it has as many.
	minAnswers = 3
	// shrinkFactor and growFactor change the limit. Growth is slower, so that the limit
	// settles.
	shrinkFactor = 0.7
	growFactor   = 1.1
	// minGrowth is the minimum increase in bytes, so that a small limit recovers
	// quickly.
	minGrowth = 1000
	// minLimit, in bytes, allows a few calls whatever the response times are, since
	// only answers show that the link is free again. floorShare of the initial limit,
	// up to maxFloor, lets an instance continue whose own VM is slow. On a link of 2
	// Mbit/s, maxFloor is sent in less than a tenth of a second.
	minLimit   = 4 << 10
	floorShare = 0.25
	maxFloor   = 16 << 10
	// maxLimit, in bytes, is above what bursts need on sites with wide links. A link of
	// 40 Mbit/s sends it in about a tenth of a second.
	maxLimit = 512 << 10
	// bytesPerEligibilityCall is the part of the limit that allows one eligibility call
	// in flight. A new owner has work for hundreds of them.
	bytesPerEligibilityCall = 1000
	// minEligibilityCalls allows the usual number of calls on a small site.
	minEligibilityCalls = 16
	// maxPlanAhead bounds how many times the limit may be planned while the placements
	// wait for a slow store.
	maxPlanAhead = 8
	// minRenewals is the minimum number of concurrent renewals at
	// unresponsive workers.
	minRenewals = 8
	// stopFactor times the limit may be in flight while stops are sent. Stops free
	// capacity and must not queue behind starts.
	stopFactor = 2
	// latencyWeight is the weight of one answer in the smoothed latency.
	latencyWeight = 0.1
	// startWeight is the weight of one start in the smoothed duration of starts and in its
	// mean deviation, and startDeviations how many deviations StartMargin adds.
	startWeight     = 0.05
	startDeviations = 4
	// minStartMargin covers storing a placement and sending its start on an idle site.
	// maxStartMargin is far below the validity of permits, so that some can be used.
	minStartMargin = 150 * time.Millisecond
	maxStartMargin = time.Second
	// timeoutFactor times the smoothed latency is the shortest timeout of a call.
	timeoutFactor = 4
	// maxBackoff bounds the growth of timeouts while most calls time out. Late answers
	// are still useful; abandoned calls only cause further ones.
	maxBackoff = 4
	// maxTimeout bounds timeouts, except that of a call that usually takes longer. A
	// broken connection to a worker has to be detected while its tasks can still be in
	// time.
	maxTimeout = time.Second
	// renewalPauseFactor times the smoothed latency separates renewals at one worker
	// when calls are slow, so that one answer reports several ends of runs.
	renewalPauseFactor = 3
	// maxRenewalPause is far below the lease duration and the slack of urgent work.
	maxRenewalPause = 400 * time.Millisecond
	// rateWeight is the weight of one period in the smoothed rate.
	rateWeight = 0.2
	// batchDivisor and maxBatchDelay determine the batch delay: the smoothed latency
	// divided by batchDivisor, up to maxBatchDelay.
	batchDivisor  = 8
	maxBatchDelay = 20 * time.Millisecond
	// maxStartWait is how long work may wait until its starts are sent. Work that would
	// wait longer is refused, and its caller submits it again later.
	maxStartWait = 8 * time.Second
	// maxBacklogTime is how long it may take to send all accepted work before urgent
	// work is limited to its share. Callers expect accepted work to start within 14 s
	// of the last submission.
	maxBacklogTime = 10 * time.Second
	// minRateShare of the rate is left for every priority, since urgent work comes in
	// waves.
	minRateShare = 0.1
	// urgentShare is the share of the rate for urgent work while other accepted work
	// waits.
	urgentShare = 0.5
	// retryAfterShare of the expected wait is the time after which a refused caller is
	// to retry. A good part of the backlog has been sent by then, and other callers
	// retry as well.
	retryAfterShare = 0.5
	minRetryAfter   = time.Second
	maxRetryAfter   = 4 * time.Second
)

// Pacer limits the calls in flight of one owner. It is not safe for concurrent use.
type Pacer struct {
	limit        float64 // bytes that may be in flight
	floor        float64 // lower bound of limit
	inFlight     int     // bytes of calls in flight
	planned      int     // bytes of starts that are planned but not sent
	latency      time.Duration
	startTime    time.Duration // from a placement to the answer to its start, smoothed
	startSpread  time.Duration // mean deviation from it
	backoff      time.Duration // factor of timeouts
	periodStart  model.Time
	quickAnswers int // answers in the period
	slowAnswers  int
	limitReached bool        // in the period
	throttled    bool        // work waits because of the limit
	startBytes   map[int]int // sent in the period, by priority
	// startRate is the smoothed rate of starts in bytes a second while work is
	// throttled, and rateShares holds the share of each priority.
	startRate  float64
	rateShares map[int]float64
}

// New returns a Pacer for an instance with the given bandwidth in bytes a second and
// number of cores; zero if they are unknown.
func New(bandwidth int64, cores float64) *Pacer {
	rate := maxLimit / initialQueueTime.Seconds()
	if bandwidth > 0 {
		rate = min(rate, float64(bandwidth))
	}
	if cores > 0 {
		rate = min(rate, cores*bytesPerCoreSecond)
	}
	limit := max(rate*initialQueueTime.Seconds(), minLimit)
	return &Pacer{
		limit: limit, floor: min(max(floorShare*limit, minLimit), maxFloor), backoff: 1,
		startBytes: map[int]int{}, startRate: rate, rateShares: map[int]float64{},
	}
}

// StartBudget returns how many bytes of starts may be planned. Planned starts are sent
// after an append, which usually takes appendTime.
func (p *Pacer) StartBudget(appendTime time.Duration) int {
	ahead := min(1+float64(appendTime)/float64(initialQueueTime), maxPlanAhead)
	return max(0, int(ahead*p.limit)-p.inFlight-p.planned)
}

// StartAllowed reports whether a planned start may be sent.
func (p *Pacer) StartAllowed() bool { return p.inFlight < int(p.limit) }

// StopAllowed reports whether a stop may be sent.
func (p *Pacer) StopAllowed() bool { return p.inFlight+StopCost <= int(stopFactor*p.limit) }

// MaxEligibilityCalls returns how many eligibility calls may be in flight. A part is
// reserved for urgent work, since calls for other work take long.
func (p *Pacer) MaxEligibilityCalls(urgent bool) int {
	n := max(minEligibilityCalls, int(p.limit)/bytesPerEligibilityCall)
	if !urgent {
		n -= n / 4
	}
	return n
}

// MaxUnresponsiveRenewals returns how many renewals may be in flight to workers that
// did not answer before. They usually wait until their timeouts, so they have a limit
// of their own.
func (p *Pacer) MaxUnresponsiveRenewals() int { return max(minRenewals, int(p.limit)/RenewCost) }

// CallSent records a call that is sent.
func (p *Pacer) CallSent(cost int) { p.inFlight += cost }

// StartPlanned records a start that is to be sent.
func (p *Pacer) StartPlanned(cost int) { p.planned += cost }

// StartDropped records that a planned start will not be sent.
func (p *Pacer) StartDropped(cost int) { p.planned -= cost }

// StartSent records that a planned start of the given priority is sent.
func (p *Pacer) StartSent(priority, cost int) {
	p.planned -= cost
	p.inFlight += cost
	p.startBytes[priority] += cost
}

// CallFinished records the end of a call after the time it took, with or without an
// answer.
func (p *Pacer) CallFinished(now model.Time, cost int, took time.Duration, answered bool) {
	if !p.StartAllowed() {
		p.limitReached = true
	}
	p.inFlight -= cost
	if answered {
		p.latency += time.Duration(latencyWeight * float64(took-p.latency))
	}
	if took > slowThreshold {
		p.slowAnswers++
	} else {
		p.quickAnswers++
	}
	if now.Sub(p.periodStart) >= adjustPeriod && p.quickAnswers+p.slowAnswers >= minAnswers {
		p.adjustLimit(now)
	}
}

// StartFinished records how long after its placement a start was answered.
func (p *Pacer) StartFinished(took time.Duration) {
	took = min(took, maxStartMargin)
	deviation := took - p.startTime
	p.startTime += time.Duration(startWeight * float64(deviation))
	p.startSpread += time.Duration(startWeight * float64(max(deviation, -deviation)-p.startSpread))
}

// StartMargin returns how long after a placement almost every start has been answered.
func (p *Pacer) StartMargin() time.Duration {
	return min(max(p.startTime+startDeviations*p.startSpread, minStartMargin), maxStartMargin)
}

// adjustLimit adapts the limit to the answers of a period. The majority decides, since
// a few workers that do not answer say nothing about the instance.
func (p *Pacer) adjustLimit(now model.Time) {
	switch {
	case p.slowAnswers > p.quickAnswers:
		p.limit = max(p.limit*shrinkFactor, p.floor)
		p.backoff = min(2*p.backoff, maxBackoff)
	case p.quickAnswers > p.slowAnswers:
		p.backoff = max(p.backoff/2, 1)
		if p.limitReached {
			p.limit = min(max(p.limit*growFactor, p.limit+minGrowth), maxLimit)
		}
	}
	if p.limitReached && p.throttled {
		p.measureStartRate(now.Sub(p.periodStart))
	}
	clear(p.startBytes)
	p.periodStart, p.quickAnswers, p.slowAnswers, p.limitReached = now, 0, 0, false
}

// measureStartRate updates the rate from a period in which calls reached the limit and
// work was throttled. Other periods, such as the one in which a burst arrives, say
// nothing about the rate.
func (p *Pacer) measureStartRate(d time.Duration) {
	total := 0
	for priority, bytes := range p.startBytes {
		total += bytes
		p.rateShares[priority] += 0 // adds the priority if it is new
	}
	if total == 0 {
		return // the limit was reached by other calls
	}
	p.startRate = max(p.startRate+rateWeight*(float64(total)/d.Seconds()-p.startRate), 1)
	for priority, share := range p.rateShares {
		p.rateShares[priority] += rateWeight * (float64(p.startBytes[priority])/float64(total) - share)
	}
}

// SetThrottled records whether work waits because of the limit.
func (p *Pacer) SetThrottled(throttled bool) { p.throttled = throttled }

// Timeout returns the timeout of a call that usually takes up to the given time. It
// includes the time to send what is already in flight, for example the starts of a wide
// gang.
func (p *Pacer) Timeout(usual time.Duration) time.Duration {
	before := time.Duration(float64(p.inFlight) / p.startRate * float64(time.Second))
	return max(usual, min(p.backoff*max(usual, timeoutFactor*p.latency)+before, maxTimeout))
}

// RenewalPause returns the minimum pause between renewals at one worker.
func (p *Pacer) RenewalPause() time.Duration {
	if p.latency < slowThreshold/2 {
		return 0
	}
	return min(renewalPauseFactor*p.latency, maxRenewalPause)
}

// BatchDelay returns how long work for the store and for workers is collected before it
// is sent, so that a busy instance sends fewer and larger messages.
func (p *Pacer) BatchDelay() time.Duration {
	if p.latency < slowThreshold/4 {
		return 0
	}
	return min(p.latency/batchDivisor, maxBatchDelay)
}

// Backlog is the work that waits to be sent, in bytes of starts.
type Backlog struct {
	Ahead int // work that is sent before the work in question, including it
	Total int
	// MaxWait is how long the work in question may wait until its result is useless.
	MaxWait time.Duration
}

// Overloaded reports whether work of the given priority must be refused, and the delay
// after which its caller is to retry. More urgent work that arrives in the meantime is
// sent first. While other accepted work waits too long, a priority and those above it
// get at most half of the rate, so that all accepted work is finished eventually.
func (p *Pacer) Overloaded(priority int, b Backlog) (bool, time.Duration) {
	if !p.throttled {
		return false, 0
	}
	above, own := 0.0, 0.0 // shares of the rate
	for other, share := range p.rateShares {
		switch {
		case other < priority:
			above += share
		case other == priority:
			own += share
		}
	}
	wait := p.sendTime(b.Ahead, 1-above)
	all := p.sendTime(b.Total, 1)
	if wait <= min(maxStartWait, b.MaxWait) && (all <= maxBacklogTime || above+own <= urgentShare) {
		return false, 0
	}
	return true, min(max(time.Duration(retryAfterShare*float64(max(wait, all))), minRetryAfter), maxRetryAfter)
}

// SendTime returns how long it takes to send the bytes if nothing else is sent.
func (p *Pacer) SendTime(bytes int) time.Duration { return p.sendTime(bytes, 1) }

// sendTime returns how long it takes to send the bytes at the given share of the rate.
func (p *Pacer) sendTime(bytes int, share float64) time.Duration {
	return time.Duration(float64(bytes) / (p.startRate * max(share, minRateShare)) * float64(time.Second))
}

// Limit returns the number of bytes that may be in flight.
func (p *Pacer) Limit() int { return int(p.limit) }

// Latency returns the smoothed time to an answer.
func (p *Pacer) Latency() time.Duration { return p.latency }
