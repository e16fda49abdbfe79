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

// node is one simulated member. Its clock has an offset and a drift.
type node struct {
	*State
	self         model.Member
	offset       time.Duration
	drift        float64
	lastReceived map[model.Incarnation]time.Duration
	readPos      int // index in sim.log of the next entry to read
	reading      bool
	dead         bool
	pausedUntil  time.Duration
	logCutFrom   time.Duration
	logCutUntil  time.Duration
	lastFaultAt  time.Duration // last simulated time at which it was paused or could not reach the log
	linkCut      map[string]time.Duration
	inbox        []event
}

type event struct {
	at time.Duration
	to *node // nil for the log
	do func()
}

// logEntry is one entry of the log. Consent is true if the claimant had the consent
// of enough electors.
type logEntry struct {
	entry   record.Entry
	at      time.Duration
	consent bool
}

// sim runs members and a log in virtual time.
type sim struct {
	rnd            *rand.Rand
	now            time.Duration
	nodes          []*node
	events         []event
	log            []logEntry
	granted        map[string]bool // epoch, claimant, elector
	reliable       bool            // no message loss and no long delays
	fencedOverlaps int             // ticks with an older owner that only the workers' fencing stops
	fail           func(format string, args ...any)
}

func newSim(seed uint64, members int, fail func(string, ...any)) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), granted: map[string]bool{}, fail: fail}
	for i := range members {
		s.startNode(fmt.Sprintf("vm%d", i))
	}
	return s
}

func (s *sim) startNode(name string) {
	me := model.Member{Name: name, Address: name, Incarnation: model.Incarnation(fmt.Sprintf("%s-%d", name, len(s.nodes)))}
	s.nodes = append(s.nodes, &node{
		State: New(Config{Self: me, LeaseDuration: time.Second, ClockDriftMargin: 200 * ms, SuspectTimeout: 800 * ms, ConsentTimeout: 2 * time.Second}),
		self:  me, offset: time.Duration(s.rnd.Int64N(int64(time.Hour))), drift: 0.99 + 0.02*s.rnd.Float64(),
		lastReceived: map[model.Incarnation]time.Duration{}, linkCut: map[string]time.Duration{}, lastFaultAt: -time.Hour,
	})
}

func (s *sim) clock(n *node) model.Time {
	return model.Time(n.offset + time.Duration(float64(s.now)*n.drift))
}

// delay returns a random message delay: mostly short, at times long enough to
// reorder messages or to exceed the lease.
func (s *sim) delay() time.Duration {
	kind := s.rnd.IntN(40)
	if s.reliable {
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

// loseOneIn reports at random whether a message is lost, with probability 1/n.
func (s *sim) loseOneIn(n int) bool { return !s.reliable && s.rnd.IntN(n) == 0 }

func (s *sim) schedule(after time.Duration, to *node, do func()) {
	s.events = append(s.events, event{s.now + after, to, do})
}

func (s *sim) send(from, to *node, do func()) {
	if s.now < from.linkCut[to.self.Name] || s.loseOneIn(50) {
		return
	}
	s.schedule(s.delay(), to, func() { to.lastReceived[from.self.Incarnation] = s.now; do() })
}

func (s *sim) node(inc model.Incarnation) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.self.Incarnation == inc })
	return s.nodes[i]
}

// run advances to the given time and checks after every tick which members may act.
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
		s.checkSingleOwner()
	}
}

func (s *sim) step(n *node) {
	if s.logCut(n) || s.now < n.pausedUntil {
		n.lastFaultAt = s.now
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
	if int(s.now/tick)%20 == len(n.self.Incarnation)%20 {
		s.heartbeat(n)
	}
	electors := []model.Member{n.self}
	for _, o := range s.nodes {
		if at, ok := n.lastReceived[o.self.Incarnation]; ok && s.now-at < 800*ms {
			electors = append(electors, o.self)
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
			s.append(n, logEntry{entry: record.Entry{Claim: a.Claim}, consent: s.hasConsent(n)})
		case a.Release != nil:
			s.append(n, logEntry{entry: record.Entry{Release: a.Release}})
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
			v := to.OnHeartbeat(s.clock(to), n.self, hb)
			r := message.HeartbeatReply{Epoch: to.KnownEpoch(), SentAt: hb.SentAt, LeaseVote: v}
			if o, ok := to.Owner(); ok {
				r.Owner = &o
			}
			s.send(to, n, func() { n.OnHeartbeatReply(s.clock(n), to.self, r) })
		})
	}
}

func (s *sim) consent(n, to *node, r message.ConsentRequest) {
	s.send(n, to, func() {
		reply := to.OnConsentRequest(s.clock(to), n.self, r)
		if reply.Granted {
			s.granted[fmt.Sprint(r.Epoch, n.self.Incarnation, to.self.Incarnation)] = true
		}
		s.send(to, n, func() { n.OnConsentReply(s.clock(n), to.self, reply) })
	})
}

// hasConsent computes independently of State whether enough electors have consented
// to the next claim of n.
func (s *sim) hasConsent(n *node) bool {
	c, held := n.Claim()
	granted := 0
	for _, m := range c.Electors {
		if m == n.self || s.granted[fmt.Sprint(c.Epoch+1, n.self.Incarnation, m.Incarnation)] {
			granted++
		}
	}
	return !held || c.Owner == n.self || granted > len(c.Electors)-Majority(len(c.Electors))
}

func (s *sim) append(n *node, l logEntry) {
	if s.logCut(n) && s.loseOneIn(2) || s.loseOneIn(20) {
		return // lost; other appends take effect, some of them late
	}
	s.schedule(s.delay(), nil, func() { l.at = s.now; s.log = append(s.log, l) })
}

// read performs one read of at most three entries. It sees the log as of a time
// between its start and its end.
func (s *sim) read(n *node) {
	n.reading = true
	started, d := s.clock(n), time.Duration(1+s.rnd.Int64N(40))*ms
	if s.logCut(n) {
		s.schedule(d, n, func() { n.reading = false; n.OnLogReadFailed(s.clock(n)) })
		return
	}
	s.schedule(d/2, nil, func() {
		to := min(len(s.log), n.readPos+3)
		got, tail := s.log[n.readPos:to], to == len(s.log)
		s.schedule(d/2, n, func() {
			n.reading = false
			for _, l := range got {
				if l.entry.Claim != nil {
					n.FoldClaim(s.clock(n), *l.entry.Claim)
				} else {
					n.FoldRelease(s.clock(n), *l.entry.Release)
				}
			}
			n.readPos = to
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

// checkSingleOwner fails if two members may act, unless a claim without consent was
// made while the older owner was paused or could not reach the log. In that case
// the epochs must differ, so that the workers' fencing stops the older owner.
func (s *sim) checkSingleOwner() {
	act := s.acting()
	if len(act) < 2 {
		return
	}
	older, newer := act[0], act[len(act)-1]
	fenced := false
	epoch := uint64(0)
	for _, l := range s.log {
		c := l.entry.Claim
		if c == nil || c.Epoch != epoch+1 {
			continue
		}
		epoch++
		if epoch > older.Epoch() && epoch <= newer.Epoch() && !l.consent && older.lastFaultAt >= l.at {
			fenced = true
		}
	}
	if !fenced || older.Epoch() == newer.Epoch() {
		s.fail("at %v both %s (epoch %d) and %s (epoch %d) may act", s.now,
			older.self.Incarnation, older.Epoch(), newer.self.Incarnation, newer.Epoch())
	}
	s.fencedOverlaps++
}
