package succession

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	mbit = 1_000_000 / 8 // bytes a second
	// longestDelay is the slack of urgent work.
	longestDelay = 600 * time.Millisecond
)

// Guards against a small VM that owns the cell while a larger one could.
func TestClaimDelay(t *testing.T) {
	is := is.New(t)
	cores := func(c float64) VM { return VM{Cores: c} }
	is.True(ClaimDelay(cores(0.8), 350, 0.99) < ClaimDelay(cores(0.19), 350, 0)) // enough goes first
	is.True(ClaimDelay(cores(0.4), 350, 0) == 0)
	is.True(ClaimDelay(cores(0.3), 350, 0.5) < ClaimDelay(cores(0.2), 350, 0.5))
	is.True(ClaimDelay(cores(0), 350, 0.99) < longestDelay)
}

// Guards against an owner whose link is short of its work: all its calls are
// late, whatever its processor.
func TestClaimDelayWeighsTheLink(t *testing.T) {
	for _, c := range []struct {
		name          string
		workers       int
		first, second VM
	}{
		{"both before processor alone", 350, VM{0.8, 200 * mbit}, VM{0.8, 2 * mbit}},
		{"both before link alone", 350, VM{0.8, 200 * mbit}, VM{0.19, 200 * mbit}},
		{"just enough of both before much processor", 350, VM{RequiredCores, 17 * mbit}, VM{4, 10 * mbit}},
		{"a link that is not known is enough", 350, VM{0.8, 0}, VM{0.8, 10 * mbit}},
		{"narrow link, few workers", 48, VM{0.8, 10 * mbit}, VM{0.8, 2 * mbit}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(ClaimDelay(c.first, c.workers, 0.999) < ClaimDelay(c.second, c.workers, 0))
		})
	}
}

// Where no VM has enough, the better one goes first.
func TestClaimDelayOfWeakVMs(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second VM
	}{
		{"by processor", VM{0.3, 200 * mbit}, VM{0.2, 200 * mbit}},
		{"by link", VM{0.8, 10 * mbit}, VM{0.8, 2 * mbit}},
		{"by what is shorter", VM{0.19, 10 * mbit}, VM{0.8, 2 * mbit}},
		{"by both", VM{0.19, 10 * mbit}, VM{0.12, 2 * mbit}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, tie := range []float64{0, 0.5, 0.999} {
				is.True(ClaimDelay(c.first, 350, tie) < ClaimDelay(c.second, 350, tie))
			}
		})
	}
}

// A cell with few workers needs less of the link. Its VMs claim as if there were
// no bound.
func TestNeedGrowsWithWorkers(t *testing.T) {
	is := is.New(t)
	narrow := VM{0.8, 10 * mbit}
	is.True(ClaimDelay(narrow, 48, 0) == 0)
	is.True(ClaimDelay(narrow, 0, 0) == 0) // the directory is not read yet
	is.True(ClaimDelay(narrow, 350, 0) > 0)
	is.True(ClaimDelay(narrow, 350, 0.5) < ClaimDelay(narrow, 3500, 0.5))
}

// Guards against a cell that changes its owner again and again.
func TestMakesWay(t *testing.T) {
	is := is.New(t)
	const long = time.Minute
	way := func(own, other float64, since, linked time.Duration) bool {
		return ShouldHandOver(VM{Cores: own}, VM{Cores: other}, 350, since, linked)
	}
	is.True(way(0.19, 0.8, long, long))
	is.True(!way(0.19, 0.8, long, time.Second)) // it may be restarting
	is.True(!way(0.19, 0.8, time.Second, long))
	is.True(!way(0.19, 0.3, long, long)) // no better
	is.True(!way(0.5, 4, long, long))    // good enough
}

func TestMakesWayWeighsTheLink(t *testing.T) {
	for _, c := range []struct {
		name       string
		workers    int
		own, other VM
		want       bool
	}{
		{"narrow link, the other has both", 350, VM{0.8, 2 * mbit}, VM{0.8, 200 * mbit}, true},
		{"the other has the processor only", 350, VM{0.19, 10 * mbit}, VM{0.8, 2 * mbit}, false},
		{"the other has the link only", 350, VM{0.8, 2 * mbit}, VM{0.19, 200 * mbit}, false},
		{"the other's link is not known", 350, VM{0.19, 10 * mbit}, VM{0.8, 0}, true},
		{"own link is not known", 350, VM{0.8, 0}, VM{0.8, 200 * mbit}, false},
		{"few workers", 48, VM{0.8, 10 * mbit}, VM{0.8, 200 * mbit}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ShouldHandOver(c.own, c.other, c.workers, time.Minute, time.Minute), c.want)
		})
	}
}

// Two VMs never make way to each other, even if workers come and go between;
// a VM with enough claims before one without; and no delay is too long.
func TestRandomVMs(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	vm := func() VM {
		v := VM{Cores: rnd.Float64()}
		if rnd.IntN(4) > 0 {
			v.Bandwidth = 1 + rnd.Int64N(40*mbit)
		}
		return v
	}
	for range 100_000 {
		a, b := vm(), vm()
		m, n := rnd.IntN(1000), rnd.IntN(1000)
		is.True(!(ShouldHandOver(a, b, m, time.Minute, time.Minute) && ShouldHandOver(b, a, n, time.Minute, time.Minute)))
		tieA, tieB := rnd.Float64(), rnd.Float64()
		delayA, delayB := ClaimDelay(a, m, tieA), ClaimDelay(b, m, tieB)
		is.True(delayA >= 0 && delayA < longestDelay)
		if ShouldHandOver(a, b, m, time.Minute, time.Minute) {
			is.True(delayB < delayA)
		}
	}
}
