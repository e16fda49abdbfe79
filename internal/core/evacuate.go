package core

import "github.com/gentianpick/gentianpick/internal/model"

// evacuate moves what can be moved off workers that are leaving: batch tasks
// are checkpointed, and service instances are stopped one at a time for each
// service, so that the others go on. What a caller waits for runs to its end.
func (c *Core) evacuate() {
	o := c.owner
	moving := make(map[string]bool)
	for _, name := range sortedKeys(o.workers) {
		w := o.workers[name]
		if !w.leaving || !w.reach {
			continue
		}
		var batch []model.TaskID
		for _, id := range c.tasksOn(name) {
			t := o.tasks[id]
			if t.phase != phaseRunning || t.stopping || t.j.keyed {
				continue
			}
			switch t.j.svc.Class {
			case model.ClassBatch:
				if t.j.need.Fits(o.cache.Free()) {
					batch = append(batch, id)
				}
			case model.ClassService:
				c.moveInstance(t, moving)
			}
		}
		c.checkpoint(w, batch)
	}
}

// moveInstance stops an instance on a leaving worker if all instances of its
// service run and none is being moved. The next reconciliation starts it
// elsewhere.
func (c *Core) moveInstance(t *task, moving map[string]bool) {
	s := c.owner.services[t.j.svc.Name]
	if s == nil || moving[s.svc.Name] || c.runningInstances(s.svc.Name) < s.svc.Instances {
		return
	}
	if !t.j.need.Fits(c.owner.cache.Free()) {
		return
	}
	moving[s.svc.Name] = true
	c.count("instances_moved", s.svc.Name, 1)
	c.stopTask(t)
}
