package cell

import (
	"cmp"
	"slices"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Step takes events in their order and returns what is to be done. The time
// must not go back between calls, and must include times of suspension.
func (c *Cell) Step(now model.Time, events ...Event) []Effect {
	c.now = now
	c.out = nil
	for _, e := range events {
		c.handle(e)
	}
	if c.role == roleOwner {
		if c.settled {
			if c.changed {
				c.schedule()
			}
			c.sendStarts()
			c.pump()
		}
		c.flush()
	}
	return c.out
}

func (c *Cell) handle(e Event) {
	switch e := e.(type) {
	case ConfigChanged:
		c.configChanged(e.Config)
	case JobAdded:
		c.jobAdded(e.Job, e.Partition)
	case SubmitRequested:
		c.jobOffered(e)
	case CancelRequested:
		c.cancelOffered(e)
	case JobCancelled:
		c.jobCancelled(e.ID, e.Partition)
	case JobExpired:
		c.jobDropped(e.ID)
	case ProgressRead:
		c.progressRead(e.ID, &e.Progress)
	case ClaimRead:
		c.claimRead(e.Claim)
	case ProgressCaughtUp:
		c.streamRead(e)
	case SubmissionsCaughtUp:
		c.submissionsRead(e)
	case WorkerRegistered:
		c.workerListed(e.Info)
	case WorkerUnregistered:
		c.workerUnlisted(e.Name)
	case OwnerLinkChanged:
		c.linkUp, c.ownerGone = e.Up, e.OwnerExited
	case InstanceChanged:
		c.advisorChanged(e)
	case ClaimAnswered:
		c.claimed(e)
	case Tick:
		c.tick(e)
	case DrainStarted:
		c.draining = true
		c.log("drain started", "", Fields{Epoch: c.epoch})
	default:
		if c.role == roleOwner {
			c.handleAnswer(e)
		}
	}
}

// handleAnswer takes the answers to an owner's calls. Those that arrive after
// the ownership has ended concern nobody.
func (c *Cell) handleAnswer(e Event) {
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
	}
}

func (c *Cell) configChanged(cfg *jobs.Config) {
	if c.config != nil && cfg.Version <= c.config.Version {
		return
	}
	c.config = cfg
	c.log("configuration used for placement", "", Fields{Count: int(cfg.Version)})
	c.resort = true
}

func (c *Cell) tick(e Tick) {
	c.unixMs, c.storeAnswered = e.UnixMs, e.StoreAnsweredAt
	switch c.role {
	case roleFollower:
		c.considerClaim()
	case roleOwner:
		if c.settled {
			c.ownerTick()
		}
	}
}

func (c *Cell) ownerTick() {
	c.changed = true
	c.releaseDue()
	c.considerWay()
	c.checkWorkers()
	c.checkRuns()
	c.forgetOld()
}

// queueOf returns the configuration of a job's queue. A queue that was removed
// has no priority over others, and its jobs still run.
func (c *Cell) queueOf(j *job) *jobs.Queue {
	if q := c.config.Queue(j.queue); q != nil {
		return q
	}
	return &jobs.Queue{Name: j.queue, Priority: lowestPriority, MaxAttempts: 1}
}

// priorityOf returns the priority of a queue, of which 0 is the highest.
func (c *Cell) priorityOf(queue string) int {
	if q := c.config.Queue(queue); q != nil {
		return q.Priority
	}
	return lowestPriority
}

// lowestPriority orders jobs whose queue is not in the configuration.
const lowestPriority = 1 << 20

func (c *Cell) workerOf(name model.WorkerName) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{number: len(c.list), info: jobs.WorkerInfo{Name: name}, runs: map[jobs.TaskRef]*placement{}}
		c.workers[name] = w
		at, _ := slices.BinarySearchFunc(c.list, name, func(w *worker, n model.WorkerName) int {
			return cmp.Compare(w.info.Name, n)
		})
		c.list = slices.Insert(c.list, at, w)
	}
	return w
}
