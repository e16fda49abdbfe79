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
	// configWait is a long poll, so a new configuration arrives at once. It is
	// short enough that a silent connection is found well within the bound for
	// configurations to be in force.
	configWait = 900 * time.Millisecond
	// workersPause is far below the bound within which a draining worker must
	// get no more work. Workers write often, so a long poll would return at once.
	workersPause = 400 * time.Millisecond
	// workersStandby is the same for an instance that is not the owner.
	workersStandby = 1200 * time.Millisecond
	// standbyPause is how far behind an instance that is not the owner may be.
	// It takes part in the time to a takeover.
	standbyPause = 300 * time.Millisecond
	// submissionsPause is the same for submissions. An instance that is asked
	// for a job that it has not read yet, or takes the cell over, reads at once.
	submissionsPause = 3 * time.Second
	// ownerWait is the owner's long poll for submissions.
	ownerWait = time.Second
	// ownerPause lets submissions that come together be read by one call.
	ownerPause = 3 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed read.
	firstRetry = 40 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// follower reads one stream from its newest records on.
type follower struct {
	n      *Node
	stream store.Stream
	wait   time.Duration
	pause  time.Duration
	take   func(r store.Record)
	// after is called after each read, with the time at which it was sent.
	after  func(b store.Batch, sentAt model.Time)
	owned  *atomic.Bool // if set and true, the stream is read as the owner does
	paused *atomic.Bool // if set and true, the stream is not read

	next   int64
	wake   chan struct{}    // ends a pause
	at     atomic.Int64     // the same as next, for other goroutines
	readAt atomic.Int64     // model.Time at which the newest read to the end was sent
	loaded map[string]int64 // offsets of keys that the load has returned
	failed int
	behind bool // the last answer did not reach the end of the stream
}

func newFollower(n *Node, s store.Stream, wait, pause time.Duration, take func(store.Record)) *follower {
	return &follower{n: n, stream: s, wait: wait, pause: pause, take: take, wake: make(chan struct{}, 1)}
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
	f.loaded = map[string]int64{}
	for {
		p, err := f.n.deps.Store.Newest(ctx, f.stream, after)
		if err != nil {
			f.fail(ctx, err)
			if ctx.Err() != nil {
				return false
			}
			continue // the pages before need not be read again
		}
		f.succeed()
		if end < 0 {
			end = p.End // later pages may hold newer records, which are read again
		}
		for _, r := range p.Records {
			f.loaded[r.Key] = r.Offset
			f.take(r)
			after = r.Key
		}
		if !p.More || len(p.Records) == 0 {
			break
		}
	}
	f.moveTo(end)
	f.readAt.Store(int64(sent))
	return true
}

// age returns how old the follower's view of the stream may be.
func (f *follower) age() time.Duration {
	return f.n.deps.Now().Sub(model.Time(f.readAt.Load()))
}

func (f *follower) follow(ctx context.Context) {
	hurried := false
	for ctx.Err() == nil {
		if f.paused != nil && f.paused.Load() {
			sleep(ctx, standbyPause)
			continue
		}
		wait, pause := f.wait, f.pause
		switch {
		case f.stream == store.Workers && !f.n.IsOwner():
			pause = workersStandby
		case f.owned != nil && f.owned.Load():
			wait, pause = ownerWait, ownerPause
		}
		if hurried {
			wait = 0 // somebody waits for a read to the end
		}
		hurried = false
		if f.read(ctx, wait) && !f.behind {
			hurried = f.rest(ctx, pause)
		}
	}
}

// read takes what is new. It returns false after a failure, for which it has
// paused already.
func (f *follower) read(ctx context.Context, wait time.Duration) bool {
	sent := f.n.deps.Now()
	b, err := f.n.deps.Store.Read(ctx, f.stream, f.next, wait)
	if err != nil {
		if store.KindOf(err) == store.Expired {
			f.n.deps.Telemetry.Log("stream history gone", LogFields{Subject: f.stream.String(), Count: f.next})
			f.load(ctx)
			return true
		}
		f.fail(ctx, err)
		return false
	}
	f.succeed()
	for _, r := range b.Records {
		if at, ok := f.loaded[r.Key]; ok && at >= r.Offset {
			continue
		}
		f.take(r)
	}
	f.moveTo(b.NextOffset)
	f.behind = len(b.Records) > 0 && b.NextOffset < b.End
	if len(f.loaded) > 0 && f.next >= b.End {
		f.loaded = nil
	}
	if b.NextOffset >= b.End {
		f.readAt.Store(int64(sent))
		if f.after != nil {
			f.after(b, sent)
		}
	}
	return true
}

// rest pauses. It returns true if the stream is to be read at once.
func (f *follower) rest(ctx context.Context, d time.Duration) bool {
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

// hurry ends the present pause.
func (f *follower) hurry() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *follower) moveTo(offset int64) {
	f.next = offset
	f.at.Store(offset)
}

func (f *follower) succeed() {
	if f.failed > 0 {
		f.n.deps.Telemetry.Log("stream regained", LogFields{Subject: f.stream.String(), Count: int64(f.failed)})
	}
	f.failed = 0
	f.n.storeOK.Store(int64(f.n.deps.Now()))
}

func (f *follower) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failed == 0 {
		f.n.deps.Telemetry.Log("stream lost", LogFields{Subject: f.stream.String(), Reason: err.Error()})
	}
	f.failed++
	sleep(ctx, min(firstRetry<<min(f.failed-1, 5), lastRetry))
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

func (n *Node) takeConfig(r store.Record) {
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
	n.post(cell.ConfigChanged{Config: c})
}

func (n *Node) takeWorker(r store.Record) {
	name := model.WorkerName(r.Key)
	if len(r.Value) == 0 {
		n.dropWorker(name)
		return
	}
	info, err := n.deps.Decode.Worker(r.Key, r.Value)
	if err != nil {
		n.deps.Telemetry.Log("worker entry unreadable", LogFields{Subject: r.Key, Reason: err.Error()})
		n.dropWorker(name)
		return
	}
	n.mu.Lock()
	n.workers[name] = info
	n.dispatch.workers.Store(int64(len(n.workers)))
	n.mu.Unlock()
	n.post(cell.WorkerRegistered{Info: info})
}

func (n *Node) dropWorker(name model.WorkerName) {
	n.mu.Lock()
	_, known := n.workers[name]
	delete(n.workers, name)
	n.dispatch.workers.Store(int64(len(n.workers)))
	n.mu.Unlock()
	if known {
		n.post(cell.WorkerUnregistered{Name: name})
	}
}

func (n *Node) takeSubmission(l *life, part int) func(store.Record) {
	return func(r store.Record) {
		kind, id := jobs.ParseKey(r.Key)
		switch {
		case kind == jobs.KindJob && len(r.Value) == 0:
			n.send(l, cell.JobExpired{ID: id})
		case kind == jobs.KindJob:
			j, err := jobs.Decode[jobs.Job](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("submission unreadable", LogFields{Subject: r.Key, Reason: err.Error()})
				return
			}
			n.send(l, cell.JobAdded{Job: j, Partition: part})
		case kind == jobs.KindCancel && len(r.Value) > 0:
			n.send(l, cell.JobCancelled{ID: id, Partition: part})
		}
	}
}

func (n *Node) takeProgress(l *life) func(store.Record) {
	submission := n.takeSubmission(l, cell.ProgressStream)
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
			n.send(l, cell.ClaimRead{Claim: claim})
			n.follow(claim)
		case jobs.KindProgress:
			p, err := jobs.Decode[jobs.Progress](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("progress unreadable", LogFields{Subject: r.Key, Reason: err.Error()})
				return
			}
			n.send(l, cell.ProgressRead{ID: id, Progress: p})
		}
	}
}

// follow connects to the owner of a claim.
func (n *Node) follow(c jobs.Claim) {
	if n.submits.owner.Swap(c.Epoch) != c.Epoch {
		n.submits.refusals.forget()
	}
	if c.Owner == n.self || c.Released {
		n.client.SetOwner("", "")
		return
	}
	n.client.SetOwner(c.Address, c.Owner)
}
