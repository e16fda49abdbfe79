package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
)

// job is one job of the cell.
type job struct {
	id          jobs.ID
	queue       string
	payload     string
	schedule    jobs.Schedule
	steps       []jobs.Step
	groups      []*group // occurrence by occurrence, each with all steps
	submittedMs int64    // Unix milliseconds, by the receiving VM's clock
	arrivedAt   model.Time

	state             jobs.State // as this instance knows it
	storedState       jobs.State // as the store knows it; this is what callers see
	cancelled         bool
	started           bool
	finishedMs        int64 // Unix milliseconds of a final state
	stepsDone         int   // over all occurrences; what remains of a chain changes with it
	dirty             bool  // state is not in an append yet
	unappliedProgress *jobs.Progress

	// partitions of the submissions have the job, and cancelParts its cancellation;
	// InProgress stands for the progress stream.
	partitions       []int
	cancelPartitions []int
	submitRequests   []uint64 // that wait for the job to be stored
	unstored         bool     // offered, and in no stream yet
}

// ProgressStream stands for the progress stream in the place of a part of the
// submissions.
const ProgressStream = -1

// group is one step of one occurrence.
type group struct {
	job        *job
	occurrence int
	stepIndex  int
	step       *jobs.Step
	tasks      []task
	pending    int // tasks that wait for a placement
	doneCount  int
	readyAt    model.Time // since when its tasks may start; zero if not yet
	queued     bool       // is in the cell's ready list

	// Of a gang, whose members share them.
	run              int
	failures         int
	lastFailedRun    int
	activePlacements int // placements of the present run that are not over

	permits         []permit      // by worker number; empty until the first answer
	eligible        []eligibility // what the eligibility service said, by worker number
	queriesInFlight int           // calls in flight
	failedQueries   int           // calls in a row without an answer
	queriedAt       model.Time
	rank            int64 // order among ready groups; lower goes first
	chains          chainEstimates
}

// chainEstimates are what the rank of a group needs of its job's steps. They are kept,
// since an owner ranks thousands of waiting groups again and again.
type chainEstimates struct {
	valid                bool
	stepsDone            int   // of the job, for which they hold
	totalMs, remainingMs int64 // sums of estimates, in milliseconds
}

// eligibility is what is known of one worker for one group.
type eligibility uint8

const (
	eligibleUnknown eligibility = iota
	eligibleYes
	eligibleNo
)

// permit lets the tasks of a group start on a worker.
type permit struct {
	token     string
	boot      int64 // life of the worker that it is for
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
	avoidWorker   model.WorkerName // where it failed last
}

// phase is the state of a placement.
type phase uint8

const (
	phasePlanned   phase = iota // the store does not have it yet
	phaseStarting               // the start was sent
	phaseRunning                // the worker has it
	phaseStopping               // a stop was sent or is due
	phaseInherited              // an earlier owner's; the worker was not asked yet
	phaseOver                   // its room was given back
)

var phaseNames = [...]string{"planned", "starting", "running", "stopping", "inherited", "over"}

func (p phase) String() string { return phaseNames[p] }

// placement is one run of a task at a worker. It holds room until the worker
// says that the run is over, or the worker's lease has run out.
type placement struct {
	group  *group // nil for a run of an unknown job
	ref    jobs.TaskRef
	worker *worker
	run    int
	need   model.Resources
	phase  phase

	plannedAt       model.Time
	sentAt          model.Time
	confirmedAt     model.Time // when the worker was first known to have it
	stopSentAt      model.Time
	stopInFlight    bool // a stop is in flight
	unansweredStops int  // that had no answer
	startBytes      int  // of its start, in bytes, as long as that is to be sent
	stopAccepted    bool // the worker has accepted a stop
	stopReason      string

	percent          int
	percentAtStart   int        // of a run that was resumed or taken over
	progressAt       model.Time // when percent last grew
	checkpoint       string
	unlistedRenewals int // renewals since its confirmation that did not list it
}

// worker is one worker of the cell.
type worker struct {
	index          int // position in slices that are kept by worker
	info           jobs.WorkerInfo
	registered     bool
	unregisteredAt model.Time // when its entry went away

	boot          int64
	epochAccepted bool // has accepted this owner's epoch
	clock         model.WorkerTime
	clockAt       model.Time
	// leaseEnd is when everything it runs has certainly ended, unless renewed.
	leaseEnd model.Time

	used model.Resources
	runs map[jobs.TaskRef]*placement

	seenEndSeq     int64 // ends up to this were handled
	storedEndSeq   int64 // ends up to this are in the store
	renewInFlight  bool
	retryInFlight  bool // the renewal under way is to one that did not answer before
	renewSentAt    model.Time
	renewFailedAt  model.Time
	failedRenewals int // renewals in a row without an answer
	answeredAt     model.Time

	// pausedUntil keeps new work away after the worker refused a start.
	pausedUntil    model.Time
	nextSpeedCheck model.Time // no verdict on its pace before
	statusInFlight bool       // a renewal that does not wait is under way
	probeAllowed   bool       // may get one task although it is in quarantine
}

// free returns what a worker has left.
func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used) }

// usable reports whether new work may go to a worker.
func (w *worker) usable(now model.Time) bool {
	return w.registered && !w.info.Draining && w.epochAccepted && w.failedRenewals == 0 && now >= w.pausedUntil
}

// role is what the instance is for the cell.
type role uint8

const (
	roleFollower role = iota
	roleClaiming
	roleOwner
)

// Cell is the state of one cell as one instance knows it. It is not safe for
// concurrent use.
type Cell struct {
	cfg     Config
	now     model.Time
	unixMs  int64
	effects []Effect

	config        *jobs.Config
	jobs          map[jobs.ID]*job
	earlyProgress map[jobs.ID]*jobs.Progress // progress whose submission was not read yet
	earlyCancels  map[jobs.ID][]int          // parts of cancellations whose submission was not read yet
	workers       map[model.WorkerName]*worker
	workerList    []*worker // all workers by name
	health        *health.State

	role           role
	epoch          int64
	maxEpoch       int64
	latestClaim    jobs.Claim // newest one
	ownerSeenAt    model.Time // newest entry of the owner
	progressEnd    int64
	progressReadAt model.Time // sending time of the newest complete read
	readableSince  model.Time // since when the stream is read without a gap
	ownerLinkUp    bool
	ownerExited    bool       // the owner has certainly ended
	nextClaimAt    model.Time // no claim before
	// suspectedAt is when the owner's silence passed the patience with it; zero
	// if it did not.
	suspectedAt       model.Time
	draining          bool
	confirmedOwnerAt  model.Time // when this instance last certainly was the owner
	ownerSince        model.Time
	ownerReady        bool       // owner that knows every job
	submissionsReadAt model.Time // sending time of the newest complete read of all submissions

	readyGroups       []*group        // groups with pending tasks, in order of rank after a sort
	unranked          int             // of them, at the end, were queued since then
	scheduleNeeded    bool            // something happened that may let a waiting group be placed
	maxFree           model.Resources // in each kind, at any usable worker
	resortNeeded      bool
	rankedAt          model.Time
	pacer             *pacing.Pacer
	throttleLoggedAt  model.Time         // newest line about calls that are slowed
	heldBytes         int                // bytes of starts that the last pass held back
	renewRetries      int                // under way, to workers that did not answer before
	renewOffset       int                // where renewals begin
	queriesInFlight   int                // eligibility calls in flight
	reservedFor       map[*worker]*group // for gangs that wait
	reservations      int                // gangs that workers are reserved for in this pass
	dirtyJobs         []*job
	firstStarts       []firstStart // that may not be in an append yet, the oldest first
	requestEntries    []Entry      // submissions and cancellations for the next append
	cancelRequests    []uint64     // tickets of offered
	newJobs           []*job       // among offered
	cancelledJobs     []*job       // by offers
	appendSeq         uint64       // number of the append in flight, or of the last one
	appendInFlight    *pendingAppend
	lastAppendAt      model.Time
	plannedPlacements []*placement // to be in the next append
	storedPlacements  []*placement // whose starts are to be sent
	releaseSent       bool
	yielding          bool          // gives the cell up to another instance
	appendRefused     bool          // the last append was refused
	appendLatency     time.Duration // smoothed
	// storeAnsweredAt is when the store last answered any call, as of the last tick.
	storeAnsweredAt model.Time
	endsUnstored    bool // workers listed ends that are not in an append yet
	lastExpiryAt    model.Time
	removedKeys     []string // keys that the next append removes
	jobsToTrim      []*job   // whose submissions the next append shortens

	instances map[string]*instance
	// instanceList holds all advisors, this instance first.
	instanceList  []*instance
	statsByQueue  map[string]*queueStats
	delayedGroups []*group // groups that wait for their time
}

// pendingAppend is an append in flight.
type pendingAppend struct {
	seq            uint64
	cancelRequests []uint64
	cancelledJobs  []*job // that were offered
	newJobs        []*job // that were offered
	sentAt         model.Time
	placements     []*placement
	states         []jobState
	ends           map[*worker]endMark
	release        bool
	removedKeys    []string
	jobsToTrim     []*job
}

// endMark names the newest end of one life of a worker that an append covers.
type endMark struct {
	boot int64
	seq  int64
}

// firstStart is when the first run of a job was confirmed.
type firstStart struct {
	job *job
	at  model.Time
}

// jobState is a job's state in an append.
type jobState struct {
	job   *job
	state jobs.State
}

// New returns a cell without jobs. The instance is not its owner.
func New(cfg Config) *Cell {
	return &Cell{
		cfg:           cfg,
		jobs:          map[jobs.ID]*job{},
		earlyProgress: map[jobs.ID]*jobs.Progress{},
		earlyCancels:  map[jobs.ID][]int{},
		workers:       map[model.WorkerName]*worker{},
		instances:     map[string]*instance{},
		statsByQueue:  map[string]*queueStats{},
		health:        health.New(healthConfig()),
		reservedFor:   map[*worker]*group{},
		pacer:         pacing.New(cfg.Bandwidth, cfg.Cores),
	}
}

// JobView is what callers may know of a job.
type JobView struct {
	State     jobs.State
	Queue     string
	Cancelled bool
	// Ending says that the end may come at any moment: it waits for the store, or
	// all that is left to be done runs.
	Ending bool
}

// Job returns the stored state of a job.
func (c *Cell) Job(id jobs.ID) (JobView, bool) {
	j := c.jobs[id]
	if j == nil || j.unstored {
		return JobView{}, false
	}
	v := JobView{State: j.storedState, Queue: j.queue, Cancelled: j.cancelled, Ending: j.ending()}
	if j.cancelled && !v.State.Final() {
		v.State = jobs.Cancelled
	}
	return v, true
}

// ending reports whether no task waits for a placement, and the store does not
// have the end yet.
func (j *job) ending() bool {
	if j.storedState.Final() {
		return false
	}
	for _, g := range j.groups {
		if g.pending > 0 || g.step.Lasting {
			return false
		}
	}
	return true
}

// WaitingJobs returns how many jobs of a queue no task of which has started.
func (c *Cell) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.queue == queue && !j.started && !j.cancelled && !j.state.Final() {
			n++
		}
	}
	return n
}

// Owner returns the newest claim.
func (c *Cell) Owner() jobs.Claim { return c.latestClaim }

// IsOwner reports whether this instance owns the cell.
func (c *Cell) IsOwner() bool { return c.role == roleOwner }

// OwnerSilence returns how long ago the owner was last known to act.
func (c *Cell) OwnerSilence(now model.Time) time.Duration { return now.Sub(c.ownerSeenAt) }

// BatchDelay returns for how long an owner is to gather events before its next
// step.
func (c *Cell) BatchDelay() time.Duration { return c.pacer.Batching() / 2 }

// JobCount returns the number of jobs known.
func (c *Cell) JobCount() int { return len(c.jobs) }

func (c *Cell) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Cell) log(what string, id jobs.ID, f Fields) { c.emit(Log{Message: what, Job: id, Fields: f}) }

func (c *Cell) count(name, label string) { c.emit(Count{Name: name, Label: label}) }

func (c *Cell) observe(name, label string, d time.Duration) {
	c.emit(Observe{Name: name, Label: label, Value: d})
}
