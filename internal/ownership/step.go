package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Step lets time pass and returns what to do. Electors are the members of the
// own data centre that are alive and not draining, this instance included,
// sorted by incarnation; a claim names them.
func (s *State) Step(now model.Time, electors []model.Member) []Action {
	s.touch(now)
	s.noteSafety(now)
	var acts []Action
	switch {
	case s.draining:
		acts = s.stepDrain(now)
	case s.owns():
		acts = s.stepOwner(now, electors)
	default:
		acts = s.stepFollower(now, electors)
	}
	if p := s.phaseAt(now); p != s.phase {
		acts = append(acts, Action{Change: &Change{From: s.phase, To: p, Epoch: s.epoch}})
		s.phase = p
	}
	return acts
}

func (s *State) phaseAt(now model.Time) Phase {
	switch {
	case s.MayAct(now):
		return PhaseOwner
	case s.draining:
		return PhaseReleased
	case s.owns() && now < s.safeFrom:
		return PhaseWaiting
	case s.owns():
		return PhaseSuspended
	case s.pending != nil:
		return PhaseClaiming
	case s.asking != nil:
		return PhaseAsking
	}
	return PhaseFollower
}

// stepDrain releases the lease. While the log can't be reached a release can't
// be appended and nobody could take over, so the owner goes on until then.
func (s *State) stepDrain(now model.Time) []Action {
	s.asking = nil
	if !s.owns() || !s.atTail {
		return nil
	}
	if s.releasing == s.epoch && (s.lastTail <= s.releasedAt || now.Sub(s.releasedAt) < claimRetry) {
		return nil
	}
	s.releasing, s.releasedAt = s.epoch, now
	return []Action{{Release: &record.Release{Epoch: s.epoch}}}
}

// stepOwner renews the claim when the electors changed, or when electors that
// consented to a failed claim no longer vouch for this epoch.
func (s *State) stepOwner(now model.Time, electors []model.Member) []Action {
	s.asking = nil
	s.noteSuspension(now)
	if s.recent(now, s.vouchedAt(now)) {
		s.majorityAt = now
	}
	if !s.atTail || !s.fresh(now) || !hasMember(electors, s.cfg.Self.Incarnation) {
		return nil
	}
	if s.seen > s.epoch && !s.forgotten() {
		return nil // a successor may have claimed
	}
	if s.lastClaim != none && now.Sub(s.lastClaim) < reclaimEvery {
		return nil
	}
	if p := s.pending; p != nil {
		if s.lastTail <= p.at {
			return nil
		}
		if p.claim.Epoch > s.seen {
			// The same claim again: whichever copy lands, the electors are known.
			return s.appendClaim(now, p.claim)
		}
	}
	unvouched := now.Sub(s.majorityAt) > 2*s.cfg.LeaseDuration && s.recent(now, s.refusedAt)
	if sameMembers(s.nextElectors(electors), s.claim.Electors) && !unvouched && s.seen <= s.epoch {
		return nil
	}
	return s.appendClaim(now, s.nextClaim(electors))
}

// noteSuspension alternates a suspended owner between asking for vouchers and
// keeping quiet.
func (s *State) noteSuspension(now model.Time) {
	if now < s.safeFrom || s.fresh(now) {
		s.suspendedSince, s.quiet = none, false
		return
	}
	if s.suspendedSince == none {
		s.suspendedSince = now
	}
	ask := s.cfg.ConsentTimeout
	s.quiet = now.Sub(s.suspendedSince)%(ask+quietFactor*ask) >= ask
}

// stepFollower claims a vacant lease, or asks for consent once the owner has
// been silent and claims with it.
func (s *State) stepFollower(now model.Time, electors []model.Member) []Action {
	s.suspendedSince, s.quiet = none, false
	if s.pending != nil {
		if s.lastTail <= s.pending.at || now.Sub(s.pending.at) < claimRetry {
			return nil
		}
		s.pending = nil // the log was read to its tail without it
	}
	if s.seen > s.epoch && !s.forgotten() {
		s.asking = nil
		return nil
	}
	if !s.everTail || !s.atTail || now < s.vouchedUntil || !hasMember(electors, s.cfg.Self.Incarnation) {
		s.asking = nil
		return nil
	}
	turn := s.rank(electors)
	if s.claim == nil || s.released {
		return s.stepVacant(now, turn, electors)
	}
	start := max(s.heardOwner.Add(s.cfg.SuspectTimeout), s.vouchedUntil)
	if now < start {
		s.asking = nil
		return nil
	}
	if now < start+turn && s.asking == nil {
		return nil
	}
	return s.campaign(now, electors)
}

// campaign asks for consent, or claims if it has it or has asked in vain for
// long enough. A recent refusal means that somebody still hears the owner.
func (s *State) campaign(now model.Time, electors []model.Member) []Action {
	if s.asking == nil || s.asking.epoch != s.KnownEpoch()+1 {
		s.asking = &campaign{epoch: s.KnownEpoch() + 1, since: now, asked: none, refusedAt: none,
			grants: map[model.Incarnation]bool{s.cfg.Self.Incarnation: true}}
	}
	a := s.asking
	granted := 0
	for _, m := range s.claim.Electors {
		if a.grants[m.Incarnation] || s.passed[m.Incarnation] == goneFor {
			granted++
		}
	}
	n := len(s.claim.Electors)
	refused := a.refusedAt != none && now.Sub(a.refusedAt) < s.cfg.SuspectTimeout
	blocked := granted >= blocking(n) && !refused && now.Sub(a.since) >= askEvery
	if granted >= Majority(n) || blocked {
		return s.appendClaim(now, s.nextClaim(electors))
	}
	if !refused && now.Sub(a.since) >= s.cfg.ConsentTimeout<<s.lonely {
		acts := s.appendClaim(now, s.nextClaim(electors))
		s.pending.lonely = true
		return acts
	}
	if a.asked != none && now.Sub(a.asked) < askEvery {
		return nil
	}
	a.asked = now
	to := s.others(s.claim.Electors, electors)
	if len(to) == 0 {
		return nil
	}
	return []Action{{Consent: &message.ConsentRequest{Epoch: a.epoch, SentAt: now}, ConsentTo: to}}
}

// stepVacant claims a lease that nobody holds. It needs no consent: there is
// no owner, or the last one has stopped by itself.
func (s *State) stepVacant(now model.Time, turn model.Time, electors []model.Member) []Action {
	if s.vacantSince == none {
		s.vacantSince = now
	}
	heard := s.seen > s.epoch && now.Sub(s.heardOwner) < s.cfg.SuspectTimeout
	if heard || now < s.vacantSince+turn {
		return nil
	}
	return s.appendClaim(now, s.nextClaim(electors))
}

func (s *State) nextClaim(electors []model.Member) record.Claim {
	return record.Claim{Epoch: s.KnownEpoch() + 1, Owner: s.cfg.Self, Electors: s.nextElectors(electors)}
}

// appendClaim returns the append of a claim. Its effect is known only when the
// log has been read to its tail, and the campaign goes on if it had none.
func (s *State) appendClaim(now model.Time, c record.Claim) []Action {
	s.pending = &pendingClaim{claim: c, at: now}
	s.lastClaim = now
	if !s.owns() {
		s.consented = max(s.consented, c.Epoch)
	}
	return []Action{{Claim: &c}}
}

// others returns the members of a and b without this instance, sorted.
func (s *State) others(a, b []model.Member) []model.Member {
	var out []model.Member
	for _, m := range slices.Concat(a, b) {
		if m.Incarnation != s.cfg.Self.Incarnation && !hasMember(out, m.Incarnation) {
			out = append(out, m)
		}
	}
	sortMembers(out)
	return out
}

// rank returns this instance's delay among the members that may claim the next
// epoch. The order differs between epochs, so that no one member that can't
// finish a claim is always first.
func (s *State) rank(electors []model.Member) model.Time {
	own := weight(s.cfg.Self.Incarnation, s.epoch+1)
	n := 0
	for _, m := range electors {
		if s.claim != nil && m.Incarnation == s.claim.Owner.Incarnation {
			continue
		}
		w := weight(m.Incarnation, s.epoch+1)
		if w < own || (w == own && m.Incarnation < s.cfg.Self.Incarnation) {
			n++
		}
	}
	return model.Time(n) * model.Time(staggerStep)
}

// weight is the rendezvous hash of a member for an epoch.
func weight(inc model.Incarnation, epoch uint64) uint64 {
	d := xxhash.NewWithSeed(epoch)
	_, _ = d.WriteString(string(inc)) // never fails
	return d.Sum64()
}
