package ownership

import (
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// OnHeartbeat takes a heartbeat of another member of the own data centre. It
// returns true if the reply may carry a voucher; the promise then counts from
// this call on.
func (s *State) OnHeartbeat(now model.Time, from model.Member, hb message.Heartbeat) (voucher bool) {
	s.touch(now)
	if from.Incarnation == s.cfg.Self.Incarnation {
		return false
	}
	epoch := hb.Epoch
	if s.epoch > epoch && s.claim.Owner.Incarnation == from.Incarnation {
		epoch = s.epoch // the sender has not read its own next claim yet
	}
	if hb.Owner && epoch >= s.seen {
		s.learnOwner(epoch, from)
	}
	s.ObserveEpoch(now, hb.Epoch)
	s.pass(from.Incarnation, hb.Epoch)
	if !hb.Owner || epoch < s.seen || (epoch == s.epoch && !s.inForce(from)) {
		return false
	}
	s.heardOwner = now
	s.asking = nil
	s.lonely = 0
	if s.consented > epoch {
		return false
	}
	s.vouchedUntil, s.vouchedTo = now.Add(s.cfg.LeaseDuration), from.Incarnation
	return true
}

// inForce reports whether the log's current claim is m's and not released.
func (s *State) inForce(m model.Member) bool {
	return s.claim != nil && !s.released && s.claim.Owner.Incarnation == m.Incarnation
}

// OnHeartbeatReply takes the reply to an own heartbeat.
func (s *State) OnHeartbeatReply(now model.Time, from model.Member, r message.HeartbeatReply) {
	s.touch(now)
	s.pass(from.Incarnation, r.Epoch)
	ownNext := r.Owner != nil && r.Owner.Incarnation == s.cfg.Self.Incarnation
	if r.Epoch > s.epoch && !ownNext {
		if r.Owner != nil && r.Epoch >= s.seen {
			s.learnOwner(r.Epoch, *r.Owner)
		}
		s.ObserveEpoch(now, r.Epoch)
		return
	}
	if !s.owns() || r.SentAt > now {
		return
	}
	if !r.LeaseVote {
		s.refusedAt = now
		return
	}
	if t, ok := s.vouchers[from.Incarnation]; !ok || r.SentAt > t {
		s.vouchers[from.Incarnation] = r.SentAt
	}
}

// learnOwner notes the owner of an epoch that the log has not shown yet.
func (s *State) learnOwner(epoch uint64, m model.Member) {
	if epoch > s.epoch && epoch >= s.hintEpoch {
		s.hintEpoch, s.hint = epoch, m
	}
}

// OnConsentRequest answers a member that wants to claim. Consent is refused
// while this instance hears the owner, owes a voucher's promise, or is an
// owner with evidence itself. Consent is not exclusive: the log's order
// decides between claimants.
func (s *State) OnConsentRequest(now model.Time, from model.Member, r message.ConsentRequest) message.ConsentReply {
	s.touch(now)
	reply := message.ConsentReply{Epoch: r.Epoch, SentAt: r.SentAt}
	switch {
	case r.Epoch <= s.epoch || r.Epoch <= s.seen:
	case now < s.vouchedUntil:
	case s.owns() && s.releasing != s.epoch:
		reply.Granted = now >= s.safeFrom && !s.fresh(now)
	default:
		reply.Granted = s.released || now.Sub(s.heardOwner) >= s.cfg.SuspectTimeout
	}
	if reply.Granted {
		s.consented = max(s.consented, r.Epoch)
	}
	return reply
}

// OnConsentReply takes the answer to an own consent request.
func (s *State) OnConsentReply(now model.Time, from model.Member, r message.ConsentReply) {
	s.touch(now)
	if s.asking == nil || r.Epoch != s.asking.epoch || r.SentAt < s.asking.since {
		return
	}
	if r.Granted {
		s.asking.grants[from.Incarnation] = true
		s.pass(from.Incarnation, r.Epoch)
		return
	}
	s.asking.refusedAt = now
}
