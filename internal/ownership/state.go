// Package ownership decides which instance of a data centre holds its
// scheduler lease, and for how long it may act without asking again.
//
// Claims are folded from the data centre's log stream. Between claims an owner
// acts on evidence: a read of the log's tail, or vouchers from a majority of
// the members that its claim names as electors. The safety argument
// is in docs/ownership.md.
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
	// staggerStep separates claimants. It is above a peer round trip plus an
	// append, so that the first claimant usually wins without competition.
	staggerStep = 100 * time.Millisecond
	// askEvery is the interval between consent requests. Electors' vouchers
	// end a few milliseconds apart, so the first request is often too early.
	askEvery = 100 * time.Millisecond
	// claimRetry is the least time between two appends of a claimant.
	claimRetry = 300 * time.Millisecond
	// reclaimEvery is the least time between two appends of an owner whose
	// electors changed. It bounds the log's load when members come and go.
	reclaimEvery = time.Second
	// quietFactor times ConsentAfter is how long a suspended owner stops asking
	// for vouchers, so that members which hear it can still take over. It
	// covers suspicion and a claim without consent.
	quietFactor = 2
	// maxLonely caps the doublings of ConsentAfter, one for each claim without
	// consent since the owner was last heard. They keep members that reach the
	// log but not each other from taking the lease in turn every few seconds.
	maxLonely = 4
)

// none is a time before every reading of the clock.
const none = model.Time(-1 << 62)

// Config is fixed for the life of an instance.
type Config struct {
	Self             model.Member
	LeaseDuration    time.Duration // how long evidence lets an owner act
	ClockDriftMargin time.Duration // added to a new owner's wait; covers clock-rate drift
	SuspectTimeout   time.Duration // silence after which the owner is suspected
	ConsentTimeout   time.Duration // a claim goes ahead without consent after this
}

// Phase is the role of an instance in its data centre.
type Phase string

// The phases.
const (
	PhaseFollower  Phase = "follower"
	PhaseAsking    Phase = "asking"    // asks electors for consent to a claim
	PhaseClaiming  Phase = "claiming"  // a claim was appended and not read back
	PhaseWaiting   Phase = "waiting"   // the claim was read back; the previous lease may still run
	PhaseOwner     Phase = "owner"     // may act
	PhaseSuspended Phase = "suspended" // owner without fresh evidence
	PhaseReleased  Phase = "released"  // drains; does not claim again
)

// Change is a change of phase, for logs and counters.
type Change struct {
	From, To Phase
	Epoch    uint64
}

// Action is one thing that the caller must do. One of Consent (with To),
// Claim, Release and Change is set.
type Action struct {
	Consent   *message.ConsentRequest
	ConsentTo []model.Member
	Claim     *record.Claim
	Release   *record.Release
	Change    *Change
}

// pendingClaim is a claim that was appended and whose effect is not known yet.
type pendingClaim struct {
	claim  record.Claim
	at     model.Time
	lonely bool // without consent
}

// campaign collects consent to the claim of one epoch.
type campaign struct {
	epoch     uint64
	since     model.Time
	asked     model.Time
	refusedAt model.Time
	grants    map[model.Incarnation]bool
}

// State is the lease of one data centre as one instance knows it. It is not
// safe for concurrent use.
type State struct {
	cfg     Config
	lastNow model.Time
	phase   Phase

	// Folded from the log.
	epoch        uint64
	claim        *record.Claim // claim of epoch; nil if epoch is 0
	released     bool          // epoch was released
	prevElectors []model.Member
	prevUnknown  bool       // the own claim skipped epochs, whose electors are not known
	safeFrom     model.Time // when no earlier owner has evidence any more, at the latest
	takenAt      uint64     // epoch in which this instance took the lease from another
	afterRelease bool       // it was vacant or released then
	safeSince    model.Time // see SafeSince

	// What is known of other members.
	known  int
	passed map[model.Incarnation]uint64 // vouches for no epoch below this one

	// The log as a source of evidence.
	everTail bool
	atTail   bool // the last read reached the tail and nothing failed since
	lastTail model.Time

	// Owner.
	vouchers       map[model.Incarnation]model.Time // SentAt of the newest vouched heartbeat
	refusedAt      model.Time                       // newest heartbeat reply without a voucher
	majorityAt     model.Time                       // last time that vouchers of a majority were fresh
	suspendedSince model.Time
	quiet          bool

	// Promises of this instance.
	vouchedUntil model.Time
	vouchedTo    model.Incarnation
	consented    uint64 // highest epoch consented to or claimed; vouches for no lower one

	// What others said.
	heardOwner model.Time
	seen       uint64     // highest epoch known to anybody
	seenAt     model.Time // when seen was last raised
	hintEpoch  uint64
	hint       model.Member // owner of hintEpoch, from its heartbeat or a peer's reply

	// Claimant.
	vacantSince model.Time
	asking      *campaign
	pending     *pendingClaim
	lastClaim   model.Time
	lonely      int // claims without consent that won, since the owner was heard

	draining   bool
	releasing  uint64 // epoch whose release was appended
	releasedAt model.Time
}

// New returns the state of an instance that has read nothing yet.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, lastNow: none, phase: PhaseFollower, safeFrom: none, lastTail: none,
		vouchers: map[model.Incarnation]model.Time{}, passed: map[model.Incarnation]uint64{}, safeSince: none, refusedAt: none, majorityAt: none,
		suspendedSince: none, vouchedUntil: none, seenAt: none, heardOwner: none, vacantSince: none,
		lastClaim: none, releasedAt: none,
	}
}

// Majority returns the number of members that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// blocking returns the least number of n electors that has a member in common
// with every majority. For odd n it is a majority; for even n it is half, so
// the survivor of two members can take over without a timeout.
func blocking(n int) int { return n - Majority(n) + 1 }

// Epoch returns the epoch of the last accepted claim, 0 if there is none.
func (s *State) Epoch() uint64 { return s.epoch }

// KnownEpoch returns the highest epoch that this instance has read or heard of.
// Heartbeats and their replies carry it.
func (s *State) KnownEpoch() uint64 { return max(s.epoch, s.seen) }

// Phase returns the phase as of the last Step.
func (s *State) Phase() Phase { return s.phase }

// Claim returns the claim in force. It is false after a release.
func (s *State) Claim() (record.Claim, bool) {
	if s.claim == nil || s.released {
		return record.Claim{}, false
	}
	return *s.claim, true
}

// Owner returns the owner of KnownEpoch, if it is known.
func (s *State) Owner() (model.Member, bool) {
	switch {
	case s.hintEpoch > s.epoch && s.hintEpoch >= s.seen:
		return s.hint, true
	case s.seen > s.epoch || s.claim == nil || s.released:
		return model.Member{}, false
	case s.owns() && s.releasing == s.epoch:
		return model.Member{}, false
	}
	return s.claim.Owner, true
}

// IsOwner reports whether this instance holds the lease of the current epoch
// and asks for vouchers. It is false once the release was appended, once a
// higher epoch was seen, and in the quiet intervals of a suspended owner.
func (s *State) IsOwner() bool {
	return s.owns() && s.releasing != s.epoch && s.seen <= s.epoch && !s.quiet
}

// PreviousElectors returns the electors of the last epoch of another owner
// before the own claim. They may hold intents that the log lacks.
func (s *State) PreviousElectors() []model.Member { return slices.Clone(s.prevElectors) }

// Drain makes the instance release its lease, if it has it, and claim no more.
func (s *State) Drain(now model.Time) {
	s.touch(now)
	s.draining = true
}

// ObserveEpoch notes that a worker or peer knows an epoch. The instance stops
// acting if it is above its own, until the log shows whose it is.
func (s *State) ObserveEpoch(now model.Time, epoch uint64) {
	s.touch(now)
	if epoch > s.seen {
		s.seen, s.seenAt = epoch, now
	}
}

// forgotten reports whether an epoch above the current one is known whose claim
// the log no longer holds. The claim was in the log before anybody knew its
// epoch, so a later read to the tail would have shown it.
func (s *State) forgotten() bool { return s.seen > s.epoch && s.lastTail > s.seenAt }

// owns reports whether the log's current claim is this instance's.
func (s *State) owns() bool { return s.inForce(s.cfg.Self) }

// touch notes the time and detects a pause of the process. After a pause,
// nothing that was heard before it is relied on.
func (s *State) touch(now model.Time) {
	switch {
	case s.lastNow == none:
		s.heardOwner = now // a new instance has not had time to hear the owner
	case now.Sub(s.lastNow) > s.cfg.LeaseDuration:
		clear(s.vouchers)
		s.asking = nil
		s.lastTail, s.atTail = none, false
		s.heardOwner = now
		s.suspendedSince, s.quiet = none, false
		s.vacantSince, s.majorityAt = none, now
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
