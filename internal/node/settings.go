package node

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Settings are what one instance is told when it starts.
type Settings struct {
	Name       string // of the VM
	DataCentre model.DataCentre
	// CallerListen, ReadyListen, LinkListen and MetricsListen are IP:port. The
	// first takes callers' requests, the second the balancer's checks, the third
	// other instances' connections.
	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string // empty: none

	StoreAddress       string // IP:port of the platform's store
	EligibilityAddress string // IP:port of the eligibility service; empty: none

	// SubmissionPartitions is the number of streams that submissions are spread over.
	SubmissionPartitions int

	MaxLease         time.Duration // longest lease that workers grant
	GangWait         time.Duration // how long a member of a gang waits for the others
	Retention        time.Duration // how long a finished job's state is kept for callers
	TerminationGrace time.Duration // from SIGTERM to SIGKILL
	MemoryLimit      int64         // bytes of the process
	Cores            float64       // processor that the VM has, in cores of usual speed
	Bandwidth        int64         // of the VM's link each way, in bytes a second; zero if it is not known
	LogLevel         string
}

// InvalidSettingError reports a setting that can't be used.
type InvalidSettingError struct {
	Name   string
	Reason string
}

func (e *InvalidSettingError) Error() string { return "setting " + e.Name + ": " + e.Reason }
