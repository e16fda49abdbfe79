package node

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Settings are the start settings of one instance.
type Settings struct {
	Name       string // name of the VM
	DataCentre model.DataCentre
	// CallerListen, ReadyListen, PeerListen and MetricsListen are addresses to listen on,
	// as IP:port: for requests of callers, for readiness checks of the balancer, for
	// connections of other instances, and for metrics.
	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string // empty: no metrics server

	StoreAddress       string // IP:port of the platform's store service
	EligibilityAddress string // IP:port of the eligibility service; empty: none

	// SubmissionPartitions is the number of streams over which submissions are spread.
	SubmissionPartitions int

	MaxLease         time.Duration // longest lease that workers accept
	GangWait         time.Duration // how long a gang member waits for the other members
	Retention        time.Duration // how long a finished job's state is kept for callers
	TerminationGrace time.Duration // time from SIGTERM to SIGKILL
	MemoryLimit      int64         // memory limit of the process, in bytes
	Cores            float64       // CPU capacity of the VM, in cores of standard speed
	Bandwidth        int64         // bandwidth of the VM's network link in each direction, in bytes per second; zero if unknown
	LogLevel         string
}

// InvalidSettingError reports a setting that can't be used.
type InvalidSettingError struct {
	Name   string
	Reason string
}

func (e *InvalidSettingError) Error() string { return "setting " + e.Name + ": " + e.Reason }
