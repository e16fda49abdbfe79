package cell

import (
	"math"
	"slices"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// An accepted job needs its queue until it has ended, also when a configuration without the
// queue is the first one that an instance reads. So the queue is stored before the job, or with
// it: by the owner in the progress stream, and by an instance that stores a submission itself in
// its partition of the submissions.

// submittedQueue is a queue that was stored with submissions.
type submittedQueue struct {
	queue      *jobs.Queue
	partitions []int // that hold it
}

// keepRemovedQueues keeps the queues that a new configuration removes, and those removed
// earlier that still have jobs.
func (c *Cell) keepRemovedQueues(next *jobs.Config) {
	if c.config == nil {
		return
	}
	present := make(map[string]bool, len(next.Queues))
	for i := range next.Queues {
		present[next.Queues[i].Name] = true
	}
	kept := map[string]*jobs.Queue{}
	unfinished, known := c.jobsByQueue()
	for name, q := range c.removedQueues {
		if known[name] > 0 && !present[name] {
			kept[name] = q
		}
	}
	for i := range c.config.Queues {
		q := &c.config.Queues[i]
		if present[q.Name] {
			continue
		}
		kept[q.Name] = q
		if n := unfinished[q.Name]; n > 0 && c.ownerReady {
			c.log("configuration removes the queue of unfinished jobs", "", Fields{Reason: q.Name, Count: n})
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
			removed := jobs.Queue{Name: j.queue, MaxAttempts: math.MaxInt}
			if q := c.lastKnownQueue(j.queue); q != nil {
				removed = *q
			}
			removed.Priority = lowestPriority
			j.queueConfig = &removed
		}
	}
	return j.queueConfig
}

// lastKnownQueue returns the newest known configuration of a queue, or nil.
func (c *Cell) lastKnownQueue(name string) *jobs.Queue {
	if q := c.config.Queue(name); q != nil {
		return q
	}
	if q := c.removedQueues[name]; q != nil {
		return q
	}
	if q := c.storedQueues[name]; q != nil {
		return q
	}
	if s := c.submittedQueues[name]; s != nil {
		return s.queue
	}
	return nil
}

// storeQueue stores a queue with the next append unless the progress stream has it as it is.
func (c *Cell) storeQueue(name string) {
	q, stored := c.lastKnownQueue(name), c.storedQueues[name]
	if q == nil || stored != nil && *stored == *q || len(name) > jobs.MaxQueueNameBytes {
		return
	}
	c.storedQueues[name] = q
	c.changedQueues = append(c.changedQueues, q)
}

// storeQueuesInUse stores the queues of the unfinished jobs.
func (c *Cell) storeQueuesInUse() {
	unfinished, _ := c.jobsByQueue()
	for name := range unfinished {
		c.storeQueue(name)
	}
}

// sweepStoredQueues removes the stored queues that are not configured any more and that have no
// job left: callers may ask for a finished job by a route that has replaced its own.
func (c *Cell) sweepStoredQueues() {
	if c.now.Sub(c.queuesSweptAt) < expiryInterval || len(c.storedQueues)+len(c.submittedQueues) == 0 {
		return
	}
	c.queuesSweptAt = c.now
	_, known := c.jobsByQueue()
	needed := func(name string) bool { return known[name] > 0 || c.config.Queue(name) != nil }
	for name := range c.storedQueues {
		if !needed(name) {
			delete(c.storedQueues, name)
			c.removedKeys = append(c.removedKeys, jobs.QueueKey(name))
		}
	}
	for name, s := range c.submittedQueues {
		if !needed(name) {
			// Its partition confirms the removal; until then it is removed again.
			for _, p := range s.partitions {
				c.emit(DeleteEntry{Partition: p, Key: jobs.QueueKey(name)})
			}
		}
	}
}

// jobsByQueue returns the numbers of unfinished and of all jobs by the name of their queue.
func (c *Cell) jobsByQueue() (unfinished, all map[string]int) {
	unfinished, all = map[string]int{}, map[string]int{}
	for _, j := range c.jobs {
		all[j.queue]++
		if !j.state.Final() {
			unfinished[j.queue]++
		}
	}
	return unfinished, all
}

// SameRoute reports whether callers reach two queues by the same host and path, so that one has
// replaced the other, or whether they are the same.
func (c *Cell) SameRoute(a, b string) bool {
	if a == b {
		return true
	}
	qa, qb := c.lastKnownQueue(a), c.lastKnownQueue(b)
	return qa != nil && qb != nil && qa.Host == qb.Host && qa.PathPrefix == qb.PathPrefix
}

// queueRead handles the entry of a queue. The owner itself wrote those of the progress stream.
// Without an owner, each append of submissions has the entries of their queues, so that only a
// new one costs a look at all jobs.
func (c *Cell) queueRead(e QueueRead) {
	before := c.lastKnownQueue(e.Name)
	switch {
	case e.Partition != ProgressStream:
		c.submittedQueueRead(e)
	case c.role == roleOwner:
		return
	case e.Queue == nil:
		delete(c.storedQueues, e.Name)
	default:
		c.storedQueues[e.Name] = e.Queue
	}
	after := c.lastKnownQueue(e.Name)
	if before == after || before != nil && after != nil && *before == *after {
		return
	}
	for _, j := range c.jobs {
		if j.queue == e.Name {
			j.queueConfig = nil
		}
	}
}

func (c *Cell) submittedQueueRead(e QueueRead) {
	s := c.submittedQueues[e.Name]
	if e.Queue != nil {
		if s == nil {
			s = &submittedQueue{}
			c.submittedQueues[e.Name] = s
		}
		s.queue, s.partitions = e.Queue, addPartition(s.partitions, e.Partition)
		return
	}
	if s == nil {
		return
	}
	if s.partitions = slices.DeleteFunc(s.partitions, func(p int) bool { return p == e.Partition }); len(s.partitions) == 0 {
		delete(c.submittedQueues, e.Name)
	}
}
