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

func placed() cell.Log {
	return cell.Log{Message: "placed", Job: "00000000000000aa", Fields: cell.Fields{
		Task: jobs.TaskRef{Job: "00000000000000aa", Step: 1, Index: 2}, HasTask: true, Run: 3, Worker: "i-1", Age: 1500 * time.Microsecond, Count: 400,
	}}
}

// Guards against decisions whose line lacks what an operator follows a request
// with.
func TestDecisionLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	tel := NewTelemetry(&out, "", "vm-1")
	tel.LogDecision(placed())
	tel.Close()
	for _, want := range []string{
		`"instance":"vm-1"`, `"job":"00000000000000aa"`, `"task":"0.1.2"`, `"run":3`, `"worker":"i-1"`, `"age_ms":1.5`, `"count":400`, `"message":"placed"`,
	} {
		is.True(strings.Contains(out.String(), want))
	}
}

// BenchmarkDecisionLine gives the cost of logging one decision.
func BenchmarkDecisionLine(b *testing.B) {
	tel := NewTelemetry(io.Discard, "", "vm-1")
	defer tel.Close()
	l := placed()
	for b.Loop() {
		tel.LogDecision(l)
	}
}
