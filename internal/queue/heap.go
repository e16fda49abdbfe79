package queue

// heap is a binary heap of values ordered by less. The order must be total, so that
// equal contents are popped in the same order regardless of insertion history.
type heap[T any] struct {
	values []T
	less   func(x, y T) bool
}

// push adds v.
func (h *heap[T]) push(v T) {
	h.values = append(h.values, v)
	for i := len(h.values) - 1; i > 0; {
		p := (i - 1) / 2
		if !h.less(h.values[i], h.values[p]) {
			return
		}
		h.values[i], h.values[p] = h.values[p], h.values[i]
		i = p
	}
}

// pop removes and returns the least value. The heap must not be empty.
func (h *heap[T]) pop() T {
	v, last := h.values[0], len(h.values)-1
	var zero T
	h.values[0], h.values[last] = h.values[last], zero
	h.values = h.values[:last]
	h.down(0)
	return v
}

// down restores the heap order below index i.
func (h *heap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.values) {
			return
		}
		if c+1 < len(h.values) && h.less(h.values[c+1], h.values[c]) {
			c++
		}
		if !h.less(h.values[c], h.values[i]) {
			return
		}
		h.values[i], h.values[c] = h.values[c], h.values[i]
		i = c
	}
}

// init establishes the heap order over all values.
func (h *heap[T]) init() {
	for i := len(h.values)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// filter removes the values for which keep returns false.
func (h *heap[T]) filter(keep func(T) bool) {
	n := 0
	for _, v := range h.values {
		if keep(v) {
			h.values[n] = v
			n++
		}
	}
	clear(h.values[n:])
	h.values = h.values[:n]
	h.init()
}
