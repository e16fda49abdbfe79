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

// TestModelsRejectInvalidHistories guards against a checker that accepts
// everything: each planted history breaks one rule of a model.
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
		"one run":               {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(1, 3, model.OutcomeDone, "a")}, true},
		"two runs":              {keyModel, []porcupine.Operation{run(2, model.TaskStopped), run(4, model.TaskDone)}, false},
		"done without a run":    {keyModel, []porcupine.Operation{call(1, 3, model.OutcomeDone, "a")}, false},
		"another result":        {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(1, 3, model.OutcomeDone, "b")}, false},
		"failed, but done":      {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(1, 3, model.OutcomeFailed, "")}, false},
		"not run after a run":   {keyModel, []porcupine.Operation{run(2, model.TaskDone), call(3, 4, model.OutcomeNotRun, "")}, false},
		"not run before a run":  {keyModel, []porcupine.Operation{call(1, 2, model.OutcomeNotRun, ""), run(3, model.TaskDone)}, true},
		"one winner":            {textModel, []porcupine.Operation{text(1, 3, accepted), text(2, 4, conflict)}, true},
		"two winners":           {textModel, []porcupine.Operation{text(1, 3, accepted), text(2, 4, accepted)}, false},
		"no winner":             {textModel, []porcupine.Operation{text(1, 3, conflict), text(2, 4, conflict)}, false},
		"an old version at end": {textModel, []porcupine.Operation{text(1, 2, accepted), text(3, 4, textOperation{result: "read"})}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(porcupine.CheckOperations(c.model, c.ops), c.ok)
		})
	}
}

// TestChecksReportPlantedViolations guards against checks of the ledger that see
// nothing: each planted fact breaks one promise at the end of a good history.
func TestChecksReportPlantedViolations(t *testing.T) {
	start := func(w *world, by model.Incarnation, epoch uint64, spec model.TaskSpec) {
		u := w.workers[w.workerAddresses[0]]
		w.startedTasks[spec.ID] = startedTask{startedBy: by}
		_, _ = u.Start(ctx, worker.StartRequest{Epoch: epoch, Lease: time.Second, Spec: spec})
	}
	const late = 1 << 40 // an epoch that no history reaches
	for name, plant := range map[string]func(*world){
		"two owners": func(w *world) {
			start(w, "a", late+1, model.TaskSpec{ID: "a"})
			start(w, "b", late, model.TaskSpec{ID: "b"})
		},
		"key in two places": func(w *world) {
			start(w, "a", late, model.TaskSpec{ID: "a", Service: "booking", Key: "k"})
			start(w, "a", late, model.TaskSpec{ID: "b", Service: "booking", Key: "k"})
		},
		"above capacity": func(w *world) {
			start(w, "a", late, model.TaskSpec{ID: "a", Resources: model.Resources{MilliCPU: 4001}})
		},
		"leaving": func(w *world) {
			name := w.workers[w.workerAddresses[0]].name
			w.faults.leavingPeriods = append(w.faults.leavingPeriods, leavingPeriod{worker: name, from: w.now() - leavingStartGrace - 1, to: w.now() + 1})
			start(w, "a", late, model.TaskSpec{ID: "a"})
		},
		"run after not run": func(w *world) {
			a := &apiCall{answerCount: 1, answer: &model.Answer{Outcome: model.OutcomeNotRun}, sub: model.Submission{Key: "k"}}
			w.callers.calls = append(w.callers.calls, a)
			start(w, "a", late, model.TaskSpec{ID: "a", Service: "booking", Key: "k"})
		},
		"no answer":   func(w *world) { w.callers.calls = append(w.callers.calls, &apiCall{instance: w.allInstances[0]}) },
		"two answers": func(w *world) { w.callers.calls[0].answerCount = 2 },
		"another's result": func(w *world) {
			done := &model.Answer{Outcome: model.OutcomeDone, Result: []byte("b")}
			w.callers.calls = append(w.callers.calls, &apiCall{instance: w.allInstances[0], kind: message.ForwardRequest, answerCount: 1, answer: done})
		},
		"job lost": func(w *world) { w.callers.jobs = append(w.callers.jobs, &acceptedJob{}) },
		"text reverted": func(w *world) {
			w.allInstances[0].textVersions = append(w.allInstances[0].textVersions, 0)
		},
		"two texts of a version": func(w *world) {
			w.callers.textsInForce = append(w.callers.textsInForce, core.TextInForce{Version: 1, ID: "other"})
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

// useUnguardedWorkers makes every worker take all starts, so that a test can plant wrong
// ones.
func (w *world) useUnguardedWorkers() {
	for _, address := range w.workerAddresses {
		u := w.workers[address]
		u.cfg.Unguarded = true
		u.Worker = standin.NewWorker(u.cfg, w.clock.Now)
	}
}
