package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// forecastMargin is added to a forecast before it is compared with the
	// deadline, since run times are known only roughly.
	forecastMargin = 0.25
	// riskClearRatio is the part of the time left below which the forecast of a
	// raised job has to fall before it is an ordinary job again, so that jobs
	// are not raised and lowered with every change of the rate.
	riskClearRatio = 0.5
)

// forecastJobs raises batch jobs whose forecast misses their deadline. A job
// has finished when all work with an earlier deadline and its own has been done
// at the present rate. While nothing runs, as after a peak of interactive work,
// the rate counts as one task, so that waiting jobs are raised in time.
func (c *Core) forecastJobs() {
	jobs, rate := c.unfinishedBatchJobs()
	work := time.Duration(0)
	for _, j := range jobs {
		n := j.counts()
		remaining := n.Waiting + n.Running
		mean := c.owner.queue.Forecast(j.id, min(remaining, 1), j.sub.Service, j.sub.Operation, 1, c.now)
		work += mean * time.Duration(remaining)
		j.forecast = 0
		if mean > 0 {
			j.forecast = max(mean, work/time.Duration(max(rate, 1)))
		}
		left := j.deadlineAt.Sub(c.wall)
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

// unfinishedBatchJobs returns the unfinished batch jobs by deadline and the number of
// their tasks that run.
func (c *Core) unfinishedBatchJobs() ([]*job, int) {
	var jobs []*job
	rate := 0
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.answer == nil && j.durable && j.svc.Class == model.ClassBatch {
			jobs = append(jobs, j)
			rate += j.active
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.deadlineAt.UnixNano(), b.deadlineAt.UnixNano()) })
	return jobs, rate
}
