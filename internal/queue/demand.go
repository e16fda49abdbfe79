package queue

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// demandTick is the length of one measurement of arrivals. Demand may
	// triple within 2 s, so a tick is a part of that.
	demandTick = time.Second
	// demandAhead limits the run time that one arrival is counted with. Longer
	// tasks build up demand slowly, and are seen as running ones by then.
	demandAhead = 2 * time.Second
	// milli is the scale of the remembered demand, so that its decay in whole
	// numbers works for small amounts too.
	milli = 1000
	// idleTicks is the time without calls, in ticks per HeadroomMemory, after
	// which the remembered demand is dropped instead of decayed step by step.
	idleTicks = 8
)

// demand follows the resources that interactive work needs.
type demand struct {
	waiting model.Resources // of waiting items
	tick    model.Time      // start of the present tick
	arrived model.Resources // arrivals of this tick times expected run time, per tick
	peak    model.Resources // highest recent demand in thousandths, decaying
}

// RecordArrival notes an interactive item at its arrival, whether or not it is
// queued. Other classes are ignored.
func (q *Queue) RecordArrival(it *Item, now model.Time) {
	if it.Class != model.ClassInteractive {
		return
	}
	q.demand.advance(q, now)
	run := min(q.stats.assumed(it.Service, it.Operation, it.Class), demandAhead)
	// Little's law: arrivals per second times run time is what runs at once.
	q.demand.arrived = q.demand.arrived.Add(it.Resources.Scale(int64(run * milli / demandTick)))
	q.demand.raise(q)
}

// Headroom returns what to keep free for interactive work: the highest recent
// demand with a margin, less what interactive tasks hold already. It rises at
// once with demand and falls slowly.
func (q *Queue) Headroom(now model.Time) model.Resources {
	q.demand.advance(q, now)
	q.demand.raise(q)
	if q.cfg.FIFO {
		return model.Resources{}
	}
	margin := int64(q.cfg.HeadroomMargin * milli)
	p := q.demand.peak
	for _, c := range [...]*int64{&p.MilliCPU, &p.MemoryMB, &p.Accelerators, &p.Slots, &p.Connections} {
		*c = (*c*(milli+margin)/milli + milli - 1) / milli
	}
	return p.Sub(q.running.use).Max(model.Resources{})
}

// raise lifts the peak to the present demand.
func (d *demand) raise(q *Queue) {
	d.peak = d.peak.Max(d.arrived).Max(d.waiting.Add(q.running.use).Scale(milli))
}

// advance moves to the tick that holds now and decays the peak.
func (d *demand) advance(q *Queue, now model.Time) {
	ticks := int64(now.Sub(d.tick) / demandTick)
	if ticks <= 0 {
		return
	}
	d.tick = d.tick.Add(time.Duration(ticks) * demandTick)
	d.arrived = model.Resources{}
	memory := max(int64(q.cfg.HeadroomDecay/demandTick), 1)
	if ticks > idleTicks*memory {
		d.peak = model.Resources{}
		return
	}
	for ; ticks > 0; ticks-- {
		for _, c := range [...]*int64{&d.peak.MilliCPU, &d.peak.MemoryMB, &d.peak.Accelerators, &d.peak.Slots, &d.peak.Connections} {
			*c -= (*c + memory - 1) / memory
		}
	}
}

// TypicalRunTime returns the typical run time of an operation, zero if none was
// observed.
func (q *Queue) TypicalRunTime(service, operation string) time.Duration {
	if o := q.stats.ops[opKey{service, operation}]; o != nil && o.runs.len() > 0 {
		return o.runs.typical()
	}
	return 0
}

// PredictedWait returns the time until it is likely to be placed, given what is
// free in total. The items before it take what is free first; the rest waits
// for the ends that are expected of running tasks other than stragglers. The
// result is zero without evidence for a wait.
func (q *Queue) PredictedWait(it *Item, now model.Time, free model.Resources) time.Duration {
	if q.cfg.FIFO {
		return 0
	}
	q.running.promote(q, now)
	ahead := int64(0)
	own := rank(&entry{it: it, deadline: it.Deadline}, q.stats.assumed(it.Service, it.Operation, it.Class))
	for _, class := range classOrder {
		for _, f := range q.order[class] {
			if h := f.head(); h != nil && (class != it.Class || rank(h, q.stats.assumedOf(q.opOf(f), class)) <= own) {
				ahead += int64(f.live)
			}
		}
		if class == it.Class {
			break
		}
	}
	ahead -= times(it.Resources, free)
	if ahead < 0 || q.running.drain <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / float64(q.running.drain) * float64(drainUnit))
}

// times returns how often need fits into free.
func times(need, free model.Resources) int64 {
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

// Forecast returns the expected time until a job's remaining tasks, the running
// ones among them, have finished: the remaining work at the rate of the tasks
// that run now. The mean run time is used, since the sum over many tasks
// contains its share of stragglers. While nothing of the job runs, no rate is
// observed, and the result is the least time that all slots would need. It is
// zero if the run time is unknown.
func (q *Queue) Forecast(job model.JobID, remaining int, service, operation string, running int, now model.Time) time.Duration {
	o := q.stats.ops[opKey{service, operation}]
	if o == nil || remaining <= 0 {
		return 0
	}
	rate := running
	if rate <= 0 {
		rate = int(max(q.running.slots, 1))
	}
	mean := o.runs.mean()
	return max(mean, time.Duration(float64(mean)*float64(remaining)/float64(rate)))
}
