package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// forecastMargin is the fraction added to a forecast before it is compared with the
	// deadline, since run times are known only roughly.
	forecastMargin = 0.25
	// riskClearRatio is the fraction of the remaining time below which the forecast of
	// a prioritized job must fall before the job loses its priority. The hysteresis
	// keeps jobs from switching with every change of the rate.
	riskClearRatio = 0.5
)

// forecastJobs prioritizes batch jobs that are expected to miss their deadline. The
// forecast for a job is the time to finish its own work and all work with an earlier
// deadline at the current number of running tasks. While no task runs, as after a peak
// of interactive work, one running task is assumed, so that waiting jobs are
// prioritized in time.
func (c *Core) forecastJobs() {
	jobs, rate := c.unfinishedBatchJobs()
	work := time.Duration(0)
	for _, j := range jobs {
		n := j.taskCounts()
		remaining := n.Waiting + n.Running
		mean := c.owner.queue.Forecast(j.id, min(remaining, 1), j.submission.Service, j.submission.Operation, 1, c.now)
		work += mean * time.Duration(remaining)
		j.forecast = 0
		if mean > 0 {
			j.forecast = max(mean, work/time.Duration(max(rate, 1)))
		}
		left := j.wallDeadline.Sub(c.wall)
		risk := float64(j.forecast)*(1+forecastMargin) > float64(left)
		if j.atRisk {
			risk = float64(j.forecast) > riskClearRatio*float64(left)
		}
		if risk = risk && j.forecast > 0; risk != j.atRisk {
			j.atRisk = risk
			c.owner.queue.SetPrioritized(j.id, risk)
			c.count("jobs_raised", "", 1)
			c.needsScheduling = true
		}
	}
}

// unfinishedBatchJobs returns the unfinished batch jobs ordered by deadline, and the
// number of their running tasks.
func (c *Core) unfinishedBatchJobs() ([]*job, int) {
	var jobs []*job
	rate := 0
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.answer == nil && j.durable && j.service.Class == model.ClassBatch {
			jobs = append(jobs, j)
			rate += j.active
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.wallDeadline.UnixNano(), b.wallDeadline.UnixNano()) })
	return jobs, rate
}
