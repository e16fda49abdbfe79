// Package health decides which workers get no work because they fail
// everything, and which jobs fail on every worker.
//
// Both verdicts come from the same ends of tasks. A job is at fault when it
// fails on several workers that succeed with other jobs; its failures then
// count against no worker. A worker is quarantined when it fails several tasks
// in a row, of more than one job. Stopped and cancelled tasks are no failures
// and must not be passed in.
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
	FailureStreak      int           // failures in a row that quarantine a worker
	MinStreakJobs      int           // different jobs among them, at least
	MinJobFaultWorkers int           // healthy workers that a job must fail on to be at fault
	SuccessWindow      time.Duration // how long a success shows that a worker is healthy
	QuarantineDivisor  int           // at most one in this many workers is in quarantine
	InitialProbeDelay  time.Duration // wait before the first probe; doubled after each failed one
	MaxProbeDelay      time.Duration // cap of that wait
	ProbeTimeout       time.Duration // a probe without an end is given up after this
}

// DefaultConfig returns the thresholds of a production instance.
func DefaultConfig() Config {
	return Config{
		// Five failures in a row of healthy work at a failure rate of a tenth
		// happen once in 100,000 tasks.
		FailureStreak:      5,
		MinStreakJobs:      2,
		MinJobFaultWorkers: 3,
		SuccessWindow:      10 * time.Minute,
		// More bad workers than this point to a common cause, for example a
		// dependency, which quarantine would only make worse.
		QuarantineDivisor: 3,
		InitialProbeDelay: 5 * time.Second,
		MaxProbeDelay:     5 * time.Minute,
		ProbeTimeout:      time.Minute,
	}
}

// Change lists new verdicts, each sorted.
type Change struct {
	Quarantined []model.WorkerName
	Released    []model.WorkerName
	JobsAtFault []model.JobID
}

// streakKept bounds the failures remembered per worker. It is several times
// Streak, since those of a job found at fault later are taken out again.
const streakKept = 32

// success is the end of a task that succeeded.
type success struct {
	job model.JobID
	at  model.Time
}

type workerState struct {
	streak      []model.JobID // jobs that failed since the last success, oldest first
	last        [2]success    // newest successes of two different jobs, newest first
	unreachable bool
	quarantined bool
	probing     bool
	nextProbe   model.Time // due time, or the time-out of the probe in progress
	wait        time.Duration
}

type jobState struct {
	blamed  map[model.WorkerName]model.Time // healthy workers that it failed on
	atFault bool
}

// Tracker is the health of one data centre's workers. It is not safe for
// concurrent use.
type Tracker struct {
	cfg     Config
	workers map[model.WorkerName]*workerState
	jobs    map[model.JobID]*jobState
}

// New returns a state without workers.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, workers: map[model.WorkerName]*workerState{}, jobs: map[model.JobID]*jobState{}}
}

// RecordTaskEnd notes that a task of a job ended at a worker, with or without
// success, and returns the verdicts that follow.
func (s *Tracker) RecordTaskEnd(now model.Time, w model.WorkerName, job model.JobID, ok bool) (change Change) {
	ws := s.worker(w)
	if ok {
		s.succeeded(now, w, ws, job, &change)
	} else {
		s.failed(now, w, ws, job, &change)
	}
	slices.Sort(change.Released)
	slices.Sort(change.JobsAtFault)
	return change
}

func (s *Tracker) succeeded(now model.Time, w model.WorkerName, ws *workerState, job model.JobID, ch *Change) {
	if j := s.jobs[job]; j != nil && !j.atFault {
		delete(s.jobs, job)
	}
	streak := ws.streak
	ws.streak = nil
	if ws.last[0].job != job {
		ws.last[1] = ws.last[0]
	}
	ws.last[0] = success{job, now}
	if ws.quarantined {
		ws.quarantined = false
		ch.Released = append(ch.Released, w)
		return // what failed while the worker was bad says nothing about jobs
	}
	for _, other := range streak {
		if other != job {
			s.blame(now, w, other, ch)
		}
	}
}

func (s *Tracker) failed(now model.Time, w model.WorkerName, ws *workerState, job model.JobID, ch *Change) {
	if ws.quarantined && ws.probing {
		ws.wait = min(2*ws.wait, s.cfg.MaxProbeDelay)
		ws.probing, ws.nextProbe = false, now.Add(ws.wait)
	}
	if s.JobAtFault(job) {
		return
	}
	ws.streak = append(ws.streak, job)
	if len(ws.streak) > streakKept {
		ws.streak = ws.streak[1:]
	}
	if s.clean(now, ws, job) {
		s.blame(now, w, job, ch)
	}
	if !ws.quarantined && s.bad(ws) && s.room() {
		ws.quarantined, ws.probing = true, false
		ws.wait = s.cfg.InitialProbeDelay
		ws.nextProbe = now.Add(ws.wait)
		for _, j := range s.jobs {
			delete(j.blamed, w)
		}
		ch.Quarantined = append(ch.Quarantined, w)
	}
}

// clean reports whether a worker is healthy as far as jobs other than the
// given one show: one succeeded recently, and none failed since.
func (s *Tracker) clean(now model.Time, ws *workerState, job model.JobID) bool {
	other := ws.last[0]
	if other.job == job {
		other = ws.last[1]
	}
	if ws.quarantined || other.job == "" || now.Sub(other.at) >= s.cfg.SuccessWindow {
		return false
	}
	return !slices.ContainsFunc(ws.streak, func(j model.JobID) bool { return j != job })
}

// bad reports whether a worker's failures suffice for quarantine.
func (s *Tracker) bad(ws *workerState) bool {
	if len(ws.streak) < s.cfg.FailureStreak {
		return false
	}
	jobs := map[model.JobID]bool{}
	for _, j := range ws.streak[len(ws.streak)-s.cfg.FailureStreak:] {
		jobs[j] = true
	}
	return len(jobs) >= s.cfg.MinStreakJobs
}

// room reports whether one more worker may be quarantined.
func (s *Tracker) room() bool {
	n := 1
	for _, ws := range s.workers {
		if ws.quarantined {
			n++
		}
	}
	return n*s.cfg.QuarantineDivisor <= len(s.workers)
}

// blame counts a failure on a healthy worker against a job. When the job is
// found at fault, its failures no longer count against workers, which may
// release some and show other jobs' failures in a new light.
func (s *Tracker) blame(now model.Time, w model.WorkerName, job model.JobID, ch *Change) {
	j := s.jobs[job]
	if j == nil {
		j = &jobState{blamed: map[model.WorkerName]model.Time{}}
		s.jobs[job] = j
	}
	j.blamed[w] = now
	maps.DeleteFunc(j.blamed, func(_ model.WorkerName, at model.Time) bool { return now.Sub(at) >= s.cfg.SuccessWindow })
	if j.atFault || len(j.blamed) < s.cfg.MinJobFaultWorkers {
		return
	}
	j.atFault = true
	ch.JobsAtFault = append(ch.JobsAtFault, job)
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		ws := s.workers[name]
		before := len(ws.streak)
		ws.streak = slices.DeleteFunc(ws.streak, func(x model.JobID) bool { return x == job })
		if len(ws.streak) == before {
			continue
		}
		if ws.quarantined && !s.bad(ws) {
			ws.quarantined = false
			ch.Released = append(ch.Released, name)
		}
		if n := len(ws.streak); n > 0 && s.clean(now, ws, ws.streak[n-1]) {
			s.blame(now, name, ws.streak[n-1], ch)
		}
	}
}

// MarkUnreachable notes that a worker can't be reached. It is not probed, and a
// probe in progress is given up.
func (s *Tracker) MarkUnreachable(now model.Time, w model.WorkerName) {
	ws := s.worker(w)
	ws.unreachable = true
	if ws.probing {
		ws.probing, ws.nextProbe = false, now.Add(ws.wait)
	}
}

// MarkReachable notes that a worker answered. A worker counts towards the number
// of workers from the first call that names it.
func (s *Tracker) MarkReachable(_ model.Time, w model.WorkerName) { s.worker(w).unreachable = false }

// Quarantined reports whether a worker gets no work but probes.
func (s *Tracker) Quarantined(w model.WorkerName) bool {
	ws := s.workers[w]
	return ws != nil && ws.quarantined
}

// StartDueProbes returns the quarantined workers that are to get one idempotent task
// now, sorted. Each is then not returned again until that task has ended or
// timed out, or ProbeSkipped was called.
func (s *Tracker) StartDueProbes(now model.Time) []model.WorkerName {
	var due []model.WorkerName
	for name, ws := range s.workers {
		if ws.quarantined && !ws.unreachable && now >= ws.nextProbe {
			ws.probing, ws.nextProbe = true, now.Add(s.cfg.ProbeTimeout)
			due = append(due, name)
		}
	}
	slices.SortFunc(due, cmp.Compare[model.WorkerName])
	return due
}

// CancelProbe notes that no task was sent to a worker that ProbeDue returned.
// It is due again at once.
func (s *Tracker) CancelProbe(now model.Time, w model.WorkerName) {
	if ws := s.workers[w]; ws != nil && ws.probing {
		ws.probing, ws.nextProbe = false, now
	}
}

// JobAtFault reports whether a job's failures are its own.
func (s *Tracker) JobAtFault(job model.JobID) bool {
	j := s.jobs[job]
	return j != nil && j.atFault
}

// ForgetJob drops what is known of a job that has ended.
func (s *Tracker) ForgetJob(job model.JobID) { delete(s.jobs, job) }

// ForgetWorker drops a worker that is gone or was replaced.
func (s *Tracker) ForgetWorker(w model.WorkerName) {
	delete(s.workers, w)
	for _, j := range s.jobs {
		delete(j.blamed, w)
	}
}

func (s *Tracker) worker(w model.WorkerName) *workerState {
	ws := s.workers[w]
	if ws == nil {
		ws = &workerState{}
		s.workers[w] = ws
	}
	return ws
}
