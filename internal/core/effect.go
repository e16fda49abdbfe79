package core

import (
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// Effect is one output of the reducer, carried out by the driver. Exactly one field is
// set.
type Effect struct {
	Append  *Append        `json:"append,omitempty"`
	Send    *Send          `json:"send,omitempty"`
	Watch   *Watch         `json:"watch,omitempty"`
	Start   *Start         `json:"start,omitempty"`
	Query   *Query         `json:"query,omitempty"`
	Control *Control       `json:"control,omitempty"`
	Answer  *Answer        `json:"answer,omitempty"`
	Publish *PublishAnswer `json:"publish,omitempty"`
	Status  *StatusAnswer  `json:"status,omitempty"`
	Count   *Count         `json:"count,omitempty"`
	Observe *Observe       `json:"observe,omitempty"`
	Change  *Change        `json:"change,omitempty"`
	Ready   *Ready         `json:"ready,omitempty"`
	Exit    *Exit          `json:"exit,omitempty"`
	Text    *ActiveText    `json:"text,omitempty"`
}

// ActiveText is the service text in force.
type ActiveText struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"`
	ID      string `json:"id"`
	Text    []byte `json:"text"`
}

// Append appends one batch to a stream. Its result is an Appended event.
type Append struct {
	Stream  string `json:"stream"`
	Batch   string `json:"batch"`
	Payload []byte `json:"payload"`
}

// Send sends a message to a peer. Its result is a Sent event.
type Send struct {
	To   model.Member `json:"to"`
	ID   string       `json:"id"`
	Body message.Body `json:"body"`
}

// Watch makes one watch call to a worker. Its result is a Watched event.
type Watch struct {
	Worker  model.WorkerName    `json:"worker"`
	Address string              `json:"address"`
	Request worker.WatchRequest `json:"request"`
}

// Start makes one start call to a worker. Its result is a Started event. After SendBy
// the driver must not send the call and reports DeliveryNotSent: the process may have
// been paused, and another instance may have taken over the lease.
type Start struct {
	SendBy  model.Time          `json:"send_by"`
	Worker  model.WorkerName    `json:"worker"`
	Address string              `json:"address"`
	Request worker.StartRequest `json:"request"`
}

// Query requests the state of a task from a worker. Its result is a Queried event.
type Query struct {
	Worker  model.WorkerName `json:"worker"`
	Address string           `json:"address"`
	Epoch   uint64           `json:"epoch"`
	Task    model.TaskID     `json:"task"`
}

// Control makes one control call to a worker. Its result is a Controlled event.
type Control struct {
	Worker  model.WorkerName      `json:"worker"`
	Address string                `json:"address"`
	Request worker.ControlRequest `json:"request"`
}

// Answer answers a caller's request.
type Answer struct {
	Request model.RequestID `json:"request"`
	Answer  model.Answer    `json:"answer"`
}

// PublishAnswer answers a publish request.
type PublishAnswer struct {
	Request  model.RequestID `json:"request"`
	Accepted bool            `json:"accepted"`
	Version  uint64          `json:"version"` // version in force
	Code     model.Code      `json:"code,omitempty"`
}

// StatusAnswer answers a status request.
type StatusAnswer struct {
	Request model.RequestID `json:"request"`
	Report  StatusReport    `json:"report"`
}

// Count adds N to a counter.
type Count struct {
	Name  string `json:"name"`            // metric name without prefix
	Label string `json:"label,omitempty"` // value of the only label of the metric
	N     int    `json:"n"`
}

// Observe adds a value to a histogram.
type Observe struct {
	Name    string  `json:"name"`
	Label   string  `json:"label,omitempty"`
	Seconds float64 `json:"seconds"`
}

// Change describes a state change for the log.
type Change struct {
	What    string `json:"what"`           // kind of the change, for example "lease phase"
	Subject string `json:"subj,omitempty"` // name of the object that changed
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
}

// Ready sets the readiness of the instance.
type Ready struct {
	Ready  bool       `json:"ready"`
	Reason model.Code `json:"reason,omitempty"`
}

// Exit reports that the instance has drained and may stop.
type Exit struct{}

// StatusReport describes one instance and its data centre for operators.
type StatusReport struct {
	Self        model.Member   `json:"self"`
	Ready       bool           `json:"ready"`
	Draining    bool           `json:"draining,omitempty"`
	TextVersion uint64         `json:"text_version"`
	TextHash    uint64         `json:"text_hash"`
	Epoch       uint64         `json:"epoch"`
	Owner       *model.Member  `json:"owner,omitempty"`
	Acting      bool           `json:"acting"` // this instance is the owner and may place tasks
	OwnerReady  bool           `json:"settled"`
	LogOK       bool           `json:"log_ok"`
	Members     []MemberStatus `json:"members"`
	Workers     []WorkerStatus `json:"workers,omitempty"` // set only by the owner
	Queues      []QueueStatus  `json:"queues,omitempty"`
	Services    []ServiceState `json:"services,omitempty"`
	Jobs        []JobForecast  `json:"jobs,omitempty"` // unfinished durable jobs, those at risk first; limited in number
	Keys        int            `json:"keys"`
	InDoubt     int            `json:"in_doubt"`
}

// MemberStatus is the state of one other instance.
type MemberStatus struct {
	Member model.Member `json:"member"`
	Alive  bool         `json:"alive"`
	Owner  bool         `json:"owner,omitempty"`
}

// WorkerStatus is the state of one worker.
type WorkerStatus struct {
	Name        model.WorkerName `json:"name"`
	Rack        string           `json:"rack"`
	Capacity    model.Resources  `json:"capacity"`
	Used        model.Resources  `json:"used"`
	Tasks       int              `json:"tasks"`
	Reachable   bool             `json:"reachable"`
	Leaving     bool             `json:"leaving,omitempty"`
	Quarantined bool             `json:"quarantined,omitempty"`
}

// QueueStatus is the state of the queue of one class.
type QueueStatus struct {
	Class   model.Class `json:"class"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
}

// ServiceState is the state of a long-running service in this data centre.
type ServiceState struct {
	Name       string     `json:"name"`
	Desired    int        `json:"want"`
	Running    int        `json:"running"`
	HoldReason model.Code `json:"held,omitempty"` // why no instances are started
}

// JobForecast is the expected completion of a durable job.
type JobForecast struct {
	Job         model.JobID      `json:"job"`
	Counts      model.TaskCounts `json:"counts"`
	Deadline    string           `json:"deadline"` // RFC 3339
	ExpectedEnd string           `json:"forecast"` // RFC 3339
	AtRisk      bool             `json:"at_risk,omitempty"`
}
