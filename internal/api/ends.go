package api

import (
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// maxTracked bounds the accepted jobs whose end is still to be counted, about
// 200 bytes each. It equals the default limit of unfinished jobs of an owner,
// so that an instance that accepts all of them still counts all.
const maxTracked = 50000

// ends remembers jobs that were accepted through this instance until a query
// through this instance shows their end, so that each end is counted once in
// the burn rates. A job whose caller asks another instance, or never, is not
// counted. It is safe for concurrent use.
type ends struct {
	mu    sync.Mutex
	jobs  map[model.JobID]accepted
	order []model.JobID // by acceptance; may hold jobs that have ended
}

// accepted is one job whose end is not counted yet.
type accepted struct {
	service string
	at      time.Time
}

func newEnds() *ends { return &ends{jobs: map[model.JobID]accepted{}} }

// accept remembers a job. The oldest one makes room.
func (e *ends) accept(id model.JobID, service string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.jobs[id]; known {
		return
	}
	for len(e.order) >= maxTracked {
		delete(e.jobs, e.order[0])
		e.order = e.order[1:]
	}
	e.jobs[id] = accepted{service, at}
	e.order = append(e.order, id)
}

// end returns the job of a final answer, once.
func (e *ends) end(id model.JobID) (accepted, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.jobs[id]
	delete(e.jobs, id)
	return a, ok
}

// count adds an answer to a submission to the burn rates. An accepted job
// counts at its end.
func (s *server) count(sub model.Submission, a model.Answer, start time.Time) {
	text := s.cfg.Instance.Text()
	if s.cfg.Burn == nil || text == nil {
		return
	}
	if a.Job != "" && (a.Outcome == model.OutcomeAccepted || a.Outcome == model.OutcomeRunning) {
		s.ends.accept(a.Job, sub.Service, start)
		return
	}
	s.cfg.Burn.Answered(text.Parsed, sub.Service, a, time.Since(start))
}

// countEnd adds the end of an accepted job to the burn rates, at the first
// query that shows it.
func (s *server) countEnd(id model.JobID, a model.Answer) {
	text := s.cfg.Instance.Text()
	if s.cfg.Burn == nil || text == nil || !a.Outcome.Final() {
		return
	}
	if j, ok := s.ends.end(id); ok {
		s.cfg.Burn.Answered(text.Parsed, j.service, a, time.Since(j.at))
	}
}
