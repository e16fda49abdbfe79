package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	policy "github.com/gentianpick/gentianpick/internal/policy/eligibility"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/jobsize"
)

// instance is one instance of the scheduler, as a candidate for eligibility calls and
// for the ownership of the cell.
type instance struct {
	name          string
	up            bool
	upSince       model.Time
	cores         float64
	bandwidth     int64
	callsInFlight int
	freeFrom      model.Time
}

// queueStats are statistics of the jobs of a queue.
type queueStats struct {
	eligibleShare float64 // share of the queried workers that were eligible, smoothed
	runTimeRatio  float64 // run time divided by estimate, smoothed
	sizes         jobsize.Tracker
}

// Weights of a new value in the exponential smoothing of queueStats.
const (
	eligibleShareWeight = 0.05
	runTimeRatioWeight  = 0.02
	// maxRunTimeRatio bounds one value, so that a straggler does not distort the average.
	maxRunTimeRatio = 4
)

func (c *Cell) stats(queue string) *queueStats {
	s := c.statsByQueue[queue]
	if s == nil {
		s = &queueStats{eligibleShare: 0.5, runTimeRatio: 1}
		c.statsByQueue[queue] = s
	}
	return s
}

// recordRunTime updates the queue's ratio of run time to estimate with a finished run.
func (c *Cell) recordRunTime(g *group, p *placement) {
	if p == nil || p.sentAt == 0 || g.step.EstimateMs <= 0 {
		return
	}
	took := float64(c.now.Sub(p.sentAt).Milliseconds())
	s := c.stats(g.job.queue)
	s.runTimeRatio += runTimeRatioWeight * (min(took/float64(g.step.EstimateMs), maxRunTimeRatio) - s.runTimeRatio)
	c.observe("run_seconds", g.job.queue, c.now.Sub(p.sentAt))
}

// estimate returns how long a task of a step probably runs.
func (c *Cell) estimate(j *job, s *jobs.Step) time.Duration {
	return c.runTime(j, s.EstimateMs)
}

// runTime returns the expected run time of steps of a job whose estimates add up to
// estimateMs.
func (c *Cell) runTime(j *job, estimateMs int64) time.Duration {
	return time.Duration(float64(estimateMs) * c.stats(j.queue).runTimeRatio * float64(time.Millisecond))
}

func (c *Cell) instanceChanged(e InstanceChanged) {
	a := c.instances[e.Name]
	if a == nil {
		a = &instance{name: e.Name}
		c.instances[e.Name] = a
		c.instanceList = append(c.instanceList, a)
		// The owner itself comes first: it is kept for quick calls, which then need
		// no message to another instance.
		slices.SortFunc(c.instanceList, func(a, b *instance) int {
			return cmp.Or(-cmp.Compare(isSelf(a, c), isSelf(b, c)), cmp.Compare(a.name, b.name))
		})
	}
	a.up, a.upSince, a.cores, a.bandwidth = e.Up, c.now, e.Cores, e.Bandwidth
	a.callsInFlight, a.freeFrom = 0, c.now
}

// queryRetryPause is the minimum time between eligibility calls for a group, which are
// repeated while the known eligible workers lack free resources.
const queryRetryPause = 150 * time.Millisecond

// failedInstancePause is how long other instances are preferred to one whose call failed.
// It is longer than the longest pause between calls for one group.
const failedInstancePause = 2 * time.Second

// maxQueryDoublings bounds the exponential growth of queryRetryPause while calls fail.
const maxQueryDoublings = 3

// maxProbesPerQuery bounds the workers in quarantine that a group which is no gang asks about
// at the same time, since its tasks probably fail there. Workers that another group asks
// about are left out: each of them gets one probe.
const maxProbesPerQuery = 1

// queryEligibility starts the eligibility calls for a group, if there are workers to
// query. The calls for a wide group run at the same time on several instances: permits
// expire, so that those of successive calls would never suffice for it.
func (c *Cell) queryEligibility(g *group, q *jobs.Queue) {
	if g.queriesInFlight > 0 || g.queriedAt != 0 && c.now.Sub(g.queriedAt) < queryRetryPause<<min(g.failedQueries, maxQueryDoublings) {
		return
	}
	if c.queriesInFlight >= c.pacer.MaxEligibilityCalls(q.Priority == 0) {
		return
	}
	if c.wideQueryWaits && q.Priority > 0 || c.freeInstance(q.Eligibility.Base) == nil {
		return
	}
	pause := queryRetryPause
	if q.Priority == 0 {
		pause = attemptPause
	}
	if g.lookedAt != 0 && c.now.Sub(g.lookedAt) < pause && (g.callsWanted == 0 || !c.mayStartCalls(g, q)) {
		return // looking at all workers of a large site takes long
	}
	names := c.workersToQuery(g, q)
	sizes := policy.Split(len(names))
	g.lookedAt, g.callsWanted = c.now, len(sizes)
	if len(names) == 0 || !c.mayStartCalls(g, q) {
		return
	}
	g.callsWanted = 0
	g.queriedAt = c.now
	for _, size := range sizes {
		a := c.freeInstance(q.Eligibility.Base)
		if a == nil || c.queriesInFlight >= c.pacer.MaxEligibilityCalls(q.Priority == 0) {
			return // the rest is asked about after the answers
		}
		c.callEligibility(g, q, a, names[:size])
		names = names[size:]
	}
}

// maxCallShare is the largest share of the instances' calls for which a gang waits until
// all its calls can start. On a small site the wait for a few calls to end is as long as a
// call.
const maxCallShare = 0.25

// mayStartCalls reports whether the eligibility calls that a group wants may start now.
// Permits of calls that start one after another expire before a wide gang has enough of
// them, so all of its calls start together. Work that ranks lower waits until they do: it
// would otherwise take each call that ends.
func (c *Cell) mayStartCalls(g *group, q *jobs.Queue) bool {
	if !g.step.Gang {
		return true
	}
	limit := c.pacer.MaxEligibilityCalls(q.Priority == 0)
	free, total := policy.FreeCalls(c.queryCandidates(), q.Eligibility.Base)
	if float64(g.callsWanted) > maxCallShare*float64(total) {
		return true
	}
	if min(free, limit-c.queriesInFlight) >= min(g.callsWanted, max(1, limit/2)) {
		return true
	}
	c.wideQueryWaits = q.Priority > 0
	return false
}

// callEligibility has an instance make one eligibility call for a group.
func (c *Cell) callEligibility(g *group, q *jobs.Queue, a *instance, names []model.WorkerName) {
	c.claim(queryKey{a.name, g.job.id, g.stepIndex, g.occurrence, names[0]}, g, names)
	cost := q.Eligibility.CallDuration(len(names))
	a.callsInFlight++
	a.freeFrom = max(a.freeFrom, c.now).Add(cost)
	g.queriesInFlight++
	c.queriesInFlight++
	c.log("eligibility call started", g.job.id, Fields{Count: len(names), Reason: a.name, Age: c.now.Sub(g.readyAt)})
	c.emit(QueryEligibility{Instance: a.name, Job: g.job.id, Step: g.stepIndex, Occurrence: g.occurrence, Workers: names, Expected: cost})
}

// queryKey identifies an eligibility call in flight.
type queryKey struct {
	instance         string
	job              jobs.ID
	step, occurrence int
	firstWorker      model.WorkerName
}

// claim is the CPU of a worker that a group will probably use once an eligibility call is
// answered.
type claim struct {
	worker   *worker
	milliCPU int64
}

// claim records that a group will probably use the workers that it asks about, so that the
// groups that ask meanwhile ask about others. All of them would otherwise ask about the
// workers with the most free CPU, where only the first one finds room.
func (c *Cell) claim(key queryKey, g *group, names []model.WorkerName) {
	d := c.demand(g)
	share := c.stats(g.job.queue).eligibleShare
	claims := make([]claim, 0, len(names))
	for _, name := range names {
		w := c.workers[name]
		tasks := float64(min(c.countAt(g, d, w, w.unclaimed()), g.pending)) * eligibleProbability(g, w, share) / policy.Oversampling
		cpu := int64(tasks * float64(d.Need.MilliCPU))
		w.claimed += cpu
		claims = append(claims, claim{w, cpu})
	}
	c.claims[key] = claims
}

func (c *Cell) releaseClaims(key queryKey) {
	for _, cl := range c.claims[key] {
		cl.worker.claimed -= cl.milliCPU
	}
	delete(c.claims, key)
}

// freeInstance returns the instance that is to make a call with the given expected
// duration, or nil if all are busy.
func (c *Cell) freeInstance(cost time.Duration) *instance {
	if at := policy.Choose(c.now, c.queryCandidates(), cost); at >= 0 {
		return c.instanceList[at]
	}
	return nil
}

func (c *Cell) queryCandidates() []policy.Instance {
	candidates := make([]policy.Instance, len(c.instanceList))
	for i, a := range c.instanceList {
		candidates[i] = policy.Instance{Up: a.up, InFlight: a.callsInFlight, FreeAt: a.freeFrom}
	}
	return candidates
}

// workersToQuery returns the workers to query: first those with enough free CPU that are
// known to be eligible and have no permit that outlasts the call, then those of unknown
// eligibility.
func (c *Cell) workersToQuery(g *group, q *jobs.Queue) []model.WorkerName {
	d := c.demand(g)
	share := c.stats(g.job.queue).eligibleShare
	answerAt := c.now.Add(q.Eligibility.CallDuration(policy.MaxWorkers))
	pool := c.queryBuffer[:0]
	var reachable policy.Draw // tasks for which there may be room and a permit after the calls
	fitting, probes := 0, 0
	for _, w := range c.workerList {
		if g.eligibilityAt(w) == eligibleNo || !c.canRun(g, q, w) {
			continue
		}
		if d.Need.MilliCPU > w.info.Capacity.MilliCPU || d.Need.MemoryMB > w.info.Capacity.MemoryMB {
			continue
		}
		if w.quarantined && (!c.mayProbe(g, q, w) || !g.step.Gang && (probes == maxProbesPerQuery || w.claimed > 0)) {
			continue
		}
		if at, ok := g.findPermit(w); ok && c.permitValidAt(&g.permits[at], answerAt) {
			continue
		}
		pool = append(pool, w)
		if w.quarantined {
			probes++
		}
		if f := w.unclaimed(); d.Need.MilliCPU+d.Headroom <= f.MilliCPU && d.Need.MemoryMB <= f.MemoryMB {
			fitting++
			if g.step.Gang {
				reachable.Add(eligibleProbability(g, w, share), min(c.countAt(g, d, w, f), g.pending))
			}
		}
	}
	c.queryBuffer = pool[:0]
	missing := g.pending - c.permittedTasks(g, answerAt)
	if len(pool) == 0 || len(g.eligible) > 0 && (fitting == 0 || g.step.Gang && c.queriesScarce(q) && reachable.Expected() < float64(missing)) {
		return nil // another call frees no resources
	}
	// Half of a worker is taken to be in use.
	perWorker := max(1, g.count(fit.Demand{Need: d.Need}, pool[0].info.Capacity)/2)
	chosen := firstWorkers(pool, policy.WorkerCount(missing, perWorker, share), func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(eligibleWithRoom(g, a), eligibleWithRoom(g, b)), -cmp.Compare(a.unclaimed().MilliCPU, b.unclaimed().MilliCPU))
	})
	names := make([]model.WorkerName, 0, len(chosen))
	var asked policy.Draw
	for _, w := range chosen {
		if len(names) >= policy.MinWorkers && asked.Suffices(missing) {
			break
		}
		names = append(names, w.info.Name)
		asked.Add(eligibleProbability(g, w, share), min(c.countAt(g, d, w, w.unclaimed()), g.pending))
	}
	return names
}

// queriesScarce reports whether so many eligibility calls for a queue are in flight that
// none is to be made without a prospect. Otherwise calls keep the permits of a gang valid
// until there is room for it.
func (c *Cell) queriesScarce(q *jobs.Queue) bool {
	_, total := policy.FreeCalls(c.queryCandidates(), q.Eligibility.Base)
	return c.queriesInFlight > min(total, c.pacer.MaxEligibilityCalls(q.Priority == 0))/2
}

// eligibleProbability returns how likely a worker may run the tasks of a group, if the
// given share of the workers may.
func eligibleProbability(g *group, w *worker, share float64) float64 {
	if g.eligibilityAt(w) == eligibleYes {
		return 1
	}
	return share
}

// permittedTasks returns how many tasks of a group fit now on workers with a permit that
// is still valid at the given time.
func (c *Cell) permittedTasks(g *group, at model.Time) int {
	d, n := c.demand(g), 0
	for i := range g.permits {
		if p := &g.permits[i]; n < g.pending && c.permitValidAt(p, at) && p.worker.usable(c.now) {
			n += c.countAt(g, d, p.worker, p.worker.free())
		}
	}
	return min(n, g.pending)
}

// firstWorkers returns the first n workers in the given order. Workers that compare as
// equal keep their order. Sorting all workers of a large site for each call would take
// most of the owner's time.
func firstWorkers(pool []*worker, n int, compare func(a, b *worker) int) []*worker {
	out := make([]*worker, 0, min(n, len(pool))+1)
	for _, w := range pool {
		if len(out) == n && compare(w, out[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, w, func(a, b *worker) int {
			if compare(a, b) <= 0 {
				return -1
			}
			return 1
		})
		out = slices.Insert(out, at, w)
		if len(out) > n {
			out = out[:n]
		}
	}
	return out
}

// eligibleWithRoom returns 1 for a worker that is known to be eligible and has enough
// free CPU, otherwise 0.
func eligibleWithRoom(g *group, w *worker) int {
	if g.eligibilityAt(w) == eligibleYes && w.unclaimed().MilliCPU >= g.step.Resources.MilliCPU {
		return 1
	}
	return 0
}

func isSelf(a *instance, c *Cell) int {
	if a.name == c.cfg.Self {
		return 1
	}
	return 0
}

func (c *Cell) eligibilityAnswered(e EligibilityAnswered) {
	c.queriesInFlight--
	if len(e.Queried) > 0 {
		c.releaseClaims(queryKey{e.Instance, e.Job, e.Step, e.Occurrence, e.Queried[0]})
	}
	if a := c.instances[e.Instance]; a != nil && a.callsInFlight > 0 {
		a.callsInFlight--
		switch {
		case e.Failed:
			a.freeFrom = c.now.Add(failedInstancePause) // prefer other instances
		case a.callsInFlight == 0:
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
	c.scheduleNeeded = true
	g.attemptedAt = 0
	g.queriesInFlight = max(0, g.queriesInFlight-1)
	if e.Failed {
		g.failedQueries++
		c.log("eligibility call failed", j.id, Fields{Reason: e.Instance, Age: c.now.Sub(g.queriedAt)})
		return
	}
	g.failedQueries = 0
	c.observe("eligibility_seconds", j.queue, c.now.Sub(g.queriedAt))
	if g.finished() {
		return
	}
	if more := c.indexCount - len(g.eligible); more > 0 {
		g.eligible = append(g.eligible, make([]eligibility, more)...)
	}
	g.permits = slices.DeleteFunc(g.permits, func(p permit) bool { return c.now >= p.expiresAt })
	for _, name := range e.Queried {
		if w := c.workers[name]; w != nil {
			g.eligible[w.index] = eligibleNo
		}
	}
	for _, p := range e.Eligible {
		if w := c.workers[p.Worker]; w != nil {
			g.eligible[w.index] = eligibleYes
			g.setPermit(permit{worker: w, token: p.Token, boot: w.boot, expiresAt: c.now.Add(e.ValidFor)})
		}
	}
	if len(e.Queried) > 0 {
		s := c.stats(j.queue)
		s.eligibleShare += eligibleShareWeight * (float64(len(e.Eligible))/float64(len(e.Queried)) - s.eligibleShare)
	}
	c.log("eligibility call answered", j.id, Fields{Count: len(e.Eligible), Age: c.now.Sub(g.queriedAt)})
}
