package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Parameters of a large site with small instances, 0.12 core behind 2 Mbit/s, and many
// workers. Gangs, task failures and permits are left out, since the overload does not
// depend on them.
const (
	narrowBandwidth = 250_000 // bytes a second, 2 Mbit/s
	smallCores      = 0.12
	manyWorkers     = 116
	dayTraffic      = 30 * time.Second
	// dayRest follows the last submission: the time that sites allow accepted work.
	dayRest = 14 * time.Second
	// dayInitialJobs is the number of jobs submitted together at the start.
	dayInitialJobs = 11
	waveAmplitude  = 0.55
	wavePeriod     = 15 * time.Second
	// callerWait is how long a caller waits for the answer to a submission.
	callerWait = 3 * time.Second
)

// Service levels that users are promised on a day without faults.
const (
	// maxStall is how long an accepted job may make no progress while more than
	// half of the workers' CPU is free.
	maxStall           = 3 * time.Second
	stallCheckInterval = 100 * time.Millisecond
	// maxStopShare bounds the stops as a share of the starts. Nothing is cancelled and no
	// worker fails, so no run has to be stopped.
	maxStopShare = 0.1
	// minUrgentShare is the least share of the accepted urgent jobs that end within
	// urgentObjectives objectives.
	minUrgentShare   = 0.25
	urgentObjectives = 3
	// maxRefusedShare bounds the share of submissions that are refused or not answered.
	maxRefusedShare = 0.6
)

// dayJobKind is one kind of job; its numbers are means.
type dayJobKind struct {
	jobs.Queue
	perSecond float64
	steps     float64
	tasks     int
	runTime   time.Duration
	milliCPU  int64
	payload   int // bytes
}

var dayJobKinds = []dayJobKind{
	{jobs.Queue{Name: "plan", Service: "svc", Priority: 1, MaxAttempts: 4, StretchFactor: 2.2, LatencyTarget: time.Second},
		1.4, 1.2, 16, 5300 * time.Millisecond, 4500, 300},
	{jobs.Queue{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 4, StretchFactor: 4, LatencyTarget: 3 * time.Second},
		2.3, 1.5, 25, 2900 * time.Millisecond, 1700, 1000},
	{jobs.Queue{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 2, StretchFactor: 1.5, LatencyTarget: 250 * time.Millisecond},
		32, 1, 3, 680 * time.Millisecond, 2500, 300},
}

// simDay simulates one day with a single instance, which owns the cell.
type simDay struct {
	s   *sim
	n   *simNode
	rnd *rand.Rand // for the load; independent of the latencies

	submitted, refused, unanswered int
	accepted                       map[jobs.ID]bool
	ended                          map[jobs.ID]model.Time // when the store had the final state
	stalledFor                     map[jobs.ID]time.Duration
	starts, stops, maxInFlight     int
}

func newSimDay(seed uint64, workers int, bandwidth int64, handling time.Duration) *simDay {
	d := &simDay{
		s: newSim(seed, 1, workers), rnd: rand.New(rand.NewPCG(seed, 11)),
		accepted: map[jobs.ID]bool{}, ended: map[jobs.ID]model.Time{}, stalledFor: map[jobs.ID]time.Duration{},
	}
	d.s.load = &loadRun{seed: seed, jobs: map[jobs.ID]*loadJob{}, failed: map[jobs.TaskRef]int{}}
	d.s.cfg = &jobs.Config{Version: 1}
	for _, k := range dayJobKinds {
		d.s.cfg.Queues = append(d.s.cfg.Queues, k.Queue)
	}
	n := d.s.nodes[0]
	d.n = n
	n.kill()
	n.cores, n.link = smallCores, newSimLink(n, bandwidth, handling)
	n.link.onEffect = d.recordEffect
	n.start() // with these queues and this link
	d.s.run(5 * time.Second)
	return d
}

func (d *simDay) recordEffect(e Effect) {
	switch e := e.(type) {
	case Start:
		d.starts++
	case Stop:
		d.stops++
	case FinalStateStored:
		d.ended[e.ID] = d.s.now
	}
	d.maxInFlight = max(d.maxInFlight, d.n.link.inFlight)
}

// randomAround returns a random value between half the mean and one and a half times the
// mean.
func (d *simDay) randomAround(mean float64) float64 { return mean * (0.5 + d.rnd.Float64()) }

// submit submits one job of a kind to the owner.
func (d *simDay) submit(k dayJobKind) {
	steps := int(k.steps)
	if d.rnd.Float64() < k.steps-float64(steps) {
		steps++
	}
	load := &loadJob{Queue: k.Name, submitted: d.s.now}
	j := jobs.Job{Queue: k.Name, Payload: strings.Repeat("x", k.payload)}
	for i := range steps {
		cpu := int64(d.randomAround(float64(k.milliCPU)))
		step := loadStep{MilliCPU: cpu}
		for range max(1, int(math.Round(d.randomAround(float64(k.tasks))))) {
			step.RunMs = append(step.RunMs, int64(d.randomAround(float64(k.runTime.Milliseconds()))))
		}
		load.Steps = append(load.Steps, step)
		st := jobs.Step{Tasks: len(step.RunMs), Resources: model.Resources{MilliCPU: cpu, MemoryMB: cpu}, EstimateMs: k.runTime.Milliseconds()}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	d.submitJob(j, load)
}

// submitJob submits a job to the owner. It counts as accepted if its caller learns so in
// time.
func (d *simDay) submitJob(j jobs.Job, load *loadJob) {
	s, n := d.s, d.n
	d.submitted++
	s.lastRequestID++
	ticket := s.lastRequestID
	j.ID = jobs.ID(fmt.Sprintf("%016x", ticket))
	s.submitted[j.ID], s.load.jobs[j.ID] = j, load
	s.requests[ticket] = func(o RequestAnswered) {
		if o.Stored {
			d.accepted[j.ID] = true
		} else {
			d.refused++
		}
	}
	s.after(callerWait, func() {
		if s.requests[ticket] != nil {
			delete(s.requests, ticket)
			d.unanswered++
		}
	})
	s.after(s.latency(), func() { n.send(n.incarnation, SubmitRequested{RequestID: ticket, Job: j, Value: jobs.Encode(j)}) })
}

// play submits the load of a day, scaled, and gives the work time to end.
func (d *simDay) play(scale float64) {
	for i := range dayInitialJobs {
		d.submit(dayJobKinds[i%2]) // plans and batch work
	}
	for _, k := range dayJobKinds {
		for at := time.Duration(0); ; {
			wave := 1 + waveAmplitude*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds())
			at += time.Duration(d.rnd.ExpFloat64() / (k.perSecond * scale * wave) * float64(time.Second))
			if at >= dayTraffic {
				break
			}
			d.s.after(at, func() { d.submit(k) })
		}
	}
	d.s.run(dayTraffic)
	for range dayRest / stallCheckInterval {
		d.s.run(stallCheckInterval)
		d.recordStalls()
	}
}

// freeShare returns the share of the workers' CPU that no run uses.
func (d *simDay) freeShare() float64 {
	used, all := int64(0), int64(0)
	for _, w := range d.s.workers {
		used += w.used().MilliCPU
		all += w.capacity.MilliCPU
	}
	return 1 - float64(used)/float64(all)
}

// recordStalls updates for how long each accepted job has made no progress although it
// could.
func (d *simDay) recordStalls() {
	free := d.freeShare()
	for id := range d.accepted {
		if free > 0.5 && d.isStalled(id) {
			d.stalledFor[id] += stallCheckInterval
		} else {
			delete(d.stalledFor, id)
		}
	}
}

// isStalled reports whether a job has unfinished tasks and no run.
func (d *simDay) isStalled(id jobs.ID) bool {
	j, left := d.s.submitted[id], false
	for i, st := range j.Steps {
		for k := range st.Tasks {
			ref := jobs.TaskRef{Job: id, Step: i, Index: k}
			if len(d.s.truth.running[ref]) > 0 {
				return false
			}
			left = left || !d.s.truth.done[ref]
		}
	}
	return left
}

// urgentInTime returns how many urgent jobs were accepted, and how many of them ended
// within urgentObjectives times their objective.
func (d *simDay) urgentInTime() (accepted, inTime int) {
	for id := range d.accepted {
		load := d.s.load.jobs[id]
		q := d.s.cfg.Queue(load.Queue)
		if q.Priority != 0 {
			continue
		}
		accepted++
		longest := time.Duration(0)
		for i := range load.Steps {
			longest += load.Steps[i].longest()
		}
		objective := time.Duration(q.StretchFactor*float64(longest)) + q.LatencyTarget
		if end, ok := d.ended[id]; ok && end.Sub(load.submitted) <= urgentObjectives*objective {
			inTime++
		}
	}
	return accepted, inTime
}

// check compares the results of a day with the service levels.
func (d *simDay) check(t *testing.T, seed uint64, checkUrgent bool) {
	t.Helper()
	stalled := 0
	for _, duration := range d.stalledFor {
		if duration >= maxStall {
			stalled++
		}
	}
	urgent, inTime := d.urgentInTime()
	ended := 0
	for id := range d.accepted {
		if _, ok := d.ended[id]; ok {
			ended++
		}
	}
	t.Logf("seed %d: %d jobs submitted: %d accepted, %d refused, %d without an answer; %d of the accepted ones ended",
		seed, d.submitted, len(d.accepted), d.refused, d.unanswered, ended)
	t.Logf("seed %d: %d starts and %d stops sent, %.0f KB sent over the link, up to %d calls in flight, %d at the end, %.0f%% of the CPU free",
		seed, d.starts, d.stops, float64(d.n.link.sentBytes)/1000, d.maxInFlight, d.n.link.inFlight, 100*d.freeShare())
	t.Logf("seed %d: %d of %d accepted urgent jobs within %d times their objective", seed, inTime, urgent, urgentObjectives)
	if stalled > 0 {
		t.Errorf("seed %d: %d accepted jobs made no progress in the last %v although workers were free", seed, stalled, maxStall)
	}
	if float64(d.stops) >= maxStopShare*float64(d.starts) {
		t.Errorf("seed %d: %d stops for %d starts on a day without faults", seed, d.stops, d.starts)
	}
	if checkUrgent && (urgent == 0 || float64(inTime) < minUrgentShare*float64(urgent)) {
		t.Errorf("seed %d: %d of %d accepted urgent jobs ended within %d times their objective", seed, inTime, urgent, urgentObjectives)
	}
	if notAccepted := d.submitted - len(d.accepted); float64(notAccepted) > maxRefusedShare*float64(d.submitted) {
		t.Errorf("seed %d: %d of %d jobs were not accepted", seed, notAccepted, d.submitted)
	}
	for _, w := range d.s.violations {
		t.Errorf("seed %d: %s", seed, w)
	}
}

// TestNarrowLinkStaysUsable guards against a narrow link that stays full of calls
// whose timeouts have expired: each start that queues longer than its timeout causes a
// stop, which queues as well.
func TestNarrowLinkStaysUsable(t *testing.T) {
	t.Parallel()
	const seed = 0
	d := newSimDay(seed, manyWorkers, narrowBandwidth, 0)
	d.play(1)
	d.check(t, seed, true)
}

// TestNarrowLinkRecoversFromBurst guards against a burst of starts that keeps a narrow
// link busy permanently.
func TestNarrowLinkRecoversFromBurst(t *testing.T) {
	t.Parallel()
	const (
		burstJobs, burstTasks = 8, 25 // 310 KB of starts
		within                = 5 * time.Second
	)
	for seed := range uint64(3) {
		is := is.New(t)
		d := newSimDay(seed, manyWorkers, narrowBandwidth, 0)
		idle := 0
		for range 20 {
			d.s.run(stallCheckInterval)
			idle = max(idle, d.n.link.inFlight)
		}
		d.maxInFlight = 0
		batch := dayJobKinds[1]
		for range burstJobs {
			load := &loadJob{Queue: batch.Name, submitted: d.s.now, Steps: []loadStep{{MilliCPU: batch.milliCPU}}}
			for range burstTasks {
				load.Steps[0].RunMs = append(load.Steps[0].RunMs, batch.runTime.Milliseconds())
			}
			d.submitJob(jobs.Job{Queue: batch.Name, Payload: strings.Repeat("x", batch.payload), Steps: []jobs.Step{
				{Tasks: burstTasks, Resources: model.Resources{MilliCPU: batch.milliCPU, MemoryMB: batch.milliCPU}, EstimateMs: batch.runTime.Milliseconds()},
			}}, load)
		}
		d.s.run(within)
		is.Equal(len(d.accepted), burstJobs)
		done, running := 0, 0
		for id := range d.accepted {
			for k := range burstTasks {
				switch ref := (jobs.TaskRef{Job: id, Index: k}); {
				case d.s.truth.done[ref]:
					done++
				case len(d.s.truth.running[ref]) > 0:
					running++
				}
			}
		}
		t.Logf("seed %d: %v after the burst %d tasks are done and %d run; %d starts and %d stops sent; %d calls in flight, %d before the burst, up to %d",
			seed, within, done, running, d.starts, d.stops, d.n.link.inFlight, idle, d.maxInFlight)
		if done+running < burstJobs*burstTasks {
			t.Errorf("seed %d: %d of %d tasks are neither running nor done", seed, burstJobs*burstTasks-done-running, burstJobs*burstTasks)
		}
		if d.n.link.inFlight > idle {
			t.Errorf("seed %d: %d calls to workers are in flight, %d before the burst", seed, d.n.link.inFlight, idle)
		}
		for _, w := range d.s.violations {
			t.Errorf("seed %d: %s", seed, w)
		}
	}
}

// TestSlowProcessorStaysUsable guards against the same overload with calls and
// answers that queue for the owner's processor.
func TestSlowProcessorStaysUsable(t *testing.T) {
	t.Parallel()
	const (
		workers  = 48
		handling = 5 * time.Millisecond
		// Processor steps for a task: its start, the renewal that lists its end, and
		// the answers to both. There are few appends in comparison.
		perTask  = 4
		overload = 1.5
	)
	load := 0.0 // tasks a second
	for _, k := range dayJobKinds {
		load += k.perSecond * k.steps * float64(k.tasks)
	}
	capacity := 1 / (perTask * handling.Seconds())
	for _, seed := range []uint64{0, 1, 5, 14, 16, 22} { // the last five once stopped all progress
		d := newSimDay(seed, workers, 0, handling)
		d.play(overload * capacity / load)
		d.check(t, seed, false)
	}
}
