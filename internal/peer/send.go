package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// States of a call. A call is settled once.
const (
	stateQueued int32 = iota
	stateWriting
	stateSettled
)

// call is one message on its way to a peer.
type call struct {
	to    model.Member
	env   message.Envelope
	done  func(error)
	state atomic.Int32
	conn  *link // valid in stateWriting
	timer *time.Timer
}

// Post queues a message and returns at once. A returned error is a
// NotSentError, and done is not called. Otherwise done is called once, from
// another goroutine: with nil when the receiver's event loop has taken the
// message, a NotSentError, or an UnavailableError. Messages to one address are
// written in the order of their posts.
func (t *Transport) Post(to model.Member, env message.Envelope, done func(error)) error {
	c := &call{to: to, env: env, done: done}
	near := to.DataCentre == t.cfg.Self.DataCentre
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return &NotSentError{Address: to.Address, Cause: &LocalError{Reason: CodeClosed}}
	}
	p := t.peers[to.Address]
	if p == nil {
		p = newPeer(t, to.Address, near, t.traffic(to.DataCentre))
		t.peers[to.Address] = p
		go p.run()
	}
	// The timer is set before the call is visible to the peer's goroutine.
	c.timer = time.AfterFunc(t.deadline(near), c.expire)
	select {
	case p.queue <- c:
		return nil
	default:
		c.timer.Stop()
		return &NotSentError{Address: to.Address, Cause: &LocalError{Reason: CodeQueueFull}}
	}
}

// Send sends one message and waits for its acknowledgement. The errors are
// those of Post; an ended context leaves the message's fate open.
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

func (t *Transport) deadline(near bool) time.Duration {
	if near {
		return t.cfg.LocalTimeout
	}
	return t.cfg.RemoteTimeout
}

// begin marks the call as being written to a connection. It reports false if
// the deadline has passed.
func (c *call) begin(l *link) bool {
	c.conn = l
	return c.state.CompareAndSwap(stateQueued, stateWriting)
}

// rewind takes a begun call back when nothing of it was written.
func (c *call) rewind() bool { return c.state.CompareAndSwap(stateWriting, stateQueued) }

// settle reports the result, unless the call is settled already.
func (c *call) settle(err error) {
	if c.state.Swap(stateSettled) != stateSettled {
		c.timer.Stop()
		c.done(err)
	}
}

func (c *call) notSent(cause error) {
	c.settle(&NotSentError{Address: c.to.Address, Cause: cause})
}

func (c *call) ambiguous(cause error) {
	c.settle(&UnavailableError{Address: c.to.Address, Cause: cause})
}

// expire ends the call at its deadline. A connection that owes an
// acknowledgement is closed, since it may be silent for ever.
func (c *call) expire() {
	missed := &LocalError{Reason: CodeDeadline}
	if c.state.CompareAndSwap(stateQueued, stateSettled) {
		c.done(&NotSentError{Address: c.to.Address, Cause: missed})
		return
	}
	if c.state.CompareAndSwap(stateWriting, stateSettled) {
		_ = c.conn.rpc.Close()
		c.done(&UnavailableError{Address: c.to.Address, Cause: missed})
	}
}
