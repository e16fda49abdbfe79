package ownership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

func goneAre(ms ...model.Member) func(model.Member) bool {
	return func(m model.Member) bool { return hasMember(ms, m.Incarnation) }
}

// TestSilentElectorStays guards against a claim that leaves out a member which
// is cut off and may vouch for another owner.
func TestSilentElectorStays(t *testing.T) {
	is := is.New(t)
	s := member(a)
	s.SetMembers(3, goneAre())
	got, _ := claims(s, 0, 3, true, a)
	is.Equal(len(got), 0) // b and c are silent, not gone: nothing to claim
	s.SetMembers(3, goneAre(c))
	got, _ = claims(s, 3, 3.1, true, a)
	is.Equal(len(got), 1)
	is.Equal(got[0].Electors, []model.Member{a, b})
}

// TestLoneOwnerNeedsTheLog guards against an owner that is its claim's only
// elector and lives on its own voucher while other instances exist.
func TestLoneOwnerNeedsTheLog(t *testing.T) {
	is := is.New(t)
	s := New(Config{Self: a, LeaseDuration: 1000 * ms, ClockDriftMargin: 200 * ms, SuspectTimeout: 800 * ms, ConsentTimeout: 2000 * ms})
	s.FoldClaim(0, record.Claim{Epoch: 1, Owner: a, Electors: []model.Member{a}})
	s.OnLogRead(0, true)
	s.SetMembers(3, goneAre())
	is.True(s.MayAct(sec(0.9)))
	is.True(!s.MayAct(sec(1.1))) // the log is silent
	s.SetMembers(1, goneAre())
	is.True(s.MayAct(sec(1.1))) // there is nobody else
}

// TestSafeSince guards against work for unguarded workers while a former owner
// may still act on vouchers.
func TestSafeSince(t *testing.T) {
	known := message.HeartbeatReply{Epoch: 2}
	for _, tc := range []struct {
		name string
		then func(*State)
		want bool
	}{
		{"claim without consent", func(*State) {}, false},
		{"an elector knows the epoch", func(s *State) { s.OnHeartbeatReply(sec(1), c, known) }, true},
		{"an elector is gone", func(s *State) { s.SetMembers(3, goneAre(b)) }, true},
		{"a stranger knows the epoch", func(s *State) { s.OnHeartbeatReply(sec(1), model.Member{Incarnation: "d"}, known) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := member(b)
			s.FoldClaim(sec(0.5), record.Claim{Epoch: 2, Owner: a, Electors: []model.Member{a, b, c}})
			tc.then(s)
			s.Step(sec(1), []model.Member{a, b, c})
			_, ok := s.ExclusiveSince()
			is.New(t).Equal(ok, tc.want)
		})
	}
}
