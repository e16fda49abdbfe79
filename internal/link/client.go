package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentianpick/gentianpick/internal/httpjson"
)

// Client maintains the connection of an instance to the owner. It is safe for
// concurrent use.
type Client struct {
	hello    Hello
	h        Handler
	traffic  *httpjson.Traffic
	onChange func(up bool, cause error)

	mu      sync.Mutex
	address string
	owner   string // incarnation expected at address
	conn    *jsonrpc2.Conn
	leaving bool
	wake    chan struct{}
}

// NewClient returns a client that introduces its instance with hello and counts its
// bytes in traffic. It calls onChange whenever the connection is established or lost.
func NewClient(hello Hello, h Handler, traffic *httpjson.Traffic, onChange func(up bool, cause error)) *Client {
	return &Client{hello: hello, h: h, traffic: traffic, onChange: onChange, wake: make(chan struct{}, 1)}
}

// SetOwner sets the incarnation of the owner and its address. An empty address means
// that there is no owner to connect to.
func (c *Client) SetOwner(address, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == address && c.owner == owner {
		return
	}
	c.address, c.owner = address, owner
	if c.conn != nil {
		_ = c.conn.Close()
	}
	signal(c.wake)
}

// Leave announces to the owner that this instance is about to stop and must not get
// more calls to relay. The announcement is repeated on each new connection.
func (c *Client) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		// If the call fails, the connection is lost, and the owner stops using this
		// instance for that reason.
		_, _ = callWithTimeout[bool](ctx, conn, methodLeave, struct{}{})
	}
}

// Run connects to the owner, and reconnects whenever the connection is lost, until
// ctx is done.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		address, owner := c.address, c.owner
		c.mu.Unlock()
		if address != "" {
			c.runConnection(ctx, address, owner)
		}
		select {
		case <-c.wake:
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// runConnection dials the owner and serves the connection until it is lost.
func (c *Client) runConnection(ctx context.Context, address, owner string) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	netConn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	s := &connHandler{h: c.h, netConn: newDeadlineConn(c.traffic.WrapConn(netConn)), welcomePending: true}
	conn := newRPCConn(ctx, s, c.hello.Bandwidth > 0 && c.hello.Bandwidth < compressBelow)
	defer conn.Close()
	c.mu.Lock()
	hello := c.hello
	hello.Leaving = c.leaving
	c.mu.Unlock()
	helloSentAt := c.h.Now()
	welcome, err := callWithTimeout[Welcome](ctx, conn, methodHello, hello)
	if err != nil {
		return
	}
	s.processWelcome(ctx, conn, welcome, helloSentAt)
	c.mu.Lock()
	if c.address != address || c.owner != owner {
		c.mu.Unlock()
		return
	}
	if welcome.Name != owner {
		c.address = ""
		c.mu.Unlock()
		c.onChange(false, ErrReplaced)
		return
	}
	c.conn = conn
	leaveMissed := c.leaving && !hello.Leaving // announced while the hello was in flight
	c.mu.Unlock()
	c.onChange(true, nil)
	if leaveMissed {
		c.Leave(ctx)
	}
	cause := c.pingLoop(ctx, conn, s)
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
	c.onChange(false, cause)
}

// pingLoop pings the owner until the connection is lost or a ping fails, and returns
// the cause. While calls and replies keep both directions busy, most pings are left out:
// an owner of a large site would otherwise answer a thousand of them a second.
func (c *Client) pingLoop(ctx context.Context, conn *jsonrpc2.Conn, s *connHandler) error {
	lastPong := time.Now() // also the time of a read that replaced a ping
	lastPing := lastPong
	for {
		select {
		case <-conn.DisconnectNotify():
			return jsonrpc2.ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(s.pingEvery.Load())):
		}
		if s.netConn.active() && time.Since(lastPing) < busyPingInterval {
			lastPong = time.Now()
			continue
		}
		lastPing = time.Now()
		if err := c.ping(ctx, conn, s, lastPong.Add(activeOwnerTimeout)); err != nil {
			return err
		}
		lastPong = time.Now()
	}
}

// ping waits for the owner's answer, which may be late. It returns an error once
// neither this connection nor OwnerActive shows that the owner is alive. It checks
// that often while the answer is late: otherwise the order in which instances detect
// the loss of the owner would depend on when their pings happen to end.
func (c *Client) ping(ctx context.Context, conn *jsonrpc2.Conn, s *connHandler, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	pingSentAt := c.h.Now()
	result := make(chan error, 1)
	go func() {
		pong, err := call[Pong](ctx, conn, methodPing, struct{}{})
		if err == nil {
			s.age.addReading(pong.ClockMs, pingSentAt)
			s.setPingInterval(pong.PingMs)
		}
		result <- err
	}()
	lateCheck := time.NewTimer(pingTimeout)
	defer lateCheck.Stop()
	for {
		select {
		case err := <-result:
			if errors.Is(err, context.DeadlineExceeded) && s.netConn.idleTime() < pingTimeout {
				return nil // on a narrow link the answer may be queued behind relayed calls
			}
			return err
		case <-lateCheck.C:
		}
		if s.netConn.idleTime() >= pingTimeout && !c.h.OwnerActive() {
			return &CallError{Method: methodPing, Cause: context.DeadlineExceeded}
		}
		lateCheck.Reset(latePingCheckInterval)
	}
}

func callWithTimeout[R any](ctx context.Context, conn *jsonrpc2.Conn, method string, params any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return call[R](ctx, conn, method, params)
}

func (c *Client) currentConn() *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// State asks the owner for a job's state.
func (c *Client) State(ctx context.Context, r StateRequest) (StateReply, error) {
	conn := c.currentConn()
	if conn == nil {
		return StateReply{}, ErrNotConnected
	}
	return call[StateReply](ctx, conn, methodState, r)
}

// Submit asks the owner to store entries.
func (c *Client) Submit(ctx context.Context, r SubmitRequest) (SubmitReply, error) {
	conn := c.currentConn()
	if conn == nil {
		return SubmitReply{}, ErrNotConnected
	}
	return call[SubmitReply](ctx, conn, methodSubmit, r)
}
