package core

import (
	"time"

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
		c.own.cache.MarkInDoubt(t.id)
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
	delete(c.boots, w.name)
	c.append(record.Entry{Boot: &record.Boot{Worker: w.name}}, false)
	c.own.cache.RemoveWorker(w.name)
	c.health.ForgetWorker(w.name)
	c.change("worker", string(w.name), "silent", "removed")
	c.checkSettled()
}

// setFlags tells the placement cache whether a worker takes new tasks.
func (c *Core) setFlags(w *workerState) {
	if !w.reported {
		return
	}
	c.own.cache.SetFlags(w.name, placement.WorkerFlags{
		Leaving: w.leaving, Quarantined: c.health.Quarantined(w.name), Unfenced: !w.reach || !w.cleared || w.suspect,
	})
}

// onWatched handles the answer to a watch call.
func (c *Core) onWatched(ev *Watched) {
	if c.own == nil {
		return
	}
	if ev.StaleEpoch > 0 {
		c.lease.ObserveEpoch(c.now, ev.StaleEpoch)
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
		c.health.MarkUnreachable(c.now, w.name)
	}
	c.setFlags(w)
}
