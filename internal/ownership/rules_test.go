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

// memberWithOwner returns the state of member a after it read the given owner's
// claim of epoch 1.
func memberWithOwner(owner model.Member) *State {
	s := New(Config{Self: a, LeaseDuration: time.Second, ClockDriftMargin: 200 * ms, SuspectTimeout: 800 * ms, ConsentTimeout: 2 * time.Second})
	s.FoldClaim(0, record.Claim{Epoch: 1, Owner: owner, Electors: []model.Member{a, b, c}})
	s.OnLogRead(0, true)
	return s
}

// collectClaims steps a state every 20 ms and returns the claims that it makes and
// the time of the last one. If read is true, a read to the tail of the log precedes
// each step.
func collectClaims(s *State, from, to float64, read bool, electors ...model.Member) (out []record.Claim, at model.Time) {
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

// TestVotesAndConsentDoNotConflict guards against a member that consents to a claim
// while its lease vote lasts, or votes for an epoch after consenting to the next.
func TestVotesAndConsentDoNotConflict(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(b)
	hb := message.Heartbeat{Epoch: 1, Owner: true}
	grants := func(at float64) bool {
		return s.OnConsentRequest(sec(at), c, message.ConsentRequest{Epoch: 2}).Granted
	}
	is.True(!s.OnHeartbeat(sec(0.1), c, hb)) // not the owner
	is.True(s.OnHeartbeat(sec(0.1), b, hb))
	is.True(!grants(1.05)) // silent for longer than SuspectTimeout, but the vote has not expired
	is.True(grants(1.1))
	is.True(!s.OnHeartbeat(sec(1.2), b, hb)) // consented to epoch 2
	is.True(!grants(1.3))                    // the owner sent a heartbeat again
	is.True(s.OnHeartbeat(sec(1.4), b, message.Heartbeat{Epoch: 2, Owner: true}))
	is.True(!s.OnHeartbeat(sec(1.5), b, hb)) // a delayed message of the older epoch
	owner, _ := s.Owner()
	is.Equal(owner, b)
}

// TestNoClaimBeforeLogCaughtUp guards against claims by a member that has not read
// the log to its tail and can't know whether another member has claimed.
func TestNoClaimBeforeLogCaughtUp(t *testing.T) {
	is := is.New(t)
	s := New(memberWithOwner(b).cfg)
	got, _ := collectClaims(s, 0, 9, false, a)
	is.Equal(len(got), 0) // the log was not read
	s.OnLogRead(sec(9), false)
	got, _ = collectClaims(s, 9, 12, false, a)
	is.Equal(len(got), 0) // not read to the tail
	s.OnLogRead(sec(12), true)
	got, at := collectClaims(s, 12, 15, false, a)
	is.Equal(len(got), 1) // the first claim; it is not repeated before a read shows its effect
	is.True(s.FoldClaim(at, got[0]))
	is.True(!s.FoldClaim(at, got[0]))                           // a second copy of the claim
	is.True(!s.FoldClaim(at, record.Claim{Epoch: 1, Owner: a})) // another claim of the same epoch
	s.OnLogRead(sec(15), true)
	is.True(s.MayAct(sec(15))) // no earlier lease to wait for
	s.OnLogReadFailed(sec(15.1))
	is.True(!memberWithOwner(b).MayAct(sec(15)))
}

// TestFirstClaimInLogWins guards against two accepted claims for one epoch, when
// the appends of two claimants time out but both take effect.
func TestFirstClaimInLogWins(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(b)
	got, at := collectClaims(s, 0, 5, true, a)
	is.True(len(got) > 1) // without consent, and repeated after reads to the tail
	is.True(s.FoldClaim(at, record.Claim{Epoch: 2, Owner: c, Electors: []model.Member{a, c}}))
	is.True(!s.FoldClaim(at, got[0]))
	s.OnLogRead(at, true)
	s.Step(at, []model.Member{a, c})
	is.Equal(s.Phase(), PhaseFollower)
}

// TestClaimAboveExpiredEpoch guards against a data centre without an owner after a
// claim whose epoch the workers know has expired from the log: neither the owner
// of a lower epoch nor its successors could act.
func TestClaimAboveExpiredEpoch(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(a)
	s.ObserveEpoch(sec(1), 4)
	s.OnLogRead(sec(0.9), true) // sent before the epoch was reported
	got, _ := collectClaims(s, 1, 1, true, a, b, c)
	is.Equal(len(got), 0)
	s.OnLogRead(sec(1.1), true)
	acts := s.Step(sec(1.2), []model.Member{a, b, c})
	is.Equal(len(acts), 2) // the claim, and the change of phase
	claim := acts[0].Claim
	is.Equal(claim.Epoch, uint64(5))
	is.True(s.FoldClaim(sec(1.3), *claim))
	s.OnLogRead(sec(2.4), true)
	is.True(!s.MayAct(sec(2.45))) // the owner of the expired epoch may still act
	is.True(s.MayAct(sec(2.55)))
	s.OnHeartbeatReply(sec(2.6), b, message.HeartbeatReply{Epoch: 5})
	s.Step(sec(2.6), []model.Member{a, b, c})
	_, safe := s.ExclusiveSince()
	is.True(!safe) // c may have been an elector of the expired claim
	s.OnHeartbeatReply(sec(2.7), c, message.HeartbeatReply{Epoch: 5})
	s.Step(sec(2.7), []model.Member{a, b, c})
	_, safe = s.ExclusiveSince()
	is.True(safe)
}

// TestReleaseDoesNotShortenWait guards against a successor that acts while the
// owner before the one that released may still have a valid lease.
func TestReleaseDoesNotShortenWait(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(b)
	s.FoldClaim(sec(9), record.Claim{Epoch: 2, Owner: c})
	is.True(s.FoldRelease(sec(9.1), record.Release{Epoch: 2}))
	s.FoldClaim(sec(9.2), record.Claim{Epoch: 3, Owner: a})
	s.OnLogRead(sec(10), true)
	is.True(!s.MayAct(sec(10.1)))
	is.True(s.MayAct(sec(10.25)))
}

// TestOwnerActsWhileReclaimPending guards against an owner that stops acting, or
// counts the votes of the wrong electors, while its own next claim has been
// appended and not read back.
func TestOwnerActsWhileReclaimPending(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(a)
	s.SetMembers(3, func(m model.Member) bool { return m.Incarnation == b.Incarnation })
	got, at := collectClaims(s, 0, 3, true, a, c)
	is.Equal(len(got), 3) // at most one a second until the claim is read back
	is.True(s.MayAct(at))
	s.OnHeartbeatReply(at, c, message.HeartbeatReply{Epoch: 2, Owner: &a, SentAt: at})
	is.True(s.MayAct(at)) // a peer read the claim before its owner
	late := sec(4.4)
	s.Step(sec(3.8), nil)
	s.OnHeartbeatReply(late, b, message.HeartbeatReply{Epoch: 1, LeaseVote: true, SentAt: sec(4)})
	is.True(!s.MayAct(late)) // b is not an elector of the claim that may have taken effect
	s.OnHeartbeatReply(late, c, message.HeartbeatReply{Epoch: 1, LeaseVote: true, SentAt: sec(4)})
	is.True(s.MayAct(late))
	is.True(s.FoldClaim(late, got[0]))
	is.True(s.MayAct(late)) // no wait after a claim of the same owner
	s.ObserveEpoch(late, 3)
	is.True(!s.MayAct(late) && !s.IsOwner())
}

// TestPauseDiscardsEarlierMessages guards against a process that suspects the owner
// after a pause of its own, because it received no heartbeats during the pause.
func TestPauseDiscardsEarlierMessages(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(b)
	s.Step(sec(0.1), []model.Member{a, b, c})
	s.Step(sec(9), []model.Member{a, b, c}) // no heartbeats of b during the pause of a
	got, _ := collectClaims(s, 9, 9.7, true, a, b, c)
	is.Equal(len(got), 0)
	is.Equal(s.Phase(), PhaseFollower)
}

// TestReclaimAfterVotesWithheld guards against an owner that gets no more lease
// votes from electors that consented to a claim which was never made.
func TestReclaimAfterVotesWithheld(t *testing.T) {
	is := is.New(t)
	s := memberWithOwner(a)
	got, _ := collectClaims(s, 0, 2, true, a, b, c)
	is.Equal(len(got), 0)
	s.OnHeartbeatReply(sec(2.1), b, message.HeartbeatReply{Epoch: 1, SentAt: sec(2)})
	got, _ = collectClaims(s, 2.1, 2.5, true, a, b, c)
	is.Equal(len(got), 1)
}
