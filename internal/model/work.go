package model

import "time"

// Submission is a caller's request for work that has not been accepted yet.
type Submission struct {
	Service   string        `json:"service"`
	Operation string        `json:"operation,omitempty"` // run times are measured per service and operation
	Key       Key           `json:"key,omitempty"`       // required for non-idempotent services
	Body      []byte        `json:"body,omitempty"`
	Tasks     int           `json:"tasks,omitempty"`     // batch and gang; at least 1
	Resources *Resources    `json:"resources,omitempty"` // overrides the service's demand
	Deadline  time.Duration `json:"deadline,omitempty"`  // from receipt; zero: the service's default
}

// Outcome is the state or final result of a request, a job or a task.
type Outcome string

// The outcomes. OutcomeAccepted, OutcomeRunning and OutcomeUnknown are not final.
const (
	OutcomeAccepted Outcome = "accepted" // stored durably, not finished
	OutcomeRunning  Outcome = "running"
	OutcomeDone     Outcome = "done"    // ran, and the whole result is present
	OutcomeFailed   Outcome = "failed"  // ran and failed
	OutcomeNotRun   Outcome = "not_run" // certainly did not run and will not run
	OutcomeUnknown  Outcome = "unknown" // may have run; query the job id later
)

// Final reports whether the outcome can no longer change. OutcomeUnknown is not
// final, since the real outcome may become known later.
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

// TaskSpec is the description of a task that its worker receives. Reports contain
// it, so that a new owner can adopt a task of which it has no other record.
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
	// RequestHash allows an owner that knows a key only from a report to refuse
	// a different request with the same key.
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
	TaskStopped  TaskState = "stopped"   // stopped by the owner, the end of its lease or the run-time limit
	TaskNotKnown TaskState = "not_known" // the worker has no record of this id since its boot
)

// TaskStatus is the state of one task as its worker reports it.
type TaskStatus struct {
	Spec       TaskSpec      `json:"spec"`
	State      TaskState     `json:"state"`
	Result     []byte        `json:"result,omitempty"`
	Message    string        `json:"message,omitempty"` // why the task failed or was stopped
	Usage      Resources     `json:"usage"`             // measured, with a delay
	Ran        time.Duration `json:"ran"`               // run time so far
	Throttled  bool          `json:"throttled,omitempty"`
	Checkpoint []byte        `json:"checkpoint,omitempty"` // state to resume from
	// ResultDiscarded means that the worker has only the state: the owner had the
	// result removed, or the worker's retention time for results is over.
	ResultDiscarded bool `json:"result_gone,omitempty"`
}

// Report is a worker's answer to a watch call.
type Report struct {
	Worker   WorkerName `json:"worker"`
	Boot     string     `json:"boot"`  // changes when the worker restarts and loses its tasks
	Epoch    uint64     `json:"epoch"` // highest epoch the worker has seen
	Clock    WorkerTime `json:"clock"`
	Rack     string     `json:"rack"`
	Capacity Resources  `json:"capacity"`
	Usage    Resources  `json:"usage"` // measured, with a delay
	Leaving  bool       `json:"leaving,omitempty"`
	// Guarded means that the worker itself refuses stale epochs, late starts and
	// starts above its capacity. For other workers only the owner prevents these.
	Guarded bool         `json:"guarded,omitempty"`
	Seq     uint64       `json:"seq"`             // After of the next watch call
	Full    bool         `json:"full,omitempty"`  // Tasks contains every task that the worker knows
	Tasks   []TaskStatus `json:"tasks,omitempty"` // changed since After, or all if Full
}

// VMKind distinguishes the VMs of instances from workers.
type VMKind string

// The kinds of VM in the platform's VM list.
const (
	VMEntry  VMKind = "entry"
	VMWorker VMKind = "worker"
)

// VM is one entry of the platform's VM list, which lags behind the real state.
type VM struct {
	Name       string     `json:"name"`
	Kind       VMKind     `json:"kind"`
	DataCentre DataCentre `json:"data_centre"`
	Address    string     `json:"address"` // IP:port
	Rack       string     `json:"rack,omitempty"`
	Leaving    bool       `json:"leaving,omitempty"`
}
