package core_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// TestModelsRejectInvalidHistories guards against a model that accepts every history:
// each invalid history here breaks one rule.
func TestModelsRejectInvalidHistories(t *testing.T) {
	run := func(at int64, state model.TaskState) porcupine.Operation {
		return porcupine.Operation{Input: keyOperation{run: true, state: state, body: `{"result":"a"}`}, Call: at, Return: at}
	}
	call := func(from, to int64, o model.Outcome, result string) porcupine.Operation {
		a := model.Answer{Outcome: o, Result: []byte(result)}
		return porcupine.Operation{ClientId: int(from), Input: keyOperation{body: `{"result":"a"}`, answer: a}, Call: from, Return: to}
	}
	text := func(from, to int64, in textOperation) porcupine.Operation {
		return porcupine.Operation{ClientId: int(from), Input: in, Call: from, Return: to}
	}
	accepted, conflict := textOperation{result: "accepted"}, textOperation{result: "conflict"}
	for name, c := range map[string]struct {
		model porcupine.Model
		ops   []porcupine.Operation
		ok    bool
	}{
		"one run":                              {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(1, 3, model.OutcomeDone, "a")}, true},
		"two runs":                             {keyModel, []porcupine.Operation{run(2, model.TaskStopped), run(4, model.TaskDone)}, false},
		"done without a run":                   {keyModel, []porcupine.Operation{call(1, 3, model.OutcomeDone, "a")}, false},
		"result of another run":                {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(1, 3, model.OutcomeDone, "b")}, false},
		"failed after a done run":              {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(1, 3, model.OutcomeFailed, "")}, false},
		"not_run after a run":                  {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(3, 4, model.OutcomeNotRun, "")}, false},
		"not_run before a run":                 {keyModel, []porcupine.Operation{call(1, 2, model.OutcomeNotRun, ""), run(3, model.TaskDone)}, true},
		"one accepted publish":                 {textModel, []porcupine.Operation{text(1, 3, accepted), text(2, 4, conflict)}, true},
		"two accepted publishes of one base":   {textModel, []porcupine.Operation{text(1, 3, accepted), text(2, 4, accepted)}, false},
		"conflict without an accepted publish": {textModel, []porcupine.Operation{text(1, 3, conflict), text(2, 4, conflict)}, false},
		"old version read at the end":          {textModel, []porcupine.Operation{text(1, 2, accepted), text(3, 4, textOperation{result: "read"})}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(porcupine.CheckOperations(c.model, c.ops), c.ok)
		})
	}
}

// TestChecksReportPlantedViolations guards against checks that miss violations: each
// case adds one violation at the end of a valid history.
func TestChecksReportPlantedViolations(t *testing.T) {
	start := func(w *world, by model.Incarnation, epoch uint64, spec model.TaskSpec) {
		u := w.workers[w.workerKeys[0]]
		w.startedTasks[spec.ID] = startedTask{startedBy: by}
		_, _ = u.Start(ctx, worker.StartRequest{Epoch: epoch, Lease: time.Second, Spec: spec})
	}
	const late = 1 << 40 // higher than any epoch of a history
	for name, plant := range map[string]func(*world){
		"two owners": func(w *world) {
			start(w, "a", late+1, model.TaskSpec{ID: "a"})
			start(w, "b", late, model.TaskSpec{ID: "b"})
		},
		"key run twice": func(w *world) {
			start(w, "a", late, model.TaskSpec{ID: "a", Service: "booking", Key: "k"})
			start(w, "a", late, model.TaskSpec{ID: "b", Service: "booking", Key: "k"})
		},
		"worker above its capacity": func(w *world) {
			start(w, "a", late, model.TaskSpec{ID: "a", Resources: model.Resources{MilliCPU: 4001}})
		},
		"start on a leaving worker": func(w *world) {
			name := w.workers[w.workerKeys[0]].name
			w.faults.leavingPeriods = append(w.faults.leavingPeriods, leavingPeriod{worker: name, from: w.now() - leavingStartGrace - 1, to: w.now() + 1})
			start(w, "a", late, model.TaskSpec{ID: "a"})
		},
		"run after a not_run answer": func(w *world) {
			a := &apiCall{answerCount: 1, answer: &model.Answer{Outcome: model.OutcomeNotRun}, sub: model.Submission{Key: "k"}}
			w.callers.calls = append(w.callers.calls, a)
			start(w, "a", late, model.TaskSpec{ID: "a", Service: "booking", Key: "k"})
		},
		"call without an answer": func(w *world) { w.callers.calls = append(w.callers.calls, &apiCall{instance: w.allInstances[0]}) },
		"call with two answers":  func(w *world) { w.callers.calls[0].answerCount = 2 },
		"result of another request": func(w *world) {
			done := &model.Answer{Outcome: model.OutcomeDone, Result: []byte("b")}
			w.callers.calls = append(w.callers.calls, &apiCall{instance: w.allInstances[0], kind: message.ForwardRequest, answerCount: 1, answer: done})
		},
		"accepted job without an end": func(w *world) { w.callers.jobs = append(w.callers.jobs, &acceptedJob{}) },
		"instance with a reverted text": func(w *world) {
			w.allInstances[0].textVersions = append(w.allInstances[0].textVersions, 0)
		},
		"two texts with one version": func(w *world) {
			w.callers.textsInForce = append(w.callers.textsInForce, core.ActiveText{Version: 1, ID: "other"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := runHistory(0, func(w *world) { w.useUnguardedWorkers() })
			plant(w)
			is.True(len(w.check()) > 0)
		})
	}
}

// useUnguardedWorkers replaces all workers by ones that accept every start, so that a
// test can plant invalid starts.
func (w *world) useUnguardedWorkers() {
	for _, address := range w.workerKeys {
		u := w.workers[address]
		u.cfg.Unguarded = true
		u.Worker = standin.NewWorker(u.cfg, w.clock.Now)
	}
}
