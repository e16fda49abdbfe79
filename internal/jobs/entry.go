package jobs

import (
	"encoding/json"
	"math/bits"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/model"
)

// The store keeps the newest entry of each key. A job has up to three keys:
// its submission and its cancellation in the submissions stream, written by
// the VM that the caller reached, and its progress in the progress stream,
// written by the cell's owner.
const (
	prefixJob    = "j"
	prefixCancel = "c"
	prefixState  = "p"
	// KeyOwner is the key of the cell's newest claim.
	KeyOwner = "owner"
)

// JobKey returns the key of a submission.
func JobKey(id ID) string { return prefixJob + string(id) }

// CancelKey returns the key of a cancellation.
func CancelKey(id ID) string { return prefixCancel + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id ID) string { return prefixState + string(id) }

// KeyKind says what an entry holds.
type KeyKind int

// The kinds of entries.
const (
	KindUnknown KeyKind = iota
	KindJob
	KindCancel
	KindProgress
	KindOwner
)

// ParseKey returns what a key stands for, and the job it belongs to.
func ParseKey(key string) (KeyKind, ID) {
	switch {
	case key == KeyOwner:
		return KindOwner, ""
	case strings.HasPrefix(key, prefixJob):
		return KindJob, ID(key[1:])
	case strings.HasPrefix(key, prefixCancel):
		return KindCancel, ID(key[1:])
	case strings.HasPrefix(key, prefixState):
		return KindProgress, ID(key[1:])
	}
	return KindUnknown, ""
}

// EntryError reports a stored value that can't be read.
type EntryError struct {
	Key   string
	Cause error
}

func (e *EntryError) Error() string { return "stored entry " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the decoder's error.
func (e *EntryError) Unwrap() error { return e.Cause }

// Decode reads a stored value in either form. The error is an EntryError.
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
			*out, err = expandProgress(value)
			return err
		case *Job:
			*out, err = expandJob(value)
			return err
		}
	}
	return json.Unmarshal(value, out)
}

// Encode returns the stored form of a value: the compact one of submissions and
// progress, and JSON of anything else. The types of this package always have one.
func Encode(v any) []byte {
	switch v := v.(type) {
	case *Progress:
		if b, ok := compactProgress(v); ok {
			return b
		}
	case Progress:
		return Encode(&v)
	case *Job:
		return compactJob(v)
	case Job:
		return compactJob(&v)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "stored value"))
	}
	return b
}

// Claim makes an instance the owner of a cell.
type Claim struct {
	Epoch      int64            `json:"epoch"`
	Owner      string           `json:"owner"`   // the instance's incarnation
	Address    string           `json:"address"` // IP:port for other instances
	DataCentre model.DataCentre `json:"dc"`
	// Released is set by an owner that gives the cell up.
	Released bool `json:"released,omitempty"`
}

// Progress is the durable state of one job.
type Progress struct {
	State  State           `json:"s"`
	Groups []GroupProgress `json:"g,omitempty"` // only those that were touched
	// FinishedMs is the Unix millisecond of a final state, for retention.
	FinishedMs int64 `json:"f,omitempty"`
}

// GroupProgress is the state of one step of one occurrence.
type GroupProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"n,omitempty"`
	Done       Bitmap `json:"d,omitzero"`
	// Tasks lists tasks that are not done and have been started.
	Tasks []TaskProgress `json:"t,omitempty"`
	// Of a gang, whose members share run numbers and attempts.
	Run       int `json:"r,omitempty"`
	Failures  int `json:"x,omitempty"`
	FailedRun int `json:"y,omitempty"`
}

// TaskProgress is the state of a task that is not done.
type TaskProgress struct {
	Index     int `json:"i"`
	Run       int `json:"r,omitempty"` // highest run number used
	Failures  int `json:"x,omitempty"`
	FailedRun int `json:"y,omitempty"` // newest run that counts as a failure
	// Worker may be running the task; empty if certainly none does.
	Worker     model.WorkerName `json:"w,omitempty"`
	Checkpoint string           `json:"c,omitempty"`
}

// Bitmap is a set of small numbers. Its JSON form is hexadecimal.
type Bitmap struct{ words []uint64 }

// Set adds a number.
func (b *Bitmap) Set(i int) {
	for len(b.words) <= i/64 {
		b.words = append(b.words, 0)
	}
	b.words[i/64] |= 1 << (i % 64)
}

// Has reports whether the set holds a number.
func (b Bitmap) Has(i int) bool {
	return i/64 < len(b.words) && b.words[i/64]&(1<<(i%64)) != 0
}

// Count returns the size of the set.
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
