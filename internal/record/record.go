// Package record defines the records that gentianpick writes to the platform's log
// and their encoding: JSON, compressed with zstd if that makes it smaller.
//
// One append carries one Batch. Its entries are folded in order at the batch's
// offset. A batch whose sequence number was already folded is ignored, so that an
// append may be retried if its answer was lost.
package record

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/model"
)

// ConfigStream is the stream with the published service texts of all data centres.
const ConfigStream = "config"

// DataCentreStream returns the stream with the claims, jobs, intents and
// outcomes of one data centre.
func DataCentreStream(dc model.DataCentre) string { return "dc/" + string(dc) }

// Batch is the payload of one append.
type Batch struct {
	ID      string            `json:"id"`
	Seq     uint64            `json:"seq,omitempty"` // increases per writer; a batch at or below the last folded one is ignored. Zero: not checked
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
	Electors []model.Member `json:"electors"` // members whose majority votes for the lease, consents to claims and holds intents
}

// Release ends an epoch at the owner's request. After a release, the next owner
// need not wait for the lease to expire.
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

// Progress records a group of finished tasks of a job.
type Progress struct {
	Epoch  uint64       `json:"epoch"`
	Job    model.JobID  `json:"job"`
	Done   []TaskResult `json:"done,omitempty"`
	Failed []TaskResult `json:"failed,omitempty"`
}

// TaskResult is the result of one finished task of a job.
type TaskResult struct {
	Index  int    `json:"index"`
	Result []byte `json:"result,omitempty"` // the error message if the task failed
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

// Intent records that a non-idempotent task is about to start. It is void if its
// epoch is not current at its offset; the task of a void intent is never started.
type Intent struct {
	Epoch       uint64           `json:"epoch"`
	Service     string           `json:"service"`
	Key         model.Key        `json:"key"`
	RequestHash uint64           `json:"request_hash"`
	Job         model.JobID      `json:"job"`
	Task        model.TaskID     `json:"task"`
	Attempt     int              `json:"attempt"`
	Worker      model.WorkerName `json:"worker"`
	Boot        string           `json:"boot"`      // the worker's boot ID when the intent was created
	NotAfter    model.WorkerTime `json:"not_after"` // on the worker's clock; the worker rejects a later start
	Resources   model.Resources  `json:"resources"`
	Late        bool             `json:"late,omitempty"` // held by electors while the log was unavailable, appended afterwards
}

// Outcome records the final answer of an intent.
type Outcome struct {
	Epoch       uint64           `json:"epoch"`
	Service     string           `json:"service"`
	Key         model.Key        `json:"key"`
	RequestHash uint64           `json:"request_hash"`
	Attempt     int              `json:"attempt"`
	Answer      model.Answer     `json:"answer"`
	Worker      model.WorkerName `json:"worker,omitempty"` // worker that keeps the result until this record is read from the log
	Task        model.TaskID     `json:"task,omitempty"`
}

// Boot records the boot ID of a worker that reported to an owner. If a worker's boot
// ID differs from the last one recorded, it has restarted and may have lost tasks
// that were recorded nowhere else. An empty Boot means that the worker was removed.
type Boot struct {
	Worker model.WorkerName `json:"worker"`
	Boot   string           `json:"boot,omitempty"`
}

// KeysLost records that an owner took over after a failure in which intents may have
// been lost. Before Until, a task of an unknown key may have run; Until is the time at
// which the lifetime of the lost keys has passed.
type KeysLost struct {
	Until time.Time `json:"until"` // wall clock
}

// Snapshot rewrites the state of a data centre's stream that is still needed, so
// that it outlives the log's retention. Folding an entry twice has no effect.
type Snapshot struct {
	Epoch   uint64  `json:"epoch"`
	AsOf    uint64  `json:"as_of"` // offset of the last record the writer had folded
	Part    int     `json:"part"`
	Parts   int     `json:"parts"`
	Claim   *Claim  `json:"claim,omitempty"` // the current claim; in part 0 only
	Entries []Entry `json:"entries"`
}

// Publish proposes a new service text. It is accepted only if Base is the
// current version at its offset; the new version is Base+1.
type Publish struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	Text []byte `json:"text"`
}

// Carry rewrites the current text before the log's retention removes it.
type Carry struct {
	Version uint64 `json:"version"`
	Hash    uint64 `json:"hash"` // xxhash of Text
	Text    []byte `json:"text"`
	ID      string `json:"id"`    // publish ID of this version
	AsOf    uint64 `json:"as_of"` // offset of the last record the writer had folded
}

// Encode returns the payload of an append.
func Encode(b Batch) ([]byte, error) {
	p, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	return compress(p), nil
}

// Decode parses the payload of a log record.
func Decode(p []byte) (Batch, error) {
	var b Batch
	p, err := decompress(p)
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

// Unwrap returns the zstd or JSON error.
func (e *DecodeError) Unwrap() error { return e.Cause }
