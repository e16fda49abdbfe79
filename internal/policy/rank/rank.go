// Package rank orders waiting work.
//
// It handles overload in which all workers are busy for seconds: short urgent work and
// wide batch work compete for the same workers, so that the order decides which of them
// is in time. Work that can still be in time goes first, urgent queues before the
// others, and then by least slack. Work that is already late goes last, since it misses
// its objective in any case. Tasks that last and have none of their runs are missed by
// their users all the time, so they go before all work that can wait.
package rank

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Input holds what determines the order of one group of tasks.
type Input struct {
	Priority     int        // of its queue; lower goes first
	Urgent       bool       // whether its queue has the highest priority
	Arrived      model.Time // when the job arrived
	CriticalPath time.Duration
	// Remaining is the unfinished part of the critical path.
	Remaining     time.Duration
	Stretch       float64
	LatencyTarget time.Duration
	// Lasting says that the tasks run until their job is cancelled: no time makes them
	// useless, and they have no critical path. Arrived is when the first of them began to
	// wait.
	Lasting bool
}

// UselessFactor times the objective is the time after which a result is useless.
const UselessFactor = 3

// Urgency classes. A lower one goes first.
const (
	classUrgent = iota
	classLasting
	classInTime
	classUrgentLate
	classLate
	classUseless
)

// classWidth separates the keys of the classes; it is far above any slack in
// nanoseconds.
const classWidth = int64(1) << 59

// maxLastingWait is how long tasks that last wait behind urgent work. They have to run again
// within 9 s of their loss, and workers need some seconds until there is room.
const maxLastingWait = 3 * time.Second

// maxObjective bounds objectives, so that sums of them and of times do not overflow.
const maxObjective = 20 * 365 * 24 * time.Hour

// Objective returns the time within which the job is to finish.
func (in Input) Objective() time.Duration {
	return time.Duration(min(in.Stretch*float64(in.CriticalPath), float64(maxObjective))) + in.LatencyTarget
}

// Useless reports whether the result of work with this key would be useless.
func Useless(key int64) bool { return key >= classUseless*classWidth }

// Urgent reports whether work with this key goes before all work that can wait.
func Urgent(key int64) bool { return key < classLasting*classWidth }

// Key returns the sort key at the given time; lower keys go first.
func Key(now model.Time, in Input) int64 {
	objective := in.Objective()
	latestStart := in.Arrived.Add(objective - in.Remaining)
	class := classInTime
	if in.Lasting {
		latestStart = in.Arrived
	}
	switch {
	case in.Lasting && !in.Urgent && now.Sub(in.Arrived) <= maxLastingWait:
		class = classLasting
	case in.Lasting:
		class = classUrgent
	case now > in.Arrived.Add(UselessFactor*objective-in.Remaining):
		class = classUseless
	case now > latestStart && in.Urgent:
		class = classUrgentLate
	case now > latestStart:
		class = classLate
	case in.Urgent:
		class = classUrgent
	}
	return int64(class)*classWidth + int64(latestStart)%classWidth
}
