package cell

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Step handles events in order and returns the resulting effects. now must not decrease
// between calls, and its clock must keep running while the VM is suspended.
func (c *Cell) Step(now model.Time, events ...Event) []Effect {
	c.now = now
	c.effects = nil
	for _, e := range events {
		c.handle(e)
	}
	if c.role == roleOwner {
		if c.ownerReady {
			if c.scheduleNeeded {
				c.schedule()
			}
			c.sendStarts()
			c.renewLeases()
		}
		c.flush()
	}
	return c.effects
}

func (c *Cell) handle(e Event) {
	switch e := e.(type) {
	case ConfigChanged:
		c.configChanged(e.Config)
	case JobAdded:
		c.jobAdded(e.Job, e.Partition)
	case SubmitRequested:
		c.submitRequested(e)
	case CancelRequested:
		c.cancelRequested(e)
	case JobCancelled:
		c.jobCancelled(e.ID, e.Cancellation, e.Partition)
	case CancellationRemoved:
		c.cancellationRemoved(e.ID, e.Partition)
	case JobExpired:
		c.jobExpired(e.ID, e.Partition)
	case ProgressRead:
		c.progressRead(e.ID, e.Part, &e.Progress)
	case QueueRead:
		c.queueRead(e)
	case ClaimRead:
		c.claimRead(e.Claim)
	case UnreachableRead:
		c.unreachableRead(e.Workers)
	case ProgressCaughtUp:
		c.progressCaughtUp(e)
	case SubmissionsCaughtUp:
		c.submissionsCaughtUp(e)
	case WorkerRegistered:
		c.workerRegistered(e.Info)
	case WorkerUnregistered:
		c.workerUnregistered(e.Name)
	case OwnerLinkChanged:
		c.ownerLinkUp, c.ownerExited = e.Up, e.OwnerExited
	case InstanceChanged:
		c.instanceChanged(e)
	case ClaimAnswered:
		c.claimAnswered(e)
	case Tick:
		c.tick(e)
	case DrainStarted:
		c.draining = true
		c.log("instance is draining", "", Fields{Epoch: c.epoch})
	default:
		if c.role == roleOwner {
			c.handleOwnerEvent(e)
		}
	}
}

// handleOwnerEvent handles the answers to an owner's calls. It is called only while this
// instance is the owner. The epoch in which a call was made is not checked.
func (c *Cell) handleOwnerEvent(e Event) {
	switch e := e.(type) {
	case Renewed:
		c.renewed(e)
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case EligibilityAnswered:
		c.eligibilityAnswered(e)
	case Appended:
		c.appended(e)
	case EntryDeleted:
		c.entryDeleted(e)
	}
}

func (c *Cell) configChanged(cfg *jobs.Config) {
	if c.config != nil && cfg.Version <= c.config.Version {
		return
	}
	c.keepRemovedQueues(cfg)
	c.config = cfg
	c.log("configuration applied", "", Fields{Count: int(cfg.Version)})
	c.fullSortNeeded = true
	if c.ownerReady {
		c.storeQueuesInUse()
	}
}

func (c *Cell) tick(e Tick) {
	c.unixMs, c.storeAnsweredAt = e.UnixMs, e.StoreAnsweredAt
	c.forgetDepartedWorkers()
	switch c.role {
	case roleFollower:
		c.claimIfOwnerSilent()
	case roleOwner:
		if c.ownerReady {
			c.ownerTick()
		}
	}
}

func (c *Cell) ownerTick() {
	c.scheduleNeeded = true
	c.enqueueDue()
	c.yieldIfBetterInstance()
	c.expireLeases()
	c.checkRuns()
	c.preemptForLasting()
	c.reportLosses()
	c.removeExpired()
	c.sweepStoredQueues()
}

// priorityOf returns the priority of a queue; 0 is the highest.
func (c *Cell) priorityOf(queue string) int {
	if q := c.config.Queue(queue); q != nil {
		return q.Priority
	}
	return lowestPriority
}

// lowestPriority is the priority of jobs whose queue is not in the configuration.
const lowestPriority = 1 << 20

func (c *Cell) getOrAddWorker(name model.WorkerName) *worker {
	w := c.workers[name]
	if w == nil {
		// The index never changes, unlike the worker's position in workerList.
		w = &worker{index: c.unusedIndex(), info: jobs.WorkerInfo{Name: name}, runs: map[jobs.TaskRef]*placement{}}
		if c.ownerReady {
			w.leaseEnd = c.now.Add(c.longestLease()) // an earlier owner may have granted one
		}
		c.workers[name] = w
		at, _ := slices.BinarySearchFunc(c.workerList, name, func(w *worker, n model.WorkerName) int {
			return cmp.Compare(w.info.Name, n)
		})
		c.workerList = slices.Insert(c.workerList, at, w)
	}
	return w
}
