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
	o.depsDown = make(map[string]bool)
	o.queue.SetTotalSlots(o.cache.Capacity().Slots)
	reserve := o.queue.Headroom(c.now).Min(o.cache.Capacity().Div(headroomBound))
	n := o.queue.Schedule(c.now, func(it *queue.Item) queue.Decision {
		return c.tryItem(it, reserve)
	})
	c.count("placements", "", n)
}

// headroomBound divides the capacity into what may be kept free for
// interactive work at most. A burst of requests that waited for an owner would
// else keep batch work and gangs from starting for minutes. Above the bound
// interactive work makes room by preemption.
const headroomBound = 2

// tryItem places one queued item if it can.
func (c *Core) tryItem(it *queue.Item, reserve model.Resources) queue.Decision {
	t := it.Data.(*task)
	j := t.j
	if j.answer != nil || j.cancelled {
		return queue.Dropped
	}
	// A gang is one item for all its tasks, of which some may have ended.
	if it.Class != model.ClassGang && j.marks[t.index] == taskDone {
		return queue.Dropped
	}
	if it.Class == model.ClassService && !c.instanceWanted(t) {
		return queue.Dropped
	}
	if it.Class == model.ClassBatch && j.marks[t.index] != taskWaiting {
		// A job that a takeover queued again; a report has shown since that the
		// task still runs.
		return queue.Dropped
	}
	if c.dependencyDown(&j.svc) {
		return queue.Blocked
	}
	if j.keyed && (!c.own.settled || c.own.doubts >= c.cfg.Limits.InDoubt) {
		return queue.Blocked
	}
	if c.atFault(j) {
		c.failTask(t, "the job fails on healthy workers")
		return queue.Dropped
	}
	if it.Class == model.ClassGang {
		return c.tryGang(j, t, it, reserve)
	}
	if c.tryProbe(t, it) {
		return queue.Placed
	}
	r := c.placeRequest(t, reserve)
	w, denial := c.own.cache.Place(r)
	if denial != "" {
		c.count("placement_denials", string(denial), 1)
		if c.cfg.Baseline {
			return baselineVerdict(denial)
		}
		if it.Class == model.ClassInteractive || it.Class == model.ClassService {
			c.preempt(r)
		}
		return queue.Blocked
	}
	c.start(t, w, it)
	return queue.Placed
}

// baselineVerdict holds up the whole queue behind work that has no room now, as
// one first-come queue does. Other denials may last for long and stop only
// work of the same kind.
func baselineVerdict(d placement.Denial) queue.Decision {
	if d == placement.DenialNoFitNow {
		return queue.StopPass
	}
	return queue.Blocked
}

// tryProbe places an idempotent task on a quarantined worker that is due for a
// probe. It reports whether it did.
func (c *Core) tryProbe(t *task, it *queue.Item) bool {
	o := c.own
	if len(o.probes) == 0 || t.j.keyed || it.Class == model.ClassService || t.attempts > 0 {
		return false
	}
	r := c.placeRequest(t, model.Resources{})
	r.ProbeWorker = o.probes[0]
	w, denial := o.cache.Place(r)
	if denial != "" {
		return false
	}
	o.probes = o.probes[1:]
	c.count("probes", "", 1)
	c.start(t, w, it)
	return true
}

func (c *Core) placeRequest(t *task, reserve model.Resources) placement.Request {
	j := t.j
	r := placement.Request{
		Task: model.NewTaskID(j.id, t.index, 0), Service: j.svc.Name, Class: j.svc.Class,
		Team: j.svc.Team, Resources: j.need, Avoid: t.avoid, Headroom: reserve,
		FirstFit: c.cfg.Baseline,
	}
	// Work that would miss its deadline uses the headroom too. Interactive work
	// that needs the room gets it back by preemption.
	if j.svc.Class == model.ClassInteractive || j.svc.Class == model.ClassService || j.atRisk {
		r.Headroom = model.Resources{}
	}
	return r
}

// tryGang places all waiting tasks of a gang or none.
func (c *Core) tryGang(j *job, t *task, it *queue.Item, reserve model.Resources) queue.Decision {
	if j.active > 0 {
		return queue.Blocked // the tasks of the attempt before have not all stopped
	}
	var tasks []*task
	var rs []placement.Request
	for i, m := range j.marks {
		if m != taskWaiting {
			continue
		}
		g := &task{j: j, index: i, attempts: t.attempts, avoid: t.avoid, queued: t.queued}
		tasks = append(tasks, g)
		rs = append(rs, c.placeRequest(g, reserve))
	}
	ws, denial := c.own.cache.PlaceGang(rs)
	if denial != "" {
		c.count("placement_denials", string(denial), 1)
		if c.cfg.Baseline {
			return baselineVerdict(denial)
		}
		if denial == placement.DenialNoFitNow && holdForGang(c.now.Sub(it.Enqueued)) {
			return queue.StopPass // batch work, which comes after gangs, waits
		}
		return queue.Blocked
	}
	for i, g := range tasks {
		c.start(g, ws[i], it)
	}
	return queue.Placed
}

// gangHold is how long a gang waits before batch work is held back for it, and
// then how long it is held back before it may go on for as long.
const gangHold = 20 * time.Second

// holdForGang reports whether batch work is held back for a gang that has
// waited for the given time. Holding back is bounded, so that a gang that needs
// what never becomes free stops nothing for good.
func holdForGang(waited time.Duration) bool {
	return waited%(2*gangHold) >= gangHold
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
		down, known := c.own.depsDown[name]
		if !known {
			down = c.runningInstances(name) == 0
			c.own.depsDown[name] = down
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
	if o.preempting >= urgent {
		return // room is being made already
	}
	w, victims, ok := c.own.cache.Victims(r, func(u placement.TaskUsage) bool {
		t := c.own.tasks[u.Task]
		return t != nil && t.phase == phaseRunning && !t.stopping && !t.j.keyed &&
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
		c.own.preempting++
	}
	c.count("preemptions", "", len(ids))
	c.control(w, worker.ActionCheckpoint, ids)
}

// demoteStragglers checkpoints batch tasks that turned out to be stragglers and
// hold more than their share, so that shorter work gets the slots. They wait for
// a slot of the stragglers' share. Running for long does not count as an
// attempt.
func (c *Core) demoteStragglers() {
	byWorker := make(map[model.WorkerName][]model.TaskID)
	for _, id := range c.own.queue.TasksToDemote(c.now) {
		t := c.own.tasks[id]
		if t == nil || t.phase != phaseRunning || t.stopping || t.j.keyed {
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

// start binds a task to a worker.
func (c *Core) start(t *task, name model.WorkerName, it *queue.Item) {
	o := c.own
	w := o.workers[name]
	t.worker, t.boot, t.placed = name, w.boot, c.now
	t.number = c.nextAttempt()
	t.id = model.NewTaskID(t.j.id, t.index, t.number)
	t.stopping, t.preempted, t.acked = false, false, 0
	c.instancePlaced(t)
	c.track(t)
	o.cache.Reserve(name, t.spec(), c.now)
	o.queue.RecordStart(c.startedItem(t, it), c.now)
	c.observe("placement_wait_seconds", string(t.j.svc.Class), c.now.Sub(t.queued))
	if t.j.keyed {
		c.makeIntent(t, w)
		return
	}
	c.sendStart(t, w)
}

// startedItem is the queue's item under the task id of this attempt.
func (c *Core) startedItem(t *task, it *queue.Item) *queue.Item {
	cp := *it
	cp.Task = t.id
	return &cp
}

// track adds a placed task to the owner's tables.
func (c *Core) track(t *task) {
	o := c.own
	o.tasks[t.id] = t
	m := o.jobTasks[t.j.id]
	if m == nil {
		m = make(map[model.TaskID]*task)
		o.jobTasks[t.j.id] = m
	}
	m[t.id] = t
	b := o.byWorker[t.worker]
	if b == nil {
		b = make(map[model.TaskID]*task)
		o.byWorker[t.worker] = b
	}
	b[t.id] = t
	t.j.mark(t.index, taskActive)
}

// untrack removes a task that no longer holds anything.
func (c *Core) untrack(t *task) {
	o := c.own
	if o.tasks[t.id] != t {
		return
	}
	if t.phase == phaseDoubt && t.j.keyed {
		o.doubts--
	}
	if t.preempted {
		o.preempting--
	}
	delete(o.tasks, t.id)
	delete(o.holds, t.id)
	delete(o.intents, t.id)
	delete(o.byWorker[t.worker], t.id)
	if m := o.jobTasks[t.j.id]; m != nil {
		delete(m, t.id)
		if len(m) == 0 {
			delete(o.jobTasks, t.j.id)
		}
	}
	o.cache.Release(t.id)
	o.queue.RecordEnd(t.id)
	if !t.superseded {
		t.j.mark(t.index, taskWaiting)
	}
	c.dirty = true
}

func (t *task) spec() model.TaskSpec {
	j := t.j
	return model.TaskSpec{
		ID: t.id, Job: j.id, Index: t.index, Attempt: t.number, Service: j.svc.Name,
		Operation: j.sub.Operation, Class: j.svc.Class, Team: j.svc.Team, Key: j.sub.Key,
		RequestHash: j.hash, Resources: j.need, MaxRun: j.svc.MaxRunTime,
	}
}

// notAfter is the time on a worker's clock until which it may start a task
// sent now. It counts from the receipt of the worker's last report, so delays
// on the way only make it earlier.
func (c *Core) notAfter(w *workerState) model.WorkerTime {
	return w.clock + model.WorkerTime(c.now.Sub(w.clockAt)+c.cfg.Timing.StartGrace)
}

// sendStart sends a start. From here on the task may run.
func (c *Core) sendStart(t *task, w *workerState) {
	t.phase = phaseStarting
	delete(c.own.intents, t.id)
	t.attempts++
	t.j.everStarted = true
	if !t.j.keyed {
		t.notAfter = c.notAfter(w)
	}
	t.sendBy = c.lease.MayActUntil(c.now)
	c.count("task_starts", string(t.j.svc.Class), 1)
	c.emit(Effect{Start: &Start{Worker: w.name, Address: w.address, SendBy: t.sendBy, Request: worker.StartRequest{
		Epoch: c.own.epoch, Boot: t.boot, NotAfter: t.notAfter, Lease: c.cfg.Timing.TaskLease,
		Spec: t.spec(), Body: t.j.sub.Body, Resume: t.resume,
	}}})
}

// control makes a control call to a worker.
func (c *Core) control(w *workerState, a worker.Action, tasks []model.TaskID) {
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
		c.control(w, worker.ActionStop, []model.TaskID{t.id})
	}
}
