package cell

import (
	"bufio"
	"cmp"
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

// The load profile holds the jobs that arrived in 17 s around the peak of a simulated
// day of the site idutaim-ops, with load scaled up: the time and place of their
// submission, and for each task its CPU, its run time and how often it failed.
// testdata/crest.jsonl was extracted from the owner's log. On average 72% of the
// workers' cores are in use.
const (
	peakFile    = "testdata/crest.jsonl"
	peakWorkers = 48
	peakNodes   = 9
	// peakWindow is the period for which the share of jobs in time is reported.
	peakWindow = 2 * time.Second
	// peakDuration is long enough for every job to end.
	peakDuration = 120 * time.Second
)

// loadQueue is a queue of a load, with the properties of its jobs.
type loadQueue struct {
	jobs.Queue
	eligible float64 // share of the workers that are eligible for a step
	estimate float64 // largest relative error of an estimate
	gangs    float64 // share of jobs that are gangs
	limited  float64 // share of jobs with a limit of tasks of a step at a worker
}

// peakQueues are the queues of the profile's day.
var peakQueues = []loadQueue{
	{jobs.Queue{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 2, StretchFactor: 1.5, LatencyTarget: 250 * time.Millisecond,
		Eligibility: jobs.Eligibility{Base: 9300 * time.Microsecond, PerWorker: 130 * time.Microsecond, PermitTTL: 2500 * time.Millisecond}}, 0.7, 0.2, 0.3, 0},
	{jobs.Queue{Name: "plan", Service: "svc", Priority: 1, MaxAttempts: 4, StretchFactor: 2.2, LatencyTarget: time.Second,
		Eligibility: jobs.Eligibility{Base: 410 * time.Millisecond, PerWorker: 5800 * time.Microsecond, PermitTTL: 2500 * time.Millisecond}}, 0.35, 0.9, 1, 0},
	{jobs.Queue{Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 4, StretchFactor: 4, LatencyTarget: 3 * time.Second,
		Eligibility: jobs.Eligibility{Base: 66 * time.Millisecond, PerWorker: 940 * time.Microsecond, PermitTTL: 2500 * time.Millisecond}}, 0.45, 0.2, 0, 0.12},
}

// maxLoadLimit is the largest limit of tasks of a step at a worker in a load.
const maxLoadLimit = 3

// workersPerCall is the number of workers of one eligibility call that the objective
// assumes.
const workersPerCall = 30

type loadStep struct {
	MilliCPU int64   `json:"milli_cpu"`
	RunMs    []int64 `json:"run_ms"`
	Failures []int   `json:"failures"`
	// MemoryMB is that of each task; as much as MilliCPU if zero.
	MemoryMB int64 `json:"memory_mb"`

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
	queues []loadQueue
	jobs   map[jobs.ID]*loadJob
	order  []jobs.ID
	failed map[jobs.TaskRef]int
	// core-seconds of runs that ended as done, and of all others
	useful, wasted float64
}

func (l *loadRun) recordLog(now model.Time, e Log) {
	j := l.jobs[e.Job]
	switch {
	case j == nil:
	case e.Message == "task placed" && j.placed == 0:
		j.placed = now
	case e.Message == "job finished" && j.finished == 0:
		j.finished = now
	}
}

// random returns a number from 0 to 1 that is the same in every replay of a seed.
func (l *loadRun) random(id jobs.ID, of string, n int) float64 {
	d := xxhash.NewWithSeed(l.seed)
	_, _ = d.WriteString(string(id) + of) // never fails
	return rand.New(rand.NewPCG(d.Sum64(), uint64(n))).Float64()
}

func (l *loadRun) eligible(id jobs.ID, w model.WorkerName, at int) bool {
	if l == nil {
		return at%2 == 0
	}
	return l.random(id, string(w), 0) < l.queueOf(l.jobs[id].Queue).eligible
}

func (l *loadRun) run(t jobs.TaskRef) (time.Duration, jobs.Outcome) {
	step := l.jobs[t.Job].Steps[t.Step]
	took := step.runTime(t.Index)
	if step.Failures != nil && l.failed[t] < step.Failures[t.Index] {
		l.failed[t]++
		return time.Duration(l.random(t.Job, fmt.Sprint("failure ", t.Step, t.Index), l.failed[t]) * float64(took)), jobs.OutcomeFailed
	}
	return took, jobs.OutcomeDone
}

func (l *loadRun) recordUsage(r *simRun, how jobs.Outcome, now model.Time) {
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

func (l *loadRun) queueOf(name string) *loadQueue {
	for i := range l.queues {
		if l.queues[i].Name == name {
			return &l.queues[i]
		}
	}
	panic("no queue " + name)
}

// replayProfile runs each kind of job in the profile as many times as copies says, without
// faults.
func replayProfile(t *testing.T, seed uint64, copies map[string]int) *loadRun {
	t.Helper()
	l := &loadRun{seed: seed, queues: peakQueues, jobs: map[jobs.ID]*loadJob{}, failed: map[jobs.TaskRef]int{}}
	s := newSim(seed, 1, peakWorkers)
	s.load = l
	s.onLog = func(e Log) { l.recordLog(s.now, e) }
	s.cfg = &jobs.Config{Version: 1}
	for _, q := range peakQueues {
		s.cfg.Queues = append(s.cfg.Queues, q.Queue)
	}
	n := s.nodes[0]
	n.kill()
	n.start() // with these queues
	for i := range peakNodes - 1 {
		name := fmt.Sprintf("advisor-%d", i)
		s.after(0, func() { n.send(n.incarnation, InstanceChanged{Name: name, Up: true}) })
	}
	s.run(3 * time.Second)
	f, err := os.Open(peakFile)
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
			s.submitted[id] = l.job(id, &copied)
			at := time.Duration(j.AtMs)*time.Millisecond + time.Duration(l.random(id, "at", 0)*float64(k)*float64(time.Second))
			s.after(at, func() { s.submitLoad(n, id) })
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	s.run(peakDuration)
	for _, w := range s.violations {
		t.Error(w)
	}
	return l
}

// job returns a job of the profile as its caller submits it.
func (l *loadRun) job(id jobs.ID, j *loadJob) jobs.Job {
	q := l.queueOf(j.Queue)
	out := jobs.Job{ID: id, Queue: j.Queue}
	for i := range j.Steps {
		st := &j.Steps[i]
		st.gang = l.random(id, "gang", 0) < q.gangs && len(st.RunMs) > 1
		sum := int64(0)
		for _, ms := range st.RunMs {
			sum += ms
		}
		estimateError := 1 + q.estimate*(2*l.random(id, "estimate", i)-1)
		step := jobs.Step{
			Tasks: len(st.RunMs), Resources: model.Resources{MilliCPU: st.MilliCPU, MemoryMB: cmp.Or(st.MemoryMB, st.MilliCPU)},
			EstimateMs: max(1, int64(estimateError*float64(sum)/float64(len(st.RunMs)))), Gang: st.gang,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		if l.random(id, "limited", 0) < q.limited {
			step.MaxPerWorker = 1 + int(maxLoadLimit*l.random(id, "limit", i))
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

// submitLoad submits a job, and again after a second each time it is refused.
func (s *sim) submitLoad(n *simNode, id jobs.ID) {
	j := s.load.jobs[id]
	if j.submitted == 0 {
		j.submitted = s.now
	}
	s.lastRequestID++
	ticket := s.lastRequestID
	s.requests[ticket] = func(o RequestAnswered) {
		if !o.Stored {
			j.refused++
			s.after(time.Second, func() { s.submitLoad(n, id) })
		}
	}
	job := s.submitted[id]
	s.after(s.latency(), func() { n.send(n.incarnation, SubmitRequested{RequestID: ticket, Job: job, Value: jobs.Encode(job)}) })
}

// objective returns the time within which a job is to finish.
func (j *loadJob) objective(q *loadQueue) time.Duration {
	chain := time.Duration(0)
	for _, st := range j.Steps {
		chain += st.longest() + q.Eligibility.CallDuration(workersPerCall)
	}
	return time.Duration(q.StretchFactor*float64(chain)) + q.LatencyTarget
}

func (l *loadRun) inTime(j *loadJob) bool {
	return j.finished != 0 && j.finished.Sub(j.submitted) <= j.objective(l.queueOf(j.Queue))
}

// wait returns the time from the submission to the first placement.
func (j *loadJob) wait() time.Duration {
	if j.placed == 0 {
		return peakDuration
	}
	return j.placed.Sub(j.submitted)
}

// inTimeShares returns the share of jobs in time for each value of a property.
func (l *loadRun) inTimeShares(of func(*loadJob) string) map[string]float64 {
	all, inTime := map[string]float64{}, map[string]float64{}
	for _, j := range l.jobs {
		all[of(j)]++
		if l.inTime(j) {
			inTime[of(j)]++
		}
	}
	for k := range all {
		inTime[k] /= all[k]
	}
	return inTime
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
		shares := l.inTimeShares(of)
		fmt.Fprintf(&b, "in time by %s:", name)
		for _, k := range sortedNames(shares) {
			fmt.Fprintf(&b, " %s %.3f", k, shares[k])
		}
		b.WriteString("\n")
	}
	line("day", func(*loadJob) string { return "all" })
	line("kind", func(j *loadJob) string { return j.Queue })
	line("data centre", func(j *loadJob) string { return fmt.Sprint(j.Zone) })
	line("window", func(j *loadJob) string { return fmt.Sprintf("%02d", j.AtMs/peakWindow.Milliseconds()*2) })
	for _, q := range l.queues {
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

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// Loads of a replay: copies of each kind of job.
var (
	peakOnce   = map[string]int{"urgent": 1, "plan": 1, "batch": 1}
	peakTwice  = map[string]int{"urgent": 2, "plan": 2, "batch": 2}
	peakUrgent = map[string]int{"urgent": 1}
	// peakOverload has more plans and batch work than the workers can run at once.
	peakOverload = map[string]int{"urgent": 1, "plan": 4, "batch": 6}
)

// loadSeeds returns the number of seeds to replay: one, or GENTIANPICK_SEEDS.
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

// TestPeakLoad replays the peak of a simulated day, once with each job and once with
// two copies of each, and logs how long jobs wait. It guards against jobs that are
// refused, lost or never run.
func TestPeakLoad(t *testing.T) {
	for name, copies := range map[string]map[string]int{"once": peakOnce, "twice": peakTwice} {
		for seed := range loadSeeds(t) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				l := replayProfile(t, seed, copies)
				t.Log("\n" + l.String())
				for _, id := range l.order {
					if l.jobs[id].finished == 0 {
						t.Errorf("%s has not ended", id)
					}
					is.New(t).Equal(l.jobs[id].refused, 0) // the store always answers
				}
			})
		}
	}
}

// TestUrgentWorkIsNotBlockedByBatchWork guards against urgent work that has to wait for
// the batch work that occupies the workers.
func TestUrgentWorkIsNotBlockedByBatchWork(t *testing.T) {
	const bound = 1.5
	is := is.New(t)
	var alone, withBatch []time.Duration
	for seed := range loadSeeds(t) {
		alone = append(alone, replayProfile(t, seed, peakUrgent).waits("urgent")...)
		full := replayProfile(t, seed, peakOverload)
		withBatch = append(withBatch, full.waits("urgent")...)
		t.Log("\n" + full.String())
	}
	a, b := quantile(alone, 0.99), quantile(withBatch, 0.99)
	t.Logf("p99 wait of urgent work: %v alone, %v with batch work", a, b)
	is.True(float64(b) <= bound*float64(a))
}
