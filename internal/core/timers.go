package core

import (
	"container/heap"

	"github.com/gentianpick/gentianpick/internal/model"
)

// timer is one entry of a timerQueue.
type timer[K any] struct {
	at  model.Time
	seq uint64
	key K
}

// timerQueue is a priority queue of keys by time, so that the cost of a tick depends
// only on the entries that are due. Entries are never removed early: the consumer of a
// key must check whether it still applies.
type timerQueue[K any] struct {
	heap timerHeap[K]
	seq  uint64
}

// add schedules a key for a time.
func (t *timerQueue[K]) add(at model.Time, key K) {
	t.seq++
	heap.Push(&t.heap, timer[K]{at: at, seq: t.seq, key: key})
}

// due removes and returns the keys whose time has passed, earliest first.
func (t *timerQueue[K]) due(now model.Time) []K {
	var out []K
	for len(t.heap) > 0 && t.heap[0].at <= now {
		out = append(out, heap.Pop(&t.heap).(timer[K]).key)
	}
	return out
}

type timerHeap[K any] []timer[K]

func (h timerHeap[K]) Len() int { return len(h) }
func (h timerHeap[K]) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h timerHeap[K]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap[K]) Push(x any)   { *h = append(*h, x.(timer[K])) }
func (h *timerHeap[K]) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = timer[K]{}
	*h = old[:len(old)-1]
	return x
}
