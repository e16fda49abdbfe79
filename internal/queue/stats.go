package queue

import (
	"container/list"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// opWindow is the number of run times kept per operation. A median over it
	// ignores a twentieth of stragglers and follows a change within a minute
	// at one finish a second.
	opWindow = 64
	// classWindow is the number of run times kept per class, over all of its
	// operations.
	classWindow = 512
	// meanWindow is the number of run times after which the mean forgets half.
	// A mean needs more of them than a median to hold its share of stragglers.
	meanWindow = 1024
	// maxServices bounds the classes learned of services; a text holds fewer.
	maxServices = 4096
)

// opKey names an operation of a service.
type opKey struct{ service, operation string }

// stats holds the observed run times.
type stats struct {
	cfg     Config
	ops     map[opKey]*op
	recent  *list.List // of *op, the most recently finished first
	classes map[model.Class]*window
	classOf map[string]model.Class
	changes uint64 // counts added and dropped operations
}

// op is the statistics of one operation.
type op struct {
	key  opKey
	runs *window
	late int // running tasks over the straggler limit
	at   *list.Element
}

// newStats returns empty statistics.
func newStats(cfg Config) *stats {
	return &stats{
		cfg:     cfg,
		ops:     map[opKey]*op{},
		recent:  list.New(),
		classes: map[model.Class]*window{},
		classOf: map[string]model.Class{},
	}
}

// learnClass notes the class of a service.
func (s *stats) learnClass(service string, class model.Class) {
	if len(s.classOf) < maxServices {
		s.classOf[service] = class
	}
}

// op returns the statistics of an operation, made if needed.
func (s *stats) op(k opKey) *op {
	o := s.ops[k]
	if o != nil {
		s.recent.MoveToFront(o.at)
		return o
	}
	if len(s.ops) >= s.cfg.MaxOperations {
		last := s.recent.Back()
		s.recent.Remove(last)
		delete(s.ops, last.Value.(*op).key)
	}
	s.changes++
	o = &op{key: k, runs: newWindow(opWindow)}
	o.at = s.recent.PushFront(o)
	s.ops[k] = o
	return o
}

// finished records one run.
func (s *stats) finished(k opKey, run sample) {
	s.op(k).runs.add(run)
	class, ok := s.classOf[k.service]
	if !ok {
		return
	}
	w := s.classes[class]
	if w == nil {
		w = newWindow(classWindow)
		s.classes[class] = w
	}
	w.add(run)
}

// limit returns the run time above which a task of the class is a straggler,
// zero while too little is known. Services run until stopped and gangs are
// placed as a whole, so they have none.
func (s *stats) limit(class model.Class) time.Duration {
	w := s.classes[class]
	if w == nil || w.len() < s.cfg.MinSamples || class != model.ClassInteractive && class != model.ClassBatch {
		return 0
	}
	return time.Duration(float64(w.typical()) * s.cfg.StragglerFactor)
}

// assumed returns the run time to plan with: the operation's own median; the
// class's median if nothing is known; and more than the straggler limit if most
// of what is known of a new operation is tasks that still run above it.
func (s *stats) assumed(service, operation string, class model.Class) time.Duration {
	return s.assumedOf(s.ops[opKey{service, operation}], class)
}

// assumedOf is assumed for the statistics of an operation, nil if there are none.
func (s *stats) assumedOf(o *op, class model.Class) time.Duration {
	if o != nil && o.runs.len() < s.cfg.MinSamples && o.late > o.runs.len() {
		return s.limit(class) + 1
	}
	if o != nil && o.runs.len() > 0 {
		return o.runs.typical()
	}
	if w := s.classes[class]; w != nil {
		return w.typical()
	}
	return 0
}

// window keeps the run times of the tasks that started last, with their median,
// and the mean over a longer past. The start decides, not the end: after a burst
// only its stragglers still end, and the last ends would all be theirs.
type window struct {
	size   int
	runs   heap[sample] // the earliest start first
	median time.Duration
	stale  int // run times since the median was computed
	sum    time.Duration
	count  int64
}

// sample is one observed run.
type sample struct {
	start model.Time
	ran   time.Duration
}

// newWindow returns an empty window for that many run times.
func newWindow(size int) *window {
	return &window{size: size, runs: heap[sample]{less: func(x, y sample) bool {
		return x.start < y.start || x.start == y.start && x.ran < y.ran
	}}}
}

// add records a run in place of the one with the earliest start.
func (w *window) add(s sample) {
	s.ran = max(s.ran, 0)
	if w.count >= meanWindow {
		w.sum, w.count = w.sum/2, w.count/2
	}
	w.sum += s.ran
	w.count++
	switch {
	case len(w.runs.a) < w.size:
		w.runs.push(s)
	case s.start >= w.runs.a[0].start:
		w.runs.a[0] = s
		w.runs.down(0)
	}
	w.stale++
}

// len returns the number of run times that the median is taken over.
func (w *window) len() int { return len(w.runs.a) }

// typical returns the median. It is computed again once an eighth of the
// window may have changed, so that its cost is spread over the run times.
func (w *window) typical() time.Duration {
	if w.stale > 0 && (w.median == 0 || w.stale >= max(w.len()/8, 1)) {
		sorted := make([]time.Duration, w.len())
		for i, s := range w.runs.a {
			sorted[i] = s.ran
		}
		slices.Sort(sorted)
		w.median, w.stale = sorted[len(sorted)/2], 0
	}
	return w.median
}

// mean returns the mean run time, zero if there is none.
func (w *window) mean() time.Duration { return w.sum / time.Duration(max(w.count, 1)) }
