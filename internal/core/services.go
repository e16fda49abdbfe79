package core

import (
	"fmt"
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// serviceState is one long-running service in the owner's data centre. Its
// instances are tasks of a job that exists only at the owner.
type serviceState struct {
	svc     model.Service
	j       *job
	pending map[int]bool // indexes that are queued
	removed bool         // no longer in the text
}

// runsHere reports whether a service has instances in this data centre. A
// singleton runs in one data centre, chosen by its name.
func (c *Core) runsHere(svc *model.Service) bool {
	dcs := svc.DataCentres
	if len(dcs) == 0 {
		dcs = c.text.DataCentres
	}
	if svc.Singleton {
		return home(dcs, svc.Name) == c.cfg.Self.DataCentre
	}
	return contains(dcs, c.cfg.Self.DataCentre)
}

// instanceJobID returns the id of the job of a service's instances.
func (c *Core) instanceJobID(service string) model.JobID {
	return model.JobID(fmt.Sprintf("%s/service/%s", c.cfg.Self.DataCentre, service))
}

// applyText takes over the text in force at the owner.
func (c *Core) applyText() {
	o := c.own
	for _, t := range c.text.Teams {
		o.cache.SetQuota(t.Name, t.Quota)
	}
	for _, s := range o.services {
		s.removed = true
	}
	for i := range c.text.Services {
		svc := &c.text.Services[i]
		if svc.Class != model.ClassService || !c.runsHere(svc) {
			continue
		}
		c.setService(svc)
	}
	c.dirty = true
}

func (c *Core) setService(svc *model.Service) *serviceState {
	s := c.own.services[svc.Name]
	if s == nil {
		s = &serviceState{pending: make(map[int]bool)}
		s.j = newJob(c.instanceJobID(svc.Name), model.Submission{Service: svc.Name, Tasks: svc.Instances}, 0)
		c.own.services[svc.Name] = s
	}
	s.svc, s.removed = *svc, false
	c.adoptService(s.j, svc)
	s.j.keyed = false
	s.j.grow(max(svc.Instances, 1))
	return s
}

// runningInstances returns how many instances of a service run here.
func (c *Core) runningInstances(name string) int {
	s := c.own.services[name]
	if s == nil {
		return 0
	}
	n := 0
	for _, t := range c.own.jobTasks[s.j.id] {
		if t.phase == phaseRunning && !t.stopping {
			n++
		}
	}
	return n
}

// reconcileServices compares the instances of every service with the text, in
// dependency order.
func (c *Core) reconcileServices() {
	if c.text == nil {
		return
	}
	c.own.depsDown = make(map[string]bool)
	for _, name := range c.serviceOrder() {
		s := c.own.services[name]
		if s.removed {
			c.stopInstances(s, 0)
			continue
		}
		c.stopInstances(s, s.svc.Instances)
		if c.serviceHeld(s) == model.CodeNone {
			c.queueInstances(s)
		}
	}
}

// serviceOrder lists the services so that each comes after those it depends
// on. The text has no cycles.
func (c *Core) serviceOrder() []string {
	var out []string
	seen := make(map[string]bool)
	var visit func(name string)
	visit = func(name string) {
		s := c.own.services[name]
		if s == nil || seen[name] {
			return
		}
		seen[name] = true
		for _, d := range s.svc.DependsOn {
			visit(d)
		}
		out = append(out, name)
	}
	for _, name := range sortedKeys(c.own.services) {
		visit(name)
	}
	return out
}

// serviceHeld says why no instance of a service is started now.
func (c *Core) serviceHeld(s *serviceState) model.Code {
	if c.dependencyDown(&s.svc) {
		return model.CodeDependencyDown
	}
	// Instances of a former owner may run on workers that have not reported.
	// A second one of a singleton is worse than a late one.
	if !c.allWorkersReported() && c.now.Sub(c.own.since) < c.cfg.Timing.TaskLease+c.cfg.Timing.LeaseDuration {
		return model.CodeOwnerRecovering
	}
	return model.CodeNone
}

// queueInstances queues the instances that are missing.
func (c *Core) queueInstances(s *serviceState) {
	for i := 0; i < s.svc.Instances; i++ {
		if s.j.marks[i] != taskWaiting || s.pending[i] {
			continue
		}
		s.pending[i] = true
		c.count("service_starts", s.svc.Name, 1)
		c.enqueue(&task{j: s.j, index: i})
	}
}

// stopInstances stops instances with an index of want or above.
func (c *Core) stopInstances(s *serviceState, want int) {
	for _, id := range sortedKeys(c.own.jobTasks[s.j.id]) {
		t := c.own.jobTasks[s.j.id][id]
		if t.index >= want && !t.stopping {
			c.stopTask(t)
		}
	}
}

// instanceJob returns the job of a reported service instance, or nil if the
// text has no such service here.
func (c *Core) instanceJob(spec model.TaskSpec) *job {
	if c.text == nil {
		return nil
	}
	svc := c.text.Service(spec.Service)
	if svc == nil || svc.Class != model.ClassService || !c.runsHere(svc) {
		return nil
	}
	s := c.setService(svc)
	if spec.Job != s.j.id {
		return nil
	}
	return s.j
}

// instanceWanted reports whether a queued instance is still to be started.
func (c *Core) instanceWanted(t *task) bool {
	s := c.own.services[t.j.svc.Name]
	if s == nil {
		return false
	}
	if s.removed || t.index >= s.svc.Instances || s.j.marks[t.index] != taskWaiting {
		delete(s.pending, t.index)
		return false
	}
	return true
}

// instancePlaced notes that a service's instance has left the queue.
func (c *Core) instancePlaced(t *task) {
	if t.j.svc.Class != model.ClassService {
		return
	}
	if s := c.own.services[t.j.svc.Name]; s != nil {
		delete(s.pending, t.index)
	}
}

// adoptInstance notes an instance that a former owner started.
func (c *Core) adoptInstance(t *task) {
	c.instancePlaced(t)
}

// instanceStates is the operators' view of the services.
func (c *Core) instanceStates() []ServiceState {
	var out []ServiceState
	c.own.depsDown = make(map[string]bool)
	for _, name := range sortedKeys(c.own.services) {
		s := c.own.services[name]
		want := s.svc.Instances
		if s.removed {
			want = 0
		}
		out = append(out, ServiceState{
			Name: name, Desired: want, Running: c.runningInstances(name), HoldReason: c.serviceHeld(s),
		})
	}
	return slices.Clip(out)
}
