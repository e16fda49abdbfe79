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

// entryJobs are jobs like those of the users' sites: the tasks of each step and
// how long each takes.
var entryJobs = []struct {
	name  string
	steps []int
	ms    int64
}{
	{"25 x 1.5", []int{25, 12}, 2900},
	{"16", []int{16}, 5300},
	{"3", []int{3}, 680},
}

// entryLife plays a job of one task after another alone, and returns the
// entries that its owner writes of it until it has ended.
func entryLife(t testing.TB, steps []int, ms int64) (jobs.Job, []Entry) {
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
		st := jobs.Step{Tasks: tasks, Resources: model.Resources{MilliCPU: 8500, MemoryMB: 3600}, EstimateMs: ms, Checkpoints: true}
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
			j, entries := entryLife(t, w.steps, w.ms)
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
		j, entries := entryLife(b, w.steps, w.ms)
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

// storedStates returns the states of a job's entries in their order.
func (s *sim) storedStates(t testing.TB, id jobs.ID) []jobs.State {
	t.Helper()
	var out []jobs.State
	for _, e := range s.store.progress {
		if e.Key == jobs.ProgressKey(id) {
			out = append(out, decoded(t, e).State)
		}
	}
	return out
}

// The first start of a job was stored by an entry of its own, as long as that of
// its placement. An end that comes soon says it as well.
func TestFirstStartIsStoredWithTheNextChange(t *testing.T) {
	is := is.New(t)
	s, _ := owned(t, 1, 2)
	const short, long = jobs.ID("00000000000000aa"), jobs.ID("00000000000000bb")
	s.put(short, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 400})
	s.put(long, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 8000})
	s.run(700 * time.Millisecond)
	is.Equal(s.storedStates(t, long), []jobs.State{jobs.Queued}) // placed, and not worth an entry yet
	s.run(2 * time.Second)
	is.Equal(s.storedStates(t, short), []jobs.State{jobs.Queued, jobs.Completed})
	is.Equal(s.storedStates(t, long), []jobs.State{jobs.Queued, jobs.Running})
	v, _ := s.nodes[0].cell.Job(long)
	is.Equal(v.State, jobs.Running)
	is.Equal(s.nodes[0].cell.WaitingJobs("batch"), 0)
	s.run(15 * time.Second)
	is.Equal(s.storedStates(t, long), []jobs.State{jobs.Queued, jobs.Running, jobs.Completed})
	is.Equal(s.wrong, nil)
}

// A successor learns from the workers that a job has started, whether the store
// says so or not.
func TestTakeoverBeforeTheFirstStartIsStored(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := newSim(seed, 3, 4)
		s.run(3 * time.Second)
		const id = jobs.ID("00000000000000aa")
		s.put(id, "batch", jobs.Step{Tasks: 3, Resources: cores(1), EstimateMs: 8000})
		for len(s.truth.running) == 0 {
			s.run(time.Millisecond)
		}
		s.run(100 * time.Millisecond) // confirmed
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
		is.Equal(starts, 0) // nothing was started again
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
		is.Equal(s.wrong, nil)
	}
}

// The store may refuse the append that says that a job has started.
func TestFirstStartIsStoredAfterARefusal(t *testing.T) {
	is := is.New(t)
	s, _ := owned(t, 1, 2)
	const id = jobs.ID("00000000000000aa")
	s.put(id, "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 12000})
	for len(s.truth.running) == 0 {
		s.run(time.Millisecond)
	}
	s.storeBusy = true
	s.run(3 * time.Second)
	is.Equal(s.storedStates(t, id), []jobs.State{jobs.Queued})
	s.storeBusy = false
	s.run(time.Second)
	is.Equal(s.storedStates(t, id), []jobs.State{jobs.Queued, jobs.Running})
}

// newestEntries returns what a reader of the progress stream loads.
func (s *sim) newestEntries() map[string][]byte {
	out := map[string][]byte{}
	for _, e := range s.store.progress {
		if out[e.Key] = e.Value; len(e.Value) == 0 {
			delete(out, e.Key)
		}
	}
	return out
}

// offerAll offers jobs to the owner, and returns their ids.
func (s *sim) offerAll(n int, step jobs.Step) []jobs.ID {
	var out []jobs.ID
	for i := range n {
		j := jobs.Job{ID: jobs.ID(fmt.Sprintf("%016x", i+1)), Queue: "batch", Payload: strings.Repeat("text", 250), Steps: []jobs.Step{step}}
		s.newest[j.ID] = j
		s.offer(Entry{Key: jobs.JobKey(j.ID), Value: jobs.Encode(j)})
		out = append(out, j.ID)
	}
	return out
}

// Whoever loaded the cell read the whole submissions of all jobs that had ended
// within their retention.
func TestSubmissionsOfFinishedJobsAreShort(t *testing.T) {
	is := is.New(t)
	s, _ := owned(t, 1, 4)
	ids := s.offerAll(20, jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 500})
	s.run(10 * time.Second)
	newest := s.newestEntries()
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
	s.checkEnd()
	is.Equal(s.wrong, nil)
}

// While a finished job has a run left, its successor must know the room that the
// run takes.
func TestSubmissionOfAJobWithRunsIsWhole(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	id := s.offerAll(1, jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 20000})[0]
	s.run(2 * time.Second)
	is.Equal(len(s.truth.running), 1)
	n.away[s.workers[0]] = true // so that the run can't be stopped
	s.cancel(id)
	s.run(3 * time.Second)
	states := s.storedStates(t, id)
	is.Equal(states[len(states)-1], jobs.Cancelled)
	key := jobs.JobKey(id)
	j, err := jobs.Decode[jobs.Job](key, s.newestEntries()[key])
	is.NoErr(err)
	is.Equal(len(j.Steps), 1)
	clear(n.away)
	s.run(10 * time.Second)
	j, err = jobs.Decode[jobs.Job](key, s.newestEntries()[key])
	is.NoErr(err)
	is.Equal(len(j.Steps), 0)
	is.Equal(s.wrong, nil)
}

// An append that the store refuses keeps no submission long for good.
func TestSubmissionIsShortAfterARefusal(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	id := s.offerAll(1, jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 500})[0]
	for len(n.cell.jobsToTrim) == 0 {
		s.run(time.Millisecond)
	}
	s.storeBusy = true
	s.run(2 * time.Second)
	s.storeBusy = false
	s.run(time.Second)
	key := jobs.JobKey(id)
	j, err := jobs.Decode[jobs.Job](key, s.newestEntries()[key])
	is.NoErr(err)
	is.Equal(len(j.Steps), 0)
}
