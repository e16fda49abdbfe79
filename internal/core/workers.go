package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// workerState is what the owner knows of one worker.
type workerState struct {
	name          model.WorkerName
	address       string
	rack          string
	listed        bool // in the platform's list
	leaving       bool // by the VM list, the worker's own report or its refusal of a start
	listedLeaving bool // the VM list says that it leaves
	boot          string
	seq           uint64
	clock         model.WorkerTime
	clockAt       model.Time // when the report with that clock was received
	reported      bool       // has sent a full report to this owner
	reach         bool
	renewed       model.Time // latest time at which a lease renewal may have arrived
	watching      bool
	watchedAt     model.Time // when the last watch was ordered; answers to earlier ones are late
	nextTry       model.Time
	capacity      model.Resources
	suspect       bool // did not answer its last start
	guarded       bool // refuses stale epochs and late starts by itself
	clearing      bool // a watch for that report was sent
	cleared       bool // no start of a former owner can arrive any more
}

// watchRetry is the delay before a worker that didn't answer is asked again.
const watchRetry = 300 * time.Millisecond

// syncWorkers takes over the membership's list of workers.
func (c *Core) syncWorkers() {
	o := c.own
	listed := make(map[model.WorkerName]bool)
	for _, v := range c.view.Workers() {
		listed[v.Name] = true
		w := o.workers[v.Name]
		if w == nil {
			w = &workerState{name: v.Name, address: v.Address, rack: v.Rack}
			o.workers[v.Name] = w
		}
		if w.address != v.Address {
			w.address = v.Address
			w.nextTry = c.now
		}
		w.listed = true
		w.listedLeaving = v.Leaving
		c.setLeaving(w, v.Leaving || w.leaving)
		c.setFlags(w)
		if !w.watching && c.now >= w.nextTry {
			c.watch(w)
		}
	}
	for _, name := range sortedKeys(o.workers) {
		w := o.workers[name]
		if !listed[name] {
			w.listed = false
		}
	}
}

// setLeaving notes whether a worker is leaving.
func (c *Core) setLeaving(w *workerState, leaving bool) {
	if w.leaving == leaving {
		return
	}
	w.leaving = leaving
	to := "live"
	if leaving {
		to = "leaving"
	}
	c.change("worker", string(w.name), "", to)
}

// watch sends the next watch call to a worker. One that did not answer the
// last call gets no lease renewal, so that the end of its tasks' leases can be
// told from here.
func (c *Core) watch(w *workerState) {
	w.watching, w.watchedAt = true, c.now
	req := worker.WatchRequest{Epoch: c.own.epoch, After: w.seq, Boot: w.boot, Wait: c.cfg.Timing.WatchWait}
	if w.reach || w.renewed == 0 {
		req.Lease = c.cfg.Timing.TaskLease
	}
	if !w.reach {
		req.Wait = 0
	}
	c.emit(Effect{Watch: &Watch{Worker: w.name, Address: w.address, Request: req}})
}

// tickWorkers watches workers again after a failure, and gives up on those
// whose leases have ended.
func (c *Core) tickWorkers() {
	o := c.own
	for _, name := range sortedKeys(o.workers) {
		w := o.workers[name]
		if !w.watching && c.now >= w.nextTry {
			c.watch(w)
		}
		if !w.reach && w.renewed != 0 && c.now > w.renewed.Add(c.cfg.Timing.TaskLease+c.cfg.Timing.Lease) {
			c.leasesEnded(w)
			if !w.listed {
				c.removeWorker(w)
			}
		}
	}
}

// leasesEnded handles a worker that has been silent until the leases of all its
// tasks have ended: idempotent tasks start again elsewhere.
func (c *Core) leasesEnded(w *workerState) {
	for _, id := range c.tasksOn(w.name) {
		t := c.own.tasks[id]
		if t.phase == phaseIntent {
			continue
		}
		if t.j.keyed {
			c.setDoubt(t)
			continue
		}
		c.lost(t, "the worker does not answer")
	}
}

// setDoubt marks a keyed task whose worker can't be asked.
func (c *Core) setDoubt(t *task) {
	if t.phase != phaseDoubt {
		t.phase = phaseDoubt
		c.own.doubts++
		c.own.cache.MarkDoubt(t.id)
		c.own.queries.add(c.now, t.id)
	}
}

// tasksOn returns the ids of the tasks bound to a worker, in order.
func (c *Core) tasksOn(name model.WorkerName) []model.TaskID {
	return sortedKeys(c.own.byWorker[name])
}

func (c *Core) removeWorker(w *workerState) {
	delete(c.own.workers, w.name)
	delete(c.own.forget, w.name)
	c.own.cache.RemoveWorker(w.name)
	c.blame.ForgetWorker(w.name)
	c.change("worker", string(w.name), "silent", "removed")
	c.checkSettled()
}

// setFlags tells the placement cache whether a worker takes new tasks.
func (c *Core) setFlags(w *workerState) {
	if !w.reported {
		return
	}
	c.own.cache.SetFlags(w.name, placement.Flags{
		Leaving: w.leaving, Quarantined: c.blame.Quarantined(w.name), Unfenced: !w.reach || !w.cleared || w.suspect,
	})
}

// suspect keeps new tasks off a worker that did not answer a start, until it
// answers a query or a watch. A watch alone would show its silence only after
// seconds, in which more starts would be lost.
func (c *Core) suspect(name model.WorkerName) {
	w := c.own.workers[name]
	if w == nil || w.suspect {
		return
	}
	w.suspect = true
	c.count("workers_suspected", "", 1)
	c.setFlags(w)
}

// clearedBy reports whether a full report shows everything that former owners
// have started. A guarded worker refuses their starts since it saw the new
// epoch. For another one the report must have been asked for after the last
// start of a former owner can have arrived: an owner sends none once its
// evidence has run out, and gives up on each after the start grace.
func (c *Core) clearedBy(sentAt model.Time, r *model.Report) bool {
	if r.Guarded || c.own.epoch == 1 {
		return true
	}
	from, ok := c.clearFrom()
	return ok && sentAt >= from
}

// clearFrom returns the time from which no start of a former owner can reach an
// unguarded worker any more. It is false while a former owner may still act on
// vouchers: it knows nothing of this epoch, and such a worker does not refuse
// it.
func (c *Core) clearFrom() (model.Time, bool) {
	safe, ok := c.lease.SafeSince()
	if !ok || c.own.actingSince == 0 {
		return 0, false
	}
	from := max(c.own.actingSince, safe.Add(c.cfg.Timing.Lease+c.cfg.Timing.Margin))
	return from.Add(c.cfg.Timing.StartGrace), true
}

// clearWorkers asks unguarded workers for a full report once it counts.
func (c *Core) clearWorkers() {
	if c.own.actingSince == 0 {
		c.own.actingSince = c.now
	}
	if from, ok := c.clearFrom(); !ok || c.now < from {
		return
	}
	for _, name := range sortedKeys(c.own.workers) {
		w := c.own.workers[name]
		if w.reported && !w.cleared && w.reach && !w.clearing {
			w.clearing = true
			w.seq = 0
			c.watch(w)
		}
	}
}

// onWatched handles the answer to a watch call.
func (c *Core) onWatched(ev *Watched) {
	if c.own == nil {
		return
	}
	if ev.StaleEpoch > 0 {
		c.lease.SeenEpoch(c.now, ev.StaleEpoch)
	}
	w := c.own.workers[ev.Worker]
	if w == nil {
		return
	}
	if w.reach || w.renewed == 0 {
		w.renewed = c.now
	}
	if ev.SentAt < w.watchedAt {
		return // another watch was ordered since
	}
	w.watching = false
	if ev.Report == nil || ev.Epoch > c.own.epoch {
		c.watchFailed(w)
		return
	}
	c.applyReport(w, ev)
	if c.own != nil {
		c.watch(w)
	}
}

func (c *Core) watchFailed(w *workerState) {
	c.count("watch_failures", "", 1)
	w.nextTry = c.now.Add(c.jitter(watchRetry, 0.8, 1.2))
	w.clearing = false
	if w.reach {
		w.reach = false
		c.change("worker", string(w.name), "reachable", "silent")
		c.blame.Unreachable(c.now, w.name)
	}
	c.setFlags(w)
}

// applyReport takes over a worker's report.
func (c *Core) applyReport(w *workerState, ev *Watched) {
	r := ev.Report
	if w.boot != "" && r.Boot != w.boot {
		c.restarted(w)
	}
	if !w.reach {
		c.change("worker", string(w.name), "silent", "reachable")
		c.blame.Reachable(c.now, w.name)
	}
	w.boot, w.seq, w.clock, w.clockAt, w.reach = r.Boot, r.Seq, r.Clock, c.now, true
	if r.Rack != "" {
		w.rack = r.Rack
	}
	c.setLeaving(w, r.Leaving || w.listedLeaving)
	w.capacity = r.Capacity
	w.suspect = false
	first := !w.reported
	w.reported = w.reported || r.Full
	w.guarded = r.Guarded
	if r.Full && !w.cleared {
		w.cleared = c.clearedBy(ev.SentAt, r)
	}
	c.own.cache.SetWorker(w.name, w.rack, r.Capacity, placement.Flags{
		Leaving: w.leaving, Quarantined: c.blame.Quarantined(w.name), Unfenced: !w.cleared,
	})
	if first {
		c.promiseAdopted(w)
	}
	for _, st := range r.Tasks {
		c.applyStatus(w, st)
	}
	if r.Full {
		c.missingTasks(w, ev)
	}
	c.checkSettled()
	c.dirty = true
}

// promiseAdopted counts tasks in doubt against a worker that was not known
// when they were adopted.
func (c *Core) promiseAdopted(w *workerState) {
	for _, id := range c.tasksOn(w.name) {
		t := c.own.tasks[id]
		if _, ok := c.own.cache.Task(id); !ok && t.phase == phaseDoubt {
			c.own.cache.Observe(id, w.name, t.spec(), model.Resources{}, c.now)
			c.own.cache.MarkDoubt(id)
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
			c.lost(t, "the worker restarted")
		}
	}
	w.reported, w.cleared, w.clearing, w.seq = false, false, false, 0
}

// missingTasks handles tasks that a worker should run and does not know.
func (c *Core) missingTasks(w *workerState, ev *Watched) {
	known := make(map[model.TaskID]bool, len(ev.Report.Tasks))
	for _, st := range ev.Report.Tasks {
		known[st.Spec.ID] = true
	}
	for _, id := range c.tasksOn(w.name) {
		t := c.own.tasks[id]
		if known[id] || t.phase != phaseRunning || t.acked == 0 || t.acked > ev.SentAt {
			continue // its start may have come after the report
		}
		c.lost(t, "the worker does not know the task")
	}
}

// applyStatus takes over a worker's word about one task.
func (c *Core) applyStatus(w *workerState, st model.TaskStatus) {
	if t := c.own.tasks[st.Spec.ID]; t != nil {
		c.taskReported(t, st)
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
	c.own.cache.Observe(s.ID, w.name, s, st.Usage, c.now)
	t := &task{
		index: s.Index, id: s.ID, number: s.Attempt, worker: w.name, boot: w.boot,
		attempts: 1, acked: c.now, placed: c.now, queued: c.now, phase: phaseRunning,
	}
	t.j = c.adoptiveJob(s)
	if t.j == nil || s.Index >= len(t.j.marks) || t.j.marks[s.Index] != taskWaiting {
		// Finished, cancelled, or running elsewhere by now.
		c.count("tasks_superseded", string(s.Class), 1)
		if s.Key == "" || s.Class == model.ClassService {
			c.control(w, worker.ActionStop, []model.TaskID{s.ID})
		}
		return
	}
	c.track(t)
	t.j.everStarted = true
	c.count("tasks_adopted", string(s.Class), 1)
	if s.Class == model.ClassService {
		c.adoptInstance(t)
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
	j.need = s.Resources
	j.adopted = true
	j.enqueued = c.now
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
		s.Index < len(j.marks) && j.marks[s.Index] == taskWaiting:
		t := &task{j: j, index: s.Index, id: s.ID, worker: w.name}
		c.taskDone(t, st.Result)
	case j != nil && j.durable && j.answer == nil && c.unloggedResult(j, s):
		// Its progress record is on the way.
	default:
		c.forgetTask(w.name, s.ID)
	}
}

func (c *Core) unloggedResult(j *job, s model.TaskSpec) bool {
	for _, f := range j.unlogged {
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
			c.forgetTask(w.name, in.Task)
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

// allWorkersReported reports whether every known worker has been fenced and
// has reported to this owner.
func (c *Core) allWorkersReported() bool {
	if !c.vmsListed || len(c.own.workers) == 0 {
		return false // tasks may run on workers that are not known yet
	}
	for _, w := range c.own.workers {
		if !w.cleared {
			return false
		}
	}
	return true
}

// applyHealth applies verdicts on workers.
func (c *Core) applyHealth(ch health.Change) {
	for _, name := range ch.Quarantined {
		c.quarantine(name, "quarantined")
	}
	for _, name := range ch.Released {
		c.quarantine(name, "released")
	}
	for _, id := range ch.JobsAtFault {
		c.count("jobs_at_fault", "", 1)
		c.change("job", string(id), "", "fails on healthy workers")
	}
}

func (c *Core) quarantine(name model.WorkerName, to string) {
	c.count("worker_verdicts", to, 1)
	c.change("worker", string(name), "", to)
	if w := c.own.workers[name]; w != nil {
		c.setFlags(w)
	}
}

// probeWorkers notes the quarantined workers that are due for a probe; the
// next idempotent task is placed there.
func (c *Core) probeWorkers() {
	for _, name := range c.own.probes {
		c.blame.ProbeSkipped(c.now, name)
	}
	c.own.probes = c.blame.ProbeDue(c.now)
}

// keyedIntentOf rebuilds an intent from what a worker echoes.
func keyedIntentOf(s model.TaskSpec) record.Intent {
	return record.Intent{
		Service: s.Service, Key: s.Key, RequestHash: s.RequestHash, Job: s.Job, Task: s.ID, Attempt: s.Attempt, Resources: s.Resources,
	}
}

// appendIntent logs an intent that was started already.
func (c *Core) appendIntent(in record.Intent) {
	c.append(record.Entry{Intent: &in}, true)
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
	return match(c.commit.entries) || (c.commit.flight != nil && match(c.commit.flight.batch.Entries))
}
