// Package store is what the product needs of the platform's store: streams of
// keyed records, of which the newest of each key is kept.
package store

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream names one stream.
type Stream int

// The streams.
const (
	Config      Stream = iota // the operator's configuration; read only
	Workers                   // the directory of workers; read only
	Progress                  // of one cell: what its owner has decided
	Submissions               // of one cell: jobs and cancellations, first part
)

// SubmissionPartition returns the stream of one partition of the submissions. The store
// serializes the appends to a stream, so submissions are spread over several.
func SubmissionPartition(part int) Stream { return Submissions + Stream(part) }

// Partition returns the partition number of a submission stream, and zero for other
// streams.
func (s Stream) Partition() int { return int(max(s-Submissions, 0)) }

var streamNames = [...]string{"config", "workers", "progress", "submissions"}

// String implements fmt.Stringer.
func (s Stream) String() string {
	if s >= Submissions {
		return streamNames[Submissions] + "-" + strconv.Itoa(s.Partition())
	}
	return streamNames[s]
}

// Record is one keyed record. An empty value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // in the stream; not used by appends
}

// Batch is the answer to a read.
type Batch struct {
	Records    []Record
	NextOffset int64 // offset at which the next read starts
	End        int64 // end offset of the stream at the time of the read
}

// Page is one page of the newest records of all keys. Pages of one listing are
// not a snapshot.
type Page struct {
	Records []Record
	More    bool
	End     int64 // end offset of the stream at the time of the read
}

// Fence lets the store refuse appends of writers that were replaced.
type Fence struct {
	Writer string
	Epoch  int64 // appends with a lower epoch than the highest seen fail
	Seq    int64 // counts the appends of an epoch; a repeat is not done twice
	// ExpectedEnd makes the append conditional on the stream's end offset. A negative
	// value makes it unconditional.
	ExpectedEnd int64
}

// Store keeps streams. Its errors are Errors.
type Store interface {
	// Append adds records, all or none, and returns the stream's new end. A nil
	// fence appends unconditionally.
	Append(ctx context.Context, s Stream, records []Record, f *Fence) (int64, error)
	// Read returns records from an offset on. If there are none yet, it waits
	// for one for at most the given time.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest records of the keys after the given one.
	Newest(ctx context.Context, s Stream, after string) (Page, error)
}

// ErrorKind classifies a failed call to the store.
type ErrorKind int

// The kinds of errors.
const (
	// NotApplied: the store certainly did not apply the call.
	NotApplied ErrorKind = iota
	// InDoubt: there was no answer. The call may have been applied, or may be later.
	InDoubt
	// EndMismatch: the stream does not end at Fence.ExpectedEnd.
	EndMismatch
	// Fenced: a writer with a higher epoch has appended.
	Fenced
	// OutOfSequence: the fence's sequence number does not follow the last one.
	OutOfSequence
	// Expired: the requested records were removed from the stream.
	Expired
	// Malformed: the answer could not be decoded.
	Malformed
)

var kindNames = [...]string{"not_done", "in_doubt", "moved", "fenced", "out_of_sequence", "expired", "unreadable"}

// String implements fmt.Stringer.
func (k ErrorKind) String() string { return kindNames[k] }

// Error is a failed call to the store.
type Error struct {
	Kind   ErrorKind
	Stream Stream
	Status int   // HTTP status, if there was an answer
	End    int64 // the stream's end offset; set for EndMismatch
	Cause  error // may be nil
}

func (e *Error) Error() string {
	text := "store: " + e.Stream.String() + ": " + e.Kind.String()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the error of the transport or decoder.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a store error, and InDoubt for any other error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return InDoubt
}
