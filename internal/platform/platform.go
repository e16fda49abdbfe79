// Package platform defines the interface to the platform's log and VM list and
// implements it over HTTP.
//
// Only the HTTP implementation may depend on how the platform encodes requests.
package platform

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Record is one record of a log stream.
type Record struct {
	Offset  uint64 `json:"offset"`
	Payload []byte `json:"payload"`
}

// ReadResult is the result of a read.
type ReadResult struct {
	Records []Record `json:"records,omitempty"`
	Next    uint64   `json:"next"`  // offset at which the next read starts
	First   uint64   `json:"first"` // oldest retained offset
	Tail    uint64   `json:"tail"`  // offset that the next append will get
}

// AtTail reports whether the reader has caught up: it has every record that was appended
// before the platform answered the read.
func (r ReadResult) AtTail() bool { return r.Next >= r.Tail }

// Platform is the set of platform operations that gentianpick uses. Implementations are
// safe for concurrent use.
type Platform interface {
	// Append adds one record to a stream and returns the record's offset. A RefusedError
	// guarantees that the record was not appended; after any other error it may have been.
	Append(ctx context.Context, stream string, payload []byte) (offset uint64, err error)
	// Read returns the records at offset from and later. If there are none yet, it waits
	// for them for at most wait. If from is below First, the read starts at First.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error)
	// VMs returns the list of live and leaving VMs, workers included. The list may lag
	// behind the actual state.
	VMs(ctx context.Context) ([]model.VM, error)
}

// RefusedError reports an append that is guaranteed not to have taken effect.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "append refused: " + e.Reason }

// UnavailableError reports a call that failed with unknown effect: a timeout, a closed
// connection or a server error.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string { return "platform " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the underlying transport or decoding error.
func (e *UnavailableError) Unwrap() error { return e.Cause }
