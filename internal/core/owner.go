package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/queue"
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
	waiters  timerQueue[model.JobID]  // when a job's waiter has to be answered
	queries  timerQueue[model.TaskID] // when a worker has to be asked about a start in doubt
	intents  map[model.TaskID]*task   // whose intent is not stable yet
	depsDown map[string]bool          // by dependency; valid during one pass over queues or services
	services map[string]*serviceState
	stops    []*task // whose stop call must be repeated
	delayed  []*task // idempotent tasks that wait for their backoff
	doubts   int     // keyed starts with an unknown outcome

	actingSince model.Time                  // first time past the wait; zero: not yet
	boots       map[model.WorkerName]string // recorded before this owner took over
	settled     bool
	electors    []model.Member // of the epoch before
	consulted   map[model.Incarnation]bool
	nextConsult model.Time
	parked      []deferredRequest

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
	policy.FIFO = baseline
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
	c.attemptSeq++
	return int(c.owner.epoch)<<attemptShift | c.attemptSeq
}

func (j *job) item(index int, now model.Time) *queue.Item {
	it := &queue.Item{
		Task: model.NewTaskID(j.id, index, 0), Job: j.id, Service: j.sub.Service,
		Operation: j.sub.Operation, Team: j.svc.Team, Class: j.svc.Class, Resources: j.need,
		Deadline: j.deadline, Enqueued: now,
	}
	if j.svc.Class == model.ClassGang {
		it.GangSize = len(j.marks)
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
		c.owner.queue.RecordArrival(it, c.now)
	}
	c.owner.queue.Push(it)
	c.needsScheduling = true
}

// tickOwner does the owner's periodic work.
func (c *Core) tickOwner() {
	o := c.owner
	if c.now >= o.nextWorkers {
		o.nextWorkers = c.now.Add(workerInterval)
		c.tickWorkers()
	}
	c.tickWaiters()
	if !c.acting() {
		return
	}
	c.fenceUnguardedWorkers()
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
		c.needsScheduling = true // headroom and straggler shares change with time
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

// flushForgets tells workers which results were taken over.
func (c *Core) flushForgets() {
	for _, name := range sortedKeys(c.owner.forget) {
		w := c.owner.workers[name]
		tasks := c.owner.forget[name]
		delete(c.owner.forget, name)
		if w != nil {
			c.control(w, worker.ActionForget, tasks)
		}
	}
}
