package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/store"
)

// lookupTimeout bounds the reads of one lookup. Callers wait for 3 s.
const lookupTimeout = 2 * time.Second

// lookups reads the streams for requests about jobs that this instance does not know. Requests
// that arrive during a lookup share the next one: behind a store that answers slowly, every
// request would otherwise read all that the instance has not read yet, and delay the reads of
// all instances.
type lookups struct {
	mu      sync.Mutex
	waiting *lookup // of the requests that arrived since the current lookup began
	running bool
}

// lookup is one read of all streams that hold submissions.
type lookup struct {
	ids  map[jobs.ID]bool
	done chan struct{} // closed when err is set
	err  error
}

// read waits for a lookup of a job that begins after the call.
func (l *lookups) read(ctx context.Context, n *Node, id jobs.ID) error {
	l.mu.Lock()
	if l.waiting == nil {
		l.waiting = &lookup{ids: map[jobs.ID]bool{}, done: make(chan struct{})}
	}
	w := l.waiting
	w.ids[id] = true
	if !l.running {
		l.running = true
		go l.run(n)
	}
	l.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run carries out lookups until no request waits.
func (l *lookups) run(n *Node) {
	for {
		l.mu.Lock()
		w := l.waiting
		l.waiting, l.running = nil, w != nil
		l.mu.Unlock()
		if w == nil {
			return
		}
		w.err = n.readJobs(w.ids)
		close(w.done)
	}
}

// errReadsFail reports a stream whose newest reads have failed.
var errReadsFail = errors.New("the newest reads of the stream have failed")

// errNotLoaded reports that the cell is being loaded.
var errNotLoaded = errors.New("the cell is not loaded")

// readablePollPause separates looks at whether the reads of a follower succeed again.
const readablePollPause = 20 * time.Millisecond

// waitReadable waits until the reads of a follower succeed again, and reports whether they do.
// The follower repeats them, so that a lookup need not add its own.
func (f *follower) waitReadable(ctx context.Context, limit time.Duration) bool {
	deadline := f.n.deps.Now().Add(limit)
	for f.failing.Load() && ctx.Err() == nil && f.n.deps.Now() < deadline {
		sleep(ctx, readablePollPause)
	}
	return !f.failing.Load()
}

// readJobs reads all streams that hold submissions to their ends and applies the records of
// some jobs.
func (n *Node) readJobs(ids map[jobs.ID]bool) error {
	n.mu.Lock()
	g := n.generation
	// An owner reads the progress stream too: another instance may have taken over since,
	// and have accepted the job.
	followers := append(slices.Clone(n.submissionFollowers), n.progressFollower)
	n.mu.Unlock()
	if !g.loaded.Load() {
		return errNotLoaded
	}
	ctx, cancel := context.WithTimeout(g.ctx, lookupTimeout)
	defer cancel()
	for _, f := range followers {
		if f.stream == store.Progress && g.owner.Load() {
			continue // an owner does not follow it
		}
		if !f.waitReadable(ctx, minReadStall) {
			return &store.Error{Kind: store.NotApplied, Stream: f.stream, Cause: errReadsFail}
		}
	}
	errs := make([]error, len(followers))
	var reads sync.WaitGroup
	for i, f := range followers {
		reads.Go(func() { errs[i] = n.readJobRecords(ctx, g, f, ids) })
	}
	reads.Wait()
	return errors.Join(errs...)
}

// lookupJob returns the view of a job. If this instance does not know the job, it first
// reads the streams that hold submissions to their ends. The outcome is Refused if the
// store can't be read.
func (n *Node) lookupJob(ctx context.Context, id jobs.ID) (cell.JobView, Outcome) {
	deadline := n.deps.Now().Add(maxReloadWait)
	for {
		v, o, reloaded := n.lookupInGeneration(ctx, id)
		if !reloaded || ctx.Err() != nil || n.deps.Now() > deadline {
			return v, o
		}
		sleep(ctx, reloadPollPause)
	}
}

// lookupInGeneration is lookupJob for the current load of the cell. It also reports whether
// the cell is being loaded or was loaded again meanwhile, so that the answer says nothing.
func (n *Node) lookupInGeneration(ctx context.Context, id jobs.ID) (v cell.JobView, o Outcome, reloaded bool) {
	if v, known := n.view(id); known {
		return v, Outcome{Kind: Done}, false
	}
	unavailable := n.storeUnavailable()
	n.mu.Lock()
	g := n.generation
	n.mu.Unlock()
	if !g.loaded.Load() {
		return cell.JobView{}, unavailable, true
	}
	if err := n.lookups.read(ctx, n, id); err != nil {
		n.deps.Telemetry.Log("looking up job in store failed", LogFields{Subject: string(id), Reason: err.Error()})
		return cell.JobView{}, unavailable, false
	}
	n.flushEvents(ctx)
	if v, known := n.view(id); known {
		return v, Outcome{Kind: Done}, false
	}
	if g.ctx.Err() != nil || ctx.Err() != nil {
		return cell.JobView{}, unavailable, true
	}
	return cell.JobView{}, Outcome{Kind: NotFound}, false
}

// readJobRecords reads a stream from its follower's offset, or behind the newest append of an
// owner, to its end, and applies the submissions and the cancellations of some jobs. An
// owner also applies the claims that it finds.
func (n *Node) readJobRecords(ctx context.Context, g *generation, f *follower, ids map[jobs.ID]bool) error {
	partition, from := f.stream.Partition(), f.sharedOffset.Load()
	if f.stream == store.Progress {
		partition, from = cell.ProgressStream, max(from, g.appendedEnd.Load())
	}
	apply := n.submissionHandler(g, partition)
	for {
		b, err := n.deps.Store.Read(ctx, f.stream, from, 0, minReadStall)
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			switch kind, recordID := jobs.ParseKey(r.Key); {
			case kind == jobs.KindOwner && g.owner.Load():
				n.applyClaim(g, r) // an owner does not follow this stream
			case ids[recordID] && kind != jobs.KindProgress:
				apply(r)
			}
		}
		if from = b.NextOffset; from >= b.End {
			return nil
		}
	}
}
