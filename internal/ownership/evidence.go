package ownership

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// MayAct reports whether this instance may place, start and stop tasks now: it
// owns the current epoch, the previous lease has expired, no higher epoch was
// reported, and its own lease is valid.
func (s *State) MayAct(now model.Time) bool {
	return s.holdsClaim() && s.releasingEpoch != s.epoch && s.maxSeen <= s.epoch && now >= s.prevLeaseEnd && s.leaseValid(now)
}

// leaseValid reports whether the lease was confirmed within the last
// LeaseDuration, by a read to the tail or by a majority's lease votes.
func (s *State) leaseValid(now model.Time) bool {
	return s.recent(now, max(s.caughtUpAt, s.majorityVoteTime(now)))
}

// MayActUntil returns the time at which the lease expires unless it is confirmed
// again. It returns now if the instance may not act.
func (s *State) MayActUntil(now model.Time) model.Time {
	if !s.MayAct(now) {
		return now
	}
	return max(s.caughtUpAt, s.majorityVoteTime(now)).Add(s.cfg.LeaseDuration)
}

// recent reports whether t is less than LeaseDuration ago.
func (s *State) recent(now, t model.Time) bool { return t != unset && now.Sub(t) < s.cfg.LeaseDuration }

// majorityVoteTime returns the time from which the lease votes confirm the lease.
// A pending claim of this instance may already have taken effect, and then
// another claimant needs the consent of the new electors only. While a claim is
// pending, majorities of both sets of electors must therefore vote.
func (s *State) majorityVoteTime(now model.Time) model.Time {
	if !s.holdsClaim() {
		return unset
	}
	at := s.quorumVoteTime(now, s.claim.Electors)
	if s.pending != nil {
		at = min(at, s.quorumVoteTime(now, s.pending.claim.Electors))
	}
	return at
}

// quorumVoteTime returns the latest time for which a majority of the electors
// voted for heartbeats sent at that time or later. This instance counts as voting
// now unless it has consented to a successor.
func (s *State) quorumVoteTime(now model.Time, electors []model.Member) model.Time {
	var times []model.Time
	for _, m := range electors {
		if m.Incarnation == s.cfg.Self.Incarnation {
			if s.consentedEpoch <= s.epoch {
				times = append(times, now)
			}
		} else if t, ok := s.leaseVotes[m.Incarnation]; ok {
			times = append(times, t)
		}
	}
	// An isolated instance must not keep its lease by its own vote while there
	// are others, because they may claim without its consent.
	need := Majority(max(len(electors), s.knownMembers))
	if len(times) < need {
		return unset
	}
	slices.Sort(times)
	return times[len(times)-need]
}
