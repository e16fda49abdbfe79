// Package keys is the idempotency-key table of a data centre, folded from its
// log stream. Every instance of the data centre has the same table; the owner
// decides with it whether a request with a key may start.
//
// Folding is a join: records may be folded twice, or in a snapshot after newer
// ones, without changing the result.
package keys

import (
	"sort"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Entry is what is known about one key.
type Entry struct {
	Job       model.JobID
	Service   string
	Key       model.Key
	Hash      uint64 // of the request; another request under the same key is refused
	Attempt   int    // newest attempt
	Intent    record.Intent
	Answer    *model.Answer // nil: in doubt or running
	Logged    bool          // Answer was read from the log
	ChangedAt model.Time    // when the entry last changed, by this instance's clock
}

// Retryable reports whether a request with this key may start again: every
// attempt so far certainly did not run.
func (e *Entry) Retryable() bool {
	return e.Answer != nil && e.Answer.Outcome == model.OutcomeNotRun
}

// InDoubt reports whether an attempt may be running or may have run, with no
// outcome known.
func (e *Entry) InDoubt() bool { return e.Answer == nil }

// Result says what folding an intent did.
type Result string

// The results of folding an intent.
const (
	Accepted   Result = "accepted" // new attempt; may be started by the epoch's owner
	Repeated   Result = "repeated" // already folded
	StaleEpoch Result = "void"     // its epoch was not current; must not be started
	Conflict   Result = "conflict" // the key has run or may have run under another attempt
)

// Table holds the entries by job id.
type Table struct {
	entries map[model.JobID]*Entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[model.JobID]*Entry)} }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the entry of a job, or nil.
func (t *Table) Get(job model.JobID) *Entry { return t.entries[job] }

// FoldIntent folds an intent. Epoch is the epoch in force at the record's
// offset. An intent with Late set was started already and is folded whatever
// its epoch.
func (t *Table) FoldIntent(now model.Time, epoch uint64, in record.Intent) Result {
	if in.Epoch != epoch && !in.Late {
		return StaleEpoch
	}
	return t.Restore(now, in)
}

// Restore adds an intent that is known to have been accepted: from a
// snapshot, from an elector's memory or from a worker's report.
func (t *Table) Restore(now model.Time, in record.Intent) Result {
	e := t.entries[in.Job]
	if e == nil {
		t.entries[in.Job] = &Entry{
			Job: in.Job, Service: in.Service, Key: in.Key, Hash: in.RequestHash,
			Attempt: in.Attempt, Intent: in, ChangedAt: now,
		}
		return Accepted
	}
	if e.Hash == 0 {
		e.Hash = in.RequestHash
	}
	switch {
	case in.Attempt == e.Attempt:
		if e.Intent.Task == "" {
			e.Intent = in
		}
		// An intent that electors held may have been given more time than the
		// copy in the log. Only after the later time has it certainly not run.
		e.Intent.NotAfter = max(e.Intent.NotAfter, in.NotAfter)
		return Repeated
	case in.Attempt < e.Attempt:
		return Repeated
	case e.Answer != nil && e.Answer.Outcome != model.OutcomeNotRun:
		return Conflict
	}
	// The attempt before did not run, so this one may be for another request.
	e.Hash = in.RequestHash
	e.Attempt, e.Intent, e.Answer, e.Logged, e.ChangedAt = in.Attempt, in, nil, false, now
	return Accepted
}

// FoldOutcome folds the outcome of an attempt from the log.
func (t *Table) FoldOutcome(now model.Time, o record.Outcome) {
	t.AddOutcome(now, o)
	if e := t.entries[o.Answer.Job]; e.Answer != nil && e.Answer.Outcome == o.Answer.Outcome {
		e.Logged = true
	}
}

// AddOutcome takes over an outcome that the log may lack. "Done" and "failed" are
// kept over anything else; "unknown" is kept over "not run"; "not run" counts
// only for the newest attempt.
func (t *Table) AddOutcome(now model.Time, o record.Outcome) {
	a := o.Answer
	e := t.entries[a.Job]
	if e == nil {
		t.entries[a.Job] = &Entry{
			Job: a.Job, Service: o.Service, Key: o.Key, Attempt: o.Attempt, Answer: &a, ChangedAt: now,
			Hash: o.RequestHash,
		}
		return
	}
	if e.Answer != nil && rank(e.Answer.Outcome) > 1 && rank(a.Outcome) <= rank(e.Answer.Outcome) {
		return
	}
	if a.Outcome == model.OutcomeNotRun && o.Attempt < e.Attempt {
		return
	}
	if o.Attempt > e.Attempt && o.RequestHash != 0 {
		e.Hash = o.RequestHash
	}
	e.Answer, e.Logged, e.ChangedAt = &a, false, now
	e.Attempt = max(e.Attempt, o.Attempt)
}

// rank orders outcomes by how much they say.
func rank(o model.Outcome) int {
	switch o {
	case model.OutcomeDone, model.OutcomeFailed:
		return 3
	case model.OutcomeUnknown:
		return 2
	case model.OutcomeNotRun:
		return 1
	}
	return 0
}

// Expire forgets settled keys that have not changed for the given time. Keys
// in doubt are kept.
func (t *Table) Expire(now model.Time, life time.Duration) int {
	n := 0
	for job, e := range t.entries {
		if e.Answer != nil && now.Sub(e.ChangedAt) > life {
			delete(t.entries, job)
			n++
		}
	}
	return n
}

// Sorted returns all entries in the order of their job ids.
func (t *Table) Sorted() []*Entry {
	out := make([]*Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job < out[j].Job })
	return out
}

// InDoubt returns the entries in doubt in the order of their job ids.
func (t *Table) InDoubt() []*Entry {
	var out []*Entry
	for _, e := range t.entries {
		if e.InDoubt() {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job < out[j].Job })
	return out
}

// UnloggedOutcomes returns the outcomes that were not read from the log, in the order
// of their job ids.
func (t *Table) UnloggedOutcomes(epoch uint64) []record.Outcome {
	var out []record.Outcome
	for _, e := range t.Sorted() {
		if e.Answer != nil && !e.Logged {
			out = append(out, record.Outcome{
				Epoch: epoch, Service: e.Service, Key: e.Key, RequestHash: e.Hash, Attempt: e.Attempt,
				Answer: *e.Answer, Worker: e.Intent.Worker, Task: e.Intent.Task,
			})
		}
	}
	return out
}

// Records returns the records from which the entry can be folded again.
func (e *Entry) Records(epoch uint64) []record.Entry {
	var out []record.Entry
	if e.Intent.Task != "" && e.Answer == nil {
		in := e.Intent
		out = append(out, record.Entry{Intent: &in})
	}
	if e.Answer != nil {
		out = append(out, record.Entry{Outcome: &record.Outcome{
			Epoch: epoch, Service: e.Service, Key: e.Key, RequestHash: e.Hash,
			Attempt: e.Attempt, Answer: *e.Answer,
		}})
	}
	return out
}
