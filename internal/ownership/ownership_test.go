package ownership

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// Set before parsing, so that longer runs can override them.
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

// disturb applies one fault that ends by itself.
func disturb(t *rapid.T, s *sim) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	if act := s.acting(); len(act) > 0 && rapid.Bool().Draw(t, "owner") {
		n = act[0]
	}
	d := time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * ms
	until := s.now + d
	switch rapid.SampledFrom([]string{"pause", "log", "log for all", "link", "half link", "isolate", "split", "split", "single", "replace", "drain"}).Draw(t, "fault") {
	case "pause":
		n.pausedUntil = until
	case "log":
		n.logCutFrom, n.logCutUntil = s.now, until
	case "log for all":
		for _, o := range s.nodes {
			o.logCutFrom, o.logCutUntil = s.now, until
		}
	case "link", "half link":
		o := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")]
		n.linkCut[o.me.Name] = until
		if d%2 == 0 {
			o.linkCut[n.me.Name] = until
		}
	case "isolate":
		if d%2 == 0 {
			n.logCutFrom, n.logCutUntil = s.now+1500*ms, until
		}
		for _, o := range s.nodes {
			n.linkCut[o.me.Name], o.linkCut[n.me.Name] = until, until
		}
	case "split": // the side of n may lose the log too
		side := rapid.Uint8().Draw(t, "side")
		for i, o := range s.nodes {
			if o != n && side>>(i%8)&1 == 0 {
				continue
			}
			if d%2 == 0 {
				o.logCutFrom, o.logCutUntil = s.now, s.now+3*d
			}
			for j, p := range s.nodes {
				if p != n && side>>(j%8)&1 == 0 {
					o.linkCut[p.me.Name], p.linkCut[o.me.Name] = until, until
				}
			}
		}
	case "single": // one member keeps the log and loses the owner, later everybody
		o := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")]
		later := s.now + time.Duration(rapid.IntRange(800, 1800).Draw(t, "later"))*ms
		for _, p := range s.nodes {
			if p != o {
				p.logCutFrom, p.logCutUntil = s.now, until
			}
			if d%2 == 0 {
				n.linkCut[p.me.Name] = later
			}
		}
		n.linkCut[o.me.Name], o.linkCut[n.me.Name] = until, until
		s.run(later)
		for _, p := range s.nodes {
			p.linkCut[o.me.Name], o.linkCut[p.me.Name] = until, until
		}
	case "replace", "drain":
		if n.dead {
			return
		}
		if d%2 == 0 {
			n.Drain(s.clock(n))
			s.run(s.now + 500*ms)
		}
		n.dead = true
		s.start(n.me.Name)
		s.nodes[len(s.nodes)-1].pausedUntil = s.now + d/4
	}
}

// TestOneOwner guards against two owners at the same time, and against a data
// centre that stays without one after the faults are over.
func TestOneOwner(t *testing.T) {
	runs, exempt := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "members"), t.Fatalf)
		s.run(2 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			disturb(t, s)
			s.run(s.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*ms)
		}
		healed := s.now
		for s.now < healed+45*time.Second && len(s.acting()) == 0 || s.now < healed+7*time.Second {
			s.run(s.now + 100*ms)
		}
		if len(s.acting()) == 0 {
			t.Fatalf("nobody acts %v after the last fault", s.now-healed)
		}
		runs++
		if s.exempt > 0 {
			exempt++
		}
	})
	t.Logf("%d runs, %d with an older owner that only the fence stops", runs, exempt)
}

// TestTakeover guards against a takeover after a kill that takes 3 s or more,
// and against one without a majority that takes 5 s.
func TestTakeover(t *testing.T) {
	for _, tc := range []struct {
		members, killed int
		limit           time.Duration
	}{{2, 1, 3 * time.Second}, {3, 1, 3 * time.Second}, {4, 1, 3 * time.Second}, {5, 1, 3 * time.Second}, {3, 2, 5 * time.Second}} {
		is := is.New(t)
		worst := time.Duration(0)
		for seed := range uint64(50) {
			s := newSim(seed, tc.members, t.Fatalf)
			s.calm = true
			s.run(4 * time.Second)
			is.Equal(len(s.acting()), 1)
			owner := slices.Index(s.nodes, s.acting()[0])
			for i := range tc.killed {
				s.nodes[(owner+i)%tc.members].dead = true
			}
			killed := s.now
			for len(s.acting()) == 0 {
				s.run(s.now + tick)
			}
			worst = max(worst, s.now-killed)
		}
		t.Logf("%d of %d members killed: worst of 50 takeovers %v", tc.killed, tc.members, worst)
		is.True(worst < tc.limit)
	}
}

// TestOwnerStays guards against a takeover, or an owner that stops, because of
// a fault that leaves it evidence.
func TestOwnerStays(t *testing.T) {
	for what, cause := range map[string]func(s *sim, owner, other *node, until time.Duration){
		"one faulty link": func(s *sim, owner, other *node, until time.Duration) {
			owner.linkCut[other.me.Name], other.linkCut[owner.me.Name] = until, until
		},
		"log out for the owner": func(s *sim, owner, _ *node, until time.Duration) { owner.logCutUntil = until },
		"log out for all, one of three dead": func(s *sim, _, other *node, until time.Duration) {
			other.dead = true
			for _, n := range s.nodes {
				n.logCutUntil = until
			}
		},
	} {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				s := newSim(seed, 3, t.Fatalf)
				s.calm = true
				s.run(4 * time.Second)
				owner := s.acting()[0]
				other := s.nodes[(slices.Index(s.nodes, owner)+1)%3]
				cause(s, owner, other, s.now+20*time.Second)
				for end := s.now + 15*time.Second; s.now < end; s.run(s.now + tick) {
					is.Equal(s.acting(), []*node{owner})
				}
			}
		})
	}
}
