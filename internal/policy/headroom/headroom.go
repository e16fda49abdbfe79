// Package headroom decides how much CPU work that is not urgent leaves for urgent tasks.
//
// It answers a load of urgent tasks that come in bursts beside wide tasks of nearly half a
// worker. If each worker keeps some CPU free, a worker of 16 cores holds one task of 7.6
// cores in place of two, and gangs of such tasks hardly start. Urgent tasks need places
// somewhere on the site, so the site as a whole keeps them. Only a site that is short of
// places keeps CPU free on each worker, and only from tasks beyond those that its places can
// spare: a wide task would otherwise find no worker although most of the site is idle.
package headroom

const (
	// MilliCPUPerWorker is the CPU that a site keeps free for urgent tasks, for each of its
	// workers, in thousandths of a core.
	MilliCPUPerWorker = 1500
	// demandWeight is the weight of one task in the mean CPU of urgent tasks.
	demandWeight = 0.01
)

// Site tells how much CPU of a site's workers is free in pieces that fit an urgent task. It
// is counted anew from time to time, and follows placements in between.
type Site struct {
	taskMilliCPU float64 // mean of urgent tasks, smoothed; zero before the first one
	piece        int64   // mean of urgent tasks as of the last Reset, in thousandths of a core
	places       int64   // CPU that urgent tasks can use
	required     int64   // CPU that is kept for them
	capacity     int64   // CPU of all workers
	free         int64   // CPU of all workers that is not in use
}

// NewSite returns a Site without workers.
func NewSite() *Site { return &Site{piece: MilliCPUPerWorker} }

// RecordUrgent records the CPU of the tasks of a step of an urgent job.
func (s *Site) RecordUrgent(milliCPU int64, tasks int) {
	if milliCPU <= 0 {
		return
	}
	if s.taskMilliCPU == 0 {
		s.taskMilliCPU = float64(milliCPU)
	}
	for range min(tasks, 100) {
		s.taskMilliCPU += demandWeight * (float64(milliCPU) - s.taskMilliCPU)
	}
}

// Reset begins a new count. The size of a piece stays the same until the next one.
func (s *Site) Reset() {
	s.places, s.required, s.capacity, s.free = 0, 0, 0, 0
	s.piece = MilliCPUPerWorker
	if s.taskMilliCPU >= 1 {
		s.piece = int64(s.taskMilliCPU)
	}
}

// AddWorker adds a worker that may get tasks.
func (s *Site) AddWorker(capacityMilliCPU, freeMilliCPU int64) {
	s.places += s.usable(freeMilliCPU)
	s.required += MilliCPUPerWorker
	s.capacity += capacityMilliCPU
	s.free += freeMilliCPU
}

// Changed records that the free CPU of a worker has changed.
func (s *Site) Changed(freeBefore, freeAfter int64) {
	s.places += s.usable(freeAfter) - s.usable(freeBefore)
	s.free += freeAfter - freeBefore
}

// HalfFree reports whether less than half of the site's CPU is in use.
func (s *Site) HalfFree() bool { return 2*s.free > s.capacity }

// usable returns the part of a worker's free CPU that urgent tasks can use.
func (s *Site) usable(freeMilliCPU int64) int64 {
	return max(0, freeMilliCPU) / s.piece * s.piece
}

// OnEachWorker returns the CPU that tasks which are not urgent, each of the given size, must
// leave free on each worker, in thousandths of a core: none if the site keeps enough places
// beside all of them.
func (s *Site) OnEachWorker(milliCPU int64, tasks int) int64 {
	if s.Spare(milliCPU) >= int64(tasks) {
		return 0
	}
	return MilliCPUPerWorker
}

// Spare returns how many tasks of the given size may be placed on any workers while the site
// keeps enough places beside them.
func (s *Site) Spare(milliCPU int64) int64 {
	// Each task may cut one place more than its size, where it leaves less than a place.
	worst := max(1, (milliCPU+s.piece-1)/s.piece*s.piece)
	return max(0, s.places-s.required) / worst
}
