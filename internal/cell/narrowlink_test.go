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

// The small days of the grown sites: instances of 0.12 core behind 2 Mbit/s, and
// many workers. Neither gangs, nor failures of tasks, nor permits: none of them
// is needed for the collapse.
const (
	grownBandwidth = 250_000 // bytes a second, 2 Mbit/s
	grownCores     = 0.12
	grownWorkers   = 116
	grownTraffic   = 30 * time.Second
	// grownRest follows the last submission, as the sites give accepted work.
	grownRest = 14 * time.Second
	// grownFirst jobs come at once, before the rest.
	grownFirst = 11
	waveSwing  = 0.55
	wavePeriod = 15 * time.Second
	// callerWait is how long a caller waits for the answer to a submission.
	callerWait = 3 * time.Second
)

// What users are promised on a day without faults.
const (
	// standingMost is how long an accepted job may stand still while more than
	// half of the workers' room is free.
	standingMost = 3 * time.Second
	standingStep = 100 * time.Millisecond
	// stopsMost is the share of stops in the starts. Nothing is cancelled and no
	// worker fails, so that no run has to be stopped.
	stopsMost = 0.1
	// urgentLeast of the accepted urgent jobs end within urgentTimes objectives.
	urgentLeast = 0.25
	urgentTimes = 3
	// refusedMost is the share of submissions that may be refused or not answered.
	refusedMost = 0.6
)

// grownKind is one kind of job. Values are means.
type grownKind struct {
	jobs.Queue
	perSecond float64
	steps     float64
	tasks     int
	takes     time.Duration
	milliCPU  int64
	payload   int // bytes
}

var grownKinds = []grownKind{
	{jobs.Queue{Name: "plan", Service: "svc", Priority: 1, MaxAttempts: 4, StretchFactor: 2.2, LatencyTarget: time.Second},
		1.4, 1.2, 16, 5300 * time.Millisecond, 4500, 300},
	{jobs.Queue{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 4, StretchFactor: 4, LatencyTarget: 3 * time.Second},
		2.3, 1.5, 25, 2900 * time.Millisecond, 1700, 1000},
	{jobs.Queue{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 2, StretchFactor: 1.5, LatencyTarget: 250 * time.Millisecond},
		32, 1, 3, 680 * time.Millisecond, 2500, 300},
}

// grownDay is one day with a single instance, which owns the cell.
type grownDay struct {
	s   *sim
	n   *simNode
	rnd *rand.Rand // of the load, apart from that of the latencies

	offered, refused, unanswered int
	accepted                     map[jobs.ID]bool
	settled                      map[jobs.ID]model.Time // when the store had the end
	standing                     map[jobs.ID]time.Duration
	starts, stops, mostOpen      int
}

func newGrownDay(seed uint64, workers int, bandwidth int64, handling time.Duration) *grownDay {
	d := &grownDay{
		s: newSim(seed, 1, workers), rnd: rand.New(rand.NewPCG(seed, 11)),
		accepted: map[jobs.ID]bool{}, settled: map[jobs.ID]model.Time{}, standing: map[jobs.ID]time.Duration{},
	}
	d.s.load = &loadRun{seed: seed, jobs: map[jobs.ID]*loadJob{}, failed: map[jobs.TaskRef]int{}}
	d.s.cfg = &jobs.Config{Version: 1}
	for _, k := range grownKinds {
		d.s.cfg.Queues = append(d.s.cfg.Queues, k.Queue)
	}
	n := d.s.nodes[0]
	d.n = n
	n.kill()
	n.cores, n.link = grownCores, newSimLink(n, bandwidth, handling)
	n.link.note = d.note
	n.start() // with these queues, behind this link
	d.s.run(5 * time.Second)
	return d
}

func (d *grownDay) note(e Effect) {
	switch e := e.(type) {
	case Start:
		d.starts++
	case Stop:
		d.stops++
	case FinalStateStored:
		d.settled[e.ID] = d.s.now
	}
	d.mostOpen = max(d.mostOpen, d.n.link.open)
}

// around draws a value whose mean is given, half of it to one and a half.
func (d *grownDay) around(mean float64) float64 { return mean * (0.5 + d.rnd.Float64()) }

// submit offers one job of a kind to the owner.
func (d *grownDay) submit(k grownKind) {
	steps := int(k.steps)
	if d.rnd.Float64() < k.steps-float64(steps) {
		steps++
	}
	load := &loadJob{Queue: k.Name, submitted: d.s.now}
	j := jobs.Job{Queue: k.Name, Payload: strings.Repeat("x", k.payload)}
	for i := range steps {
		cpu := int64(d.around(float64(k.milliCPU)))
		step := loadStep{MilliCPU: cpu}
		for range max(1, int(math.Round(d.around(float64(k.tasks))))) {
			step.RunMs = append(step.RunMs, int64(d.around(float64(k.takes.Milliseconds()))))
		}
		load.Steps = append(load.Steps, step)
		st := jobs.Step{Tasks: len(step.RunMs), Resources: model.Resources{MilliCPU: cpu, MemoryMB: cpu}, EstimateMs: k.takes.Milliseconds()}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	d.offer(j, load)
}

// offer hands a job to the owner. It is accepted if its caller hears so in time.
func (d *grownDay) offer(j jobs.Job, load *loadJob) {
	s, n := d.s, d.n
	d.offered++
	s.tickets++
	ticket := s.tickets
	j.ID = jobs.ID(fmt.Sprintf("%016x", ticket))
	s.newest[j.ID], s.load.jobs[j.ID] = j, load
	s.offers[ticket] = func(o RequestAnswered) {
		if o.Stored {
			d.accepted[j.ID] = true
		} else {
			d.refused++
		}
	}
	s.after(callerWait, func() {
		if s.offers[ticket] != nil {
			delete(s.offers, ticket)
			d.unanswered++
		}
	})
	s.after(s.latency(), func() { n.send(n.life, SubmitRequested{RequestID: ticket, Job: j, Value: jobs.Encode(j)}) })
}

// play submits the load of a day, times scale, and lets the work end.
func (d *grownDay) play(scale float64) {
	for i := range grownFirst {
		d.submit(grownKinds[i%2]) // plans and batch work
	}
	for _, k := range grownKinds {
		for at := time.Duration(0); ; {
			wave := 1 + waveSwing*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds())
			at += time.Duration(d.rnd.ExpFloat64() / (k.perSecond * scale * wave) * float64(time.Second))
			if at >= grownTraffic {
				break
			}
			d.s.after(at, func() { d.submit(k) })
		}
	}
	d.s.run(grownTraffic)
	for range grownRest / standingStep {
		d.s.run(standingStep)
		d.look()
	}
}

// freeShare returns the share of the workers' CPU that no run takes.
func (d *grownDay) freeShare() float64 {
	used, all := int64(0), int64(0)
	for _, w := range d.s.workers {
		used += w.used().MilliCPU
		all += w.capacity.MilliCPU
	}
	return 1 - float64(used)/float64(all)
}

// look notes for how long each accepted job that could run has stood still.
func (d *grownDay) look() {
	free := d.freeShare()
	for id := range d.accepted {
		if free > 0.5 && d.couldRun(id) {
			d.standing[id] += standingStep
		} else {
			delete(d.standing, id)
		}
	}
}

// couldRun reports whether a job runs nowhere although a step of it is due.
func (d *grownDay) couldRun(id jobs.ID) bool {
	j, left := d.s.newest[id], false
	for i, st := range j.Steps {
		for k := range st.Tasks {
			ref := jobs.TaskRef{Job: id, Step: i, Index: k}
			if len(d.s.truth.running[ref]) > 0 {
				return false
			}
			left = left || !d.s.truth.doneAny[ref]
		}
	}
	return left
}

// urgent returns how many urgent jobs were accepted, and how many of them ended
// within some times their objective.
func (d *grownDay) urgent() (accepted, inTime int) {
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
		if end, ok := d.settled[id]; ok && end.Sub(load.submitted) <= urgentTimes*objective {
			inTime++
		}
	}
	return accepted, inTime
}

// check compares what users saw of a day with what they are promised.
func (d *grownDay) check(t *testing.T, seed uint64, urgentToo bool) {
	t.Helper()
	stuck := 0
	for _, still := range d.standing {
		if still >= standingMost {
			stuck++
		}
	}
	urgent, inTime := d.urgent()
	ended := 0
	for id := range d.accepted {
		if _, ok := d.settled[id]; ok {
			ended++
		}
	}
	t.Logf("seed %d: %d jobs offered, %d accepted, %d refused, %d without an answer; %d of the accepted ended",
		seed, d.offered, len(d.accepted), d.refused, d.unanswered, ended)
	t.Logf("seed %d: %d starts and %d stops sent, %.0f KB in all for the link, up to %d calls open, %d at the end, %.0f%% of the room free",
		seed, d.starts, d.stops, float64(d.n.link.sent)/1000, d.mostOpen, d.n.link.open, 100*d.freeShare())
	t.Logf("seed %d: %d of %d accepted urgent jobs within %d times their objective", seed, inTime, urgent, urgentTimes)
	if stuck > 0 {
		t.Errorf("seed %d: %d accepted jobs stood still for the last %v beside free workers", seed, stuck, standingMost)
	}
	if float64(d.stops) >= stopsMost*float64(d.starts) {
		t.Errorf("seed %d: %d stops beside %d starts without a fault", seed, d.stops, d.starts)
	}
	if urgentToo && (urgent == 0 || float64(inTime) < urgentLeast*float64(urgent)) {
		t.Errorf("seed %d: %d of %d accepted urgent jobs ended within %d times their objective", seed, inTime, urgent, urgentTimes)
	}
	if out := d.offered - len(d.accepted); float64(out) > refusedMost*float64(d.offered) {
		t.Errorf("seed %d: %d of %d jobs were not accepted", seed, out, d.offered)
	}
	for _, w := range d.s.wrong {
		t.Errorf("seed %d: %s", seed, w)
	}
}

// TestNarrowLinkDoesNotCollapse guards against an owner whose narrow link is
// full of calls that nobody waits for any more: each start that waits in the
// link for longer than its timeout brings a stop, and so on without an end.
func TestNarrowLinkDoesNotCollapse(t *testing.T) {
	t.Parallel()
	const seed = 0
	d := newGrownDay(seed, grownWorkers, grownBandwidth, 0)
	d.play(1)
	d.check(t, seed, true)
}

// TestNarrowLinkRecovers guards against a burst of starts that keeps a narrow
// link busy for good.
func TestNarrowLinkRecovers(t *testing.T) {
	t.Parallel()
	const (
		burstJobs, burstTasks = 8, 25 // 310 KB of starts
		within                = 5 * time.Second
	)
	for seed := range uint64(3) {
		is := is.New(t)
		d := newGrownDay(seed, grownWorkers, grownBandwidth, 0)
		idle := 0
		for range 20 {
			d.s.run(standingStep)
			idle = max(idle, d.n.link.open)
		}
		d.mostOpen = 0
		batch := grownKinds[1]
		for range burstJobs {
			load := &loadJob{Queue: batch.Name, submitted: d.s.now, Steps: []loadStep{{MilliCPU: batch.milliCPU}}}
			for range burstTasks {
				load.Steps[0].RunMs = append(load.Steps[0].RunMs, batch.takes.Milliseconds())
			}
			d.offer(jobs.Job{Queue: batch.Name, Payload: strings.Repeat("x", batch.payload), Steps: []jobs.Step{
				{Tasks: burstTasks, Resources: model.Resources{MilliCPU: batch.milliCPU, MemoryMB: batch.milliCPU}, EstimateMs: batch.takes.Milliseconds()},
			}}, load)
		}
		d.s.run(within)
		is.Equal(len(d.accepted), burstJobs)
		done, running := 0, 0
		for id := range d.accepted {
			for k := range burstTasks {
				switch ref := (jobs.TaskRef{Job: id, Index: k}); {
				case d.s.truth.doneAny[ref]:
					done++
				case len(d.s.truth.running[ref]) > 0:
					running++
				}
			}
		}
		t.Logf("seed %d: %v after the burst %d tasks are done and %d run; %d starts and %d stops sent; %d calls open, %d before the burst, up to %d",
			seed, within, done, running, d.starts, d.stops, d.n.link.open, idle, d.mostOpen)
		if done+running < burstJobs*burstTasks {
			t.Errorf("seed %d: %d of %d tasks neither run nor are done", seed, burstJobs*burstTasks-done-running, burstJobs*burstTasks)
		}
		if d.n.link.open > idle {
			t.Errorf("seed %d: %d calls to workers are open, %d before the burst", seed, d.n.link.open, idle)
		}
		for _, w := range d.s.wrong {
			t.Errorf("seed %d: %s", seed, w)
		}
	}
}

// TestSlowProcessorDoesNotCollapse guards against the same with calls and
// answers that wait for the owner's processor.
func TestSlowProcessorDoesNotCollapse(t *testing.T) {
	t.Parallel()
	const (
		workers  = 48
		handling = 5 * time.Millisecond
		// handled for a task: its start, the renewal that lists its end, and the
		// answers to both. Appends are few beside them.
		perTask  = 4
		overload = 1.5
	)
	offered := 0.0 // tasks a second
	for _, k := range grownKinds {
		offered += k.perSecond * k.steps * float64(k.tasks)
	}
	carried := 1 / (perTask * handling.Seconds())
	for _, seed := range []uint64{0, 1, 5, 14, 16, 22} { // the last five stood still once
		d := newGrownDay(seed, workers, 0, handling)
		d.play(overload * carried / offered)
		d.check(t, seed, false)
	}
}
