package cell

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/policy/jobsize"
	"github.com/gentianpick/gentianpick/internal/policy/rank"
)

// work returns the CPU time of a job in core-seconds.
func (j *loadJob) work() float64 {
	sum := 0.0
	for i := range j.Steps {
		for task := range j.Steps[i].RunMs {
			sum += float64(j.Steps[i].MilliCPU) / 1000 * j.Steps[i].runTime(task).Seconds()
		}
	}
	return sum
}

// ofUse reports whether a job ended while its result was of use.
func (l *loadRun) ofUse(j *loadJob) bool {
	return j.finished != 0 && j.finished.Sub(j.submitted) <= rank.UselessFactor*j.objective(l.queueOf(j.Queue))
}

// sizeShares are the shares of the jobs of one queue that are in time, and that end while
// their results are of use: of all, and by tenth of a property.
type sizeShares struct {
	jobs            int
	inTime, useful  float64
	inTimeByTenth   [jobsize.Tenths]float64
	usefulByTenth   [jobsize.Tenths]float64
	largest, second float64 // useful shares of the largest tenth and of the fifth below it
}

// sharesBySize returns the shares of a queue by tenth of a property of its jobs.
func (l *loadRun) sharesBySize(queue string, size func(*loadJob) float64) sizeShares {
	var all []*loadJob
	for _, id := range l.order {
		if l.jobs[id].Queue == queue {
			all = append(all, l.jobs[id])
		}
	}
	slices.SortStableFunc(all, func(a, b *loadJob) int { return cmp.Compare(size(a), size(b)) })
	s := sizeShares{jobs: len(all)}
	share := func(part []*loadJob, of func(*loadJob) bool) float64 {
		n := 0
		for _, j := range part {
			if of(j) {
				n++
			}
		}
		return float64(n) / float64(len(part))
	}
	s.inTime, s.useful = share(all, l.inTime), share(all, l.ofUse)
	for d := range jobsize.Tenths {
		part := all[d*len(all)/jobsize.Tenths : (d+1)*len(all)/jobsize.Tenths]
		s.inTimeByTenth[d], s.usefulByTenth[d] = share(part, l.inTime), share(part, l.ofUse)
	}
	s.largest = s.usefulByTenth[jobsize.Tenths-1]
	s.second = share(all[7*len(all)/10:9*len(all)/10], l.ofUse)
	return s
}

func (s sizeShares) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d jobs, in time %.2f, useful %.2f; by tenth", s.jobs, s.inTime, s.useful)
	for d := range jobsize.Tenths {
		fmt.Fprintf(&b, "  %.2f/%.2f", s.inTimeByTenth[d], s.usefulByTenth[d])
	}
	return b.String()
}

// addWaves submits jobs of all queues at a share of the site's rates, in waves of 17 s and
// with a burst of checks and one of plans, as on the site's days. One in divisor of the
// site's jobs is submitted, with all their widths divided by it as well.
func (l *loadRun) addWaves(s *sim, n *simNode, d time.Duration, share float64, divisor int) {
	const swing, period = 0.55, 17.0
	r := rand.New(rand.NewPCG(l.seed, 31))
	for i := range largeQueues {
		q := largeQueues[i]
		if q.Name != "check" {
			q.width, q.maxWidth = q.width/float64(divisor), q.maxWidth/divisor
		} else {
			q.perSecond /= float64(divisor)
		}
		for at := 0.0; at < d.Seconds(); {
			rate := share * q.perSecond * (1 + swing*math.Sin(2*math.Pi*at/period))
			if q.Name == "check" && at >= 5 && at < 9 || q.Name == "plan" && at >= 18 && at < 22 {
				rate *= 1.8
			}
			at += r.ExpFloat64() / rate
			l.add(s, n, time.Duration(at*float64(time.Second)), q.randomJob(r))
		}
	}
}

// Guards against a queue that is served while its largest jobs are not: those with many
// tasks, and those with tasks of nearly half a worker.
func TestLargestJobsAreServedLikeOthers(t *testing.T) {
	const (
		divisor = 5
		share   = 1.5 // of the site's usual load
		load    = 28 * time.Second
		drain   = 16 * time.Second
		// handling is the owner's processor time for a call, times divisor.
		handling = 300 * time.Microsecond
	)
	properties := map[string]func(*loadJob) float64{
		"work":  (*loadJob).work,
		"CPU":   func(j *loadJob) float64 { return float64(j.Steps[0].MilliCPU) },
		"width": func(j *loadJob) float64 { return float64(len(j.Steps[0].RunMs)) },
	}
	for seed := range max(3, loadSeeds(t)) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, n := newLargeSitePart(seed+1, divisor)
			n.link = newSimLink(n, 0, handling)
			s.load.addWaves(s, n, load, share, divisor)
			s.run(load + drain)
			for _, v := range s.violations {
				t.Error(v)
			}
			t.Log("\n" + s.load.String())
			for _, q := range s.load.queues {
				for _, property := range sortedNames(properties) {
					shares := s.load.sharesBySize(q.Name, properties[property])
					t.Logf("%-8s by %-5s %v", q.Name, property, shares)
					is.True(shares.largest >= shares.useful/2)
					is.True(shares.second >= shares.useful/2)
				}
			}
		})
	}
}

// Guards against gangs that are given up since the permits of some members expire before
// their starts arrive: the store and the owner's link are slow under load, and the wider a
// gang is, the more often it loses all its runs that way.
func TestPermitsOutlastSlowStarts(t *testing.T) {
	const (
		divisor  = 5
		load     = 20 * time.Second
		handling = 600 * time.Microsecond // the owner's processor time for a call, times divisor
	)
	t.Parallel()
	is := is.New(t)
	s, n := newLargeSitePart(1, divisor)
	s.storeDelay = 100 * time.Millisecond
	n.link = newSimLink(n, 0, handling)
	dropped := 0
	record := s.onLog
	s.onLog = func(e Log) {
		record(e)
		if e.Message == "placement dropped before its start" && e.Reason == "permit expired" {
			dropped++
		}
	}
	s.load.addWaves(s, n, load, 1.1, divisor)
	s.run(load)
	t.Logf("%d starts with a permit that was over, %d dropped, %.0f core-seconds useful, %.0f wasted", s.expiredPermits, dropped, s.load.useful, s.load.wasted)
	t.Log("\n" + s.load.String())
	is.Equal(len(s.violations), 0)
	is.Equal(s.expiredPermits, 0)
}

// Guards against a gang that never starts on an idle site although its tasks fit, since each
// worker keeps room free for urgent work that only the site as a whole needs: two tasks of
// 7.2 cores were placed on a worker of 16, and one of 7.6.
func TestGangOfWideTasksStartsOnIdleSite(t *testing.T) {
	for _, milliCPU := range []int64{7200, 7600} {
		t.Run(fmt.Sprint(milliCPU, " millicores"), func(t *testing.T) {
			const workers = 100
			is := is.New(t)
			s, n := newGangSite(workers)
			id := s.load.add(s, n, 0, wideGang(3*workers/2, milliCPU, 3000)) // three quarters of the tasks that fit
			s.run(3 * time.Second)
			is.Equal(len(s.violations), 0)
			is.True(s.load.jobs[id].placed != 0)
		})
	}
}

// newGangSite returns a simulation of a site on which any worker may run any plan.
func newGangSite(workers int) (*sim, *simNode) {
	l := &loadRun{seed: 1, jobs: map[jobs.ID]*loadJob{}, failed: map[jobs.TaskRef]int{}}
	s := newSim(1, 0, workers)
	s.load = l
	s.onLog = func(e Log) { l.recordLog(s.now, e) }
	s.cfg = &jobs.Config{Version: 1}
	for _, q := range largeQueues {
		q.Eligibility = jobs.Eligibility{}
		l.queues = append(l.queues, q.loadQueue)
		s.cfg.Queues = append(s.cfg.Queues, q.Queue)
	}
	n := s.addNode(0.8)
	s.run(3 * time.Second)
	return s, n
}
