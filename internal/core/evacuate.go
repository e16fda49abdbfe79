package core

import "github.com/gentianpick/gentianpick/internal/model"

// evacuate moves work off workers that are leaving. Batch tasks are checkpointed if other
// workers have capacity for them. Service instances are stopped one at a time for each
// service, so that its other instances keep running. Keyed tasks
// and those of other classes, for which callers may wait, run to their end.
func (c *Core) evacuate() {
	o := c.owner
	moving := make(map[string]bool)
	for _, name := range sortedKeys(o.workers) {
		w := o.workers[name]
		if !w.leaving || !w.reachable {
			continue
		}
		var batch []model.TaskID
		for _, id := range c.tasksOn(name) {
			t := o.tasks[id]
			if t.phase != phaseRunning || t.stopping || t.job.keyed {
				continue
			}
			switch t.job.service.Class {
			case model.ClassBatch:
				if t.job.resources.Fits(o.cache.Free()) {
					batch = append(batch, id)
				}
			case model.ClassService:
				c.moveInstance(t, moving)
			}
		}
		c.checkpoint(w, batch)
	}
}

// moveInstance stops an instance on a leaving worker if all instances of its service run
// and no other one is being moved. The next reconciliation starts it on another worker.
func (c *Core) moveInstance(t *task, moving map[string]bool) {
	s := c.owner.services[t.job.service.Name]
	if s == nil || moving[s.svc.Name] || c.runningInstances(s.svc.Name) < s.svc.Instances {
		return
	}
	if !t.job.resources.Fits(c.owner.cache.Free()) {
		return
	}
	moving[s.svc.Name] = true
	c.count("instances_moved", s.svc.Name, 1)
	c.stopTask(t)
}
