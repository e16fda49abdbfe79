package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// JobView is the state of a job as shown to callers.
type JobView struct {
	State     jobs.State
	Queue     string
	Cancelled bool
	// Ending means that the job may finish at any moment: its end waits to be stored, or
	// all of its unfinished tasks are placed.
	Ending bool
}

// Job returns the stored state of a job.
func (c *Cell) Job(id jobs.ID) (JobView, bool) {
	j := c.jobs[id]
	if j == nil || j.unstored {
		return JobView{}, false
	}
	v := JobView{State: j.storedState, Queue: j.queue, Cancelled: j.cancelled, Ending: j.ending()}
	if j.cancelled && !v.State.Final() {
		v.State = jobs.Cancelled
	}
	return v, true
}

// ending reports whether no task waits for a placement and the store does not have
// the job's final state yet.
func (j *job) ending() bool {
	if j.storedState.Final() {
		return false
	}
	for _, g := range j.groups {
		if g.pending > 0 || g.step.LongRunning {
			return false
		}
	}
	return true
}

// WaitingJobs returns the number of jobs of a queue of which no task has started.
func (c *Cell) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.queue == queue && !j.started && !j.cancelled && !j.state.Final() {
			n++
		}
	}
	return n
}

// Owner returns the newest claim of the cell.
func (c *Cell) Owner() jobs.Claim { return c.latestClaim }

// IsOwner reports whether this instance owns the cell.
func (c *Cell) IsOwner() bool { return c.role == roleOwner }

// OwnerSilence returns the time since the owner's newest entry was read.
func (c *Cell) OwnerSilence(now model.Time) time.Duration { return now.Sub(c.ownerSeenAt) }

// BatchDelay returns how long an owner should collect events before its next Step.
func (c *Cell) BatchDelay() time.Duration { return c.pacer.BatchDelay() / 2 }

// JobCount returns the number of known jobs.
func (c *Cell) JobCount() int { return len(c.jobs) }
