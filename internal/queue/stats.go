package queue

import (
	"container/list"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// opWindow is the number of run times kept per operation. A median over it ignores 5%
	// stragglers and follows a change within a minute at one completion per second.
	opWindow = 64
	// classWindow is the number of run times kept per class, over all its operations.
	classWindow = 512
	// meanWindow is the number of run times after which the weight of past samples in the
	// mean is halved. It is larger than that of a median, so that the mean includes a
	// representative share of stragglers.
	meanWindow = 1024
	// maxServices bounds the number of services whose class is kept; a service text holds
	// fewer.
	maxServices = 4096
)

// opKey identifies an operation of a service.
type opKey struct{ service, operation string }

// stats holds the observed run times.
type stats struct {
	cfg            Config
	ops            map[opKey]*opStats
	lru            *list.List // of *opStats, most recently used first
	classes        map[model.Class]*window
	serviceClasses map[string]model.Class
	opsVersion     uint64 // incremented when operations are added or evicted
}

// opStats holds the statistics of one operation.
type opStats struct {
	key       opKey
	runs      *window
	overLimit int // running tasks above the straggler limit
	element   *list.Element
}

// newStats returns empty statistics.
func newStats(cfg Config) *stats {
	return &stats{
		cfg:            cfg,
		ops:            map[opKey]*opStats{},
		lru:            list.New(),
		classes:        map[model.Class]*window{},
		serviceClasses: map[string]model.Class{},
	}
}

// recordClass records the class of a service.
func (s *stats) recordClass(service string, class model.Class) {
	if len(s.serviceClasses) < maxServices {
		s.serviceClasses[service] = class
	}
}

// getOrAdd returns the statistics of an operation, creating them if needed, and marks
// them as most recently used.
func (s *stats) getOrAdd(k opKey) *opStats {
	o := s.ops[k]
	if o != nil {
		s.lru.MoveToFront(o.element)
		return o
	}
	if len(s.ops) >= s.cfg.MaxOperations {
		last := s.lru.Back()
		s.lru.Remove(last)
		delete(s.ops, last.Value.(*opStats).key)
	}
	s.opsVersion++
	o = &opStats{key: k, runs: newWindow(opWindow)}
	o.element = s.lru.PushFront(o)
	s.ops[k] = o
	return o
}

// recordRun records one run.
func (s *stats) recordRun(k opKey, run sample) {
	s.getOrAdd(k).runs.add(run)
	class, ok := s.serviceClasses[k.service]
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

// stragglerLimit returns the run time above which a task of the class is a straggler, or
// zero while there are too few samples. Services run until stopped and gangs are placed
// as a whole, so these classes have no limit.
func (s *stats) stragglerLimit(class model.Class) time.Duration {
	w := s.classes[class]
	if w == nil || w.len() < s.cfg.MinSamples || class != model.ClassInteractive && class != model.ClassBatch {
		return 0
	}
	return time.Duration(float64(w.approxMedian()) * s.cfg.StragglerFactor)
}

// expectedRunTime returns the run time to plan with: the operation's median; the class's
// median if the operation has no samples; or more than the straggler limit if the
// operation is new and more of its tasks run above the limit than have finished.
func (s *stats) expectedRunTime(service, operation string, class model.Class) time.Duration {
	return s.runTimeFromStats(s.ops[opKey{service, operation}], class)
}

// runTimeFromStats is expectedRunTime for the statistics of an operation, which are nil
// if there are none.
func (s *stats) runTimeFromStats(o *opStats, class model.Class) time.Duration {
	if o != nil && o.runs.len() < s.cfg.MinSamples && o.overLimit > o.runs.len() {
		return s.stragglerLimit(class) + 1
	}
	if o != nil && o.runs.len() > 0 {
		return o.runs.approxMedian()
	}
	if w := s.classes[class]; w != nil {
		return w.approxMedian()
	}
	return 0
}

// window keeps the run times of the most recently started tasks with their median, and a
// mean over a longer history. Samples are ordered by start, not by end: after a burst
// only its stragglers still run, and the most recent ends would all be theirs.
type window struct {
	size        int
	runs        heap[sample] // earliest start first
	median      time.Duration
	sinceMedian int // run times added since the median was computed
	sum         time.Duration
	count       int64
}

// sample is one observed run.
type sample struct {
	start   model.Time
	runTime time.Duration
}

// newWindow returns an empty window for size run times.
func newWindow(size int) *window {
	return &window{size: size, runs: heap[sample]{less: func(x, y sample) bool {
		return x.start < y.start || x.start == y.start && x.runTime < y.runTime
	}}}
}

// add records a run. In a full window it replaces the run with the earliest start,
// unless the new run started before that.
func (w *window) add(s sample) {
	s.runTime = max(s.runTime, 0)
	if w.count >= meanWindow {
		w.sum, w.count = w.sum/2, w.count/2
	}
	w.sum += s.runTime
	w.count++
	switch {
	case len(w.runs.values) < w.size:
		w.runs.push(s)
	case s.start >= w.runs.values[0].start:
		w.runs.values[0] = s
		w.runs.down(0)
	}
	w.sinceMedian++
}

// len returns the number of run times in the median.
func (w *window) len() int { return len(w.runs.values) }

// approxMedian returns the median. It is recomputed only after an eighth of the window
// may have changed, which amortizes the cost of sorting.
func (w *window) approxMedian() time.Duration {
	if w.sinceMedian > 0 && (w.median == 0 || w.sinceMedian >= max(w.len()/8, 1)) {
		sorted := make([]time.Duration, w.len())
		for i, s := range w.runs.values {
			sorted[i] = s.runTime
		}
		slices.Sort(sorted)
		w.median, w.sinceMedian = sorted[len(sorted)/2], 0
	}
	return w.median
}

// mean returns the mean run time, or zero without samples.
func (w *window) mean() time.Duration { return w.sum / time.Duration(max(w.count, 1)) }
