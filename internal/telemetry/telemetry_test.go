package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/core"
)

// The number of label values of a metric must be bounded, since it uses memory. Metrics and
// log lines must have the names and labels that the reducer gave.
func TestMetricsAndLogLines(t *testing.T) {
	is := is.New(t)
	var lines, metrics bytes.Buffer
	tel := New(&lines, "")
	for i := range 3 * maxLabelValues {
		tel.Count(core.Count{Name: "refused_total", Label: fmt.Sprintf("c%d", i), N: 1})
	}
	tel.Count(core.Count{Name: "refused_total", Label: "c0", N: 4})
	tel.Count(core.Count{Name: "starts_total", Label: `a"b`, N: 2})
	tel.Observe(core.Observe{Name: "wait_seconds", Seconds: 0.5})
	tel.Change(core.Change{What: "lease", Subj: "tartu", To: "i1"})
	tel.WriteMetrics(&metrics)
	out := metrics.String()
	is.Equal(strings.Count(out, "gentianpick_refused_total{"), maxLabelValues+1)
	for _, want := range []string{
		`gentianpick_refused_total{kind="c0"} 5`,
		fmt.Sprintf(`gentianpick_refused_total{kind="other"} %d`, 2*maxLabelValues),
		`gentianpick_starts_total{kind="a\"b"} 2`, "gentianpick_wait_seconds_count 1", "process_",
	} {
		is.True(strings.Contains(out, want)) // a metric is missing
	}
	is.True(strings.HasSuffix(lines.String(), `"level":"info","subject":"tartu","to":"i1","message":"lease"}`+"\n"))
	is.Equal(strings.Count(lines.String(), "\n"), 1)
}
