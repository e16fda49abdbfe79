package cell

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// The load profile has the jobs that arrived in 17 s around the crest of a
// played scale day of idutaim-ops: when, where, and for each task its CPU, its
// run time and how often it failed. testdata/crest.jsonl was drawn from the
// owner's log. On average 72% of the workers' cores are in use.
const (
	crestFile    = "testdata/crest.jsonl"
	crestWorkers = 48
	crestNodes   = 9
	// crestWindow is the span over which the share in time is compared.
	crestWindow = 2 * time.Second
	// crestEnd leaves every job time to end.
	crestEnd = 120 * time.Second
)

// crestQueue is what the profile's day has of each kind.
var crestQueues = []struct {
	jobs.Queue
	eligible float64 // share of workers that may run a step
	estimate float64 // an estimate is off by up to this share
	gangs    float64 // share of jobs that are gangs
}{
	{jobs.Queue{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 2, StretchFactor: 1.5, LatencyTarget: 250 * time.Millisecond,
		Eligibility: jobs.Eligibility{Base: 9300 * time.Microsecond, PerWorker: 130 * time.Microsecond, PermitTTL: 2500 * time.Millisecond}}, 0.7, 0.2, 0.3},
	{jobs.Queue{Name: "plan", Service: "svc", Priority: 1, MaxAttempts: 4, StretchFactor: 2.2, LatencyTarget: time.Second,
		Eligibility: jobs.Eligibility{Base: 410 * time.Millisecond, PerWorker: 5800 * time.Microsecond, PermitTTL: 2500 * time.Millisecond}}, 0.35, 0.9, 1},
	{jobs.Queue{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 4, StretchFactor: 4, LatencyTarget: 3 * time.Second,
		Eligibility: jobs.Eligibility{Base: 66 * time.Millisecond, PerWorker: 940 * time.Microsecond, PermitTTL: 2500 * time.Millisecond}}, 0.45, 0.2, 0},
}

// crestAdvice is how many workers one call about a step names in the objective.
const crestAdvice = 30

type loadStep struct {
	MilliCPU int64   `json:"milli_cpu"`
	RunMs    []int64 `json:"run_ms"`
	Failures []int   `json:"failures"`

	gang bool
}

// runTime returns the run time of a task. The members of a gang end together.
func (s *loadStep) runTime(task int) time.Duration {
	ms := s.RunMs[task]
	if s.gang {
		ms = slices.Sorted(slices.Values(s.RunMs))[len(s.RunMs)/2]
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *loadStep) longest() time.Duration {
	longest := time.Duration(0)
	for i := range s.RunMs {
		longest = max(longest, s.runTime(i))
	}
	return longest
}

type loadJob struct {
	AtMs  int64      `json:"at_ms"`
	Queue string     `json:"queue"`
	Zone  int        `json:"zone"`
	Steps []loadStep `json:"steps"`

	submitted, placed, finished model.Time
	refused                     int
}

// loadRun is one replay of the profile.
type loadRun struct {
	seed   uint64
	jobs   map[jobs.ID]*loadJob
	order  []jobs.ID
	failed map[jobs.TaskRef]int
	// core-seconds of runs that ended as done, and of all others
	useful, wasted float64
}

func (l *loadRun) note(now model.Time, e Log) {
	j := l.jobs[e.Job]
	switch {
	case j == nil:
	case e.Message == "task placed" && j.placed == 0:
		j.placed = now
	case e.Message == "job finished" && j.finished == 0:
		j.finished = now
	}
}

// share draws a number from 0 to 1 that is the same in every replay of a seed.
func (l *loadRun) share(id jobs.ID, of string, n int) float64 {
	d := xxhash.NewWithSeed(l.seed)
	_, _ = d.WriteString(string(id) + of) // never fails
	return rand.New(rand.NewPCG(d.Sum64(), uint64(n))).Float64()
}

func (l *loadRun) eligible(id jobs.ID, w model.WorkerName, at int) bool {
	if l == nil {
		return at%2 == 0
	}
	return l.share(id, string(w), 0) < crestQueueOf(l.jobs[id].Queue).eligible
}

func (l *loadRun) run(t jobs.TaskRef) (time.Duration, jobs.Outcome) {
	step := l.jobs[t.Job].Steps[t.Step]
	took := step.runTime(t.Index)
	if step.Failures != nil && l.failed[t] < step.Failures[t.Index] {
		l.failed[t]++
		return time.Duration(l.share(t.Job, fmt.Sprint("failure ", t.Step, t.Index), l.failed[t]) * float64(took)), jobs.OutcomeFailed
	}
	return took, jobs.OutcomeDone
}

func (l *loadRun) used(r *simRun, how jobs.Outcome, now model.Time) {
	if l == nil {
		return
	}
	cores := float64(r.need.MilliCPU) / 1000 * max(now.Sub(r.since), 0).Seconds()
	if how == jobs.OutcomeDone {
		l.useful += cores
	} else {
		l.wasted += cores
	}
}

type crestQueue = struct {
	jobs.Queue
	eligible, estimate, gangs float64
}

func crestQueueOf(name string) crestQueue {
	for _, q := range crestQueues {
		if q.Name == name {
			return crestQueue{q.Queue, q.eligible, q.estimate, q.gangs}
		}
	}
	panic("no queue " + name)
}

// replay plays each kind of job in the profile as often as copies says, without
// faults.
func replay(t *testing.T, seed uint64, copies map[string]int) *loadRun {
	t.Helper()
	l := &loadRun{seed: seed, jobs: map[jobs.ID]*loadJob{}, failed: map[jobs.TaskRef]int{}}
	s := newSim(seed, 1, crestWorkers)
	s.load = l
	s.onLog = func(e Log) { l.note(s.now, e) }
	s.cfg = &jobs.Config{Version: 1}
	for _, q := range crestQueues {
		s.cfg.Queues = append(s.cfg.Queues, q.Queue)
	}
	n := s.nodes[0]
	n.kill()
	n.start() // with these queues
	for i := range crestNodes - 1 {
		name := fmt.Sprintf("advisor-%d", i)
		s.after(0, func() { n.send(n.life, InstanceChanged{Name: name, Up: true}) })
	}
	s.run(3 * time.Second)
	f, err := os.Open(crestFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for i := 0; lines.Scan(); i++ {
		var j loadJob
		if err := json.Unmarshal(lines.Bytes(), &j); err != nil {
			t.Fatal(err)
		}
		for k := range copies[j.Queue] {
			copied := j
			copied.Steps = slices.Clone(j.Steps)
			id := jobs.ID(fmt.Sprintf("%08x%08x", k, i+1))
			l.jobs[id], l.order = &copied, append(l.order, id)
			s.newest[id] = l.job(id, &copied)
			at := time.Duration(j.AtMs)*time.Millisecond + time.Duration(l.share(id, "at", 0)*float64(k)*float64(time.Second))
			s.after(at, func() { s.offerLoad(n, id) })
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	s.run(crestEnd)
	for _, w := range s.wrong {
		t.Error(w)
	}
	return l
}

// job returns a job of the profile as a caller would submit it.
func (l *loadRun) job(id jobs.ID, j *loadJob) jobs.Job {
	q := crestQueueOf(j.Queue)
	out := jobs.Job{ID: id, Queue: j.Queue}
	for i := range j.Steps {
		st := &j.Steps[i]
		st.gang = l.share(id, "gang", 0) < q.gangs && len(st.RunMs) > 1
		sum := int64(0)
		for _, ms := range st.RunMs {
			sum += ms
		}
		off := 1 + q.estimate*(2*l.share(id, "estimate", i)-1)
		step := jobs.Step{
			Tasks: len(st.RunMs), Resources: model.Resources{MilliCPU: st.MilliCPU, MemoryMB: st.MilliCPU},
			EstimateMs: max(1, int64(off*float64(sum)/float64(len(st.RunMs)))), Gang: st.gang,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

// offerLoad submits a job, again after a second if it was refused.
func (s *sim) offerLoad(n *simNode, id jobs.ID) {
	j := s.load.jobs[id]
	if j.submitted == 0 {
		j.submitted = s.now
	}
	s.tickets++
	ticket := s.tickets
	s.offers[ticket] = func(o RequestAnswered) {
		if !o.Stored {
			j.refused++
			s.after(time.Second, func() { s.offerLoad(n, id) })
		}
	}
	job := s.newest[id]
	s.after(s.latency(), func() { n.send(n.life, SubmitRequested{RequestID: ticket, Job: job, Value: jobs.Encode(job)}) })
}

// objective returns how long a job may take to be in time.
func (j *loadJob) objective() time.Duration {
	q, chain := crestQueueOf(j.Queue), time.Duration(0)
	for _, st := range j.Steps {
		chain += st.longest() + q.Eligibility.CallDuration(crestAdvice)
	}
	return time.Duration(q.StretchFactor*float64(chain)) + q.LatencyTarget
}

func (j *loadJob) inTime() bool {
	return j.finished != 0 && j.finished.Sub(j.submitted) <= j.objective()
}

// wait returns the time from the submission to the first placement.
func (j *loadJob) wait() time.Duration {
	if j.placed == 0 {
		return crestEnd
	}
	return j.placed.Sub(j.submitted)
}

// shares returns the share in time by the value of a property.
func (l *loadRun) shares(of func(*loadJob) string) map[string]float64 {
	all, good := map[string]float64{}, map[string]float64{}
	for _, j := range l.jobs {
		all[of(j)]++
		if j.inTime() {
			good[of(j)]++
		}
	}
	for k := range all {
		good[k] /= all[k]
	}
	return good
}

func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

func (l *loadRun) waits(queue string) []time.Duration {
	var out []time.Duration
	for _, j := range l.jobs {
		if j.Queue == queue {
			out = append(out, j.wait())
		}
	}
	return out
}

func (l *loadRun) String() string {
	var b strings.Builder
	line := func(name string, of func(*loadJob) string) {
		shares := l.shares(of)
		fmt.Fprintf(&b, "in time by %s:", name)
		for _, k := range sortedNames(shares) {
			fmt.Fprintf(&b, " %s %.3f", k, shares[k])
		}
		b.WriteString("\n")
	}
	line("day", func(*loadJob) string { return "all" })
	line("kind", func(j *loadJob) string { return j.Queue })
	line("data centre", func(j *loadJob) string { return fmt.Sprint(j.Zone) })
	line("window", func(j *loadJob) string { return fmt.Sprintf("%02d", j.AtMs/crestWindow.Milliseconds()*2) })
	for _, q := range crestQueues {
		w, total := l.waits(q.Name), []time.Duration(nil)
		for _, j := range l.jobs {
			if j.Queue == q.Name && j.finished != 0 {
				total = append(total, j.finished.Sub(j.submitted))
			}
		}
		fmt.Fprintf(&b, "%s: to the first placement p50 %v p99 %v, to the end p50 %v p99 %v\n", q.Name,
			quantile(w, 0.5), quantile(w, 0.99), quantile(total, 0.5), quantile(total, 0.99))
	}
	refused := 0
	for _, j := range l.jobs {
		refused += j.refused
	}
	fmt.Fprintf(&b, "%.0f core-seconds useful, %.0f wasted, %d refusals\n", l.useful, l.wasted, refused)
	return b.String()
}

func sortedNames(m map[string]float64) []string {
	names := make([]string, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// Loads of a replay, as copies of each kind of job.
var (
	crestOnce   = map[string]int{"urgent": 1, "plan": 1, "batch": 1}
	crestTwice  = map[string]int{"urgent": 2, "plan": 2, "batch": 2}
	crestUrgent = map[string]int{"urgent": 1}
	// crestFull has more plans and batch work than the workers can run at once.
	crestFull = map[string]int{"urgent": 1, "plan": 4, "batch": 6}
)

// loadSeeds returns how many seeds are replayed: one, or GENTIANPICK_SEEDS.
func loadSeeds(t *testing.T) uint64 {
	t.Helper()
	v := os.Getenv("GENTIANPICK_SEEDS")
	if v == "" {
		return 1
	}
	n, err := strconv.ParseUint(v, 10, 64)
	is.New(t).NoErr(err)
	return n
}

// TestLoad replays the crest of a played day, and twice as much, and reports how
// work waits. It guards against work that is refused, lost or never run.
func TestLoad(t *testing.T) {
	for name, copies := range map[string]map[string]int{"once": crestOnce, "twice": crestTwice} {
		for seed := range loadSeeds(t) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				l := replay(t, seed, copies)
				t.Log("\n" + l.String())
				for _, id := range l.order {
					if l.jobs[id].finished == 0 {
						t.Errorf("%s has not ended", id)
					}
					is.New(t).Equal(l.jobs[id].refused, 0) // the store answers
				}
			})
		}
	}
}

// TestHeadOfLine guards against urgent work that waits for the batch work which
// fills the workers.
func TestHeadOfLine(t *testing.T) {
	const bound = 1.5
	is := is.New(t)
	var alone, beside []time.Duration
	for seed := range loadSeeds(t) {
		alone = append(alone, replay(t, seed, crestUrgent).waits("urgent")...)
		full := replay(t, seed, crestFull)
		beside = append(beside, full.waits("urgent")...)
		t.Log("\n" + full.String())
	}
	a, b := quantile(alone, 0.99), quantile(beside, 0.99)
	t.Logf("p99 wait of urgent work: %v alone, %v beside batch work", a, b)
	is.True(float64(b) <= bound*float64(a))
}
