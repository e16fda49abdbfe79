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
	// batchDelay is how long a call or reply waits for others to share its message.
	// Fewer messages save processor time on small VMs. The delay is added in both
	// directions, and is small compared with the slack of urgent work.
	batchDelay = 5 * time.Millisecond
	// maxBatchBytes bounds the size of a batch, so that a ping that is queued behind
	// one gets through a narrow link (2 Mbit/s) within half of pingTimeout.
	maxBatchBytes = 16 << 10
	// callOverheadBytes is the approximate size of an encoded call without its payload.
	callOverheadBytes = 100
	// relayTimeoutMargin is how much longer the owner waits for the reply than the
	// executing instance waits for the worker. It covers the round trip between them.
	relayTimeoutMargin = 150 * time.Millisecond
	// maxPeerSilence is how long a peer may send nothing before it gets no more calls.
	// Peers ping every 150 ms; the limit tolerates one late ping.
	maxPeerSilence = 500 * time.Millisecond
)

// ErrNotQueued reports a call that was not sent because the connection to the peer
// is closed.
var ErrNotQueued = errors.New("connection to peer is closed")

// ErrNotWritten reports a call that timed out before it was written to the
// connection. The peer has certainly not received it.
var ErrNotWritten = errors.New("call timed out before it was written")

// errConnectionLost fails a pending call that the peer may have executed.
var errConnectionLost = errors.New("connection to peer was lost")

// callSender relays calls to workers through one connected peer, which executes them.
// It is safe for concurrent use.
type callSender struct {
	conn *jsonrpc2.Conn
	now  func() model.Time

	mu           sync.Mutex
	lastID       uint64
	pending      map[uint64]*pendingCall
	queue        []*pendingCall // not written yet
	sentPayloads payloadCache   // payloads that the peer has cached
	closed       bool
	wake         chan struct{}
}

// pendingCall is a relayed call without a reply.
type pendingCall struct {
	request callRequest
	epoch   int64
	payload string
	written bool
	done    chan callReply // closed if the connection is lost
}

func newCallSender(conn *jsonrpc2.Conn, now func() model.Time) *callSender {
	c := &callSender{conn: conn, now: now, pending: map[uint64]*pendingCall{}, wake: make(chan struct{}, 1)}
	go c.writeLoop()
	return c
}

// do sends a call and waits for its reply. The error is ErrNotQueued, ErrNotWritten,
// or a CallError if the call may have been executed.
func (c *callSender) do(ctx context.Context, pc *pendingCall) (callReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pc.request.timeout()+relayTimeoutMargin)
	defer cancel()
	pc.done = make(chan callReply, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return callReply{}, ErrNotQueued
	}
	c.lastID++
	pc.request.ID = c.lastID
	c.pending[c.lastID] = pc
	c.queue = append(c.queue, pc)
	c.mu.Unlock()
	signal(c.wake)
	select {
	case r, ok := <-pc.done:
		switch {
		case ok:
			return r, nil
		case pc.written:
			return callReply{}, &CallError{Method: methodCalls, Cause: errConnectionLost}
		}
		return callReply{}, ErrNotQueued
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, pc.request.ID)
	if !pc.written {
		return callReply{}, ErrNotWritten
	}
	return callReply{}, &CallError{Method: methodCalls, Cause: ctx.Err()}
}

// writeLoop sends queued calls in batches until the connection is closed.
func (c *callSender) writeLoop() {
	for {
		select {
		case <-c.conn.DisconnectNotify():
			return
		case <-c.wake:
		}
		time.Sleep(batchDelay)
		for {
			b, ok := c.nextBatch()
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

// nextBatch removes the next batch of calls from the queue.
func (c *callSender) nextBatch() (callBatch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, size, removed := callBatch{SentMs: millis(c.now())}, 0, 0
	for _, pc := range c.queue {
		if len(b.Calls) > 0 && (size >= maxBatchBytes || pc.epoch != b.Epoch) {
			break
		}
		removed++
		if c.pending[pc.request.ID] != pc {
			continue // timed out
		}
		pc.written, b.Epoch = true, pc.epoch
		request := pc.request
		if request.Kind == kindStart && c.sentPayloads.put(request.Task.Job, pc.payload) {
			request.Payload = &pc.payload
			size += len(pc.payload)
		}
		size += callOverheadBytes
		b.Calls = append(b.Calls, request)
	}
	c.queue = c.queue[removed:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	return b, len(b.Calls) > 0
}

// deliver passes replies to the callers that wait for them. It ignores late replies.
func (c *callSender) deliver(b replyBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range b.Replies {
		if pc := c.pending[r.ID]; pc != nil {
			delete(c.pending, r.ID)
			pc.done <- r
		}
	}
}

// close fails every pending call and returns how many of them the peer may have
// executed.
func (c *callSender) close() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed, c.queue = true, nil
	lost := 0
	for id, pc := range c.pending {
		if pc.written {
			lost++
		}
		close(pc.done)
		delete(c.pending, id)
	}
	return lost
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start starts a run through the peer. The error is ErrNotQueued or ErrNotWritten if
// the peer has certainly not received the call, and otherwise a CallError.
func (p *Peer) Start(ctx context.Context, s cell.Start) (cell.Verdict, error) {
	reply, err := p.sender.do(ctx, &pendingCall{epoch: s.Epoch, payload: s.Payload, request: callRequest{
		Kind: kindStart, Worker: s.Worker, Address: s.Address, Task: taskRef{s.Task}, Run: s.Run, LeaseMs: leaseMs(s.LeaseUntil),
		Checkpoint: s.Checkpoint, Permit: s.Permit, TimeoutMs: s.Timeout.Milliseconds(),
	}})
	return reply.Verdict, err
}

// Stop stops a run through the peer. Its errors are those of Start.
func (p *Peer) Stop(ctx context.Context, s cell.Stop) (cell.Verdict, error) {
	reply, err := p.sender.do(ctx, &pendingCall{epoch: s.Epoch, request: callRequest{
		Kind: kindStop, Worker: s.Worker, Address: s.Address, Task: taskRef{s.Task}, Run: s.Run, TimeoutMs: s.Timeout.Milliseconds(),
	}})
	return reply.Verdict, err
}

// Renew renews a worker's lease through the peer. Its errors are those of Start.
func (p *Peer) Renew(ctx context.Context, r cell.Renew) (cell.Renewed, error) {
	reply, err := p.sender.do(ctx, &pendingCall{epoch: r.Epoch, request: callRequest{
		Kind: kindRenew, Worker: r.Worker, Address: r.Address, LeaseMs: leaseMs(r.LeaseUntil), AckedEnd: r.AckedEnd,
		WaitMs: r.Wait.Milliseconds(), TimeoutMs: r.Timeout.Milliseconds(),
	}})
	return reply.renewed(r.Worker), err
}

// Usable reports whether calls can be relayed through the peer: it has not announced
// that it is leaving, and has sent something within maxPeerSilence.
func (p *Peer) Usable() bool { return !p.leaving.Load() && p.netConn.idleTime() < maxPeerSilence }
