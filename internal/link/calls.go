package link

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// batchPause lets calls, or answers, that come together go in one message, which
	// saves small VMs the work of many. Both ways it is a small part of the slack of
	// urgent work.
	batchPause = 5 * time.Millisecond
	// batchBytes bounds a message with calls, so that a narrow link (2 Mbit/s) can
	// carry a ping between two of them within half of its timeout.
	batchBytes = 16 << 10
	// rowBytes is about what a call needs beside its texts.
	rowBytes = 100
	// relayMargin is how much longer than the instance that makes a call its owner
	// waits. It covers the way there and back.
	relayMargin = 150 * time.Millisecond
	// silentAfter is the silence after which an instance gets no more calls. It
	// pings every 150 ms and may be late once.
	silentAfter = 500 * time.Millisecond
)

// ErrNotQueued reports a call that another instance was not asked to make, since
// the link to it is gone.
var ErrNotQueued = errors.New("the link to the instance is gone")

// ErrNotWritten reports a call that waited too long to be written. The instance
// certainly does not have it.
var ErrNotWritten = errors.New("the call was not written in time")

// errLost ends a call whose instance may have made it.
var errLost = errors.New("the link to the instance was lost")

// calls are the calls to workers that one connected instance makes for this one.
// It is safe for concurrent use.
type calls struct {
	conn *jsonrpc2.Conn
	now  func() model.Time

	mu     sync.Mutex
	last   uint64
	open   map[uint64]*outgoing
	queue  []*outgoing // not written yet
	sent   payloads    // that the instance has
	closed bool
	wake   chan struct{}
}

// outgoing is one call that another instance is to make.
type outgoing struct {
	row     callRow
	epoch   int64
	payload string
	written bool
	done    chan answerRow // closed if the link is lost
}

func newCalls(conn *jsonrpc2.Conn, now func() model.Time) *calls {
	c := &calls{conn: conn, now: now, open: map[uint64]*outgoing{}, wake: make(chan struct{}, 1)}
	go c.write()
	return c
}

// do sends a call and returns its answer. The error is ErrNotQueued,
// ErrNotWritten, or a CallError if the call may have been made.
func (c *calls) do(ctx context.Context, o *outgoing) (answerRow, error) {
	ctx, cancel := context.WithTimeout(ctx, o.row.timeout()+relayMargin)
	defer cancel()
	o.done = make(chan answerRow, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return answerRow{}, ErrNotQueued
	}
	c.last++
	o.row.Number = c.last
	c.open[c.last] = o
	c.queue = append(c.queue, o)
	c.mu.Unlock()
	wakeUp(c.wake)
	select {
	case a, ok := <-o.done:
		switch {
		case ok:
			return a, nil
		case o.written:
			return answerRow{}, &CallError{Method: methodCalls, Cause: errLost}
		}
		return answerRow{}, ErrNotQueued
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, o.row.Number)
	if !o.written {
		return answerRow{}, ErrNotWritten
	}
	return answerRow{}, &CallError{Method: methodCalls, Cause: ctx.Err()}
}

// write sends what is queued until the connection is closed.
func (c *calls) write() {
	for {
		select {
		case <-c.conn.DisconnectNotify():
			return
		case <-c.wake:
		}
		time.Sleep(batchPause)
		for {
			b, ok := c.take()
			if !ok {
				break
			}
			if err := c.conn.Notify(context.Background(), methodCalls, b); err != nil {
				_ = c.conn.Close()
				return
			}
		}
	}
}

// take removes the first calls of the queue that one message carries.
func (c *calls) take() (callBatch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, size, taken := callBatch{SentMs: millis(c.now())}, 0, 0
	for _, o := range c.queue {
		if len(b.Calls) > 0 && (size >= batchBytes || o.epoch != b.Epoch) {
			break
		}
		taken++
		if c.open[o.row.Number] != o {
			continue // given up
		}
		o.written, b.Epoch = true, o.epoch
		row := o.row
		if row.Kind == kindStart && c.sent.put(row.Task.Job, o.payload) {
			row.Payload = &o.payload
			size += len(o.payload)
		}
		size += rowBytes
		b.Calls = append(b.Calls, row)
	}
	c.queue = c.queue[taken:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	return b, len(b.Calls) > 0
}

// settle hands answers to those who wait for them.
func (c *calls) settle(b answerBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range b.Answers {
		if o := c.open[a.Number]; o != nil {
			delete(c.open, a.Number)
			o.done <- a
		}
	}
}

// close ends every open call and returns how many of them the instance may have
// made.
func (c *calls) close() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed, c.queue = true, nil
	lost := 0
	for n, o := range c.open {
		if o.written {
			lost++
		}
		close(o.done)
		delete(c.open, n)
	}
	return lost
}

func wakeUp(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start makes the peer start a run. It returns ErrNotQueued or ErrNotWritten if
// the peer certainly does not have the call, otherwise a CallError.
func (p *Peer) Start(ctx context.Context, s cell.Start) (cell.Verdict, error) {
	a, err := p.calls.do(ctx, &outgoing{epoch: s.Epoch, payload: s.Payload, row: callRow{
		Kind: kindStart, Worker: s.Worker, Address: s.Address, Task: taskName{s.Task}, Run: s.Run, LeaseMs: leaseMs(s.LeaseUntil),
		Checkpoint: s.Checkpoint, Permit: s.Permit, TimeoutMs: s.Timeout.Milliseconds(),
	}})
	return a.Verdict, err
}

// Stop makes the peer stop a run. The errors are those of Start.
func (p *Peer) Stop(ctx context.Context, s cell.Stop) (cell.Verdict, error) {
	a, err := p.calls.do(ctx, &outgoing{epoch: s.Epoch, row: callRow{
		Kind: kindStop, Worker: s.Worker, Address: s.Address, Task: taskName{s.Task}, Run: s.Run, TimeoutMs: s.Timeout.Milliseconds(),
	}})
	return a.Verdict, err
}

// Renew makes the peer extend a worker's lease. The errors are those of Start.
func (p *Peer) Renew(ctx context.Context, r cell.Renew) (cell.Renewed, error) {
	a, err := p.calls.do(ctx, &outgoing{epoch: r.Epoch, row: callRow{
		Kind: kindRenew, Worker: r.Worker, Address: r.Address, LeaseMs: leaseMs(r.LeaseUntil), AckedEnd: r.AckedEnd,
		WaitMs: r.Wait.Milliseconds(), TimeoutMs: r.Timeout.Milliseconds(),
	}})
	return a.renewed(r.Worker), err
}

// Usable reports whether the peer can be asked to make calls: it has not said that
// it leaves, and was heard a moment ago.
func (p *Peer) Usable() bool { return !p.leaving.Load() && p.raw.silence() < silentAfter }
