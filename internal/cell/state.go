package cell

import (
	"cmp"
	"time"

	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/fit"
	"github.com/gentianpick/gentianpick/internal/policy/headroom"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
)

// job is one job of the cell.
type job struct {
	id          jobs.ID
	queue       string
	queueConfig *jobs.Queue  // of the queue in the configuration below
	configured  *jobs.Config // that queueConfig was taken from
	payload     string
	schedule    jobs.Schedule
	steps       []jobs.Step
	groups      []*group // ordered by occurrence, then by step
	graph       *stepGraph
	occurrences []occurrence
	submittedMs int64 // Unix milliseconds, by the receiving VM's clock
	arrived     model.Time

	state          jobs.State // as decided by this instance
	storedState    jobs.State // in the store; this is what callers see
	cancelled      bool
	started        bool
	finishedMs     int64  // Unix milliseconds at which the job reached a final state
	finishedGroups int    // of all occurrences
	dueOccurrences int    // number of occurrences whose scheduled time has been reached
	dueIndex       int    // position in the cell's dueJobs, or notDelayed
	sizeTenth      int    // rank by size among the recent jobs of its queue, from 1 to jobsize.Tenths; zero if unknown
	dirty          []bool // by part of the progress: has changes that are in no append yet
	dirtyCount     int    // of the dirty parts
	parts          int    // of the progress that may be in the store; at least part 0 is
	tasksPerPart   int
	stored         storedProgress // that was not applied yet

	// partitions of the submissions hold the job, and cancelPartitions its
	// cancellation; ProgressStream stands for the progress stream.
	partitions       []int
	cancelPartitions []int
	removals         int      // DeleteEntry effects in flight
	progressRemoved  bool     // from the store, as this instance has read
	submitRequests   []uint64 // IDs of the requests that wait for the job to be stored
	unstored         bool     // submitted, but in no stream yet
}

// earlyCancel is a cancellation of a job whose submission was not read.
type earlyCancel struct {
	jobs.Cancellation
	partitions []int // that hold it
}

// ProgressStream stands for the progress stream in place of a partition of the
// submissions.
const ProgressStream = -1

// group holds the tasks of one step of one occurrence of a job.
type group struct {
	job        *job
	occurrence int
	stepIndex  int
	step       *jobs.Step
	tasks      []task
	firstTask  int                      // number of the tasks of the groups before it
	avoided    map[model.WorkerName]int // workers at which tasks failed last, with their numbers
	hasCrashed bool                     // a task has a crash record
	crowd      bool                     // too many of its waiting tasks are suspected to try them apart
	// besideCrashes are the crashes of workers with suspected tasks of the group that were
	// started beside others, the last one at besideCrashAt.
	besideCrashes int
	besideCrashAt model.Time
	// unfinishedBefore is the number of steps that it waits for; one that is named twice
	// counts twice.
	unfinishedBefore int
	pending          int // number of tasks that wait for a placement
	boundTasks       int // those of them that may start at one worker only
	doneCount        int
	readyAt          model.Time // since when its tasks may start; zero before
	waitsSince       model.Time // since when the first of its pending tasks has waited
	// attemptedAt is when the last attempt to place tasks found no room; zero if it placed
	// some, or if there are new permits.
	attemptedAt model.Time
	reserved    []*worker // for a gang, in its last attempt
	queued      bool      // is in the cell's readyGroups

	// Of a gang; its members share these values.
	run              int
	failures         int
	mostFailures     int // of a task, or of the gang
	lastFailedRun    int
	checkpoint       string
	stoppedRun       int // newest run of which all members were stopped
	activePlacements int // placements that are not over

	permits         []permit      // ordered by worker index; empty until the first answer
	eligible        []eligibility // answers of the eligibility service, by worker index
	queriesInFlight int           // eligibility calls in flight
	failedQueries   int           // consecutive eligibility calls without an answer
	queriedAt       model.Time
	lookedAt        model.Time // when the workers to query were last looked for
	callsWanted     int        // eligibility calls that the group waits to start together
	rank            int64      // order among ready groups; the lowest is placed first
	waitLoggedAt    model.Time // when a log line last told why it waits
	// onlyWithoutHeadroom says that it finds no room beside that for urgent work, as of
	// headroomCheckedAt.
	onlyWithoutHeadroom bool
	headroomCheckedAt   model.Time
}

// eligibility says whether a worker may run the tasks of a group.
type eligibility uint8

const (
	eligibleUnknown eligibility = iota
	eligibleYes
	eligibleNo
)

// permit lets the tasks of a group start on a worker. A group has permits for a few of
// the workers only, so that its size does not grow with the site.
type permit struct {
	worker    *worker
	token     string
	boot      int64 // start of the worker that it is valid for
	expiresAt model.Time
}

// taskState is the state of one task.
type taskState uint8

const (
	taskPending taskState = iota
	taskPlaced            // has a placement
	taskDone
)

// task is one task of a group.
type task struct {
	state         taskState
	run           int // highest run number used
	failures      int
	lastFailedRun int
	placement     *placement
	checkpoint    string
	lostRuns      int               // runs that were lost with their worker
	loss          *workerLoss       // that the task waits after; nil once it runs again
	waitsSince    model.Time        // since when it waits after its worker has crashed
	crash         *jobs.CrashRecord // nil as long as no worker has crashed under it
	lateStart     *lateStart        // newest that may still be carried out; may be over
	bound         bool              // is in the cell's boundTasks
	avoidWorker   model.WorkerName  // worker at which the task failed last
}

// phase is the state of a placement.
type phase uint8

const (
	phasePlanned   phase = iota // not in the store yet
	phaseStarting               // the start was sent
	phaseRunning                // the worker has confirmed it
	phaseStopping               // a stop was sent or is due
	phaseInherited              // from an earlier owner; the worker has not listed its runs yet
	phaseOver                   // its resources were released
)

var phaseNames = [...]string{"planned", "starting", "running", "stopping", "inherited", "over"}

func (p phase) String() string { return phaseNames[p] }

// placement is one run of a task at a worker. It holds resources until the worker
// reports that the run is over, or the worker's lease has expired.
type placement struct {
	group  *group // nil for a run that this owner did not place
	ref    jobs.TaskRef
	worker *worker
	run    int
	need   model.Resources
	phase  phase
	// sizeUnknown says that need is unknown, since the job has finished.
	sizeUnknown bool

	plannedAt       model.Time
	sentAt          model.Time
	unansweredAt    model.Time // when its start was found to have no answer; zero if it was not
	storedAt        model.Time // when it was in the store
	confirmedAt     model.Time // when the worker last confirmed the run or a stop of it
	stopSentAt      model.Time
	stopInFlight    bool // a stop call is in flight
	unansweredStops int  // stops without an answer
	startBytes      int  // size of its start; zero once the start was sent
	stopAccepted    bool // the worker has accepted a stop call
	stopReason      string

	percent          int
	percentAtStart   int        // percent when the run was first listed, as of a resumed one
	progressAt       model.Time // when percent last increased
	checkpoint       string
	unlistedRenewals int  // complete answers since its confirmation that did not list it
	unlisted         bool // the newest answer did not list it
	began            bool // the worker has confirmed the run
	startResolved    bool // the worker has answered its start, or listed the run
	late             bool // its start is among the worker's lateStarts
	crashCounted     bool // in the crash record of its task
	watched          bool // of a suspected task, and has not proved harmless yet
	beside           bool // was started beside others though its task was suspected
	presumed         bool // counted as a presumed crash of its worker
	sound            bool // of a task that lasts, and has run long enough to count as a success
}

// worker is one worker of the cell.
type worker struct {
	index          int // position in slices that are indexed by worker
	info           jobs.WorkerInfo
	registered     bool
	unregisteredAt model.Time // when its directory entry was removed

	boot          int64
	epochAccepted bool // the worker has accepted this owner's epoch
	clock         model.WorkerTime
	clockAt       model.Time
	// leaseEnd is when all runs of the worker have certainly ended, unless the lease is
	// renewed.
	leaseEnd model.Time
	listed   bool // in a list of unreachable workers that is, or may be, in the store

	used          model.Resources
	usedByLasting model.Resources // part of used
	// claimed is the CPU that groups will probably use once their eligibility calls are
	// answered, in thousandths of a core.
	claimed     int64
	counted     bool           // in maxFree and in the room for urgent tasks
	room        *headroom.Site // of its service; see roomOf
	roomFor     string         // service that room is of
	runs        map[jobs.TaskRef]*placement
	foreignRuns int // runs that this owner did not place
	// runsOfUnknownSize are those of them that take an unknown part of the room.
	runsOfUnknownSize int
	lastingRuns       int // of tasks that last
	// lostLasting is how many of them the worker lost when it restarted last.
	lostLasting int
	restartedAt model.Time

	loss            *workerLoss  // newest
	lateStarts      []*lateStart // starts without an answer that may still be carried out
	unbarredStarts  int          // those of them that its process may carry out
	partialLoggedAt model.Time   // when a log line last told that it lists a part of its ended runs
	seenEndSeq      int64        // newest ended run that was handled
	storedEndSeq    int64        // newest ended run that is in the store
	renewInFlight   bool
	retryInFlight   bool // the renewal in flight follows a failed one
	renewSentAt     model.Time
	renewTimeout    time.Duration // of the renewal in flight
	renewFailedAt   model.Time
	unreachableAt   model.Time // first renewal without an answer since the last one with an answer
	failedRenewals  int        // consecutive renewals without an answer
	replaced        bool       // another worker has answered at its address
	// disconnected means that the first renewal without an answer failed before its timeout,
	// as when the worker's process ends, and not when it is cut off.
	disconnected bool
	// lapsed are runs that were lost with the worker's lease, while it was not known
	// whether it had crashed.
	lapsed []*placement
	// probation is a watched run beside which the worker starts only tasks of its job.
	probation  *placement
	answeredAt model.Time

	// pausedUntil is when the worker may get new tasks again after it rejected a start or
	// was found slow.
	pausedUntil    model.Time
	nextSpeedCheck model.Time // earliest time of the next check of its speed
	statusInFlight bool       // a StatusOnly renewal is in flight
	quarantined    bool       // fails all tasks; follows the health tracker
	probeAllowed   bool       // may get one probe task although it is quarantined
	probeDueAt     model.Time // since when probeAllowed is set
	probe          *placement // newest one in quarantine
	// suspectProbedAt is when a task of a job that has failed at the worker was last its probe.
	suspectProbedAt model.Time
}

// free returns the free resources of a worker.
func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used) }

// attainable returns the resources that are free once all tasks of the worker have ended that do
// not last.
func (w *worker) attainable() model.Resources { return w.info.Capacity.Sub(w.usedByLasting) }

// unclaimed returns the free resources less those that groups with an eligibility call in
// flight will probably use.
func (w *worker) unclaimed() model.Resources {
	free := w.free()
	free.MilliCPU -= w.claimed
	return free
}

// overCapacity reports whether a worker holds more than its capacity, which may shrink
// while it runs.
func (w *worker) overCapacity() bool {
	free := w.free()
	return free.MilliCPU < 0 || free.MemoryMB < 0 || free.Accelerators < 0
}

// usable reports whether a worker may get new tasks: its state and its room are known.
func (w *worker) usable(now model.Time) bool {
	return w.registered && !w.info.Draining && w.epochAccepted && w.failedRenewals == 0 && now >= w.pausedUntil && w.probation == nil && w.entryCurrent() && w.unbarredStarts == 0 && w.runsOfUnknownSize == 0 && !w.listed
}

// entryCurrent reports whether the directory entry and the newest answer of a worker are of
// the same process. One that restarts under its name may have other labels, another service
// and another capacity.
func (w *worker) entryCurrent() bool {
	return w.boot == 0 || w.info.Boot == 0 || w.boot == w.info.Boot
}

// role is the instance's role in the cell.
type role uint8

const (
	roleFollower role = iota
	roleClaiming
	roleOwner
)

// Cell is one instance's state of a cell. It is not safe for concurrent use.
type Cell struct {
	cfg     Config
	now     model.Time
	unixMs  int64
	effects []Effect

	config        *jobs.Config
	removedQueues map[string]*jobs.Queue // that configurations have removed while they had unfinished jobs
	storedQueues  map[string]*jobs.Queue // in the progress stream, or in the next append
	changedQueues []*jobs.Queue          // of those, in no append yet
	// submittedQueues are in partitions of the submissions.
	submittedQueues map[string]*submittedQueue
	queuesSweptAt   model.Time
	jobs            map[jobs.ID]*job
	earlyProgress   map[jobs.ID]storedProgress // progress of jobs whose submission was not read yet
	earlyCancels    map[jobs.ID]*earlyCancel   // cancellations whose submission was not read yet, and may never be
	workers         map[model.WorkerName]*worker
	workerList      []*worker // all workers, sorted by name
	health          *health.Tracker
	unusedIndexes   []int      // of workers that were forgotten
	indexCount      int        // workers have indexes below it
	forgottenAt     model.Time // when departed workers were last looked for

	role        role
	epoch       int64
	maxEpoch    int64      // highest epoch that was read or claimed
	claimEpoch  int64      // of the newest claim of this instance
	latestClaim jobs.Claim // newest claim in the progress stream
	ownerSeenAt model.Time // when the owner's newest entry was read
	// unreachable is the newest list of workers that don't answer the owner, as it was read, and
	// unreachableListedAt is when this owner last looked for changes of it. listedAnswers means
	// that a worker of the list answers, or that the list is to be stored anew for another reason.
	unreachable         jobs.UnreachableWorkers
	unreachableReadAt   model.Time
	unreachableListedAt model.Time
	listedAnswers       bool
	progressEnd         int64
	progressReadAt      model.Time // when the newest complete read of the progress stream was sent
	readableSince       model.Time // since when the progress stream has been read without interruption
	ownerLinkUp         bool
	ownerExited         bool       // the owner's process has certainly ended
	nextClaimAt         model.Time // no claim before this time
	// suspectedAt is when the owner's silence exceeded its timeout; zero if it has not.
	suspectedAt       model.Time
	draining          bool
	confirmedOwnerAt  model.Time // when this instance was last certain to be the owner
	ownerSince        model.Time
	ownerReady        bool       // is the owner and knows every job
	submissionsReadAt model.Time // when the newest complete read of all submissions was sent

	readyGroups       []*group        // groups with pending tasks; all but the last unranked ones are sorted
	unranked          int             // number of groups at the end of readyGroups that are not sorted yet
	scheduleNeeded    bool            // an event may allow a waiting group to be placed
	countedAt         model.Time      // when the workers were last counted
	renewedAt         model.Time      // when renewals were last looked for at all workers
	maxFree           model.Resources // largest free amount of each resource at any usable worker
	smallestWorker    int64           // least attainable CPU of an answering worker, in thousandths of a core
	fullSortNeeded    bool
	rankedAt          model.Time
	pacer             *pacing.Pacer
	throttleLoggedAt  model.Time                // time of the newest log line about throttled calls
	heldBytes         int                       // bytes of starts that the last scheduling pass held back, as far as it looked
	renewRetries      int                       // renewals in flight that follow a failed one
	renewOffset       int                       // position in workerList at which renewals begin
	queriesInFlight   int                       // eligibility calls in flight
	claims            map[queryKey][]claim      // of the eligibility calls in flight
	wideQueryWaits    bool                      // a gang waits in this scheduling pass until all its eligibility calls can start
	reservedFor       map[*worker]*group        // workers reserved for waiting gangs
	urgentRoom        map[string]*headroom.Site // room for urgent tasks, by service of the workers
	candidateBuffer   []fit.Candidate           // reused by candidates, with workerBuffer
	workerBuffer      []*worker
	queryBuffer       []*worker       // reused by workersToQuery
	watchedRuns       int             // runs of suspected tasks
	probations        int             // workers that are kept for the tasks of one job
	lostProbations    int             // those of them that do not answer, as of this scheduling pass
	answeringWorkers  int             // registered workers that answer, as of this scheduling pass
	suspectsCountedAt model.Time      // when the waiting suspected tasks were last counted
	lastingCrowd      bool            // of the tasks that last, too many to try them apart from others
	lastCrashAt       model.Time      // of a worker, because of a task
	urgentFirst       bool            // tasks that last get a part of the starts, while urgent ones are placed
	reservations      int             // gangs with reserved workers in this scheduling pass
	losses            []*workerLoss   // of workers whose tasks do not all run again
	dirtyParts        []partRef       // changed parts of the jobs' progress, in the order of their first changes
	endBarrier        *endBarrier     // nil unless changes were left out of an append
	cleared           []clearedWorker // workers of which runs were stopped for tasks that last
	boundTasks        []boundTask     // pending tasks that may start at one worker only, and some that were
	firstStarts       []firstStart    // that may be in no append yet, oldest first
	requests          []request       // requested submissions and cancellations for the next append
	appendSeq         uint64          // sequence number of the append in flight, or of the last one
	inFlight          *pendingAppend
	lastAppendAt      model.Time
	plannedPlacements []*placement // not in an append yet
	storedPlacements  []*placement // in the store; their starts are to be sent
	releaseSent       bool
	yielding          bool          // releases the cell to a better instance
	appendRefused     bool          // the store refused the last append
	appendLatency     time.Duration // smoothed
	// storeAnsweredAt is when the store last answered any call, as of the last Tick.
	storeAnsweredAt model.Time
	endsUnstored    bool // workers listed ended runs that are in no append yet
	lastExpiryAt    model.Time
	removedKeys     []string // keys that the next append removes
	jobsToTrim      []*job   // finished jobs whose submission the next append replaces by a tombstone

	instances map[string]*instance
	// instanceList holds all instances, this one first.
	instanceList []*instance
	statsByQueue map[string]*queueStats
	dueJobs      dueHeap // jobs with occurrences that wait for their scheduled time
	// visited counts the groups, tasks and runs that were looked at for one of them. It stays
	// in proportion to the work that is done.
	visited int
}

// firstStart is when the first run of a job was confirmed.
type firstStart struct {
	job *job
	at  model.Time
}

// New returns a cell without jobs. The instance is not its owner.
func New(cfg Config) *Cell {
	cfg.AppendBytes = cmp.Or(cfg.AppendBytes, defaultAppendBytes)
	cfg.TasksPerPart = cmp.Or(cfg.TasksPerPart, defaultTasksPerPart)
	return &Cell{
		cfg:             cfg,
		jobs:            map[jobs.ID]*job{},
		storedQueues:    map[string]*jobs.Queue{},
		submittedQueues: map[string]*submittedQueue{},
		earlyProgress:   map[jobs.ID]storedProgress{},
		earlyCancels:    map[jobs.ID]*earlyCancel{},
		workers:         map[model.WorkerName]*worker{},
		instances:       map[string]*instance{},
		statsByQueue:    map[string]*queueStats{},
		claims:          map[queryKey][]claim{},
		health:          health.New(healthConfig()),
		reservedFor:     map[*worker]*group{},
		urgentRoom:      map[string]*headroom.Site{},
		pacer:           pacing.New(cfg.Bandwidth, cfg.Cores),
	}
}

func (c *Cell) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Cell) log(msg string, id jobs.ID, f Fields) { c.emit(Log{Message: msg, Job: id, Fields: f}) }

func (c *Cell) count(name, label string) { c.emit(Count{Name: name, Label: label}) }

func (c *Cell) observe(name, label string, d time.Duration) {
	c.emit(Observe{Name: name, Label: label, Value: d})
}
