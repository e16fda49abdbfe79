package cell

import (
	"math"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// keepRemovedQueues keeps the queues that a new configuration removes, and those removed
// earlier that still have unfinished jobs.
func (c *Cell) keepRemovedQueues(next *jobs.Config) {
	if c.config == nil {
		return
	}
	present := make(map[string]bool, len(next.Queues))
	for i := range next.Queues {
		present[next.Queues[i].Name] = true
	}
	kept := map[string]*jobs.Queue{}
	if len(c.removedQueues) > 0 {
		for _, j := range c.jobs {
			if q := c.removedQueues[j.queue]; q != nil && !j.state.Final() && !present[j.queue] {
				kept[j.queue] = q
			}
		}
	}
	for i := range c.config.Queues {
		if q := &c.config.Queues[i]; !present[q.Name] {
			removed := *q
			removed.Priority = lowestPriority
			kept[q.Name] = &removed
		}
	}
	c.removedQueues = kept
}

// queueOf returns the configuration of a job's queue. A queue that was removed from the
// configuration has the lowest priority, and its jobs run on the workers of its last service.
// If that is not known, its tasks wait, and no failure of them uses up their attempts.
func (c *Cell) queueOf(j *job) *jobs.Queue {
	if j.queueConfig == nil || j.configured != c.config {
		// Each scheduling pass needs the queues of thousands of waiting jobs.
		j.configured, j.queueConfig = c.config, c.config.Queue(j.queue)
		if j.queueConfig == nil {
			j.queueConfig = c.removedQueues[j.queue]
		}
		if j.queueConfig == nil {
			j.queueConfig = c.storedQueues[j.queue]
		}
		if j.queueConfig == nil {
			j.queueConfig = &jobs.Queue{Name: j.queue, Priority: lowestPriority, MaxAttempts: math.MaxInt}
		}
	}
	return j.queueConfig
}

// storeRemovedQueues stores the removed queues that unfinished jobs need, for instances that
// start later and never see them in a configuration.
func (c *Cell) storeRemovedQueues() {
	if len(c.removedQueues) == 0 {
		return
	}
	needed := c.queuesInUse()
	for name, q := range c.removedQueues {
		if stored := c.storedQueues[name]; needed[name] && (stored == nil || *stored != *q) && len(name) <= jobs.MaxQueueNameBytes {
			c.storedQueues[name] = q
			c.changedQueues = append(c.changedQueues, q)
			c.log("removed queue kept for its jobs", "", Fields{Reason: name, Count: q.MaxAttempts})
		}
	}
}

// sweepStoredQueues stores the removed queues of jobs that were read after the removal, and
// removes those from the store that no job needs any more.
func (c *Cell) sweepStoredQueues() {
	if c.now.Sub(c.queuesSweptAt) < expiryInterval || len(c.storedQueues)+len(c.removedQueues) == 0 {
		return
	}
	c.queuesSweptAt = c.now
	c.storeRemovedQueues()
	needed := c.queuesInUse()
	for name := range c.storedQueues {
		if !needed[name] || c.config.Queue(name) != nil {
			delete(c.storedQueues, name)
			c.removedKeys = append(c.removedKeys, jobs.QueueKey(name))
		}
	}
}

// queuesInUse returns the names of the queues with unfinished jobs.
func (c *Cell) queuesInUse() map[string]bool {
	out := map[string]bool{}
	for _, j := range c.jobs {
		if !j.state.Final() {
			out[j.queue] = true
		}
	}
	return out
}

// queueRead handles the entry of a removed queue, which an owner wrote.
func (c *Cell) queueRead(e QueueRead) {
	if c.role == roleOwner {
		return
	}
	if e.Queue == nil {
		delete(c.storedQueues, e.Name)
	} else {
		c.storedQueues[e.Name] = e.Queue
	}
	for _, j := range c.jobs {
		if j.queue == e.Name {
			j.queueConfig = nil
		}
	}
}
