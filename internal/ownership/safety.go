package ownership

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// SetMembers tells what the membership view knows of the own data centre: the
// number of instances that are listed or were heard, this one included, and
// which electors are gone for good.
func (s *State) SetMembers(known int, gone func(model.Member) bool) {
	s.known = known
	for _, ms := range [][]model.Member{s.prevElectors, s.electors()} {
		for _, m := range ms {
			if m.Incarnation != s.cfg.Self.Incarnation && gone(m) {
				s.passed[m.Incarnation] = max(s.passed[m.Incarnation], goneFor)
			}
		}
	}
}

// goneFor is the epoch up to which a member that is gone can't vouch.
const goneFor = ^uint64(0)

// electors returns the electors of the claim in force.
func (s *State) electors() []model.Member {
	if s.claim == nil {
		return nil
	}
	return s.claim.Electors
}

// pass notes that a member vouches for no epoch below the given one any more:
// it consented to that epoch, or knows it.
func (s *State) pass(inc model.Incarnation, epoch uint64) {
	s.passed[inc] = max(s.passed[inc], epoch)
}

// ExclusiveSince returns the time since which no owner of an earlier epoch can live
// on vouchers: so many of its electors have consented, know the own epoch, or
// are gone that the rest is no majority. It is false as long as a claim without
// consent leaves that open; workers that don't compare epochs must then get no
// work.
func (s *State) ExclusiveSince() (model.Time, bool) {
	return s.safeSince, s.safeSince != none
}

// noteSafety keeps safeSince.
func (s *State) noteSafety(now model.Time) {
	if !s.owns() || s.safeSince != none {
		return
	}
	n := 0
	for _, m := range s.prevElectors {
		if m.Incarnation == s.cfg.Self.Incarnation || s.passed[m.Incarnation] >= s.takenAt {
			n++
		}
	}
	need := blocking(len(s.prevElectors))
	if s.prevUnknown {
		need = len(s.prevElectors)
	}
	if s.afterRelease || n >= need {
		s.safeSince = now
	}
}

// nextElectors returns the electors of the next claim: the members that are
// alive, and those of the present claim that are not known to be gone. A
// silent member may be cut off and vouch for another; it can be left out only
// when it certainly does not.
func (s *State) nextElectors(alive []model.Member) []model.Member {
	out := slices.Clone(alive)
	for _, m := range s.electors() {
		if s.passed[m.Incarnation] != goneFor && !hasMember(out, m.Incarnation) {
			out = append(out, m)
		}
	}
	sortMembers(out)
	return out
}
