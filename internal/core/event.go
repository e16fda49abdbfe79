package core

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// Event is one input of the reducer. Exactly one field is set.
type Event struct {
	Tick       *Tick       `json:"tick,omitempty"`
	Call       *Call       `json:"call,omitempty"`
	CallerGone *CallerGone `json:"gone,omitempty"`
	Publish    *Publish    `json:"publish,omitempty"`

	Message *message.Envelope `json:"message,omitempty"`
	Sent    *Sent             `json:"sent,omitempty"`

	LogRead  *LogRead  `json:"log_read,omitempty"`
	Appended *Appended `json:"appended,omitempty"`
	VMList   *VMList   `json:"vm_list,omitempty"`

	Watched    *Watched    `json:"watched,omitempty"`
	Started    *Started    `json:"started,omitempty"`
	Queried    *Queried    `json:"queried,omitempty"`
	Controlled *Controlled `json:"controlled,omitempty"`

	Status *Status `json:"status,omitempty"`
	Drain  *Drain  `json:"drain,omitempty"`
}

// Delivery is the transport result of a call that the driver made.
type Delivery string

// Values of Delivery.
const (
	DeliveryOK        Delivery = "ok"
	DeliveryNotSent   Delivery = "not_sent"  // the call was not sent and had no effect
	DeliveryAmbiguous Delivery = "ambiguous" // the call may have taken effect
)

// Tick advances time. The driver sends one every TickInterval.
type Tick struct {
	Wall time.Time `json:"wall"` // wall clock; used only for deadlines of batch jobs and for reports
}

// Call is a caller's request to this instance.
type Call struct {
	Request    model.RequestID     `json:"request"`
	Kind       message.ForwardKind `json:"kind"`
	Submission model.Submission    `json:"submission"`
	Job        model.JobID         `json:"job,omitempty"`
	Wait       time.Duration       `json:"wait,omitempty"` // query: how long to wait for the job to end; otherwise time until the caller stops waiting
	Wall       time.Time           `json:"wall"`
}

// CallerGone reports that the caller of a request no longer waits for the answer.
type CallerGone struct {
	Request model.RequestID `json:"request"`
}

// Publish is an operator's request to publish a service text.
type Publish struct {
	Request model.RequestID `json:"request"`
	ID      string          `json:"id"` // chosen by the client, which repeats it to retry after a lost answer
	Base    uint64          `json:"base"`
	Text    []byte          `json:"text"`
	Parsed  *model.Text     `json:"-"` // parsed and checked by the driver; not recorded in the event file
}

// Sent is the result of a Send effect.
type Sent struct {
	ID       string            `json:"id"`
	To       model.Incarnation `json:"to"`
	Delivery Delivery          `json:"delivery"`
}

// LogRead is the result of one read of a stream.
type LogRead struct {
	Stream    string               `json:"stream"`
	StartedAt model.Time           `json:"started_at"` // when the read request was sent
	Result    *platform.ReadResult `json:"result,omitempty"`
	Failed    bool                 `json:"failed,omitempty"`
}

// Appended is the result of an Append effect.
type Appended struct {
	Batch    string   `json:"batch"`
	Delivery Delivery `json:"delivery"`
}

// VMList is the platform's list of VMs.
type VMList struct {
	VMs    []model.VM `json:"vms,omitempty"`
	Failed bool       `json:"failed,omitempty"`
}

// Watched is the result of a Watch effect.
type Watched struct {
	Worker     model.WorkerName `json:"worker"`
	Epoch      uint64           `json:"epoch"` // epoch that the request carried
	SentAt     model.Time       `json:"sent_at"`
	Report     *model.Report    `json:"report,omitempty"`
	StaleEpoch uint64           `json:"stale_epoch,omitempty"` // higher epoch that the worker has seen
}

// Started is the result of a Start effect.
type Started struct {
	Worker   model.WorkerName    `json:"worker"`
	Task     model.TaskID        `json:"task"`
	Delivery Delivery            `json:"delivery"`
	Result   *worker.StartResult `json:"result,omitempty"`
}

// Queried is the result of a Query effect.
type Queried struct {
	Worker     model.WorkerName    `json:"worker"`
	Task       model.TaskID        `json:"task"`
	Result     *worker.QueryResult `json:"result,omitempty"` // nil if the worker did not answer
	StaleEpoch uint64              `json:"stale_epoch,omitempty"`
}

// Controlled is the result of a Control effect.
type Controlled struct {
	Worker   model.WorkerName `json:"worker"`
	Action   worker.Action    `json:"action"`
	Tasks    []model.TaskID   `json:"tasks"`
	Delivery Delivery         `json:"delivery"`
}

// Status requests a status report.
type Status struct {
	Request model.RequestID `json:"request"`
}

// Drain requests that the instance hands ownership over and stops.
type Drain struct{}
