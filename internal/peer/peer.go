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

// connection is one dialled connection.
type connection struct {
	rpc           *jsonrpc2.Conn
	stream        *stream
	senderWritten bool // a message with the sender was written; only for the peer's goroutine
}

// alive reports whether the connection is still open.
func (conn *connection) alive() bool {
	select {
	case <-conn.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// peer sends the messages to one address. Only its goroutine dials and writes, so
// there is at most one dial at a time.
type peer struct {
	transport *Transport
	address   string
	local     bool
	traffic   *Traffic
	queue     chan *call
	inFlight  chan struct{}

	conn          *connection
	redialBackoff *backoff.ExponentialBackOff
	nextDialAt    time.Time // end of the redial backoff
}

func newPeer(t *Transport, address string, local bool, traffic *Traffic) *peer {
	redialBackoff := backoff.NewExponentialBackOff()
	redialBackoff.InitialInterval = minRedialDelay
	redialBackoff.MaxInterval = maxRedialDelay
	return &peer{
		transport: t, address: address, local: local, traffic: traffic, redialBackoff: redialBackoff,
		queue:    make(chan *call, maxQueuedCalls),
		inFlight: make(chan struct{}, maxInFlightCalls),
	}
}

// run sends queued calls until the peer is idle or the transport closes.
func (p *peer) run() {
	idle := time.NewTimer(dialledIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case c := <-p.queue:
			p.send(c)
			idle.Reset(dialledIdleTimeout)
		case <-idle.C:
			if p.removeIfIdle() {
				return
			}
			idle.Reset(dialledIdleTimeout)
		case <-p.transport.ctx.Done():
			p.failQueued()
			return
		}
	}
}

// removeIfIdle removes the peer unless a call has been queued since the idle timer
// fired.
func (p *peer) removeIfIdle() bool {
	p.transport.mu.Lock()
	defer p.transport.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.transport.peers, p.address)
	if p.conn != nil {
		_ = p.conn.rpc.Close()
	}
	return true
}

// failQueued reports every queued call as not sent. Post checks the transport's
// context under the same lock and queues no call after it has ended.
func (p *peer) failQueued() {
	p.transport.mu.Lock()
	defer p.transport.mu.Unlock()
	for len(p.queue) > 0 {
		c := <-p.queue
		go c.failNotSent(&LocalError{Reason: CodeClosed})
	}
}

// send writes one call. It dials first if there is no open connection.
func (p *peer) send(c *call) {
	select {
	case p.inFlight <- struct{}{}:
	case <-p.transport.ctx.Done():
		c.failNotSent(&LocalError{Reason: CodeClosed})
		return
	}
	for {
		conn, err := p.connect()
		var request json.RawMessage
		if err == nil {
			// Encode before startWrite: encoding a large message takes a while, and a
			// call that times out meanwhile is still reported as not sent.
			request, err = conn.encode(c)
		}
		if err != nil {
			<-p.inFlight
			c.failNotSent(err)
			return
		}
		if !c.startWrite(conn) {
			<-p.inFlight
			return
		}
		startedWrites := conn.stream.startedWrites.Load()
		waiter, err := conn.rpc.DispatchCall(p.transport.ctx, messageMethod, request)
		if err == nil {
			conn.senderWritten = true
			go p.awaitReply(c, waiter)
			return
		}
		unwritten := conn.stream.startedWrites.Load() == startedWrites
		if unwritten && !conn.alive() && c.revertToQueued() {
			// The peer closed the connection before anything was written.
			continue
		}
		<-p.inFlight
		if unwritten {
			c.failNotSent(err)
			return
		}
		_ = conn.rpc.Close()
		c.failUnacknowledged(err)
		return
	}
}

// encode returns the JSON parameters of a call, or a FrameSizeError. The first
// message on a connection includes the sender.
func (conn *connection) encode(c *call) (json.RawMessage, error) {
	p := params{To: c.to.Incarnation, ID: c.env.ID, Body: c.env.Body}
	if !conn.senderWritten {
		p.From = &c.env.From
	}
	b, err := json.Marshal(p)
	if err == nil && len(b) > maxFrameBytes {
		err = &FrameSizeError{Size: len(b)}
	}
	return b, err
}

// awaitReply completes a written call with the peer's reply.
func (p *peer) awaitReply(c *call, waiter jsonrpc2.Waiter) {
	err := waiter.Wait(p.transport.ctx, nil)
	<-p.inFlight
	var refusal *jsonrpc2.Error
	switch {
	case err == nil:
		c.complete(nil)
	case !errors.As(err, &refusal):
		c.failUnacknowledged(err)
	case refusal.Code == rpcCodeIncarnation:
		c.failNotSent(&IncarnationError{Want: c.to.Incarnation})
	default:
		c.failNotSent(&RefusedError{RPCCode: refusal.Code, Reason: refusal.Message})
	}
}

// connect returns the open connection or dials a new one. After a failed dial it
// fails immediately until the backoff is over.
func (p *peer) connect() (*connection, error) {
	if p.conn != nil && p.conn.alive() {
		return p.conn, nil
	}
	p.conn = nil
	if time.Now().Before(p.nextDialAt) {
		return nil, &LocalError{Reason: CodeBackoff}
	}
	dialer := net.Dialer{Timeout: remoteDialTimeout, KeepAlive: -1}
	if p.local {
		dialer.Timeout = localDialTimeout
	}
	conn, err := dialer.DialContext(p.transport.ctx, "tcp", p.address)
	if err != nil {
		p.nextDialAt = time.Now().Add(p.redialBackoff.NextBackOff())
		return nil, err
	}
	p.redialBackoff.Reset()
	objStream := newStream(conn, 0, p.transport.callTimeout(p.local))
	objStream.setTraffic(p.traffic)
	p.conn = &connection{rpc: jsonrpc2.NewConn(p.transport.ctx, objStream, ignoreRequests{}, discardLog), stream: objStream}
	return p.conn, nil
}

// ignoreRequests is the handler of a dialled connection, on which only replies are
// expected.
type ignoreRequests struct{}

// Handle ignores the request.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
