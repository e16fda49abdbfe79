// Package store defines the interface to the platform's store. It holds compacted streams
// of keyed records: the latest record of each key is kept.
package store

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream identifies a stream.
type Stream int

// The streams. Those from Submissions on are the partitions of the submissions.
const (
	Config      Stream = iota // the operator's configuration; read-only
	Workers                   // the directory of workers; read-only
	Progress                  // the decisions of the owner of the cell
	Submissions               // jobs and cancellations of the cell, first partition
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

// Record is a keyed record. An empty value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // offset in the stream; ignored by appends
}

// Batch is the result of a read.
type Batch struct {
	Records    []Record
	NextOffset int64 // offset at which the next read starts
	End        int64 // end offset of the stream at the time of the read
}

// Page is one page of a listing of the latest record of each key. The pages of one listing
// are not a consistent snapshot.
type Page struct {
	Records []Record
	More    bool
	End     int64 // end offset of the stream at the time of the read
}

// Fence lets the store refuse appends of a writer that was replaced by another one.
type Fence struct {
	Writer string
	Epoch  int64 // appends with a lower epoch than the highest seen fail
	Seq    int64 // counts the appends of an epoch; a duplicate is not applied again
	// ExpectedEnd makes the append conditional on the stream's end offset. A negative
	// value makes it unconditional.
	ExpectedEnd int64
}

// Store is a client of the store. Its methods return errors of type *Error.
type Store interface {
	// Append appends records atomically and returns the stream's new end offset. A nil
	// fence makes the append unconditional.
	Append(ctx context.Context, s Stream, records []Record, f *Fence) (int64, error)
	// Read returns records from an offset on. If there are none, it waits up to wait for
	// one to be appended. It fails if the store sends nothing for the given time beyond that.
	Read(ctx context.Context, s Stream, from int64, wait, stallTimeout time.Duration) (Batch, error)
	// Newest returns a page of the latest records of the keys after the given key. It
	// fails if the store sends nothing for the given time.
	Newest(ctx context.Context, s Stream, after string, stallTimeout time.Duration) (Page, error)
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
	// OutOfSequence: Fence.Seq does not follow the sequence number of the last append.
	OutOfSequence
	// Expired: the requested records were removed from the stream.
	Expired
	// Malformed: the answer could not be decoded.
	Malformed
)

var errorKindNames = [...]string{"not_done", "in_doubt", "moved", "fenced", "out_of_sequence", "expired", "unreadable"}

// String implements fmt.Stringer.
func (k ErrorKind) String() string { return errorKindNames[k] }

// Error reports a failed call to the store.
type Error struct {
	Kind   ErrorKind
	Stream Stream
	Status int   // HTTP status; zero if there was no answer
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

// Unwrap returns the error of the transport or the decoder.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a store error, and InDoubt for any other error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return InDoubt
}
