package core

import (
	"sort"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// maxStatusJobs limits the jobs that a status report lists.
const maxStatusJobs = 50

// onStatus answers a status request.
func (c *Core) onStatus(ev *Status) {
	c.emit(Effect{Status: &StatusAnswer{Request: ev.Request, Report: c.statusReport()}})
}

func (c *Core) statusReport() StatusReport {
	v, hash, _, _, _ := c.pub.Current()
	r := StatusReport{
		Self: c.cfg.Self, Ready: c.ready, Draining: c.draining, TextVersion: v, TextHash: hash,
		Epoch: c.lease.Epoch(), Acting: c.acting(), LogOK: !c.logUnavailable(), Keys: c.keys.Len(),
	}
	owner, ok := c.lease.Owner()
	if ok {
		r.Owner = &owner
	}
	for _, p := range c.view.Members(c.now) {
		r.Members = append(r.Members, MemberStatus{
			Member: p.Member, Alive: p.Alive, Owner: ok && p.Member.Incarnation == owner.Incarnation,
		})
	}
	if c.owner != nil {
		c.addOwnerStatus(&r)
	}
	return r
}

// addOwnerStatus adds the fields that only the owner can fill in.
func (c *Core) addOwnerStatus(r *StatusReport) {
	o := c.owner
	r.OwnerReady, r.InDoubt = o.ready, o.keyedInDoubt
	running := make(map[model.Class]int)
	tasks := make(map[model.WorkerName]int)
	for _, t := range o.tasks {
		running[t.job.service.Class]++
		tasks[t.worker]++
	}
	for _, name := range sortedKeys(o.workers) {
		w := o.workers[name]
		r.Workers = append(r.Workers, WorkerStatus{
			Name: name, Rack: w.rack, Capacity: w.capacity, Used: o.cache.Used(name), Tasks: tasks[name],
			Reachable: w.reachable, Leaving: w.leaving, Quarantined: c.health.Quarantined(name),
		})
	}
	for _, cl := range []model.Class{model.ClassInteractive, model.ClassService, model.ClassGang, model.ClassBatch} {
		r.Queues = append(r.Queues, QueueStatus{Class: cl, Waiting: o.queue.WaitingInClass(cl), Running: running[cl]})
	}
	r.Services = c.serviceStates()
	r.Jobs = c.jobForecasts()
}

// jobForecasts lists unfinished durable jobs, those at risk first.
func (c *Core) jobForecasts() []JobForecast {
	var out []JobForecast
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.answer != nil || !j.durable {
			continue
		}
		f := JobForecast{Job: id, Counts: j.taskCounts(), Deadline: j.wallDeadline.Format(time.RFC3339), AtRisk: j.atRisk}
		if j.forecast > 0 {
			f.ExpectedEnd = c.wall.Add(j.forecast).Format(time.RFC3339)
		}
		out = append(out, f)
	}
	sort.SliceStable(out, func(i, k int) bool { return out[i].AtRisk && !out[k].AtRisk })
	return out[:min(len(out), maxStatusJobs)]
}
