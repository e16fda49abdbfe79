package node

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
)

func placedDecision() cell.Log {
	return cell.Log{Message: "placed", Job: "00000000000000aa", Fields: cell.Fields{
		Task: jobs.TaskRef{Job: "00000000000000aa", Step: 1, Index: 2}, HasTask: true, Run: 3, Worker: "i-1", Age: 1500 * time.Microsecond, Count: 400,
	}}
}

// The log line of a decision must have the fields by which an operator traces a job.
func TestLogDecisionFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	tel := NewTelemetry(&out, "", "vm-1")
	tel.LogDecision(placedDecision())
	tel.Close()
	for _, want := range []string{
		`"instance":"vm-1"`, `"job":"00000000000000aa"`, `"task":"0.1.2"`, `"run":3`, `"worker":"i-1"`, `"age_ms":1.5`, `"count":400`, `"message":"placed"`,
	} {
		is.True(strings.Contains(out.String(), want))
	}
}

// BenchmarkLogDecision measures the cost of logging one decision.
func BenchmarkLogDecision(b *testing.B) {
	tel := NewTelemetry(io.Discard, "", "vm-1")
	defer tel.Close()
	l := placedDecision()
	for b.Loop() {
		tel.LogDecision(l)
	}
}
