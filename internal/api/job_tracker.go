package api

import (
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// maxTrackedJobs limits the number of accepted jobs whose end is not counted yet,
// at about 200 bytes each. It equals an owner's default limit of unfinished jobs,
// so that an instance that accepts all of these can count all of them.
const maxTrackedJobs = 50000

// jobTracker stores the jobs that were accepted through this instance until a
// query through this instance returns their final answer, so that the burn rates
// count each job once. A job that is queried only through other instances, or not
// at all, is not counted. A jobTracker is safe for concurrent use.
type jobTracker struct {
	mu    sync.Mutex
	jobs  map[model.JobID]trackedJob
	order []model.JobID // by time of acceptance; may contain jobs that have finished
}

// trackedJob is an accepted job whose end is not counted yet.
type trackedJob struct {
	service    string
	acceptedAt time.Time
}

func newJobTracker() *jobTracker { return &jobTracker{jobs: map[model.JobID]trackedJob{}} }

// add starts to track a job. At the limit it drops the oldest job.
func (t *jobTracker) add(id model.JobID, service string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.jobs[id]; known {
		return
	}
	for len(t.order) >= maxTrackedJobs {
		delete(t.jobs, t.order[0])
		t.order = t.order[1:]
	}
	t.jobs[id] = trackedJob{service, at}
	t.order = append(t.order, id)
}

// finish stops tracking a job and returns it. It reports false for a job that is not
// tracked, so that a second final answer is not counted.
func (t *jobTracker) finish(id model.JobID) (trackedJob, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.jobs[id]
	delete(t.jobs, id)
	return a, ok
}

// recordSubmission adds the answer to a submission to the burn rates. An accepted
// job is tracked instead and counted when it has finished.
func (s *server) recordSubmission(sub model.Submission, a model.Answer, start time.Time) {
	text := s.cfg.Instance.Text()
	if s.cfg.Burn == nil || text == nil {
		return
	}
	if a.Job != "" && (a.Outcome == model.OutcomeAccepted || a.Outcome == model.OutcomeRunning) {
		s.unfinished.add(a.Job, sub.Service, start)
		return
	}
	s.cfg.Burn.Answered(text.Parsed, sub.Service, a, time.Since(start))
}

// recordFinished adds an accepted job to the burn rates at the first query that
// returns its final answer.
func (s *server) recordFinished(id model.JobID, a model.Answer) {
	text := s.cfg.Instance.Text()
	if s.cfg.Burn == nil || text == nil || !a.Outcome.Final() {
		return
	}
	if j, ok := s.unfinished.finish(id); ok {
		s.cfg.Burn.Answered(text.Parsed, j.service, a, time.Since(j.acceptedAt))
	}
}
