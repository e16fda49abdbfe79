package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

var a, b, c = model.Member{Incarnation: "a"}, model.Member{Incarnation: "b"}, model.Member{Incarnation: "c"}

func sec(s float64) model.Time { return model.Time(s * float64(time.Second)) }

// member returns member a after it read the given owner's claim of epoch 1.
func member(owner model.Member) *State {
	s := New(Config{Self: a, LeaseDuration: time.Second, ClockDriftMargin: 200 * ms, SuspectTimeout: 800 * ms, ConsentTimeout: 2 * time.Second})
	s.FoldClaim(0, record.Claim{Epoch: 1, Owner: owner, Electors: []model.Member{a, b, c}})
	s.OnLogRead(0, true)
	return s
}

// claims steps a state every 20 ms, with reads of the log that reach its tail
// if read is true, and returns the claims that it makes and the last's time.
func claims(s *State, from, to float64, read bool, electors ...model.Member) (out []record.Claim, at model.Time) {
	for now := sec(from); now < sec(to); now = now.Add(20 * ms) {
		if read {
			s.OnLogRead(now, true)
		}
		for _, act := range s.Step(now, electors) {
			if act.Claim != nil {
				out, at = append(out, *act.Claim), now
			}
		}
	}
	return out, at
}

// TestPromises guards against vouchers and consent that contradict each other.
func TestPromises(t *testing.T) {
	is := is.New(t)
	s := member(b)
	hb := message.Heartbeat{Epoch: 1, Owner: true}
	ask := func(at float64) bool {
		return s.OnConsentRequest(sec(at), c, message.ConsentRequest{Epoch: 2}).Granted
	}
	is.True(!s.OnHeartbeat(sec(0.1), c, hb)) // not the owner
	is.True(s.OnHeartbeat(sec(0.1), b, hb))
	is.True(!ask(1.05)) // silent for longer than Suspect, but the voucher is open
	is.True(ask(1.1))
	is.True(!s.OnHeartbeat(sec(1.2), b, hb)) // consented to epoch 2
	is.True(!ask(1.3))                       // heard again
	is.True(s.OnHeartbeat(sec(1.4), b, message.Heartbeat{Epoch: 2, Owner: true}))
	is.True(!s.OnHeartbeat(sec(1.5), b, hb)) // a late message of the older epoch
	owner, _ := s.Owner()
	is.Equal(owner, b)
}

// TestClaimNeedsTheLog guards against claims by a member that can't know
// whether somebody else has claimed.
func TestClaimNeedsTheLog(t *testing.T) {
	is := is.New(t)
	s := New(member(b).cfg)
	got, _ := claims(s, 0, 9, false, a)
	is.Equal(len(got), 0) // nothing was read
	s.OnLogRead(sec(9), false)
	got, _ = claims(s, 9, 12, false, a)
	is.Equal(len(got), 0) // not read to the tail
	s.OnLogRead(sec(12), true)
	got, at := claims(s, 12, 15, false, a)
	is.Equal(len(got), 1) // the first claim ever; an unknown effect is not retried before a read
	is.True(s.FoldClaim(at, got[0]))
	is.True(!s.FoldClaim(at, got[0]))                           // its second copy
	is.True(!s.FoldClaim(at, record.Claim{Epoch: 1, Owner: a})) // a later claim of the same epoch
	s.OnLogRead(sec(15), true)
	is.True(s.MayAct(sec(15))) // no earlier lease to wait for
	s.OnLogReadFailed(sec(15.1))
	is.True(!member(b).MayAct(sec(15)))
}

// TestLostAppends guards against two claimants whose appends both take effect
// although both time out: the first in the log wins.
func TestLostAppends(t *testing.T) {
	is := is.New(t)
	s := member(b)
	got, at := claims(s, 0, 5, true, a)
	is.True(len(got) > 1) // without consent, and again after reads of the tail
	is.True(s.FoldClaim(at, record.Claim{Epoch: 2, Owner: c, Electors: []model.Member{a, c}}))
	is.True(!s.FoldClaim(at, got[0]))
	s.OnLogRead(at, true)
	s.Step(at, []model.Member{a, c})
	is.Equal(s.Phase(), PhaseFollower)
}

// TestForgottenClaim guards against a data centre without an owner after the
// log has forgotten a claim whose epoch the workers know: neither the owner of
// a lower epoch nor its successors could act.
func TestForgottenClaim(t *testing.T) {
	is := is.New(t)
	s := member(a)
	s.ObserveEpoch(sec(1), 4)
	s.OnLogRead(sec(0.9), true) // sent before the epoch was known
	got, _ := claims(s, 1, 1, true, a, b, c)
	is.Equal(len(got), 0)
	s.OnLogRead(sec(1.1), true)
	acts := s.Step(sec(1.2), []model.Member{a, b, c})
	is.Equal(len(acts), 2) // the claim, and the change of phase
	claim := acts[0].Claim
	is.Equal(claim.Epoch, uint64(5))
	is.True(s.FoldClaim(sec(1.3), *claim))
	s.OnLogRead(sec(2.4), true)
	is.True(!s.MayAct(sec(2.45))) // the owner of the forgotten epoch may still act
	is.True(s.MayAct(sec(2.55)))
	s.OnHeartbeatReply(sec(2.6), b, message.HeartbeatReply{Epoch: 5})
	s.Step(sec(2.6), []model.Member{a, b, c})
	_, safe := s.ExclusiveSince()
	is.True(!safe) // c may have been its elector
	s.OnHeartbeatReply(sec(2.7), c, message.HeartbeatReply{Epoch: 5})
	s.Step(sec(2.7), []model.Member{a, b, c})
	_, safe = s.ExclusiveSince()
	is.True(safe)
}

// TestReleaseKeepsTheWait guards against a successor that acts while the owner
// before the one that released still has evidence.
func TestReleaseKeepsTheWait(t *testing.T) {
	is := is.New(t)
	s := member(b)
	s.FoldClaim(sec(9), record.Claim{Epoch: 2, Owner: c})
	is.True(s.FoldRelease(sec(9.1), record.Release{Epoch: 2}))
	s.FoldClaim(sec(9.2), record.Claim{Epoch: 3, Owner: a})
	s.OnLogRead(sec(10), true)
	is.True(!s.MayAct(sec(10.1)))
	is.True(s.MayAct(sec(10.25)))
}

// TestOwnNextClaim guards against an owner that stops, or trusts the wrong
// electors, while the log's answer to its own next claim is outstanding.
func TestOwnNextClaim(t *testing.T) {
	is := is.New(t)
	s := member(a)
	s.SetMembers(3, func(m model.Member) bool { return m.Incarnation == b.Incarnation })
	got, at := claims(s, 0, 3, true, a, c)
	is.Equal(len(got), 3) // at most once a second, until it is read back
	is.True(s.MayAct(at))
	s.OnHeartbeatReply(at, c, message.HeartbeatReply{Epoch: 2, Owner: &a, SentAt: at})
	is.True(s.MayAct(at)) // a peer read the claim first
	late := sec(4.4)
	s.Step(sec(3.8), nil)
	s.OnHeartbeatReply(late, b, message.HeartbeatReply{Epoch: 1, LeaseVote: true, SentAt: sec(4)})
	is.True(!s.MayAct(late)) // b is no elector of the claim that may be in force
	s.OnHeartbeatReply(late, c, message.HeartbeatReply{Epoch: 1, LeaseVote: true, SentAt: sec(4)})
	is.True(s.MayAct(late))
	is.True(s.FoldClaim(late, got[0]))
	is.True(s.MayAct(late)) // its own lease continues
	s.ObserveEpoch(late, 3)
	is.True(!s.MayAct(late) && !s.IsOwner())
}

// TestPause guards against a process that relies after a pause on what it
// heard before.
func TestPause(t *testing.T) {
	is := is.New(t)
	s := member(b)
	s.Step(sec(0.1), []model.Member{a, b, c})
	s.Step(sec(9), []model.Member{a, b, c}) // it did not hear b because it was paused
	got, _ := claims(s, 9, 9.7, true, a, b, c)
	is.Equal(len(got), 0)
	is.Equal(s.Phase(), PhaseFollower)
}

// TestLostConsent guards against an owner that electors never vouch for again
// after they consented to a claim that was not made.
func TestLostConsent(t *testing.T) {
	is := is.New(t)
	s := member(a)
	got, _ := claims(s, 0, 2, true, a, b, c)
	is.Equal(len(got), 0)
	s.OnHeartbeatReply(sec(2.1), b, message.HeartbeatReply{Epoch: 1, SentAt: sec(2)})
	got, _ = claims(s, 2.1, 2.5, true, a, b, c)
	is.Equal(len(got), 1)
}
