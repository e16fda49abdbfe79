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
	Job  jobs.Job
	Part int // of the submissions that has it
}

// JobCancelled is a cancellation that the store has.
type JobCancelled struct {
	ID   jobs.ID
	Part int // of the submissions that has it
}

// JobOffered is a submission that the owner is asked to store. It is answered
// by OfferSettled.
type JobOffered struct {
	Ticket uint64
	Job    jobs.Job
	Value  []byte // the stored form of the job
}

// CancelOffered is a cancellation that the owner is asked to store. It is
// answered by OfferSettled.
type CancelOffered struct {
	Ticket uint64
	ID     jobs.ID
}

// JobDropped is a job whose entries were removed after their retention.
type JobDropped struct{ ID jobs.ID }

// ProgressRead is an entry of the progress stream, which an owner wrote.
type ProgressRead struct {
	ID       jobs.ID
	Progress jobs.Progress
}

// ClaimRead is a claim in the progress stream.
type ClaimRead struct{ Claim jobs.Claim }

// StreamRead says that a read of the progress stream reached its end.
type StreamRead struct {
	End    int64
	SentAt model.Time // when the read was sent
	// Records is the number of records it returned.
	Records int
}

// SubmissionsRead says that reads of all parts of the submissions reached
// their ends. SentAt is when the first of these reads was sent.
type SubmissionsRead struct{ SentAt model.Time }

// WorkerListed is a worker's entry in the directory.
type WorkerListed struct{ Info jobs.WorkerInfo }

// WorkerUnlisted says that a worker's entry is gone.
type WorkerUnlisted struct{ Name model.WorkerName }

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
	Worker  model.WorkerName
	SentAt  model.Time
	Verdict Verdict
	Boot    int64 // as the worker tells it; zero if it does not
	Clock   model.WorkerTime
	Running []RunStatus
	Ended   []RunEnd
	Peek    bool // as in the Renew
	Call    Call // as in the Renew
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
	Advisor  string
	Job      jobs.ID
	Step     int
	Occur    int
	Asked    []model.WorkerName
	Eligible []Permit
	ValidFor time.Duration
	Failed   bool
}

// Appended is the answer to an Append.
type Appended struct {
	Commit uint64
	SentAt model.Time
	Fenced bool // another owner has a higher epoch
	// Refused says that the store has certainly not done it and never will. Its
	// sequence number is free.
	Refused bool
}

// Claimed is the answer to a TryClaim.
type Claimed struct {
	Epoch  int64
	SentAt model.Time
	Won    bool
}

// LinkChanged says whether the connection to the owner works.
type LinkChanged struct {
	Up bool
	// OwnerGone says that another instance answers at the owner's address, so
	// that the owner's process has certainly ended.
	OwnerGone bool
}

// AdvisorChanged says that an instance can or can't make eligibility calls.
type AdvisorChanged struct {
	Name      string
	Up        bool
	Cores     float64 // processor that the instance has
	Bandwidth int64   // of its link, in bytes a second; zero if unknown
}

// Tick lets time pass. It comes every TickInterval.
type Tick struct {
	UnixMs int64
	// StoreAnswered is when the store last answered any call of the instance.
	StoreAnswered model.Time
}

// DrainStarted says that this instance is about to stop.
type DrainStarted struct{}

func (ConfigChanged) isEvent()       {}
func (JobAdded) isEvent()            {}
func (JobCancelled) isEvent()        {}
func (JobOffered) isEvent()          {}
func (CancelOffered) isEvent()       {}
func (JobDropped) isEvent()          {}
func (ProgressRead) isEvent()        {}
func (ClaimRead) isEvent()           {}
func (StreamRead) isEvent()          {}
func (SubmissionsRead) isEvent()     {}
func (WorkerListed) isEvent()        {}
func (WorkerUnlisted) isEvent()      {}
func (Renewed) isEvent()             {}
func (StartAnswered) isEvent()       {}
func (StopAnswered) isEvent()        {}
func (EligibilityAnswered) isEvent() {}
func (Appended) isEvent()            {}
func (Claimed) isEvent()             {}
func (LinkChanged) isEvent()         {}
func (AdvisorChanged) isEvent()      {}
func (Tick) isEvent()                {}
func (DrainStarted) isEvent()        {}
