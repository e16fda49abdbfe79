package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// submitQueuedJobs submits the jobs that are queued before the first phase and waits for
// all answers.
func (r *Runner) submitQueuedJobs(ctx context.Context, jobs []Arrival) {
	next := make(chan *Arrival)
	var wg sync.WaitGroup
	for range min(maxConcurrentSubmits, len(jobs)) {
		wg.Go(func() {
			for a := range next {
				r.submitQueuedJob(ctx, a)
			}
		})
	}
	for i := range jobs {
		r.stats.recordPlanned(&jobs[i], true)
		next <- &jobs[i]
	}
	close(next)
	wg.Wait()
}

func (r *Runner) submitQueuedJob(ctx context.Context, a *Arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.profile.Timeout)
	defer cancel()
	submittedAt := time.Now()
	answer, err := r.nextClient().Submit(ctx, a.submission(r.keyPrefix))
	if err != nil || answer.Outcome.Final() || answer.Job == "" {
		r.stats.recordEnd(a, true, newCallResult(answer, err, time.Since(submittedAt)))
		return
	}
	r.stats.recordAccepted(a, true, time.Since(submittedAt))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued = append(r.queued, &queuedJob{arrival: a, id: answer.Job, submittedAt: submittedAt})
}

// pollQueuedJobs polls the queued jobs in rounds until all have ended or ctx is cancelled.
func (r *Runner) pollQueuedJobs(ctx context.Context) {
	for {
		unfinished := r.unfinishedJobs()
		if len(unfinished) == 0 {
			return
		}
		next := make(chan *queuedJob)
		var wg sync.WaitGroup
		for range maxConcurrentPolls {
			wg.Go(func() {
				for j := range next {
					r.pollJob(ctx, j)
				}
			})
		}
		for _, j := range unfinished {
			next <- j
		}
		close(next)
		wg.Wait()
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}

// unfinishedJobs returns the queued jobs that have not ended.
func (r *Runner) unfinishedJobs() []*queuedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unfinished []*queuedJob
	for _, j := range r.queued {
		if !j.ended {
			unfinished = append(unfinished, j)
		}
	}
	return unfinished
}

func (r *Runner) pollJob(ctx context.Context, j *queuedJob) {
	ctx, cancel := context.WithTimeout(ctx, r.profile.Timeout)
	defer cancel()
	answer, err := r.nextClient().Job(ctx, j.id, 0)
	if err == nil && answer.Outcome.Final() {
		r.endJob(j, newCallResult(answer, nil, time.Since(j.submittedAt)))
	}
}

func (r *Runner) endJob(j *queuedJob, res callResult) {
	r.mu.Lock()
	first := !j.ended
	j.ended = true
	r.mu.Unlock()
	if first {
		r.stats.recordEnd(j.arrival, true, res)
	}
}

// endUnfinishedJobs records the queued jobs that have not ended as still running.
func (r *Runner) endUnfinishedJobs() {
	for _, j := range r.unfinishedJobs() {
		r.endJob(j, callResult{outcome: model.OutcomeRunning, took: time.Since(j.submittedAt)})
	}
}

// startCancelWaves starts the cancel waves of the profile, each at its time.
func (r *Runner) startCancelWaves(ctx context.Context, start time.Time) {
	rng := rand.New(rand.NewPCG(uint64(r.profile.Seed), 4))
	for _, w := range r.profile.CancelWaves {
		seed := rng.Uint64()
		r.background.Go(func() {
			if sleep(ctx, time.Until(start.Add(w.At))) {
				r.cancelWave(ctx, w, rand.New(rand.NewPCG(seed, 5)))
			}
		})
	}
}

func (r *Runner) cancelWave(ctx context.Context, w CancelWave, rng *rand.Rand) {
	inFlight := make(chan struct{}, maxConcurrentSubmits)
	var wg sync.WaitGroup
	for _, j := range r.unfinishedJobs() {
		if rng.Float64() >= w.Share {
			continue
		}
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			callCtx, cancel := context.WithTimeout(ctx, r.profile.Timeout)
			defer cancel()
			// The result is ignored: polling finds the outcome of the job, even if the
			// answer to the cancellation is lost.
			_, _ = r.nextClient().Cancel(callCtx, j.id)
		})
	}
	wg.Wait()
}
