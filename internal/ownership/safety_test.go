package ownership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

func goneMembers(ms ...model.Member) func(model.Member) bool {
	return func(m model.Member) bool { return hasMember(ms, m.Incarnation) }
}

// TestSilentElectorKept guards against a claim that leaves out a member that is
// partitioned and may grant lease votes to another owner.
func TestSilentElectorKept(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(a)
	s.SetMembers(3, goneMembers())
	got, _ := collectClaims(s, 0, 3, true, a)
	is.Equal(len(got), 0) // b and c are silent, but not gone for good: the electors have not changed
	s.SetMembers(3, goneMembers(c))
	got, _ = collectClaims(s, 3, 3.1, true, a)
	is.Equal(len(got), 1)
	is.Equal(got[0].Electors, []model.Member{a, b})
}

// TestSoleElectorNeedsLog guards against an owner that is its claim's only elector
// and keeps its lease by its own vote while there are other instances.
func TestSoleElectorNeedsLog(t *testing.T) {
	is := is.New(t)
	s := New(Config{Self: a, LeaseDuration: 1000 * ms, ClockDriftMargin: 200 * ms, SuspectTimeout: 800 * ms, ConsentTimeout: 2000 * ms})
	s.FoldClaim(0, record.Claim{Epoch: 1, Owner: a, Electors: []model.Member{a}})
	s.OnLogRead(0, true)
	s.SetMembers(3, goneMembers())
	is.True(s.MayAct(sec(0.9)))
	is.True(!s.MayAct(sec(1.1))) // no read of the log
	s.SetMembers(1, goneMembers())
	is.True(s.MayAct(sec(1.1))) // there are no other instances
}

// TestExclusiveSince guards against work for workers that don't compare epochs while
// lease votes may still confirm the lease of a former owner.
func TestExclusiveSince(t *testing.T) {
	known := message.HeartbeatReply{Epoch: 2}
	for _, tc := range []struct {
		name  string
		apply func(*State)
		want  bool
	}{
		{"claim without consent", func(*State) {}, false},
		{"an elector knows the epoch", func(s *State) { s.OnHeartbeatReply(sec(1), c, known) }, true},
		{"an elector is gone for good", func(s *State) { s.SetMembers(3, goneMembers(b)) }, true},
		{"a member that is no elector knows the epoch", func(s *State) { s.OnHeartbeatReply(sec(1), model.Member{Incarnation: "d"}, known) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := memberWithOwner(b)
			s.FoldClaim(sec(0.5), record.Claim{Epoch: 2, Owner: a, Electors: []model.Member{a, b, c}})
			tc.apply(s)
			s.Step(sec(1), []model.Member{a, b, c})
			_, ok := s.ExclusiveSince()
			is.New(t).Equal(ok, tc.want)
		})
	}
}
