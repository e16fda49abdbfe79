package health

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gentianpick/gentianpick/internal/model"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "11")
	flag.Parse()
	os.Exit(m.Run())
}

func at(s int) model.Time { return model.Time(s) * model.Time(time.Second) }

func name(i int) model.WorkerName { return model.WorkerName(fmt.Sprintf("w%d", i)) }

// TestVerdicts guards against verdicts that hit the wrong side.
func TestVerdicts(t *testing.T) {
	for _, tc := range []struct {
		what        string
		ends        string // one letter per task: worker 0-8, job a-z (fails) or A-Z (succeeds)
		quarantined string
		fault       string
	}{
		{"a worker that fails everything", "0a 0b 0a 0b 0a", "0", ""},
		{"failures of one job only", "0a 0a 0a 0a 0a 0a", "", ""},
		{"a success between", "0a 0b 0a 0Z 0b 0a", "", ""},
		{"a job that fails on healthy workers", "0Z 1Z 2Z 0a 1a 2a", "", "a"},
		{"a job that fails on workers that succeed later", "0a 1a 2a 0Z 1Z 2Z", "", "a"},
		{"workers without other successes condemn no job", "0a 1a 2a 3a", "", ""},
		{"a job that also succeeds", "0Z 1Z 2Z 0a 1a 4A 2a", "", ""},
		{"a bad worker condemns no job", "0Z 0a 0b 0c 0a 0b 0c 0a", "0", ""},
		{"two bad jobs at once", "0Z 1Z 2Z 0a 0b 1a 1b 2a 2b", "", "ab"},
		{"a bad job releases workers it had quarantined", "0Z 1Z 2Z 3Z 0a 0b 0a 0b 0a 1a 2a 3a", "", "a"},
		{"at most a third", "0a 0b 0a 0b 0a 1a 1b 1a 1b 1a 2a 2b 2a 2b 2a 3a 3b 3a 3b 3a", "012", ""},
	} {
		t.Run(tc.what, func(t *testing.T) {
			is := is.New(t)
			s := New(DefaultConfig())
			for i := range 9 {
				s.MarkReachable(0, name(i))
			}
			for i := 0; i+1 < len(tc.ends); i += 3 {
				job := tc.ends[i+1] | 0x20
				s.RecordTaskEnd(at(i), name(int(tc.ends[i]-'0')), model.JobID(job), job != tc.ends[i+1])
			}
			quarantined, fault := "", ""
			for i := range 9 {
				if s.Quarantined(name(i)) {
					quarantined += string(rune('0' + i))
				}
			}
			for j := 'a'; j <= 'z'; j++ {
				if s.JobAtFault(model.JobID(j)) {
					fault += string(j)
				}
			}
			is.Equal(quarantined, tc.quarantined)
			is.Equal(fault, tc.fault)
		})
	}
}

// TestProbe guards against two probes at a time and against probing a bad
// worker as often as a good one.
func TestProbe(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig())
	for i := range 3 {
		s.MarkReachable(0, name(i))
	}
	for i := range 5 {
		s.RecordTaskEnd(0, "w1", model.JobID(rune('a'+i)), false)
	}
	is.True(s.Quarantined("w1"))
	is.Equal(len(s.StartDueProbes(at(4))), 0)
	is.Equal(s.StartDueProbes(at(5)), []model.WorkerName{"w1"})
	is.Equal(len(s.StartDueProbes(at(6))), 0) // in progress
	s.RecordTaskEnd(at(7), "w1", "p", false)
	is.Equal(len(s.StartDueProbes(at(16))), 0) // the wait doubled to 10 s
	is.Equal(len(s.StartDueProbes(at(17))), 1)
	s.CancelProbe(at(17), "w1")
	s.MarkUnreachable(at(18), "w1")
	is.Equal(len(s.StartDueProbes(at(60))), 0)
	s.MarkReachable(at(60), "w1")
	is.Equal(len(s.StartDueProbes(at(60))), 1)
	is.Equal(s.RecordTaskEnd(at(61), "w1", "p", true).Released, []model.WorkerName{"w1"})
}

// TestFaultsStayWithTheirCause guards against a bad job that quarantines
// healthy workers and a bad worker that condemns healthy jobs, in any order of
// work that is spread over all workers.
func TestFaultsStayWithTheirCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(DefaultConfig())
		n := rapid.IntRange(4, 12).Draw(t, "workers")
		badWorker := rapid.IntRange(-1, n-1).Draw(t, "bad worker")
		badJob := rapid.IntRange(-1, 5).Draw(t, "bad job")
		for i := range n {
			s.RecordTaskEnd(0, name(i), "start", true)
		}
		for i := range 600 {
			w, j := rapid.IntRange(0, n-1).Draw(t, "w"), rapid.IntRange(0, 5).Draw(t, "j")
			job := model.JobID(fmt.Sprint(j))
			if s.Quarantined(name(w)) || s.JobAtFault(job) {
				continue
			}
			s.RecordTaskEnd(at(i), name(w), job, w != badWorker && j != badJob)
			for k := range n {
				if k != badWorker && s.Quarantined(name(k)) {
					t.Fatalf("healthy worker %d is in quarantine", k)
				}
			}
			for k := range 6 {
				if k != badJob && s.JobAtFault(model.JobID(fmt.Sprint(k))) {
					t.Fatalf("healthy job %d is at fault", k)
				}
			}
		}
	})
}
