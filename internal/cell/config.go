package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// TickInterval is the period of Tick events. It is a small fraction of the shortest
// timeout below.
const TickInterval = 50 * time.Millisecond

// Timing of ownership and leases.
const (
	// heartbeatInterval is the longest time between two appends of an owner.
	heartbeatInterval = 300 * time.Millisecond
	// ownerTimeoutLinkUp is how long the owner may append nothing before it is suspected,
	// while the connection to it works. It covers three heartbeats and a slow store.
	ownerTimeoutLinkUp = 1200 * time.Millisecond
	// ownerTimeoutLinkDown is the same once the connection is lost. It covers one
	// heartbeat and its latency through the store.
	ownerTimeoutLinkDown = 400 * time.Millisecond
	// maxProgressAge is how old the newest complete read of the progress stream may
	// be for the owner's silence to count.
	maxProgressAge = 600 * time.Millisecond
	// maxSubmissionsAge is how old the newest complete read of all submissions may
	// be for an owner to place and start tasks. It covers two long polls of a slow store,
	// and is below the 3 s within which a cancellation must prevent further starts.
	maxSubmissionsAge = 2800 * time.Millisecond
	// claimRetryPause is the pause after a claim that was lost or failed.
	claimRetryPause = 400 * time.Millisecond
	// yieldPause is how long an owner that has released the cell waits before it may
	// claim it again. It covers the other instances' pause between reads of the stream,
	// one read over a slow link and the delays that spread their claims.
	yieldPause = 700 * time.Millisecond

	// maxClockDrift bounds how much slower than the owner's clock a worker's clock may
	// run, as the platform guarantees.
	maxClockDrift = 0.02
	// leaseMargin covers rounding to whole milliseconds and the latency of an answer.
	leaseMargin = 100 * time.Millisecond
	// idlePollWait and busyPollWait are how long a worker may delay the answer to a Renew
	// if no run ends. Busy workers are polled more often, since their answer also
	// reports the progress of runs.
	idlePollWait = 2 * time.Second
	busyPollWait = 900 * time.Millisecond
	// callTimeout bounds a start or stop. Workers answer within milliseconds; a start
	// without an answer must be resolved while its task can still be on time.
	callTimeout = 200 * time.Millisecond
	// renewTimeoutMargin is how much longer than its long poll a renewal may take.
	renewTimeoutMargin = 500 * time.Millisecond
	// renewRetryPause separates renewals while ended runs wait to be stored, or after
	// a failed renewal.
	renewRetryPause = 300 * time.Millisecond
	// maxRenewDoublings bounds the exponential backoff after failed renewals. A worker
	// that is reachable again has to be reached well within its lease.
	maxRenewDoublings = 2
	// maxPlacementAge bounds the age of a placement when its start is sent. An owner
	// that was paused, or cut off from the store, may have missed a cancellation, which
	// must prevent further starts within 3 s.
	maxPlacementAge = 1500 * time.Millisecond
	// appendRetryPause is the pause after an append that the store refused.
	appendRetryPause = 50 * time.Millisecond
	// firstStartDelay is how long storing the first start of a job may be put off, so
	// that another change of the job can be stored with it. Most runs end sooner, and a
	// successor learns of the start from the worker. Together with the latency of the
	// store it stays below the 2 s by which the count of waiting jobs may lag.
	firstStartDelay = time.Second
	// appendSmoothing is the divisor of the exponential smoothing of the append latency.
	appendSmoothing = 4
	// stopRetryPause is the pause before a stop without an answer is sent again.
	stopRetryPause = 400 * time.Millisecond
	// throttleLogInterval is the minimum time between log lines about calls being
	// throttled.
	throttleLogInterval = time.Second
	// partialLogInterval is the minimum time between log lines about a worker that lists a part
	// of its ended runs.
	partialLogInterval = time.Second
	// maxStopDoublings bounds the exponential growth of the pause between stops of a run.
	// Repeating them rarely is enough, since a renewal reports the end of the run as
	// well.
	maxStopDoublings = 3
	// slowWorkerPause is how long a worker whose runs are slow gets no new tasks. It is
	// about as long as such a slowdown lasts; the next runs show whether it is over.
	slowWorkerPause = 2 * time.Second
	// stalledRunAge is the least age of a run on a stalled worker for it to be moved.
	stalledRunAge = 700 * time.Millisecond
	// soundAfter is how long a task that lasts is at work before its run counts as a success.
	soundAfter = 3 * time.Second
	// gangStallMargin is added to the time that a gang waits for its members before its
	// runs count as stalled.
	gangStallMargin = 500 * time.Millisecond
	// expiryInterval is how often finished jobs are checked for the end of their
	// retention.
	expiryInterval = 5 * time.Second
	// departedWorkerRetention is how long a worker without an entry and without runs is
	// kept, since entries that expired during an outage of the store come back.
	departedWorkerRetention = 30 * time.Second
	// refusedStartPause is how long a worker that rejected a start gets no new tasks.
	refusedStartPause = 500 * time.Millisecond
)

// Config describes the instance and the platform to a cell.
type Config struct {
	Name       string // the cell's name
	Self       string // the instance's incarnation
	Address    string // of this instance, for other instances
	DataCentre model.DataCentre
	MaxLease   time.Duration // longest lease that workers grant
	GangWait   time.Duration // how long a member of a gang waits for the others
	// Cores is the number of CPU cores of the instance. ClaimJitter in [0,1) delays its
	// claims, so that equal instances don't claim at the same time.
	Cores, ClaimJitter float64
	// Bandwidth is that of the instance's link in bytes per second; zero if unknown.
	Bandwidth int64
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
	// AppendBytes is the size of an append above which further changes wait for the next one,
	// and TasksPerPart the number of tasks of a job whose progress is one record. Zero stands
	// for the defaults.
	AppendBytes, TasksPerPart int
}
