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
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
)

const (
	// minAgeBound is the least age of runs up to which a crash may be theirs: ages are
	// known to within the time that a start and the notice of the crash take.
	minAgeBound = 50 * time.Millisecond
	// ageFactor is how much older than the newest run another suspected run may be.
	ageFactor = 2
	// maxCountedAge is the age above which a run is no reason for the crash of its worker:
	// it would otherwise count against tasks that last whenever a worker crashes.
	maxCountedAge = 30 * time.Second
	// maxBlamedAge is the same for blaming a task, for which more evidence is needed.
	maxBlamedAge = 10 * time.Second
	// minProbation and maxProbation bound how long the worker of a suspected task starts
	// nothing else.
	minProbation = time.Second
	maxProbation = 5 * time.Second
	// apartDivisor bounds the workers that are kept for such tasks, as a share of all
	// workers, and apartLostDivisor the same with those that the tasks have crashed. There
	// may be minApart on any site.
	apartDivisor     = 4
	apartLostDivisor = 2
	minApart         = 2
	// maxAloneWait is how long a suspected task waits for such a worker. Most of many
	// suspected tasks are innocent.
	maxAloneWait = 2 * time.Second
	// maxTrialWait is how long a task that is never given up waits for a worker without other
	// suspected tasks. Tasks that last have to run again within 9 s of their loss, and up to
	// 6.3 s pass until it is certain.
	maxTrialWait = 2500 * time.Millisecond
	// minCrowd is the number of waiting suspected tasks above which none of them is tried apart
	// from others, on sites with fewer workers than that.
	minCrowd = 32
	// quietPeriod without a crash is enough to start tasks again beside others that only
	// ran on workers that crashed.
	quietPeriod = 5 * time.Second
	// minCommonCause is the number of workers that crash at the same moment above which
	// the cause is no task, and commonCauseDivisor the same as a share of all workers.
	minCommonCause     = 4
	commonCauseDivisor = 10
	// giveUpCrashes is the number of crashes after which a task is given up if it is
	// certainly to blame for one of them. maxLosses is the number after which it is given
	// up in any case; it includes runs that may have ended in a crash.
	giveUpCrashes = 2
	maxLosses     = 5
)

// Run is a run that was lost with its worker.
type Run struct {
	Job jobs.ID
	// Age is how long before the crash the run was started.
	Age time.Duration
	// Confirmed says that the run was certainly there when its worker crashed. Another one
	// may have never begun, or may have ended unseen.
	Confirmed bool
	// Suspect says that the task was suspected of an earlier crash.
	Suspect bool
}

// Suspects returns the indices of the runs that may have crashed their worker, and
// whether they are certainly to blame since all of them belong to one job. Runs whose task
// was suspected before are the most likely ones, so that beside them no others are.
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
	again := false
	for i, r := range runs {
		if r.Age <= bound {
			suspects = append(suspects, i)
			certain = certain && r.Job == runs[suspects[0]].Job
			again = again || r.Suspect
		}
	}
	if again && !certain {
		suspects = slices.DeleteFunc(suspects, func(i int) bool { return !runs[i].Suspect })
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

// Mode says how a task is to be started after workers have crashed under it.
type Mode int

// Modes of starting a task.
const (
	Normal Mode = iota
	// Beside: on any worker, where it is watched.
	Beside
	// Wait: it is to be started alone, when a worker may be kept for it.
	Wait
	// Watched: on a worker without other suspected tasks.
	Watched
	// Alone: on a worker that starts only tasks of the same job meanwhile.
	Alone
)

// TriedApart reports whether tasks that start in this mode need a worker without other
// suspected tasks.
func (m Mode) TriedApart() bool { return m > Beside }

// Circumstances are what the mode of a task depends on beside its crash record.
type Circumstances struct {
	SinceCrash time.Duration // since a worker crashed because of a task
	Waited     time.Duration // since the task was lost
	// MayStartAlone says that a further worker may be kept for the task.
	MayStartAlone bool
	// NeverGivenUp says that the task is started again however often it is lost.
	NeverGivenUp bool
	// Crowd says that too many suspected tasks wait to try them apart from others.
	Crowd bool
	// CrashedBesideOthers says that workers have crashed where tasks of the same step were
	// started beside others though they were suspected.
	CrashedBesideOthers bool
}

// Crowd reports whether so many suspected tasks wait that they are not tried apart from
// others. A worker that is kept for suspected tasks gets one batch of them and is then watched
// for a second or more, so that the last of thousands would wait for minutes, and each of them
// is almost certainly innocent. Spread over the workers, those that ran on a worker that
// crashes next are suspected again, an ever smaller part.
func Crowd(waiting, answering int) bool { return waiting > max(minCrowd, answering) }

// Doubtful reports whether a task may crash its next worker.
func Doubtful(r *jobs.CrashRecord, sinceCrash time.Duration) bool {
	return r.Suspect || r.Crashes >= giveUpCrashes && sinceCrash < quietPeriod
}

// ModeOf returns how a task is to be started. A suspected task is started alone, or watched
// if it has waited for that for too long. So is a task under which several workers have
// crashed, as long as workers crash: it shows whether the task crashes its workers late in
// its runs, and protects it if it does not. One of a crowd is started beside others, and so is
// one that is never given up and has waited for too long, unless workers crash then. Near the number of losses after
// which it is given up in any case, a task is only started alone, also after a quiet time,
// which there may be because just the tasks wait that crash their workers.
func ModeOf(r *jobs.CrashRecord, c Circumstances) Mode {
	lastChances := r.Crashes+r.Presumed >= maxLosses-2 && !c.NeverGivenUp
	switch {
	case !lastChances && !Doubtful(r, c.SinceCrash):
		return Normal
	case !lastChances && !c.CrashedBesideOthers && (c.Crowd || c.NeverGivenUp && c.Waited >= maxTrialWait):
		return Beside
	case c.MayStartAlone:
		return Alone
	case lastChances || c.Waited < maxAloneWait:
		return Wait
	}
	return Watched
}

// MayStartAlone reports whether a further worker may be kept for tasks of one job. Apart is
// the number of those that there are among the answering workers, and lost how many others
// were kept so and do not answer.
func MayStartAlone(apart, lost, answering int) bool {
	return apart < max(minApart, answering/apartDivisor) && apart+lost < max(minApart, (answering+lost)/apartLostDivisor)
}

// Probation returns how long the run of a task is watched until it has proved harmless, or
// keeps its worker. A task under which several workers have crashed keeps it until its run
// ends.
func Probation(r *jobs.CrashRecord, sinceCrash time.Duration) (d time.Duration, wholeRun bool) {
	d = min(max(minProbation, ageFactor*time.Duration(r.AgeMs)*time.Millisecond), maxProbation)
	return d, r.Crashes >= giveUpCrashes && sinceCrash < quietPeriod
}
