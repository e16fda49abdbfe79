package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/queue"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// ownerState is the state that only the owner of a data centre has. It is built from
// the log and the workers' reports, and dropped when the lease is lost.
type ownerState struct {
	epoch      uint64
	acquiredAt model.Time

	cache            *placement.Cache
	queue            *queue.Queue
	workers          map[model.WorkerName]*workerState
	tasks            map[model.TaskID]*task
	jobTasks         map[model.JobID]map[model.TaskID]*task
	byWorker         map[model.WorkerName]map[model.TaskID]*task
	waiterTimers     timerQueue[model.JobID]  // when the waiters of a job must be answered
	queryTimers      timerQueue[model.TaskID] // when a worker must be queried about a start in doubt
	pendingIntents   map[model.TaskID]*task   // intent neither read back nor held by a majority
	downDependencies map[string]bool          // by dependency; cache for one pass
	services         map[string]*managedService
	stopRetries      []*task // tasks whose stop call must be repeated
	delayed          []*task // tasks that wait for the end of their backoff
	keyedInDoubt     int     // number of keyed tasks whose start is in doubt

	actingSince      model.Time                  // when it was first allowed to act; zero: not yet
	bootsAtTakeover  map[model.WorkerName]string // recorded in the log at the takeover
	ready            bool                        // it is known which keys may have run
	electors         []model.Member              // of the previous epoch
	answeredElectors map[model.Incarnation]bool
	nextElectorQuery model.Time
	deferred         []deferredRequest // keyed requests received before the owner is ready

	pendingCheckpoints int                                         // preempted tasks that have not stopped yet
	pendingAccepts     int                                         // submissions whose Accept was not read back yet
	holdConfirmations  map[model.TaskID]map[model.Incarnation]bool // electors that hold its intent
	nextHoldRequest    model.Time

	dueProbes       []model.WorkerName // quarantined workers that are due for a probe
	nextWorkerCheck model.Time
	nextReconcile   model.Time
	nextForecast    model.Time
	nextAckFlush    model.Time
	pendingAcks     map[model.WorkerName][]model.TaskID
	snapshot        *pendingSnapshot
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

// phase is the stage of a placed task.
type phase string

const (
	phaseIntent   phase = "intent"   // waits until its intent is stable
	phaseStarting phase = "starting" // the start call is in flight
	phaseInDoubt  phase = "doubt"    // the outcome of the start call is not known
	phaseRunning  phase = "running"
)

// task is one attempt at a task of a job, queued or placed.
type task struct {
	job           *job
	index         int
	attempts      int // attempts that may have run, including this one once it was sent
	id            model.TaskID
	attemptNumber int // number of this attempt in the task id
	worker        model.WorkerName
	boot          string
	notAfter      model.WorkerTime
	phase         phase
	queuedAt      model.Time
	placedAt      model.Time
	acceptedAt    model.Time // when the worker was first known to run the task
	sendBy        model.Time // the driver must not send the start after this time
	readyAt       model.Time // end of the backoff
	avoidWorkers  []model.WorkerName
	resumeData    []byte

	superseded bool // in doubt, and another attempt was queued
	stopping   bool
	preempted  bool
	straggler  bool // exceeded the straggler limit; queued again in the stragglers' share
}

// attemptNumberBits is the width of the start counter in an attempt number. The epoch is
// stored above it, so that task ids of successive owners differ. 32 bits last for years
// of starts.
const attemptNumberBits = 32

// nextAttemptNumber returns the number of a new attempt. The counter is not reset when
// the same instance becomes owner again, possibly in the same epoch.
func (c *Core) nextAttemptNumber() int {
	c.attemptSeq++
	return int(c.owner.epoch)<<attemptNumberBits | c.attemptSeq
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

// enqueueJob queues every waiting task of a job. A gang is queued as one item.
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

// enqueue queues one task, or a gang as one item.
func (c *Core) enqueue(t *task) {
	it := t.job.queueItem(t.index, c.now)
	if t.job.service.Class == model.ClassBatch || t.job.service.Class == model.ClassGang {
		it.Deadline = c.now.Add(t.job.wallDeadline.Sub(c.wall))
	}
	it.Data, it.Straggler = t, t.straggler
	t.queuedAt = c.now
	if it.Class == model.ClassInteractive {
		c.owner.queue.RecordArrival(it, c.now)
	}
	c.owner.queue.Push(it)
	c.needsScheduling = true
}

// tickOwner does the owner's periodic work.
func (c *Core) tickOwner() {
	o := c.owner
	if c.now >= o.nextWorkerCheck {
		o.nextWorkerCheck = c.now.Add(workerCheckInterval)
		c.tickWorkers()
	}
	c.tickWaiters()
	if !c.acting() {
		return
	}
	c.fenceUnguardedWorkers()
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
		c.needsScheduling = true // the headroom and the stragglers' share change with time
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
	// workerCheckInterval is how often workers are checked for failed watches and
	// expired task leases.
	workerCheckInterval = 100 * time.Millisecond
	// reconcileInterval is how often service instances are reconciled with the service
	// text, and stragglers, probes and leaving workers are handled.
	reconcileInterval = 200 * time.Millisecond
	// forecastInterval is how often batch deadlines are checked against the observed
	// rates.
	forecastInterval = 2 * time.Second
	// ackInterval is how often the acknowledgements of finished tasks are sent.
	ackInterval = time.Second
)

// flushAcks sends the queued acknowledgements of finished tasks to their workers.
func (c *Core) flushAcks() {
	for _, name := range sortedKeys(c.owner.pendingAcks) {
		w := c.owner.workers[name]
		tasks := c.owner.pendingAcks[name]
		delete(c.owner.pendingAcks, name)
		if w != nil {
			c.sendControl(w, worker.ActionForget, tasks)
		}
	}
}
