package ownership

import (
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// FoldClaim folds a claim in offset order, or that of a snapshot. It is
// accepted only if its epoch is above the current one, so the first in offset
// order wins for everybody. It may skip epochs whose claims the log has
// forgotten.
func (s *State) FoldClaim(now model.Time, c record.Claim) (accepted bool) {
	s.touch(now)
	if c.Epoch <= s.epoch {
		return false
	}
	s.accept(now, c, c.Epoch != s.epoch+1)
	return true
}

// FoldRelease folds an owner's release. It is accepted only for the current
// epoch.
func (s *State) FoldRelease(now model.Time, r record.Release) (accepted bool) {
	s.touch(now)
	if s.claim == nil || r.Epoch != s.epoch || s.released {
		return false
	}
	s.released = true
	s.vacantSince = now
	if s.vouchedTo == s.claim.Owner.Incarnation {
		s.vouchedUntil = none // whoever it was promised to has stopped by itself
	}
	s.asking = nil
	clear(s.vouchers)
	return true
}

// accept makes c the claim in force. Skipped says that epochs in between are
// unknown.
func (s *State) accept(now model.Time, c record.Claim, skipped bool) {
	self := s.cfg.Self.Incarnation
	first := s.claim == nil && !skipped
	sameOwner := s.claim != nil && !skipped && s.claim.Owner.Incarnation == c.Owner.Incarnation
	if !first && (!s.released || skipped) && !sameOwner {
		// A release does not shorten a wait that an earlier claim began: the
		// owner before the one that released may still have evidence.
		s.safeFrom = max(s.safeFrom, now.Add(s.cfg.LeaseDuration+s.cfg.ClockDriftMargin))
	}
	if !sameOwner {
		clear(s.vouchers)
		if c.Owner.Incarnation == self {
			s.prevElectors, s.prevUnknown = s.electors(), skipped
			if skipped {
				// The electors of a forgotten claim that are still alive are
				// among these.
				s.prevElectors = union(s.prevElectors, c.Electors)
			}
			s.takenAt, s.afterRelease = c.Epoch, first || (s.released && !skipped)
			s.safeSince = none
		}
	}
	s.epoch, s.claim, s.released = c.Epoch, &c, false
	s.seen = max(s.seen, c.Epoch)
	s.asking = nil
	s.vacantSince = none
	s.refusedAt, s.majorityAt = none, now
	if p := s.pending; p != nil && p.claim.Epoch <= c.Epoch {
		if p.lonely && c.Owner.Incarnation == self {
			s.lonely = min(s.lonely+1, maxLonely)
		}
		s.pending = nil
	}
	if c.Owner.Incarnation != self {
		s.heardOwner = now // it gets the usual time before it is suspected
		s.suspendedSince, s.quiet = none, false
	}
}

// OnLogRead notes a read that succeeded, after its records were folded.
// StartedAt is when the read was sent; atTail says that nothing newer existed.
func (s *State) OnLogRead(startedAt model.Time, atTail bool) {
	s.atTail = atTail
	if !atTail {
		return
	}
	s.everTail = true
	s.lastTail = max(s.lastTail, startedAt)
}

// OnLogReadFailed notes a read that failed. Nobody claims until a read succeeds.
func (s *State) OnLogReadFailed(now model.Time) {
	s.touch(now)
	s.atTail = false
}
