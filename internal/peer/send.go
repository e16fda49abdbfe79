package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// States of a call. A call is completed exactly once.
const (
	stateQueued int32 = iota
	stateWriting
	stateCompleted
)

// call is one message to a peer, from Post to its result.
type call struct {
	to    model.Member
	env   message.Envelope
	done  func(error)
	state atomic.Int32
	conn  *connection // valid in stateWriting
	timer *time.Timer
}

// Post queues a message without blocking. If it returns an error, the error is a
// NotSentError and done is not called. Otherwise done is called once, from another
// goroutine: with nil once the receiver's event loop has accepted the message, or
// with a NotSentError or an UnavailableError. Messages to one address are written
// in the order in which they were posted.
func (t *Transport) Post(to model.Member, env message.Envelope, done func(error)) error {
	c := &call{to: to, env: env, done: done}
	local := to.DataCentre == t.cfg.Self.DataCentre
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return &NotSentError{Address: to.Address, Cause: &LocalError{Reason: CodeClosed}}
	}
	p := t.peers[to.Address]
	if p == nil {
		p = newPeer(t, to.Address, local, t.traffic(to.DataCentre))
		t.peers[to.Address] = p
		go p.run()
	}
	// Set the timer before the call is visible to the peer's goroutine.
	c.timer = time.AfterFunc(t.callTimeout(local), c.expire)
	select {
	case p.queue <- c:
		return nil
	default:
		c.timer.Stop()
		return &NotSentError{Address: to.Address, Cause: &LocalError{Reason: CodeQueueFull}}
	}
}

// Send sends one message and waits for its acknowledgement. It returns the errors
// of Post. If ctx ends first, it returns an UnavailableError, since the message may
// still be delivered.
func (t *Transport) Send(ctx context.Context, to model.Member, env message.Envelope) error {
	result := make(chan error, 1)
	if err := t.Post(to, env, func(err error) { result <- err }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return &UnavailableError{Address: to.Address, Cause: ctx.Err()}
	}
}

func (t *Transport) callTimeout(local bool) time.Duration {
	if local {
		return t.cfg.LocalTimeout
	}
	return t.cfg.RemoteTimeout
}

// startWrite marks the call as being written to a connection. It returns false if
// the call has timed out.
func (c *call) startWrite(conn *connection) bool {
	c.conn = conn
	return c.state.CompareAndSwap(stateQueued, stateWriting)
}

// revertToQueued marks a call as queued again when nothing of it was written.
func (c *call) revertToQueued() bool { return c.state.CompareAndSwap(stateWriting, stateQueued) }

// complete reports the result unless the call is already completed.
func (c *call) complete(err error) {
	if c.state.Swap(stateCompleted) != stateCompleted {
		c.timer.Stop()
		c.done(err)
	}
}

func (c *call) failNotSent(cause error) {
	c.complete(&NotSentError{Address: c.to.Address, Cause: cause})
}

func (c *call) failUnacknowledged(cause error) {
	c.complete(&UnavailableError{Address: c.to.Address, Cause: cause})
}

// expire completes the call when it times out. A connection with a missing
// acknowledgement is closed, since the peer may never answer on it.
func (c *call) expire() {
	timeout := &LocalError{Reason: CodeDeadline}
	if c.state.CompareAndSwap(stateQueued, stateCompleted) {
		c.done(&NotSentError{Address: c.to.Address, Cause: timeout})
		return
	}
	if c.state.CompareAndSwap(stateWriting, stateCompleted) {
		_ = c.conn.rpc.Close()
		c.done(&UnavailableError{Address: c.to.Address, Cause: timeout})
	}
}
