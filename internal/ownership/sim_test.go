package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

const (
	ms   = time.Millisecond
	tick = 10 * ms
)

// node is one member in the simulation. Its clock has an offset and a drift.
type node struct {
	*State
	me          model.Member
	offset      time.Duration
	drift       float64
	heard       map[model.Incarnation]time.Duration
	next        int // log position
	reading     bool
	dead        bool
	pausedUntil time.Duration
	logCutFrom  time.Duration
	logCutUntil time.Duration
	disturbed   time.Duration // last real time that it was paused or cut from the log
	linkCut     map[string]time.Duration
	inbox       []event
}

type event struct {
	at time.Duration
	to *node // nil: the log
	do func()
}

// logged is one log entry; consent says that the claimant held enough of it.
type logged struct {
	entry   record.Entry
	at      time.Duration
	consent bool
}

// sim runs members against a log in virtual time.
type sim struct {
	rnd     *rand.Rand
	now     time.Duration
	nodes   []*node
	events  []event
	log     []logged
	granted map[string]bool // epoch, claimant, elector
	calm    bool            // no loss and no long delays
	exempt  int             // double owners that only the workers' fence stops
	fail    func(format string, args ...any)
}

func newSim(seed uint64, members int, fail func(string, ...any)) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), granted: map[string]bool{}, fail: fail}
	for i := range members {
		s.start(fmt.Sprintf("vm%d", i))
	}
	return s
}

func (s *sim) start(name string) {
	me := model.Member{Name: name, Address: name, Incarnation: model.Incarnation(fmt.Sprintf("%s-%d", name, len(s.nodes)))}
	s.nodes = append(s.nodes, &node{
		State: New(Config{Self: me, LeaseDuration: time.Second, ClockDriftMargin: 200 * ms, SuspectTimeout: 800 * ms, ConsentTimeout: 2 * time.Second}),
		me:    me, offset: time.Duration(s.rnd.Int64N(int64(time.Hour))), drift: 0.99 + 0.02*s.rnd.Float64(),
		heard: map[model.Incarnation]time.Duration{}, linkCut: map[string]time.Duration{}, disturbed: -time.Hour,
	})
}

func (s *sim) clock(n *node) model.Time {
	return model.Time(n.offset + time.Duration(float64(s.now)*n.drift))
}

// delay is mostly short, at times long enough to reorder and to outlive leases.
func (s *sim) delay() time.Duration {
	kind := s.rnd.IntN(40)
	if s.calm {
		kind = 40
	}
	switch kind {
	case 0:
		return time.Duration(s.rnd.Int64N(int64(3 * time.Second)))
	case 1, 2:
		return time.Duration(s.rnd.Int64N(int64(300 * ms)))
	}
	return time.Duration(1+s.rnd.Int64N(20)) * ms
}

func (s *sim) logCut(n *node) bool { return s.now >= n.logCutFrom && s.now < n.logCutUntil }

// lost reports whether one message in n is lost.
func (s *sim) lost(n int) bool { return !s.calm && s.rnd.IntN(n) == 0 }

func (s *sim) post(after time.Duration, to *node, do func()) {
	s.events = append(s.events, event{s.now + after, to, do})
}

func (s *sim) send(from, to *node, do func()) {
	if s.now < from.linkCut[to.me.Name] || s.lost(50) {
		return
	}
	s.post(s.delay(), to, func() { to.heard[from.me.Incarnation] = s.now; do() })
}

func (s *sim) node(inc model.Incarnation) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.me.Incarnation == inc })
	return s.nodes[i]
}

// run advances to a time and checks after every tick who may act.
func (s *sim) run(until time.Duration) {
	for ; s.now < until; s.now += tick {
		slices.SortStableFunc(s.events, func(a, b event) int { return int(a.at - b.at) })
		for len(s.events) > 0 && s.events[0].at <= s.now {
			e := s.events[0]
			s.events = s.events[1:]
			if e.to == nil {
				e.do()
			} else if !e.to.dead {
				e.to.inbox = append(e.to.inbox, e)
			}
		}
		for i := 0; i < len(s.nodes); i++ {
			if n := s.nodes[i]; !n.dead {
				s.step(n)
			}
		}
		s.check()
	}
}

func (s *sim) step(n *node) {
	if s.logCut(n) || s.now < n.pausedUntil {
		n.disturbed = s.now
	}
	if s.now < n.pausedUntil {
		return
	}
	for _, e := range n.inbox {
		e.do()
	}
	n.inbox = nil
	if !n.reading {
		s.read(n)
	}
	if int(s.now/tick)%20 == len(n.me.Incarnation)%20 {
		s.heartbeat(n)
	}
	electors := []model.Member{n.me}
	for _, o := range s.nodes {
		if at, ok := n.heard[o.me.Incarnation]; ok && s.now-at < 800*ms {
			electors = append(electors, o.me)
		}
	}
	sortMembers(electors)
	for _, a := range n.Step(s.clock(n), electors) {
		switch {
		case a.Consent != nil:
			for _, m := range a.ConsentTo {
				s.consent(n, s.node(m.Incarnation), *a.Consent)
			}
		case a.Claim != nil:
			s.append(n, logged{entry: record.Entry{Claim: a.Claim}, consent: s.hasConsent(n)})
		case a.Release != nil:
			s.append(n, logged{entry: record.Entry{Release: a.Release}})
		}
	}
}

func (s *sim) heartbeat(n *node) {
	hb := message.Heartbeat{Epoch: n.KnownEpoch(), Owner: n.IsOwner(), SentAt: s.clock(n)}
	for _, to := range s.nodes {
		if to == n {
			continue
		}
		s.send(n, to, func() {
			v := to.OnHeartbeat(s.clock(to), n.me, hb)
			r := message.HeartbeatReply{Epoch: to.KnownEpoch(), SentAt: hb.SentAt, LeaseVote: v}
			if o, ok := to.Owner(); ok {
				r.Owner = &o
			}
			s.send(to, n, func() { n.OnHeartbeatReply(s.clock(n), to.me, r) })
		})
	}
}

func (s *sim) consent(n, to *node, r message.ConsentRequest) {
	s.send(n, to, func() {
		reply := to.OnConsentRequest(s.clock(to), n.me, r)
		if reply.Granted {
			s.granted[fmt.Sprint(r.Epoch, n.me.Incarnation, to.me.Incarnation)] = true
		}
		s.send(to, n, func() { n.OnConsentReply(s.clock(n), to.me, reply) })
	})
}

// hasConsent computes on its own whether a claimant may count on the electors.
func (s *sim) hasConsent(n *node) bool {
	c, held := n.Claim()
	granted := 0
	for _, m := range c.Electors {
		if m == n.me || s.granted[fmt.Sprint(c.Epoch+1, n.me.Incarnation, m.Incarnation)] {
			granted++
		}
	}
	return !held || c.Owner == n.me || granted > len(c.Electors)-Majority(len(c.Electors))
}

func (s *sim) append(n *node, l logged) {
	if s.logCut(n) && s.lost(2) || s.lost(20) {
		return // lost; otherwise it takes effect, perhaps late
	}
	s.post(s.delay(), nil, func() { l.at = s.now; s.log = append(s.log, l) })
}

// read performs one read of at most three entries. The tail is seen at some
// moment between its start and its end.
func (s *sim) read(n *node) {
	n.reading = true
	started, d := s.clock(n), time.Duration(1+s.rnd.Int64N(40))*ms
	if s.logCut(n) {
		s.post(d, n, func() { n.reading = false; n.OnLogReadFailed(s.clock(n)) })
		return
	}
	s.post(d/2, nil, func() {
		to := min(len(s.log), n.next+3)
		got, tail := s.log[n.next:to], to == len(s.log)
		s.post(d/2, n, func() {
			n.reading = false
			for _, l := range got {
				if l.entry.Claim != nil {
					n.FoldClaim(s.clock(n), *l.entry.Claim)
				} else {
					n.FoldRelease(s.clock(n), *l.entry.Release)
				}
			}
			n.next = to
			n.OnLogRead(started, tail)
		})
	})
}

// acting returns the members that may act now, lowest epoch first.
func (s *sim) acting() []*node {
	var out []*node
	for _, n := range s.nodes {
		if !n.dead && s.now >= n.pausedUntil && n.MayAct(s.clock(n)) {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b *node) int { return int(a.Epoch()) - int(b.Epoch()) })
	return out
}

// check fails if two members may act, unless a claim without consent was made
// while the older owner did not reach the log; then the epochs must differ.
func (s *sim) check() {
	act := s.acting()
	if len(act) < 2 {
		return
	}
	old, young := act[0], act[len(act)-1]
	fenced := false
	epoch := uint64(0)
	for _, l := range s.log {
		c := l.entry.Claim
		if c == nil || c.Epoch != epoch+1 {
			continue
		}
		epoch++
		if epoch > old.Epoch() && epoch <= young.Epoch() && !l.consent && old.disturbed >= l.at {
			fenced = true
		}
	}
	if !fenced || old.Epoch() == young.Epoch() {
		s.fail("at %v both %s (epoch %d) and %s (epoch %d) may act", s.now,
			old.me.Incarnation, old.Epoch(), young.me.Incarnation, young.Epoch())
	}
	s.exempt++
}
