// Package rank orders waiting work.
//
// It answers a crest at which all workers are full for seconds: short urgent
// work and wide batch work wait for the same room, so that the order decides
// which of them is in time. Work that can still be in time goes first, the
// urgent kinds before the others, and then by least slack. Work that is late
// already goes after all that is not, since its caller has been let down
// either way.
package rank

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Input is what the order of one group of tasks depends on.
type Input struct {
	Priority     int        // of its queue; lower goes first
	Urgent       bool       // its queue has the first priority
	Arrived      model.Time // when the job arrived
	CriticalPath time.Duration
	// Remaining is the part of the chain that is still to be run.
	Remaining     time.Duration
	Stretch       float64
	LatencyTarget time.Duration
}

// UselessFactor times the objective is when a result is of no use any more.
const UselessFactor = 3

// Classes of urgency. A lower one goes first.
const (
	classUrgent = iota
	classInTime
	classUrgentLate
	classLate
	classUseless
)

// classWidth separates classes; no slack comes near it.
const classWidth = int64(1) << 59

// Objective returns how long the job may take to be in time.
func (in Input) Objective() time.Duration {
	return time.Duration(in.Stretch*float64(in.CriticalPath)) + in.LatencyTarget
}

// Useless reports whether the work of a rank is of no use any more.
func Useless(key int64) bool { return key >= classUseless*classWidth }

// Key returns the rank at a time: the lower goes first.
func Key(now model.Time, in Input) int64 {
	objective := in.Objective()
	latest := in.Arrived.Add(objective - in.Remaining)
	class := classInTime
	switch {
	case now > in.Arrived.Add(UselessFactor*objective-in.Remaining):
		class = classUseless
	case now > latest && in.Urgent:
		class = classUrgentLate
	case now > latest:
		class = classLate
	case in.Urgent:
		class = classUrgent
	}
	return int64(class)*classWidth + int64(latest)%classWidth
}
