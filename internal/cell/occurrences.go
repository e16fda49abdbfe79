package cell

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

// stepGraph is what the order of a job's steps depends on. All occurrences share it.
type stepGraph struct {
	successors [][]int // by step, the steps that are after it
	chainMs    []int64 // by step, the longest chain of estimates that begins with it, in milliseconds
	byChain    []int   // steps in the order of chainMs, longest first
}

func newStepGraph(steps []jobs.Step) *stepGraph {
	s := &stepGraph{successors: make([][]int, len(steps)), chainMs: chains(steps), byChain: make([]int, len(steps))}
	for i := range steps {
		s.byChain[i] = i
		for _, a := range steps[i].After {
			s.successors[a] = append(s.successors[a], i)
		}
	}
	slices.SortStableFunc(s.byChain, func(a, b int) int { return -cmp.Compare(s.chainMs[a], s.chainMs[b]) })
	return s
}

// chains returns, by step, the longest chain of estimates that begins with it, in
// milliseconds.
func chains(steps []jobs.Step) []int64 {
	out := make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- { // a step is after earlier ones only
		out[i] += steps[i].EstimateMs
		for _, a := range steps[i].After {
			out[a] = max(out[a], out[i])
		}
	}
	return out
}

// longestChain returns the estimate of the longest chain of steps, in milliseconds.
func longestChain(steps []jobs.Step) int64 { return slices.Max(chains(steps)) }

// occurrence is the state of one occurrence of a job.
type occurrence struct {
	due        bool // its scheduled time has been reached
	unfinished int  // position in byChain before which all steps are finished
}

// remainingChain returns the estimate of the longest chain of the unfinished steps of an
// occurrence, in milliseconds.
func (j *job) remainingChain(k int) int64 {
	o, order := &j.occurrences[k], j.graph.byChain
	for o.unfinished < len(order) && j.group(k, order[o.unfinished]).finished() {
		o.unfinished++
	}
	if o.unfinished == len(order) {
		return 0
	}
	return j.graph.chainMs[order[o.unfinished]]
}

// totalChain returns the estimate of the longest chain of steps of an occurrence, in
// milliseconds.
func (j *job) totalChain() int64 { return j.graph.chainMs[j.graph.byChain[0]] }

// groupsOf returns the groups of one occurrence.
func (j *job) groupsOf(k int) []*group { return j.groups[k*len(j.steps) : (k+1)*len(j.steps)] }

// countFinished counts the finished groups of a job, and for each group the steps that it
// still waits for.
func (c *Cell) countFinished(j *job) {
	j.finishedGroups = 0
	for _, g := range j.groups {
		c.visited++
		g.unfinishedBefore = 0
		for _, a := range g.step.After {
			if !j.group(g.occurrence, a).finished() {
				g.unfinishedBefore++
			}
		}
		if g.finished() {
			j.finishedGroups++
		}
	}
}

// groupFinished queues the groups that waited for a group.
func (c *Cell) groupFinished(g *group) {
	g.job.finishedGroups++
	for _, next := range g.job.graph.successors[g.stepIndex] {
		c.visited++
		after := g.job.group(g.occurrence, next)
		after.unfinishedBefore--
		c.enqueueIfReady(after)
	}
}

// enqueueIfReady queues a group if its occurrence is due and no step before it is left.
func (c *Cell) enqueueIfReady(g *group) {
	if g.readyAt != 0 || g.finished() || g.unfinishedBefore > 0 || !g.job.occurrences[g.occurrence].due {
		return
	}
	g.readyAt, g.waitsSince = c.now, c.now
	c.enqueue(g)
}

// dueJob is a job with occurrences whose scheduled time has not been reached.
type dueJob struct {
	job   *job
	dueMs int64 // of the next occurrence, in Unix milliseconds
}

// dueHeap holds such jobs, the one that is due next first.
type dueHeap []*dueJob

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueMs < h[j].dueMs }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].job.dueIndex, h[j].job.dueIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	d := x.(*dueJob)
	d.job.dueIndex = len(*h)
	*h = append(*h, d)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	last := len(old) - 1
	d := old[last]
	old[last] = nil
	d.job.dueIndex = notDelayed
	*h = old[:last]
	return d
}

// notDelayed is the dueIndex of a job without occurrences that wait for their time.
const notDelayed = -1

// enqueueDue queues the groups of the occurrences whose scheduled time has been reached.
func (c *Cell) enqueueDue() {
	for len(c.dueJobs) > 0 && c.dueJobs[0].dueMs <= c.unixMs {
		c.enqueueOccurrences(heap.Pop(&c.dueJobs).(*dueJob).job)
	}
}

// enqueueOccurrences queues the groups of a job's occurrences that are due, in the order of
// their times, and records when the next one is.
func (c *Cell) enqueueOccurrences(j *job) {
	for ; j.dueOccurrences < len(j.occurrences); j.dueOccurrences++ {
		k := j.dueOccurrences
		if j.schedule.IntervalMs < 0 {
			k = len(j.occurrences) - 1 - k
		}
		if due := j.schedule.DueMs(k); due > c.unixMs {
			heap.Push(&c.dueJobs, &dueJob{j, due})
			return
		}
		j.occurrences[k].due = true
		for _, g := range j.groupsOf(k) {
			c.visited++
			c.enqueueIfReady(g)
		}
	}
}

// dropDelayed forgets the occurrences of a job that wait for their time.
func (c *Cell) dropDelayed(j *job) {
	if j.dueIndex != notDelayed {
		heap.Remove(&c.dueJobs, j.dueIndex)
	}
}
