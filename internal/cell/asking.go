package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	policy "github.com/gentianpick/gentianpick/internal/policy/eligibility"
)

// advisor is an instance that can make eligibility calls.
type advisor struct {
	name      string
	up        bool
	upSince   model.Time
	cores     float64
	bandwidth int64
	calls     int
	freeFrom  model.Time
}

// queueStats is what was learned of a queue.
type queueStats struct {
	eligible float64 // share of the workers asked about that were eligible
	ratio    float64 // run time over estimate, smoothed
}

// Smoothing of what is learned, as the weight of one new value.
const (
	shareWeight = 0.05
	ratioWeight = 0.02
	// maxRatio bounds one value, so that a straggler does not spoil the mean.
	maxRatio = 4
)

func (c *Cell) stats(queue string) *queueStats {
	s := c.learned[queue]
	if s == nil {
		s = &queueStats{eligible: 0.5, ratio: 1}
		c.learned[queue] = s
	}
	return s
}

// learn compares a run's time with its estimate.
func (c *Cell) learn(g *group, p *placement) {
	if p == nil || p.sentAt == 0 || g.step.EstimateMs <= 0 {
		return
	}
	took := float64(c.now.Sub(p.sentAt).Milliseconds())
	s := c.stats(g.job.queue)
	s.ratio += ratioWeight * (min(took/float64(g.step.EstimateMs), maxRatio) - s.ratio)
	c.observe("run_seconds", g.job.queue, c.now.Sub(p.sentAt))
}

// estimate returns how long a task of a step probably runs.
func (c *Cell) estimate(j *job, s *jobs.Step) time.Duration {
	return c.runTime(j, s.EstimateMs)
}

// runTime returns how long steps of a job probably run whose estimates come to a
// sum in milliseconds.
func (c *Cell) runTime(j *job, estimateMs int64) time.Duration {
	return time.Duration(float64(estimateMs) * c.stats(j.queue).ratio * float64(time.Millisecond))
}

func (c *Cell) advisorChanged(e InstanceChanged) {
	a := c.advisors[e.Name]
	if a == nil {
		a = &advisor{name: e.Name}
		c.advisors[e.Name] = a
		c.advisorList = append(c.advisorList, a)
		// The owner itself comes first: it is kept for quick calls, which then need
		// no message.
		slices.SortFunc(c.advisorList, func(a, b *advisor) int {
			return cmp.Or(-cmp.Compare(isSelf(a, c), isSelf(b, c)), cmp.Compare(a.name, b.name))
		})
	}
	a.up, a.upSince, a.cores, a.bandwidth = e.Up, c.now, e.Cores, e.Bandwidth
	a.calls, a.freeFrom = 0, c.now
}

// askRetry is the pause before a group is asked about again for want of room
// at the workers that are known to be eligible.
const askRetry = 150 * time.Millisecond

// advisorRest is how long an instance whose call failed comes after the others.
// It is above the longest pause between calls for one group.
const advisorRest = 2 * time.Second

// maxAskDoublings bounds the growth of that pause while calls fail.
const maxAskDoublings = 3

// askFor asks which workers may run a group, if a call can help.
func (c *Cell) askFor(g *group, q *jobs.Queue) {
	if g.asking > 0 || g.askedAt != 0 && c.now.Sub(g.askedAt) < askRetry<<min(g.askFailed, maxAskDoublings) {
		return
	}
	if c.asking >= c.pace.MaxEligibilityCalls(q.Priority == 0) {
		return
	}
	a := c.freeAdvisor(q.Eligibility.Base)
	if a == nil {
		return
	}
	names := c.askAbout(g, q)
	if len(names) == 0 {
		return
	}
	cost := q.Eligibility.CallDuration(len(names))
	a.calls++
	a.freeFrom = max(a.freeFrom, c.now).Add(cost)
	g.asking++
	c.asking++
	g.askedAt = c.now
	c.log("eligibility asked", g.job.id, Fields{Count: len(names), Reason: a.name, Age: c.now.Sub(g.readyAt)})
	c.emit(QueryEligibility{Instance: a.name, Job: g.job.id, Step: g.index, Occurrence: g.occurrence, Workers: names, Expected: cost})
}

// freeAdvisor returns the instance that is to make a call of a given cost, or
// nil if all are busy.
func (c *Cell) freeAdvisor(cost time.Duration) *advisor {
	plain := make([]policy.Instance, len(c.advisorList))
	for i, a := range c.advisorList {
		plain[i] = policy.Instance{Up: a.up, InFlight: a.calls, FreeAt: a.freeFrom}
	}
	if at := policy.Choose(c.now, plain, cost); at >= 0 {
		return c.advisorList[at]
	}
	return nil
}

// askAbout returns the workers to ask about: first those with room that are
// known to be eligible and whose permit is about to expire, then unknown ones.
func (c *Cell) askAbout(g *group, q *jobs.Queue) []model.WorkerName {
	need, headroom := room(g.step), c.headroom(g)
	var pool []*worker
	fitting := 0
	for _, w := range c.list {
		if !c.allowed(g, q, w) || c.health.Quarantined(w.info.Name) {
			continue
		}
		if g.eligibleAt(w) == eligibleNo || c.permitted(g, w) {
			continue
		}
		if need.MilliCPU > w.info.Capacity.MilliCPU || need.MemoryMB > w.info.Capacity.MemoryMB {
			continue
		}
		pool = append(pool, w)
		if f := w.free(); need.MilliCPU+headroom <= f.MilliCPU && need.MemoryMB <= f.MemoryMB {
			fitting++
		}
	}
	if fitting == 0 && len(g.eligible) > 0 {
		return nil // asking again makes no room
	}
	slices.SortStableFunc(pool, func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(knownFirst(g, a), knownFirst(g, b)), -cmp.Compare(a.free().MilliCPU, b.free().MilliCPU))
	})
	perWorker := 1
	if need.MilliCPU > 0 && len(pool) > 0 {
		perWorker = max(1, int(pool[0].info.Capacity.MilliCPU/2/need.MilliCPU))
	}
	n := min(len(pool), policy.WorkerCount(g.pending, perWorker, c.stats(g.job.queue).eligible))
	names := make([]model.WorkerName, n)
	for i := range names {
		names[i] = pool[i].info.Name
	}
	return names
}

// knownFirst is higher for workers with room that are known to be eligible.
func knownFirst(g *group, w *worker) int {
	if g.eligibleAt(w) == eligibleYes && w.free().MilliCPU >= g.step.Resources.MilliCPU {
		return 1
	}
	return 0
}

func isSelf(a *advisor, c *Cell) int {
	if a.name == c.cfg.Self {
		return 1
	}
	return 0
}

func (c *Cell) eligibilityAnswered(e EligibilityAnswered) {
	c.asking--
	if a := c.advisors[e.Instance]; a != nil && a.calls > 0 {
		a.calls--
		switch {
		case e.Failed:
			a.freeFrom = c.now.Add(advisorRest) // others go first
		case a.calls == 0:
			a.freeFrom = c.now
		}
	}
	j := c.jobs[e.Job]
	if j == nil || j.state.Final() {
		return
	}
	g := j.group(e.Occurrence, e.Step)
	if g == nil {
		return
	}
	c.changed = true
	g.asking = max(0, g.asking-1)
	if e.Failed {
		g.askFailed++
		c.log("eligibility call failed", j.id, Fields{Reason: e.Instance, Age: c.now.Sub(g.askedAt)})
		return
	}
	g.askFailed = 0
	c.observe("eligibility_seconds", j.queue, c.now.Sub(g.askedAt))
	if more := len(c.list) - len(g.permits); more > 0 {
		g.permits = append(g.permits, make([]permit, more)...)
		g.eligible = append(g.eligible, make([]eligibility, more)...)
	}
	for _, name := range e.Queried {
		if w := c.workers[name]; w != nil {
			g.eligible[w.number] = eligibleNo
		}
	}
	for _, p := range e.Eligible {
		if w := c.workers[p.Worker]; w != nil {
			g.eligible[w.number] = eligibleYes
			g.permits[w.number] = permit{token: p.Token, boot: w.boot, expires: c.now.Add(e.ValidFor)}
		}
	}
	if len(e.Queried) > 0 {
		s := c.stats(j.queue)
		s.eligible += shareWeight * (float64(len(e.Eligible))/float64(len(e.Queried)) - s.eligible)
	}
	c.log("eligibility known", j.id, Fields{Count: len(e.Eligible), Age: c.now.Sub(g.askedAt)})
}
