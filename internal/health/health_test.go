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

// TestQuarantineAndJobFaults guards against blaming the worker for failures of a job,
// or the job for failures of a worker.
func TestQuarantineAndJobFaults(t *testing.T) {
	for _, tc := range []struct {
		name        string
		ends        string // one letter per task: worker 0-8, job a-z (fails) or A-Z (succeeds)
		quarantined string
		fault       string
	}{
		{"a worker that fails everything", "0a 0b 0a 0b 0a", "0", ""},
		{"a worker that fails one job only", "0a 0a 0a 0a 0a 0a", "", ""},
		{"a success between failures", "0a 0b 0a 0Z 0b 0a", "", ""},
		{"a job that fails on healthy workers", "0Z 1Z 2Z 0a 1a 2a", "", "a"},
		{"a job that fails on workers that succeed later", "0a 1a 2a 0Z 1Z 2Z", "", "a"},
		{"a job that fails on workers without successes", "0a 1a 2a 3a", "", ""},
		{"a job that also succeeds", "0Z 1Z 2Z 0a 1a 4A 2a", "", ""},
		{"a worker that fails every job after a success", "0Z 0a 0b 0c 0a 0b 0c 0a", "0", ""},
		{"two jobs at fault at once", "0Z 1Z 2Z 0a 0b 1a 1b 2a 2b", "", "ab"},
		{"a job found at fault releases a worker that it quarantined", "0Z 1Z 2Z 3Z 0a 0b 0a 0b 0a 1a 2a 3a", "", "a"},
		{"at most a third of the workers is quarantined", "0a 0b 0a 0b 0a 1a 1b 1a 1b 1a 2a 2b 2a 2b 2a 3a 3b 3a 3b 3a", "012", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tracker := New(DefaultConfig())
			for i := range 9 {
				tracker.MarkReachable(0, name(i))
			}
			for i := 0; i+1 < len(tc.ends); i += 3 {
				job := tc.ends[i+1] | 0x20
				tracker.RecordTaskEnd(at(i), name(int(tc.ends[i]-'0')), model.JobID(job), job != tc.ends[i+1])
			}
			quarantined, fault := "", ""
			for i := range 9 {
				if tracker.Quarantined(name(i)) {
					quarantined += string(rune('0' + i))
				}
			}
			for j := 'a'; j <= 'z'; j++ {
				if tracker.JobAtFault(model.JobID(j)) {
					fault += string(j)
				}
			}
			is.Equal(quarantined, tc.quarantined)
			is.Equal(fault, tc.fault)
		})
	}
}

// TestProbeSchedule guards against two concurrent probes of a worker, and against
// probing at a constant rate a worker that keeps failing.
func TestProbeSchedule(t *testing.T) {
	is := is.New(t)
	tracker := New(DefaultConfig())
	for i := range 3 {
		tracker.MarkReachable(0, name(i))
	}
	for i := range 5 {
		tracker.RecordTaskEnd(0, "w1", model.JobID(rune('a'+i)), false)
	}
	is.True(tracker.Quarantined("w1"))
	is.Equal(len(tracker.StartDueProbes(at(4))), 0)
	is.Equal(tracker.StartDueProbes(at(5)), []model.WorkerName{"w1"})
	is.Equal(len(tracker.StartDueProbes(at(6))), 0) // in progress
	tracker.RecordTaskEnd(at(7), "w1", "p", false)
	is.Equal(len(tracker.StartDueProbes(at(16))), 0) // the delay has doubled to 10 s
	is.Equal(len(tracker.StartDueProbes(at(17))), 1)
	tracker.CancelProbe(at(17), "w1")
	tracker.MarkUnreachable(at(18), "w1")
	is.Equal(len(tracker.StartDueProbes(at(60))), 0)
	tracker.MarkReachable(at(60), "w1")
	is.Equal(len(tracker.StartDueProbes(at(60))), 1)
	is.Equal(tracker.RecordTaskEnd(at(61), "w1", "p", true).Released, []model.WorkerName{"w1"})
}

// TestFaultsAreAttributedToTheirCause guards against a failing job that quarantines
// healthy workers, and a failing worker that puts healthy jobs at fault, in any order
// of tasks that are spread over all workers.
func TestFaultsAreAttributedToTheirCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(DefaultConfig())
		n := rapid.IntRange(4, 12).Draw(t, "workers")
		badWorker := rapid.IntRange(-1, n-1).Draw(t, "bad worker")
		badJob := rapid.IntRange(-1, 5).Draw(t, "bad job")
		for i := range n {
			tracker.RecordTaskEnd(0, name(i), "start", true)
		}
		for i := range 600 {
			w, j := rapid.IntRange(0, n-1).Draw(t, "w"), rapid.IntRange(0, 5).Draw(t, "j")
			job := model.JobID(fmt.Sprint(j))
			if tracker.Quarantined(name(w)) || tracker.JobAtFault(job) {
				continue
			}
			tracker.RecordTaskEnd(at(i), name(w), job, w != badWorker && j != badJob)
			for k := range n {
				if k != badWorker && tracker.Quarantined(name(k)) {
					t.Fatalf("healthy worker %d is quarantined", k)
				}
			}
			for k := range 6 {
				if k != badJob && tracker.JobAtFault(model.JobID(fmt.Sprint(k))) {
					t.Fatalf("healthy job %d is at fault", k)
				}
			}
		}
	})
}
