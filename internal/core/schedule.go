package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/queue"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// schedule makes one pass over the queues.
func (c *Core) schedule() {
	c.dirty = false
	o := c.own
	o.downDependencies = make(map[string]bool)
	o.queue.SetTotalSlots(o.cache.Capacity().Slots)
	reserve := o.queue.Headroom(c.now).Min(o.cache.Capacity().Div(headroomDivisor))
	n := o.queue.Schedule(c.now, func(it *queue.Item) queue.Decision {
		return c.placeItem(it, reserve)
	})
	c.count("placements", "", n)
}

// headroomDivisor divides the capacity into what may be kept free for
// interactive work at most. A burst of requests that waited for an owner would
// else keep batch work and gangs from starting for minutes. Above the bound
// interactive work makes room by preemption.
const headroomDivisor = 2

// placeItem places one queued item if it can.
func (c *Core) placeItem(it *queue.Item, reserve model.Resources) queue.Decision {
	t := it.Data.(*task)
	j := t.job
	if j.answer != nil || j.cancelled {
		return queue.Dropped
	}
	// A gang is one item for all its tasks, of which some may have ended.
	if it.Class != model.ClassGang && j.taskStates[t.index] == taskDone {
		return queue.Dropped
	}
	if it.Class == model.ClassService && !c.instanceWanted(t) {
		return queue.Dropped
	}
	if it.Class == model.ClassBatch && j.taskStates[t.index] != taskWaiting {
		// A job that a takeover queued again; a report has shown since that the
		// task still runs.
		return queue.Dropped
	}
	if c.dependencyDown(&j.service) {
		return queue.Blocked
	}
	if j.keyed && (!c.own.ready || c.own.keyedInDoubt >= c.cfg.Limits.InDoubt) {
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
	w, denial := c.own.cache.Place(r)
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

// baselineDecision holds up the whole queue behind work that has no room now, as
// one first-come queue does. Other denials may last for long and stop only
// work of the same kind.
func baselineDecision(d placement.Denial) queue.Decision {
	if d == placement.DenialNoFitNow {
		return queue.StopPass
	}
	return queue.Blocked
}

// placeProbe places an idempotent task on a quarantined worker that is due for a
// probe. It reports whether it did.
func (c *Core) placeProbe(t *task, it *queue.Item) bool {
	o := c.own
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
	// Work that would miss its deadline uses the headroom too. Interactive work
	// that needs the room gets it back by preemption.
	if j.service.Class == model.ClassInteractive || j.service.Class == model.ClassService || j.atRisk {
		r.Headroom = model.Resources{}
	}
	return r
}

// placeGang places all waiting tasks of a gang or none.
func (c *Core) placeGang(j *job, t *task, it *queue.Item, reserve model.Resources) queue.Decision {
	if j.active > 0 {
		return queue.Blocked // the tasks of the attempt before have not all stopped
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
	ws, denial := c.own.cache.PlaceGang(rs)
	if denial != "" {
		c.count("placement_denials", string(denial), 1)
		if c.cfg.Baseline {
			return baselineDecision(denial)
		}
		if denial == placement.DenialNoFitNow && holdForGang(c.now.Sub(it.Enqueued)) {
			return queue.StopPass // batch work, which comes after gangs, waits
		}
		return queue.Blocked
	}
	for i, g := range tasks {
		c.placeTask(g, ws[i], it)
	}
	return queue.Placed
}

// gangHoldPeriod is how long a gang waits before batch work is held back for it, and
// then how long it is held back before it may go on for as long.
const gangHoldPeriod = 20 * time.Second

// holdForGang reports whether batch work is held back for a gang that has
// waited for the given time. Holding back is bounded, so that a gang that needs
// what never becomes free stops nothing for good.
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
		d := c.serviceOf(name)
		if d == nil || d.Class != model.ClassService || !c.runsHere(d) {
			continue
		}
		down, known := c.own.downDependencies[name]
		if !known {
			down = c.runningInstances(name) == 0
			c.own.downDependencies[name] = down
		}
		if down {
			return true
		}
	}
	return false
}

// preempt makes room for urgent work: the fewest and youngest batch tasks on
// one worker are checkpointed and queued again.
func (c *Core) preempt(r placement.Request) {
	o := c.own
	urgent := o.queue.WaitingInClass(model.ClassInteractive) + o.queue.WaitingInClass(model.ClassService)
	if o.pendingCheckpoints >= urgent {
		return // room is being made already
	}
	w, victims, ok := c.own.cache.Victims(r, func(u placement.TaskUsage) bool {
		t := c.own.tasks[u.Task]
		return t != nil && t.phase == phaseRunning && !t.stopping && !t.job.keyed &&
			(u.Class == model.ClassBatch)
	})
	ws := c.own.workers[w]
	if !ok || ws == nil {
		return
	}
	c.checkpoint(ws, victims)
}

// checkpoint stops tasks in a way that lets them go on elsewhere.
func (c *Core) checkpoint(w *workerState, ids []model.TaskID) {
	for _, id := range ids {
		t := c.own.tasks[id]
		t.stopping, t.preempted = true, true
		c.own.pendingCheckpoints++
	}
	c.count("preemptions", "", len(ids))
	c.sendControl(w, worker.ActionCheckpoint, ids)
}

// demoteStragglers checkpoints batch tasks that turned out to be stragglers and
// hold more than their share, so that shorter work gets the slots. They wait for
// a slot of the stragglers' share. Running for long does not count as an
// attempt.
func (c *Core) demoteStragglers() {
	byWorker := make(map[model.WorkerName][]model.TaskID)
	for _, id := range c.own.queue.TasksToDemote(c.now) {
		t := c.own.tasks[id]
		if t == nil || t.phase != phaseRunning || t.stopping || t.job.keyed {
			continue
		}
		t.straggler = true
		byWorker[t.worker] = append(byWorker[t.worker], id)
		c.count("stragglers_demoted", "", 1)
	}
	for _, name := range sortedKeys(byWorker) {
		if w := c.own.workers[name]; w != nil {
			c.checkpoint(w, byWorker[name])
		}
	}
}

// placeTask binds a task to a worker.
func (c *Core) placeTask(t *task, name model.WorkerName, it *queue.Item) {
	o := c.own
	w := o.workers[name]
	t.worker, t.boot, t.placedAt = name, w.boot, c.now
	t.attemptNumber = c.nextAttemptNumber()
	t.id = model.NewTaskID(t.job.id, t.index, t.attemptNumber)
	t.stopping, t.preempted, t.acceptedAt = false, false, 0
	c.clearPendingInstance(t)
	c.track(t)
	o.cache.Reserve(name, t.spec(), c.now)
	o.queue.RecordStart(c.itemForAttempt(t, it), c.now)
	c.observe("placement_wait_seconds", string(t.job.service.Class), c.now.Sub(t.queuedAt))
	if t.job.keyed {
		c.makeIntent(t, w)
		return
	}
	c.sendStart(t, w)
}

// itemForAttempt is the queue's item under the task id of this attempt.
func (c *Core) itemForAttempt(t *task, it *queue.Item) *queue.Item {
	cp := *it
	cp.Task = t.id
	return &cp
}

// track adds a placed task to the owner's tables.
func (c *Core) track(t *task) {
	o := c.own
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

// untrack removes a task that no longer holds anything.
func (c *Core) untrack(t *task) {
	o := c.own
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
	c.dirty = true
}

func (t *task) spec() model.TaskSpec {
	j := t.job
	return model.TaskSpec{
		ID: t.id, Job: j.id, Index: t.index, Attempt: t.attemptNumber, Service: j.service.Name,
		Operation: j.submission.Operation, Class: j.service.Class, Team: j.service.Team, Key: j.submission.Key,
		RequestHash: j.requestHash, Resources: j.resources, MaxRun: j.service.MaxRunTime,
	}
}

// startNotAfter is the time on a worker's clock until which it may start a task
// sent now. It counts from the receipt of the worker's last report, so delays
// on the way only make it earlier.
func (c *Core) startNotAfter(w *workerState) model.WorkerTime {
	return w.clock + model.WorkerTime(c.now.Sub(w.clockReceivedAt)+c.cfg.Timing.StartGrace)
}

// sendStart sends a start. From here on the task may run.
func (c *Core) sendStart(t *task, w *workerState) {
	t.phase = phaseStarting
	delete(c.own.pendingIntents, t.id)
	t.attempts++
	t.job.mayHaveStarted = true
	if !t.job.keyed {
		t.notAfter = c.startNotAfter(w)
	}
	t.sendBy = c.lease.MayActUntil(c.now)
	c.count("task_starts", string(t.job.service.Class), 1)
	c.emit(Effect{Start: &Start{Worker: w.name, Address: w.address, SendBy: t.sendBy, Request: worker.StartRequest{
		Epoch: c.own.epoch, Boot: t.boot, NotAfter: t.notAfter, Lease: c.cfg.Timing.TaskLease,
		Spec: t.spec(), Body: t.job.submission.Body, Resume: t.resumeData,
	}}})
}

// sendControl makes a sendControl call to a worker.
func (c *Core) sendControl(w *workerState, a worker.Action, tasks []model.TaskID) {
	if len(tasks) == 0 {
		return
	}
	c.emit(Effect{Control: &Control{Worker: w.name, Address: w.address, Request: worker.ControlRequest{
		Epoch: c.own.epoch, Tasks: tasks, Action: a,
	}}})
}

// stopTask ends a placed task. One whose start was not sent is released at
// once; the others end when their worker says so.
func (c *Core) stopTask(t *task) {
	if t.phase == phaseIntent {
		return // dropped when its intent is stable
	}
	t.stopping = true
	if w := c.own.workers[t.worker]; w != nil {
		c.sendControl(w, worker.ActionStop, []model.TaskID{t.id})
	}
}
