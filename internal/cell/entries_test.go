package cell

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// entryJobs are jobs like those of the users' sites, with the number of tasks of each
// step and the run time of a task.
var entryJobs = []struct {
	name  string
	steps []int
	ms    int64
}{
	{"25 x 1.5", []int{25, 12}, 2900},
	{"16", []int{16}, 5300},
	{"3", []int{3}, 680},
}

// runEntryJob runs a single job to its end, each step after the previous one, and returns
// the progress entries that its owner writes.
func runEntryJob(t testing.TB, steps []int, ms int64) (jobs.Job, []Entry) {
	t.Helper()
	s := newSim(1, 0, 0)
	for range 40 {
		w := s.addWorker()
		w.name = model.WorkerName(fmt.Sprintf("i-%010x", s.rnd.Uint64()>>24)) // names in the platform's format
	}
	s.addNode(1)
	s.run(3 * time.Second)
	j := jobs.Job{ID: "5c0e7a21d94b36f8", Queue: "batch", Payload: "(text)", SubmittedMs: 1790000000000}
	for i, tasks := range steps {
		st := jobs.Step{Tasks: tasks, Resources: model.Resources{MilliCPU: 8500, MemoryMB: 3600}, EstimateMs: ms, Checkpoints: true}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	s.submitted[j.ID] = j
	from := len(s.store.progress)
	s.store.submissions = append(s.store.submissions, Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
	s.run(30 * time.Second)
	s.checkFinalStates()
	is.New(t).Equal(s.violations, nil)
	var out []Entry
	for _, e := range s.store.progress[from:] {
		if e.Key == jobs.ProgressKey(j.ID) {
			out = append(out, e)
		}
	}
	return j, out
}

func decodeProgress(t testing.TB, e Entry) jobs.Progress {
	t.Helper()
	p, err := jobs.Decode[jobs.Progress](e.Key, e.Value)
	is.New(t).NoErr(err)
	return p
}

// entrySizes returns the total size of entries in bytes, as stored and as JSON.
func entrySizes(t testing.TB, entries []Entry) (stored, asJSON int) {
	t.Helper()
	for _, e := range entries {
		b, err := json.Marshal(decodeProgress(t, e))
		is.New(t).NoErr(err)
		stored += len(e.Value)
		asJSON += len(b)
	}
	return stored, asJSON
}

// TestEntrySizes logs the size of the entries that an owner writes for a job. It guards
// against a stored form that is longer than JSON.
func TestEntrySizes(t *testing.T) {
	for _, w := range entryJobs {
		t.Run(w.name, func(t *testing.T) {
			is := is.New(t)
			j, entries := runEntryJob(t, w.steps, w.ms)
			stored, asJSON := entrySizes(t, entries)
			text, err := json.Marshal(j)
			is.NoErr(err)
			t.Logf("%d entries of progress: %d bytes, %d as JSON; submission: %d bytes, %d as JSON",
				len(entries), stored, asJSON, len(jobs.Encode(j)), len(text))
			is.True(len(entries) > 0)
			is.True(decodeProgress(t, entries[len(entries)-1]).State.Final())
			is.True(stored <= asJSON)
			is.True(len(jobs.Encode(j)) <= len(text))
		})
	}
}

// BenchmarkEntries encodes and decodes all entries of one job.
func BenchmarkEntries(b *testing.B) {
	for _, w := range entryJobs {
		j, entries := runEntryJob(b, w.steps, w.ms)
		stored, _ := entrySizes(b, entries)
		var all []jobs.Progress
		for _, e := range entries {
			all = append(all, decodeProgress(b, e))
		}
		b.Run("encode/"+w.name, func(b *testing.B) {
			for b.Loop() {
				for i := range all {
					jobs.Encode(&all[i])
				}
			}
			b.ReportMetric(float64(stored), "bytes/job")
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

// storedStates returns the states in a job's entries, in order.
func (s *sim) storedStates(t testing.TB, id jobs.ID) []jobs.State {
	t.Helper()
	var out []jobs.State
	for _, e := range s.store.progress {
		if e.Key == jobs.ProgressKey(id) {
			out = append(out, decodeProgress(t, e).State)
		}
	}
	return out
}

// Guards against a separate entry for the first start of a job, which is as long as the
// entry of its placement. The end of a short run implies the start.
func TestFirstStartIsStoredWithNextChange(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithOwner(t, 1, 2)
	const short, long = jobs.ID("00000000000000aa"), jobs.ID("00000000000000bb")
	s.storeJob(short, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 400})
	s.storeJob(long, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 8000})
	s.run(700 * time.Millisecond)
	is.Equal(s.storedStates(t, long), []jobs.State{jobs.Queued}) // placed; the start is not stored yet
	s.run(2 * time.Second)
	is.Equal(s.storedStates(t, short), []jobs.State{jobs.Queued, jobs.Completed})
	is.Equal(s.storedStates(t, long), []jobs.State{jobs.Queued, jobs.Running})
	v, _ := s.nodes[0].cell.Job(long)
	is.Equal(v.State, jobs.Running)
	is.Equal(s.nodes[0].cell.WaitingJobs("batch"), 0)
	s.run(15 * time.Second)
	is.Equal(s.storedStates(t, long), []jobs.State{jobs.Queued, jobs.Running, jobs.Completed})
	is.Equal(s.violations, nil)
}

// A new owner learns from the workers that a job has started, whether or not the store
// has the start.
func TestTakeoverBeforeFirstStartIsStored(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := newSim(seed, 3, 4)
		s.run(3 * time.Second)
		const id = jobs.ID("00000000000000aa")
		s.storeJob(id, "batch", jobs.Step{Tasks: 3, Resources: cores(1), EstimateMs: 8000})
		for len(s.truth.running) == 0 {
			s.run(time.Millisecond)
		}
		s.run(100 * time.Millisecond) // until the start is confirmed
		is.Equal(s.storedStates(t, id), []jobs.State{jobs.Queued})
		starts := 0
		s.onLog = func(l Log) {
			if l.Message == "start sent" {
				starts++
			}
		}
		for _, n := range s.nodes {
			if n.owner {
				n.kill()
			}
		}
		s.run(4 * time.Second)
		is.Equal(starts, 0) // no run was started again
		for _, n := range s.nodes {
			if n.owner {
				v, _ := n.cell.Job(id)
				is.Equal(v.State, jobs.Running)
			}
			if n.alive {
				is.Equal(n.cell.WaitingJobs("batch"), 0)
			}
		}
		s.run(20 * time.Second)
		for _, n := range s.nodes {
			if n.alive {
				v, _ := n.cell.Job(id)
				is.Equal(v.State, jobs.Completed)
			}
		}
		is.Equal(s.violations, nil)
	}
}

// The start of a job is stored after the store has refused the first append with it.
func TestFirstStartIsStoredAfterRefusedAppend(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithOwner(t, 1, 2)
	const id = jobs.ID("00000000000000aa")
	s.storeJob(id, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 12000})
	for len(s.truth.running) == 0 {
		s.run(time.Millisecond)
	}
	s.storeRefuses = true
	s.run(3 * time.Second)
	is.Equal(s.storedStates(t, id), []jobs.State{jobs.Queued})
	s.storeRefuses = false
	s.run(time.Second)
	is.Equal(s.storedStates(t, id), []jobs.State{jobs.Queued, jobs.Running})
}

// latestEntries returns the entries that a reader of the progress stream loads.
func (s *sim) latestEntries() map[string][]byte {
	out := map[string][]byte{}
	for _, e := range s.store.progress {
		if out[e.Key] = e.Value; len(e.Value) == 0 {
			delete(out, e.Key)
		}
	}
	return out
}

// submitJobs submits jobs through the owner and returns their IDs.
func (s *sim) submitJobs(n int, step jobs.Step) []jobs.ID {
	var out []jobs.ID
	for i := range n {
		j := jobs.Job{ID: jobs.ID(fmt.Sprintf("%016x", i+1)), Queue: "batch", Payload: strings.Repeat("text", 250), Steps: []jobs.Step{step}}
		s.submitted[j.ID] = j
		s.submitToOwner(Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
		out = append(out, j.ID)
	}
	return out
}

// Guards against long loading times: an instance that loads the cell read the whole
// submissions of all jobs that ended within their retention.
func TestSubmissionsOfFinishedJobsAreShortened(t *testing.T) {
	is := is.New(t)
	s, _ := newSimWithOwner(t, 1, 4)
	ids := s.submitJobs(20, jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 500})
	s.run(10 * time.Second)
	newest := s.latestEntries()
	for _, id := range ids {
		key := jobs.JobKey(id)
		j, err := jobs.Decode[jobs.Job](key, newest[key])
		is.NoErr(err)
		is.Equal(j, jobs.Job{ID: id, Queue: "batch"})
	}
	n := s.addNode(1) // loads the cell
	s.run(2 * time.Second)
	for _, id := range ids {
		v, known := n.cell.Job(id)
		is.True(known)
		is.Equal(v.State, jobs.Completed)
		is.Equal(v.Queue, "batch")
	}
	is.Equal(n.cell.WaitingJobs("batch"), 0)
	s.checkFinalStates()
	is.Equal(s.violations, nil)
}

// While a finished job still has a run, a new owner must know the resources that the
// run takes, so the submission is kept whole.
func TestSubmissionIsKeptWholeWhileRunsRemain(t *testing.T) {
	is := is.New(t)
	s, n := newSimWithOwner(t, 1, 1)
	id := s.submitJobs(1, jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 20000})[0]
	s.run(2 * time.Second)
	is.Equal(len(s.truth.running), 1)
	n.unreachable[s.workers[0]] = true // the stop is lost
	s.cancel(id)
	s.run(3 * time.Second)
	states := s.storedStates(t, id)
	is.Equal(states[len(states)-1], jobs.Cancelled)
	key := jobs.JobKey(id)
	j, err := jobs.Decode[jobs.Job](key, s.latestEntries()[key])
	is.NoErr(err)
	is.Equal(len(j.Steps), 1)
	clear(n.unreachable)
	s.run(10 * time.Second)
	j, err = jobs.Decode[jobs.Job](key, s.latestEntries()[key])
	is.NoErr(err)
	is.Equal(len(j.Steps), 0)
	is.Equal(s.violations, nil)
}

// Guards against a submission that is never shortened because the store refused the
// append with its short form.
func TestSubmissionIsShortenedAfterRefusedAppend(t *testing.T) {
	is := is.New(t)
	s, n := newSimWithOwner(t, 1, 1)
	id := s.submitJobs(1, jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 500})[0]
	for len(n.cell.jobsToTrim) == 0 {
		s.run(time.Millisecond)
	}
	s.storeRefuses = true
	s.run(2 * time.Second)
	s.storeRefuses = false
	s.run(time.Second)
	key := jobs.JobKey(id)
	j, err := jobs.Decode[jobs.Job](key, s.latestEntries()[key])
	is.NoErr(err)
	is.Equal(len(j.Steps), 0)
}
