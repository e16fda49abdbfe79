package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// chaosEnv is the length of the fault phase in seconds.
	chaosEnv = "GENTIANPICK_CHAOS"
	// defaultChaos is short, for continuous integration.
	defaultChaos = 15 * time.Second
	chaosSeed    = 7
	chaosCallers = 12
	// longestPause is above the lease, so that a paused owner loses it.
	longestPause = 3 * time.Second
)

// Guards against two faults at once, in any order, that run a key twice,
// overload a worker, lose an accepted job, or answer what is not true.
func TestChaos(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	length := defaultChaos
	if s := os.Getenv(chaosEnv); s != "" {
		n, err := strconv.Atoi(s)
		is.NoErr(err)
		length = time.Duration(n) * time.Second
	}
	dir := t.TempDir()
	if keep := os.Getenv(keepEnv); keep != "" {
		dir = keep
	}
	cfg := defaultConfig()
	cfg.dcs = []string{"tartu", "voru"}
	c, err := newCluster(dir, cfg)
	t.Cleanup(c.close)
	is.NoErr(err)
	is.NoErr(c.ready())
	c.callers = startCallers(c, chaosCallers, chaosSeed)

	done := map[string]int{}
	for _, e := range disturb(c, time.Now().Add(length)) {
		done[e.verb]++
		t.Logf("%s %s", e.verb, e.instance)
		is.NoErr(e.err)
	}
	for _, dc := range cfg.dcs {
		_, err := c.owner(dc)
		is.NoErr(err) // a data centre has no owner after the faults have ended
	}
	n, err := c.check()
	t.Logf("%v of faults %v with seed %d: %v", length, done, chaosSeed, n)
	is.NoErr(err)
	is.True(n.done > 0)
	is.True(n.accepted > 0)
}

// disturbance is one fault that was brought about.
type disturbance struct {
	verb, instance string
	err            error
}

// disturb lets two sequences of faults run side by side until the deadline.
// Each has half of the instances, so that it ends what it began.
func disturb(c *cluster, deadline time.Time) []disturbance {
	results := make(chan []disturbance)
	for half := range 2 {
		go func() {
			var own []*instance
			for n, i := range c.instances {
				if n%2 == half {
					own = append(own, i)
				}
			}
			rng := rand.New(rand.NewPCG(chaosSeed, uint64(half)))
			var out []disturbance
			for time.Now().Before(deadline) {
				i := own[rng.IntN(len(own))]
				verb := []string{"crash", "pause", "replace", "drain"}[rng.IntN(4)]
				err := c.act(verb, i)
				time.Sleep(time.Duration(rng.Int64N(int64(longestPause))))
				if err == nil {
					switch verb {
					case "pause":
						err = c.act("continue", i)
					case "crash", "drain":
						err = c.act("start", i)
					}
				}
				if err != nil {
					err = fmt.Errorf("%s %s: %w", verb, i.name, err)
				}
				out = append(out, disturbance{verb, i.name, err})
			}
			results <- out
		}()
	}
	return append(<-results, <-results...)
}
