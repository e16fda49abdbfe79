package core_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// leavingStartGrace is how long after a worker is listed as leaving it may still get
// starts: guarantee P6, "a few seconds".
const leavingStartGrace = 5 * time.Second

// violationf records a violated invariant.
func (w *world) violationf(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	w.tracef("VIOLATION: %s", s)
	w.violations = append(w.violations, s)
}

// check checks all invariants at the end of a history and returns the violations.
func (w *world) check() []string {
	runs := w.ledger.Runs()
	w.checkRuns(runs)
	w.checkCapacity()
	w.checkAnswers(runs)
	w.checkJobs()
	w.checkFinalState()
	for key, ops := range w.keyHistories(runs) {
		if !porcupine.CheckOperations(keyModel, ops) {
			w.violationf("key %s: %s", key, describeOperations(ops))
		}
	}
	if ops := w.publishHistory(); !porcupine.CheckOperations(textModel, ops) {
		w.violationf("publishes: %s", describeOperations(ops))
	}
	return w.violations
}

// checkRuns checks the tasks that ran, as the workers recorded them in the ledger.
func (w *world) checkRuns(runs []standin.Run) {
	for _, v := range w.ledger.Violations() {
		if v.Service == "booking" || v.Kind == standin.ViolationTaskTwice {
			w.violationf("%s: task %s on %s", v.Kind, v.Task, v.Worker)
		}
	}
	latest := map[model.WorkerName]standin.Run{} // with the highest epoch so far
	leaderEnds := map[model.DataCentre]time.Duration{}
	for _, r := range runs {
		// An owner may claim again under a new epoch, so starts by one instance may
		// arrive out of epoch order.
		switch l := latest[r.Worker]; {
		case r.Epoch >= l.Epoch:
			latest[r.Worker] = r
		case w.startedTasks[r.Task].startedBy != w.startedTasks[l.Task].startedBy:
			w.violationf("task %s started by %s with epoch %d on %s at %v, after a start by %s with epoch %d",
				r.Task, w.startedTasks[r.Task].startedBy, r.Epoch, r.Worker, r.Start, w.startedTasks[l.Task].startedBy, l.Epoch)
		}
		for _, l := range w.faults.leavingPeriods {
			if l.worker == r.Worker && r.Start > l.from+leavingStartGrace && r.Start < l.to {
				w.violationf("task %s started on %s, %v after the worker was listed as leaving", r.Task, r.Worker, r.Start-l.from)
			}
		}
		if r.Service != "leader" {
			continue
		}
		dc := w.upstream(r.Worker).dc
		if r.Start < leaderEnds[dc] {
			w.violationf("singleton %s started at %v while another runs until %v", r.Task, r.Start, leaderEnds[dc])
		}
		leaderEnds[dc] = r.End
		if r.State == model.TaskRunning {
			leaderEnds[dc] = historyEnd
		}
	}
}

func (w *world) checkCapacity() {
	for _, address := range w.workerKeys {
		u := w.workers[address]
		for _, v := range u.Violations() {
			if v.Kind == standin.ViolationCapacity {
				w.violationf("worker %s exceeds its capacity with task %s", v.Worker, v.Task)
			}
		}
	}
}

// upstream returns the worker with a name.
func (w *world) upstream(name model.WorkerName) *upstream {
	for _, u := range w.workers {
		if u.name == name {
			return u
		}
	}
	return nil
}

// checkAnswers checks that each call has exactly one answer, which agrees with the
// call's own request and with the ledger.
func (w *world) checkAnswers(runs []standin.Run) {
	bookingRuns := map[model.Key]standin.Run{}
	for _, r := range runs {
		if r.Service == "booking" {
			bookingRuns[r.Key] = r
			w.checkRunWasRequested(r)
		}
	}
	for _, a := range w.callers.calls {
		switch {
		case a.lost:
			continue
		case a.answerCount != 1:
			w.violationf("call %s (%s) at %s has %d answers", a.id, a.kind, a.instance.self.Incarnation, a.answerCount)
			continue
		}
		done := a.answer.Outcome == model.OutcomeDone
		if a.kind == message.ForwardRequest && done && string(a.answer.Result) != plannedResult(a.sub.Body) {
			w.violationf("call %s got %q, not %q", a.id, a.answer.Result, plannedResult(a.sub.Body))
		}
		if r, ok := bookingRuns[a.sub.Key]; ok && done && a.sub.Service == "booking" && (r.State != model.TaskDone || r.End > a.end) {
			w.violationf("call %s was answered done at %v, but its task %s is %s since %v", a.id, a.end, r.Task, r.State, r.End)
		}
	}
}

// checkRunWasRequested checks that a run of a key was requested by a call that had not
// been answered not_run before the run started.
func (w *world) checkRunWasRequested(r standin.Run) {
	var notRunAnswers []string
	for _, a := range w.callers.calls {
		if a.sub.Key != r.Key || string(a.sub.Body) != w.startedTasks[r.Task].body || a.begin > r.Start {
			continue
		}
		if a.answer == nil || a.answer.Outcome != model.OutcomeNotRun || a.end > r.Start {
			return
		}
		notRunAnswers = append(notRunAnswers, fmt.Sprintf("%s %s at %v", a.id, a.answer.Code, a.end))
	}
	w.violationf("task %s started at %v, but its calls had been answered not_run: %v", r.Task, r.Start, notRunAnswers)
}

func plannedResult(body []byte) string {
	var p standin.Plan
	_ = json.Unmarshal(body, &p)
	return p.Result
}

// checkJobs checks that every accepted job ended, and ended as done with its result
// unless it was cancelled.
func (w *world) checkJobs() {
	for _, j := range w.callers.jobs {
		want := []byte(j.result)
		if j.tasks > 1 {
			want, _ = json.Marshal(slices.Repeat([]string{j.result}, j.tasks))
		}
		switch {
		case w.callers.cancelled[j.id] && j.final != nil:
		case j.final == nil:
			w.violationf("accepted job %s has not ended", j.id)
		case j.final.Outcome != model.OutcomeDone || string(j.final.Result) != string(want):
			w.violationf("accepted job %s ended as %s %s %q %q", j.id, j.final.Outcome, j.final.Code, j.final.Message, j.final.Result)
		}
	}
}

// checkFinalState checks the final state of the instances: one owner per data centre,
// all ready with no task in doubt, and the same text. It also checks that no instance
// reverted to an older text.
func (w *world) checkFinalState() {
	owners, versions := map[model.DataCentre]int{}, map[uint64]bool{}
	for _, address := range w.instanceKeys {
		in := w.instances[address]
		in.step(core.Event{Status: &core.Status{Request: "status"}})
		s := w.callers.statusReports[in.self.Incarnation]
		if s.Acting {
			owners[in.self.DataCentre]++
		}
		versions[s.TextVersion] = true
		if !s.Ready || s.InDoubt > 0 {
			w.violationf("%s at the end: ready %v, %d tasks in doubt", in.self.Incarnation, s.Ready, s.InDoubt)
		}
	}
	for _, dc := range dataCentres {
		if owners[dc] != 1 {
			w.violationf("%s has %d owners at the end", dc, owners[dc])
		}
	}
	if len(versions) != 1 {
		w.violationf("text versions at the end: %v", versions)
	}
	for _, in := range w.allInstances {
		if !slices.IsSorted(in.textVersions) {
			w.violationf("%s reverted to an older text: versions %v", in.self.Incarnation, in.textVersions)
		}
	}
	ids := map[uint64]string{}
	for _, t := range w.callers.textsInForce {
		if id, ok := ids[t.Version]; ok && id != t.ID {
			w.violationf("text version %d has two texts: %s and %s", t.Version, id, t.ID)
		}
		ids[t.Version] = t.ID
	}
}

// keyOperation is an operation on a key: a run, or a call with its answer.
type keyOperation struct {
	run    bool
	state  model.TaskState // how the run ended
	body   string
	answer model.Answer
}

// keyState is the state of a key in keyModel.
type keyState struct {
	started bool
	state   model.TaskState
	body    string
}

// keyModel restricts what callers of one key may be answered: at most one run, a final
// answer that agrees with it, and not_run for the same body only before it. A call that
// is refused before its key is looked up says nothing about earlier attempts.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.(keyState), input.(keyOperation)
		if in.run {
			return !s.started, keyState{started: true, state: in.state, body: in.body}
		}
		switch a := in.answer; a.Outcome {
		case model.OutcomeDone:
			return s.started && s.state == model.TaskDone && string(a.Result) == plannedResult([]byte(s.body)), s
		case model.OutcomeFailed:
			return s.started && (s.state == model.TaskFailed || s.state == model.TaskStopped), s
		case model.OutcomeNotRun:
			return !s.started || s.body != in.body, s
		}
		return true, s
	},
	DescribeOperation: func(input, _ any) string {
		in := input.(keyOperation)
		if in.run {
			return fmt.Sprintf("run %s %s", plannedResult([]byte(in.body)), in.state)
		}
		return fmt.Sprintf("call %s -> %s %s %s", plannedResult([]byte(in.body)), in.answer.Outcome, in.answer.Code, in.answer.Result)
	},
}

// keyHistories returns the operations of each key.
func (w *world) keyHistories(runs []standin.Run) map[model.Key][]porcupine.Operation {
	out := map[model.Key][]porcupine.Operation{}
	for _, r := range runs {
		if r.Service == "booking" {
			out[r.Key] = append(out[r.Key], porcupine.Operation{
				Input: keyOperation{run: true, state: r.State, body: w.startedTasks[r.Task].body}, Call: int64(r.Start), Return: int64(r.Start),
			})
		}
	}
	for i, a := range w.callers.calls {
		if a.sub.Service == "booking" && a.answer != nil {
			out[a.sub.Key] = append(out[a.sub.Key], porcupine.Operation{
				ClientId: i, Input: keyOperation{body: string(a.sub.Body), answer: *a.answer}, Call: int64(a.begin), Return: int64(a.end),
			})
		}
	}
	return out
}

// textOperation is a publish with its result, or a read of the version in force.
type textOperation struct {
	id      string
	base    uint64
	version uint64 // returned by a read
	result  string // "accepted", "conflict", "unknown" or "read"
}

// textModel is a register with compare-and-append: a publish succeeds only on the
// version that it is based on.
var textModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, _ any) []any {
		v, in := state.(uint64), input.(textOperation)
		switch {
		case in.result == "read" && in.version == v, in.result == "conflict" && in.base != v:
			return []any{v}
		case in.result == "accepted" && in.base == v:
			return []any{v + 1}
		case in.result == "unknown" && in.base == v:
			return []any{v, v + 1}
		case in.result == "unknown":
			return []any{v}
		}
		return nil
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}).ToModel()

// publishHistory returns the publishes, and a read of the version at the end.
func (w *world) publishHistory() []porcupine.Operation {
	var ops []porcupine.Operation
	for i, p := range w.callers.publishes {
		in, end := textOperation{id: p.id, base: p.base, result: "unknown"}, historyEnd
		if p.answer != nil {
			end, in.result = p.end, "conflict"
			if p.answer.Accepted {
				in.result = "accepted"
			}
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: in, Call: int64(p.begin), Return: int64(end)})
	}
	for _, s := range w.callers.statusReports {
		in := textOperation{version: s.TextVersion, result: "read"}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: in, Call: int64(historyEnd), Return: int64(historyEnd + 1)})
		break
	}
	return ops
}

// describeOperations lists the operations of a history, ordered by the time of the
// call.
func describeOperations(ops []porcupine.Operation) string {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var b strings.Builder
	for _, o := range ops {
		what := fmt.Sprintf("%+v", o.Input)
		if _, ok := o.Input.(keyOperation); ok {
			what = keyModel.DescribeOperation(o.Input, nil)
		}
		fmt.Fprintf(&b, "\n\t%v to %v: %s", time.Duration(o.Call), time.Duration(o.Return), what)
	}
	return b.String()
}
