package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Effect is an action that the caller of Step carries out.
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
// answered by ClaimAnswered.
type TryClaim struct {
	Claim jobs.Claim
	At    int64
}

// Renew extends a worker's lease, acknowledges ended runs and asks for the list of
// runs. It is answered by Renewed. At most one per worker is in flight, and one more
// with StatusOnly.
type Renew struct {
	Worker   model.WorkerName
	Address  string
	Epoch    int64
	AckedEnd int64
	// LeaseUntil is in the worker's clock; zero leaves the lease unchanged.
	LeaseUntil model.WorkerTime
	Wait       time.Duration // of the long poll; the worker answers earlier if a run ends
	Timeout    time.Duration // of the call; longer than Wait
	// StatusOnly marks a request for the list of runs that is sent in addition to the
	// long poll, to learn the state of runs sooner.
	StatusOnly bool
	Call       Call // its Bytes are zero for a long poll
}

// Call records when a call to a worker was sent, and its size. The answer carries it
// back for flow control.
type Call struct {
	SentAt model.Time
	Bytes  int // on the wire, approximately
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

// Stop stops a run. If the run has not begun, the worker rejects its start, and those
// of all earlier runs of the task, from then on. It is answered by StopAnswered.
type Stop struct {
	Worker  model.WorkerName
	Address string
	Epoch   int64
	Task    jobs.TaskRef
	Run     int
	Timeout time.Duration // of the call
	Call    Call
}

// QueryEligibility has an instance find out which workers may run a step. It is
// answered by EligibilityAnswered.
type QueryEligibility struct {
	Instance   string
	Job        jobs.ID
	Step       int
	Occurrence int
	Workers    []model.WorkerName
	Expected   time.Duration // expected duration of the call
}

// DeleteEntry removes an entry of a finished job from a partition of the submissions. It is
// answered by EntryDeleted.
type DeleteEntry struct {
	Job       jobs.ID
	Partition int
	Key       string
}

// RequestAnswered reports the outcome of a SubmitRequested or CancelRequested.
type RequestAnswered struct {
	RequestID uint64
	Stored    bool
	InDoubt   bool // it may have been stored, or may still be; never set together with Stored
	// Overloaded means that the submission was rejected because its job would wait too
	// long for its starts to be sent, and RetryAfter is when to retry. No instance is
	// to store the job.
	Overloaded bool
	RetryAfter time.Duration
}

// OwnershipChanged reports that this instance became, or ceased to be, the owner.
type OwnershipChanged struct {
	Owner bool
	Epoch int64
}

// Reload asks the driver to build a new Cell from the store, since this one holds
// decisions that the store may not have.
type Reload struct{ Reason string }

// FinalStateStored reports that the store has the final state of a job.
type FinalStateStored struct{ ID jobs.ID }

// Log is a log line that explains a decision.
type Log struct {
	Message string
	Job     jobs.ID // empty if the line is not about one job
	Fields
}

// Fields are the structured fields of a log line. Empty ones are omitted.
type Fields struct {
	Worker  model.WorkerName
	Task    jobs.TaskRef // printed if Run or HasTask is set
	HasTask bool
	Run     int
	Epoch   int64
	Age     time.Duration // how old the input of the decision is, or how long something took
	Count   int
	Reason  string
	Outcome string
	// StepTasks is the number of tasks of the task's step at the worker, itself included,
	// and StepLimit how many may be there. Both are set only for steps with a limit.
	StepTasks, StepLimit int
}

// Observe adds one value to a latency histogram.
type Observe struct {
	Name  string
	Label string
	Value time.Duration
}

// Count adds one to a counter.
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
