// Package message defines the messages that instances send to each other.
//
// A message is delivered at most once per send. Its acknowledgement says only
// that the receiving reducer has taken it; answers are messages of their own.
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

// Heartbeat tells a peer that the sender is alive and what it knows. The
// owner's heartbeat also asks for a voucher.
type Heartbeat struct {
	Epoch       uint64     `json:"epoch"`           // highest epoch the sender knows
	Owner       bool       `json:"owner,omitempty"` // the sender holds the lease of that epoch
	SentAt      model.Time `json:"sent_at"`         // sender's clock; echoed in the reply
	TextVersion uint64     `json:"text_version"`
	TextHash    uint64     `json:"text_hash"`
	Load        *Load      `json:"load,omitempty"` // of an owner; only to other data centres
	Draining    bool       `json:"draining,omitempty"`
}

// Load is an owner's summary, from which other data centres choose where to
// forward interactive work.
type Load struct {
	Workers      int   `json:"workers"`
	FreeSlots    int64 `json:"free_slots"`
	WaitMicros   int64 `json:"wait_micros"` // predicted wait of an interactive task
	RunningTasks int   `json:"running_tasks"`
	WaitingTasks int   `json:"waiting_tasks"`
}

// HeartbeatReply answers a heartbeat. Voucher true is a promise: the sender
// knows no epoch above Epoch and will for the lease time neither claim nor
// consent to a claim.
type HeartbeatReply struct {
	Epoch       uint64        `json:"epoch"`
	SentAt      model.Time    `json:"sent_at"` // copied from the heartbeat
	LeaseVote   bool          `json:"voucher,omitempty"`
	TextVersion uint64        `json:"text_version"`
	TextHash    uint64        `json:"text_hash"`
	Owner       *model.Member `json:"owner,omitempty"` // owner of Epoch as the sender knows it
	Load        *Load         `json:"load,omitempty"`  // of an owner; only to other data centres
}

// ConsentRequest asks an elector to agree to a claim.
type ConsentRequest struct {
	Epoch  uint64     `json:"epoch"` // the epoch to be claimed
	SentAt model.Time `json:"sent_at"`
}

// ConsentReply answers a consent request. A granted consent is a promise not
// to vouch for a lower epoch any more.
type ConsentReply struct {
	Epoch   uint64     `json:"epoch"`
	SentAt  model.Time `json:"sent_at"`
	Granted bool       `json:"granted"`
}

// Hold asks an elector to keep intents in memory while the log is out.
type Hold struct {
	Epoch   uint64          `json:"epoch"`
	Intents []record.Intent `json:"intents"`
}

// HoldReply confirms intents that are held, by task id.
type HoldReply struct {
	Epoch uint64         `json:"epoch"`
	Tasks []model.TaskID `json:"tasks"`
}

// HeldRequest asks an elector for all intents that it holds; sent by a new owner.
type HeldRequest struct {
	Epoch uint64 `json:"epoch"` // the new owner's epoch
}

// HeldReply lists held intents.
type HeldReply struct {
	Epoch   uint64          `json:"epoch"`
	Intents []record.Intent `json:"intents"`
}

// ForwardKind says what a forwarded request asks for.
type ForwardKind string

// The kinds of forwarded request.
const (
	ForwardRequest ForwardKind = "request" // submit and wait for the outcome
	ForwardJob     ForwardKind = "job"     // submit and wait for acceptance
	ForwardQuery   ForwardKind = "query"   // ask for a job's state, or wait for its end
	ForwardCancel  ForwardKind = "cancel"
)

// Forward hands a caller's request to another instance.
type Forward struct {
	ID         string           `json:"id"`      // of this forward at its origin; one that is passed on keeps it
	Origin     model.Member     `json:"origin"`  // instance that the caller called; the reply goes there
	Request    model.RequestID  `json:"request"` // id at the instance that the caller called
	Kind       ForwardKind      `json:"kind"`
	Submission model.Submission `json:"submission"`
	Job        model.JobID      `json:"job,omitempty"`
	Hops       int              `json:"hops"`         // forwards so far, this one included
	Remaining  int64            `json:"remaining_ns"` // time left until the deadline
}

// Reply answers a Forward.
type Reply struct {
	Request  model.RequestID `json:"request"`
	Answer   model.Answer    `json:"answer"`
	Forwards []string        `json:"forwards,omitempty"` // that this answer is for
}

// TextRequest asks a peer for the text in force if its version is above Have.
type TextRequest struct {
	Have uint64 `json:"have"`
}

// TextReply carries a text in force.
type TextReply struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"`
	ID      string `json:"id"`
	Text    []byte `json:"text"`
	AsOf    uint64 `json:"as_of"`
}
