package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/queue"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// ownerState is the state that only the ownerState of a data centre has. It is built
// from the log and from workers' reports, and dropped with the lease.
type ownerState struct {
	epoch      uint64
	acquiredAt model.Time

	cache            *placement.Cache
	queue            *queue.Queue
	workers          map[model.WorkerName]*workerState
	tasks            map[model.TaskID]*task
	jobTasks         map[model.JobID]map[model.TaskID]*task
	byWorker         map[model.WorkerName]map[model.TaskID]*task
	waiterTimers     timers[model.JobID]    // when a job's waiter has to be answered
	queryTimers      timers[model.TaskID]   // when a worker has to be asked about a start in doubt
	pendingIntents   map[model.TaskID]*task // whose intent is not stable yet
	downDependencies map[string]bool        // by dependency; valid during one pass over queues or services
	services         map[string]*managedService
	stopRetries      []*task // whose stop call must be repeated
	delayed          []*task // idempotent tasks that wait for their backoff
	keyedInDoubt     int     // keyed starts with an unknown outcome

	actingSince      model.Time                  // first time past the wait; zero: not yet
	bootsAtTakeover  map[model.WorkerName]string // recorded before this owner took over
	ready            bool
	electors         []model.Member // of the epoch before
	answeredElectors map[model.Incarnation]bool
	nextElectorQuery model.Time
	deferred         []parked

	pendingCheckpoints int // checkpoints that were ordered and have not ended
	pendingAccepts     int // submissions whose Accept was not read back
	holdConfirmations  map[model.TaskID]map[model.Incarnation]bool
	nextHoldRequest    model.Time

	dueProbes       []model.WorkerName // quarantined workers that are due for a probe
	nextWorkerCheck model.Time
	nextReconcile   model.Time
	nextForecast    model.Time
	nextAckFlush    model.Time
	pendingAcks     map[model.WorkerName][]model.TaskID
	snapshot        *snapshotWriter
}

func newOwnerState(epoch uint64, now model.Time, baseline bool) *ownerState {
	policy := queue.DefaultConfig()
	policy.FIFO = baseline
	return &ownerState{
		epoch: epoch, acquiredAt: now,
		cache:             placement.NewCache(),
		queue:             queue.New(policy),
		workers:           make(map[model.WorkerName]*workerState),
		tasks:             make(map[model.TaskID]*task),
		jobTasks:          make(map[model.JobID]map[model.TaskID]*task),
		byWorker:          make(map[model.WorkerName]map[model.TaskID]*task),
		pendingIntents:    make(map[model.TaskID]*task),
		services:          make(map[string]*managedService),
		holdConfirmations: make(map[model.TaskID]map[model.Incarnation]bool),
		pendingAcks:       make(map[model.WorkerName][]model.TaskID),
	}
}

// phase is where a placed task is.
type phase string

const (
	phaseIntent   phase = "intent"   // waits for its intent to be stable
	phaseStarting phase = "starting" // the start is on its way
	phaseInDoubt  phase = "doubt"    // the start's outcome is not known
	phaseRunning  phase = "running"
)

// task is one attempt at a task of a job, or the wish to place one.
type task struct {
	job           *job
	index         int
	attempts      int // that may have run
	id            model.TaskID
	attemptNumber int // the attempt's number in the task id
	worker        model.WorkerName
	boot          string
	notAfter      model.WorkerTime
	phase         phase
	queuedAt      model.Time
	placedAt      model.Time
	acceptedAt    model.Time // when the worker's acceptance was received
	sendBy        model.Time // until which the driver may send the start
	readyAt       model.Time // end of the backoff
	avoidWorkers  []model.WorkerName
	resumeData    []byte

	superseded bool // another attempt was started beside this one, which is in doubt
	stopping   bool
	preempted  bool
	straggler  bool // ran over the straggler limit and was queued again
}

// attemptNumberBits leaves room for the attempts of one epoch below the epoch, so
// that task ids of successive owners differ. 32 bits last for years of starts.
const attemptNumberBits = 32

// nextAttemptNumber returns the number of a new attempt. The count goes on when the
// same instance takes the lease up again, possibly in the same epoch.
func (c *Core) nextAttemptNumber() int {
	c.attempts++
	return int(c.own.epoch)<<attemptNumberBits | c.attempts
}

func (j *job) queueItem(index int, now model.Time) *queue.Item {
	it := &queue.Item{
		Task: model.NewTaskID(j.id, index, 0), Job: j.id, Service: j.submission.Service,
		Operation: j.submission.Operation, Team: j.service.Team, Class: j.service.Class, Resources: j.resources,
		Deadline: j.deadline, Enqueued: now,
	}
	if j.service.Class == model.ClassGang {
		it.GangSize = len(j.taskStates)
	}
	return it
}

// enqueueJob queues every waiting task of a job; a gang is queued as one item.
func (c *Core) enqueueJob(j *job) {
	if j.service.Class == model.ClassGang {
		c.enqueue(&task{job: j, index: 0})
		return
	}
	for i, m := range j.taskStates {
		if m == taskWaiting {
			c.enqueue(&task{job: j, index: i})
		}
	}
}

// enqueue queues one task.
func (c *Core) enqueue(t *task) {
	it := t.job.queueItem(t.index, c.now)
	if t.job.service.Class == model.ClassBatch || t.job.service.Class == model.ClassGang {
		it.Deadline = c.now.Add(t.job.wallDeadline.Sub(c.wall))
	}
	it.Data, it.Straggler = t, t.straggler
	t.queuedAt = c.now
	if it.Class == model.ClassInteractive {
		c.own.queue.RecordArrival(it, c.now)
	}
	c.own.queue.Push(it)
	c.dirty = true
}

// tickOwner does the owner's periodic work.
func (c *Core) tickOwner() {
	o := c.own
	if c.now >= o.nextWorkerCheck {
		o.nextWorkerCheck = c.now.Add(workerCheckInterval)
		c.tickWorkers()
	}
	c.tickWaiters()
	if !c.acting() {
		return
	}
	c.clearWorkers()
	if !o.ready && c.now >= o.nextElectorQuery {
		c.queryElectors()
	}
	c.enqueueDelayed()
	c.retryStops()
	c.queryTasksInDoubt()
	c.tickHolds()
	o.queue.Expire(c.now, func(it *queue.Item) { c.expireTask(it.Data.(*task)) })
	if c.now >= o.nextReconcile {
		o.nextReconcile = c.now.Add(reconcileInterval)
		c.reconcileServices()
		c.demoteStragglers()
		c.dirty = true // headroom and straggler shares change with time
		c.startDueProbes()
		c.evacuate()
	}
	if c.now >= o.nextForecast {
		o.nextForecast = c.now.Add(forecastInterval)
		c.forecastJobs()
	}
	if c.now >= o.nextAckFlush {
		o.nextAckFlush = c.now.Add(ackInterval)
		c.flushAcks()
	}
	c.tickSnapshot()
}

const (
	// workerCheckInterval is how often silent workers are looked over.
	workerCheckInterval = 100 * time.Millisecond
	// reconcileInterval is how often instance counts are compared with the text.
	reconcileInterval = 200 * time.Millisecond
	// forecastInterval is how often batch deadlines are checked against
	// observed rates.
	forecastInterval = 2 * time.Second
	// ackInterval groups the acknowledgements of finished tasks.
	ackInterval = time.Second
)

// flushAcks tells workers which results were taken over.
func (c *Core) flushAcks() {
	for _, name := range sortedKeys(c.own.pendingAcks) {
		w := c.own.workers[name]
		tasks := c.own.pendingAcks[name]
		delete(c.own.pendingAcks, name)
		if w != nil {
			c.sendControl(w, worker.ActionForget, tasks)
		}
	}
}
