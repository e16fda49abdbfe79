package jobs

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against submissions that an owner can't hold in memory or compute with. Such a
// job is stored, so that it would end the process of each owner in turn.
func TestValidateRejectsUnboundedJobs(t *testing.T) {
	valid := func() Job {
		return Job{ID: "j", Steps: []Step{{Tasks: 4, EstimateMs: 100, Resources: model.Resources{MilliCPU: 1000}}}}
	}
	for name, change := range map[string]func(j *Job){
		"occurrences whose tasks overflow": func(j *Job) { j.Schedule.Occurrences = 1 << 62 },
		"many occurrences":                 func(j *Job) { j.Schedule.Occurrences = MaxTasks },
		"negative occurrences":             func(j *Job) { j.Schedule.Occurrences = -1 },
		"many tasks":                       func(j *Job) { j.Steps[0].Tasks = MaxTasks + 1 },
		"many steps":                       func(j *Job) { j.Steps = make([]Step, MaxTasks+1) },
		"CPU that overflows":               func(j *Job) { j.Steps[0].Resources.MilliCPU = 1<<63 - 1 },
		"memory that overflows":            func(j *Job) { j.Steps[0].Resources.MemoryMB = 1<<63 - 1 },
		"negative estimate":                func(j *Job) { j.Steps[0].EstimateMs = -1 },
		"estimate that overflows":          func(j *Job) { j.Steps[0].EstimateMs = 1<<63 - 1 },
		"step after itself":                func(j *Job) { j.Steps[0].After = []int{0} },
		"step after a negative one":        func(j *Job) { j.Steps[0].After = []int{-1} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := valid()
			is.NoErr(j.Validate())
			change(&j)
			is.True(j.Validate() != nil)
		})
	}
}
