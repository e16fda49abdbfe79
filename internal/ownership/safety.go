package ownership

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// SetMembers takes the membership view of the data centre: the number of
// instances that are registered or have sent a message, this one included, and
// which members are gone for good.
func (s *State) SetMembers(known int, gone func(model.Member) bool) {
	s.knownMembers = known
	for _, ms := range [][]model.Member{s.prevElectors, s.electors()} {
		for _, m := range ms {
			if m.Incarnation != s.cfg.Self.Incarnation && gone(m) {
				s.minVoteEpoch[m.Incarnation] = max(s.minVoteEpoch[m.Incarnation], neverVotes)
			}
		}
	}
}

// neverVotes is the minimum vote epoch of a member that is gone for good: it
// grants no more lease votes for any epoch.
const neverVotes = ^uint64(0)

// electors returns the electors of the current claim.
func (s *State) electors() []model.Member {
	if s.claim == nil {
		return nil
	}
	return s.claim.Electors
}

// raiseMinVoteEpoch records that a member grants no more lease votes for epochs
// below the given one, because it has consented to that epoch or knows it.
func (s *State) raiseMinVoteEpoch(inc model.Incarnation, epoch uint64) {
	s.minVoteEpoch[inc] = max(s.minVoteEpoch[inc], epoch)
}

// ExclusiveSince returns the time since which lease votes can't confirm the lease
// of any earlier owner: so many of its electors have consented, know this
// instance's epoch, or are gone for good that the rest is not a majority. The
// second result is false while that is not certain, as after a claim without
// consent; workers that don't compare epochs must then get no work.
func (s *State) ExclusiveSince() (model.Time, bool) {
	return s.exclusiveSince, s.exclusiveSince != unset
}

// updateExclusive sets exclusiveSince as soon as its condition holds.
func (s *State) updateExclusive(now model.Time) {
	if !s.holdsClaim() || s.exclusiveSince != unset {
		return
	}
	n := 0
	for _, m := range s.prevElectors {
		if m.Incarnation == s.cfg.Self.Incarnation || s.minVoteEpoch[m.Incarnation] >= s.takeoverEpoch {
			n++
		}
	}
	need := blockingQuorum(len(s.prevElectors))
	if s.prevElectorsPartial {
		need = len(s.prevElectors)
	}
	if s.takeoverVacant || n >= need {
		s.exclusiveSince = now
	}
}

// nextElectors returns the electors of the next claim: the members that are
// alive, and those of the current claim that are not known to be gone for good.
// A silent member may be partitioned and grant lease votes to another owner, so
// it is left out only when it certainly grants none.
func (s *State) nextElectors(alive []model.Member) []model.Member {
	out := slices.Clone(alive)
	for _, m := range s.electors() {
		if s.minVoteEpoch[m.Incarnation] != neverVotes && !hasMember(out, m.Incarnation) {
			out = append(out, m)
		}
	}
	sortMembers(out)
	return out
}
