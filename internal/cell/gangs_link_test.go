package cell

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// The starts of a wide gang took a narrow link longer than the timeout of a start.
// The late members broke the gang, and it was sent again as a whole, without a pause,
// until it ended somehow or the day did.
func TestWideGangsStartOverANarrowLink(t *testing.T) {
	t.Parallel()
	const (
		gangs, width = 5, 80
		gangEvery    = 3 * time.Second
		urgentEvery  = 50 * time.Millisecond
		urgentJobs   = 240
	)
	is := is.New(t)
	d := newGrownDay(0, grownWorkers, grownBandwidth, 0)
	plan, urgent := grownKinds[0], grownKinds[2]
	for i := range gangs {
		d.s.after(time.Duration(i)*gangEvery, func() {
			load := &loadJob{Queue: plan.Name, submitted: d.s.now, Steps: []loadStep{{MilliCPU: plan.milliCPU}}}
			for range width {
				load.Steps[0].RunMs = append(load.Steps[0].RunMs, 2000)
			}
			d.offer(jobs.Job{Queue: plan.Name, Payload: strings.Repeat("x", plan.payload), Steps: []jobs.Step{
				{Tasks: width, Resources: model.Resources{MilliCPU: plan.milliCPU, MemoryMB: plan.milliCPU}, EstimateMs: 2000, Gang: true},
			}}, load)
		})
	}
	for i := range urgentJobs {
		d.s.after(time.Duration(i)*urgentEvery, func() { d.submit(urgent) })
	}
	d.s.run(gangs*gangEvery + grownRest)
	ended := 0
	for id := range d.settled {
		if d.s.newest[id].Steps[0].Gang {
			ended++
		}
	}
	t.Logf("%d of %d gangs ended; %d starts and %d stops sent", ended, gangs, d.starts, d.stops)
	is.Equal(ended, gangs)
	is.True(float64(d.stops) < stopsMost*float64(d.starts))
	is.Equal(d.s.wrong, nil)
}
