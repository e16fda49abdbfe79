package core_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
)

// recordedStep is one step, encoded as in an event file.
type recordedStep struct {
	now     model.Time
	event   []byte
	effects []byte
}

// recordSteps records the steps of every instance of a history.
func recordSteps(w *world) map[*instance][]recordedStep {
	steps := map[*instance][]recordedStep{}
	w.recordStep = func(in *instance, now model.Time, ev core.Event) func([]core.Effect) {
		b, _ := json.Marshal(ev) // encoded before the step, which may retain parts of the event
		return func(effects []core.Effect) {
			e, _ := json.Marshal(effects)
			steps[in] = append(steps[in], recordedStep{now: now, event: b, effects: e})
		}
	}
	return steps
}

// replaySeed is a history with takeovers, log outages and worker faults.
const replaySeed = 120

// TestReplayGivesSameEffects guards against effects that depend on anything but the
// events, such as the iteration order of a map.
func TestReplayGivesSameEffects(t *testing.T) {
	is := is.New(t)
	var steps map[*instance][]recordedStep
	w := runHistory(replaySeed, func(w *world) { steps = recordSteps(w) })
	for _, in := range w.allInstances {
		c := core.New(in.cfg, servicetext.Parse)
		for _, s := range steps[in] {
			var ev core.Event
			is.NoErr(json.Unmarshal(s.event, &ev))
			effects, err := json.Marshal(c.Step(s.now, ev))
			is.NoErr(err)
			if !bytes.Equal(effects, s.effects) {
				t.Fatalf("%s at %d: %s\nrecorded %s\nreplayed %s", in.self.Incarnation, s.now, s.event, s.effects, effects)
			}
		}
	}
}
