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

// Delivery says what is known about a call that the driver made.
type Delivery string

// The deliveries.
const (
	DeliveryOK        Delivery = "ok"
	DeliveryNotSent   Delivery = "not_sent"  // certainly had no effect
	DeliveryAmbiguous Delivery = "ambiguous" // may have had its effect
)

// Tick lets time pass. The driver sends one every TickInterval.
type Tick struct {
	Wall time.Time `json:"wall"` // wall clock; only for deadlines of batch jobs and reports
}

// Call is a caller's request, received by this instance.
type Call struct {
	Request    model.RequestID     `json:"request"`
	Kind       message.ForwardKind `json:"kind"`
	Submission model.Submission    `json:"submission"`
	Job        model.JobID         `json:"job,omitempty"`
	Wait       time.Duration       `json:"wait,omitempty"` // query: how long to wait for the end; else time left until the caller gives up
	Wall       time.Time           `json:"wall"`
}

// CallerGone reports that the caller of a request is no longer there.
type CallerGone struct {
	Request model.RequestID `json:"request"`
}

// Publish is an operator's request to publish a service text.
type Publish struct {
	Request model.RequestID `json:"request"`
	ID      string          `json:"id"` // repeated by the client when an answer was lost
	Base    uint64          `json:"base"`
	Text    []byte          `json:"text"`
	Parsed  *model.Text     `json:"-"` // checked by the driver; not part of the event file
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
	StartedAt model.Time           `json:"started_at"` // when the read was sent
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
	Epoch      uint64           `json:"epoch"` // epoch of the request
	SentAt     model.Time       `json:"sent_at"`
	Report     *model.Report    `json:"report,omitempty"`
	StaleEpoch uint64           `json:"stale_epoch,omitempty"` // the worker has seen this higher epoch
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
	Result     *worker.QueryResult `json:"result,omitempty"` // nil: no answer
	StaleEpoch uint64              `json:"stale_epoch,omitempty"`
}

// Controlled is the result of a Control effect.
type Controlled struct {
	Worker   model.WorkerName `json:"worker"`
	Action   worker.Action    `json:"action"`
	Tasks    []model.TaskID   `json:"tasks"`
	Delivery Delivery         `json:"delivery"`
}

// Status asks for the operators' view.
type Status struct {
	Request model.RequestID `json:"request"`
}

// Drain asks the instance to hand over and stop.
type Drain struct{}
