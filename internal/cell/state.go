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
	id        jobs.ID
	queue     string
	payload   string
	schedule  jobs.Schedule
	steps     []jobs.Step
	groups    []*group // occurrence by occurrence, each with all steps
	submitted int64    // Unix milliseconds, by the receiving VM's clock
	arrived   model.Time

	state     jobs.State // as this instance knows it
	stored    jobs.State // as the store knows it; this is what callers see
	cancelled bool
	started   bool
	finished  int64 // Unix milliseconds of a final state
	stepsDone int   // over all occurrences; what remains of a chain changes with it
	dirty     bool  // state is not in an append yet
	progress  *jobs.Progress

	// parts of the submissions have the job, and cancelParts its cancellation;
	// InProgress stands for the progress stream.
	parts       []int
	cancelParts []int
	offers      []uint64 // that wait for the job to be stored
	unstored    bool     // offered, and in no stream yet
}

// ProgressStream stands for the progress stream in the place of a part of the
// submissions.
const ProgressStream = -1

// group is one step of one occurrence.
type group struct {
	job        *job
	occurrence int
	index      int
	step       *jobs.Step
	tasks      []task
	pending    int // tasks that wait for a placement
	doneCount  int
	readyAt    model.Time // since when its tasks may start; zero if not yet
	queued     bool       // is in the cell's ready list

	// Of a gang, whose members share them.
	run       int
	failures  int
	failedRun int
	placed    int // placements of the present run that are not over

	permits   []permit      // by worker number; empty until the first answer
	eligible  []eligibility // what the eligibility service said, by worker number
	asking    int           // calls in flight
	askFailed int           // calls in a row without an answer
	askedAt   model.Time
	rank      int64 // order among ready groups; lower goes first
	chains    chains
}

// chains are what the rank of a group needs of its job's steps. They are kept,
// since an owner ranks thousands of waiting groups again and again.
type chains struct {
	known      bool
	stepsDone  int   // of the job, for which they hold
	all, toRun int64 // sums of estimates, in milliseconds
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
	token   string
	boot    int64 // life of the worker that it is for
	expires model.Time
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
	state      taskState
	run        int // highest run number used
	failures   int
	failedRun  int
	placement  *placement
	checkpoint string
	avoid      model.WorkerName // where it failed last
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

	plannedAt   model.Time
	sentAt      model.Time
	confirmedAt model.Time // when the worker was first known to have it
	stopSentAt  model.Time
	stopping    bool // a stop is in flight
	stops       int  // that had no answer
	cost        int  // of its start, in bytes, as long as that is to be sent
	barred      bool // the worker has accepted a stop
	reason      string

	percent        int
	percentAtStart int        // of a run that was resumed or taken over
	percentAt      model.Time // when percent last grew
	saved          string
	unlisted       int // renewals since its confirmation that did not list it
}

// worker is one worker of the cell.
type worker struct {
	number int // position in slices that are kept by worker
	info   jobs.WorkerInfo
	listed bool
	goneAt model.Time // when its entry went away

	boot    int64
	fenced  bool // has accepted this owner's epoch
	clock   model.WorkerTime
	clockAt model.Time
	// leaseEnd is when everything it runs has certainly ended, unless renewed.
	leaseEnd model.Time

	used model.Resources
	runs map[jobs.TaskRef]*placement

	seenEnd     int64 // ends up to this were handled
	durableEnd  int64 // ends up to this are in the store
	renewing    bool
	lostRenewal bool // the renewal under way is to one that did not answer before
	renewSent   model.Time
	renewFailed model.Time
	failedCalls int // renewals in a row without an answer
	answeredAt  model.Time

	// refusedUntil keeps new work away after the worker refused a start.
	refusedUntil model.Time
	judgeAt      model.Time // no verdict on its pace before
	peeking      bool       // a renewal that does not wait is under way
	probe        bool       // may get one task although it is in quarantine
}

// free returns what a worker has left.
func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.used) }

// usable reports whether new work may go to a worker.
func (w *worker) usable(now model.Time) bool {
	return w.listed && !w.info.Draining && w.fenced && w.failedCalls == 0 && now >= w.refusedUntil
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
	cfg    Config
	now    model.Time
	unixMs int64
	out    []Effect

	config  *jobs.Config
	jobs    map[jobs.ID]*job
	early   map[jobs.ID]*jobs.Progress // progress whose submission was not read yet
	cancels map[jobs.ID][]int          // parts of cancellations whose submission was not read yet
	workers map[model.WorkerName]*worker
	list    []*worker // all workers by name
	health  *health.Tracker

	role       role
	epoch      int64
	maxEpoch   int64
	claim      jobs.Claim // newest one
	ownerSeen  model.Time // newest entry of the owner
	streamEnd  int64
	streamAt   model.Time // sending time of the newest complete read
	readableAt model.Time // since when the stream is read without a gap
	linkUp     bool
	ownerGone  bool       // the owner has certainly ended
	tryAt      model.Time // no claim before
	// suspectedAt is when the owner's silence passed the patience with it; zero
	// if it did not.
	suspectedAt   model.Time
	draining      bool
	evidence      model.Time // when this instance last certainly was the owner
	ownerSince    model.Time
	settled       bool       // owner that knows every job
	submissionsAt model.Time // sending time of the newest complete read of all submissions

	ready        []*group        // groups with pending tasks, in order of rank after a sort
	unranked     int             // of them, at the end, were queued since then
	changed      bool            // something happened that may let a waiting group be placed
	mostFree     model.Resources // in each kind, at any usable worker
	resort       bool
	rankedAt     model.Time
	pace         *pacing.Pacer
	slowedAt     model.Time         // newest line about calls that are slowed
	held         int                // bytes of starts that the last pass held back
	lostRenewals int                // under way, to workers that did not answer before
	pumpFrom     int                // where renewals begin
	asking       int                // eligibility calls in flight
	reserved     map[*worker]*group // for gangs that wait
	reservations int                // gangs that workers are reserved for in this pass
	dirty        []*job
	firstStarts  []firstStart // that may not be in an append yet, the oldest first
	offered      []Entry      // submissions and cancellations for the next append
	offers       []uint64     // tickets of offered
	newJobs      []*job       // among offered
	cancelled    []*job       // by offers
	commit       uint64       // number of the append in flight, or of the last one
	inFlight     *commit
	lastSent     model.Time
	planned      []*placement // to be in the next append
	stored       []*placement // whose starts are to be sent
	released     bool
	makesWay     bool          // gives the cell up to another instance
	storeRefuses bool          // the last append was refused
	usualAppend  time.Duration // smoothed
	// storeAnswered is when the store last answered any call, as of the last tick.
	storeAnswered model.Time
	endsDirty     bool // workers listed ends that are not in an append yet
	forgetAt      model.Time
	forgotten     []string // keys that the next append removes
	finished      []*job   // whose submissions the next append shortens

	advisors map[string]*advisor
	// advisorList holds all advisors, this instance first.
	advisorList []*advisor
	learned     map[string]*queueStats
	due         []*group // groups that wait for their time
}

// commit is an append in flight.
type commit struct {
	number    uint64
	offers    []uint64
	cancels   []*job // that were offered
	stored    []*job // that were offered
	sentAt    model.Time
	planned   []*placement
	states    []jobState
	ends      map[*worker]endMark
	release   bool
	forgotten []string
	finished  []*job
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
		cfg:      cfg,
		jobs:     map[jobs.ID]*job{},
		early:    map[jobs.ID]*jobs.Progress{},
		cancels:  map[jobs.ID][]int{},
		workers:  map[model.WorkerName]*worker{},
		advisors: map[string]*advisor{},
		learned:  map[string]*queueStats{},
		health:   health.New(healthConfig()),
		reserved: map[*worker]*group{},
		pace:     pacing.New(cfg.Bandwidth, cfg.Cores),
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
	v := JobView{State: j.stored, Queue: j.queue, Cancelled: j.cancelled, Ending: j.ending()}
	if j.cancelled && !v.State.Final() {
		v.State = jobs.Cancelled
	}
	return v, true
}

// ending reports whether no task waits for a placement, and the store does not
// have the end yet.
func (j *job) ending() bool {
	if j.stored.Final() {
		return false
	}
	for _, g := range j.groups {
		if g.pending > 0 || g.step.LongRunning {
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
func (c *Cell) Owner() jobs.Claim { return c.claim }

// IsOwner reports whether this instance owns the cell.
func (c *Cell) IsOwner() bool { return c.role == roleOwner }

// OwnerSilence returns how long ago the owner was last known to act.
func (c *Cell) OwnerSilence(now model.Time) time.Duration { return now.Sub(c.ownerSeen) }

// BatchDelay returns for how long an owner is to gather events before its next
// step.
func (c *Cell) BatchDelay() time.Duration { return c.pace.BatchDelay() / 2 }

// JobCount returns the number of jobs known.
func (c *Cell) JobCount() int { return len(c.jobs) }

func (c *Cell) emit(e Effect) { c.out = append(c.out, e) }

func (c *Cell) log(what string, id jobs.ID, f Fields) { c.emit(Log{Message: what, Job: id, Fields: f}) }

func (c *Cell) count(name, label string) { c.emit(Count{Name: name, Label: label}) }

func (c *Cell) observe(name, label string, d time.Duration) {
	c.emit(Observe{Name: name, Label: label, Value: d})
}
