package placement

import "github.com/gentianpick/gentianpick/internal/model"

// WorkerFlags are the reasons why a worker receives no new tasks. Any set flag blocks
// new tasks, except that a quarantined worker may receive a probe.
type WorkerFlags struct {
	Leaving     bool // leaving according to the VM list or the worker's own report
	Quarantined bool // tasks started on it fail
	Unfenced    bool // has not reported at the owner's epoch yet
}

// blocksNewTasks reports whether any flag is set.
func (f WorkerFlags) blocksNewTasks() bool { return f.Leaving || f.Quarantined || f.Unfenced }

// Request is a request to place one task.
type Request struct {
	Task      model.TaskID
	Service   string
	Class     model.Class
	Team      string
	Resources model.Resources
	// Avoid lists workers to use only if no other fits, so that a retry does not go back
	// to the worker that just failed.
	Avoid []model.WorkerName
	// ProbeWorker, if set, is the only worker considered. It may be quarantined.
	ProbeWorker model.WorkerName
	// Headroom is the amount that must stay free over all usable workers after the
	// placement. It applies only to components that the request itself needs, and is zero
	// for interactive work.
	Headroom model.Resources
	// FirstFit selects the first worker by name that fits, as a baseline for comparisons
	// with the choice by rank.
	FirstFit bool
}

// Denial is the reason why a request was not placed. Its values are stable.
type Denial string

// The denials.
const (
	DenialNone      Denial = ""
	DenialNoFitNow  Denial = "no_fit_now" // some worker could hold it, but none has the capacity free now
	DenialNeverFits Denial = "never_fits" // no known worker could hold it even if empty
	DenialOverQuota Denial = "quota"      // would exceed the team's quota
)

// minTaskSlots is the minimum number of slots of a task: a running task occupies one
// slot even if its service declares none.
const minTaskSlots = 1

// Layout of a rank, an unsigned integer of which lower is better. From the lowest bit, it
// holds the remaining fraction, the service's task count on the worker, its task count on
// the rack, the accelerator penalty and the avoid penalty.
const (
	reciprocalBits   = 40        // resolution of reciprocals; the remainder is at most the capacity, so products stay below 2^40
	fractionBits     = 31        // resolution of the remaining fraction
	spreadBits       = 15        // width of a task count; counts above maxSpreadCount rank equal
	maxSpreadCount   = 1<<15 - 1 // largest task count in a rank
	workerSpreadBits = fractionBits
	rackSpreadBits   = workerSpreadBits + spreadBits
	acceleratorBit   = rackSpreadBits + spreadBits
	avoidBit         = acceleratorBit + 1
)

// TaskUsage is the record of one counted task.
type TaskUsage struct {
	Task      model.TaskID
	Job       model.JobID
	Service   string
	Class     model.Class
	Team      string
	Worker    model.WorkerName
	Declared  model.Resources
	Observed  model.Resources // zero until reported
	InDoubt   bool            // the outcome of the start is unknown
	Since     model.Time      // time of the reservation or the first report
	Throttled bool
}

// EffectiveUse returns the resources that the task counts as: the larger of declared and
// observed in each component, and at least one slot. A task that uses less than declared
// may use more later, so the declared amount stays reserved.
func (u TaskUsage) EffectiveUse() model.Resources { return withMinSlots(u.Declared.Max(u.Observed)) }

// withMinSlots returns need with at least one slot.
func withMinSlots(need model.Resources) model.Resources {
	need.Slots = max(need.Slots, minTaskSlots)
	return need
}
