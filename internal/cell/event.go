package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Event is something that happened.
type Event interface{ isEvent() }

// ConfigChanged is a newer configuration.
type ConfigChanged struct{ Config *jobs.Config }

// JobAdded is a submission that the store has.
type JobAdded struct {
	Job       jobs.Job
	Partition int // of the submissions that has it
}

// JobCancelled is a cancellation that the store has.
type JobCancelled struct {
	ID        jobs.ID
	Partition int // of the submissions that has it
}

// SubmitRequested is a submission that the owner is asked to store. It is answered
// by OfferSettled.
type SubmitRequested struct {
	RequestID uint64
	Job       jobs.Job
	Value     []byte // the stored form of the job
}

// CancelRequested is a cancellation that the owner is asked to store. It is
// answered by OfferSettled.
type CancelRequested struct {
	RequestID uint64
	ID        jobs.ID
}

// JobExpired is a job whose entries were removed after their retention.
type JobExpired struct{ ID jobs.ID }

// ProgressRead is an entry of the progress stream, which an owner wrote.
type ProgressRead struct {
	ID       jobs.ID
	Progress jobs.Progress
}

// ClaimRead is a claim in the progress stream.
type ClaimRead struct{ Claim jobs.Claim }

// ProgressCaughtUp says that a read of the progress stream reached its end.
type ProgressCaughtUp struct {
	End    int64
	SentAt model.Time // when the read was sent
	// Records is the number of records it returned.
	Records int
}

// SubmissionsCaughtUp says that reads of all parts of the submissions reached
// their ends. SentAt is when the first of these reads was sent.
type SubmissionsCaughtUp struct{ SentAt model.Time }

// WorkerRegistered is a worker's entry in the directory.
type WorkerRegistered struct{ Info jobs.WorkerInfo }

// WorkerUnregistered says that a worker's entry is gone.
type WorkerUnregistered struct{ Name model.WorkerName }

// RunStatus is one run that a worker lists.
type RunStatus struct {
	Task       jobs.TaskRef
	Run        int
	Checkpoint string
	Percent    int // of its work
}

// RunEnd is the end of a run that a worker lists until it is acknowledged.
type RunEnd struct {
	Seq        int64 // counts the ends of one life of the worker, from 1
	Task       jobs.TaskRef
	Run        int
	Outcome    jobs.Outcome
	Checkpoint string
}

// Verdict says what became of a call to a worker.
type Verdict int

// The verdicts.
const (
	Accepted      Verdict = iota
	Superseded            // the worker has seen a higher epoch
	TooLate               // the lease given with the start is over at the worker
	NoRoom                // the worker refused for want of room
	OldRun                // the run number is not above one that ended there
	NoPermit              // the permit is missing or no longer valid
	Busy                  // refused by an unhealthy worker, which did nothing
	NotSent               // certainly not received
	Unknown               // no answer; it may have been, or may yet be, carried out
	OtherInstance         // another life of the worker answered; nothing was done
	Malformed             // refused as malformed
)

var verdictNames = [...]string{"accepted", "superseded", "too_late", "no_room", "old_run", "no_permit", "busy", "not_sent", "unknown", "other_instance", "malformed"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Renewed is the answer to a Renew.
type Renewed struct {
	Worker     model.WorkerName
	SentAt     model.Time
	Verdict    Verdict
	Boot       int64 // as the worker tells it; zero if it does not
	Clock      model.WorkerTime
	Running    []RunStatus
	Ended      []RunEnd
	StatusOnly bool // as in the Renew
	Call       Call // as in the Renew
}

// StartAnswered is the answer to a Start.
type StartAnswered struct {
	Worker  model.WorkerName
	Task    jobs.TaskRef
	Run     int
	Verdict Verdict
	Call    Call // as in the Start
}

// StopAnswered is the answer to a Stop.
type StopAnswered struct {
	Worker  model.WorkerName
	Task    jobs.TaskRef
	Run     int
	Verdict Verdict
	Call    Call // as in the Stop
}

// Permit lets the tasks of one step start on one worker.
type Permit struct {
	Worker model.WorkerName
	Token  string
}

// EligibilityAnswered is the answer to an Ask.
type EligibilityAnswered struct {
	Instance   string
	Job        jobs.ID
	Step       int
	Occurrence int
	Queried    []model.WorkerName
	Eligible   []Permit
	ValidFor   time.Duration
	Failed     bool
}

// Appended is the answer to an Append.
type Appended struct {
	Seq    uint64
	SentAt model.Time
	Fenced bool // another owner has a higher epoch
	// Refused says that the store has certainly not done it and never will. Its
	// sequence number is free.
	Refused bool
}

// ClaimAnswered is the answer to a TryClaim.
type ClaimAnswered struct {
	Epoch  int64
	SentAt model.Time
	Won    bool
}

// OwnerLinkChanged says whether the connection to the owner works.
type OwnerLinkChanged struct {
	Up bool
	// OwnerExited says that another instance answers at the owner's address, so
	// that the owner's process has certainly ended.
	OwnerExited bool
}

// InstanceChanged says that an instance can or can't make eligibility calls.
type InstanceChanged struct {
	Name      string
	Up        bool
	Cores     float64 // processor that the instance has
	Bandwidth int64   // of its link, in bytes a second; zero if unknown
}

// Tick lets time pass. It comes every TickInterval.
type Tick struct {
	UnixMs int64
	// StoreAnsweredAt is when the store last answered any call of the instance.
	StoreAnsweredAt model.Time
}

// DrainStarted says that this instance is about to stop.
type DrainStarted struct{}

func (ConfigChanged) isEvent()       {}
func (JobAdded) isEvent()            {}
func (JobCancelled) isEvent()        {}
func (SubmitRequested) isEvent()     {}
func (CancelRequested) isEvent()     {}
func (JobExpired) isEvent()          {}
func (ProgressRead) isEvent()        {}
func (ClaimRead) isEvent()           {}
func (ProgressCaughtUp) isEvent()    {}
func (SubmissionsCaughtUp) isEvent() {}
func (WorkerRegistered) isEvent()    {}
func (WorkerUnregistered) isEvent()  {}
func (Renewed) isEvent()             {}
func (StartAnswered) isEvent()       {}
func (StopAnswered) isEvent()        {}
func (EligibilityAnswered) isEvent() {}
func (Appended) isEvent()            {}
func (ClaimAnswered) isEvent()       {}
func (OwnerLinkChanged) isEvent()    {}
func (InstanceChanged) isEvent()     {}
func (Tick) isEvent()                {}
func (DrainStarted) isEvent()        {}
