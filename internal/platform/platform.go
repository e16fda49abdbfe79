// Package platform is the narrow interface to the platform's log and VM list,
// with an adapter that speaks HTTP.
//
// Nothing outside the adapter may depend on how the platform encodes requests.
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

// ReadResult is the answer to a read.
type ReadResult struct {
	Records []Record `json:"records,omitempty"`
	Next    uint64   `json:"next"`  // offset to read from next time
	First   uint64   `json:"first"` // oldest offset that is still retained
	Tail    uint64   `json:"tail"`  // offset that the next append will get
}

// AtTail reports whether the reader has everything that was appended before
// the read was answered.
func (r ReadResult) AtTail() bool { return r.Next >= r.Tail }

// Platform is what gentianpick needs of the platform. Implementations are safe
// for concurrent use.
type Platform interface {
	// Append adds one record to a stream and returns its offset. A RefusedError
	// means that the record was certainly not appended; after any other error
	// it may have been.
	Append(ctx context.Context, stream string, payload []byte) (offset uint64, err error)
	// Read returns records from an offset on. It waits up to wait if there are
	// none yet. A from below First is moved up to First.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error)
	// VMs returns the lagging list of live and leaving VMs, workers included.
	VMs(ctx context.Context) ([]model.VM, error)
}

// RefusedError reports that an append certainly did not take effect.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "append refused: " + e.Reason }

// UnavailableError reports a call whose effect is not known: a time-out, a
// closed connection, or a server error.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string { return "platform " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *UnavailableError) Unwrap() error { return e.Cause }
