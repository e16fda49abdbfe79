package node

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Without recent refusals kept at the other instances, an overloaded owner spends its CPU
// on refusing hundreds of forwarded submissions per second.
func TestSubmissionsAreRefusedAfterRecentRefusal(t *testing.T) {
	is := is.New(t)
	var r recentRefusals
	now := model.Time(time.Hour)
	refused, _ := r.refused(now, "q")
	is.True(!refused)
	r.record(now, "q", 4*time.Second)
	refused, after := r.refused(now.Add(time.Second), "q")
	is.True(refused)
	is.Equal(after, time.Second)
	refused, _ = r.refused(now.Add(time.Second), "other")
	is.True(!refused)
	refused, _ = r.refused(now.Add(2*time.Second), "q")
	is.True(!refused) // the owner is asked again before the callers retry
}

// The refusals of an owner must not outlive a takeover by another instance.
func TestRecentRefusalsAreResetForNewOwner(t *testing.T) {
	is := is.New(t)
	n := New(Settings{}, Deps{Telemetry: NewTelemetry(io.Discard, "error", "i"), Now: func() model.Time { return model.Time(time.Hour) }}, "i")
	n.connectToOwner(jobs.Claim{Epoch: 1, Owner: "a", Address: "a:1"})
	n.submitter.refusals.record(n.deps.Now(), "q", 4*time.Second)
	n.connectToOwner(jobs.Claim{Epoch: 1, Owner: "a", Address: "a:1"}) // the same claim, repeated as a heartbeat
	refused, _ := n.submitter.refusals.refused(n.deps.Now(), "q")
	is.True(refused)
	n.connectToOwner(jobs.Claim{Epoch: 2, Owner: "b", Address: "b:1"})
	refused, _ = n.submitter.refusals.refused(n.deps.Now(), "q")
	is.True(!refused)
}
