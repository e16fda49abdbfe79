package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Config holds the settings of an instance. They do not change while it runs.
type Config struct {
	Self      model.Member                  `json:"self"`
	Seed      uint64                        `json:"seed"`  // for jitter
	SeedPeers map[model.DataCentre][]string `json:"seeds"` // peer addresses to contact until the VM list is known
	Timing    Timing                        `json:"timing"`
	Limits    Limits                        `json:"limits"`
	// Baseline selects the scheduling policy that measurements are compared with: first
	// fit, one FIFO queue for all classes, no headroom, no preemption and no early
	// rejection. Operators have no setting for it.
	Baseline bool `json:"baseline,omitempty"`
}

// Timing holds all durations that the reducer uses.
type Timing struct {
	TickInterval            time.Duration `json:"tick"`          // the driver's tick interval
	HeartbeatInterval       time.Duration `json:"heartbeat"`     // between peers of one data centre
	RemoteHeartbeatInterval time.Duration `json:"far_heartbeat"` // between data centres
	LeaseDuration           time.Duration `json:"lease"`         // how long a confirmation lets an owner act
	ClockDriftMargin        time.Duration `json:"margin"`        // added to a lease by a claimant; covers clock-rate drift
	SuspectTimeout          time.Duration `json:"suspect"`       // owner silence after which the owner is suspected
	ConsentTimeout          time.Duration `json:"consent_after"` // time after which a claim proceeds without the consent of a majority
	WatchTimeout            time.Duration `json:"watch_wait"`    // long-poll timeout: the longest delay of a worker's response
	TaskLease               time.Duration `json:"task_lease"`    // a worker stops tasks whose lease was not renewed for this long
	StartGrace              time.Duration `json:"start_grace"`   // added to the current time for the not-after time of a start
	GroupCommitInterval     time.Duration `json:"group_commit"`  // minimum interval between two appends
	LazyCommitDelay         time.Duration `json:"lazy_commit"`   // longest delay before outcomes and progress are appended
	LogRetention            time.Duration `json:"retention"`     // retention of the platform's log
	KeyRetention            time.Duration `json:"key_life"`      // how long the outcome of a key is kept
}

// Limits bounds the memory of an instance.
type Limits struct {
	QueuedRequests     int           `json:"waiting"`       // queued interactive and keyed requests
	Jobs               int           `json:"jobs"`          // accepted jobs that have not ended
	PendingSubmissions int           `json:"undurable"`     // submissions whose Accept record is not in the log yet
	InDoubt            int           `json:"in_doubt"`      // starts in doubt above which new keys are rejected
	Hops               int           `json:"hops"`          // times that a request may be forwarded from instance to instance
	RemotePeers        int           `json:"far_peers"`     // instances of each other data centre that receive heartbeats
	RetryPercent       int           `json:"retry_percent"` // retries per 100 first attempts, for each service
	TaskAttempts       int           `json:"task_attempts"` // attempts of a task if the service text sets none
	MaxDeadline        time.Duration `json:"max_deadline"`  // longest deadline of an interactive request
}

// DefaultTiming returns the timing of a production instance.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:            20 * time.Millisecond,
		HeartbeatInterval:       200 * time.Millisecond,
		RemoteHeartbeatInterval: time.Second,
		// LeaseDuration, SuspectTimeout, ClockDriftMargin and one log round trip
		// together keep a takeover below 3 s, so that urgent work still starts within
		// 3.1 s.
		LeaseDuration:    time.Second,
		ClockDriftMargin: 200 * time.Millisecond,
		SuspectTimeout:   800 * time.Millisecond,
		ConsentTimeout:   2 * time.Second,
		// WatchTimeout limits idle traffic to one call per worker and interval. It
		// stays well below TaskLease, so that two lost calls do not stop a task.
		WatchTimeout: 3 * time.Second,
		TaskLease:    12 * time.Second,
		// StartGrace also lengthens a takeover's wait for unguarded workers.
		StartGrace: 500 * time.Millisecond,
		// GroupCommitInterval limits a data centre to 10 appends/s, so that 18 data
		// centres stay within the several hundred appends/s that the log sustains. The
		// first record after an idle period is sent at once.
		GroupCommitInterval: 100 * time.Millisecond,
		LazyCommitDelay:     2 * time.Second,
		LogRetention:        time.Hour,
		KeyRetention:        4 * time.Hour,
	}
}

// DefaultLimits returns the limits of a production instance.
func DefaultLimits() Limits {
	return Limits{
		QueuedRequests:     20000,
		Jobs:               50000,
		PendingSubmissions: 2000,
		InDoubt:            2000,
		Hops:               3,
		RemotePeers:        2,
		RetryPercent:       10,
		TaskAttempts:       3,
		MaxDeadline:        5 * time.Minute,
	}
}
