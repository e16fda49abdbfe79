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
	// submitters is how many queued jobs are submitted at once. Acceptances
	// share a group commit, so that more of them in flight finish sooner.
	submitters = 64
	// pollers is how many queued jobs are asked about at once.
	pollers = 8
	// pollPause is the time between two rounds of questions about the queued
	// jobs. The end of such a job is seen up to this much late, which counts
	// against its deadline.
	pollPause = 2 * time.Second
	// jobWait is how long one question about an arrived job waits for its end.
	jobWait = 20 * time.Second
	// timeoutSlack is what a call may take beyond its work's deadline before
	// its caller gives up, so that the server's own answer arrives first.
	timeoutSlack = 2 * time.Second
)

// Runner sends the load of one profile.
type Runner struct {
	profile *Profile
	servers []*client.Client
	stats   *stats
	prefix  string // of keys
	open    chan struct{}
	next    atomic.Uint64 // server of the next call
	waiting sync.WaitGroup

	mu     sync.Mutex
	queued []*queuedJob
}

// queuedJob is one accepted job that was queued before the first phase.
type queuedJob struct {
	a     *Arrival
	id    model.JobID
	since time.Time
	ended bool // used by one poller at a time
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
		profile: p, stats: newStats(p.Warmup), open: make(chan struct{}, p.Concurrency),
		prefix: fmt.Sprintf("%s-%x", p.Name, time.Now().UnixNano()),
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

// server returns the client of the next call, as a balancer would.
func (r *Runner) server() *client.Client {
	return r.servers[r.next.Add(1)%uint64(len(r.servers))]
}

// Run carries out the profile and returns the result. When the context ends,
// the result holds what happened until then.
func (r *Runner) Run(ctx context.Context) *Result {
	jobs, arrivals := Plan(r.profile)
	before := r.scrape(ctx)
	r.queueJobs(ctx, jobs)
	start := time.Now()
	polled := make(chan struct{})
	polling, stopPolling := context.WithCancel(ctx)
	go func() { defer close(polled); r.poll(polling) }()
	r.startWaves(ctx, start)
	r.send(ctx, start, arrivals)
	end := time.Now()
	r.waiting.Wait()
	select {
	case <-polled:
	case <-ctx.Done():
	case <-time.After(time.Until(end.Add(r.profile.Drain))):
	}
	stopPolling()
	<-polled
	r.giveUp()
	after := r.scrape(ctx)
	return r.result(start, time.Since(start), before, after)
}

// send starts each arrival at its time.
func (r *Runner) send(ctx context.Context, start time.Time, arrivals []Arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		if !pause(ctx, time.Until(start.Add(a.At))) {
			return
		}
		r.stats.planned(a, false)
		select {
		case r.open <- struct{}{}:
			r.waiting.Go(func() {
				defer func() { <-r.open }()
				r.call(ctx, a, start.Add(a.At))
			})
		default:
			r.stats.dropped(a)
		}
	}
	if n := len(r.profile.Phases); n > 0 {
		total := time.Duration(0)
		for _, ph := range r.profile.Phases {
			total += ph.Duration
		}
		pause(ctx, time.Until(start.Add(total)))
	}
}

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, d time.Duration) bool {
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

// call makes one submission and waits for its end.
func (r *Runner) call(ctx context.Context, a *Arrival, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, max(r.profile.Timeout, a.Work.Deadline+timeoutSlack))
	defer cancel()
	c := r.server()
	if !a.Work.AsJob {
		answer, err := c.Request(ctx, a.submit(r.prefix))
		r.stats.ended(a, false, ended(answer, err, time.Since(intended)))
		return
	}
	answer, err := c.Submit(ctx, a.submit(r.prefix))
	if err == nil && answer.Outcome == model.OutcomeAccepted {
		r.stats.accepted(a, false, time.Since(intended))
	}
	for err == nil && !answer.Outcome.Final() && answer.Job != "" && ctx.Err() == nil {
		answer, err = c.Job(ctx, answer.Job, jobWait)
	}
	r.stats.ended(a, false, ended(answer, err, time.Since(intended)))
}

// coded is implemented by the errors of the client.
type coded interface{ Code() model.Code }

func ended(a wire.Answer, err error, took time.Duration) result {
	if err == nil {
		return result{outcome: a.Outcome, code: a.Code, took: took}
	}
	res := result{code: model.CodeInternal, took: took}
	var c coded
	if errors.As(err, &c) {
		res.code = c.Code()
	}
	return res
}
