package core

import (
	"encoding/json"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// taskState is the state of one task of a job as the log or the owner knows it.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskActive            // placed; only at the owner
	taskDone
	taskFailed
)

// job is one unit of work. Durable jobs are folded from the log on every
// instance; others exist only at the owner.
type job struct {
	id            model.JobID
	submission    model.Submission
	requestHash   uint64
	service       model.Service // copied when the owner takes the job on
	resources     model.Resources
	keyed         bool
	fromIntent    bool // made from a former owner's intent; the request's body is not known
	durable       bool
	acceptPending bool // an Accept is queued or in flight
	cancelled     bool
	deadline      model.Time // of interactive and keyed work
	wallDeadline  time.Time  // wall clock; batch and gang
	enqueuedAt    model.Time

	taskStates []taskState
	results    [][]byte
	done       int
	failed     int
	active     int // tasks that are placed

	mayHaveStarted    bool // some task may have started
	runLost           bool // the run of some task was lost
	answer            *model.Answer
	endedAt           model.Time
	finishLogged      bool
	atRisk            bool
	forecast          time.Duration
	waiters           []waiter
	unloggedTasks     []finishedTask // done, but their progress was not read back
	gangRestartQueued bool           // a restart of the gang waits for its backoff
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
	j.submission, j.requestHash = sub, hash
	j.growTasks(max(sub.Tasks, 1))
}

func (j *job) growTasks(n int) {
	for len(j.taskStates) < n {
		j.taskStates = append(j.taskStates, taskWaiting)
		j.results = append(j.results, nil)
	}
}

// recordTaskEnd records the end of a task. The first end counts.
func (j *job) recordTaskEnd(index int, m taskState, result []byte) {
	if index < 0 || index >= maxTasks {
		return
	}
	j.growTasks(index + 1)
	old := j.taskStates[index]
	if old == taskDone || old == taskFailed {
		return
	}
	if old == taskActive {
		j.active--
	}
	j.taskStates[index], j.results[index] = m, result
	if m == taskDone {
		j.done++
	} else {
		j.failed++
	}
}

// setTaskState sets a task that has not ended to waiting or active.
func (j *job) setTaskState(index int, m taskState) {
	old := j.taskStates[index]
	if old == taskDone || old == taskFailed || old == m {
		return
	}
	j.taskStates[index] = m
	if m == taskActive {
		j.active++
	} else {
		j.active--
	}
}

// allTasksEnded reports whether every task has allTasksEnded.
func (j *job) allTasksEnded() bool { return j.done+j.failed >= len(j.taskStates) }

// clearOwnerState forgets what only an owner knows.
func (j *job) clearOwnerState() {
	for i, m := range j.taskStates {
		if m == taskActive {
			j.taskStates[i] = taskWaiting
		}
	}
	j.active, j.mayHaveStarted, j.acceptPending = 0, false, false
}

// discardPayload drops bodies and per-task results of a finished job; the answer has
// what a caller may still ask for.
func (j *job) discardPayload() {
	j.submission.Body, j.results = nil, nil
	j.results = make([][]byte, len(j.taskStates))
}

func (j *job) taskCounts() model.TaskCounts {
	n := len(j.taskStates)
	return model.TaskCounts{
		Total: n, Done: j.done, Failed: j.failed, Running: j.active,
		Waiting: n - j.done - j.failed - j.active,
	}
}

// combinedResult is the whole combinedResult: the task's own for one task, else a JSON array
// in the order of the tasks.
func (j *job) combinedResult() []byte {
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

// resultSize returns the size of the results so far.
func (j *job) resultSize() int {
	n := 0
	for _, r := range j.results {
		n += len(r)
	}
	return n
}

// progressAnswer is the answer while the job has not ended.
func (j *job) progressAnswer() model.Answer {
	a := model.Answer{Job: j.id, Outcome: model.OutcomeAccepted, Forecast: j.forecast}
	if j.active > 0 || j.done+j.failed > 0 {
		a.Outcome = model.OutcomeRunning
	}
	n := j.taskCounts()
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

// sendFinalAnswer tells the waiters of a job that has ended.
func (c *Core) sendFinalAnswer(j *job) {
	if j.answer != nil {
		c.answerWaiters(j, *j.answer)
	}
}

// addWaiter adds a waiter, or replaces the one of the same request: a repeated
// forward must not be answered twice.
func (c *Core) addWaiter(j *job, w waiter) {
	c.own.waiterTimers.add(w.until, j.id)
	for i := range j.waiters {
		if j.waiters[i].request == w.request && j.waiters[i].member.Incarnation == w.member.Incarnation {
			w.forwards = append(w.forwards, j.waiters[i].forwards...)
			j.waiters[i] = w
			return
		}
	}
	j.waiters = append(j.waiters, w)
}
