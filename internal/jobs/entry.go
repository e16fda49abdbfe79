package jobs

import (
	"encoding/json"
	"math/bits"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Key prefixes. The store keeps the newest entry of each key. A job has up to three
// keys: its submission and its cancellation in the submissions stream, written by the
// VM that received the caller's request, and its progress in the progress stream,
// written by the cell's owner.
const (
	prefixJob      = "j"
	prefixCancel   = "c"
	prefixProgress = "p"
	prefixQueue    = "q"
	// KeyOwner is the key of the newest Claim of the cell.
	KeyOwner = "owner"
	// KeyUnreachable is the key of the newest UnreachableWorkers of the cell.
	KeyUnreachable = "unreachable"
)

// JobKey returns the key of a submission.
func JobKey(id ID) string { return prefixJob + string(id) }

// CancelKey returns the key of a cancellation.
func CancelKey(id ID) string { return prefixCancel + string(id) }

// ProgressKey returns the key of a job's progress, or of its first part.
func ProgressKey(id ID) string { return prefixProgress + string(id) }

// partSeparator stands between a job's ID and the number of a part of its progress.
const partSeparator = "."

// ProgressPartKey returns the key of a part of a job's progress. Jobs with many tasks have
// several parts, numbered from 0.
func ProgressPartKey(id ID, part int) string {
	if part == 0 {
		return ProgressKey(id)
	}
	return ProgressKey(id) + partSeparator + strconv.Itoa(part)
}

// ProgressPart returns the part of a job's progress that a key stands for, or -1 if its number
// is malformed.
func ProgressPart(key string) int {
	_, number, found := strings.Cut(key, partSeparator)
	if !found {
		return 0
	}
	if part, err := strconv.Atoi(number); err == nil && part > 0 {
		return part
	}
	return -1
}

// MaxEntryBytes bounds a stored value. It is below the largest record of the store, 256 KiB,
// with the key.
const MaxEntryBytes = 255 << 10

// MaxQueueNameBytes bounds the names of queues with an entry: keys have at most 255 bytes.
const MaxQueueNameBytes = 254

// QueueKey returns the key of a queue that is stored for its jobs.
func QueueKey(name string) string { return prefixQueue + name }

// QueueOfKey returns the name of the queue that a key of KindQueue stands for.
func QueueOfKey(key string) string { return key[len(prefixQueue):] }

// KeyKind is the kind of entry that a key stands for.
type KeyKind int

// Kinds of entries.
const (
	KindUnknown KeyKind = iota
	KindJob
	KindCancel
	KindProgress
	KindOwner
	KindQueue       // of a queue that is stored for its jobs
	KindUnreachable // of the list of workers that don't answer the owner
)

// ParseKey returns the kind of a key and the job that it belongs to, if any.
func ParseKey(key string) (KeyKind, ID) {
	switch {
	case key == KeyOwner:
		return KindOwner, ""
	case key == KeyUnreachable:
		return KindUnreachable, ""
	case strings.HasPrefix(key, prefixJob):
		return KindJob, ID(key[1:])
	case strings.HasPrefix(key, prefixCancel):
		return KindCancel, ID(key[1:])
	case strings.HasPrefix(key, prefixQueue):
		return KindQueue, ""
	case strings.HasPrefix(key, prefixProgress):
		id, _, _ := strings.Cut(key[1:], partSeparator)
		return KindProgress, ID(id)
	}
	return KindUnknown, ""
}

// EntryError reports a stored value that can't be decoded.
type EntryError struct {
	Key   string
	Cause error
}

func (e *EntryError) Error() string { return "stored entry " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the decoder's error.
func (e *EntryError) Unwrap() error { return e.Cause }

// Decode decodes a stored value, which is in the compact encoding or JSON. The error is
// an EntryError.
func Decode[T any](key string, value []byte) (T, error) {
	var out T
	if err := decode(value, &out); err != nil {
		return out, errors.WithStack(&EntryError{Key: key, Cause: err})
	}
	return out, nil
}

func decode(value []byte, out any) (err error) {
	if isCompact(value) {
		switch out := out.(type) {
		case *Progress:
			*out, err = decodeProgress(value)
			return err
		case *Job:
			*out, err = decodeJob(value)
			return err
		}
	}
	return json.Unmarshal(value, out)
}

// Encode returns a value as it is stored: submissions and progress in the compact
// encoding, and anything else, including progress that the compact encoding can't
// represent, as JSON. It panics if JSON can't represent the value, which doesn't happen
// for the types of this package.
func Encode(v any) []byte {
	switch v := v.(type) {
	case *Progress:
		if b, ok := encodeProgress(v); ok {
			return b
		}
	case Progress:
		return Encode(&v)
	case *Job:
		return encodeJob(v)
	case Job:
		return encodeJob(&v)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "stored value"))
	}
	return b
}

// Cancellation is the entry of a cancelled job. It is stored before the submission of the job if
// that is still in doubt when its caller cancels it.
type Cancellation struct {
	// Queues are those by whose routes the job was cancelled; none in entries of earlier builds.
	Queues []string `json:"queues,omitempty"`
	// AtMs is when the caller cancelled the job, in Unix milliseconds by the receiving VM's clock.
	AtMs int64 `json:"at,omitempty"`
}

// Claim is the entry by which an instance becomes the owner of a cell.
type Claim struct {
	Epoch      int64            `json:"epoch"`
	Owner      string           `json:"owner"`   // incarnation of the instance
	Address    string           `json:"address"` // IP:port for other instances
	DataCentre model.DataCentre `json:"dc"`
	// Released is set by an owner that releases its ownership.
	Released bool `json:"released,omitempty"`
	// UnreachableEpoch is the epoch of the UnreachableWorkers that the owner took over and keeps
	// to until it has stored its own; zero for none.
	UnreachableEpoch int64 `json:"unreachable,omitempty"`
}

// UnreachableWorkers is the list of workers that don't answer the owner. It extends the lease of
// none of them before the store has a newer list without it.
type UnreachableWorkers struct {
	Epoch   int64                                  `json:"epoch"` // of the owner
	Workers map[model.WorkerName]UnreachableWorker `json:"workers"`
}

// UnreachableWorker tells what may still go on at a worker that doesn't answer, as of when the
// list was written.
type UnreachableWorker struct {
	LeaseMs int64 `json:"lease"` // for which its lease lasts at most, in milliseconds
	LateMs  int64 `json:"late"`  // for which it may carry out starts without an answer, in milliseconds
}

// Progress is the durable state of one job.
type Progress struct {
	State  State           `json:"s"`
	Groups []GroupProgress `json:"g,omitempty"` // only groups with a task that was started
	// FinishedMs is the time at which the job reached a final state, in Unix
	// milliseconds. Retention is counted from it.
	FinishedMs int64 `json:"f,omitempty"`
}

// GroupProgress is the durable state of one step in one occurrence of a job.
type GroupProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"n,omitempty"`
	Done       Bitmap `json:"d,omitzero"`
	// Tasks lists the tasks that were started and are not done.
	Tasks []TaskProgress `json:"t,omitempty"`
	// Run, Failures and FailedRun belong to a gang, whose members share run numbers and
	// attempts. They mean the same as in TaskProgress.
	Run       int `json:"r,omitempty"`
	Failures  int `json:"x,omitempty"`
	FailedRun int `json:"y,omitempty"`
}

// TaskProgress is the durable state of a task that is not done.
type TaskProgress struct {
	Index     int `json:"i"`
	Run       int `json:"r,omitempty"` // highest run number used
	Failures  int `json:"x,omitempty"`
	FailedRun int `json:"y,omitempty"` // newest run that was counted as a failure
	// Worker is the worker that may be running the task, or may still start it. It is empty
	// if the task is certainly not running.
	Worker     model.WorkerName `json:"w,omitempty"`
	Checkpoint string           `json:"c,omitempty"`
	// Crash is set for a task that may have crashed its workers.
	Crash *CrashRecord `json:"z,omitempty"`
	// LateRun is the run whose start has no answer and may still be carried out at Worker;
	// zero if there is none.
	LateRun int `json:"l,omitempty"`
	// Waits says that run Run is over and was counted, and that the task waits for Worker because
	// of LateRun.
	Waits bool `json:"q,omitempty"`
}

// CrashRecord counts the workers that crashed while they ran a task.
type CrashRecord struct {
	Crashes  int   `json:"n,omitempty"`
	Presumed int   `json:"p,omitempty"` // further lost runs that may have ended in a crash
	Blamed   int   `json:"b,omitempty"` // crashes for which no task of another job can be to blame
	Suspect  bool  `json:"s,omitempty"` // may be to blame for the last crash
	AgeMs    int64 `json:"a,omitempty"` // of the run at the last crash, in milliseconds
}

// Bitmap is a set of small non-negative integers. In JSON, it is a string of 64-bit
// words in hexadecimal, least significant first.
type Bitmap struct{ words []uint64 }

// Set adds a number to the set.
func (b *Bitmap) Set(i int) {
	for len(b.words) <= i/64 {
		b.words = append(b.words, 0)
	}
	b.words[i/64] |= 1 << (i % 64)
}

// Has reports whether the set contains a number.
func (b Bitmap) Has(i int) bool {
	return i/64 < len(b.words) && b.words[i/64]&(1<<(i%64)) != 0
}

// Count returns the number of elements.
func (b Bitmap) Count() int {
	n := 0
	for _, w := range b.words {
		n += bits.OnesCount64(w)
	}
	return n
}

// MarshalText implements encoding.TextMarshaler.
func (b Bitmap) MarshalText() ([]byte, error) {
	var out []byte
	for i, w := range b.words {
		if i > 0 {
			out = append(out, '.')
		}
		out = strconv.AppendUint(out, w, 16)
	}
	return out, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bitmap) UnmarshalText(text []byte) error {
	b.words = nil
	if len(text) == 0 {
		return nil
	}
	for _, part := range strings.Split(string(text), ".") {
		w, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			return errors.Wrap(err, "bitmap")
		}
		b.words = append(b.words, w)
	}
	return nil
}
