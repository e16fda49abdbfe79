package model

// Code is a machine-readable reason. Its values are stable, and callers may depend
// on them.
type Code string

// IsRoutingFailure reports whether a code says only that an instance could not
// pass a request on to the home data centre. Such a code says nothing about the
// state of a key: an earlier attempt through another instance may have run.
func IsRoutingFailure(c Code) bool {
	switch c {
	case CodeNotReady, CodeDraining, CodeNoOwner, CodeDataCentreUnreachable, CodeOverloaded:
		return true
	}
	return false
}

// Codes of answers and errors.
const (
	CodeNone                  Code = ""
	CodeBadRequest            Code = "bad_request"       // malformed input
	CodeBodyTooLarge          Code = "body_too_large"    // body larger than the service's limit
	CodeUnknownService        Code = "unknown_service"   // not in the current service text
	CodeKeyRequired           Code = "key_required"      // non-idempotent work without a key
	CodeKeyReused             Code = "key_reused"        // same key, different request
	CodeNeverFits             Code = "never_fits"        // no known worker has the capacity for the demand
	CodeQuotaExceeded         Code = "quota_exceeded"    // the demand alone exceeds the team's quota
	CodeNotReady              Code = "not_ready"         // the instance has no service text yet
	CodeDraining              Code = "draining"          // the instance accepts no new work
	CodeOverloaded            Code = "overloaded"        // the predicted wait exceeds the deadline
	CodeQueueFull             Code = "queue_full"        // a bounded queue is full
	CodeDeadline              Code = "deadline_exceeded" // the deadline passed
	CodeNoOwner               Code = "no_owner"          // the data centre currently has no owner
	CodeDataCentreUnreachable Code = "home_unreachable"  // the key's home data centre can't be reached
	CodeOwnerRecovering       Code = "home_settling"     // a new owner doesn't know yet whether the key has run
	CodeInDoubt               Code = "in_doubt"          // the outcome of the start is not known yet
	CodeLogUnavailable        Code = "log_unavailable"   // the work could not be made durable
	CodeCancelled             Code = "cancelled"
	CodeJobNotFound           Code = "job_not_found"
	CodeJobFault              Code = "job_fault"        // the job failed on several healthy workers
	CodeTaskFailed            Code = "task_failed"      // the task reported a failure
	CodeTaskStopped           Code = "task_stopped"     // stopped at its worker
	CodeResultLost            Code = "result_lost"      // it ran, but its result is no longer stored anywhere
	CodeWorkerLost            Code = "worker_lost"      // the worker died or restarted
	CodeRetriesSpent          Code = "retries_spent"    // no attempts or no retry budget left
	CodeDependencyDown        Code = "dependency_down"  // a dependency is not running
	CodeVersionConflict       Code = "version_conflict" // another publish was accepted first
	CodeTextInvalid           Code = "text_invalid"
	CodeDataCentresChanged    Code = "homes_changed" // a publish must not change data_centres
	CodeHopLimit              Code = "hop_limit"     // forwarded more often than allowed
	CodeStaleEpoch            Code = "stale_epoch"   // the worker has seen a higher epoch
	CodeTooLate               Code = "too_late"      // a start arrived after its not-after time
	CodeNoCapacity            Code = "no_capacity"   // the worker lacks the capacity for the task
	CodeLeaving               Code = "leaving"       // the worker is leaving
	CodeInternal              Code = "internal"
)
