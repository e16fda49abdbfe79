package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// callerPause keeps one caller below ten requests a second, so that the
	// callers measure the scheduler and not the machine.
	callerPause = 100 * time.Millisecond
	// callWait is above every deadline of the text, so that an instance answers
	// before its caller gives up.
	callWait = 40 * time.Second
)

// try is one submission of a request and its answer.
type try struct {
	via    *instance
	answer wire.Answer
	err    error
	sent   time.Time
	ended  time.Time
}

// request is one request of a caller with all its tries. Each has a body of
// its own, which the ledger's runs repeat as a hash.
type request struct {
	submit wire.Submit
	result string
	tries  []try
	job    bool
}

// whole returns the result of all tasks; that of several is a JSON array.
func (r *request) whole() string {
	if r.submit.Tasks < 2 {
		return r.result
	}
	return "[" + strings.Repeat(strconv.Quote(r.result)+",", r.submit.Tasks-1) + strconv.Quote(r.result) + "]"
}

// callers submit work through random instances until they are stopped.
type callers struct {
	c    *cluster
	stop func()

	mu   sync.Mutex
	done []*request
}

// startCallers starts n callers. Every third request has a key and every tenth
// is a batch job.
func startCallers(c *cluster, n int, seed uint64) *callers {
	s := &callers{c: c}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for k := range n {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(k)))
			for i := 0; ctx.Err() == nil; i++ {
				r := s.next(rng, fmt.Sprintf("%d-%d-%d", seed, k, i), i)
				s.submit(rng, r)
				s.mu.Lock()
				s.done = append(s.done, r)
				s.mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	s.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	return s
}

func (s *callers) next(rng *rand.Rand, id string, i int) *request {
	r := &request{result: "result " + id}
	r.submit = wire.Submit{Service: "check", BodyText: fmt.Sprintf(`{"run_ms":%d,"result":%q}`, 20+rng.IntN(250), r.result)}
	switch {
	case i%10 == 9:
		r.job, r.submit.Service, r.submit.Tasks = true, "plan", 1+rng.IntN(6)
	case i%3 == 0:
		r.submit.Service, r.submit.Key = "book", model.Key(id)
	}
	return r
}

// submit sends a request, and a keyed one that has no final answer once more
// elsewhere, as a caller does.
func (s *callers) submit(rng *rand.Rand, r *request) {
	for range 2 {
		i := s.c.instances[rng.IntN(len(s.c.instances))]
		t := send(i, r)
		r.tries = append(r.tries, t)
		if r.submit.Key == "" || t.answer.Outcome == model.OutcomeDone || t.answer.Outcome == model.OutcomeFailed {
			return
		}
	}
}

func send(i *instance, r *request) try {
	cl, err := client.New(i.url())
	if err != nil {
		return try{via: i, err: err}
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
	defer cancel()
	t := try{via: i, sent: time.Now()}
	if r.job {
		t.answer, t.err = cl.Submit(ctx, r.submit)
	} else {
		t.answer, t.err = cl.Request(ctx, r.submit)
	}
	t.ended = time.Now()
	return t
}

// counts says what came of the callers' requests.
type counts struct {
	requests, keyed, jobs, tasks  int
	done, failed, notRun, unknown int
	accepted, broken, runs        int
	drained                       int // in progress when a drain of their instance began
}

func (n counts) String() string {
	return fmt.Sprintf("%d requests (%d keyed, %d jobs with %d tasks); answers: %d done, %d failed, %d not_run, %d unknown, %d accepted, %d connections broken; %d in progress at a drain; %d runs",
		n.requests, n.keyed, n.jobs, n.tasks, n.done, n.failed, n.notRun, n.unknown, n.accepted, n.broken, n.drained, n.runs)
}

// audit compares every answer with the ledger of the workers.
type audit struct {
	c      *cluster
	runs   map[uint64][]standin.Run // by body
	counts counts
	errs   []error
}

// check audits the cluster and its callers, if any. Accepted jobs are waited
// for, which needs a data centre that works.
func (c *cluster) check() (counts, error) {
	a := &audit{c: c, runs: map[uint64][]standin.Run{}}
	if c.callers != nil {
		c.callers.stop()
		for _, r := range c.callers.done {
			a.finished(r)
		}
	}
	runs, violations, err := c.ledger()
	if err != nil {
		return a.counts, err
	}
	for _, v := range violations {
		a.errorf("workers saw %s: task %s of %s on %s, key %q", v.Kind, v.Task, v.Service, v.Worker, v.Key)
	}
	keys := map[model.Key]model.TaskID{}
	for _, r := range runs {
		a.runs[r.Body] = append(a.runs[r.Body], r)
		if r.Service != "book" {
			continue
		}
		if first, twice := keys[r.Key]; twice {
			a.errorf("key %s ran as %s and as %s on %s", r.Key, first, r.Task, r.Worker)
		}
		keys[r.Key] = r.Task
	}
	a.counts.runs = len(runs)
	if c.callers != nil {
		for _, r := range c.callers.done {
			a.request(r)
		}
	}
	return a.counts, errors.Join(a.errs...)
}

func (a *audit) errorf(format string, args ...any) {
	a.errs = append(a.errs, fmt.Errorf(format, args...))
}

// finished waits for the end of an accepted job, through any instance.
func (a *audit) finished(r *request) {
	if !r.job || r.tries[0].answer.Outcome != model.OutcomeAccepted {
		return
	}
	var last wire.Answer
	err := until(func() error {
		var failed error
		for _, i := range a.c.instances {
			cl, err := client.New(i.url())
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			last, err = cl.Job(ctx, r.tries[0].answer.Job, time.Second)
			cancel()
			cl.Close()
			if err == nil && last.Outcome == model.OutcomeDone {
				return nil
			}
			failed = errors.Join(err, fmt.Errorf("accepted job %s is %s %s", r.tries[0].answer.Job, last.Outcome, last.Code))
		}
		return failed
	})
	if err != nil {
		a.errs = append(a.errs, err)
	} else if n := last.Tasks; r.submit.Tasks > 1 && (n == nil || n.Done != r.submit.Tasks) {
		a.errorf("job %s is done with %+v of %d tasks", r.tries[0].answer.Job, last.Tasks, r.submit.Tasks)
	}
}

// request checks each answer of one request against the runs with its body.
func (a *audit) request(r *request) {
	a.counts.requests++
	if r.submit.Key != "" {
		a.counts.keyed++
	}
	if r.job {
		a.counts.jobs++
		a.counts.tasks += r.submit.Tasks
	}
	runs := a.runs[xxhash.Sum64([]byte(r.submit.BodyText))]
	for n, t := range r.tries {
		if a.c.draining(t) {
			a.counts.drained++
		}
		if t.err != nil {
			a.counts.broken++
			var e *client.TransportError
			if a.c.draining(t) && !(errors.As(t.err, &e) && e.NotSent) {
				a.errorf("%s: the drain of %s interrupted a request sent at %v: %v", r.result, t.via.name, t.sent, t.err)
			}
			continue
		}
		switch t.answer.Outcome {
		case model.OutcomeDone:
			a.counts.done++
			if t.answer.ResultText != r.whole() {
				a.errorf("%s %s: answer %q is not the caller's own %q", r.submit.Service, r.submit.Key, t.answer.ResultText, r.whole())
			}
			if !ended(runs, model.TaskDone) {
				a.errorf("%s: answered done without a run that ended", r.result)
			}
		case model.OutcomeFailed:
			a.counts.failed++
			if !ended(runs, model.TaskFailed, model.TaskStopped) {
				a.errorf("%s: answered failed (%s %s) without a failed run", r.result, t.answer.Code, t.answer.Message)
			}
		case model.OutcomeNotRun:
			a.counts.notRun++
			last := n == len(r.tries)-1
			for _, run := range runs {
				if last || run.Start < time.Duration(t.ended.UnixNano()) {
					a.errorf("%s: answered not_run (%s %s) but ran as %s on %s, answer of try %d %v after the start",
						r.result, t.answer.Code, t.answer.Message, run.Task, run.Worker, n, time.Duration(t.ended.UnixNano())-run.Start)
				}
			}
		case model.OutcomeAccepted:
			a.counts.accepted++
			if jobs := indices(runs); len(jobs) != r.submit.Tasks {
				a.errorf("%s: %d of %d tasks ran to their end", r.result, len(jobs), r.submit.Tasks)
			}
		default:
			a.counts.unknown++
		}
	}
}

func ended(runs []standin.Run, states ...model.TaskState) bool {
	for _, r := range runs {
		for _, s := range states {
			if r.State == s {
				return true
			}
		}
	}
	return false
}

// indices returns the tasks of a job that ran to their end. A task id ends
// with the task's index and the attempt.
func indices(runs []standin.Run) map[string]bool {
	done := map[string]bool{}
	for _, r := range runs {
		if r.State == model.TaskDone {
			id := string(r.Task)
			done[id[:strings.LastIndexByte(id, '/')]] = true
		}
	}
	return done
}
