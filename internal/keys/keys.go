// Package keys is the idempotency-key table of a data centre. Each instance of
// the data centre builds the same table by folding the records of the data
// centre's log stream. The owner uses the table to decide whether a request with
// a key may start.
//
// Folding is idempotent: a record that is folded twice, or that is folded from a
// snapshot after newer records, doesn't change the result.
package keys

import (
	"sort"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Entry is the state of one key.
type Entry struct {
	Job       model.JobID
	Service   string
	Key       model.Key
	Hash      uint64 // of the request; a different request with the same key is refused
	Attempt   int    // number of the newest attempt
	Intent    record.Intent
	Answer    *model.Answer // nil: running or in doubt
	Logged    bool          // Answer was read from the log
	ChangedAt model.Time    // time of the last change, by this instance's clock
}

// Retryable reports whether a request with this key may start again, since no
// earlier attempt has run or can still run.
func (e *Entry) Retryable() bool {
	return e.Answer != nil && e.Answer.Outcome == model.OutcomeNotRun
}

// InDoubt reports whether an attempt may be running or may have run and its
// outcome is not known.
func (e *Entry) InDoubt() bool { return e.Answer == nil }

// Result is the effect of folding an intent.
type Result string

// The results of folding an intent.
const (
	Accepted   Result = "accepted" // new attempt; the owner of the epoch may start it
	Repeated   Result = "repeated" // already folded
	StaleEpoch Result = "void"     // the intent's epoch is not the current one; must not be started
	Conflict   Result = "conflict" // another attempt of the key has run or may have run
)

// Table maps job ids to entries.
type Table struct {
	entries map[model.JobID]*Entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[model.JobID]*Entry)} }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the entry of a job, or nil.
func (t *Table) Get(job model.JobID) *Entry { return t.entries[job] }

// FoldIntent folds an intent. The epoch argument is the current epoch at the
// record's offset. An intent with Late set belongs to a task that was started
// already and is folded whatever its epoch.
func (t *Table) FoldIntent(now model.Time, epoch uint64, in record.Intent) Result {
	if in.Epoch != epoch && !in.Late {
		return StaleEpoch
	}
	return t.Restore(now, in)
}

// Restore adds an intent that is known to have been accepted, since it comes
// from a snapshot, an elector's memory or a worker's report.
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
		// The copy of an intent that electors held may have a later not-after time
		// than the copy in the log. The task can start until the later of the two.
		e.Intent.NotAfter = max(e.Intent.NotAfter, in.NotAfter)
		return Repeated
	case in.Attempt < e.Attempt:
		return Repeated
	case e.Answer != nil && e.Answer.Outcome != model.OutcomeNotRun:
		return Conflict
	}
	// The previous attempt did not run, so this one may be for another request.
	e.Hash = in.RequestHash
	e.Attempt, e.Intent, e.Answer, e.Logged, e.ChangedAt = in.Attempt, in, nil, false, now
	return Accepted
}

// FoldOutcome folds the outcome of an attempt that was read from the log.
func (t *Table) FoldOutcome(now model.Time, o record.Outcome) {
	t.AddOutcome(now, o)
	if e := t.entries[o.Answer.Job]; e.Answer != nil && e.Answer.Outcome == o.Answer.Outcome {
		e.Logged = true
	}
}

// AddOutcome adds an outcome that may be missing from the log. A "done" or
// "failed" is never replaced, and an "unknown" only by one of these two. A "not
// run" of an attempt other than the newest is ignored.
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
	if e.Answer != nil && certainty(e.Answer.Outcome) > 1 && certainty(a.Outcome) <= certainty(e.Answer.Outcome) {
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

// certainty ranks outcomes. An outcome above 1 is replaced only by a higher one.
func certainty(o model.Outcome) int {
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

// Expire removes answered keys that have not changed for longer than retention
// and returns their number. Keys in doubt are kept.
func (t *Table) Expire(now model.Time, retention time.Duration) int {
	n := 0
	for job, e := range t.entries {
		if e.Answer != nil && now.Sub(e.ChangedAt) > retention {
			delete(t.entries, job)
			n++
		}
	}
	return n
}

// Sorted returns all entries, sorted by job id.
func (t *Table) Sorted() []*Entry {
	out := make([]*Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job < out[j].Job })
	return out
}

// InDoubt returns the entries in doubt, sorted by job id.
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

// UnloggedOutcomes returns the outcomes that were not read from the log, sorted
// by job id.
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

// Records returns the records that restore the entry when they are folded.
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
