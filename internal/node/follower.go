package node

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/listing"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/store"
)

// Long-poll waits and pauses between reads. Each call costs money and counts against the
// store's rate limit, so only the owner reads almost without pauses.
const (
	// configPollWait is the long-poll wait for the configuration, so that a new one
	// arrives at once. It is short enough that an unresponsive connection is detected
	// well within the time in which a configuration has to take effect.
	configPollWait = 900 * time.Millisecond
	// workersReadPause is far below the time within which a draining worker must stop
	// getting work. Workers write often, so a long poll would return at once.
	workersReadPause = 400 * time.Millisecond
	// standbyWorkersReadPause replaces workersReadPause on an instance that is not the
	// owner.
	standbyWorkersReadPause = 1200 * time.Millisecond
	// largeDirectory is the number of workers above which an instance that is not the
	// owner does not read each change of the directory, and standbyDirectoryRefresh how
	// often it lists the directory instead. Each worker writes its entry every 1.5 s, and
	// all instances share the rate at which the store is read: 147 instances that read
	// the changes of 1,100 workers took half of it.
	largeDirectory          = 256
	standbyDirectoryRefresh = 20 * time.Second
	// minLoadStall is how long the store may send nothing while a stream is loaded. It is
	// doubled after each failure, up to maxLoadStall: when all instances start at once,
	// a page waits behind those of the others, and asking again makes them wait longer.
	minLoadStall = time.Second
	maxLoadStall = 4 * time.Second
	// minReadStall is how long the store may send nothing while new records are read. A
	// stalled connection is detected within the time that callers wait. From the failure after
	// shortReads on it is doubled like minLoadStall: reads that are given up queue at the store
	// all the same, so that instances which all ask again after a fixed time would wait for
	// ever. After an outage, short waits find out sooner that the store answers again.
	minReadStall = 700 * time.Millisecond
	shortReads   = 3
	// standbyReadPause is the pause between reads of the progress stream on an instance
	// that is not the owner. It adds to the time that a takeover needs.
	standbyReadPause = 300 * time.Millisecond
	// standbySubmissionsReadPause is the same for submissions. An instance reads at once
	// if it is asked for a job that it has not read yet, or takes the cell over.
	standbySubmissionsReadPause = 3 * time.Second
	// ownerPollWait is the owner's long-poll wait for submissions.
	ownerPollWait = time.Second
	// ownerReadPause lets one call read all submissions of a burst.
	ownerReadPause = 3 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the backoff after a failed read.
	minReadBackoff = 40 * time.Millisecond
	maxReadBackoff = 400 * time.Millisecond
	// failingReads is the number of reads in a row after whose failure the store counts as
	// unavailable. A single one may be due to a broken connection.
	failingReads = 2
)

// follower loads the latest record of each key of one stream and then reads new records
// as they are appended.
type follower struct {
	n      *Node
	stream store.Stream
	wait   time.Duration
	pause  time.Duration
	apply  func(r store.Record)
	// afterRead, if set, is called after each read that reached the end of the stream,
	// with the time at which the read was sent.
	afterRead func(b store.Batch, sentAt model.Time)
	// loaded, if set, is called after each load with the keys that it returned.
	loaded    func(keys listing.List[string])
	ownerMode *atomic.Bool // if set and true, the stream is read with the owner's waits and pauses
	paused    *atomic.Bool // if set and true, reading is suspended
	// probes says that the stream is read with the shortest waits also after failures. Its answers
	// are small, and tell the others that the store answers again.
	probes bool

	nextOffset    int64
	wake          chan struct{}    // ends the pause between reads
	sharedOffset  atomic.Int64     // copy of nextOffset for other goroutines
	caughtUpAt    atomic.Int64     // model.Time at which the latest read that reached the end was sent
	loadedOffsets map[string]int64 // by key, offsets of the records that the load returned
	failures      int
	failing       atomic.Bool // the last failingReads reads have failed
	behind        bool        // the last read did not reach the end of the stream
}

func newFollower(n *Node, s store.Stream, wait, pause time.Duration, apply func(store.Record)) *follower {
	return &follower{n: n, stream: s, wait: wait, pause: pause, apply: apply, wake: make(chan struct{}, 1)}
}

func (f *follower) run(ctx context.Context) {
	if f.load(ctx) {
		f.follow(ctx)
	}
}

// load reads the latest record of each key. It returns false if ctx ended.
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
	complete := true
	for {
		p, err := f.n.deps.Store.Newest(ctx, f.stream, after, f.stallTimeout(minLoadStall, 0))
		if err != nil {
			f.readFailed(ctx, err)
			if ctx.Err() != nil {
				return false
			}
			continue // retries this page only
		}
		f.readSucceeded()
		if end < 0 {
			end = p.End // records after it that later pages hold already are read again
		}
		before := len(f.loadedOffsets)
		for _, r := range p.Records {
			f.loadedOffsets[r.Key] = r.Offset
			f.applySafely(r)
			after = listAfter(r.Key)
		}
		if !p.More {
			break
		}
		if len(f.loadedOffsets) == before {
			f.n.deps.Telemetry.Log("listing of stream repeats a page; ending it", LogFields{Subject: f.stream.String(), Count: int64(before)})
			complete = false
			break
		}
	}
	if !complete && f.stream != store.Workers {
		// A job that was not read may have run, or may have been cancelled.
		f.readFailed(ctx, errIncompleteListing)
		return false
	}
	f.setOffset(end)
	if f.loaded != nil {
		keys := slices.Collect(maps.Keys(f.loadedOffsets))
		if complete {
			f.loaded(listing.Whole(keys...))
		} else {
			f.loaded(listing.Part(keys...))
		}
	}
	f.caughtUpAt.Store(int64(sent))
	return true
}

// errIncompleteListing reports a listing that ended before its last page.
var errIncompleteListing = errors.New("listing of stream is incomplete")

// maxKeyBytes is the largest size of a key.
const maxKeyBytes = 255

// listAfter returns the key after which a listing goes on behind a page with the given last
// key. A key that is no valid text arrives with replacement characters, which sort elsewhere
// than its bytes; the listing then goes on behind all keys with such bytes at that place,
// none of which is a key of this project or the name of a worker.
func listAfter(last string) string {
	if i := strings.IndexRune(last, utf8.RuneError); i >= 0 {
		return last[:i] + strings.Repeat("\xff", max(0, maxKeyBytes-i))
	}
	return last
}

// applySafely applies a record. A panic, which one unforeseen record may cause, does not end
// the process or the reading of the stream.
func (f *follower) applySafely(r store.Record) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			f.n.deps.Telemetry.Log("applying record failed", LogFields{Subject: f.stream.String(), Reason: fmt.Sprintf("%.200v at %s", v, stack[:min(len(stack), maxPanicStack)]), Count: r.Offset})
			f.n.deps.Telemetry.Count("record_failures_total", f.stream.String())
		}
	}()
	f.apply(r)
}

// stallTimeout returns how long the store may send nothing: the given time at first, and twice
// as long after each failure that follows a number of them, except in a stream that probes.
func (f *follower) stallTimeout(first time.Duration, failures int) time.Duration {
	if f.probes {
		return first
	}
	return min(first<<min(max(0, f.failures-failures), 8), maxLoadStall)
}

// age returns the maximum staleness of the follower's view of the stream.
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
		if f.stream == store.Workers && f.n.dispatcher.workers.Load() > largeDirectory && !f.n.IsOwner() {
			f.waitPause(ctx, standbyDirectoryRefresh) // ended by readNow when the instance becomes the owner
			f.load(ctx)
			continue
		}
		wait, pause := f.wait, f.pause
		switch {
		case f.stream == store.Workers && !f.n.IsOwner():
			pause = standbyWorkersReadPause
		case f.ownerMode != nil && f.ownerMode.Load():
			wait, pause = ownerPollWait, ownerReadPause
		}
		if requested || f.failures > 0 {
			wait = 0 // a caller waits for a read that reaches the end, or the store may answer again
		}
		requested = false
		if f.read(ctx, wait) && !f.behind {
			requested = f.waitPause(ctx, pause)
		}
	}
}

// read reads and applies new records. It returns false after a failure, after which it has
// already waited for the backoff.
func (f *follower) read(ctx context.Context, wait time.Duration) bool {
	sent := f.n.deps.Now()
	b, err := f.n.deps.Store.Read(ctx, f.stream, f.nextOffset, wait, f.stallTimeout(minReadStall, shortReads))
	if err != nil {
		if store.KindOf(err) == store.Expired {
			f.n.deps.Telemetry.Log("stream records expired before they were read; loading stream again", LogFields{Subject: f.stream.String(), Count: f.nextOffset})
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
		f.applySafely(r)
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

// waitPause pauses between reads. It returns true if readNow ended the pause.
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

// readNow ends the current pause, or the next one if the follower is reading.
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
		f.n.deps.Telemetry.Log("reading stream succeeded after failures", LogFields{Subject: f.stream.String(), Count: int64(f.failures)})
	}
	f.failures = 0
	f.failing.Store(false)
	f.n.storeAnsweredAt.Store(int64(f.n.deps.Now()))
}

func (f *follower) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.n.deps.Telemetry.Log("reading stream failed; retrying", LogFields{Subject: f.stream.String(), Reason: err.Error()})
	}
	if errors.Is(err, errReadLost) {
		f.failures = 0 // the store answers
		return
	}
	f.failures++
	f.failing.Store(f.failures >= failingReads)
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
