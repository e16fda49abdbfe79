package fit

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

func workers(free ...int64) []Candidate {
	var out []Candidate
	for i, f := range free {
		out = append(out, Candidate{Index: i, Free: model.Resources{MilliCPU: f, MemoryMB: 32768}, Rack: string(rune('a' + i/2)), TaskLimit: -1})
	}
	return out
}

func demand(cpu int64) Demand { return Demand{Need: model.Resources{MilliCPU: cpu, MemoryMB: 100}} }

// Narrow tasks must go where least is left, so that room for wide ones remains.
func TestNarrowTasksLeaveWholeWorkers(t *testing.T) {
	is := is.New(t)
	c := workers(16000, 5000, 16000)
	is.Equal(Place(demand(1000), c, 5), []int{1, 1, 1, 1, 1})
	is.Equal(len(PlaceGang(demand(4500), c, 6)), 6)
}

// A gang gets all of its tasks or none.
func TestGangIsPlacedWhole(t *testing.T) {
	is := is.New(t)
	c := workers(9000, 9000)
	is.Equal(PlaceGang(demand(4500), c, 5), nil)
	is.Equal(c[0].Free.MilliCPU, int64(9000)) // nothing taken by the attempt
	is.Equal(len(PlaceGang(demand(4500), c, 4)), 4)
}

// Batch work leaves headroom for urgent tasks; urgent work may use it.
func TestHeadroom(t *testing.T) {
	is := is.New(t)
	d := demand(1000)
	d.Headroom = 1500
	is.Equal(len(Place(d, workers(2000), 1)), 0)
	is.Equal(len(Place(demand(1000), workers(2000), 2)), 2)
}

// Limits of a step on one worker, the data's rack and gangs that want one rack.
func TestPreferences(t *testing.T) {
	is := is.New(t)
	c := workers(16000, 16000)
	c[0].TaskLimit, c[1].TaskLimit = 1, 1
	is.Equal(len(Place(demand(1000), c, 5)), 2)
	d := demand(1000)
	d.DataRack = "b"
	is.Equal(Place(d, workers(2000, 2000, 5000), 1), []int{2})
	d = demand(4000)
	d.OneRack = true
	is.Equal(PlaceGang(d, workers(4000, 4000, 8000, 8000), 4), []int{2, 2, 3, 3})
}
