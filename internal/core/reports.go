package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// applyReport takes over a worker's report.
func (c *Core) applyReport(w *workerState, ev *Watched) {
	r := ev.Report
	if w.boot != "" && r.Boot != w.boot {
		c.restarted(w)
	}
	if !w.reachable {
		c.change("worker", string(w.name), "silent", "reachable")
		c.health.MarkReachable(c.now, w.name)
	}
	w.boot, w.reportSeq, w.clock, w.clockReceivedAt, w.reachable = r.Boot, r.Seq, r.Clock, c.now, true
	if r.Rack != "" {
		w.rack = r.Rack
	}
	c.setLeaving(w, r.Leaving || w.vmLeaving)
	w.capacity = r.Capacity
	w.suspected = false
	first := !w.reported
	w.reported = w.reported || r.Full
	w.guarded = r.Guarded
	if r.Full && !w.fenced {
		w.fenced = c.clearedBy(ev.SentAt, r)
	}
	c.own.cache.SetWorker(w.name, w.rack, r.Capacity, placement.WorkerFlags{
		Leaving: w.leaving, Quarantined: c.health.Quarantined(w.name), Unfenced: !w.fenced,
	})
	if first {
		c.promiseAdopted(w)
	}
	if r.Full && c.boots[w.name] != r.Boot {
		c.boots[w.name] = r.Boot
		c.queueRecord(record.Entry{Boot: &record.Boot{Worker: w.name, Boot: r.Boot}}, false)
	}
	for _, st := range r.Tasks {
		c.applyStatus(w, st)
	}
	if r.Full {
		c.missingTasks(w, ev)
	}
	c.checkOwnerReady()
	c.dirty = true
}

// promiseAdopted counts tasks in doubt against a worker that was not known
// when they were adopted.
func (c *Core) promiseAdopted(w *workerState) {
	for _, id := range c.tasksOn(w.name) {
		t := c.own.tasks[id]
		if _, ok := c.own.cache.Task(id); !ok && t.phase == phaseInDoubt {
			c.own.cache.RecordReport(id, w.name, t.spec(), model.Resources{}, c.now)
			c.own.cache.MarkInDoubt(id)
		}
	}
}

// restarted handles a worker that has forgotten its tasks.
func (c *Core) restarted(w *workerState) {
	c.count("worker_restarts", "", 1)
	c.change("worker", string(w.name), "", "restarted")
	for _, id := range c.tasksOn(w.name) {
		// A start that is on its way, or was, may still reach the worker.
		if t := c.own.tasks[id]; t != nil && t.phase == phaseRunning {
			c.taskLost(t, "the worker restarted")
		}
	}
	w.reported, w.fenced, w.fenceReportPending, w.reportSeq = false, false, false, 0
}

// missingTasks handles tasks that a worker should run and does not know.
func (c *Core) missingTasks(w *workerState, ev *Watched) {
	known := make(map[model.TaskID]bool, len(ev.Report.Tasks))
	for _, st := range ev.Report.Tasks {
		known[st.Spec.ID] = true
	}
	for _, id := range c.tasksOn(w.name) {
		t := c.own.tasks[id]
		if known[id] || t.phase != phaseRunning || t.acceptedAt == 0 || t.acceptedAt > ev.SentAt {
			continue // its start may have come after the report
		}
		c.taskLost(t, "the worker does not know the task")
	}
}

// applyStatus takes over a worker's word about one task.
func (c *Core) applyStatus(w *workerState, st model.TaskStatus) {
	if t := c.own.tasks[st.Spec.ID]; t != nil {
		c.applyTaskStatus(t, st)
		return
	}
	if st.State == model.TaskRunning {
		c.adoptRunning(w, st)
		return
	}
	c.adoptEnded(w, st)
}

// adoptRunning takes over a task that a former owner started.
func (c *Core) adoptRunning(w *workerState, st model.TaskStatus) {
	s := st.Spec
	c.own.cache.RecordReport(s.ID, w.name, s, st.Usage, c.now)
	t := &task{
		index: s.Index, id: s.ID, attemptNumber: s.Attempt, worker: w.name, boot: w.boot,
		attempts: 1, acceptedAt: c.now, placedAt: c.now, queuedAt: c.now, phase: phaseRunning,
	}
	t.job = c.adoptiveJob(s)
	if t.job == nil || s.Index >= len(t.job.taskStates) || t.job.taskStates[s.Index] != taskWaiting {
		// Finished, cancelled, or running elsewhere by now.
		c.count("tasks_superseded", string(s.Class), 1)
		if s.Key == "" || s.Class == model.ClassService {
			c.sendControl(w, worker.ActionStop, []model.TaskID{s.ID})
		}
		return
	}
	c.track(t)
	t.job.mayHaveStarted = true
	c.count("tasks_adopted", string(s.Class), 1)
	if s.Class == model.ClassService {
		c.noteAdoptedInstance(t)
	}
}

// adoptiveJob returns the job that a reported task belongs to, if it should go
// on running.
func (c *Core) adoptiveJob(s model.TaskSpec) *job {
	if s.Class == model.ClassService {
		return c.instanceJob(s)
	}
	j := c.jobs[s.Job]
	svc := c.serviceOf(s.Service)
	if j != nil || svc == nil {
		if j != nil && (j.answer != nil || j.cancelled) {
			return nil
		}
		return j
	}
	if svc.Class != model.ClassInteractive && svc.Idempotent {
		return nil // the log has no such job, or it has ended
	}
	// An interactive task of a former owner: its caller's instance forwards the
	// request again and finds it here.
	j = newJob(s.Job, model.Submission{Service: s.Service, Operation: s.Operation, Key: s.Key}, s.RequestHash)
	c.adoptService(j, svc)
	j.resources = s.Resources
	j.adopted = true
	j.enqueuedAt = c.now
	c.jobs[s.Job] = j
	if j.keyed {
		c.restoreReported(s)
	}
	return j
}

// restoreReported makes a key known that only a worker remembers: its intent
// was held in memory by instances that are gone.
func (c *Core) restoreReported(s model.TaskSpec) {
	if c.keys.Get(s.Job) != nil {
		return
	}
	c.count("keys_from_reports", "", 1)
	in := keyedIntentOf(s)
	in.Epoch, in.Late = c.own.epoch, true
	c.keys.Restore(c.now, in)
	c.appendIntent(in)
}

// adoptEnded takes over the result of a task that ended while nobody watched.
func (c *Core) adoptEnded(w *workerState, st model.TaskStatus) {
	c.own.cache.Release(st.Spec.ID)
	s := st.Spec
	j := c.jobs[s.Job]
	svc := c.serviceOf(s.Service)
	switch {
	case svc != nil && !svc.Idempotent:
		c.settleReported(w, st)
	case j != nil && j.durable && j.answer == nil && st.State == model.TaskDone &&
		s.Index < len(j.taskStates) && j.taskStates[s.Index] == taskWaiting:
		t := &task{job: j, index: s.Index, id: s.ID, worker: w.name}
		c.completeTask(t, st.Result)
	case j != nil && j.durable && j.answer == nil && c.unloggedResult(j, s):
		// Its progress record is on the way.
	default:
		c.ackTask(w.name, s.ID)
	}
}

func (c *Core) unloggedResult(j *job, s model.TaskSpec) bool {
	for _, f := range j.unloggedTasks {
		if f.id == s.ID {
			return true
		}
	}
	return false
}

// settleReported settles a key by the result that a worker kept.
func (c *Core) settleReported(w *workerState, st model.TaskStatus) {
	in := keyedIntentOf(st.Spec)
	in.Worker = w.name
	e := c.keys.Get(in.Job)
	if e != nil && e.Answer != nil && e.Answer.Outcome.Final() && e.Answer.Outcome != model.OutcomeNotRun {
		if e.Attempt == in.Attempt && !c.outcomeQueued(in.Task) {
			c.ackTask(w.name, in.Task)
		}
		return
	}
	if e == nil {
		c.restoreReported(st.Spec)
	} else {
		in.RequestHash = e.Hash
	}
	a := keyedAnswer(in.Job, st)
	c.appendOutcome(in, a)
	if j := c.jobs[in.Job]; j != nil && j.answer == nil {
		c.endJob(j, a)
	}
}

// keyedIntentOf rebuilds an intent from what a worker echoes.
func keyedIntentOf(s model.TaskSpec) record.Intent {
	return record.Intent{
		Service: s.Service, Key: s.Key, RequestHash: s.RequestHash, Job: s.Job, Task: s.ID, Attempt: s.Attempt, Resources: s.Resources,
	}
}

// appendIntent logs an intent that was started already.
func (c *Core) appendIntent(in record.Intent) {
	c.queueRecord(record.Entry{Intent: &in}, true)
}

// outcomeQueued reports whether the outcome of a task is not yet in the log.
func (c *Core) outcomeQueued(id model.TaskID) bool {
	match := func(es []record.Entry) bool {
		for _, e := range es {
			if e.Outcome != nil && e.Outcome.Task == id {
				return true
			}
		}
		return false
	}
	return match(c.commit.entries) || (c.commit.inFlight != nil && match(c.commit.inFlight.batch.Entries))
}
