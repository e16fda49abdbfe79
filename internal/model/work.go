package model

import "time"

// Submission is a caller's request for work, before it is accepted.
type Submission struct {
	Service   string        `json:"service"`
	Operation string        `json:"operation,omitempty"` // run times are observed per service and operation
	Key       Key           `json:"key,omitempty"`       // required for non-idempotent services
	Body      []byte        `json:"body,omitempty"`
	Tasks     int           `json:"tasks,omitempty"`     // batch and gang; at least 1
	Resources *Resources    `json:"resources,omitempty"` // overrides the service's demand
	Deadline  time.Duration `json:"deadline,omitempty"`  // from receipt; zero: the service's default
}

// Outcome is what happened to a request, a job or a task.
type Outcome string

// The outcomes. Accepted and Running are not final.
const (
	OutcomeAccepted Outcome = "accepted" // durable, not finished
	OutcomeRunning  Outcome = "running"
	OutcomeDone     Outcome = "done"    // ran, the whole result is present
	OutcomeFailed   Outcome = "failed"  // ran and failed
	OutcomeNotRun   Outcome = "not_run" // certainly did not run and will not
	OutcomeUnknown  Outcome = "unknown" // may have run; ask again with the job id
)

// Final reports whether the outcome can't change any more. Unknown is not
// final, since it may be settled later.
func (o Outcome) Final() bool {
	return o == OutcomeDone || o == OutcomeFailed || o == OutcomeNotRun
}

// Answer is the reply to a submission, a job query or a cancellation.
type Answer struct {
	Job     JobID       `json:"job,omitempty"`
	Outcome Outcome     `json:"outcome"`
	Code    Code        `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
	Result  []byte      `json:"result,omitempty"`
	Tasks   *TaskCounts `json:"tasks,omitempty"` // batch and gang
	// Forecast is the expected time until a batch job is finished; zero if unknown.
	Forecast time.Duration `json:"forecast,omitempty"`
}

// TaskCounts is the progress of a job.
type TaskCounts struct {
	Total   int `json:"total"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Done    int `json:"done"`
	Failed  int `json:"failed"`
}

// TaskSpec is everything that a worker is told about a task. Reports echo it,
// so that a new owner can adopt a task that it has no other record of.
type TaskSpec struct {
	ID        TaskID `json:"id"`
	Job       JobID  `json:"job"`
	Index     int    `json:"index"`
	Attempt   int    `json:"attempt"`
	Service   string `json:"service"`
	Operation string `json:"operation,omitempty"`
	Class     Class  `json:"class"`
	Team      string `json:"team,omitempty"`
	Key       Key    `json:"key,omitempty"`
	// RequestHash lets an owner that knows a key only from a report refuse
	// another request under it.
	RequestHash uint64        `json:"request_hash,omitempty"`
	Resources   Resources     `json:"resources"`
	MaxRun      time.Duration `json:"max_run,omitempty"` // zero: no limit
}

// TaskState is the state of a task at its worker.
type TaskState string

// The states of a task at its worker.
const (
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"   // stopped by order, lease end or run-time limit
	TaskNotKnown TaskState = "not_known" // the worker has no trace of this id since its boot
)

// TaskStatus is a worker's word about one task.
type TaskStatus struct {
	Spec       TaskSpec      `json:"spec"`
	State      TaskState     `json:"state"`
	Result     []byte        `json:"result,omitempty"`
	Message    string        `json:"message,omitempty"` // why it failed or was stopped
	Usage      Resources     `json:"usage"`             // observed, lagging
	Ran        time.Duration `json:"ran"`               // run time so far
	Throttled  bool          `json:"throttled,omitempty"`
	Checkpoint []byte        `json:"checkpoint,omitempty"` // state to resume from
	// ResultDiscarded says that the worker knows only the state: it was told to
	// forget the result, or has kept it for as long as it does.
	ResultDiscarded bool `json:"result_gone,omitempty"`
}

// Report is a worker's answer to a watch call.
type Report struct {
	Worker   WorkerName `json:"worker"`
	Boot     string     `json:"boot"`  // changes when the worker restarts and forgets its tasks
	Epoch    uint64     `json:"epoch"` // highest epoch the worker has seen
	Clock    WorkerTime `json:"clock"`
	Rack     string     `json:"rack"`
	Capacity Resources  `json:"capacity"`
	Usage    Resources  `json:"usage"` // observed, lagging
	Leaving  bool       `json:"leaving,omitempty"`
	// Guarded says that the worker itself refuses stale epochs, late starts and
	// starts above its capacity. One that does not relies on the owner alone.
	Guarded bool         `json:"guarded,omitempty"`
	Seq     uint64       `json:"seq"`             // pass as After in the next watch
	Full    bool         `json:"full,omitempty"`  // Tasks holds every task the worker knows
	Tasks   []TaskStatus `json:"tasks,omitempty"` // changed since After, or all if Full
}

// VMKind tells an instance's VM from a worker.
type VMKind string

// The kinds of VM in the platform's list.
const (
	VMEntry  VMKind = "entry"
	VMWorker VMKind = "worker"
)

// VM is one entry of the platform's lagging list.
type VM struct {
	Name       string     `json:"name"`
	Kind       VMKind     `json:"kind"`
	DataCentre DataCentre `json:"data_centre"`
	Address    string     `json:"address"` // IP:port
	Rack       string     `json:"rack,omitempty"`
	Leaving    bool       `json:"leaving,omitempty"`
}
