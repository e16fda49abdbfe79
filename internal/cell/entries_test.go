package cell

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// entryJobs are jobs of the widths that the users' sites have: the tasks of
// each step.
var entryJobs = []struct {
	name  string
	steps []int
}{
	{"25 x 1.5", []int{25, 12}},
	{"16", []int{16}},
	{"3", []int{3}},
}

// entryLife plays a job of one task after another alone, and returns the
// entries that its owner writes of it until it has ended.
func entryLife(t testing.TB, steps []int) (jobs.Job, []Entry) {
	t.Helper()
	s := newSim(1, 0, 0)
	for range 40 {
		w := s.addWorker()
		w.name = model.WorkerName(fmt.Sprintf("i-%010x", s.rnd.Uint64()>>24)) // as the platform names them
	}
	s.addNode(1)
	s.run(3 * time.Second)
	j := jobs.Job{ID: "5c0e7a21d94b36f8", Queue: "batch", Payload: "(text)", SubmittedMs: 1790000000000}
	for i, tasks := range steps {
		st := jobs.Step{Tasks: tasks, Need: model.Resources{MilliCPU: 8500, MemoryMB: 3600}, EstimateMs: 2900, Checkpoints: true}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	s.newest[j.ID] = j
	from := len(s.store.progress)
	s.store.subs = append(s.store.subs, Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
	s.run(30 * time.Second)
	s.checkEnd()
	is.New(t).Equal(s.wrong, nil)
	var out []Entry
	for _, e := range s.store.progress[from:] {
		if e.Key == jobs.ProgressKey(j.ID) {
			out = append(out, e)
		}
	}
	return j, out
}

func decoded(t testing.TB, e Entry) jobs.Progress {
	t.Helper()
	p, err := jobs.Decode[jobs.Progress](e.Key, e.Value)
	is.New(t).NoErr(err)
	return p
}

// sizes returns the bytes of entries as they are stored, and as JSON.
func sizes(t testing.TB, entries []Entry) (stored, asJSON int) {
	t.Helper()
	for _, e := range entries {
		b, err := json.Marshal(decoded(t, e))
		is.New(t).NoErr(err)
		stored += len(e.Value)
		asJSON += len(b)
	}
	return stored, asJSON
}

// TestEntrySizes reports what the owner writes of a job in its life. It guards
// against a stored form that is longer than JSON.
func TestEntrySizes(t *testing.T) {
	for _, w := range entryJobs {
		t.Run(w.name, func(t *testing.T) {
			is := is.New(t)
			j, entries := entryLife(t, w.steps)
			stored, asJSON := sizes(t, entries)
			text, err := json.Marshal(j)
			is.NoErr(err)
			t.Logf("%d entries of progress: %d bytes, %d as JSON; submission: %d bytes, %d as JSON",
				len(entries), stored, asJSON, len(jobs.Encode(j)), len(text))
			is.True(len(entries) > 0)
			is.True(decoded(t, entries[len(entries)-1]).State.Final())
			is.True(stored <= asJSON)
			is.True(len(jobs.Encode(j)) <= len(text))
		})
	}
}

// BenchmarkEntries encodes and decodes all entries of a job's life.
func BenchmarkEntries(b *testing.B) {
	for _, w := range entryJobs {
		j, entries := entryLife(b, w.steps)
		stored, _ := sizes(b, entries)
		var all []jobs.Progress
		for _, e := range entries {
			all = append(all, decoded(b, e))
		}
		b.Run("encode/"+w.name, func(b *testing.B) {
			for b.Loop() {
				for i := range all {
					jobs.Encode(&all[i])
				}
			}
			b.ReportMetric(float64(stored), "bytes/life")
		})
		b.Run("decode/"+w.name, func(b *testing.B) {
			for b.Loop() {
				for _, e := range entries {
					if _, err := jobs.Decode[jobs.Progress](e.Key, e.Value); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
		value := jobs.Encode(j)
		b.Run("submission/"+w.name, func(b *testing.B) {
			for b.Loop() {
				if _, err := jobs.Decode[jobs.Job]("j", jobs.Encode(j)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "bytes")
		})
	}
}
