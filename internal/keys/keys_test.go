package keys

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// TestMain fixes the seed of the property tests to make runs reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const job = model.JobID("tartu/k1")

func intent(epoch uint64, attempt int) record.Intent {
	return record.Intent{
		Epoch: epoch, Job: job, Key: "k", RequestHash: 7, Attempt: attempt,
		Task: model.NewTaskID(job, 0, attempt), NotAfter: model.WorkerTime(100 * attempt),
	}
}

func outcome(attempt int, o model.Outcome) record.Outcome {
	return record.Outcome{Key: "k", RequestHash: 7, Attempt: attempt, Answer: model.Answer{Job: job, Outcome: o}}
}

// Guards against a second start of a key: from an intent of a stale epoch, from a
// repeated intent, or after an outcome with which the key may have run.
func TestFoldIntent(t *testing.T) {
	late := intent(1, 2)
	late.Late = true
	for _, tc := range []struct {
		name   string
		before func(*Table)
		intent record.Intent
		want   Result
	}{
		{"first", func(*Table) {}, intent(3, 1), Accepted},
		{"stale epoch", func(*Table) {}, intent(2, 1), StaleEpoch},
		{"stale epoch, held by electors", func(*Table) {}, late, Accepted},
		{"same attempt again", func(k *Table) { k.FoldIntent(0, 3, intent(3, 1)) }, intent(3, 1), Repeated},
		{"older attempt", func(k *Table) { k.FoldIntent(0, 3, intent(3, 2)) }, intent(3, 1), Repeated},
		{"after not run", func(k *Table) { k.FoldOutcome(0, outcome(1, model.OutcomeNotRun)) }, intent(3, 2), Accepted},
		{"after done", func(k *Table) { k.FoldOutcome(0, outcome(1, model.OutcomeDone)) }, intent(3, 2), Conflict},
		{"after unknown", func(k *Table) { k.FoldOutcome(0, outcome(1, model.OutcomeUnknown)) }, intent(3, 2), Conflict},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := New()
			tc.before(k)
			is.New(t).Equal(k.FoldIntent(0, 3, tc.intent), tc.want)
		})
	}
}

// Guards against a late "not run" or "unknown" that replaces the outcome of a key
// that has run, and against a "not run" of an attempt other than the newest.
func TestAddOutcomeKeepsStrongerOutcome(t *testing.T) {
	for _, tc := range []struct {
		first, then record.Outcome
		want        model.Outcome
	}{
		{outcome(1, model.OutcomeDone), outcome(1, model.OutcomeNotRun), model.OutcomeDone},
		{outcome(1, model.OutcomeDone), outcome(2, model.OutcomeFailed), model.OutcomeDone},
		{outcome(1, model.OutcomeUnknown), outcome(2, model.OutcomeNotRun), model.OutcomeUnknown},
		{outcome(1, model.OutcomeUnknown), outcome(1, model.OutcomeDone), model.OutcomeDone},
		{outcome(2, model.OutcomeNotRun), outcome(1, model.OutcomeNotRun), model.OutcomeNotRun},
	} {
		is := is.New(t)
		k := New()
		k.AddOutcome(0, tc.first)
		k.AddOutcome(0, tc.then)
		is.Equal(k.Get(job).Answer.Outcome, tc.want)
	}
}

// Guards against answering "not run" too early: electors may hold an intent with
// a later not-after time than the log, and the task can start until then.
func TestRestoreKeepsLaterNotAfter(t *testing.T) {
	is := is.New(t)
	k := New()
	k.FoldIntent(0, 3, intent(3, 1))
	held := intent(3, 1)
	held.NotAfter += 50
	k.Restore(0, held)
	k.Restore(0, intent(3, 1))
	is.Equal(k.Get(job).Intent.NotAfter, held.NotAfter)
}

// Guards against a snapshot that overwrites newer records: folding the records of
// any earlier state of the table again must not change the table.
func TestFoldingSnapshotAgainIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := New()
		var snapshot []record.Entry
		attempt := 0
		outcomes := []model.Outcome{model.OutcomeDone, model.OutcomeNotRun, model.OutcomeUnknown, model.OutcomeFailed}
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			if rapid.Bool().Draw(t, "intent") {
				attempt++
				k.FoldIntent(0, 3, intent(3, attempt))
			} else {
				k.FoldOutcome(0, outcome(attempt, rapid.SampledFrom(outcomes).Draw(t, "outcome")))
			}
			if e := k.Get(job); e != nil && rapid.Bool().Draw(t, "snapshot") {
				snapshot = append(snapshot, e.Records(3)...)
			}
		}
		before := describe(k)
		for _, e := range snapshot {
			if e.Intent != nil {
				k.Restore(0, *e.Intent)
			} else {
				k.FoldOutcome(0, *e.Outcome)
			}
		}
		if after := describe(k); after != before {
			t.Fatalf("before %s, after %s", before, after)
		}
	})
}

func describe(k *Table) string {
	e := k.Get(job)
	if e == nil {
		return "none"
	}
	if e.Answer == nil {
		return fmt.Sprint(e.Attempt, " in doubt")
	}
	return fmt.Sprint(e.Attempt, " ", e.Answer.Outcome)
}
