package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against a baseline that chooses by rank, and against one that uses a
// worker which takes no new task.
func TestFirstFit(t *testing.T) {
	is := is.New(t)
	c := NewCache()
	large := model.Resources{MilliCPU: 16000, MemoryMB: 32768, Slots: 8}
	c.SetWorker("w0", "r", large, WorkerFlags{Leaving: true})
	c.SetWorker("w1", "r", large, WorkerFlags{})
	c.SetWorker("w2", "r", large, WorkerFlags{})
	c.Reserve("w2", model.TaskSpec{ID: "t", Resources: model.Resources{MilliCPU: 8000, MemoryMB: 16384, Slots: 1}}, 0)
	r := Request{Task: "u", Class: model.ClassBatch, Resources: model.Resources{MilliCPU: 1000, MemoryMB: 1024, Slots: 1}}
	best, _ := c.Place(r)
	is.Equal(best, model.WorkerName("w2"))
	r.FirstFit = true
	first, _ := c.Place(r)
	is.Equal(first, model.WorkerName("w1"))
}
