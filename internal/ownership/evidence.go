package ownership

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// MayAct reports whether this instance may place, start and stop tasks now: it
// owns the current epoch, the previous lease is over, nobody showed a higher
// epoch, and its evidence is fresh.
func (s *State) MayAct(now model.Time) bool {
	return s.owns() && s.releasing != s.epoch && s.seen <= s.epoch && now >= s.safeFrom && s.fresh(now)
}

// fresh reports whether the evidence is younger than the lease.
func (s *State) fresh(now model.Time) bool {
	return s.recent(now, max(s.lastTail, s.vouchedAt(now)))
}

// MayActUntil returns the time until which the present evidence permits to act.
func (s *State) MayActUntil(now model.Time) model.Time {
	if !s.MayAct(now) {
		return now
	}
	return max(s.lastTail, s.vouchedAt(now)).Add(s.cfg.LeaseDuration)
}

// recent reports whether t is less than the lease ago.
func (s *State) recent(now, t model.Time) bool { return t != none && now.Sub(t) < s.cfg.LeaseDuration }

// vouchedAt returns the date of the evidence that vouchers give. While an own
// claim is pending it may already be in force, and then another member needs
// consent of its electors only. So both sets of electors must vouch.
func (s *State) vouchedAt(now model.Time) model.Time {
	if !s.owns() {
		return none
	}
	at := s.quorumAt(now, s.claim.Electors)
	if s.pending != nil {
		at = min(at, s.quorumAt(now, s.pending.claim.Electors))
	}
	return at
}

// quorumAt returns the latest time at or after which a majority of the
// electors vouched, this instance included unless it consented to a successor.
func (s *State) quorumAt(now model.Time, electors []model.Member) model.Time {
	var dates []model.Time
	for _, m := range electors {
		if m.Incarnation == s.cfg.Self.Incarnation {
			if s.consented <= s.epoch {
				dates = append(dates, now)
			}
		} else if t, ok := s.vouchers[m.Incarnation]; ok {
			dates = append(dates, t)
		}
	}
	// An instance that hears nobody must not live on its own voucher while
	// others exist, which may claim without its consent.
	need := Majority(max(len(electors), s.known))
	if len(dates) < need {
		return none
	}
	slices.Sort(dates)
	return dates[len(dates)-need]
}
