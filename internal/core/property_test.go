package core_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// newSoloOwner returns an instance that owns a data centre alone and has a text in
// force, and the time of its clock.
func newSoloOwner() (*core.Core, model.Time) {
	cfg := core.Config{
		Self:   model.Member{Name: "tartu-0", Incarnation: "tartu-0.1", DataCentre: "tartu", Address: "10.0.0.0:70"},
		Timing: core.DefaultTiming(), Limits: core.DefaultLimits(),
	}
	c, now := core.New(cfg, servicetext.Parse), model.Time(0)
	read := func(stream string, entries ...record.Entry) {
		p, _ := record.Encode(record.Batch{ID: "b", Entries: entries})
		now += model.Time(time.Millisecond)
		c.Step(now, core.Event{LogRead: &core.LogRead{Stream: stream, StartedAt: now, Result: &platform.ReadResult{
			Next: 1, Tail: 1, Records: []platform.Record{{Payload: p}},
		}}})
	}
	read(record.ConfigStream, record.Entry{Publish: &record.Publish{ID: "t", Text: fmt.Appendf(nil, serviceTextFormat, "solo")}})
	read("dc/tartu", record.Entry{Claim: &record.Claim{Epoch: 1, Owner: cfg.Self, Electors: []model.Member{cfg.Self}}})
	return c, now
}

// soloVMList lists the workers of the data centre of newSoloOwner.
func soloVMList() core.Event {
	list := &core.VMList{}
	for _, name := range []string{"w0", "w1"} {
		list.VMs = append(list.VMs, model.VM{Name: name, Kind: model.VMWorker, DataCentre: "tartu", Address: name})
	}
	return core.Event{VMList: list}
}

// soloWorkers simulates workers that answer an owner's calls in any order, late, or not
// at all.
type soloWorkers struct {
	t       *rapid.T
	c       *core.Core
	now     model.Time
	offset  uint64
	appends []platform.Record
	tasks   map[model.WorkerName]map[model.TaskID]model.TaskStatus
	watches []*core.Watch
	starts  []*core.Start
	queries []*core.Query
}

// soloCapacity is the capacity of each worker.
var soloCapacity = model.Resources{MilliCPU: 4000, MemoryMB: 8192, Slots: 4, Connections: 64}

// step passes one event to the owner and performs the effects at once. Only the answers
// are delayed.
func (s *soloWorkers) step(ev core.Event) {
	for _, e := range s.c.Step(s.now, ev) {
		switch {
		case e.Append != nil && e.Append.Stream != record.ConfigStream:
			s.appends = append(s.appends, platform.Record{Offset: s.offset, Payload: e.Append.Payload})
			s.offset++
		case e.Watch != nil:
			s.watches = append(s.watches, e.Watch)
		case e.Query != nil:
			s.queries = append(s.queries, e.Query)
		case e.Start != nil:
			s.start(e.Start)
		case e.Control != nil && e.Control.Request.Action != worker.ActionForget:
			for _, id := range e.Control.Request.Tasks {
				s.endTask(e.Control.Worker, id, model.TaskStopped)
			}
		}
	}
}

func (s *soloWorkers) start(e *core.Start) {
	if s.tasks[e.Worker] == nil {
		s.tasks[e.Worker] = map[model.TaskID]model.TaskStatus{}
	}
	s.tasks[e.Worker][e.Request.Spec.ID] = model.TaskStatus{Spec: e.Request.Spec, State: model.TaskRunning}
	s.starts = append(s.starts, e)
	used := model.Resources{}
	for _, st := range s.tasks[e.Worker] {
		if st.State == model.TaskRunning {
			used = used.Add(st.Spec.Resources)
		}
	}
	if !used.Fits(soloCapacity) {
		s.t.Fatalf("%s is above its capacity with %s: %+v", e.Worker, e.Request.Spec.ID, used)
	}
}

func (s *soloWorkers) endTask(w model.WorkerName, id model.TaskID, state model.TaskState) {
	if st, ok := s.tasks[w][id]; ok && st.State == model.TaskRunning {
		st.State = state
		s.tasks[w][id] = st
	}
}

// drawElement removes and returns one randomly drawn element.
func drawElement[T any](s *soloWorkers, list *[]T) (v T, ok bool) {
	if len(*list) == 0 {
		return v, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(s.t, "which")
	v = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return v, true
}

// answerWatch answers a watch with a full report, or fails it.
func (s *soloWorkers) answerWatch() {
	e, ok := drawElement(s, &s.watches)
	if !ok {
		return
	}
	ev := &core.Watched{Worker: e.Worker, Epoch: e.Request.Epoch, SentAt: s.now}
	if rapid.IntRange(0, 5).Draw(s.t, "fails") > 0 {
		ev.Report = &model.Report{
			Worker: e.Worker, Boot: "b", Clock: model.WorkerTime(s.now), Capacity: soloCapacity, Full: true, Seq: 1,
			Guarded: rapid.Bool().Draw(s.t, "guarded"),
		}
		for _, id := range slices.Sorted(maps.Keys(s.tasks[e.Worker])) {
			ev.Report.Tasks = append(ev.Report.Tasks, s.tasks[e.Worker][id])
		}
	}
	s.step(core.Event{Watched: ev})
}

// answerStartAndQuery answers a start, or loses its answer, and answers a query.
func (s *soloWorkers) answerStartAndQuery() {
	if e, ok := drawElement(s, &s.starts); ok {
		ev := &core.Started{Worker: e.Worker, Task: e.Request.Spec.ID, Delivery: core.DeliveryAmbiguous}
		if rapid.Bool().Draw(s.t, "answered") {
			ev.Delivery, ev.Result = core.DeliveryOK, &worker.StartResult{}
		}
		s.step(core.Event{Started: ev})
	}
	if e, ok := drawElement(s, &s.queries); ok {
		st, known := s.tasks[e.Worker][e.Task]
		if !known {
			st.State = model.TaskNotKnown
		}
		s.step(core.Event{Queried: &core.Queried{Worker: e.Worker, Task: e.Task, Result: &worker.QueryResult{
			Boot: "b", Clock: model.WorkerTime(s.now), Status: st,
		}}})
	}
}

// submit submits a request or a job of a random class.
func (s *soloWorkers) submit(n int) {
	kind, sub := message.ForwardRequest, model.Submission{Service: "preview"}
	switch rapid.IntRange(0, 3).Draw(s.t, "class") {
	case 1:
		sub.Service, sub.Key = "booking", model.Key(fmt.Sprint("k", n))
	case 2:
		kind, sub.Service, sub.Tasks = message.ForwardJob, "plan", rapid.IntRange(1, 6).Draw(s.t, "tasks")
	case 3:
		kind, sub.Service, sub.Tasks = message.ForwardJob, "simulate", rapid.IntRange(1, 4).Draw(s.t, "tasks")
	}
	s.step(core.Event{Call: &core.Call{Request: model.RequestID(fmt.Sprint("r", n)), Kind: kind, Submission: sub}})
}

// TestOwnerKeepsWorkersWithinCapacity guards against an order of events after which an
// owner has started more on a worker than its capacity. The worker's view counts: all
// tasks that were started and have not ended, whatever was reported to the owner.
func TestOwnerKeepsWorkersWithinCapacity(t *testing.T) {
	started := 0
	rapid.Check(t, func(t *rapid.T) {
		c, now := newSoloOwner()
		s := &soloWorkers{t: t, c: c, now: now, offset: 1, tasks: map[model.WorkerName]map[model.TaskID]model.TaskStatus{}}
		s.step(soloVMList())
		for n := range rapid.IntRange(20, 200).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			s.step(core.Event{LogRead: &core.LogRead{Stream: "dc/tartu", StartedAt: s.now, Result: &platform.ReadResult{
				Records: s.appends, Next: s.offset, Tail: s.offset,
			}}})
			s.appends = nil
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				s.submit(n)
			case 2:
				s.answerStartAndQuery()
			case 3, 4:
				s.answerWatch()
			case 5:
				for _, w := range slices.Sorted(maps.Keys(s.tasks)) {
					for _, id := range slices.Sorted(maps.Keys(s.tasks[w])) {
						if rapid.Bool().Draw(t, "ends") {
							s.endTask(w, id, model.TaskDone)
						}
					}
				}
			default:
				s.step(core.Event{Tick: &core.Tick{}})
			}
		}
		for _, ts := range s.tasks {
			started += len(ts)
		}
	})
	t.Logf("%d tasks were started", started)
	if started == 0 {
		t.Fatal("nothing was started")
	}
}

// FuzzStep guards against panics of the reducer on events of any content in any order.
// The input is a sequence of events, encoded as in an event file.
func FuzzStep(f *testing.F) {
	for _, in := range []string{
		`{"tick":{}}`, `{"call":{"request":"r","kind":"request","submission":{"service":"booking","key":"k"}}}`,
		`{"watched":{"worker":"w0","epoch":1,"report":{"worker":"w0","full":true,"tasks":[{"spec":{"job":"j","index":-1}}]}}}`,
		`{"message":{"from":{"incarnation":"x","data_centre":"tartu"},"body":{"held_reply":{"epoch":1,"intents":[{}]}}}}`,
		`{"log_read":{"stream":"dc/tartu","result":{"records":[{"offset":1,"payload":"eyJlbnRyaWVzIjpbe31dfQ=="}]}}}`,
	} {
		f.Add([]byte(in))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		c, now := newSoloOwner()
		c.Step(now, soloVMList())
		for dec := json.NewDecoder(bytes.NewReader(data)); ; {
			var ev core.Event
			if dec.Decode(&ev) != nil {
				return
			}
			now = now.Add(100 * time.Millisecond)
			c.Step(now, ev)
			c.Step(now, core.Event{Tick: &core.Tick{}})
		}
	})
}
