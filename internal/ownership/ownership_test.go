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
	// Set before parsing, so that the command line can override them.
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

// injectFault applies one random fault. Except for a drained or replaced member,
// a fault ends after a bounded time.
func injectFault(t *rapid.T, s *sim) {
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
		n.linkCut[o.self.Name] = until
		if d%2 == 0 {
			o.linkCut[n.self.Name] = until
		}
	case "isolate":
		if d%2 == 0 {
			n.logCutFrom, n.logCutUntil = s.now+1500*ms, until
		}
		for _, o := range s.nodes {
			n.linkCut[o.self.Name], o.linkCut[n.self.Name] = until, until
		}
	case "split": // the members on the side of n may lose the log too
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
					o.linkCut[p.self.Name], p.linkCut[o.self.Name] = until, until
				}
			}
		}
	case "single": // only one member reaches the log; it loses its link to n, and later all links
		o := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")]
		later := s.now + time.Duration(rapid.IntRange(800, 1800).Draw(t, "later"))*ms
		for _, p := range s.nodes {
			if p != o {
				p.logCutFrom, p.logCutUntil = s.now, until
			}
			if d%2 == 0 {
				n.linkCut[p.self.Name] = later
			}
		}
		n.linkCut[o.self.Name], o.linkCut[n.self.Name] = until, until
		s.run(later)
		for _, p := range s.nodes {
			p.linkCut[o.self.Name], o.linkCut[p.self.Name] = until, until
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
		s.startNode(n.self.Name)
		s.nodes[len(s.nodes)-1].pausedUntil = s.now + d/4
	}
}

// TestSingleOwnerUnderFaults guards against two members that may act at the same
// time, and against a data centre that gets no owner after the faults have ended.
func TestSingleOwnerUnderFaults(t *testing.T) {
	runs, overlaps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "members"), t.Fatalf)
		s.run(2 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			injectFault(t, s)
			s.run(s.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*ms)
		}
		faultsEnd := s.now
		for s.now < faultsEnd+45*time.Second && len(s.acting()) == 0 || s.now < faultsEnd+7*time.Second {
			s.run(s.now + 100*ms)
		}
		if len(s.acting()) == 0 {
			t.Fatalf("no member may act %v after the last fault", s.now-faultsEnd)
		}
		runs++
		if s.fencedOverlaps > 0 {
			overlaps++
		}
	})
	t.Logf("%d runs, %d with two owners of which only the workers' fencing stops the older one", runs, overlaps)
}

// TestTakeoverTime guards against slow takeovers after members are killed: 3 s or
// more if a majority or half of them survives, 5 s or more if only a minority does.
func TestTakeoverTime(t *testing.T) {
	for _, tc := range []struct {
		members, killed int
		limit           time.Duration
	}{{2, 1, 3 * time.Second}, {3, 1, 3 * time.Second}, {4, 1, 3 * time.Second}, {5, 1, 3 * time.Second}, {3, 2, 5 * time.Second}} {
		is := is.New(t)
		worst := time.Duration(0)
		for seed := range uint64(50) {
			s := newSim(seed, tc.members, t.Fatalf)
			s.reliable = true
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

// TestOwnerKeepsLeaseDuringPartialFaults guards against a takeover, or an owner
// that stops acting, during a fault that still lets its lease be confirmed by
// the log or by lease votes.
func TestOwnerKeepsLeaseDuringPartialFaults(t *testing.T) {
	for name, inject := range map[string]func(s *sim, owner, other *node, until time.Duration){
		"one faulty link": func(s *sim, owner, other *node, until time.Duration) {
			owner.linkCut[other.self.Name], other.linkCut[owner.self.Name] = until, until
		},
		"log unreachable for the owner": func(s *sim, owner, _ *node, until time.Duration) { owner.logCutUntil = until },
		"log unreachable for all, one of three members dead": func(s *sim, _, other *node, until time.Duration) {
			other.dead = true
			for _, n := range s.nodes {
				n.logCutUntil = until
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				s := newSim(seed, 3, t.Fatalf)
				s.reliable = true
				s.run(4 * time.Second)
				owner := s.acting()[0]
				other := s.nodes[(slices.Index(s.nodes, owner)+1)%3]
				inject(s, owner, other, s.now+20*time.Second)
				for end := s.now + 15*time.Second; s.now < end; s.run(s.now + tick) {
					is.Equal(s.acting(), []*node{owner})
				}
			}
		})
	}
}
