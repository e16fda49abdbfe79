package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// link is one dialled connection.
type link struct {
	rpc        *jsonrpc2.Conn
	s          *stream
	introduced bool // a message with the sender was written; used by the peer's goroutine only
}

// alive reports whether the connection was not closed yet.
func (l *link) alive() bool {
	select {
	case <-l.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// peer sends the messages for one address. Its goroutine alone dials and
// writes, so there is never a second dial while one is pending.
type peer struct {
	t        *Transport
	address  string
	near     bool
	traffic  *Traffic
	queue    chan *call
	inFlight chan struct{}

	link    *link
	pause   *backoff.ExponentialBackOff
	retryAt time.Time // no dial before
}

func newPeer(t *Transport, address string, near bool, traffic *Traffic) *peer {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstRedial
	pause.MaxInterval = lastRedial
	return &peer{
		t: t, address: address, near: near, traffic: traffic, pause: pause,
		queue:    make(chan *call, queueLength),
		inFlight: make(chan struct{}, inFlightLimit),
	}
}

// run sends queued calls until the address is unused or the transport closes.
func (p *peer) run() {
	idle := time.NewTimer(idleClose)
	defer idle.Stop()
	for {
		select {
		case c := <-p.queue:
			p.send(c)
			idle.Reset(idleClose)
		case <-idle.C:
			if p.retire() {
				return
			}
			idle.Reset(idleClose)
		case <-p.t.ctx.Done():
			p.fail()
			return
		}
	}
}

// retire removes the peer unless a call was queued meanwhile.
func (p *peer) retire() bool {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.t.peers, p.address)
	if p.link != nil {
		_ = p.link.rpc.Close()
	}
	return true
}

// fail reports every queued call as not sent. Post queues none after the
// transport's context has ended, which it checks under the same lock.
func (p *peer) fail() {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	for len(p.queue) > 0 {
		c := <-p.queue
		go c.notSent(&LocalError{Reason: CodeClosed})
	}
}

// send writes one call, after a dial if there is no live connection.
func (p *peer) send(c *call) {
	select {
	case p.inFlight <- struct{}{}:
	case <-p.t.ctx.Done():
		c.notSent(&LocalError{Reason: CodeClosed})
		return
	}
	for {
		l, err := p.connect()
		var request json.RawMessage
		if err == nil {
			// Encoded before the call counts as being written, since a large
			// message takes a while.
			request, err = l.encode(c)
		}
		if err != nil {
			<-p.inFlight
			c.notSent(err)
			return
		}
		if !c.begin(l) {
			<-p.inFlight
			return
		}
		begun := l.s.begun.Load()
		w, err := l.rpc.DispatchCall(p.t.ctx, method, request)
		if err == nil {
			l.introduced = true
			go p.await(c, w)
			return
		}
		untouched := l.s.begun.Load() == begun
		if untouched && !l.alive() && c.rewind() {
			// The peer had closed the connection; nothing was written.
			continue
		}
		<-p.inFlight
		if untouched {
			c.notSent(err)
			return
		}
		_ = l.rpc.Close()
		c.ambiguous(err)
		return
	}
}

// encode returns the parameters of a call or a FrameSizeError. A connection's first
// message says whom it comes from.
func (l *link) encode(c *call) (json.RawMessage, error) {
	p := params{To: c.to.Incarnation, ID: c.env.ID, Body: c.env.Body}
	if !l.introduced {
		p.From = &c.env.From
	}
	b, err := json.Marshal(p)
	if err == nil && len(b) > frameLimit {
		err = &FrameSizeError{Size: len(b)}
	}
	return b, err
}

// await settles a written call with the peer's reply.
func (p *peer) await(c *call, w jsonrpc2.Waiter) {
	err := w.Wait(p.t.ctx, nil)
	<-p.inFlight
	var refusal *jsonrpc2.Error
	switch {
	case err == nil:
		c.settle(nil)
	case !errors.As(err, &refusal):
		c.ambiguous(err)
	case refusal.Code == numberIncarnation:
		c.notSent(&IncarnationError{Want: c.to.Incarnation})
	default:
		c.notSent(&RefusedError{Number: refusal.Code, Reason: refusal.Message})
	}
}

// connect returns the live connection or dials one. After a failed dial it
// fails at once until the pause is over.
func (p *peer) connect() (*link, error) {
	if p.link != nil && p.link.alive() {
		return p.link, nil
	}
	p.link = nil
	if time.Now().Before(p.retryAt) {
		return nil, &LocalError{Reason: CodeBackoff}
	}
	dialer := net.Dialer{Timeout: farDial, KeepAlive: -1}
	if p.near {
		dialer.Timeout = nearDial
	}
	conn, err := dialer.DialContext(p.t.ctx, "tcp", p.address)
	if err != nil {
		p.retryAt = time.Now().Add(p.pause.NextBackOff())
		return nil, err
	}
	p.pause.Reset()
	s := newStream(conn, 0, p.t.deadline(p.near))
	s.attribute(p.traffic)
	p.link = &link{rpc: jsonrpc2.NewConn(p.t.ctx, s, refuse{}, quiet), s: s}
	return p.link, nil
}

// refuse ignores requests on a dialled connection, where only replies arrive.
type refuse struct{}

// Handle does nothing.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
