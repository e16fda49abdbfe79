// Package message defines the messages that instances send to each other.
//
// A message is delivered at most once per send. Its acknowledgement means only that
// the receiver has queued it for its reducer; replies are separate messages.
package message

import (
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Envelope is one message on the wire.
type Envelope struct {
	From model.Member `json:"from"`
	ID   string       `json:"id"`
	Body Body         `json:"body"`
}

// Body holds exactly one message.
type Body struct {
	Heartbeat      *Heartbeat      `json:"heartbeat,omitempty"`
	HeartbeatReply *HeartbeatReply `json:"heartbeat_reply,omitempty"`
	ConsentRequest *ConsentRequest `json:"consent_request,omitempty"`
	ConsentReply   *ConsentReply   `json:"consent_reply,omitempty"`
	Hold           *Hold           `json:"hold,omitempty"`
	HoldReply      *HoldReply      `json:"hold_reply,omitempty"`
	HeldRequest    *HeldRequest    `json:"held_request,omitempty"`
	HeldReply      *HeldReply      `json:"held_reply,omitempty"`
	Forward        *Forward        `json:"forward,omitempty"`
	Reply          *Reply          `json:"reply,omitempty"`
	TextRequest    *TextRequest    `json:"text_request,omitempty"`
	TextReply      *TextReply      `json:"text_reply,omitempty"`
}

// Heartbeat reports to a peer that the sender is alive, and which epoch and text it
// knows. The owner's heartbeat also requests a lease vote.
type Heartbeat struct {
	Epoch       uint64     `json:"epoch"`           // highest epoch known to the sender
	Owner       bool       `json:"owner,omitempty"` // the sender holds the lease of that epoch
	SentAt      model.Time `json:"sent_at"`         // sender's clock; echoed in the reply
	TextVersion uint64     `json:"text_version"`
	TextHash    uint64     `json:"text_hash"`
	Load        *Load      `json:"load,omitempty"` // of an owner; only to other data centres
	Draining    bool       `json:"draining,omitempty"`
}

// Load summarizes the load of an owner's data centre. Other data centres use it to
// choose where to forward interactive work.
type Load struct {
	Workers      int   `json:"workers"`
	FreeSlots    int64 `json:"free_slots"`
	WaitMicros   int64 `json:"wait_micros"` // predicted wait of an interactive task
	RunningTasks int   `json:"running_tasks"`
	WaitingTasks int   `json:"waiting_tasks"`
}

// HeartbeatReply answers a heartbeat. With LeaseVote, the sender votes for the owner's
// lease: it knows no epoch above Epoch and for the lease duration will neither claim
// nor consent to a claim.
type HeartbeatReply struct {
	Epoch       uint64        `json:"epoch"`
	SentAt      model.Time    `json:"sent_at"` // copied from the heartbeat
	LeaseVote   bool          `json:"voucher,omitempty"`
	TextVersion uint64        `json:"text_version"`
	TextHash    uint64        `json:"text_hash"`
	Owner       *model.Member `json:"owner,omitempty"` // owner of Epoch as known to the sender
	Load        *Load         `json:"load,omitempty"`  // of an owner; only to other data centres
}

// ConsentRequest asks an elector to consent to a claim.
type ConsentRequest struct {
	Epoch  uint64     `json:"epoch"` // the epoch to be claimed
	SentAt model.Time `json:"sent_at"`
}

// ConsentReply answers a consent request. An elector that has granted consent no
// longer votes for the lease of a lower epoch.
type ConsentReply struct {
	Epoch   uint64     `json:"epoch"`
	SentAt  model.Time `json:"sent_at"`
	Granted bool       `json:"granted"`
}

// Hold asks an elector to keep intents in memory while the log is unavailable.
type Hold struct {
	Epoch   uint64          `json:"epoch"`
	Intents []record.Intent `json:"intents"`
}

// HoldReply lists the task IDs of the intents that the elector now holds.
type HoldReply struct {
	Epoch uint64         `json:"epoch"`
	Tasks []model.TaskID `json:"tasks"`
}

// HeldRequest asks an elector for all intents that it holds. A new owner sends it.
type HeldRequest struct {
	Epoch uint64 `json:"epoch"` // the new owner's epoch
}

// HeldReply lists the intents that an elector holds.
type HeldReply struct {
	Epoch   uint64          `json:"epoch"`
	Intents []record.Intent `json:"intents"`
}

// ForwardKind is the operation of a forwarded request.
type ForwardKind string

// The kinds of forwarded request.
const (
	ForwardRequest ForwardKind = "request" // submit and wait for the outcome
	ForwardJob     ForwardKind = "job"     // submit and wait for acceptance
	ForwardQuery   ForwardKind = "query"   // get a job's state, or wait for its end
	ForwardCancel  ForwardKind = "cancel"
)

// Forward passes a caller's request to another instance.
type Forward struct {
	ID         string           `json:"id"`      // assigned by the origin; kept when the request is forwarded again
	Origin     model.Member     `json:"origin"`  // instance that received the caller's request; the reply goes there
	Request    model.RequestID  `json:"request"` // request ID at the origin
	Kind       ForwardKind      `json:"kind"`
	Submission model.Submission `json:"submission"`
	Job        model.JobID      `json:"job,omitempty"`
	Hops       int              `json:"hops"`         // number of forwards so far, including this one
	Remaining  int64            `json:"remaining_ns"` // time left until the deadline
}

// Reply answers a Forward.
type Reply struct {
	Request  model.RequestID `json:"request"`
	Answer   model.Answer    `json:"answer"`
	Forwards []string        `json:"forwards,omitempty"` // IDs of the forwards that this answers
}

// TextRequest asks a peer for its current text if the text's version is above Have.
type TextRequest struct {
	Have uint64 `json:"have"`
}

// TextReply carries the sender's current text.
type TextReply struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"`
	ID      string `json:"id"`
	Text    []byte `json:"text"`
	AsOf    uint64 `json:"as_of"`
}
