package cell

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against wide gangs that never start behind a narrow link. Sending the starts
// takes longer than the timeout of one, late members break the gang, and the whole gang
// was sent again without a pause.
func TestWideGangsStartOverNarrowLink(t *testing.T) {
	t.Parallel()
	const (
		gangs, width = 5, 80
		gangEvery    = 3 * time.Second
		urgentEvery  = 50 * time.Millisecond
		urgentJobs   = 240
	)
	is := is.New(t)
	d := newSimDay(0, manyWorkers, narrowBandwidth, 0)
	plan, urgent := dayJobKinds[0], dayJobKinds[2]
	for i := range gangs {
		d.s.after(time.Duration(i)*gangEvery, func() {
			load := &loadJob{Queue: plan.Name, submitted: d.s.now, Steps: []loadStep{{MilliCPU: plan.milliCPU}}}
			for range width {
				load.Steps[0].RunMs = append(load.Steps[0].RunMs, 2000)
			}
			d.submitJob(jobs.Job{Queue: plan.Name, Payload: strings.Repeat("x", plan.payload), Steps: []jobs.Step{
				{Tasks: width, Resources: model.Resources{MilliCPU: plan.milliCPU, MemoryMB: plan.milliCPU}, EstimateMs: 2000, Gang: true},
			}}, load)
		})
	}
	for i := range urgentJobs {
		d.s.after(time.Duration(i)*urgentEvery, func() { d.submit(urgent) })
	}
	d.s.run(gangs*gangEvery + dayRest)
	ended := 0
	for id := range d.ended {
		if d.s.submitted[id].Steps[0].Gang {
			ended++
		}
	}
	t.Logf("%d of %d gangs ended; %d starts and %d stops sent", ended, gangs, d.starts, d.stops)
	is.Equal(ended, gangs)
	is.True(float64(d.stops) < maxStopShare*float64(d.starts))
	is.Equal(d.s.violations, nil)
}
