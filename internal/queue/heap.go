package queue

// heap is a binary heap of values ordered by less. The order is total, so that
// equal contents leave it in the same order whatever the history.
type heap[T any] struct {
	a    []T
	less func(x, y T) bool
}

// push adds v.
func (h *heap[T]) push(v T) {
	h.a = append(h.a, v)
	for i := len(h.a) - 1; i > 0; {
		p := (i - 1) / 2
		if !h.less(h.a[i], h.a[p]) {
			return
		}
		h.a[i], h.a[p] = h.a[p], h.a[i]
		i = p
	}
}

// pop removes the least value. The heap must not be empty.
func (h *heap[T]) pop() T {
	v, last := h.a[0], len(h.a)-1
	var zero T
	h.a[0], h.a[last] = h.a[last], zero
	h.a = h.a[:last]
	h.down(0)
	return v
}

// down restores the order below i.
func (h *heap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.a) {
			return
		}
		if c+1 < len(h.a) && h.less(h.a[c+1], h.a[c]) {
			c++
		}
		if !h.less(h.a[c], h.a[i]) {
			return
		}
		h.a[i], h.a[c] = h.a[c], h.a[i]
		i = c
	}
}

// init restores the order of all values.
func (h *heap[T]) init() {
	for i := len(h.a)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// keep removes the values that are not wanted.
func (h *heap[T]) keep(wanted func(T) bool) {
	n := 0
	for _, v := range h.a {
		if wanted(v) {
			h.a[n] = v
			n++
		}
	}
	clear(h.a[n:])
	h.a = h.a[:n]
	h.init()
}
