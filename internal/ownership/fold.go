package ownership

import (
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// FoldClaim folds a claim from the log, in offset order, or from a snapshot. A
// claim is accepted only if its epoch is above the current one, so that for all
// readers the first claim of an epoch in offset order wins. It may skip epochs
// whose claims have expired from the log.
func (s *State) FoldClaim(now model.Time, c record.Claim) (accepted bool) {
	s.updateClock(now)
	if c.Epoch <= s.epoch {
		return false
	}
	s.accept(now, c, c.Epoch != s.epoch+1)
	return true
}

// FoldRelease folds the release of an owner. It is accepted only for the current
// epoch.
func (s *State) FoldRelease(now model.Time, r record.Release) (accepted bool) {
	s.updateClock(now)
	if s.claim == nil || r.Epoch != s.epoch || s.released {
		return false
	}
	s.released = true
	s.vacantSince = now
	if s.votedFor == s.claim.Owner.Incarnation {
		s.votedUntil = unset // the owner that the promise was given to has stopped acting
	}
	s.campaign = nil
	clear(s.leaseVotes)
	return true
}

// accept makes c the current claim. Skipped means that the claims of epochs
// before it are not known.
func (s *State) accept(now model.Time, c record.Claim, skipped bool) {
	self := s.cfg.Self.Incarnation
	first := s.claim == nil && !skipped
	sameOwner := s.claim != nil && !skipped && s.claim.Owner.Incarnation == c.Owner.Incarnation
	if !first && (!s.released || skipped) && !sameOwner {
		// A later release does not shorten a wait that an earlier claim began:
		// the owner before the one that released may still have a valid lease.
		s.prevLeaseEnd = max(s.prevLeaseEnd, now.Add(s.cfg.LeaseDuration+s.cfg.ClockDriftMargin))
	}
	if !sameOwner {
		clear(s.leaseVotes)
		if c.Owner.Incarnation == self {
			s.prevElectors, s.prevElectorsPartial = s.electors(), skipped
			if skipped {
				// Electors of an expired claim that are still alive are among
				// the electors of the new claim.
				s.prevElectors = union(s.prevElectors, c.Electors)
			}
			s.takeoverEpoch, s.takeoverVacant = c.Epoch, first || (s.released && !skipped)
			s.exclusiveSince = unset
		}
	}
	s.epoch, s.claim, s.released = c.Epoch, &c, false
	s.maxSeen = max(s.maxSeen, c.Epoch)
	s.campaign = nil
	s.vacantSince = unset
	s.voteRefusedAt, s.majorityVotedAt = unset, now
	if p := s.pending; p != nil && p.claim.Epoch <= c.Epoch {
		if p.withoutConsent && c.Owner.Incarnation == self {
			s.timeoutDoublings = min(s.timeoutDoublings+1, maxTimeoutDoublings)
		}
		s.pending = nil
	}
	if c.Owner.Incarnation != self {
		s.ownerSilentSince = now // a new owner gets the full SuspectTimeout
		s.suspendedSince, s.yielding = unset, false
	}
}

// OnLogRead records a successful read of the log, after its records were folded.
// The read was sent at startedAt; atTail means that it returned all records up to
// the tail.
func (s *State) OnLogRead(startedAt model.Time, atTail bool) {
	s.caughtUp = atTail
	if !atTail {
		return
	}
	s.caughtUpOnce = true
	s.caughtUpAt = max(s.caughtUpAt, startedAt)
}

// OnLogReadFailed records a failed read. The instance makes no claim until a read
// to the tail succeeds.
func (s *State) OnLogReadFailed(now model.Time) {
	s.updateClock(now)
	s.caughtUp = false
}
