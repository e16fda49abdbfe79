package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Config is fixed for the life of an instance.
type Config struct {
	Self      model.Member                  `json:"self"`
	Seed      uint64                        `json:"seed"`  // for jitter
	SeedPeers map[model.DataCentre][]string `json:"seeds"` // peer addresses to try before the VM list is known
	Timing    Timing                        `json:"timing"`
	Limits    Limits                        `json:"limits"`
	// Baseline exists for comparisons only: first fit, one first-come queue over
	// all classes, no headroom, no preemption and no early refusal. Operators
	// have no setting for it.
	Baseline bool `json:"baseline,omitempty"`
}

// Timing holds every duration that the reducer uses.
type Timing struct {
	TickInterval            time.Duration `json:"tick"`          // the driver's tick interval
	HeartbeatInterval       time.Duration `json:"heartbeat"`     // between peers of one data centre
	RemoteHeartbeatInterval time.Duration `json:"far_heartbeat"` // between data centres
	LeaseDuration           time.Duration `json:"lease"`         // how long evidence lets an owner act
	ClockDriftMargin        time.Duration `json:"margin"`        // added by a claimant; covers clock-rate drift
	SuspectTimeout          time.Duration `json:"suspect"`       // silence after which the owner is suspected
	ConsentTimeout          time.Duration `json:"consent_after"` // a claim goes ahead without a majority's consent after this
	WatchTimeout            time.Duration `json:"watch_wait"`    // a worker's answer is delayed at most this long
	TaskLease               time.Duration `json:"task_lease"`    // a worker stops tasks whose lease was not renewed for this long
	StartGrace              time.Duration `json:"start_grace"`   // not-after time of a start
	GroupCommitInterval     time.Duration `json:"group_commit"`  // least time between two appends
	LazyCommitDelay         time.Duration `json:"lazy_commit"`   // outcomes and progress wait at most this long
	LogRetention            time.Duration `json:"retention"`     // of the platform's log
	KeyRetention            time.Duration `json:"key_life"`      // how long an outcome is remembered under its key
}

// Limits bounds the memory of an instance.
type Limits struct {
	QueuedRequests     int           `json:"waiting"`       // interactive requests and key requests in the queue
	Jobs               int           `json:"jobs"`          // accepted jobs that are not finished
	PendingSubmissions int           `json:"undurable"`     // submissions that wait for the log
	InDoubt            int           `json:"in_doubt"`      // intents with an unknown outcome before new keys are refused
	Hops               int           `json:"hops"`          // forwards of one request
	RemotePeers        int           `json:"far_peers"`     // instances of each other data centre that get heartbeats
	RetryPercent       int           `json:"retry_percent"` // retries per hundred first attempts, for each service
	TaskAttempts       int           `json:"task_attempts"` // attempts of a task when the text gives none
	MaxDeadline        time.Duration `json:"max_deadline"`  // of an interactive request
}

// DefaultTiming returns the timing of a production instance.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:            20 * time.Millisecond,
		HeartbeatInterval:       200 * time.Millisecond,
		RemoteHeartbeatInterval: time.Second,
		// Lease and Suspect together with Margin and one log round trip keep a
		// takeover below 3 s, so that urgent work still starts within 3.1 s.
		LeaseDuration:    time.Second,
		ClockDriftMargin: 200 * time.Millisecond,
		SuspectTimeout:   800 * time.Millisecond,
		ConsentTimeout:   2 * time.Second,
		// WatchWait bounds idle traffic to one call per worker and interval,
		// and stays well below TaskLease, so that two lost calls stop no task.
		WatchTimeout: 3 * time.Second,
		TaskLease:    12 * time.Second,
		// StartGrace is added to a takeover's wait for workers without guards.
		StartGrace: 500 * time.Millisecond,
		// GroupCommit bounds a data centre to 10 appends a second, so that 18 of
		// them stay within the several hundred that the log takes. The first
		// record after a pause is sent at once.
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
