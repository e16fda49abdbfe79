package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// riskMargin is added to a forecast before it is compared with the
	// deadline, since run times are known only roughly.
	riskMargin = 0.25
	// riskEnds is the part of the time left below which the forecast of a
	// raised job has to fall before it is an ordinary job again, so that jobs
	// are not raised and lowered with every change of the rate.
	riskEnds = 0.5
)

// forecastJobs raises batch jobs whose forecast misses their deadline. A job
// has finished when all work with an earlier deadline and its own has been done
// at the present rate. While nothing runs, as after a peak of interactive work,
// the rate counts as one task, so that waiting jobs are raised in time.
func (c *Core) forecastJobs() {
	jobs, rate := c.openBatch()
	work := time.Duration(0)
	for _, j := range jobs {
		n := j.taskCounts()
		remaining := n.Waiting + n.Running
		mean := c.own.queue.Forecast(j.id, min(remaining, 1), j.submission.Service, j.submission.Operation, 1, c.now)
		work += mean * time.Duration(remaining)
		j.forecast = 0
		if mean > 0 {
			j.forecast = max(mean, work/time.Duration(max(rate, 1)))
		}
		left := j.wallDeadline.Sub(c.wall)
		risk := float64(j.forecast)*(1+riskMargin) > float64(left)
		if j.atRisk {
			risk = float64(j.forecast) > riskEnds*float64(left)
		}
		if risk = risk && j.forecast > 0; risk != j.atRisk {
			j.atRisk = risk
			c.own.queue.SetPrioritized(j.id, risk)
			c.count("jobs_raised", "", 1)
			c.dirty = true
		}
	}
}

// openBatch returns the unfinished batch jobs by deadline and the number of
// their tasks that run.
func (c *Core) openBatch() ([]*job, int) {
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
