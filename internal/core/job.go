package core

import (
	"encoding/json"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// taskMark is the state of one task of a job as the log or the owner knows it.
type taskMark uint8

const (
	taskWaiting taskMark = iota
	taskActive           // placed; only at the owner
	taskDone
	taskFailed
)

// job is one unit of work. Durable jobs are folded from the log on every
// instance; others exist only at the owner.
type job struct {
	id         model.JobID
	sub        model.Submission
	hash       uint64
	svc        model.Service // copied when the owner takes the job on
	need       model.Resources
	keyed      bool
	adopted    bool // made from a former owner's intent; the request's body is not known
	durable    bool
	accepting  bool // an Accept is queued or in flight
	cancelled  bool
	deadline   model.Time // of interactive and keyed work
	deadlineAt time.Time  // wall clock; batch and gang
	enqueued   model.Time

	marks   []taskMark
	results [][]byte
	done    int
	failed  int
	active  int // tasks that are placed

	everStarted   bool // some task may have started
	lostRun       bool // the run of some task was lost
	answer        *model.Answer
	endedAt       model.Time
	finishDurable bool
	atRisk        bool
	forecast      time.Duration
	waiters       []waiter
	unlogged      []finishedTask // done, but their progress was not read back
	gangQueued    bool           // a restart of the gang waits for its backoff
}

// origin says where the answer to a forwarded request goes.
type origin struct {
	member   model.Member
	request  model.RequestID
	job      model.JobID
	forwards []string // every forward of the request that was taken
}

func originOf(f *message.Forward) origin {
	return origin{member: f.Origin, request: f.Request, job: f.Job, forwards: []string{f.ID}}
}

// waiter is a request that waits for a job.
type waiter struct {
	origin
	kind  message.ForwardKind
	until model.Time
}

func newJob(id model.JobID, sub model.Submission, hash uint64) *job {
	j := &job{id: id, deadline: model.Never}
	j.setSubmission(sub, hash)
	return j
}

func (j *job) setSubmission(sub model.Submission, hash uint64) {
	j.sub, j.hash = sub, hash
	j.grow(max(sub.Tasks, 1))
}

func (j *job) grow(n int) {
	for len(j.marks) < n {
		j.marks = append(j.marks, taskWaiting)
		j.results = append(j.results, nil)
	}
}

// settle records the end of a task. The first end counts.
func (j *job) settle(index int, m taskMark, result []byte) {
	if index < 0 || index >= maxTasks {
		return
	}
	j.grow(index + 1)
	old := j.marks[index]
	if old == taskDone || old == taskFailed {
		return
	}
	if old == taskActive {
		j.active--
	}
	j.marks[index], j.results[index] = m, result
	if m == taskDone {
		j.done++
	} else {
		j.failed++
	}
}

// mark sets a task that has not ended to waiting or active.
func (j *job) mark(index int, m taskMark) {
	old := j.marks[index]
	if old == taskDone || old == taskFailed || old == m {
		return
	}
	j.marks[index] = m
	if m == taskActive {
		j.active++
	} else {
		j.active--
	}
}

// ended reports whether every task has ended.
func (j *job) ended() bool { return j.done+j.failed >= len(j.marks) }

// reset forgets what only an owner knows.
func (j *job) reset() {
	for i, m := range j.marks {
		if m == taskActive {
			j.marks[i] = taskWaiting
		}
	}
	j.active, j.everStarted, j.accepting = 0, false, false
}

// release drops bodies and per-task results of a finished job; the answer has
// what a caller may still ask for.
func (j *job) release() {
	j.sub.Body, j.results = nil, nil
	j.results = make([][]byte, len(j.marks))
}

func (j *job) counts() model.TaskCounts {
	n := len(j.marks)
	return model.TaskCounts{
		Total: n, Done: j.done, Failed: j.failed, Running: j.active,
		Waiting: n - j.done - j.failed - j.active,
	}
}

// result is the whole result: the task's own for one task, else a JSON array
// in the order of the tasks.
func (j *job) result() []byte {
	if len(j.results) == 1 {
		return j.results[0]
	}
	parts := make([]string, len(j.results))
	for i, r := range j.results {
		parts[i] = string(r)
	}
	b, err := json.Marshal(parts)
	if err != nil {
		return nil
	}
	return b
}

// resultBytes returns the size of the results so far.
func (j *job) resultBytes() int {
	n := 0
	for _, r := range j.results {
		n += len(r)
	}
	return n
}

// progress is the answer while the job has not ended.
func (j *job) progress() model.Answer {
	a := model.Answer{Job: j.id, Outcome: model.OutcomeAccepted, Forecast: j.forecast}
	if j.active > 0 || j.done+j.failed > 0 {
		a.Outcome = model.OutcomeRunning
	}
	n := j.counts()
	a.Tasks = &n
	return a
}

// reply answers one forwarded request.
func (c *Core) reply(o origin, a model.Answer) {
	a.Job = o.job
	r := &message.Reply{Request: o.request, Answer: a, Forwards: o.forwards}
	if o.member.Incarnation == c.cfg.Self.Incarnation {
		c.onReply(r)
		return
	}
	c.send(o.member, message.Body{Reply: r})
}

// answerWaiters gives every waiter of a job the same answer.
func (c *Core) answerWaiters(j *job, a model.Answer) {
	ws := j.waiters
	j.waiters = nil
	for _, w := range ws {
		c.reply(w.origin, a)
	}
}

// replyWaiters tells the waiters of a job that has ended.
func (c *Core) replyWaiters(j *job) {
	if j.answer != nil {
		c.answerWaiters(j, *j.answer)
	}
}

// attach adds a waiter, or replaces the one of the same request: a repeated
// forward must not be answered twice.
func (c *Core) attach(j *job, w waiter) {
	c.owner.waiters.add(w.until, j.id)
	for i := range j.waiters {
		if j.waiters[i].request == w.request && j.waiters[i].member.Incarnation == w.member.Incarnation {
			w.forwards = append(w.forwards, j.waiters[i].forwards...)
			j.waiters[i] = w
			return
		}
	}
	j.waiters = append(j.waiters, w)
}
