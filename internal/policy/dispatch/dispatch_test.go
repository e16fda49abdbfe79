package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

const mbit = 1_000_000 / 8

// Guards against a detour where the owner's link carries all calls, and against an
// owner that keeps to its own link where it does not.
func TestNeeded(t *testing.T) {
	for _, c := range []struct {
		name      string
		cores     float64
		bandwidth int64
		workers   int
		now       bool
		want      bool
	}{
		{"present site", 0.19, 1000 * mbit, 48, false, false},
		{"grown site, large VM", 0.8, 200 * mbit, 350, false, false},
		{"grown site, small VM", 0.192, 10 * mbit, 350, false, true},
		{"small twin", 0.12, 2 * mbit, 116, false, true},
		{"small twin with few workers", 0.12, 2 * mbit, 40, false, false},
		{"link not known", 0.8, 0, 350, false, false},
		{"nothing known", 0, 0, 3900, false, false},
		{"processor too small", 0.1, 1000 * mbit, 350, false, true},
		{"just below the limit", 1, 2 * mbit, 41, false, false},
		{"just below the limit, after it was above", 1, 2 * mbit, 41, true, true},
		{"far below the limit, after it was above", 1, 2 * mbit, 30, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(NeedsRelay(Instance{Cores: c.cores, Bandwidth: c.bandwidth}, c.workers, c.now), c.want)
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

func share(workers int, owner Instance, others []Instance) map[string]int {
	out := map[string]int{}
	for i := range workers {
		out[Choose(worker(i), owner, others, "")]++
	}
	return out
}

func worker(i int) model.WorkerName { return model.WorkerName(fmt.Sprintf("i-%08x", i*7919)) }

// Guards against links that get more than they carry.
func TestBalance(t *testing.T) {
	const workers = 4000
	t.Run("equal links", func(t *testing.T) {
		is := is.New(t)
		all := fleet(16, 2*mbit)
		got := share(workers, all[0], all[1:])
		each := float64(workers) / (15 + ownShare)
		for name, n := range got {
			want := each
			if name == all[0].Name {
				want *= ownShare
			}
			is.True(float64(n) > 0.7*want)
			is.True(float64(n) < 1.3*want)
		}
		is.Equal(len(got), 16)
	})
	t.Run("unlike links", func(t *testing.T) {
		is := is.New(t)
		others := append(fleet(8, 10*mbit), Instance{Name: "wide", Bandwidth: 200 * mbit})
		got := share(workers, Instance{Name: "owner", Bandwidth: 10 * mbit}, others)
		is.True(got["wide"] > workers*6/10) // 200 of 282.5
		is.True(got["wide"] < workers*8/10)
	})
	t.Run("unknown rate counts as wide", func(t *testing.T) {
		is := is.New(t)
		got := share(workers, Instance{Name: "owner", Bandwidth: 2 * mbit}, []Instance{{Name: "a"}, {Name: "b", Bandwidth: 2 * mbit}})
		is.True(got["a"] > workers*9/10)
	})
}

// Guards against calls that change their instance while it is up: two instances
// that call one worker at the same time need twice the connections.
func TestOnlyTheCallsOfALostInstanceMove(t *testing.T) {
	is := is.New(t)
	all := fleet(16, 2*mbit)
	less := append(append([]Instance{}, all[1:5]...), all[6:]...) // without vm-5
	moved := map[string]int{}
	for i := range 2000 {
		before, after := Choose(worker(i), all[0], all[1:], ""), Choose(worker(i), all[0], less, "")
		if before != after {
			is.Equal(before, "vm-5")
			moved[after]++
		}
	}
	is.Equal(len(moved), 15) // spread over all that are left
}

// The order in which instances connected must not matter: it differs for each
// owner.
func TestOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	all := fleet(5, 2*mbit)
	turned := []Instance{all[4], all[2], all[1], all[3]}
	for i := range 500 {
		is.Equal(Choose(worker(i), all[0], all[1:], ""), Choose(worker(i), all[0], turned, ""))
	}
}

// The calls to a worker that an instance does not reach go elsewhere, and those to
// other workers stay.
func TestAvoid(t *testing.T) {
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

// Without others the owner makes all calls, whatever became of earlier ones.
func TestAlone(t *testing.T) {
	is := is.New(t)
	is.Equal(Choose("i-1", Instance{Name: "owner", Bandwidth: 1}, nil, "owner"), "owner")
}
