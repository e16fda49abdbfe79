package core

import (
	"encoding/json"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// taskState is the state of one task of a job, as known from the log or to the owner.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskActive            // placed on a worker; known only to the owner
	taskDone
	taskFailed
)

// job is one submission and the state of its tasks. Durable jobs are folded from the
// log on every instance; others exist only at the owner.
type job struct {
	id            model.JobID
	submission    model.Submission
	requestHash   uint64
	service       model.Service // copied when the owner admits or resumes the job
	resources     model.Resources
	keyed         bool // the service is not idempotent: a key runs at most once
	adopted       bool // built from a former owner's intent or running task; body not known
	durable       bool
	acceptPending bool // an Accept is queued or in flight
	cancelled     bool
	deadline      model.Time // monotonic clock; interactive and keyed work
	wallDeadline  time.Time  // wall clock; batch and gang jobs
	enqueuedAt    model.Time

	taskStates []taskState
	results    [][]byte
	done       int
	failed     int
	active     int // number of placed tasks

	mayHaveStarted    bool // some task may have started
	runLost           bool // a task was lost, so how its run ended is not known
	answer            *model.Answer
	endedAt           model.Time
	finishLogged      bool
	atRisk            bool
	forecast          time.Duration
	waiters           []waiter
	cancelLogged      bool           // the log has the job's cancellation
	cancelWaiters     []waiter       // of cancellations that the log does not have yet
	unloggedTasks     []finishedTask // done, but their progress record was not read back yet
	gangRestartQueued bool           // the gang waits in ownerState.delayed for its restart
}

// origin identifies a forwarded request and the instance that waits for its answer.
type origin struct {
	member   model.Member
	request  model.RequestID
	job      model.JobID
	forwards []string // ids of all forwards of this request that were received
}

func originOf(f *message.Forward) origin {
	return origin{member: f.Origin, request: f.Request, job: f.Job, forwards: []string{f.ID}}
}

// waiter is a request that waits for a job's answer.
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

// recordTaskEnd records the end of a task. Later ends of the same task are ignored.
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

// setTaskState sets the state of a task that has not ended to waiting or active.
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

// allTasksEnded reports whether every task is done or failed.
func (j *job) allTasksEnded() bool { return j.done+j.failed >= len(j.taskStates) }

// clearOwnerState resets the state that only an owner has.
func (j *job) clearOwnerState() {
	for i, m := range j.taskStates {
		if m == taskActive {
			j.taskStates[i] = taskWaiting
		}
	}
	j.active, j.mayHaveStarted, j.acceptPending = 0, false, false
}

// discardPayload drops the body and the per-task results of a finished job. Later
// queries need only its answer.
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

// combinedResult returns the job's result: that of its only task, or a JSON array of
// all results in task order.
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

// resultSize returns the total size of the results so far, in bytes.
func (j *job) resultSize() int {
	n := 0
	for _, r := range j.results {
		n += len(r)
	}
	return n
}

// progressAnswer returns the answer for a job that has not ended.
func (j *job) progressAnswer() model.Answer {
	a := model.Answer{Job: j.id, Outcome: model.OutcomeAccepted, Forecast: j.forecast}
	if j.active > 0 || j.done+j.failed > 0 {
		a.Outcome = model.OutcomeRunning
	}
	n := j.taskCounts()
	a.Tasks = &n
	return a
}

// reply sends the answer of a forwarded request to its origin.
func (c *Core) reply(o origin, a model.Answer) {
	a.Job = o.job
	r := &message.Reply{Request: o.request, Answer: a, Forwards: o.forwards}
	if o.member.Incarnation == c.cfg.Self.Incarnation {
		c.onReply(r)
		return
	}
	c.send(o.member, message.Body{Reply: r})
}

// answerWaiters sends the same answer to every waiter of a job and removes them.
func (c *Core) answerWaiters(j *job, a model.Answer) {
	ws := j.waiters
	j.waiters = nil
	for _, w := range ws {
		c.reply(w.origin, a)
	}
}

// sendFinalAnswer sends the final answer of a job, if it has one, to its waiters.
func (c *Core) sendFinalAnswer(j *job) {
	if j.answer != nil {
		c.answerWaiters(j, *j.answer)
	}
}

// addWaiter adds a waiter. It replaces an earlier waiter of the same request, since a
// repeated forward must not be answered twice.
func (c *Core) addWaiter(j *job, w waiter) {
	c.owner.waiterTimers.add(w.until, j.id)
	for i := range j.waiters {
		if j.waiters[i].request == w.request && j.waiters[i].member.Incarnation == w.member.Incarnation {
			w.forwards = append(w.forwards, j.waiters[i].forwards...)
			j.waiters[i] = w
			return
		}
	}
	j.waiters = append(j.waiters, w)
}
