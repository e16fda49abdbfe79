package node

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// An overloaded owner spent its processor on refusing hundreds of submissions a
// second that other instances had brought it.
func TestRefusalsAreRemembered(t *testing.T) {
	is := is.New(t)
	var r refusals
	now := model.Time(time.Hour)
	refused, _ := r.refused(now, "q")
	is.True(!refused)
	r.note(now, "q", 4*time.Second)
	refused, after := r.refused(now.Add(time.Second), "q")
	is.True(refused)
	is.Equal(after, time.Second)
	refused, _ = r.refused(now.Add(time.Second), "other")
	is.True(!refused)
	refused, _ = r.refused(now.Add(2*time.Second), "q")
	is.True(!refused) // the owner is asked again before callers come back
}

// Callers went on to hear the refusals of an owner that another had followed.
func TestRefusalsEndWithTheirOwner(t *testing.T) {
	is := is.New(t)
	n := New(Settings{}, Deps{Telemetry: NewTelemetry(io.Discard, "error", "i"), Now: func() model.Time { return model.Time(time.Hour) }}, "i")
	n.connectToOwner(jobs.Claim{Epoch: 1, Owner: "a", Address: "a:1"})
	n.submitter.refusals.note(n.deps.Now(), "q", 4*time.Second)
	n.connectToOwner(jobs.Claim{Epoch: 1, Owner: "a", Address: "a:1"}) // a heartbeat
	refused, _ := n.submitter.refusals.refused(n.deps.Now(), "q")
	is.True(refused)
	n.connectToOwner(jobs.Claim{Epoch: 2, Owner: "b", Address: "b:1"})
	refused, _ = n.submitter.refusals.refused(n.deps.Now(), "q")
	is.True(!refused)
}
