package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/store"
)

// Waits and pauses of reads. Each call is priced and counts against the
// store's rate, so only the owner reads without a pause.
const (
	// configPollWait is a long poll, so a new configuration arrives at once. It is
	// short enough that a silent connection is found well within the bound for
	// configurations to be in force.
	configPollWait = 900 * time.Millisecond
	// workersReadPause is far below the bound within which a draining worker must
	// get no more work. Workers write often, so a long poll would return at once.
	workersReadPause = 400 * time.Millisecond
	// standbyWorkersReadPause is the same for an instance that is not the owner.
	standbyWorkersReadPause = 1200 * time.Millisecond
	// standbyReadPause is how far behind an instance that is not the owner may be.
	// It takes part in the time to a takeover.
	standbyReadPause = 300 * time.Millisecond
	// standbySubmissionsReadPause is the same for submissions. An instance that is asked
	// for a job that it has not read yet, or takes the cell over, reads at once.
	standbySubmissionsReadPause = 3 * time.Second
	// ownerPollWait is the owner's long poll for submissions.
	ownerPollWait = time.Second
	// ownerReadPause lets submissions that come together be read by one call.
	ownerReadPause = 3 * time.Millisecond
	// minReadBackoff and lastRetry bound the pause after a failed read.
	minReadBackoff = 40 * time.Millisecond
	maxReadBackoff = 400 * time.Millisecond
)

// follower reads one stream from its newest records on.
type follower struct {
	n      *Node
	stream store.Stream
	wait   time.Duration
	pause  time.Duration
	apply  func(r store.Record)
	// afterRead is called afterRead each read, with the time at which it was sent.
	afterRead func(b store.Batch, sentAt model.Time)
	ownerMode *atomic.Bool // if set and true, the stream is read as the owner does
	paused    *atomic.Bool // if set and true, the stream is not read

	nextOffset    int64
	wake          chan struct{}    // ends a pause
	sharedOffset  atomic.Int64     // the same as next, for other goroutines
	caughtUpAt    atomic.Int64     // model.Time at which the newest read to the end was sent
	loadedOffsets map[string]int64 // offsets of keys that the load has returned
	failures      int
	behind        bool // the last answer did not reach the end of the stream
}

func newFollower(n *Node, s store.Stream, wait, pause time.Duration, apply func(store.Record)) *follower {
	return &follower{n: n, stream: s, wait: wait, pause: pause, apply: apply, wake: make(chan struct{}, 1)}
}

func (f *follower) run(ctx context.Context) {
	if f.load(ctx) {
		f.follow(ctx)
	}
}

// load reads the newest records of all keys. It returns false if ctx ended.
func (f *follower) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		if f.tryLoad(ctx) {
			return true
		}
	}
	return false
}

func (f *follower) tryLoad(ctx context.Context) bool {
	after, end := "", int64(-1)
	sent := f.n.deps.Now()
	f.loadedOffsets = map[string]int64{}
	for {
		p, err := f.n.deps.Store.Newest(ctx, f.stream, after)
		if err != nil {
			f.readFailed(ctx, err)
			if ctx.Err() != nil {
				return false
			}
			continue // the pages before need not be read again
		}
		f.readSucceeded()
		if end < 0 {
			end = p.End // later pages may hold newer records, which are read again
		}
		for _, r := range p.Records {
			f.loadedOffsets[r.Key] = r.Offset
			f.apply(r)
			after = r.Key
		}
		if !p.More || len(p.Records) == 0 {
			break
		}
	}
	f.setOffset(end)
	f.caughtUpAt.Store(int64(sent))
	return true
}

// age returns how old the follower's view of the stream may be.
func (f *follower) age() time.Duration {
	return f.n.deps.Now().Sub(model.Time(f.caughtUpAt.Load()))
}

func (f *follower) follow(ctx context.Context) {
	requested := false
	for ctx.Err() == nil {
		if f.paused != nil && f.paused.Load() {
			sleep(ctx, standbyReadPause)
			continue
		}
		wait, pause := f.wait, f.pause
		switch {
		case f.stream == store.Workers && !f.n.IsOwner():
			pause = standbyWorkersReadPause
		case f.ownerMode != nil && f.ownerMode.Load():
			wait, pause = ownerPollWait, ownerReadPause
		}
		if requested {
			wait = 0 // somebody waits for a read to the end
		}
		requested = false
		if f.read(ctx, wait) && !f.behind {
			requested = f.waitPause(ctx, pause)
		}
	}
}

// read takes what is new. It returns false after a failure, for which it has
// paused already.
func (f *follower) read(ctx context.Context, wait time.Duration) bool {
	sent := f.n.deps.Now()
	b, err := f.n.deps.Store.Read(ctx, f.stream, f.nextOffset, wait)
	if err != nil {
		if store.KindOf(err) == store.Expired {
			f.n.deps.Telemetry.Log("stream history gone", LogFields{Subject: f.stream.String(), Count: f.nextOffset})
			f.load(ctx)
			return true
		}
		f.readFailed(ctx, err)
		return false
	}
	f.readSucceeded()
	for _, r := range b.Records {
		if at, ok := f.loadedOffsets[r.Key]; ok && at >= r.Offset {
			continue
		}
		f.apply(r)
	}
	f.setOffset(b.NextOffset)
	f.behind = len(b.Records) > 0 && b.NextOffset < b.End
	if len(f.loadedOffsets) > 0 && f.nextOffset >= b.End {
		f.loadedOffsets = nil
	}
	if b.NextOffset >= b.End {
		f.caughtUpAt.Store(int64(sent))
		if f.afterRead != nil {
			f.afterRead(b, sent)
		}
	}
	return true
}

// waitPause pauses. It returns true if the stream is to be read at once.
func (f *follower) waitPause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.wake:
		return true
	case <-ctx.Done():
	}
	return false
}

// readNow ends the present pause.
func (f *follower) readNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *follower) setOffset(offset int64) {
	f.nextOffset = offset
	f.sharedOffset.Store(offset)
}

func (f *follower) readSucceeded() {
	if f.failures > 0 {
		f.n.deps.Telemetry.Log("stream regained", LogFields{Subject: f.stream.String(), Count: int64(f.failures)})
	}
	f.failures = 0
	f.n.storeAnsweredAt.Store(int64(f.n.deps.Now()))
}

func (f *follower) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.n.deps.Telemetry.Log("stream lost", LogFields{Subject: f.stream.String(), Reason: err.Error()})
	}
	f.failures++
	sleep(ctx, min(minReadBackoff<<min(f.failures-1, 5), maxReadBackoff))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (n *Node) applyConfig(r store.Record) {
	c, err := n.deps.Decode.Config(r.Key, r.Value)
	if err != nil {
		n.deps.Telemetry.Log("configuration unreadable", LogFields{Reason: err.Error(), Count: r.Offset})
		return
	}
	if c == nil {
		return
	}
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.config.Store(c)
	n.deps.Telemetry.Log("configuration in force", LogFields{Count: c.Version})
	n.enqueue(cell.ConfigChanged{Config: c})
}

func (n *Node) applyWorker(r store.Record) {
	name := model.WorkerName(r.Key)
	if len(r.Value) == 0 {
		n.removeWorker(name)
		return
	}
	info, err := n.deps.Decode.Worker(r.Key, r.Value)
	if err != nil {
		n.deps.Telemetry.Log("worker entry unreadable", LogFields{Subject: r.Key, Reason: err.Error()})
		n.removeWorker(name)
		return
	}
	n.mu.Lock()
	n.workers[name] = info
	n.dispatcher.workers.Store(int64(len(n.workers)))
	n.mu.Unlock()
	n.enqueue(cell.WorkerListed{Info: info})
}

func (n *Node) removeWorker(name model.WorkerName) {
	n.mu.Lock()
	_, known := n.workers[name]
	delete(n.workers, name)
	n.dispatcher.workers.Store(int64(len(n.workers)))
	n.mu.Unlock()
	if known {
		n.enqueue(cell.WorkerUnlisted{Name: name})
	}
}

func (n *Node) submissionHandler(l *generation, partition int) func(store.Record) {
	return func(r store.Record) {
		kind, id := jobs.ParseKey(r.Key)
		switch {
		case kind == jobs.KindJob && len(r.Value) == 0:
			n.enqueueFrom(l, cell.JobDropped{ID: id})
		case kind == jobs.KindJob:
			j, err := jobs.Decode[jobs.Job](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("submission unreadable", LogFields{Subject: r.Key, Reason: err.Error()})
				return
			}
			n.enqueueFrom(l, cell.JobAdded{Job: j, Part: partition})
		case kind == jobs.KindCancel && len(r.Value) > 0:
			n.enqueueFrom(l, cell.JobCancelled{ID: id, Part: partition})
		}
	}
}

func (n *Node) progressHandler(l *generation) func(store.Record) {
	submission := n.submissionHandler(l, cell.InProgress)
	return func(r store.Record) {
		kind, id := jobs.ParseKey(r.Key)
		if kind == jobs.KindJob || kind == jobs.KindCancel {
			submission(r)
			return
		}
		if len(r.Value) == 0 {
			return
		}
		switch kind {
		case jobs.KindOwner:
			claim, err := jobs.Decode[jobs.Claim](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("claim unreadable", LogFields{Reason: err.Error()})
				return
			}
			n.enqueueFrom(l, cell.ClaimRead{Claim: claim})
			n.connectToOwner(claim)
		case jobs.KindProgress:
			p, err := jobs.Decode[jobs.Progress](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("progress unreadable", LogFields{Subject: r.Key, Reason: err.Error()})
				return
			}
			n.enqueueFrom(l, cell.ProgressRead{ID: id, Progress: p})
		}
	}
}

// connectToOwner connects to the owner of a claim.
func (n *Node) connectToOwner(c jobs.Claim) {
	if n.submitter.owner.Swap(c.Epoch) != c.Epoch {
		n.submitter.refusals.forget()
	}
	if c.Owner == n.self || c.Released {
		n.client.Target("", "")
		return
	}
	n.client.Target(c.Address, c.Owner)
}
