// Package ownership decides which instance of a data centre holds its
// scheduler lease, and for how long it may act before the lease must be
// confirmed again.
//
// Claims are folded from the data centre's log stream. Between claims, either
// of two things confirms the owner's lease: a read that reaches the tail of
// the log, or lease votes from a majority of the members that its claim names
// as electors. A member grants a lease vote in its reply to the owner's
// heartbeat, and thereby promises neither to claim the lease itself nor to
// consent to another member's claim for the duration of the lease. The safety
// argument is in docs/ownership.md.
package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

const (
	// claimStagger is the difference between the claim delays of two members.
	// It is above a peer round trip plus an append, so that the first claimant
	// usually wins without competition.
	claimStagger = 100 * time.Millisecond
	// consentRequestInterval is the interval between consent requests. The lease
	// votes of the electors expire a few milliseconds apart, so the first
	// request is often too early.
	consentRequestInterval = 100 * time.Millisecond
	// claimRetryInterval is the minimum time between two appends of a claimant.
	claimRetryInterval = 300 * time.Millisecond
	// reclaimInterval is the minimum time between two claims of an owner whose
	// electors changed. It limits the load on the log when members join and
	// leave frequently.
	reclaimInterval = time.Second
	// yieldFactor times ConsentTimeout is how long a suspended owner stops
	// requesting lease votes, so that members that receive its heartbeats can
	// still take over. It covers SuspectTimeout and a claim without consent.
	yieldFactor = 2
	// maxTimeoutDoublings limits how often ConsentTimeout is doubled: once for
	// each accepted claim without consent since the last heartbeat of an owner.
	// The backoff keeps members that reach the log but not each other from
	// taking the lease from one another every few seconds.
	maxTimeoutDoublings = 4
)

// unset is earlier than any time that the clock returns.
const unset = model.Time(-1 << 62)

// Config does not change while the instance runs.
type Config struct {
	Self             model.Member
	LeaseDuration    time.Duration // how long an owner may act after its lease was confirmed
	ClockDriftMargin time.Duration // added to a new owner's wait; covers clock-rate drift
	SuspectTimeout   time.Duration // owner silence after which the owner is suspected
	ConsentTimeout   time.Duration // how long a claimant requests consent before it claims without it
}

// Phase is the role of an instance in its data centre.
type Phase string

// The phases.
const (
	PhaseFollower  Phase = "follower"
	PhaseAsking    Phase = "asking"    // requests the consent of electors to a claim
	PhaseClaiming  Phase = "claiming"  // a claim was appended but not read back yet
	PhaseWaiting   Phase = "waiting"   // the claim was read back; the previous lease may still run
	PhaseOwner     Phase = "owner"     // may act
	PhaseSuspended Phase = "suspended" // owner whose lease was not confirmed in time
	PhaseReleased  Phase = "released"  // drains; makes no more claims
)

// Change is a change of phase, for logs and counters.
type Change struct {
	From, To Phase
	Epoch    uint64
}

// Action is one thing that the caller must do: send a consent request to the
// members in ConsentTo, append a claim or a release to the log, or report a
// change of phase. Exactly one of Consent, Claim, Release and Change is set.
type Action struct {
	Consent   *message.ConsentRequest
	ConsentTo []model.Member
	Claim     *record.Claim
	Release   *record.Release
	Change    *Change
}

// pendingClaim is an appended claim that has not been read back from the log.
type pendingClaim struct {
	claim          record.Claim
	appendedAt     model.Time
	withoutConsent bool // claimed after ConsentTimeout, without consent
}

// campaign collects the electors' consent to a claim of one epoch.
type campaign struct {
	epoch       uint64
	startedAt   model.Time
	requestedAt model.Time
	refusedAt   model.Time
	grants      map[model.Incarnation]bool
}

// State is the ownership state of one data centre as one instance knows it. It
// is not safe for concurrent use.
type State struct {
	cfg     Config
	lastNow model.Time
	phase   Phase

	// Folded from the log.
	epoch               uint64
	claim               *record.Claim // current claim; nil if epoch is 0
	released            bool          // the owner of epoch released it
	prevElectors        []model.Member
	prevElectorsPartial bool       // the own claim skipped epochs whose electors are not known
	prevLeaseEnd        model.Time // by then the leases of all earlier owners have expired
	takeoverEpoch       uint64     // epoch in which this instance took the lease from another
	takeoverVacant      bool       // the lease was vacant or released at the takeover
	exclusiveSince      model.Time // see ExclusiveSince

	// Other members.
	knownMembers int                          // instances of the data centre, this one included
	minVoteEpoch map[model.Incarnation]uint64 // the member grants no lease vote for a lower epoch

	// Reads of the log.
	caughtUpOnce bool
	caughtUp     bool       // the last read succeeded and reached the tail
	caughtUpAt   model.Time // start of the latest read that reached the tail

	// Owner.
	leaseVotes      map[model.Incarnation]model.Time // SentAt of the latest heartbeat voted for
	voteRefusedAt   model.Time                       // latest heartbeat reply without a lease vote
	majorityVotedAt model.Time                       // last time that a majority's votes were valid
	suspendedSince  model.Time
	yielding        bool // suspended, and requests no lease votes

	// Promises of this instance.
	votedUntil     model.Time // end of the promise given with the last lease vote
	votedFor       model.Incarnation
	consentedEpoch uint64 // highest epoch consented to or claimed; no lease votes for lower ones

	// Reported by other processes.
	ownerSilentSince model.Time // last heartbeat of an owner, or a later start of the timeout
	maxSeen          uint64     // highest epoch read or reported
	maxSeenAt        model.Time // when a report last raised maxSeen
	ownerHintEpoch   uint64
	ownerHint        model.Member // owner of ownerHintEpoch, from its heartbeat or a peer's reply

	// Claimant.
	vacantSince      model.Time
	campaign         *campaign
	pending          *pendingClaim
	lastClaimAt      model.Time
	timeoutDoublings int // accepted claims without consent since the last heartbeat of an owner

	draining       bool
	releasingEpoch uint64 // epoch whose release was appended
	releasedAt     model.Time
}

// New returns the state of an instance that has not read the log yet.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, lastNow: unset, phase: PhaseFollower, prevLeaseEnd: unset, caughtUpAt: unset,
		leaseVotes: map[model.Incarnation]model.Time{}, minVoteEpoch: map[model.Incarnation]uint64{}, exclusiveSince: unset, voteRefusedAt: unset, majorityVotedAt: unset,
		suspendedSince: unset, votedUntil: unset, maxSeenAt: unset, ownerSilentSince: unset, vacantSince: unset,
		lastClaimAt: unset, releasedAt: unset,
	}
}

// Majority returns the smallest number of members that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// blockingQuorum returns the smallest number of n electors that overlaps every
// majority. For odd n it is a majority; for even n it is half, so that the
// survivor of two members can take over without waiting for ConsentTimeout.
func blockingQuorum(n int) int { return n - Majority(n) + 1 }

// Epoch returns the epoch of the last accepted claim, 0 if there is none.
func (s *State) Epoch() uint64 { return s.epoch }

// KnownEpoch returns the highest epoch that this instance has read from the log
// or received from others. It is sent in heartbeats and their replies.
func (s *State) KnownEpoch() uint64 { return max(s.epoch, s.maxSeen) }

// Phase returns the phase as of the last Step.
func (s *State) Phase() Phase { return s.phase }

// Claim returns the current claim. The second result is false if there is none
// or if it was released.
func (s *State) Claim() (record.Claim, bool) {
	if s.claim == nil || s.released {
		return record.Claim{}, false
	}
	return *s.claim, true
}

// Owner returns the owner of KnownEpoch. The second result is false if the owner
// is not known or has released the lease.
func (s *State) Owner() (model.Member, bool) {
	switch {
	case s.ownerHintEpoch > s.epoch && s.ownerHintEpoch >= s.maxSeen:
		return s.ownerHint, true
	case s.maxSeen > s.epoch || s.claim == nil || s.released:
		return model.Member{}, false
	case s.holdsClaim() && s.releasingEpoch == s.epoch:
		return model.Member{}, false
	}
	return s.claim.Owner, true
}

// IsOwner reports whether this instance owns the current epoch and requests
// lease votes. It is false after the release was appended, after a higher epoch
// was seen, and while a suspended owner yields.
func (s *State) IsOwner() bool {
	return s.holdsClaim() && s.releasingEpoch != s.epoch && s.maxSeen <= s.epoch && !s.yielding
}

// PreviousElectors returns the electors of the last epoch that another instance
// owned before this one took over. They may hold intents that are missing from
// the log.
func (s *State) PreviousElectors() []model.Member { return slices.Clone(s.prevElectors) }

// Drain makes the instance release its lease, if it has one, and stops it from
// claiming again.
func (s *State) Drain(now model.Time) {
	s.updateClock(now)
	s.draining = true
}

// ObserveEpoch records an epoch that a worker or peer has reported. If the epoch
// is above that of the log's current claim, the instance does not act until the
// log shows who owns it.
func (s *State) ObserveEpoch(now model.Time, epoch uint64) {
	s.updateClock(now)
	if epoch > s.maxSeen {
		s.maxSeen, s.maxSeenAt = epoch, now
	}
}

// seenClaimExpired reports whether an epoch above the current one was reported
// whose claim has expired from the log. A claim is in the log before any process
// reports its epoch, so a read to the tail that began later would have returned
// the claim.
func (s *State) seenClaimExpired() bool { return s.maxSeen > s.epoch && s.caughtUpAt > s.maxSeenAt }

// holdsClaim reports whether this instance made the current claim and has not
// released it.
func (s *State) holdsClaim() bool { return s.isClaimOwner(s.cfg.Self) }

// updateClock records the current time and detects a pause of the process by a
// step of more than LeaseDuration. After a pause, state that was received from
// other processes before the pause is discarded or its timeout started again.
func (s *State) updateClock(now model.Time) {
	switch {
	case s.lastNow == unset:
		s.ownerSilentSince = now // a new instance has not had time to receive a heartbeat
	case now.Sub(s.lastNow) > s.cfg.LeaseDuration:
		clear(s.leaseVotes)
		s.campaign = nil
		s.caughtUpAt, s.caughtUp = unset, false
		s.ownerSilentSince = now
		s.suspendedSince, s.yielding = unset, false
		s.vacantSince, s.majorityVotedAt = unset, now
	}
	s.lastNow = max(s.lastNow, now)
}

func hasMember(ms []model.Member, inc model.Incarnation) bool {
	return slices.ContainsFunc(ms, func(m model.Member) bool { return m.Incarnation == inc })
}

// union returns the members of a and b, sorted.
func union(a, b []model.Member) []model.Member {
	out := slices.Clone(a)
	for _, m := range b {
		if !hasMember(out, m.Incarnation) {
			out = append(out, m)
		}
	}
	sortMembers(out)
	return out
}

func sameMembers(a, b []model.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !hasMember(b, m.Incarnation) {
			return false
		}
	}
	return true
}

func sortMembers(ms []model.Member) {
	slices.SortFunc(ms, func(a, b model.Member) int {
		return strings.Compare(string(a.Incarnation), string(b.Incarnation))
	})
}
