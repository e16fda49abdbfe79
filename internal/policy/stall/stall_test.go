package stall

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A straggler among sound runs must not cost its worker, and a worker whose
// runs all stand still must not look sound because one of them is short.
func TestJudge(t *testing.T) {
	run := func(elapsedMs, percent int) Sample {
		return Sample{Elapsed: time.Duration(elapsedMs) * time.Millisecond, Expected: time.Second, Percent: percent}
	}
	for name, c := range map[string]struct {
		samples []Sample
		want    Verdict
	}{
		"too few":        {[]Sample{run(900, 0), run(900, 0)}, Unknown},
		"too early":      {[]Sample{run(100, 0), run(200, 0), run(300, 0)}, Unknown},
		"sound":          {[]Sample{run(900, 90), run(600, 50), run(700, 80)}, Healthy},
		"one straggler":  {[]Sample{run(900, 90), run(3000, 5), run(700, 80)}, Healthy},
		"all slow":       {[]Sample{run(900, 14), run(600, 9), run(700, 10)}, Slow},
		"standing still": {[]Sample{run(900, 1), run(600, 0), run(700, 0), run(900, 60)}, Stalled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Evaluate(c.samples), c.want)
		})
	}
}
