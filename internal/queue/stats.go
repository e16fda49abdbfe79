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
}

// op is the statistics of one operation.
type op struct {
	key  opKey
	runs window
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
	o = &op{key: k, runs: window{size: opWindow}}
	o.at = s.recent.PushFront(o)
	s.ops[k] = o
	return o
}

// finished records one run time.
func (s *stats) finished(k opKey, ran time.Duration) {
	s.op(k).runs.add(ran)
	class, ok := s.classOf[k.service]
	if !ok {
		return
	}
	w := s.classes[class]
	if w == nil {
		w = &window{size: classWindow}
		s.classes[class] = w
	}
	w.add(ran)
}

// limit returns the run time above which a task of the class is a straggler,
// zero while too little is known. Services run until stopped and gangs are
// placed as a whole, so they have none.
func (s *stats) limit(class model.Class) time.Duration {
	w := s.classes[class]
	if w == nil || len(w.ring) < s.cfg.MinSamples || class != model.ClassInteractive && class != model.ClassBatch {
		return 0
	}
	return time.Duration(float64(w.typical()) * s.cfg.StragglerFactor)
}

// assumed returns the run time to plan with: the operation's own median; the
// class's median if nothing is known; and more than the straggler limit if most
// of what is known of a new operation is tasks that still run above it.
func (s *stats) assumed(service, operation string, class model.Class) time.Duration {
	o := s.ops[opKey{service, operation}]
	if o != nil && len(o.runs.ring) < s.cfg.MinSamples && o.late > len(o.runs.ring) {
		return s.limit(class) + 1
	}
	if o != nil && len(o.runs.ring) > 0 {
		return o.runs.typical()
	}
	if w := s.classes[class]; w != nil {
		return w.typical()
	}
	return 0
}

// window keeps the last run times in a ring, with their median and sum.
type window struct {
	size   int
	ring   []time.Duration
	next   int
	sum    time.Duration
	median time.Duration
	stale  int // run times since the median was computed
}

// add records a run time in place of the oldest.
func (w *window) add(d time.Duration) {
	d = max(d, 0)
	w.sum += d
	if len(w.ring) < w.size {
		w.ring = append(w.ring, d)
	} else {
		w.sum -= w.ring[w.next]
		w.ring[w.next] = d
		w.next = (w.next + 1) % w.size
	}
	w.stale++
}

// typical returns the median. It is computed again once an eighth of the
// window has changed, so that its cost is spread over the run times.
func (w *window) typical() time.Duration {
	if w.stale > 0 && (w.median == 0 || w.stale >= max(len(w.ring)/8, 1)) {
		sorted := slices.Clone(w.ring)
		slices.Sort(sorted)
		w.median, w.stale = sorted[len(sorted)/2], 0
	}
	return w.median
}

// mean returns the mean run time, zero if there is none.
func (w *window) mean() time.Duration {
	if len(w.ring) == 0 {
		return 0
	}
	return w.sum / time.Duration(len(w.ring))
}
