package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/listing"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Event is an input of Step.
type Event interface{ isEvent() }

// ConfigChanged reports a newer configuration.
type ConfigChanged struct{ Config *jobs.Config }

// JobAdded reports a submission that was read from the store.
type JobAdded struct {
	Job       jobs.Job
	Partition int // of the submissions that holds it
}

// JobCancelled reports a cancellation that was read from the store.
type JobCancelled struct {
	ID           jobs.ID
	Cancellation jobs.Cancellation
	Partition    int // of the submissions that holds it
}

// CancellationRemoved reports that the entry of a cancellation was removed, which an owner has
// caused.
type CancellationRemoved struct {
	ID        jobs.ID
	Partition int // of the submissions that held it
}

// SubmitRequested asks the owner to store a submission. It is answered by
// RequestAnswered.
type SubmitRequested struct {
	RequestID uint64
	Job       jobs.Job
	Value     []byte // the encoded job to be stored
}

// CancelRequested asks the owner to store a cancellation, also of a job that it doesn't know:
// its submission may be in doubt. It is answered by RequestAnswered.
type CancelRequested struct {
	RequestID    uint64
	ID           jobs.ID
	Cancellation jobs.Cancellation
}

// JobExpired reports that a submission was removed after its retention.
type JobExpired struct {
	ID        jobs.ID
	Partition int // of the submissions that held it
}

// EntryDeleted is the answer to a DeleteEntry.
type EntryDeleted struct {
	Job       jobs.ID
	Partition int
	Key       string
	Deleted   bool // the entry is certainly not there any more
}

// ProgressRead reports an entry of the progress stream, which was written by an owner.
type ProgressRead struct {
	ID       jobs.ID
	Part     int           // of the job's progress; see jobs.ProgressPartKey
	Progress jobs.Progress // without groups for a part that was removed
}

// QueueRead reports the entry of a queue, which is stored for its jobs.
type QueueRead struct {
	Name      string
	Queue     *jobs.Queue // nil if the entry was removed
	Partition int         // of the submissions, or ProgressStream
}

// ClaimRead reports a claim that was read from the progress stream.
type ClaimRead struct{ Claim jobs.Claim }

// UnreachableRead reports the newest list of workers that don't answer the owner. It is empty if
// the list was removed.
type UnreachableRead struct{ Workers jobs.UnreachableWorkers }

// ProgressCaughtUp reports that a read of the progress stream reached its end.
type ProgressCaughtUp struct {
	End    int64
	SentAt model.Time // when the read was sent
	// Records is the number of records that the read returned.
	Records int
}

// SubmissionsCaughtUp reports that reads of all partitions of the submissions reached
// their ends. SentAt is when the first of these reads was sent.
type SubmissionsCaughtUp struct{ SentAt model.Time }

// WorkerRegistered reports a worker's entry in the directory.
type WorkerRegistered struct{ Info jobs.WorkerInfo }

// WorkerUnregistered reports that a worker's entry was removed from the directory.
type WorkerUnregistered struct{ Name model.WorkerName }

// RunStatus is one run in a worker's list of runs.
type RunStatus struct {
	Task       jobs.TaskRef
	Run        int
	Checkpoint string
	Percent    int // of its work that is done
}

// RunEnd is an ended run, which the worker lists until it is acknowledged.
type RunEnd struct {
	Seq        int64 // numbers the ended runs since the worker's start, from 1
	Task       jobs.TaskRef
	Run        int
	Outcome    jobs.Outcome
	Checkpoint string
}

// Verdict is the outcome of a call to a worker.
type Verdict int

// Outcomes of calls to workers.
const (
	Accepted      Verdict = iota
	Superseded            // the worker has seen a higher epoch
	TooLate               // the lease given with the start has expired at the worker
	NoRoom                // the worker lacks the resources
	OldRun                // the worker has already ended a run with this or a higher number
	NoPermit              // the permit is missing or no longer valid
	Busy                  // rejected by an unhealthy worker, which did nothing
	NotSent               // the worker has certainly not received the call
	Unknown               // no answer; the call may have been, or may still be, carried out
	OtherInstance         // the worker was restarted since; nothing was done
	Malformed             // the worker rejected the call as malformed
)

var verdictNames = [...]string{"accepted", "superseded", "too_late", "no_room", "old_run", "no_permit", "busy", "not_sent", "unknown", "other_instance", "malformed"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Renewed is the answer to a Renew.
type Renewed struct {
	Worker     model.WorkerName
	SentAt     model.Time
	Verdict    Verdict
	Boot       int64 // number of the worker's start as it reports it; zero if it does not
	Clock      model.WorkerTime
	Running    []RunStatus          // all runs that have not ended
	Ended      listing.List[RunEnd] // ended runs that are not acknowledged, the oldest first
	StatusOnly bool                 // as in the Renew
	Call       Call                 // as in the Renew
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

// EligibilityAnswered is the answer to a QueryEligibility.
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
	// Refused means that the append has certainly not been stored and never will be. Its
	// sequence number can be used again.
	Refused bool
}

// ClaimAnswered is the answer to a TryClaim.
type ClaimAnswered struct {
	Epoch  int64
	SentAt model.Time // when the first attempt was sent
	Won    bool
}

// OwnerLinkChanged reports whether the connection to the owner works.
type OwnerLinkChanged struct {
	Up bool
	// OwnerExited means that another instance answers at the owner's address, so that
	// the owner's process has certainly ended.
	OwnerExited bool
}

// InstanceChanged reports whether an instance can make eligibility calls.
type InstanceChanged struct {
	Name      string
	Up        bool
	Cores     float64 // CPU cores of the instance
	Bandwidth int64   // of its link in bytes per second; zero if unknown
}

// Tick reports the passage of time. It is sent every TickInterval.
type Tick struct {
	UnixMs int64
	// StoreAnsweredAt is when the store last answered any call of the instance.
	StoreAnsweredAt model.Time
}

// DrainStarted reports that this instance is about to stop.
type DrainStarted struct{}

func (ConfigChanged) isEvent()       {}
func (JobAdded) isEvent()            {}
func (JobCancelled) isEvent()        {}
func (SubmitRequested) isEvent()     {}
func (CancelRequested) isEvent()     {}
func (CancellationRemoved) isEvent() {}
func (JobExpired) isEvent()          {}
func (EntryDeleted) isEvent()        {}
func (ProgressRead) isEvent()        {}
func (QueueRead) isEvent()           {}
func (ClaimRead) isEvent()           {}
func (UnreachableRead) isEvent()     {}
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
