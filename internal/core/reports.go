package core

import (
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// applyReport updates the owner's state from a worker's report.
func (c *Core) applyReport(w *workerState, ev *Watched) {
	r := ev.Report
	if w.boot != "" && r.Boot != w.boot {
		c.onWorkerRestarted(w)
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
		w.fenced = c.fencedBy(ev.SentAt, r)
	}
	c.owner.cache.SetWorker(w.name, w.rack, r.Capacity, placement.WorkerFlags{
		Leaving: w.leaving, Quarantined: c.health.Quarantined(w.name), Unfenced: !w.fenced,
	})
	if first {
		c.reserveAdopted(w)
	}
	if r.Full && c.workerBoots[w.name] != r.Boot {
		c.workerBoots[w.name] = r.Boot
		c.queueRecord(record.Entry{Boot: &record.Boot{Worker: w.name, Boot: r.Boot}}, false)
	}
	for _, st := range r.Tasks {
		c.applyReportedTask(w, st)
	}
	if r.Full {
		c.loseMissingTasks(w, ev)
	}
	c.checkOwnerReady()
	c.needsScheduling = true
}

// reserveAdopted reserves capacity for tasks in doubt on a worker that was not known
// when they were adopted.
func (c *Core) reserveAdopted(w *workerState) {
	for _, id := range c.tasksOn(w.name) {
		t := c.owner.tasks[id]
		if _, ok := c.owner.cache.Task(id); !ok && t.phase == phaseInDoubt {
			c.owner.cache.RecordReport(id, w.name, t.spec(), model.Resources{}, c.now)
			c.owner.cache.MarkInDoubt(id)
		}
	}
}

// onWorkerRestarted handles the restart of a worker, which loses its tasks.
func (c *Core) onWorkerRestarted(w *workerState) {
	c.count("worker_restarts", "", 1)
	c.change("worker", string(w.name), "", "restarted")
	for _, id := range c.tasksOn(w.name) {
		// A start that is or was in flight may still reach the worker, so only running
		// tasks are lost.
		if t := c.owner.tasks[id]; t != nil && t.phase == phaseRunning {
			c.taskLost(t, "the worker restarted")
		}
	}
	w.reported, w.fenced, w.fenceReportPending, w.reportSeq = false, false, false, 0
}

// loseMissingTasks marks running tasks as lost if a full report does not list them.
func (c *Core) loseMissingTasks(w *workerState, ev *Watched) {
	known := make(map[model.TaskID]bool, len(ev.Report.Tasks))
	for _, st := range ev.Report.Tasks {
		known[st.Spec.ID] = true
	}
	for _, id := range c.tasksOn(w.name) {
		t := c.owner.tasks[id]
		if known[id] || t.phase != phaseRunning || t.acceptedAt == 0 || t.acceptedAt > ev.SentAt {
			continue // the start may have been accepted after the report
		}
		c.taskLost(t, "the worker does not know the task")
	}
}

// applyReportedTask applies a worker's status of one task.
func (c *Core) applyReportedTask(w *workerState, st model.TaskStatus) {
	if t := c.owner.tasks[st.Spec.ID]; t != nil {
		c.applyTaskStatus(t, st)
		return
	}
	if st.State == model.TaskRunning {
		c.adoptRunning(w, st)
		return
	}
	c.adoptEnded(w, st)
}

// adoptRunning adopts a task that a former owner started.
func (c *Core) adoptRunning(w *workerState, st model.TaskStatus) {
	s := st.Spec
	c.owner.cache.RecordReport(s.ID, w.name, s, st.Usage, c.now)
	t := &task{
		index: s.Index, id: s.ID, attemptNumber: s.Attempt, worker: w.name, boot: w.boot,
		attempts: 1, acceptedAt: c.now, placedAt: c.now, queuedAt: c.now, phase: phaseRunning,
	}
	t.job = c.jobOfReported(s)
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

// jobOfReported returns the job of a reported task, or nil if the task should not
// continue.
func (c *Core) jobOfReported(s model.TaskSpec) *job {
	if s.Class == model.ClassService {
		return c.instanceJob(s)
	}
	j := c.jobs[s.Job]
	svc := c.findService(s.Service)
	if j != nil || svc == nil {
		if j != nil && (j.answer != nil || j.cancelled) {
			return nil
		}
		return j
	}
	if svc.Class != model.ClassInteractive && svc.Idempotent {
		return nil // the log does not contain the job, or the job has ended
	}
	// An interactive task of a former owner. The instance that received the request
	// forwards it again, and the forward is attached to this job.
	j = newJob(s.Job, model.Submission{Service: s.Service, Operation: s.Operation, Key: s.Key}, s.RequestHash)
	c.setJobService(j, svc)
	j.resources = s.Resources
	j.adopted = true
	j.enqueuedAt = c.now
	c.jobs[s.Job] = j
	if j.keyed {
		c.restoreReportedKey(s)
	}
	return j
}

// restoreReportedKey restores a key that only a worker still knows. The intent was held
// only in the memory of instances that have exited.
func (c *Core) restoreReportedKey(s model.TaskSpec) {
	if c.keys.Get(s.Job) != nil {
		return
	}
	c.count("keys_from_reports", "", 1)
	in := intentFromSpec(s)
	in.Epoch, in.Late = c.owner.epoch, true
	c.keys.Restore(c.now, in)
	c.appendIntent(in)
}

// adoptEnded records the result of a task that ended while no owner was watching.
func (c *Core) adoptEnded(w *workerState, st model.TaskStatus) {
	c.owner.cache.Release(st.Spec.ID)
	s := st.Spec
	j := c.jobs[s.Job]
	svc := c.findService(s.Service)
	switch {
	case svc != nil && !svc.Idempotent:
		c.recordReportedOutcome(w, st)
	case j != nil && j.durable && j.answer == nil && st.State == model.TaskDone &&
		s.Index < len(j.taskStates) && j.taskStates[s.Index] == taskWaiting:
		t := &task{job: j, index: s.Index, id: s.ID, worker: w.name}
		c.completeTask(t, st.Result)
	case j != nil && j.durable && j.answer == nil && c.hasUnloggedResult(j, s):
		// The progress record is queued or in flight.
	default:
		c.ackTask(w.name, s.ID)
	}
}

func (c *Core) hasUnloggedResult(j *job, s model.TaskSpec) bool {
	for _, f := range j.unloggedTasks {
		if f.id == s.ID {
			return true
		}
	}
	return false
}

// recordReportedOutcome records the outcome of a key from the result that a worker
// kept.
func (c *Core) recordReportedOutcome(w *workerState, st model.TaskStatus) {
	in := intentFromSpec(st.Spec)
	in.Worker = w.name
	e := c.keys.Get(in.Job)
	if e != nil && e.Answer != nil && e.Answer.Outcome.Final() && e.Answer.Outcome != model.OutcomeNotRun {
		if e.Attempt == in.Attempt && !c.outcomePending(in.Task) {
			c.ackTask(w.name, in.Task)
		}
		return
	}
	if e == nil {
		c.restoreReportedKey(st.Spec)
	} else {
		in.RequestHash = e.Hash
	}
	a := keyedAnswer(in.Job, st)
	c.appendOutcome(in, a)
	if j := c.jobs[in.Job]; j != nil && j.answer == nil {
		c.endJob(j, a)
	}
}

// intentFromSpec rebuilds an intent from the task spec that a worker reports.
func intentFromSpec(s model.TaskSpec) record.Intent {
	return record.Intent{
		Service: s.Service, Key: s.Key, RequestHash: s.RequestHash, Job: s.Job, Task: s.ID, Attempt: s.Attempt, Resources: s.Resources,
	}
}

// appendIntent logs an intent whose task was already started.
func (c *Core) appendIntent(in record.Intent) {
	c.queueRecord(record.Entry{Intent: &in}, true)
}

// outcomePending reports whether the outcome of a task is queued or in flight to the
// log.
func (c *Core) outcomePending(id model.TaskID) bool {
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
