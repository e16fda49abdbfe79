// Package health decides which workers to quarantine because they fail all tasks,
// and which jobs are at fault because they fail on every worker.
//
// Both decisions are based on the results of ended tasks. A job is at fault when it
// fails on several workers that succeed with other jobs; its failures then count
// against no worker. A worker is quarantined when it fails several consecutive tasks
// of more than one job. Stopped and cancelled tasks are not failures and must not be
// recorded.
package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Config sets the thresholds.
type Config struct {
	FailureStreak      int           // consecutive failures that quarantine a worker
	MinStreakJobs      int           // minimum number of different jobs among them
	MinJobFaultWorkers int           // minimum number of healthy workers that a job at fault fails on
	SuccessWindow      time.Duration // how long a success shows that a worker is healthy
	QuarantineDivisor  int           // at most one in this many workers is quarantined
	InitialProbeDelay  time.Duration // delay of the first probe; doubled after each failed probe
	MaxProbeDelay      time.Duration // cap of that delay
	ProbeTimeout       time.Duration // a probe that has not ended after this time is abandoned
}

// DefaultConfig returns the thresholds of a production instance.
func DefaultConfig() Config {
	return Config{
		// At a failure rate of 10%, five consecutive failures happen by chance once
		// in 100,000 tasks.
		FailureStreak:      5,
		MinStreakJobs:      2,
		MinJobFaultWorkers: 3,
		SuccessWindow:      10 * time.Minute,
		// More failing workers than this point to a common cause, such as a
		// dependency. Quarantine would only make that worse.
		QuarantineDivisor: 3,
		InitialProbeDelay: 5 * time.Second,
		MaxProbeDelay:     5 * time.Minute,
		ProbeTimeout:      time.Minute,
	}
}

// Change lists the workers and jobs whose status has changed, each list sorted.
type Change struct {
	Quarantined []model.WorkerName
	Released    []model.WorkerName
	JobsAtFault []model.JobID
}

// maxFailures bounds the failures remembered per worker. It is several times
// FailureStreak, since the failures of a job that is found at fault later are
// removed again.
const maxFailures = 32

// success is the end of a task that succeeded.
type success struct {
	job model.JobID
	at  model.Time
}

type workerState struct {
	failures    []model.JobID // jobs that failed since the last success, oldest first
	successes   [2]success    // newest successes of two different jobs, newest first
	unreachable bool
	quarantined bool
	probing     bool
	nextProbe   model.Time // due time of the next probe, or timeout of the probe in progress
	probeDelay  time.Duration
}

type jobState struct {
	failedOn map[model.WorkerName]model.Time // healthy workers that the job failed on, with the time of the last failure
	atFault  bool
}

// Tracker tracks the health of one data centre's workers. It is not safe for
// concurrent use.
type Tracker struct {
	cfg     Config
	workers map[model.WorkerName]*workerState
	jobs    map[model.JobID]*jobState
}

// New returns a tracker without workers.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, workers: map[model.WorkerName]*workerState{}, jobs: map[model.JobID]*jobState{}}
}

// RecordTaskEnd records that a task of a job succeeded or failed on a worker, and
// returns the resulting changes.
func (t *Tracker) RecordTaskEnd(now model.Time, w model.WorkerName, job model.JobID, ok bool) (change Change) {
	ws := t.worker(w)
	if ok {
		t.taskSucceeded(now, w, ws, job, &change)
	} else {
		t.taskFailed(now, w, ws, job, &change)
	}
	slices.Sort(change.Released)
	slices.Sort(change.JobsAtFault)
	return change
}

func (t *Tracker) taskSucceeded(now model.Time, w model.WorkerName, ws *workerState, job model.JobID, ch *Change) {
	if j := t.jobs[job]; j != nil && !j.atFault {
		delete(t.jobs, job)
	}
	failures := ws.failures
	ws.failures = nil
	if ws.successes[0].job != job {
		ws.successes[1] = ws.successes[0]
	}
	ws.successes[0] = success{job, now}
	if ws.quarantined {
		ws.quarantined = false
		ch.Released = append(ch.Released, w)
		return // failures before the worker recovered say nothing about the jobs
	}
	for _, other := range failures {
		if other != job {
			t.countAgainstJob(now, w, other, ch)
		}
	}
}

func (t *Tracker) taskFailed(now model.Time, w model.WorkerName, ws *workerState, job model.JobID, ch *Change) {
	if ws.quarantined && ws.probing {
		ws.probeDelay = min(2*ws.probeDelay, t.cfg.MaxProbeDelay)
		ws.probing, ws.nextProbe = false, now.Add(ws.probeDelay)
	}
	if t.JobAtFault(job) {
		return
	}
	ws.failures = append(ws.failures, job)
	if len(ws.failures) > maxFailures {
		ws.failures = ws.failures[1:]
	}
	if t.healthyExceptFor(now, ws, job) {
		t.countAgainstJob(now, w, job, ch)
	}
	if !ws.quarantined && t.failing(ws) && t.canQuarantine() {
		ws.quarantined, ws.probing = true, false
		ws.probeDelay = t.cfg.InitialProbeDelay
		ws.nextProbe = now.Add(ws.probeDelay)
		for _, j := range t.jobs {
			delete(j.failedOn, w)
		}
		ch.Quarantined = append(ch.Quarantined, w)
	}
}

// healthyExceptFor reports whether a worker is healthy apart from the given job:
// another job succeeded recently, and no other job failed since.
func (t *Tracker) healthyExceptFor(now model.Time, ws *workerState, job model.JobID) bool {
	other := ws.successes[0]
	if other.job == job {
		other = ws.successes[1]
	}
	if ws.quarantined || other.job == "" || now.Sub(other.at) >= t.cfg.SuccessWindow {
		return false
	}
	return !slices.ContainsFunc(ws.failures, func(j model.JobID) bool { return j != job })
}

// failing reports whether a worker has failed enough tasks to be quarantined.
func (t *Tracker) failing(ws *workerState) bool {
	if len(ws.failures) < t.cfg.FailureStreak {
		return false
	}
	jobs := map[model.JobID]bool{}
	for _, j := range ws.failures[len(ws.failures)-t.cfg.FailureStreak:] {
		jobs[j] = true
	}
	return len(jobs) >= t.cfg.MinStreakJobs
}

// canQuarantine reports whether one more worker may be quarantined.
func (t *Tracker) canQuarantine() bool {
	n := 1
	for _, ws := range t.workers {
		if ws.quarantined {
			n++
		}
	}
	return n*t.cfg.QuarantineDivisor <= len(t.workers)
}

// countAgainstJob counts a failure on a healthy worker against a job. When the job is
// found at fault, its failures no longer count against workers. This may release
// some workers, and failures of other jobs on workers that now count as healthy are
// counted against those jobs.
func (t *Tracker) countAgainstJob(now model.Time, w model.WorkerName, job model.JobID, ch *Change) {
	j := t.jobs[job]
	if j == nil {
		j = &jobState{failedOn: map[model.WorkerName]model.Time{}}
		t.jobs[job] = j
	}
	j.failedOn[w] = now
	maps.DeleteFunc(j.failedOn, func(_ model.WorkerName, at model.Time) bool { return now.Sub(at) >= t.cfg.SuccessWindow })
	if j.atFault || len(j.failedOn) < t.cfg.MinJobFaultWorkers {
		return
	}
	j.atFault = true
	ch.JobsAtFault = append(ch.JobsAtFault, job)
	for _, name := range slices.Sorted(maps.Keys(t.workers)) {
		ws := t.workers[name]
		before := len(ws.failures)
		ws.failures = slices.DeleteFunc(ws.failures, func(x model.JobID) bool { return x == job })
		if len(ws.failures) == before {
			continue
		}
		if ws.quarantined && !t.failing(ws) {
			ws.quarantined = false
			ch.Released = append(ch.Released, name)
		}
		if n := len(ws.failures); n > 0 && t.healthyExceptFor(now, ws, ws.failures[n-1]) {
			t.countAgainstJob(now, name, ws.failures[n-1], ch)
		}
	}
}

// MarkUnreachable records that a worker can't be reached. The worker is not probed,
// and a probe in progress is abandoned.
func (t *Tracker) MarkUnreachable(now model.Time, w model.WorkerName) {
	ws := t.worker(w)
	ws.unreachable = true
	if ws.probing {
		ws.probing, ws.nextProbe = false, now.Add(ws.probeDelay)
	}
}

// MarkReachable records that a worker responded. A worker counts towards the number
// of workers from the first call of a method that records something about it.
func (t *Tracker) MarkReachable(_ model.Time, w model.WorkerName) { t.worker(w).unreachable = false }

// Quarantined reports whether a worker gets no tasks except probes.
func (t *Tracker) Quarantined(w model.WorkerName) bool {
	ws := t.workers[w]
	return ws != nil && ws.quarantined
}

// StartDueProbes returns the quarantined workers that should get one idempotent task
// now as a probe, sorted. A worker is not returned again until its probe has ended
// or timed out, or CancelProbe was called.
func (t *Tracker) StartDueProbes(now model.Time) []model.WorkerName {
	var due []model.WorkerName
	for name, ws := range t.workers {
		if ws.quarantined && !ws.unreachable && now >= ws.nextProbe {
			ws.probing, ws.nextProbe = true, now.Add(t.cfg.ProbeTimeout)
			due = append(due, name)
		}
	}
	slices.SortFunc(due, cmp.Compare[model.WorkerName])
	return due
}

// CancelProbe records that no task was sent to a worker that StartDueProbes
// returned. Its probe is due again at once.
func (t *Tracker) CancelProbe(now model.Time, w model.WorkerName) {
	if ws := t.workers[w]; ws != nil && ws.probing {
		ws.probing, ws.nextProbe = false, now
	}
}

// FailuresOn returns how many tasks of a job have failed on a worker since another one succeeded
// there, as far as they are remembered.
func (t *Tracker) FailuresOn(w model.WorkerName, job model.JobID) (n int) {
	if ws := t.workers[w]; ws != nil {
		for _, j := range ws.failures {
			if j == job {
				n++
			}
		}
	}
	return n
}

// JobAtFault reports whether a job's failures are attributed to the job itself.
func (t *Tracker) JobAtFault(job model.JobID) bool {
	j := t.jobs[job]
	return j != nil && j.atFault
}

// ForgetJob removes the record of a job that has ended.
func (t *Tracker) ForgetJob(job model.JobID) { delete(t.jobs, job) }

// ForgetWorker removes a worker that no longer exists or was replaced.
func (t *Tracker) ForgetWorker(w model.WorkerName) {
	delete(t.workers, w)
	for _, j := range t.jobs {
		delete(j.failedOn, w)
	}
}

func (t *Tracker) worker(w model.WorkerName) *workerState {
	ws := t.workers[w]
	if ws == nil {
		ws = &workerState{}
		t.workers[w] = ws
	}
	return ws
}
