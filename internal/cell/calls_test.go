package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/pacing"
)

// narrowOwner returns an owner of many workers behind 2 Mbit/s.
func narrowOwner(t *testing.T) (*sim, *Cell) {
	t.Helper()
	s := newSim(1, 0, grownWorkers)
	n := s.addLinkedNode(grownCores, grownBandwidth)
	s.run(5 * time.Second)
	if !n.cell.ownerReady {
		t.Fatal("no owner")
	}
	return s, n.cell
}

// renewals returns the bytes of the renewals that are answered at once.
func renewals(out []Effect) int {
	n := 0
	for _, e := range out {
		if r, ok := e.(Renew); ok && r.Wait == 0 {
			n += pacing.RenewCost
		}
	}
	return n
}

// When the owner's link was full, all its renewals failed together, and each was
// made again over a new connection after a fixed pause, which kept the link full.
func TestRenewalsOfLostWorkersArePaced(t *testing.T) {
	is := is.New(t)
	s, c := narrowOwner(t)
	var failed []Event
	for _, w := range c.workerList {
		w.renewInFlight = true
		failed = append(failed, Renewed{Worker: w.info.Name, SentAt: s.now, Verdict: Unknown})
	}
	c.Step(s.now, failed...)
	now := s.now.Add(renewRetryPause)
	sent := renewals(c.Step(now, Tick{StoreAnsweredAt: now}))
	is.True(sent <= 2*c.pacer.Limit()) // as when it asks them for the first time
}

// While the store was slow, the owner asked every worker with an end that was not
// stored three times a second, whatever its link carries.
func TestRenewalsWhileEndsWaitForTheStoreArePaced(t *testing.T) {
	is := is.New(t)
	s, c := narrowOwner(t)
	now := s.now.Add(renewRetryPause)
	var ends []Event
	for _, w := range c.workerList {
		w.renewInFlight = true
		ends = append(ends, Renewed{
			Worker: w.info.Name, SentAt: now, Verdict: Accepted, Boot: w.boot, Clock: w.clock + model.WorkerTime(time.Second),
			Ended: []RunEnd{{Seq: w.seenEndSeq + 1, Task: jobs.TaskRef{Job: "00000000000000aa"}, Run: 1, Outcome: jobs.OutcomeDone}},
		})
	}
	sent := renewals(c.Step(now, ends...))
	for _, w := range c.workerList {
		is.True(w.seenEndSeq > w.storedEndSeq)
	}
	is.True(sent <= 2*c.pacer.Limit())
}

// The other members of a gang waited for one whose start had no answer, and which
// is stopped in any case, until they ended alone.
func TestGangIsBrokenWhenAStartHasNoAnswer(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 2)
	c := n.cell
	s.put("00000000000000aa", "batch", jobs.Step{Tasks: 2, Resources: cores(1), EstimateMs: 1000, Gang: true})
	sent := func() (out []*placement) {
		for _, w := range c.workerList {
			for _, p := range w.runs {
				if p.phase == phaseStarting {
					out = append(out, p)
				}
			}
		}
		return out
	}
	for range 10_000 {
		if len(sent()) == 2 {
			break
		}
		s.run(100 * time.Microsecond)
	}
	ps := sent()
	is.Equal(len(ps), 2)
	stops := 0
	for _, e := range c.Step(s.now, StartAnswered{Worker: ps[0].worker.info.Name, Task: ps[0].ref, Run: ps[0].run, Verdict: Unknown, Call: Call{SentAt: s.now}}) {
		if _, ok := e.(Stop); ok {
			stops++
		}
	}
	is.Equal(stops, 2)
}

// A task was started on a worker that was known to drain for over a second, since
// its placement had waited for a late append.
func TestNoStartOnAWorkerThatDrains(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	c := n.cell
	s.put("00000000000000aa", "batch", jobs.Step{Tasks: 1, Resources: cores(1), EstimateMs: 1000})
	w := c.workerList[0]
	for range 10_000 {
		if len(w.runs) > 0 {
			break
		}
		s.run(100 * time.Microsecond)
	}
	is.True(c.inFlight != nil && len(c.inFlight.placements) == 1)
	info := w.info
	info.Draining = true
	c.Step(s.now, WorkerRegistered{Info: info})
	now := s.now.Add(1400 * time.Millisecond)
	for _, e := range c.Step(now, Appended{Seq: c.inFlight.seq, SentAt: s.now}) {
		_, started := e.(Start)
		is.True(!started)
	}
}

// An instance that was cut off from the eligibility service failed its calls at once,
// was free before all others, and so was asked again each time.
func TestFailedEligibilityCallGoesElsewhere(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 8)
	c := n.cell
	id := jobs.ID("00000000000000aa")
	c.Step(s.now, InstanceChanged{Name: "vm-8", Up: true}, InstanceChanged{Name: "vm-9", Up: true})
	now := s.now.Add(TickInterval)
	out := c.Step(now, JobAdded{Job: jobs.Job{ID: id, Queue: "urgent", Steps: []jobs.Step{{Tasks: 2, Resources: cores(1), EstimateMs: 500}}}})
	asked := map[string]int{}
	for range 4 {
		for _, e := range out {
			if a, ok := e.(QueryEligibility); ok {
				asked[a.Instance]++
				now = now.Add(10 * time.Millisecond)
				c.Step(now, EligibilityAnswered{Instance: a.Instance, Job: id, Queried: a.Workers, Failed: true})
			}
		}
		now = now.Add(queryRetryPause << maxQueryDoublings)
		out = c.Step(now, Tick{StoreAnsweredAt: now})
	}
	is.True(len(asked) > 1)
}

// An owner that had been paused, or cut off from the store, started work before it
// had read the cancellations that were stored meanwhile.
func TestOwnerReadsSubmissionsBeforeItStarts(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	c := n.cell
	starts := func(out []Effect) (sent int) {
		for _, e := range out {
			if _, ok := e.(Start); ok {
				sent++
			}
		}
		return sent
	}
	c.Step(s.now, JobAdded{Job: jobs.Job{ID: "00000000000000aa", Queue: "batch", Steps: []jobs.Step{{Tasks: 1, Resources: cores(1), EstimateMs: 1000}}}})
	is.True(c.inFlight != nil)
	now := s.now.Add(maxSubmissionsAge + time.Millisecond)
	resumed := now
	store := func() int { // each append is stored at once
		sent := 0
		for range 5 {
			if c.inFlight == nil {
				break
			}
			now = now.Add(10 * time.Millisecond)
			sent += starts(c.Step(now, Appended{Seq: c.inFlight.seq, SentAt: now}))
		}
		return sent
	}
	is.Equal(store(), 0)
	is.Equal(starts(c.Step(now, SubmissionsCaughtUp{SentAt: resumed.Add(-maxSubmissionsAge)})), 0) // sent before the pause
	is.Equal(store(), 0)
	c.Step(now, SubmissionsCaughtUp{SentAt: now})
	is.Equal(store(), 1)
}

// A job was submitted again after its first submission had been refused. Its
// cancellation, which was stored in between, was forgotten with the first one.
func TestCancellationOutlivesRefusedSubmission(t *testing.T) {
	is := is.New(t)
	s, n := owned(t, 1, 1)
	c := n.cell
	j := jobs.Job{ID: "00000000000000aa", Queue: "batch", Steps: []jobs.Step{{Tasks: 1, Resources: cores(1), EstimateMs: 1000}}}
	c.Step(s.now, SubmitRequested{RequestID: 1, Job: j, Value: jobs.Encode(j)})
	is.True(c.inFlight != nil)
	c.Step(s.now, JobCancelled{ID: j.ID, Partition: 0})
	c.Step(s.now, Appended{Seq: c.inFlight.seq, SentAt: s.now, Refused: true})
	_, known := c.Job(j.ID)
	is.True(!known)
	c.Step(s.now, JobAdded{Job: j, Partition: 0})
	v, _ := c.Job(j.ID)
	is.Equal(v.State, jobs.Cancelled)
}

// After an outage of the store the first instance that could read took the cell
// from an owner that lived, since its stream had been silent for so long.
func TestOutageOfTheStoreKeepsTheOwner(t *testing.T) {
	is := is.New(t)
	now := model.Time(time.Hour)
	c := New(Config{Name: "cell-0", Self: "vm-2", Cores: 0.8, MaxLease: simLease})
	c.Step(now, ConfigChanged{Config: &jobs.Config{Version: 1}}, ClaimRead{Claim: jobs.Claim{Epoch: 1, Owner: "vm-1"}},
		ProgressCaughtUp{End: 1, SentAt: now, Records: 1}, OwnerLinkChanged{Up: true})
	claimed := func() bool {
		for _, e := range c.Step(now, ProgressCaughtUp{End: 1, SentAt: now}, Tick{StoreAnsweredAt: now}) {
			if _, ok := e.(TryClaim); ok {
				return true
			}
		}
		return false
	}
	now = now.Add(5 * time.Second) // the store was out
	back := now
	for now.Sub(back) < ownerTimeoutLinkUp {
		is.True(!claimed())
		now = now.Add(TickInterval)
	}
	for range 20 {
		now = now.Add(TickInterval)
		if claimed() {
			return
		}
	}
	t.Error("the cell of an owner that stays silent was not claimed")
}
