package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/placement"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// workerState is the owner's state of one worker.
type workerState struct {
	name               model.WorkerName
	address            string
	rack               string
	registered         bool // in the platform's VM list
	leaving            bool // according to the VM list, the worker's report or its refusal of a start
	vmLeaving          bool // according to the VM list
	boot               string
	reportSeq          uint64
	clock              model.WorkerTime
	clockReceivedAt    model.Time // when the report with clock was received
	reported           bool       // has sent a full report to this owner
	reachable          bool
	renewedAt          model.Time // latest time at which the worker may have received a lease renewal
	watchInFlight      bool
	watchSentAt        model.Time // when the last watch was sent; answers to earlier ones are ignored
	nextWatch          model.Time
	capacity           model.Resources
	suspected          bool // did not answer a start; gets no new tasks until it answers a call
	guarded            bool // refuses stale epochs and late starts itself
	fenceReportPending bool // a watch for the report that fences it was sent
	fenced             bool // no start of a former owner can take effect any more
}

// watchRetryDelay is the delay before a failed watch call is repeated, before jitter.
const watchRetryDelay = 300 * time.Millisecond

// syncWorkers updates the owner's workers from the VM list in the membership view.
func (c *Core) syncWorkers() {
	o := c.owner
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
			w.nextWatch = c.now
		}
		w.registered = true
		w.vmLeaving = v.Leaving
		c.setLeaving(w, v.Leaving || w.leaving)
		c.updatePlacementFlags(w)
		if !w.watchInFlight && c.now >= w.nextWatch {
			c.sendWatch(w)
		}
	}
	for _, name := range sortedKeys(o.workers) {
		w := o.workers[name]
		if !listed[name] {
			w.registered = false
		}
	}
}

// setLeaving sets whether a worker is leaving and reports the change.
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

// sendWatch sends the next watch call to a worker. A worker that did not answer the last
// call gets no lease renewal, so that the owner knows when its tasks' leases expire.
func (c *Core) sendWatch(w *workerState) {
	w.watchInFlight, w.watchSentAt = true, c.now
	req := worker.WatchRequest{Epoch: c.owner.epoch, After: w.reportSeq, Boot: w.boot, Wait: c.cfg.Timing.WatchTimeout}
	if w.reachable || w.renewedAt == 0 {
		req.Lease = c.cfg.Timing.TaskLease
	}
	if !w.reachable {
		req.Wait = 0
	}
	c.emit(Effect{Watch: &Watch{Worker: w.name, Address: w.address, Request: req}})
}

// tickWorkers repeats failed watches and handles unreachable workers whose task leases
// have expired.
func (c *Core) tickWorkers() {
	o := c.owner
	for _, name := range sortedKeys(o.workers) {
		w := o.workers[name]
		if !w.watchInFlight && c.now >= w.nextWatch {
			c.sendWatch(w)
		}
		if !w.reachable && w.renewedAt != 0 && c.now > w.renewedAt.Add(c.cfg.Timing.TaskLease+c.cfg.Timing.LeaseDuration) {
			c.taskLeasesExpired(w)
			if !w.registered {
				c.removeWorker(w)
			}
		}
	}
}

// taskLeasesExpired handles an unreachable worker whose task leases have all expired.
// Idempotent tasks are lost and start again on other workers; keyed ones are in doubt.
func (c *Core) taskLeasesExpired(w *workerState) {
	for _, id := range c.tasksOn(w.name) {
		t := c.owner.tasks[id]
		if t.phase == phaseIntent {
			continue
		}
		if t.job.keyed {
			c.markKeyedInDoubt(t)
			continue
		}
		c.taskLost(t, "the worker does not answer")
	}
}

// markKeyedInDoubt marks a keyed task as in doubt if its worker can't be reached.
func (c *Core) markKeyedInDoubt(t *task) {
	if t.phase != phaseInDoubt {
		t.phase = phaseInDoubt
		c.owner.keyedInDoubt++
		c.owner.cache.MarkInDoubt(t.id)
		c.owner.queryTimers.add(c.now, t.id)
	}
}

// tasksOn returns the ids of the tasks placed on a worker, in ascending order.
func (c *Core) tasksOn(name model.WorkerName) []model.TaskID {
	return sortedKeys(c.owner.byWorker[name])
}

func (c *Core) removeWorker(w *workerState) {
	delete(c.owner.workers, w.name)
	delete(c.owner.pendingAcks, w.name)
	delete(c.workerBoots, w.name)
	c.queueRecord(record.Entry{Boot: &record.Boot{Worker: w.name}}, false)
	c.owner.cache.RemoveWorker(w.name)
	c.health.ForgetWorker(w.name)
	c.change("worker", string(w.name), "silent", "removed")
	c.checkOwnerReady()
}

// updatePlacementFlags updates in the placement cache whether a worker may get new tasks.
func (c *Core) updatePlacementFlags(w *workerState) {
	if !w.reported {
		return
	}
	c.owner.cache.SetFlags(w.name, placement.WorkerFlags{
		Leaving: w.leaving, Quarantined: c.health.Quarantined(w.name), Unfenced: !w.reachable || !w.fenced || w.suspected,
	})
}

// onWatched handles the result of a watch call.
func (c *Core) onWatched(ev *Watched) {
	if c.owner == nil {
		return
	}
	if ev.StaleEpoch > 0 {
		c.lease.ObserveEpoch(c.now, ev.StaleEpoch)
	}
	w := c.owner.workers[ev.Worker]
	if w == nil {
		return
	}
	if w.reachable || w.renewedAt == 0 {
		w.renewedAt = c.now
	}
	if ev.SentAt < w.watchSentAt {
		return // a newer watch has been sent
	}
	w.watchInFlight = false
	if ev.Report == nil || ev.Epoch > c.owner.epoch {
		c.watchFailed(w)
		return
	}
	c.applyReport(w, ev)
	if c.owner != nil {
		c.sendWatch(w)
	}
}

func (c *Core) watchFailed(w *workerState) {
	c.count("watch_failures", "", 1)
	w.nextWatch = c.now.Add(c.jitter(watchRetryDelay, 0.8, 1.2))
	w.fenceReportPending = false
	if w.reachable {
		w.reachable = false
		c.change("worker", string(w.name), "reachable", "silent")
		c.health.MarkUnreachable(c.now, w.name)
	}
	c.updatePlacementFlags(w)
}
