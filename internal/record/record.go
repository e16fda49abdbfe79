// Package record defines the records that gentianpick keeps in the platform's
// log and their encoding: JSON, compressed with zstd if that saves something.
//
// One append carries one Batch. Its entries are folded in order at the
// batch's offset. A batch whose sequence number was already folded is ignored, so that an
// append with a lost answer may be repeated.
package record

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/model"
)

// ConfigStream carries the published service text of all data centres.
const ConfigStream = "config"

// DataCentreStream returns the stream with the claims, jobs, intents and
// outcomes of one data centre.
func DataCentreStream(dc model.DataCentre) string { return "dc/" + string(dc) }

// Batch is the payload of one append.
type Batch struct {
	ID      string            `json:"id"`
	Seq     uint64            `json:"seq,omitempty"` // rises per writer; a batch at or below the last folded one is ignored. Zero: not checked
	Writer  model.Incarnation `json:"writer"`
	Entries []Entry           `json:"entries"`
}

// Entry holds exactly one record.
type Entry struct {
	Claim    *Claim    `json:"claim,omitempty"`
	Release  *Release  `json:"release,omitempty"`
	Accept   *Accept   `json:"accept,omitempty"`
	Progress *Progress `json:"progress,omitempty"`
	Finish   *Finish   `json:"finish,omitempty"`
	Cancel   *Cancel   `json:"cancel,omitempty"`
	Intent   *Intent   `json:"intent,omitempty"`
	Outcome  *Outcome  `json:"outcome,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Boot     *Boot     `json:"boot,omitempty"`
	KeysLost *KeysLost `json:"keys_lost,omitempty"`
	Publish  *Publish  `json:"publish,omitempty"`
	Carry    *Carry    `json:"carry,omitempty"`
}

// Claim takes the scheduler lease of a data centre. It is accepted only if
// Epoch is above the current epoch; the first in offset order wins.
type Claim struct {
	Epoch    uint64         `json:"epoch"`
	Owner    model.Member   `json:"owner"`
	Electors []model.Member `json:"electors"` // members whose majority vouches, consents and holds intents
}

// Release ends an owner's epoch at its own wish. The successor of a release
// need not wait for the lease to run out.
type Release struct {
	Epoch uint64 `json:"epoch"`
}

// Accept makes a batch or gang job, or an idempotent job with a key, durable.
type Accept struct {
	Epoch       uint64           `json:"epoch"`
	Job         model.JobID      `json:"job"`
	Submission  model.Submission `json:"submission"`
	RequestHash uint64           `json:"request_hash,omitempty"`
	DeadlineAt  time.Time        `json:"deadline_at"` // wall clock; only ordering and forecasts depend on it
}

// Progress records finished tasks of a job, in groups.
type Progress struct {
	Epoch  uint64       `json:"epoch"`
	Job    model.JobID  `json:"job"`
	Done   []TaskResult `json:"done,omitempty"`
	Failed []TaskResult `json:"failed,omitempty"`
}

// TaskResult is the end of one task of a job.
type TaskResult struct {
	Index  int    `json:"index"`
	Result []byte `json:"result,omitempty"` // or the message of a failure
}

// Finish records the end of a job.
type Finish struct {
	Epoch  uint64       `json:"epoch"`
	Job    model.JobID  `json:"job"`
	Answer model.Answer `json:"answer"`
}

// Cancel records that an accepted job was cancelled.
type Cancel struct {
	Epoch uint64      `json:"epoch"`
	Job   model.JobID `json:"job"`
}

// Intent records that a non-idempotent task is about to start. It is void if
// its epoch is not current at its offset; a void intent is never started.
type Intent struct {
	Epoch       uint64           `json:"epoch"`
	Service     string           `json:"service"`
	Key         model.Key        `json:"key"`
	RequestHash uint64           `json:"request_hash"`
	Job         model.JobID      `json:"job"`
	Task        model.TaskID     `json:"task"`
	Attempt     int              `json:"attempt"`
	Worker      model.WorkerName `json:"worker"`
	Boot        string           `json:"boot"`      // the worker's boot id when the intent was made
	NotAfter    model.WorkerTime `json:"not_after"` // on the worker's clock; a later start is refused
	Resources   model.Resources  `json:"resources"`
	Late        bool             `json:"late,omitempty"` // held by electors while the log was out, then appended
}

// Outcome records what became of an intent.
type Outcome struct {
	Epoch       uint64           `json:"epoch"`
	Service     string           `json:"service"`
	Key         model.Key        `json:"key"`
	RequestHash uint64           `json:"request_hash"`
	Attempt     int              `json:"attempt"`
	Answer      model.Answer     `json:"answer"`
	Worker      model.WorkerName `json:"worker,omitempty"` // that keeps the result until this record is read back
	Task        model.TaskID     `json:"task,omitempty"`
}

// Boot records the boot id of a worker that reported to an owner. A worker with
// another boot than the last one recorded may have forgotten tasks that only it
// knew. An empty Boot says that the worker was removed.
type Boot struct {
	Worker model.WorkerName `json:"worker"`
	Boot   string           `json:"boot,omitempty"`
}

// KeysLost records that an owner took over after a loss that may have taken
// intents with it. Keys that are not known may have run, until the life of a
// key has passed.
type KeysLost struct {
	Until time.Time `json:"until"` // wall clock
}

// Snapshot carries still needed state of a data centre's stream forward, so
// that it outlives the log's retention. Folding an entry twice has no effect.
type Snapshot struct {
	Epoch   uint64  `json:"epoch"`
	AsOf    uint64  `json:"as_of"` // offset of the last record the writer had folded
	Part    int     `json:"part"`
	Parts   int     `json:"parts"`
	Claim   *Claim  `json:"claim,omitempty"` // the claim in force; in part 0
	Entries []Entry `json:"entries"`
}

// Publish proposes a new service text. It is accepted only if Base is the
// version in force at its offset; the new version is Base+1.
type Publish struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	Text []byte `json:"text"`
}

// Carry writes the text in force again before the log forgets it.
type Carry struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"` // xxhash of Text
	Text    []byte `json:"text"`
	ID      string `json:"id"`    // publish id that made this version
	AsOf    uint64 `json:"as_of"` // offset of the last record the writer had folded
}

// Encode returns the payload of an append.
func Encode(b Batch) ([]byte, error) {
	p, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	return pack(p), nil
}

// Decode parses the payload of a log record.
func Decode(p []byte) (Batch, error) {
	var b Batch
	p, err := unpack(p)
	if err != nil {
		return Batch{}, &DecodeError{Cause: err}
	}
	if err := json.Unmarshal(p, &b); err != nil {
		return Batch{}, &DecodeError{Cause: err}
	}
	return b, nil
}

// DecodeError reports a log record that is not a batch.
type DecodeError struct{ Cause error }

func (e *DecodeError) Error() string { return "log record is not a batch: " + e.Cause.Error() }

// Unwrap returns the JSON error.
func (e *DecodeError) Unwrap() error { return e.Cause }
