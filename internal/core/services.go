package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// managedService is a long-running service in the owner's data centre. Its instances
// are the tasks of a job that exists only at the owner.
type managedService struct {
	svc             model.Service
	job             *job
	queuedInstances map[int]bool // by index
	removed         bool         // no longer in the service text
	// shortRuns holds the instances whose last runs ended early, by index.
	shortRuns map[int]*shortRuns
}

// shortRuns counts consecutive runs of a service instance that ended early.
type shortRuns struct {
	count     int
	restartAt model.Time // no restart before this time
}

const (
	// stableRun is how long an instance has to run for its next restart not to be delayed.
	stableRun = 10 * time.Second
	// minRestartDelay is the delay of the second restart after early ends. It is doubled
	// with each further one, up to maxRestartDelay. The first restart is not delayed: most
	// instances end because of their worker.
	minRestartDelay = time.Second
	maxRestartDelay = time.Minute
)

// instanceEnded records that a service instance has ended by itself or was lost with its
// worker. An instance may be what crashes its workers, with all that runs beside it.
func (c *Core) instanceEnded(t *task) {
	s := c.owner.services[t.job.service.Name]
	if s == nil || t.stopping {
		return
	}
	if c.now.Sub(max(t.placedAt, t.acceptedAt)) >= stableRun {
		delete(s.shortRuns, t.index)
		return
	}
	r := s.shortRuns[t.index]
	if r == nil {
		r = &shortRuns{}
		s.shortRuns[t.index] = r
	}
	r.count++
	if r.count > 1 {
		r.restartAt = c.now.Add(min(minRestartDelay<<min(r.count-2, 8), maxRestartDelay))
		c.count("service_restarts_delayed", s.svc.Name, 1)
	}
}

// restartDelayed reports whether an instance may not be started again yet.
func (s *managedService) restartDelayed(index int, now model.Time) bool {
	r := s.shortRuns[index]
	return r != nil && now < r.restartAt
}

// runsHere reports whether a service has instances in this data centre. The data centre
// of a singleton is chosen by the hash of its name.
func (c *Core) runsHere(svc *model.Service) bool {
	dcs := svc.DataCentres
	if len(dcs) == 0 {
		dcs = c.text.DataCentres
	}
	if svc.Singleton {
		return homeOf(dcs, svc.Name) == c.cfg.Self.DataCentre
	}
	return contains(dcs, c.cfg.Self.DataCentre)
}

// instanceJobID returns the id of the job of a service's instances.
func (c *Core) instanceJobID(service string) model.JobID {
	return model.JobID(fmt.Sprintf("%s/service/%s", c.cfg.Self.DataCentre, service))
}

// applyServiceText applies the service text in force to the owner's state.
func (c *Core) applyServiceText() {
	o := c.owner
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
		c.upsertService(svc)
	}
	c.needsScheduling = true
}

func (c *Core) upsertService(svc *model.Service) *managedService {
	s := c.owner.services[svc.Name]
	if s == nil {
		s = &managedService{queuedInstances: make(map[int]bool), shortRuns: make(map[int]*shortRuns)}
		s.job = newJob(c.instanceJobID(svc.Name), model.Submission{Service: svc.Name, Tasks: svc.Instances}, 0)
		c.owner.services[svc.Name] = s
	}
	s.svc, s.removed = *svc, false
	c.setJobService(s.job, svc)
	s.job.keyed = false
	s.job.growTasks(max(svc.Instances, 1))
	return s
}

// runningInstances returns how many instances of a service run in this data centre.
func (c *Core) runningInstances(name string) int {
	s := c.owner.services[name]
	if s == nil {
		return 0
	}
	n := 0
	for _, t := range c.owner.jobTasks[s.job.id] {
		if t.phase == phaseRunning && !t.stopping {
			n++
		}
	}
	return n
}

// reconcileServices starts missing and stops surplus instances of every service, in
// dependency order.
func (c *Core) reconcileServices() {
	if c.text == nil {
		return
	}
	c.owner.downDependencies = make(map[string]bool)
	for _, name := range c.servicesInDependencyOrder() {
		s := c.owner.services[name]
		if s.removed {
			c.stopInstances(s, 0)
			continue
		}
		c.stopInstances(s, s.svc.Instances)
		if c.holdReason(s) == model.CodeNone {
			c.queueInstances(s)
		}
	}
}

// servicesInDependencyOrder returns the names of the services, each after those that it
// depends on. Service texts with dependency cycles are rejected.
func (c *Core) servicesInDependencyOrder() []string {
	var out []string
	seen := make(map[string]bool)
	var visit func(name string)
	visit = func(name string) {
		s := c.owner.services[name]
		if s == nil || seen[name] {
			return
		}
		seen[name] = true
		for _, d := range s.svc.DependsOn {
			visit(d)
		}
		out = append(out, name)
	}
	for _, name := range sortedKeys(c.owner.services) {
		visit(name)
	}
	return out
}

// holdReason returns why no instance of a service may start now, or CodeNone.
func (c *Core) holdReason(s *managedService) model.Code {
	if c.dependencyDown(&s.svc) {
		return model.CodeDependencyDown
	}
	// Instances that a former owner started may run on workers that have not
	// reported yet. Starting a singleton twice is worse than starting it late.
	if !c.allWorkersReported() && c.now.Sub(c.owner.acquiredAt) < c.cfg.Timing.TaskLease+c.cfg.Timing.LeaseDuration {
		return model.CodeOwnerRecovering
	}
	return model.CodeNone
}

// queueInstances queues the missing instances.
func (c *Core) queueInstances(s *managedService) {
	for i := 0; i < s.svc.Instances; i++ {
		if s.job.taskStates[i] != taskWaiting || s.queuedInstances[i] || s.restartDelayed(i, c.now) {
			continue
		}
		s.queuedInstances[i] = true
		c.count("service_starts", s.svc.Name, 1)
		c.enqueue(&task{job: s.job, index: i})
	}
}

// stopInstances stops the instances whose index is want or above.
func (c *Core) stopInstances(s *managedService, want int) {
	for _, id := range sortedKeys(c.owner.jobTasks[s.job.id]) {
		t := c.owner.jobTasks[s.job.id][id]
		if t.index >= want && !t.stopping {
			c.stopTask(t)
		}
	}
}

// instanceJob returns the job of a reported service instance, or nil if the service
// text has no such service in this data centre.
func (c *Core) instanceJob(spec model.TaskSpec) *job {
	if c.text == nil {
		return nil
	}
	svc := c.text.Service(spec.Service)
	if svc == nil || svc.Class != model.ClassService || !c.runsHere(svc) {
		return nil
	}
	s := c.upsertService(svc)
	if spec.Job != s.job.id {
		return nil
	}
	return s.job
}

// instanceWanted reports whether a queued instance should still be started.
func (c *Core) instanceWanted(t *task) bool {
	s := c.owner.services[t.job.service.Name]
	if s == nil {
		return false
	}
	if s.removed || t.index >= s.svc.Instances || s.job.taskStates[t.index] != taskWaiting {
		delete(s.queuedInstances, t.index)
		return false
	}
	return true
}

// clearQueuedInstance marks a service instance as no longer queued.
func (c *Core) clearQueuedInstance(t *task) {
	if t.job.service.Class != model.ClassService {
		return
	}
	if s := c.owner.services[t.job.service.Name]; s != nil {
		delete(s.queuedInstances, t.index)
	}
}

// noteAdoptedInstance handles a running instance that a former owner started.
func (c *Core) noteAdoptedInstance(t *task) {
	c.clearQueuedInstance(t)
}

// serviceStates returns the states of the services for the status report.
func (c *Core) serviceStates() []ServiceState {
	var out []ServiceState
	c.owner.downDependencies = make(map[string]bool)
	for _, name := range sortedKeys(c.owner.services) {
		s := c.owner.services[name]
		want := s.svc.Instances
		if s.removed {
			want = 0
		}
		out = append(out, ServiceState{
			Name: name, Desired: want, Running: c.runningInstances(name), HoldReason: c.holdReason(s),
		})
	}
	return slices.Clip(out)
}
