package core

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/queue"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// owner is the state that only the owner of a data centre has. It is built
// from the log and from workers' reports, and dropped with the lease.
type owner struct {
	epoch uint64
	since model.Time

	cache    *placement.Cache
	queue    *queue.Queue
	workers  map[model.WorkerName]*workerState
	tasks    map[model.TaskID]*task
	jobTasks map[model.JobID]map[model.TaskID]*task
	byWorker map[model.WorkerName]map[model.TaskID]*task
	waiters  timers[model.JobID]    // when a job's waiter has to be answered
	queries  timers[model.TaskID]   // when a worker has to be asked about a start in doubt
	intents  map[model.TaskID]*task // whose intent is not stable yet
	depsDown map[string]bool        // by dependency; valid during one pass over queues or services
	services map[string]*serviceState
	stops    []*task // whose stop call must be repeated
	delayed  []*task // idempotent tasks that wait for their backoff
	doubts   int     // keyed starts with an unknown outcome

	actingSince model.Time // first time past the wait; zero: not yet
	settled     bool
	electors    []model.Member // of the epoch before
	consulted   map[model.Incarnation]bool
	nextConsult model.Time
	parked      []parked

	preempting int // checkpoints that were ordered and have not ended
	undurable  int // submissions whose Accept was not read back
	holds      map[model.TaskID]map[model.Incarnation]bool
	nextHold   model.Time

	probes       []model.WorkerName // quarantined workers that are due for a probe
	nextWorkers  model.Time
	nextServices model.Time
	nextForecast model.Time
	nextForget   model.Time
	forget       map[model.WorkerName][]model.TaskID
	snapshot     *snapshotWriter
}

func newOwner(epoch uint64, now model.Time, baseline bool) *owner {
	policy := queue.DefaultConfig()
	policy.FirstCome = baseline
	return &owner{
		epoch: epoch, since: now,
		cache:    placement.NewCache(),
		queue:    queue.New(policy),
		workers:  make(map[model.WorkerName]*workerState),
		tasks:    make(map[model.TaskID]*task),
		jobTasks: make(map[model.JobID]map[model.TaskID]*task),
		byWorker: make(map[model.WorkerName]map[model.TaskID]*task),
		intents:  make(map[model.TaskID]*task),
		services: make(map[string]*serviceState),
		holds:    make(map[model.TaskID]map[model.Incarnation]bool),
		forget:   make(map[model.WorkerName][]model.TaskID),
	}
}

// phase is where a placed task is.
type phase string

const (
	phaseIntent   phase = "intent"   // waits for its intent to be stable
	phaseStarting phase = "starting" // the start is on its way
	phaseDoubt    phase = "doubt"    // the start's outcome is not known
	phaseRunning  phase = "running"
)

// task is one attempt at a task of a job, or the wish to place one.
type task struct {
	j        *job
	index    int
	attempts int // that may have run
	id       model.TaskID
	number   int // the attempt's number in the task id
	worker   model.WorkerName
	boot     string
	notAfter model.WorkerTime
	phase    phase
	queued   model.Time
	placed   model.Time
	acked    model.Time // when the worker's acceptance was received
	sendBy   model.Time // until which the driver may send the start
	readyAt  model.Time // end of the backoff
	avoid    []model.WorkerName
	resume   []byte

	superseded bool // another attempt was started beside this one, which is in doubt
	stopping   bool
	preempted  bool
	straggler  bool // ran over the straggler limit and was queued again
}

// attemptShift leaves room for the attempts of one epoch below the epoch, so
// that task ids of successive owners differ. 32 bits last for years of starts.
const attemptShift = 32

// nextAttempt returns the number of a new attempt. The count goes on when the
// same instance takes the lease up again, possibly in the same epoch.
func (c *Core) nextAttempt() int {
	c.attempts++
	return int(c.own.epoch)<<attemptShift | c.attempts
}

func (j *job) item(index int, now model.Time) *queue.Item {
	it := &queue.Item{
		Task: model.NewTaskID(j.id, index, 0), Job: j.id, Service: j.sub.Service,
		Operation: j.sub.Operation, Team: j.svc.Team, Class: j.svc.Class, Need: j.need,
		Deadline: j.deadline, Enqueued: now,
	}
	if j.svc.Class == model.ClassGang {
		it.Gang = len(j.marks)
	}
	return it
}

// enqueueJob queues every waiting task of a job; a gang is queued as one item.
func (c *Core) enqueueJob(j *job) {
	if j.svc.Class == model.ClassGang {
		c.enqueue(&task{j: j, index: 0})
		return
	}
	for i, m := range j.marks {
		if m == taskWaiting {
			c.enqueue(&task{j: j, index: i})
		}
	}
}

// enqueue queues one task.
func (c *Core) enqueue(t *task) {
	it := t.j.item(t.index, c.now)
	if t.j.svc.Class == model.ClassBatch || t.j.svc.Class == model.ClassGang {
		it.Deadline = c.now.Add(t.j.deadlineAt.Sub(c.wall))
	}
	it.Data, it.Straggler = t, t.straggler
	t.queued = c.now
	if it.Class == model.ClassInteractive {
		c.own.queue.Arrived(it, c.now)
	}
	c.own.queue.Push(it)
	c.dirty = true
}

// tickOwner does the owner's periodic work.
func (c *Core) tickOwner() {
	o := c.own
	if c.now >= o.nextWorkers {
		o.nextWorkers = c.now.Add(workerInterval)
		c.tickWorkers()
	}
	c.tickWaiters()
	if !c.acting() {
		return
	}
	c.clearWorkers()
	if !o.settled && c.now >= o.nextConsult {
		c.consult()
	}
	c.tickDelayed()
	c.tickStops()
	c.tickDoubts()
	c.tickHolds()
	o.queue.Expire(c.now, func(it *queue.Item) { c.expireItem(it.Data.(*task)) })
	if c.now >= o.nextServices {
		o.nextServices = c.now.Add(serviceInterval)
		c.reconcileServices()
		c.demoteStragglers()
		c.dirty = true // headroom and straggler shares change with time
		c.probeWorkers()
		c.evacuate()
	}
	if c.now >= o.nextForecast {
		o.nextForecast = c.now.Add(forecastInterval)
		c.forecastJobs()
	}
	if c.now >= o.nextForget {
		o.nextForget = c.now.Add(forgetInterval)
		c.flushForgets()
	}
	c.tickSnapshot()
}

const (
	// workerInterval is how often silent workers are looked over.
	workerInterval = 100 * time.Millisecond
	// serviceInterval is how often instance counts are compared with the text.
	serviceInterval = 200 * time.Millisecond
	// forecastInterval is how often batch deadlines are checked against
	// observed rates.
	forecastInterval = 2 * time.Second
	// forgetInterval groups the acknowledgements of finished tasks.
	forgetInterval = time.Second
)

// tickWaiters answers waiters whose time is up. A waiter's end does not end
// the job, unless nothing of it may have started.
func (c *Core) tickWaiters() {
	o := c.own
	keep := o.parked[:0]
	for _, p := range o.parked {
		if c.now < p.until {
			keep = append(keep, p)
			continue
		}
		c.reply(p.origin(), model.Answer{
			Outcome: model.OutcomeUnknown, Code: model.CodeHomeSettling,
			Message: "a new owner does not know yet whether this key has run",
		})
	}
	o.parked = keep
	for _, id := range o.waiters.due(c.now) {
		if j := c.jobs[id]; j != nil && len(j.waiters) > 0 {
			c.expireWaiters(j)
		}
	}
}

func (c *Core) expireWaiters(j *job) {
	var due []waiter
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if c.now < w.until {
			return false
		}
		due = append(due, w)
		return true
	})
	for _, w := range due {
		c.reply(w.origin, c.overdueAnswer(j, w))
	}
	if len(j.waiters) == 0 && j.answer == nil && !j.durable && !j.accepting && !j.keyed && c.acting() {
		c.cancelJob(j) // nobody waits for idempotent work that is not durable
	}
}

// overdueAnswer is the honest answer to a waiter whose time is up.
func (c *Core) overdueAnswer(j *job, w waiter) model.Answer {
	switch {
	case j.answer != nil:
		return *j.answer
	case w.kind == "query" || j.durable:
		return j.progress()
	case j.accepting:
		return c.withdraw(j)
	case !j.everStarted:
		c.endJob(j, notRun(j.id, model.CodeDeadline, "the deadline passed before the work could start"))
		return *j.answer
	case j.active == 0 && !j.keyed && len(c.own.jobTasks[j.id]) == 0:
		c.endJob(j, model.Answer{
			Outcome: model.OutcomeFailed, Code: model.CodeDeadline,
			Message: "every attempt failed and the deadline passed",
		})
		return *j.answer
	}
	return model.Answer{
		Outcome: model.OutcomeUnknown, Code: model.CodeDeadline,
		Message: "the deadline passed while the work may be running; ask again with the job id",
	}
}

// withdraw takes back a submission that could not be made durable in time. It
// certainly does not run if its record was never sent.
func (c *Core) withdraw(j *job) model.Answer {
	q := &c.commit
	for i, e := range q.entries {
		if e.Accept != nil && e.Accept.Job == j.id {
			q.entries = slices.Delete(q.entries, i, i+1)
			c.own.undurable--
			j.accepting = false
			c.endJob(j, notRun(j.id, model.CodeLogUnavailable, "the job could not be made durable before the deadline"))
			return *j.answer
		}
	}
	return model.Answer{
		Outcome: model.OutcomeUnknown, Code: model.CodeLogUnavailable,
		Message: "the log has not confirmed the job; ask again with its id",
	}
}

// jobDurable starts a job whose acceptance was read back.
func (c *Core) jobDurable(j *job) {
	if j.accepting {
		j.accepting = false
		c.own.undurable--
	}
	if j.answer != nil {
		return
	}
	c.resumeJob(j)
	a := j.progress()
	keep := j.waiters[:0]
	for _, w := range j.waiters {
		c.reply(w.origin, a)
		if w.kind != "job" {
			keep = append(keep, w)
		}
	}
	j.waiters = keep
}

// resumeJob queues what a durable job still has to run.
func (c *Core) resumeJob(j *job) {
	svc := c.serviceOf(j.sub.Service)
	if svc == nil {
		if c.text != nil && j.sub.Service != "" {
			c.endJob(j, notRun(j.id, model.CodeUnknownService, "the service was removed from the text"))
		}
		return
	}
	c.adoptService(j, svc)
	if j.cancelled || j.ended() {
		c.maybeEndJob(j)
		return
	}
	j.enqueued = c.now
	c.enqueueJob(j)
}

// endJob gives a job its answer. Durable jobs end in the log as well.
func (c *Core) endJob(j *job, a model.Answer) {
	if j.answer != nil {
		return
	}
	a.Job = j.id
	if len(j.marks) > 1 {
		n := j.counts()
		a.Tasks = &n
	}
	j.answer, j.endedAt = &a, c.now
	c.count("jobs_ended", string(a.Outcome), 1)
	c.blame.ForgetJob(j.id)
	if j.atRisk {
		c.own.queue.Raise(j.id, false)
	}
	if j.durable {
		c.append(record.Entry{Finish: &record.Finish{Epoch: c.own.epoch, Job: j.id, Answer: a}}, false)
	}
	c.replyWaiters(j)
	if !j.durable {
		j.release()
	}
}

// maybeEndJob ends a job all of whose tasks have ended, or that was cancelled
// and has nothing running.
func (c *Core) maybeEndJob(j *job) {
	if j.answer != nil {
		return
	}
	if j.keyed {
		if j.cancelled && j.active == 0 && !j.everStarted {
			c.endJob(j, notRun(j.id, model.CodeCancelled, "cancelled before it started"))
		}
		return
	}
	switch {
	case j.ended() && j.failed == 0:
		c.endJob(j, model.Answer{Outcome: model.OutcomeDone, Result: j.result()})
	case j.ended():
		code := model.CodeTaskFailed
		if c.atFault(j) {
			code = model.CodeJobFault
		}
		c.endJob(j, model.Answer{Outcome: model.OutcomeFailed, Code: code, Message: string(j.firstFailure())})
	case j.cancelled && j.active == 0:
		a := notRun(j.id, model.CodeCancelled, "cancelled before anything ran")
		if j.everStarted || j.done+j.failed > 0 {
			a.Outcome, a.Message = model.OutcomeFailed, "cancelled"
		}
		c.endJob(j, a)
	}
}

func (j *job) firstFailure() []byte {
	for i, m := range j.marks {
		if m == taskFailed {
			return j.results[i]
		}
	}
	return nil
}

// expireItem drops queued interactive work whose deadline has passed.
func (c *Core) expireItem(t *task) {
	j := t.j
	if j.answer != nil || j.everStarted {
		return
	}
	c.count("expired_in_queue", string(j.svc.Class), 1)
	c.endJob(j, notRun(j.id, model.CodeDeadline, "the deadline passed before the work could start"))
}

// flushForgets tells workers which results were taken over.
func (c *Core) flushForgets() {
	for _, name := range sortedKeys(c.own.forget) {
		w := c.own.workers[name]
		tasks := c.own.forget[name]
		delete(c.own.forget, name)
		if w != nil {
			c.control(w, worker.ActionForget, tasks)
		}
	}
}
