// Package blame decides which tasks are to blame for the crash of a worker, and when a
// task that crashes its workers is given up.
//
// It answers a load in which a few tasks crash each worker that starts them, among sound
// tasks that are lost with these workers. A crash alone does not tell which of the
// worker's runs caused it. Tasks that crash their worker do so early in their run, so the
// runs that began last are suspected. A suspected task is started again on a worker that
// starts nothing else meanwhile; if that worker crashes as well, the task is to blame.
package blame

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

const (
	// minAgeBound is the least age of runs up to which a crash may be theirs: ages are
	// known to within the time that a start and the notice of the crash take.
	minAgeBound = 100 * time.Millisecond
	// ageFactor is how much older than the newest run another suspected run may be.
	ageFactor = 2
	// maxCountedAge is the age above which a run is no reason for the crash of its worker:
	// it would otherwise count against tasks that last whenever a worker crashes.
	maxCountedAge = 30 * time.Second
	// maxBlamedAge is the same for blaming a task, for which more evidence is needed.
	maxBlamedAge = 10 * time.Second
	// minProbation is how long the worker of a suspected task starts nothing else.
	minProbation = time.Second
	// minCommonCause is the number of workers that crash at the same moment above which
	// the cause is no task, and commonCauseDivisor the same as a share of all workers.
	minCommonCause     = 4
	commonCauseDivisor = 10
	// giveUpCrashes is the number of crashes after which a task is given up if it is
	// certainly to blame for one of them. maxLosses is the number after which it is given
	// up in any case; it includes runs that may have ended in a crash.
	giveUpCrashes = 2
	maxLosses     = 4
)

// Run is a run that was lost with its worker.
type Run struct {
	Job jobs.ID
	// Age is how long before the crash the run was started.
	Age time.Duration
	// Confirmed says that the run was certainly there when its worker crashed. Another one
	// may have never begun, or may have ended unseen.
	Confirmed bool
}

// Suspects returns the indices of the runs that may have crashed their worker, and
// whether they are certainly to blame since all of them belong to one job.
func Suspects(runs []Run) (suspects []int, certain bool) {
	newest, confirmed := time.Duration(-1), false
	for _, r := range runs {
		// A start may have been sent after the crash, so an unconfirmed run can't show that
		// an older one is innocent.
		if r.Confirmed && !confirmed || r.Confirmed == confirmed && (newest < 0 || r.Age < newest) {
			newest, confirmed = r.Age, r.Confirmed
		}
	}
	if newest < 0 || newest > maxBlamedAge {
		return nil, false
	}
	certain = true
	bound := max(minAgeBound, ageFactor*newest)
	for i, r := range runs {
		if r.Age <= bound {
			suspects = append(suspects, i)
			certain = certain && r.Job == runs[suspects[0]].Job
		}
	}
	return suspects, certain
}

// Counts reports whether the loss of a run of this age counts against its task.
func Counts(age time.Duration) bool { return age <= maxCountedAge }

// CommonCause reports whether so many workers crashed at the same moment that the cause
// is none of their tasks.
func CommonCause(crashed, workers int) bool {
	return crashed >= max(minCommonCause, workers/commonCauseDivisor)
}

// GiveUp reports whether a task is not to be started again.
func GiveUp(r *jobs.CrashRecord) bool {
	return r.Crashes >= giveUpCrashes && r.Blamed > 0 || r.Crashes+r.Presumed >= maxLosses
}

// Suspected reports whether a task is to be started on a worker that starts nothing else
// meanwhile.
func Suspected(r *jobs.CrashRecord) bool { return r.Suspect || r.Crashes >= giveUpCrashes }

// Probation returns how long the worker of a suspected task starts nothing else. A task
// under which several workers have crashed gets the worker for itself until its run ends.
func Probation(r *jobs.CrashRecord) (d time.Duration, wholeRun bool) {
	return max(minProbation, ageFactor*time.Duration(r.AgeMs)*time.Millisecond), r.Crashes >= giveUpCrashes
}
