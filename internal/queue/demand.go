package queue

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// demandTick is the interval over which arrivals are summed. Demand may triple within
	// 2 s, so the interval is shorter than that.
	demandTick = time.Second
	// maxDemandRunTime caps the run time assumed for one arrival. Longer tasks build up
	// demand slowly, and are counted as running tasks by then.
	maxDemandRunTime = 2 * time.Second
	// peakScale is the number of units per resource unit in the recorded peak, so that
	// integer decay also works for small amounts.
	peakScale = 1000
	// maxIdleDecays is the idle time, as a multiple of HeadroomDecay, after which the
	// recorded peak is reset instead of decayed tick by tick.
	maxIdleDecays = 8
)

// demandTracker tracks the resources that interactive work needs.
type demandTracker struct {
	waiting       model.Resources // sum over waiting items
	tickStart     model.Time      // start of the current tick
	arrivalDemand model.Resources // demand of this tick's arrivals (Little's law), in units of 1/peakScale
	peak          model.Resources // decaying peak demand, in units of 1/peakScale
}

// RecordArrival counts the arrival of an interactive item towards demand, whether or not
// the item is queued. It ignores other classes.
func (q *Queue) RecordArrival(it *Item, now model.Time) {
	if it.Class != model.ClassInteractive {
		return
	}
	q.demand.advance(q, now)
	run := min(q.stats.expectedRunTime(it.Service, it.Operation, it.Class), maxDemandRunTime)
	// Little's law: concurrency is the arrival rate times the run time.
	q.demand.arrivalDemand = q.demand.arrivalDemand.Add(it.Resources.Scale(int64(run * peakScale / demandTick)))
	q.demand.updatePeak(q)
}

// Headroom returns the resources to keep free for interactive work: the highest recent
// demand plus a margin, less what running interactive tasks hold. It rises at once with
// demand and falls slowly.
func (q *Queue) Headroom(now model.Time) model.Resources {
	q.demand.advance(q, now)
	q.demand.updatePeak(q)
	if q.cfg.FIFO {
		return model.Resources{}
	}
	margin := int64(q.cfg.HeadroomMargin * peakScale)
	p := q.demand.peak
	for _, c := range [...]*int64{&p.MilliCPU, &p.MemoryMB, &p.Accelerators, &p.Slots, &p.Connections} {
		*c = (*c*(peakScale+margin)/peakScale + peakScale - 1) / peakScale
	}
	return p.Sub(q.running.interactiveUse).Max(model.Resources{})
}

// updatePeak raises the peak to the current demand.
func (d *demandTracker) updatePeak(q *Queue) {
	d.peak = d.peak.Max(d.arrivalDemand).Max(d.waiting.Add(q.running.interactiveUse).Scale(peakScale))
}

// advance moves to the tick that contains now and decays the peak.
func (d *demandTracker) advance(q *Queue, now model.Time) {
	ticks := int64(now.Sub(d.tickStart) / demandTick)
	if ticks <= 0 {
		return
	}
	d.tickStart = d.tickStart.Add(time.Duration(ticks) * demandTick)
	d.arrivalDemand = model.Resources{}
	decayTicks := max(int64(q.cfg.HeadroomDecay/demandTick), 1)
	if ticks > maxIdleDecays*decayTicks {
		d.peak = model.Resources{}
		return
	}
	for ; ticks > 0; ticks-- {
		for _, c := range [...]*int64{&d.peak.MilliCPU, &d.peak.MemoryMB, &d.peak.Accelerators, &d.peak.Slots, &d.peak.Connections} {
			*c -= (*c + decayTicks - 1) / decayTicks
		}
	}
}

// TypicalRunTime returns the median run time of an operation, or zero if none has been
// observed.
func (q *Queue) TypicalRunTime(service, operation string) time.Duration {
	if o := q.stats.ops[opKey{service, operation}]; o != nil && o.runs.len() > 0 {
		return o.runs.approxMedian()
	}
	return 0
}

// PredictedWait estimates the time until an item is placed, given the total free
// resources. Items ahead of it use the free resources first; the remaining items wait
// for running tasks other than stragglers to end. The result is zero if there is no
// evidence for a wait.
func (q *Queue) PredictedWait(it *Item, now model.Time, free model.Resources) time.Duration {
	if q.cfg.FIFO {
		return 0
	}
	q.running.markOverLimit(q, now)
	ahead := int64(0)
	ownRank := rank(&entry{item: it, deadline: it.Deadline}, q.stats.expectedRunTime(it.Service, it.Operation, it.Class))
	for _, class := range classOrder {
		for _, f := range q.flowsByClass[class] {
			if h := f.head(); h != nil && (class != it.Class || rank(h, q.stats.runTimeFromStats(q.opStatsOf(f), class)) <= ownRank) {
				ahead += int64(f.live)
			}
		}
		if class == it.Class {
			break
		}
	}
	ahead -= fitCount(it.Resources, free)
	if ahead < 0 || q.running.completionRate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / float64(q.running.completionRate) * float64(completionRateUnit))
}

// fitCount returns how many times need fits into free.
func fitCount(need, free model.Resources) int64 {
	need.Slots = max(need.Slots, 1)
	n := int64(1<<62 - 1)
	for _, c := range [...][2]int64{
		{need.MilliCPU, free.MilliCPU}, {need.MemoryMB, free.MemoryMB}, {need.Accelerators, free.Accelerators},
		{need.Slots, free.Slots}, {need.Connections, free.Connections},
	} {
		if c[0] > 0 {
			n = min(n, max(c[1], 0)/c[0])
		}
	}
	return n
}

// Forecast returns the expected time until a job's remaining tasks, including the
// running ones, have finished: the remaining work divided by the number of running
// tasks. It uses the mean run time, since the sum over many tasks includes stragglers.
// While none of the job's tasks runs there is no rate, and the result is the minimum
// time when using all slots. The result is zero if the run time is unknown.
func (q *Queue) Forecast(job model.JobID, remaining int, service, operation string, running int, now model.Time) time.Duration {
	o := q.stats.ops[opKey{service, operation}]
	if o == nil || remaining <= 0 {
		return 0
	}
	rate := running
	if rate <= 0 {
		rate = int(max(q.running.totalSlots, 1))
	}
	mean := o.runs.mean()
	return max(mean, time.Duration(float64(mean)*float64(remaining)/float64(rate)))
}
