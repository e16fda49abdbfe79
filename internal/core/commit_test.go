package core

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// TestBatchLenLimitsEntriesAndBytes guards against a batch above the log's size limit.
// The log would refuse its append on every retry, and all later records would wait for
// it.
func TestBatchLenLimitsEntriesAndBytes(t *testing.T) {
	accept := func(body int) record.Entry {
		return record.Entry{Accept: &record.Accept{Submission: model.Submission{Body: make([]byte, body)}}}
	}
	many := make([]record.Entry, maxBatchEntries+1)
	for _, tc := range []struct {
		entries []record.Entry
		want    int
	}{
		{nil, 0},
		{[]record.Entry{accept(10), accept(10)}, 2},
		{[]record.Entry{accept(maxBatchBytes / 2), accept(maxBatchBytes / 2), accept(1)}, 2},
		{[]record.Entry{accept(2 * maxBatchBytes), accept(1)}, 1}, // a single record is sent whatever its size
		{many, maxBatchEntries},
	} {
		is.New(t).Equal(batchLen(tc.entries), tc.want)
	}
}
