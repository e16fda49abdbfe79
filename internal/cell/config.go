package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// TickInterval is the period of Tick events. It is a small part of the shortest
// timeout below.
const TickInterval = 50 * time.Millisecond

// Timing of ownership and leases.
const (
	// heartbeatInterval is the longest pause between an owner's appends.
	heartbeatInterval = 300 * time.Millisecond
	// silenceWithLink is how long the owner's entries may be missing while its
	// connection works. It covers three heartbeats and a slow store.
	silenceWithLink = 1200 * time.Millisecond
	// silenceWithoutLink is the same once the connection is lost. It covers one
	// heartbeat and its way through the store.
	silenceWithoutLink = 400 * time.Millisecond
	// readFresh is how old the newest complete read of the stream may be for
	// an instance to judge the owner's silence by it.
	readFresh = 600 * time.Millisecond
	// submissionsFresh is how old the newest complete read of all submissions may be
	// for an owner to place and start work. It covers two long polls of a slow store,
	// and is below the 3 s after which a cancellation must stop starts.
	submissionsFresh = 2800 * time.Millisecond
	// claimRetry is the pause after a lost or failed claim.
	claimRetry = 400 * time.Millisecond
	// wayPause is how long an owner that has given the cell up leaves it to the
	// others. It covers their pause between reads of the stream, one read over a
	// slow link and the spread of their claims.
	wayPause = 700 * time.Millisecond

	// clockRate bounds how much slower than the owner's clock a worker's may
	// run, as the platform promises.
	clockRate = 0.02
	// leaseMargin covers rounding to whole milliseconds and the way of an answer.
	leaseMargin = 100 * time.Millisecond
	// idleWait and busyWait are how long a worker may hold back the answer to a
	// Renew if no run ends. Busy workers are asked more often, since their
	// answer also tells the progress of runs.
	idleWait = 2 * time.Second
	busyWait = 900 * time.Millisecond
	// orderTimeout bounds a start or stop. Workers answer within milliseconds;
	// a start without an answer must be settled while its task can be in time.
	orderTimeout = 200 * time.Millisecond
	// renewMargin is how much longer than its wait a renewal may take.
	renewMargin = 500 * time.Millisecond
	// renewPause separates renewals while ends wait for the store, or after a
	// renewal that failed.
	renewPause = 300 * time.Millisecond
	// maxRenewDoublings bounds the growth of the pause after renewals that failed.
	// A worker that is back has to be reached well within its lease.
	maxRenewDoublings = 2
	// placementLife bounds the age of a placement when its start is sent. An owner
	// that was paused, or without the store, may have missed a cancellation, which
	// must stop starts within 3 s.
	placementLife = 1500 * time.Millisecond
	// refusedRetry is the pause after an append that the store refused.
	refusedRetry = 50 * time.Millisecond
	// firstStartDelay is how long the first start of a job may wait for another
	// reason to store the job. Most ends come sooner, and a successor learns of the
	// start from the worker. With the way through the store it stays below the 2 s
	// that the number of waiting jobs may be old.
	firstStartDelay = time.Second
	// appendWeight is the number of appends over which their time is smoothed.
	appendWeight = 4
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 400 * time.Millisecond
	// slowedInterval separates lines about calls that are slowed.
	slowedInterval = time.Second
	// maxStopDoublings bounds the growth of that pause. A renewal tells the end of
	// the run as well.
	maxStopDoublings = 3
	// slowPause keeps new work away from a worker whose runs are slow. It is near
	// the time that such a state lasts; the next runs tell whether it is over.
	slowPause = 2 * time.Second
	// stalledAfter is how long a run must have stood still to be moved.
	stalledAfter = 700 * time.Millisecond
	// standstillMargin is added to the time that a gang waits for its members.
	standstillMargin = 500 * time.Millisecond
	// forgetInterval is how often finished jobs are looked through.
	forgetInterval = 5 * time.Second
	// refusedPause keeps new work away from a worker that refused a start.
	refusedPause = 500 * time.Millisecond
)

// Config is what a cell needs to know of its instance and of the platform.
type Config struct {
	Name       string // the cell's name
	Self       string // the instance's incarnation
	Address    string // of this instance, for others
	DataCentre model.DataCentre
	MaxLease   time.Duration // longest lease that workers grant
	GangWait   time.Duration // how long a member of a gang waits for the others
	// Cores is the processor that the instance has; ClaimJitter in [0,1) orders the
	// claims of equal instances.
	Cores, ClaimJitter float64
	// Bandwidth is that of the instance's link in bytes a second; zero if it is
	// not known.
	Bandwidth int64
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
}
