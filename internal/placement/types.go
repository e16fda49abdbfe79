package placement

import "github.com/gentianpick/gentianpick/internal/model"

// WorkerFlags say why a worker receives no new task. Any flag that is set keeps new
// tasks away; a quarantined worker may still receive a probe.
type WorkerFlags struct {
	Leaving     bool // the VM list or the worker's own report says that it leaves
	Quarantined bool // it fails what it starts
	Unfenced    bool // it has not reported at the owner's epoch yet
}

// any reports whether a flag is set.
func (f WorkerFlags) any() bool { return f.Leaving || f.Quarantined || f.Unfenced }

// Request asks for a worker for one task.
type Request struct {
	Task      model.TaskID
	Service   string
	Class     model.Class
	Team      string
	Resources model.Resources
	// Avoid holds workers that are chosen only if nothing else fits, so that
	// a retry does not go first to the worker that just failed.
	Avoid []model.WorkerName
	// ProbeWorker, if set, is the only worker considered. It may be quarantined.
	ProbeWorker model.WorkerName
	// Headroom is what the request must leave free over all usable workers. It
	// holds only for components that the request needs itself, and is zero for
	// interactive work.
	Headroom model.Resources
	// FirstFit takes the first worker by name that fits. It exists for
	// comparisons with the choice by rank.
	FirstFit bool
}

// Denial says why a request was not placed. The values are stable.
type Denial string

// The denials.
const (
	DenialNone      Denial = ""
	DenialNoFitNow  Denial = "no_fit_now" // some worker could hold it, but not at present
	DenialNeverFits Denial = "never_fits" // no known worker could hold it even if empty
	DenialOverQuota Denial = "quota"      // the team's quota has no room
)

// slotsPerTask is the least a task counts: a running task occupies one slot
// even if its service declares none.
const slotsPerTask = 1

// A rank is one unsigned number, lower is better. From the lowest bit it holds
// the remaining fraction, the spread over workers, the spread over racks, the
// accelerator penalty and the avoid penalty.
const (
	weightBits       = 40        // resolution of reciprocals; what is left is at most the capacity, so products stay below 2^40
	remainderBits    = 31        // resolution of the remaining fraction
	spreadBits       = 15        // more tasks of one service on a worker or rack than fit here rank equal
	maxSpread        = 1<<15 - 1 // the largest spread count
	workerSpreadBits = remainderBits
	rackSpreadBits   = workerSpreadBits + spreadBits
	acceleratorBit   = rackSpreadBits + spreadBits
	avoidBit         = acceleratorBit + 1
)

// TaskUsage is what the cache knows about one task.
type TaskUsage struct {
	Task      model.TaskID
	Job       model.JobID
	Service   string
	Class     model.Class
	Team      string
	Worker    model.WorkerName
	Declared  model.Resources
	Observed  model.Resources // zero until reported
	InDoubt   bool            // the outcome of the start is not known
	Since     model.Time      // promised, or first observed
	Throttled bool
}

// EffectiveUse returns what the task counts as: the larger of declared and observed in
// each component, and at least one slot. A task that uses less than declared
// may use it later, so the declared amount stays reserved.
func (u TaskUsage) EffectiveUse() model.Resources { return demand(u.Declared.Max(u.Observed)) }

// demand returns need with at least one slot.
func demand(need model.Resources) model.Resources {
	need.Slots = max(need.Slots, slotsPerTask)
	return need
}
