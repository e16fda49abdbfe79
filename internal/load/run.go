package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// maxConcurrentSubmits is how many queued jobs are submitted at once. Acceptances
	// share a group commit, so that more of them in flight finish sooner.
	maxConcurrentSubmits = 64
	// maxConcurrentPolls is how many queued jobs are asked about at once.
	maxConcurrentPolls = 8
	// pollInterval is the time between two rounds of questions about the queued
	// jobs. The end of such a job is seen up to this much late, which counts
	// against its deadline.
	pollInterval = 2 * time.Second
	// longPollWait is how long one question about an arrived job waits for its end.
	longPollWait = 20 * time.Second
	// timeoutMargin is what a call may take beyond its work's deadline before
	// its caller gives up, so that the server's own answer arrives first.
	timeoutMargin = 2 * time.Second
)

// Runner sends the load of one profile.
type Runner struct {
	profile    *Profile
	servers    []*client.Client
	stats      *stats
	keyPrefix  string // of keys
	inFlight   chan struct{}
	nextServer atomic.Uint64 // server of the next call
	background sync.WaitGroup

	mu     sync.Mutex
	queued []*queuedJob
}

// queuedJob is one accepted job that was queued before the first phase.
type queuedJob struct {
	arrival     *Arrival
	id          model.JobID
	submittedAt time.Time
	ended       bool // used by one poller at a time
}

// NoServerError reports a run without a server.
type NoServerError struct{}

func (e *NoServerError) Error() string { return "at least one server is needed" }

// Code returns model.CodeBadRequest.
func (e *NoServerError) Code() model.Code { return model.CodeBadRequest }

// NewRunner returns a runner that spreads the load over the servers.
func NewRunner(p *Profile, servers []string) (*Runner, error) {
	if len(servers) == 0 {
		return nil, &NoServerError{}
	}
	r := &Runner{
		profile: p, stats: newStats(p.Warmup), inFlight: make(chan struct{}, p.Concurrency),
		keyPrefix: fmt.Sprintf("%s-%x", p.Name, time.Now().UnixNano()),
	}
	for _, s := range servers {
		c, err := client.New(s)
		if err != nil {
			return nil, err
		}
		r.servers = append(r.servers, c)
	}
	return r, nil
}

// nextClient returns the client of the next call, as a balancer would.
func (r *Runner) nextClient() *client.Client {
	return r.servers[r.nextServer.Add(1)%uint64(len(r.servers))]
}

// Run carries out the profile and returns the result. When the context ends,
// the result holds what happened until then.
func (r *Runner) Run(ctx context.Context) *Result {
	jobs, arrivals := Plan(r.profile)
	before := r.scrape(ctx)
	r.submitQueuedJobs(ctx, jobs)
	start := time.Now()
	pollDone := make(chan struct{})
	pollCtx, stopPolling := context.WithCancel(ctx)
	go func() { defer close(pollDone); r.pollQueuedJobs(pollCtx) }()
	r.startCancelWaves(ctx, start)
	r.send(ctx, start, arrivals)
	end := time.Now()
	r.background.Wait()
	select {
	case <-pollDone:
	case <-ctx.Done():
	case <-time.After(time.Until(end.Add(r.profile.Drain))):
	}
	stopPolling()
	<-pollDone
	r.endUnfinishedJobs()
	after := r.scrape(ctx)
	return r.buildResult(start, time.Since(start), before, after)
}

// send starts each arrival at its time.
func (r *Runner) send(ctx context.Context, start time.Time, arrivals []Arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		if !sleep(ctx, time.Until(start.Add(a.At))) {
			return
		}
		r.stats.recordPlanned(a, false)
		select {
		case r.inFlight <- struct{}{}:
			r.background.Go(func() {
				defer func() { <-r.inFlight }()
				r.submitArrival(ctx, a, start.Add(a.At))
			})
		default:
			r.stats.recordDropped(a)
		}
	}
	if n := len(r.profile.Phases); n > 0 {
		total := time.Duration(0)
		for _, ph := range r.profile.Phases {
			total += ph.Duration
		}
		sleep(ctx, time.Until(start.Add(total)))
	}
}

// sleep waits and reports whether the context is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// submitArrival makes one submission and waits for its end.
func (r *Runner) submitArrival(ctx context.Context, a *Arrival, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, max(r.profile.Timeout, a.Work.Deadline+timeoutMargin))
	defer cancel()
	c := r.nextClient()
	if !a.Work.AsJob {
		answer, err := c.Request(ctx, a.submission(r.keyPrefix))
		r.stats.recordEnd(a, false, newCallResult(answer, err, time.Since(intended)))
		return
	}
	answer, err := c.Submit(ctx, a.submission(r.keyPrefix))
	if err == nil && answer.Outcome == model.OutcomeAccepted {
		r.stats.recordAccepted(a, false, time.Since(intended))
	}
	for err == nil && !answer.Outcome.Final() && answer.Job != "" && ctx.Err() == nil {
		answer, err = c.Job(ctx, answer.Job, longPollWait)
	}
	r.stats.recordEnd(a, false, newCallResult(answer, err, time.Since(intended)))
}

// codedError is implemented by the errors of the client.
type codedError interface{ Code() model.Code }

func newCallResult(a wire.Answer, err error, took time.Duration) callResult {
	if err == nil {
		return callResult{outcome: a.Outcome, code: a.Code, took: took}
	}
	res := callResult{code: model.CodeInternal, took: took}
	var c codedError
	if errors.As(err, &c) {
		res.code = c.Code()
	}
	return res
}
