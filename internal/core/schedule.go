package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/queue"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// schedule makes one scheduling pass over the queues.
func (c *Core) schedule() {
	c.needsScheduling = false
	o := c.owner
	o.downDependencies = make(map[string]bool)
	o.queue.SetTotalSlots(o.cache.Capacity().Slots)
	reserve := o.queue.Headroom(c.now).Min(o.cache.Capacity().Div(headroomDivisor))
	n := o.queue.Schedule(c.now, func(it *queue.Item) queue.Decision {
		return c.placeItem(it, reserve)
	})
	c.count("placements", "", n)
}

// headroomDivisor limits the headroom for interactive work to the capacity divided by
// it. Without a limit, a burst of requests that had waited for an owner would keep batch
// work and gangs from starting for minutes. Interactive demand above the limit is met by
// preemption.
const headroomDivisor = 2

// placeItem places one queued item if it is still wanted and fits now.
func (c *Core) placeItem(it *queue.Item, reserve model.Resources) queue.Decision {
	t := it.Data.(*task)
	j := t.job
	if j.answer != nil || j.cancelled {
		return queue.Dropped
	}
	// A gang is one item for all its tasks, some of which may have ended.
	if it.Class != model.ClassGang && j.taskStates[t.index] == taskDone {
		return queue.Dropped
	}
	if it.Class == model.ClassService && !c.instanceWanted(t) {
		return queue.Dropped
	}
	if it.Class == model.ClassBatch && j.taskStates[t.index] != taskWaiting {
		// The job was queued again at a takeover, and a report has since shown that
		// the task is still running.
		return queue.Dropped
	}
	if c.dependencyDown(&j.service) {
		return queue.Blocked
	}
	if j.keyed && (!c.owner.ready || c.owner.keyedInDoubt >= c.cfg.Limits.InDoubt) {
		return queue.Blocked
	}
	if c.jobAtFault(j) {
		c.failTask(t, "the job fails on healthy workers")
		return queue.Dropped
	}
	if it.Class == model.ClassGang {
		return c.placeGang(j, t, it, reserve)
	}
	if c.placeProbe(t, it) {
		return queue.Placed
	}
	r := c.placeRequest(t, reserve)
	w, denial := c.owner.cache.Place(r)
	if denial != "" {
		c.count("placement_denials", string(denial), 1)
		if c.cfg.Baseline {
			return baselineDecision(denial)
		}
		if it.Class == model.ClassInteractive || it.Class == model.ClassService {
			c.preempt(r)
		}
		return queue.Blocked
	}
	c.placeTask(t, w, it)
	return queue.Placed
}

// baselineDecision ends the pass at work that does not fit now, as a single FIFO queue
// does. Other denials may last long and block only work of the same kind.
func baselineDecision(d placement.Denial) queue.Decision {
	if d == placement.DenialNoFitNow {
		return queue.StopPass
	}
	return queue.Blocked
}

// placeProbe places an idempotent task on a quarantined worker that is due for a probe.
// It reports whether the task was placed.
func (c *Core) placeProbe(t *task, it *queue.Item) bool {
	o := c.owner
	if len(o.dueProbes) == 0 || t.job.keyed || it.Class == model.ClassService || t.attempts > 0 {
		return false
	}
	r := c.placeRequest(t, model.Resources{})
	r.ProbeWorker = o.dueProbes[0]
	w, denial := o.cache.Place(r)
	if denial != "" {
		return false
	}
	o.dueProbes = o.dueProbes[1:]
	c.count("probes", "", 1)
	c.placeTask(t, w, it)
	return true
}

func (c *Core) placeRequest(t *task, reserve model.Resources) placement.Request {
	j := t.job
	r := placement.Request{
		Task: model.NewTaskID(j.id, t.index, 0), Service: j.service.Name, Class: j.service.Class,
		Team: j.service.Team, Resources: j.resources, Avoid: t.avoidWorkers, Headroom: reserve,
		FirstFit: c.cfg.Baseline,
	}
	// Jobs at risk of missing their deadline may use the headroom too. Interactive
	// work that needs the capacity gets it by preemption.
	if j.service.Class == model.ClassInteractive || j.service.Class == model.ClassService || j.atRisk {
		r.Headroom = model.Resources{}
	}
	return r
}

// placeGang places all waiting tasks of a gang, or none.
func (c *Core) placeGang(j *job, t *task, it *queue.Item, reserve model.Resources) queue.Decision {
	if j.active > 0 {
		return queue.Blocked // tasks of the previous attempt are still placed
	}
	var tasks []*task
	var rs []placement.Request
	for i, m := range j.taskStates {
		if m != taskWaiting {
			continue
		}
		g := &task{job: j, index: i, attempts: t.attempts, avoidWorkers: t.avoidWorkers, queuedAt: t.queuedAt}
		tasks = append(tasks, g)
		rs = append(rs, c.placeRequest(g, reserve))
	}
	ws, denial := c.owner.cache.PlaceGang(rs)
	if denial != "" {
		c.count("placement_denials", string(denial), 1)
		if c.cfg.Baseline {
			return baselineDecision(denial)
		}
		if denial == placement.DenialNoFitNow && holdForGang(c.now.Sub(it.Enqueued)) {
			return queue.StopPass // also holds back batch work, which comes after gangs
		}
		return queue.Blocked
	}
	for i, g := range tasks {
		c.placeTask(g, ws[i], it)
	}
	return queue.Placed
}

// gangHoldPeriod is how long a gang waits before batch work is held back for it. After
// that, periods of this length with and without the hold alternate.
const gangHoldPeriod = 20 * time.Second

// holdForGang reports whether batch work is held back for a gang that has waited for the
// given time. The hold is limited in time, so that a gang whose resources never become
// free does not block batch work forever.
func holdForGang(waited time.Duration) bool {
	return waited%(2*gangHoldPeriod) >= gangHoldPeriod
}

// dependencyDown reports whether a dependency with policy "hold" has no
// running instance.
func (c *Core) dependencyDown(svc *model.Service) bool {
	if svc.OnDown == model.DependencyDegrade {
		return false
	}
	for _, name := range svc.DependsOn {
		d := c.findService(name)
		if d == nil || d.Class != model.ClassService || !c.runsHere(d) {
			continue
		}
		down, known := c.owner.downDependencies[name]
		if !known {
			down = c.runningInstances(name) == 0
			c.owner.downDependencies[name] = down
		}
		if down {
			return true
		}
	}
	return false
}

// preempt frees capacity for urgent work: it checkpoints the fewest and youngest batch
// tasks on one worker. They are queued again when they have stopped.
func (c *Core) preempt(r placement.Request) {
	o := c.owner
	urgent := o.queue.WaitingInClass(model.ClassInteractive) + o.queue.WaitingInClass(model.ClassService)
	if o.pendingCheckpoints >= urgent {
		return // enough checkpoints are pending
	}
	w, victims, ok := c.owner.cache.Victims(r, func(u placement.TaskUsage) bool {
		t := c.owner.tasks[u.Task]
		return t != nil && t.phase == phaseRunning && !t.stopping && !t.job.keyed &&
			(u.Class == model.ClassBatch)
	})
	ws := c.owner.workers[w]
	if !ok || ws == nil {
		return
	}
	c.checkpoint(ws, victims)
}

// checkpoint stops tasks so that they can resume from a checkpoint on another worker.
func (c *Core) checkpoint(w *workerState, ids []model.TaskID) {
	for _, id := range ids {
		t := c.owner.tasks[id]
		t.stopping, t.preempted = true, true
		c.owner.pendingCheckpoints++
	}
	c.count("preemptions", "", len(ids))
	c.sendControl(w, worker.ActionCheckpoint, ids)
}

// demoteStragglers checkpoints batch tasks that are stragglers and use more than the
// stragglers' share of the slots, so that shorter work gets the slots. The tasks are
// queued again for that share. The checkpointed run does not count as an attempt.
func (c *Core) demoteStragglers() {
	byWorker := make(map[model.WorkerName][]model.TaskID)
	for _, id := range c.owner.queue.TasksToDemote(c.now) {
		t := c.owner.tasks[id]
		if t == nil || t.phase != phaseRunning || t.stopping || t.job.keyed {
			continue
		}
		t.straggler = true
		byWorker[t.worker] = append(byWorker[t.worker], id)
		c.count("stragglers_demoted", "", 1)
	}
	for _, name := range sortedKeys(byWorker) {
		if w := c.owner.workers[name]; w != nil {
			c.checkpoint(w, byWorker[name])
		}
	}
}

// placeTask binds a task to a worker and starts it; the start of a keyed task waits for
// its intent.
func (c *Core) placeTask(t *task, name model.WorkerName, it *queue.Item) {
	o := c.owner
	w := o.workers[name]
	t.worker, t.boot, t.placedAt = name, w.boot, c.now
	t.attemptNumber = c.nextAttemptNumber()
	t.id = model.NewTaskID(t.job.id, t.index, t.attemptNumber)
	t.stopping, t.preempted, t.acceptedAt = false, false, 0
	c.clearQueuedInstance(t)
	c.track(t)
	o.cache.Reserve(name, t.spec(), c.now)
	o.queue.RecordStart(c.itemForAttempt(t, it), c.now)
	c.observe("placement_wait_seconds", string(t.job.service.Class), c.now.Sub(t.queuedAt))
	if t.job.keyed {
		c.logIntent(t, w)
		return
	}
	c.sendStart(t, w)
}

// itemForAttempt returns a copy of the queue item with the task id of this attempt.
func (c *Core) itemForAttempt(t *task, it *queue.Item) *queue.Item {
	cp := *it
	cp.Task = t.id
	return &cp
}

// track adds a placed task to the owner's indexes.
func (c *Core) track(t *task) {
	o := c.owner
	o.tasks[t.id] = t
	m := o.jobTasks[t.job.id]
	if m == nil {
		m = make(map[model.TaskID]*task)
		o.jobTasks[t.job.id] = m
	}
	m[t.id] = t
	b := o.byWorker[t.worker]
	if b == nil {
		b = make(map[model.TaskID]*task)
		o.byWorker[t.worker] = b
	}
	b[t.id] = t
	t.job.setTaskState(t.index, taskActive)
}

// untrack removes a task from the owner's indexes and releases its resources.
func (c *Core) untrack(t *task) {
	o := c.owner
	if o.tasks[t.id] != t {
		return
	}
	if t.phase == phaseInDoubt && t.job.keyed {
		o.keyedInDoubt--
	}
	if t.preempted {
		o.pendingCheckpoints--
	}
	delete(o.tasks, t.id)
	delete(o.holdConfirmations, t.id)
	delete(o.pendingIntents, t.id)
	delete(o.byWorker[t.worker], t.id)
	if m := o.jobTasks[t.job.id]; m != nil {
		delete(m, t.id)
		if len(m) == 0 {
			delete(o.jobTasks, t.job.id)
		}
	}
	o.cache.Release(t.id)
	o.queue.RecordEnd(t.id)
	if !t.superseded {
		t.job.setTaskState(t.index, taskWaiting)
	}
	c.needsScheduling = true
}

func (t *task) spec() model.TaskSpec {
	j := t.job
	return model.TaskSpec{
		ID: t.id, Job: j.id, Index: t.index, Attempt: t.attemptNumber, Service: j.service.Name,
		Operation: j.submission.Operation, Class: j.service.Class, Team: j.service.Team, Key: j.submission.Key,
		RequestHash: j.requestHash, Resources: j.resources, MaxRun: j.service.MaxRunTime,
	}
}

// startNotAfter returns the time on the worker's clock until which the worker may accept
// a start that is sent now. It is extrapolated from the receipt of the worker's last
// report, so network delays only make it earlier.
func (c *Core) startNotAfter(w *workerState) model.WorkerTime {
	return w.clock + model.WorkerTime(c.now.Sub(w.clockReceivedAt)+c.cfg.Timing.StartGrace)
}

// sendStart sends the start of a task. From now on the task may have run.
func (c *Core) sendStart(t *task, w *workerState) {
	t.phase = phaseStarting
	delete(c.owner.pendingIntents, t.id)
	t.attempts++
	t.job.mayHaveStarted = true
	if !t.job.keyed {
		t.notAfter = c.startNotAfter(w)
	}
	t.sendBy = c.lease.MayActUntil(c.now)
	c.count("task_starts", string(t.job.service.Class), 1)
	c.emit(Effect{Start: &Start{Worker: w.name, Address: w.address, SendBy: t.sendBy, Request: worker.StartRequest{
		Epoch: c.owner.epoch, Boot: t.boot, NotAfter: t.notAfter, Lease: c.cfg.Timing.TaskLease,
		Spec: t.spec(), Body: t.job.submission.Body, Resume: t.resumeData,
	}}})
}

// sendControl sends a control call to a worker.
func (c *Core) sendControl(w *workerState, a worker.Action, tasks []model.TaskID) {
	if len(tasks) == 0 {
		return
	}
	c.emit(Effect{Control: &Control{Worker: w.name, Address: w.address, Request: worker.ControlRequest{
		Epoch: c.owner.epoch, Tasks: tasks, Action: a,
	}}})
}

// stopTask stops a placed task. A task whose start was not sent is released without a
// call to the worker; other tasks end when their worker reports so.
func (c *Core) stopTask(t *task) {
	if t.phase == phaseIntent {
		return // released when its intent becomes stable
	}
	t.stopping = true
	if w := c.owner.workers[t.worker]; w != nil {
		c.sendControl(w, worker.ActionStop, []model.TaskID{t.id})
	}
}
