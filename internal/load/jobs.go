package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// queueJobs submits the jobs that wait before the first phase.
func (r *Runner) queueJobs(ctx context.Context, jobs []Arrival) {
	next := make(chan *Arrival)
	var wg sync.WaitGroup
	for range min(submitters, len(jobs)) {
		wg.Go(func() {
			for a := range next {
				r.queueJob(ctx, a)
			}
		})
	}
	for i := range jobs {
		r.stats.planned(&jobs[i], true)
		next <- &jobs[i]
	}
	close(next)
	wg.Wait()
}

func (r *Runner) queueJob(ctx context.Context, a *Arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.profile.Timeout)
	defer cancel()
	since := time.Now()
	answer, err := r.server().Submit(ctx, a.submit(r.prefix))
	if err != nil || answer.Outcome.Final() || answer.Job == "" {
		r.stats.ended(a, true, ended(answer, err, time.Since(since)))
		return
	}
	r.stats.accepted(a, true, time.Since(since))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued = append(r.queued, &queuedJob{a: a, id: answer.Job, since: since})
}

// poll asks about the queued jobs in rounds until each has ended.
func (r *Runner) poll(ctx context.Context) {
	for {
		open := r.openJobs()
		if len(open) == 0 {
			return
		}
		next := make(chan *queuedJob)
		var wg sync.WaitGroup
		for range pollers {
			wg.Go(func() {
				for j := range next {
					r.ask(ctx, j)
				}
			})
		}
		for _, j := range open {
			next <- j
		}
		close(next)
		wg.Wait()
		if !pause(ctx, pollPause) {
			return
		}
	}
}

// openJobs returns the queued jobs that have not ended.
func (r *Runner) openJobs() []*queuedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*queuedJob
	for _, j := range r.queued {
		if !j.ended {
			open = append(open, j)
		}
	}
	return open
}

func (r *Runner) ask(ctx context.Context, j *queuedJob) {
	ctx, cancel := context.WithTimeout(ctx, r.profile.Timeout)
	defer cancel()
	answer, err := r.server().Job(ctx, j.id, 0)
	if err == nil && answer.Outcome.Final() {
		r.end(j, ended(answer, nil, time.Since(j.since)))
	}
}

func (r *Runner) end(j *queuedJob, res result) {
	r.mu.Lock()
	first := !j.ended
	j.ended = true
	r.mu.Unlock()
	if first {
		r.stats.ended(j.a, true, res)
	}
}

// giveUp counts the queued jobs that have not ended as not finished in time.
func (r *Runner) giveUp() {
	for _, j := range r.openJobs() {
		r.end(j, result{outcome: model.OutcomeRunning, took: time.Since(j.since)})
	}
}

// startWaves cancels parts of the queued jobs at their times.
func (r *Runner) startWaves(ctx context.Context, start time.Time) {
	rng := rand.New(rand.NewPCG(uint64(r.profile.Seed), 4))
	for _, w := range r.profile.CancelWaves {
		seed := rng.Uint64()
		r.waiting.Go(func() {
			if pause(ctx, time.Until(start.Add(w.At))) {
				r.cancelWave(ctx, w, rand.New(rand.NewPCG(seed, 5)))
			}
		})
	}
}

func (r *Runner) cancelWave(ctx context.Context, w CancelWave, rng *rand.Rand) {
	slots := make(chan struct{}, submitters)
	var wg sync.WaitGroup
	for _, j := range r.openJobs() {
		if rng.Float64() >= w.Share {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, r.profile.Timeout)
			defer cancel()
			// The poll sees what became of the job, also of a lost answer.
			_, _ = r.server().Cancel(call, j.id)
		})
	}
	wg.Wait()
}
