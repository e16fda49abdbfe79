package keys

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Guards against returning the result of another request to a caller: when the
// first attempt of a key did not run, a different request may use the key.
func TestHashIsThatOfNewestAttempt(t *testing.T) {
	is := is.New(t)
	outcome := func(attempt int, hash uint64, o model.Outcome) record.Outcome {
		return record.Outcome{Attempt: attempt, RequestHash: hash, Answer: model.Answer{Job: "j", Outcome: o}}
	}
	table := New()
	table.Restore(0, record.Intent{Job: "j", Attempt: 1, RequestHash: 106})
	table.FoldOutcome(0, outcome(1, 106, model.OutcomeNotRun))
	is.Equal(table.Restore(0, record.Intent{Job: "j", Attempt: 2, RequestHash: 107}), Accepted)
	table.FoldOutcome(0, outcome(2, 107, model.OutcomeDone))
	is.Equal(table.Get("j").Hash, uint64(107))

	// The log has lost the second intent.
	table = New()
	table.FoldOutcome(0, outcome(1, 106, model.OutcomeNotRun))
	table.FoldOutcome(0, outcome(2, 107, model.OutcomeDone))
	is.Equal(table.Get("j").Hash, uint64(107))
}
