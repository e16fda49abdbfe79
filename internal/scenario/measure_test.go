package scenario

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// measureEnv switches on the measurements, which print figures and compare
// none with a limit.
const measureEnv = "GENTIANPICK_MEASURE"

// Amounts of the measurements, from the target size of one data centre.
const (
	kills        = 12
	publishes    = 12
	replacements = 5
	startRate    = 47 // starts a second
	startTime    = 40 * time.Second
	largeWorkers = 217
	largeTasks   = 3500
	// finePause is the resolution of measured times.
	finePause = 5 * time.Millisecond
)

func measured(t *testing.T, cfg config) *cluster {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	is := is.New(t)
	c, err := newCluster(t.TempDir(), cfg)
	t.Cleanup(c.close)
	is.NoErr(err)
	is.NoErr(c.ready())
	return c
}

func summary(times []time.Duration) string {
	slices.Sort(times)
	return fmt.Sprintf("n %d, median %v, worst %v", len(times), times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
}

// since polls until the condition holds and returns the time from start.
func since(start time.Time, condition func() bool) time.Duration {
	for !condition() && time.Since(start) < patience {
		time.Sleep(finePause)
	}
	return time.Since(start)
}

// Guards against a takeover time that is claimed and not measured.
func TestMeasureTakeover(t *testing.T) {
	for _, guards := range []string{"guarded", "unguarded"} {
		t.Run(guards, func(t *testing.T) {
			t.Parallel()
			cfg := defaultConfig()
			cfg.guards, cfg.workers = guards, 8
			c := measured(t, cfg)
			is := is.New(t)
			var times []time.Duration
			for n := range kills {
				owner, err := c.owner("tartu")
				is.NoErr(err)
				start := time.Now()
				is.NoErr(c.act("crash", owner))
				times = append(times, nextAnswer(c, owner, start, n))
				is.NoErr(c.act("start", owner))
				for _, i := range c.instances {
					is.NoErr(c.waitStatus(i, "ready==true", "alive==2"))
				}
			}
			t.Logf("kill of the owner to the next answered request, %s workers: %s", guards, summary(times))
		})
	}
}

// nextAnswer sends requests through the survivors until one is done.
func nextAnswer(c *cluster, dead *instance, start time.Time, n int) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	first := make(chan time.Duration, 1)
	var wg sync.WaitGroup
	for k := 0; ctx.Err() == nil; k++ {
		for _, i := range c.instances {
			if i == dead {
				continue
			}
			wg.Go(func() {
				r := &request{submit: wire.Submit{Service: "check", BodyText: fmt.Sprintf(`{"run_ms":1,"result":"%d-%d-%s"}`, n, k, i.name)}}
				if t := send(i, r); t.answer.Outcome == model.OutcomeDone {
					select {
					case first <- t.ended.Sub(start):
						cancel()
					default:
					}
				}
			})
		}
		time.Sleep(5 * finePause)
	}
	wg.Wait()
	return <-first
}

// Guards against a publish time that is claimed and not measured.
func TestMeasurePublish(t *testing.T) {
	cfg := defaultConfig()
	cfg.dcs = []string{"tartu", "voru"}
	c := measured(t, cfg)
	is := is.New(t)
	var accepted, everywhere []time.Duration
	for n := range publishes {
		id := "measured-" + strconv.Itoa(n)
		start := time.Now()
		p, err := c.publish(c.instances[n%len(c.instances)], uint64(n+1), id, c.text(id))
		is.NoErr(err)
		is.True(p.Accepted)
		answered := time.Now()
		accepted = append(accepted, answered.Sub(start))
		everywhere = append(everywhere, since(answered, func() bool {
			for _, i := range c.instances {
				if s, err := c.status(i); err != nil || s.TextVersion < p.Version {
					return false
				}
			}
			return true
		}))
		time.Sleep(time.Second)
	}
	t.Logf("publish to accepted: %s", summary(accepted))
	t.Logf("accepted to in force on %d instances of 2 data centres: %s", len(c.instances), summary(everywhere))
}

// Guards against a recovery time that is claimed and not measured.
func TestMeasureReplacement(t *testing.T) {
	for _, size := range []struct{ workers, tasks int }{{50, 0}, {largeWorkers, largeTasks}} {
		t.Run(strconv.Itoa(size.workers), func(t *testing.T) {
			cfg := defaultConfig()
			cfg.workers, cfg.guards, cfg.shape = size.workers, "guarded", "cpu=64,memory=131072,slots=32"
			c := measured(t, cfg)
			is := is.New(t)
			cl := c.instances[0]
			for n := 0; n < size.tasks; n += 500 {
				a := send(cl, &request{job: true, submit: wire.Submit{Service: "plan", Tasks: 500, BodyText: `{"run_ms":3600000}`, Resources: &model.Resources{MilliCPU: 100, MemoryMB: 64}}})
				is.NoErr(a.err)
				is.Equal(a.answer.Outcome, model.OutcomeAccepted)
			}
			owner, err := c.owner("tartu")
			is.NoErr(err)
			is.NoErr(c.waitStatus(owner, fmt.Sprintf("tasks>=%d", size.tasks)))
			var follower, replaced, working []time.Duration
			for range replacements {
				owner, err := c.owner("tartu")
				is.NoErr(err)
				for _, i := range c.instances {
					is.NoErr(c.waitStatus(i, "ready==true", "alive==2"))
				}
				other := c.instances[(slices.Index(c.instances, owner)+1)%len(c.instances)]
				follower = append(follower, replaceTime(c, other))
				is.NoErr(c.waitStatus(other, "alive==2"))
				start := time.Now()
				replaced = append(replaced, replaceTime(c, owner))
				next, err := c.owner("tartu")
				is.NoErr(err)
				is.NoErr(c.waitStatus(next, fmt.Sprintf("tasks>=%d", size.tasks)))
				working = append(working, time.Since(start))
			}
			t.Logf("%d workers, %d tasks: replaced follower to ready: %s", size.workers, size.tasks, summary(follower))
			t.Logf("%d workers, %d tasks: replaced owner to ready: %s", size.workers, size.tasks, summary(replaced))
			t.Logf("%d workers, %d tasks: kill of the owner to a settled successor with every worker and task: %s", size.workers, size.tasks, summary(working))
			runs, violations, err := c.ledger()
			is.NoErr(err)
			is.Equal(len(violations), 0)
			t.Logf("%d runs of %d tasks", len(runs), size.tasks)
		})
	}
}

func replaceTime(c *cluster, i *instance) time.Duration {
	start := time.Now()
	if c.act("replace", i) != nil {
		return patience
	}
	return since(start, func() bool {
		s, err := c.status(i)
		return err == nil && s.Ready
	})
}

// Guards against a share of appends that is claimed and not measured.
func TestMeasureAppends(t *testing.T) {
	cfg := defaultConfig()
	cfg.workers = 50
	c := measured(t, cfg)
	is := is.New(t)
	before := appends(is, c)
	runs, _, err := c.ledger()
	is.NoErr(err)
	started := len(runs)
	rng := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / startRate)
	defer tick.Stop()
	for n := range int(startTime.Seconds() * startRate) {
		<-tick.C
		s := wire.Submit{Service: "check", BodyText: fmt.Sprintf(`{"run_ms":%d,"result":"%d"}`, 50+rng.IntN(400), n)}
		if n%10 == 0 {
			s.Service, s.Key = "book", model.Key(strconv.Itoa(n))
		}
		i := c.instances[n%len(c.instances)]
		wg.Go(func() { send(i, &request{submit: s}) })
	}
	wg.Wait()
	time.Sleep(time.Second) // lazy commits
	runs, violations, err := c.ledger()
	is.NoErr(err)
	is.Equal(len(violations), 0)
	n, a := len(runs)-started, appends(is, c)-before
	t.Logf("%d appends for %d starts at %d/s, a tenth keyed: %.3f appends per start", a, n, startRate, float64(a)/float64(n))
}

// appends returns how many appends the instances have made.
func appends(is *is.I, c *cluster) (n int) {
	for _, i := range c.instances {
		resp, err := httpjson.Do(context.Background(), control, httpjson.Request{Method: http.MethodGet, URL: i.url() + "/metrics"})
		is.NoErr(err)
		for lines := bufio.NewScanner(bytes.NewReader(resp.Body)); lines.Scan(); {
			if name, value, _ := strings.Cut(lines.Text(), " "); name == "gentianpick_appends" {
				v, err := strconv.Atoi(value)
				is.NoErr(err)
				n += v
			}
		}
	}
	return n
}
