package ownership

import (
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// OnHeartbeat handles a heartbeat of another member of the same data centre. It
// reports whether the reply grants the sender a lease vote. The promise given
// with the vote lasts for LeaseDuration from this call.
func (s *State) OnHeartbeat(now model.Time, from model.Member, hb message.Heartbeat) (vote bool) {
	s.updateClock(now)
	if from.Incarnation == s.cfg.Self.Incarnation {
		return false
	}
	epoch := hb.Epoch
	if s.epoch > epoch && s.claim.Owner.Incarnation == from.Incarnation {
		epoch = s.epoch // the sender has not read back its own next claim yet
	}
	if hb.Owner && epoch >= s.maxSeen {
		s.noteOwnerHint(epoch, from)
	}
	s.ObserveEpoch(now, hb.Epoch)
	s.raiseMinVoteEpoch(from.Incarnation, hb.Epoch)
	if !hb.Owner || epoch < s.maxSeen || (epoch == s.epoch && !s.isClaimOwner(from)) {
		return false
	}
	s.ownerSilentSince = now
	s.campaign = nil
	s.timeoutDoublings = 0
	if s.consentedEpoch > epoch {
		return false
	}
	s.votedUntil, s.votedFor = now.Add(s.cfg.LeaseDuration), from.Incarnation
	return true
}

// isClaimOwner reports whether m made the current claim and has not released it.
func (s *State) isClaimOwner(m model.Member) bool {
	return s.claim != nil && !s.released && s.claim.Owner.Incarnation == m.Incarnation
}

// OnHeartbeatReply handles a reply to a heartbeat of this instance.
func (s *State) OnHeartbeatReply(now model.Time, from model.Member, r message.HeartbeatReply) {
	s.updateClock(now)
	s.raiseMinVoteEpoch(from.Incarnation, r.Epoch)
	ownNext := r.Owner != nil && r.Owner.Incarnation == s.cfg.Self.Incarnation
	if r.Epoch > s.epoch && !ownNext {
		if r.Owner != nil && r.Epoch >= s.maxSeen {
			s.noteOwnerHint(r.Epoch, *r.Owner)
		}
		s.ObserveEpoch(now, r.Epoch)
		return
	}
	if !s.holdsClaim() || r.SentAt > now {
		return
	}
	if !r.LeaseVote {
		s.voteRefusedAt = now
		return
	}
	if t, ok := s.leaseVotes[from.Incarnation]; !ok || r.SentAt > t {
		s.leaseVotes[from.Incarnation] = r.SentAt
	}
}

// noteOwnerHint records the reported owner of an epoch whose claim has not been
// read from the log yet.
func (s *State) noteOwnerHint(epoch uint64, m model.Member) {
	if epoch > s.epoch && epoch >= s.ownerHintEpoch {
		s.ownerHintEpoch, s.ownerHint = epoch, m
	}
}

// OnConsentRequest answers a member that requests consent to a claim. Consent is
// refused while the owner's heartbeats arrive, while the promise of a lease vote
// lasts, and while this instance is itself an owner with a valid lease. Consent
// is not exclusive: the order of the log decides between claimants.
func (s *State) OnConsentRequest(now model.Time, from model.Member, r message.ConsentRequest) message.ConsentReply {
	s.updateClock(now)
	reply := message.ConsentReply{Epoch: r.Epoch, SentAt: r.SentAt}
	switch {
	case r.Epoch <= s.epoch || r.Epoch <= s.maxSeen:
	case now < s.votedUntil:
	case s.holdsClaim() && s.releasingEpoch != s.epoch:
		reply.Granted = now >= s.prevLeaseEnd && !s.leaseValid(now)
	default:
		reply.Granted = s.released || now.Sub(s.ownerSilentSince) >= s.cfg.SuspectTimeout
	}
	if reply.Granted {
		s.consentedEpoch = max(s.consentedEpoch, r.Epoch)
	}
	return reply
}

// OnConsentReply handles the reply to a consent request of this instance.
func (s *State) OnConsentReply(now model.Time, from model.Member, r message.ConsentReply) {
	s.updateClock(now)
	if s.campaign == nil || r.Epoch != s.campaign.epoch || r.SentAt < s.campaign.startedAt {
		return
	}
	if r.Granted {
		s.campaign.grants[from.Incarnation] = true
		s.raiseMinVoteEpoch(from.Incarnation, r.Epoch)
		return
	}
	s.campaign.refusedAt = now
}
