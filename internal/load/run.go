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
	// maxConcurrentSubmits is the number of queued jobs that are submitted concurrently.
	// Concurrent acceptances share a group commit of the log, so that a higher number
	// shortens the queueing.
	maxConcurrentSubmits = 64
	// maxConcurrentPolls is the number of queued jobs that are polled concurrently.
	maxConcurrentPolls = 8
	// pollInterval is the time between two rounds of polling the queued jobs. The end of
	// a queued job is noticed up to this much later, and the delay counts against its
	// deadline.
	pollInterval = 2 * time.Second
	// longPollWait is how long the server holds one query of a job of the mix while the
	// job has not ended.
	longPollWait = 20 * time.Second
	// timeoutMargin is the time that a call may take beyond the deadline of its work
	// before it times out, so that the answer of the server arrives first.
	timeoutMargin = 2 * time.Second
)

// Runner executes one profile.
type Runner struct {
	profile    *Profile
	servers    []*client.Client
	stats      *stats
	keyPrefix  string // of the idempotency keys
	inFlight   chan struct{}
	nextServer atomic.Uint64 // selects the server of the next call
	background sync.WaitGroup

	mu     sync.Mutex
	queued []*queuedJob
}

// queuedJob is a job that was queued before the first phase and accepted by a server.
type queuedJob struct {
	arrival     *Arrival
	id          model.JobID
	submittedAt time.Time
	ended       bool // accessed by one poller at a time
}

// NoServerError reports that no server was given.
type NoServerError struct{}

func (e *NoServerError) Error() string { return "at least one server is needed" }

// Code returns model.CodeBadRequest.
func (e *NoServerError) Code() model.Code { return model.CodeBadRequest }

// NewRunner returns a runner that distributes the load over the servers round-robin.
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

// nextClient returns the client of the next server, like a load balancer that distributes
// calls round-robin.
func (r *Runner) nextClient() *client.Client {
	return r.servers[r.nextServer.Add(1)%uint64(len(r.servers))]
}

// Run executes the profile and returns the result. If the context is cancelled, the result
// covers the time until then.
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

// send sends each arrival at its intended time, and returns at the end of the last phase.
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

// sleep waits for d, and reports whether it did so without the context being cancelled.
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

// submitArrival submits one arrival, waits for the outcome and records it.
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

// codedError is implemented by the client's errors that carry a code.
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
