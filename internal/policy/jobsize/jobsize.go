// Package jobsize ranks jobs by their size among the recent jobs of their queue.
//
// It shows a load in which most of a queue is served while its largest jobs wait until
// their results are useless, which a mean over the queue hides.
package jobsize

import "slices"

const (
	// Tenths is the number of ranks.
	Tenths = 10
	// window is the number of recent jobs that a job is compared with.
	window = 500
)

// Tracker holds the sizes of the recent jobs of one queue.
type Tracker struct {
	recent []float64 // ring buffer
	next   int       // position of the oldest size once the buffer is full
	sorted []float64
}

// Add adds a job of the given size and returns its rank among the recent ones, from 1 to
// Tenths; the largest tenth has the highest rank.
func (t *Tracker) Add(size float64) int {
	if len(t.recent) < window {
		t.recent = append(t.recent, size)
	} else {
		at, _ := slices.BinarySearch(t.sorted, t.recent[t.next])
		t.sorted = slices.Delete(t.sorted, at, at+1)
		t.recent[t.next] = size
		t.next = (t.next + 1) % window
	}
	first, _ := slices.BinarySearch(t.sorted, size)
	t.sorted = slices.Insert(t.sorted, first, size)
	last := first
	for last < len(t.sorted) && t.sorted[last] == size {
		last++
	}
	// Jobs of the same size have the same rank, which is that of their middle.
	return 1 + (first+last)*Tenths/(2*len(t.sorted))
}
