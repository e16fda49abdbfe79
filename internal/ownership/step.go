package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Step advances the state to the given time and returns the actions to perform.
// Electors are the members of the data centre that are alive and not draining,
// sorted by incarnation, this instance included. Claims name them as electors.
func (s *State) Step(now model.Time, electors []model.Member) []Action {
	s.updateClock(now)
	s.updateExclusive(now)
	var acts []Action
	switch {
	case s.draining:
		acts = s.stepDrain(now)
	case s.holdsClaim():
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
	case s.holdsClaim() && now < s.prevLeaseEnd:
		return PhaseWaiting
	case s.holdsClaim():
		return PhaseSuspended
	case s.pending != nil:
		return PhaseClaiming
	case s.campaign != nil:
		return PhaseAsking
	}
	return PhaseFollower
}

// stepDrain releases the lease. While the log is unreachable, a release can't be
// appended and no other member could take over, so the owner goes on acting
// until the log is reachable again.
func (s *State) stepDrain(now model.Time) []Action {
	s.campaign = nil
	if !s.holdsClaim() || !s.caughtUp {
		return nil
	}
	if s.releasingEpoch == s.epoch && (s.caughtUpAt <= s.releasedAt || now.Sub(s.releasedAt) < claimRetryInterval) {
		return nil
	}
	s.releasingEpoch, s.releasedAt = s.epoch, now
	return []Action{{Release: &record.Release{Epoch: s.epoch}}}
}

// stepOwner claims a new epoch when the electors have changed, when electors that
// consented to a failed claim grant no lease votes for this epoch any more, or
// when the claim of a reported higher epoch has expired from the log.
func (s *State) stepOwner(now model.Time, electors []model.Member) []Action {
	s.campaign = nil
	s.updateSuspension(now)
	if s.recent(now, s.majorityVoteTime(now)) {
		s.majorityVotedAt = now
	}
	if !s.caughtUp || !s.leaseValid(now) || !hasMember(electors, s.cfg.Self.Incarnation) {
		return nil
	}
	if s.maxSeen > s.epoch && !s.seenClaimExpired() {
		return nil // a successor may have claimed
	}
	if s.lastClaimAt != unset && now.Sub(s.lastClaimAt) < reclaimInterval {
		return nil
	}
	if p := s.pending; p != nil {
		if s.caughtUpAt <= p.appendedAt {
			return nil
		}
		if p.claim.Epoch > s.maxSeen {
			// Repeat the same claim: whichever copy takes effect, its electors are known.
			return s.appendClaim(now, p.claim)
		}
	}
	votesWithheld := now.Sub(s.majorityVotedAt) > 2*s.cfg.LeaseDuration && s.recent(now, s.voteRefusedAt)
	if sameMembers(s.nextElectors(electors), s.claim.Electors) && !votesWithheld && s.maxSeen <= s.epoch {
		return nil
	}
	return s.appendClaim(now, s.nextClaim(electors))
}

// updateSuspension makes a suspended owner alternate between requesting lease
// votes and yielding.
func (s *State) updateSuspension(now model.Time) {
	if now < s.prevLeaseEnd || s.leaseValid(now) {
		s.suspendedSince, s.yielding = unset, false
		return
	}
	if s.suspendedSince == unset {
		s.suspendedSince = now
	}
	requestPhase := s.cfg.ConsentTimeout
	s.yielding = now.Sub(s.suspendedSince)%(requestPhase+yieldFactor*requestPhase) >= requestPhase
}

// stepFollower claims a vacant lease. If there is an owner, it requests consent
// to a claim after SuspectTimeout of owner silence.
func (s *State) stepFollower(now model.Time, electors []model.Member) []Action {
	s.suspendedSince, s.yielding = unset, false
	if s.pending != nil {
		if s.caughtUpAt <= s.pending.appendedAt || now.Sub(s.pending.appendedAt) < claimRetryInterval {
			return nil
		}
		s.pending = nil // a later read to the tail did not return the claim
	}
	if s.maxSeen > s.epoch && !s.seenClaimExpired() {
		s.campaign = nil
		return nil
	}
	if !s.caughtUpOnce || !s.caughtUp || now < s.votedUntil || !hasMember(electors, s.cfg.Self.Incarnation) {
		s.campaign = nil
		return nil
	}
	delay := s.claimDelay(electors)
	if s.claim == nil || s.released {
		return s.stepVacant(now, delay, electors)
	}
	suspectedAt := max(s.ownerSilentSince.Add(s.cfg.SuspectTimeout), s.votedUntil)
	if now < suspectedAt {
		s.campaign = nil
		return nil
	}
	if now < suspectedAt+delay && s.campaign == nil {
		return nil
	}
	return s.stepCampaign(now, electors)
}

// stepCampaign requests consent. It claims when enough electors have consented,
// or without consent after ConsentTimeout. A recent refusal means that an elector
// still receives the owner's heartbeats; then only a majority's consent is enough.
func (s *State) stepCampaign(now model.Time, electors []model.Member) []Action {
	if s.campaign == nil || s.campaign.epoch != s.KnownEpoch()+1 {
		s.campaign = &campaign{epoch: s.KnownEpoch() + 1, startedAt: now, requestedAt: unset, refusedAt: unset,
			grants: map[model.Incarnation]bool{s.cfg.Self.Incarnation: true}}
	}
	c := s.campaign
	granted := 0
	for _, m := range s.claim.Electors {
		if c.grants[m.Incarnation] || s.minVoteEpoch[m.Incarnation] == neverVotes {
			granted++
		}
	}
	n := len(s.claim.Electors)
	refused := c.refusedAt != unset && now.Sub(c.refusedAt) < s.cfg.SuspectTimeout
	blocked := granted >= blockingQuorum(n) && !refused && now.Sub(c.startedAt) >= consentRequestInterval
	if granted >= Majority(n) || blocked {
		return s.appendClaim(now, s.nextClaim(electors))
	}
	if !refused && now.Sub(c.startedAt) >= s.cfg.ConsentTimeout<<s.timeoutDoublings {
		acts := s.appendClaim(now, s.nextClaim(electors))
		s.pending.withoutConsent = true
		return acts
	}
	if c.requestedAt != unset && now.Sub(c.requestedAt) < consentRequestInterval {
		return nil
	}
	c.requestedAt = now
	to := s.others(s.claim.Electors, electors)
	if len(to) == 0 {
		return nil
	}
	return []Action{{Consent: &message.ConsentRequest{Epoch: c.epoch, SentAt: now}, ConsentTo: to}}
}

// stepVacant claims a vacant lease. This needs no consent, because there was no
// owner or the last one has released the lease.
func (s *State) stepVacant(now model.Time, delay model.Time, electors []model.Member) []Action {
	if s.vacantSince == unset {
		s.vacantSince = now
	}
	ownerReported := s.maxSeen > s.epoch && now.Sub(s.ownerSilentSince) < s.cfg.SuspectTimeout
	if ownerReported || now < s.vacantSince+delay {
		return nil
	}
	return s.appendClaim(now, s.nextClaim(electors))
}

func (s *State) nextClaim(electors []model.Member) record.Claim {
	return record.Claim{Epoch: s.KnownEpoch() + 1, Owner: s.cfg.Self, Electors: s.nextElectors(electors)}
}

// appendClaim returns the action that appends a claim. Whether the claim took
// effect is known only after a later read to the tail of the log; if it did not,
// the campaign continues.
func (s *State) appendClaim(now model.Time, c record.Claim) []Action {
	s.pending = &pendingClaim{claim: c, appendedAt: now}
	s.lastClaimAt = now
	if !s.holdsClaim() {
		s.consentedEpoch = max(s.consentedEpoch, c.Epoch)
	}
	return []Action{{Claim: &c}}
}

// others returns the members of a and b except this instance, sorted.
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

// claimDelay returns how long this instance waits before it claims: claimStagger
// for each member that precedes it. The order differs between epochs, so that a
// member that can't complete a claim is not always the first.
func (s *State) claimDelay(electors []model.Member) model.Time {
	own := claimPriority(s.cfg.Self.Incarnation, s.epoch+1)
	n := 0
	for _, m := range electors {
		if s.claim != nil && m.Incarnation == s.claim.Owner.Incarnation {
			continue
		}
		w := claimPriority(m.Incarnation, s.epoch+1)
		if w < own || (w == own && m.Incarnation < s.cfg.Self.Incarnation) {
			n++
		}
	}
	return model.Time(n) * model.Time(claimStagger)
}

// claimPriority is the rendezvous hash of a member for an epoch.
func claimPriority(inc model.Incarnation, epoch uint64) uint64 {
	d := xxhash.NewWithSeed(epoch)
	_, _ = d.WriteString(string(inc)) // never fails
	return d.Sum64()
}
