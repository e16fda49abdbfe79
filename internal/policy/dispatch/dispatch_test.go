package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

const mbit = 1_000_000 / 8

// An owner relays calls only if its own link or processor is too small for them.
func TestNeedsRelay(t *testing.T) {
	for _, c := range []struct {
		name      string
		cores     float64
		bandwidth int64
		workers   int
		relaying  bool
		want      bool
	}{
		{"48 workers, wide link", 0.19, 1000 * mbit, 48, false, false},
		{"350 workers, large VM", 0.8, 200 * mbit, 350, false, false},
		{"350 workers, small VM", 0.192, 10 * mbit, 350, false, true},
		{"116 workers, narrow link", 0.12, 2 * mbit, 116, false, true},
		{"40 workers, narrow link", 0.12, 2 * mbit, 40, false, false},
		{"link unknown", 0.8, 0, 350, false, false},
		{"nothing known", 0, 0, 3900, false, false},
		{"processor too small", 0.1, 1000 * mbit, 350, false, true},
		{"just below the limit", 1, 2 * mbit, 41, false, false},
		{"just below the limit, after it was above", 1, 2 * mbit, 41, true, true},
		{"far below the limit, after it was above", 1, 2 * mbit, 30, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(NeedsRelay(Instance{Cores: c.cores, Bandwidth: c.bandwidth}, c.workers, c.relaying), c.want)
		})
	}
}

func fleet(n int, bandwidth int64) []Instance {
	out := make([]Instance, n)
	for i := range out {
		out[i] = Instance{Name: fmt.Sprintf("vm-%d", i), Bandwidth: bandwidth}
	}
	return out
}

func countChoices(workers int, owner Instance, others []Instance) map[string]int {
	out := map[string]int{}
	for i := range workers {
		out[Choose(worker(i), owner, others, "")]++
	}
	return out
}

func worker(i int) model.WorkerName { return model.WorkerName(fmt.Sprintf("i-%08x", i*7919)) }

// Guards against links that get more calls than they can carry.
func TestChooseBalancesByBandwidth(t *testing.T) {
	const workers = 4000
	t.Run("equal links", func(t *testing.T) {
		is := is.New(t)
		all := fleet(16, 2*mbit)
		got := countChoices(workers, all[0], all[1:])
		each := float64(workers) / (15 + ownerLinkShare)
		for name, n := range got {
			want := each
			if name == all[0].Name {
				want *= ownerLinkShare
			}
			is.True(float64(n) > 0.7*want)
			is.True(float64(n) < 1.3*want)
		}
		is.Equal(len(got), 16)
	})
	t.Run("different links", func(t *testing.T) {
		is := is.New(t)
		others := append(fleet(8, 10*mbit), Instance{Name: "wide", Bandwidth: 200 * mbit})
		got := countChoices(workers, Instance{Name: "owner", Bandwidth: 10 * mbit}, others)
		is.True(got["wide"] > workers*6/10) // 200 of 282.5
		is.True(got["wide"] < workers*8/10)
	})
	t.Run("unknown rate counts as wide", func(t *testing.T) {
		is := is.New(t)
		got := countChoices(workers, Instance{Name: "owner", Bandwidth: 2 * mbit}, []Instance{{Name: "a"}, {Name: "b", Bandwidth: 2 * mbit}})
		is.True(got["a"] > workers*9/10)
	})
}

// Guards against calls that move to another instance while theirs is up: two instances
// that call one worker at the same time need twice the connections.
func TestChooseMovesOnlyCallsOfLostInstance(t *testing.T) {
	is := is.New(t)
	all := fleet(16, 2*mbit)
	remaining := append(append([]Instance{}, all[1:5]...), all[6:]...) // without vm-5
	moved := map[string]int{}
	for i := range 2000 {
		before, after := Choose(worker(i), all[0], all[1:], ""), Choose(worker(i), all[0], remaining, "")
		if before != after {
			is.Equal(before, "vm-5")
			moved[after]++
		}
	}
	is.Equal(len(moved), 15) // spread over all remaining instances
}

// The choice must not depend on the order in which instances connected, since that
// differs between owners.
func TestChooseIgnoresOrder(t *testing.T) {
	is := is.New(t)
	all := fleet(5, 2*mbit)
	reordered := []Instance{all[4], all[2], all[1], all[3]}
	for i := range 500 {
		is.Equal(Choose(worker(i), all[0], all[1:], ""), Choose(worker(i), all[0], reordered, ""))
	}
}

// If an instance can't reach a worker, the calls to that worker move to another
// instance. Calls to other workers stay.
func TestChooseAvoidsInstance(t *testing.T) {
	is := is.New(t)
	all := fleet(5, 2*mbit)
	for i := range 500 {
		first := Choose(worker(i), all[0], all[1:], "")
		is.True(Choose(worker(i), all[0], all[1:], first) != first)
		for _, other := range all {
			if other.Name != first {
				is.Equal(Choose(worker(i), all[0], all[1:], other.Name), first)
			}
		}
	}
}

// Without other instances the owner makes all calls, even after failed ones.
func TestChooseWithoutOthersReturnsOwner(t *testing.T) {
	is := is.New(t)
	is.Equal(Choose("i-1", Instance{Name: "owner", Bandwidth: 1}, nil, "owner"), "owner")
}

// Guards against an owner of a large site that sends each call in a message of its own,
// since as many instances as there are relay its calls, most of them too small to be
// quick.
func TestRelaysAreFewAndLarge(t *testing.T) {
	is := is.New(t)
	large := func(n int, cores float64, bandwidth int64) []Instance {
		out := fleet(n, bandwidth)
		for i := range out {
			out[i].Name, out[i].Cores = fmt.Sprintf("%s-%v", out[i].Name, cores), cores
		}
		return out
	}
	all := append(large(132, 0.192, 20*mbit), large(14, 0.8, 200*mbit)...)
	got := Relays(all, 1100)
	is.Equal(len(got), minRelays)
	for _, i := range got {
		is.Equal(i.Cores, 0.8)
	}
	// Instances of one size: as many as the reserve takes.
	equal := Relays(large(146, 0.192, 20*mbit), 1100)
	sum := 0.0
	for _, i := range equal {
		sum += capacity(i)
	}
	is.True(sum >= relayReserve*1100)
	is.True(sum < relayReserve*1100+capacity(equal[0]))
	// Narrow links: all of them.
	is.Equal(len(Relays(large(15, 0.12, 2*mbit), 350)), 15)
	is.Equal(len(Relays(nil, 350)), 0)
}
