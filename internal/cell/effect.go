package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Effect is something to be done.
type Effect interface{ isEffect() }

// Append writes entries to the progress stream under the owner's epoch. It is
// answered by Appended. At most one is in flight.
type Append struct {
	Seq     uint64 // counts the appends of an epoch from 1
	Epoch   int64
	Entries []Entry
}

// Entry is one record of a keyed stream. An empty value removes the key.
type Entry struct {
	Key   string
	Value []byte
}

// TryClaim appends a claim if the progress stream still ends at At. It is
// answered by Claimed.
type TryClaim struct {
	Claim jobs.Claim
	At    int64
}

// Renew extends a worker's lease, acknowledges ends and asks what it runs. It
// is answered by Renewed. At most one for each worker is in flight.
type Renew struct {
	Worker   model.WorkerName
	Address  string
	Epoch    int64
	AckedEnd int64
	// LeaseUntil is a time of the worker's clock; zero leaves the lease as it is.
	LeaseUntil model.WorkerTime
	Wait       time.Duration // the worker answers earlier if a run ends
	Timeout    time.Duration // of the call; above Wait
	// StatusOnly marks a renewal beside the one that waits at the worker. It settles
	// runs sooner.
	StatusOnly bool
	Call       Call // its cost is zero if the worker holds the answer back
}

// Call is what a call to a worker costs, for the answer to it.
type Call struct {
	SentAt model.Time
	Bytes  int // bytes
}

// Start starts a run. It is answered by StartAnswered.
type Start struct {
	Worker     model.WorkerName
	Address    string
	Epoch      int64
	Task       jobs.TaskRef
	Run        int
	Payload    string
	LeaseUntil model.WorkerTime
	Checkpoint string
	Permit     string
	Timeout    time.Duration // of the call
	Call       Call
}

// Stop ends a run, and bars it and all earlier runs of the task if it has not
// begun. It is answered by StopAnswered.
type Stop struct {
	Worker  model.WorkerName
	Address string
	Epoch   int64
	Task    jobs.TaskRef
	Run     int
	Timeout time.Duration // of the call
	Call    Call
}

// QueryEligibility asks an instance to find out which workers may run a step. It is
// answered by EligibilityAnswered.
type QueryEligibility struct {
	Instance   string
	Job        jobs.ID
	Step       int
	Occurrence int
	Workers    []model.WorkerName
	Expected   time.Duration // that the call is expected to take
}

// DeleteEntry removes an entry of a finished job from a part of the submissions.
type DeleteEntry struct {
	Partition int
	Key       string
}

// RequestAnswered says what became of an offer.
type RequestAnswered struct {
	RequestID uint64
	Stored    bool
	InDoubt   bool // it may be or become stored; never set together with Stored
	// Overloaded says that the offer was refused since its job would wait too long
	// for its turn, and RetryAfter when to come back. No instance is to store it.
	Overloaded bool
	RetryAfter time.Duration
}

// OwnershipChanged says that this instance became, or stopped being, the owner.
type OwnershipChanged struct {
	Owner bool
	Epoch int64
}

// Reload asks the driver to build a new Cell from the store, since this one
// has acted on state that the store does not have.
type Reload struct{ Reason string }

// FinalStateStored says that the store has the final state of a job.
type FinalStateStored struct{ ID jobs.ID }

// Log is one line that explains a decision.
type Log struct {
	Message string
	Job     jobs.ID // empty if the line is not about one job
	Fields
}

// Fields are the inputs of a decision. Empty ones are left out.
type Fields struct {
	Worker  model.WorkerName
	Task    jobs.TaskRef // printed if Run or HasTask is set
	HasTask bool
	Run     int
	Epoch   int64
	Age     time.Duration // of the input that decided
	Count   int
	Reason  string
	Outcome string
}

// Observe adds one value to a latency histogram.
type Observe struct {
	Name  string
	Label string
	Value time.Duration
}

// Count adds to a counter.
type Count struct {
	Name  string
	Label string
}

func (Append) isEffect()           {}
func (FinalStateStored) isEffect() {}
func (TryClaim) isEffect()         {}
func (Renew) isEffect()            {}
func (Start) isEffect()            {}
func (Stop) isEffect()             {}
func (QueryEligibility) isEffect() {}
func (DeleteEntry) isEffect()      {}
func (RequestAnswered) isEffect()  {}
func (OwnershipChanged) isEffect() {}
func (Reload) isEffect()           {}
func (Log) isEffect()              {}
func (Observe) isEffect()          {}
func (Count) isEffect()            {}
