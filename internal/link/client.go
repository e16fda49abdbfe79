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

// Client keeps a connection to the owner. It is safe for concurrent use.
type Client struct {
	hello   Hello
	h       Handler
	traffic *httpjson.Traffic
	changed func(up bool, cause error)

	mu      sync.Mutex
	target  string
	owner   string // incarnation expected at target
	conn    *jsonrpc2.Conn
	leaving bool
	wake    chan struct{}
}

// NewClient returns a client that introduces its instance with hello, counts
// its bytes in traffic, and calls changed whenever the connection comes up or is
// lost.
func NewClient(hello Hello, h Handler, traffic *httpjson.Traffic, changed func(up bool, cause error)) *Client {
	return &Client{hello: hello, h: h, traffic: traffic, changed: changed, wake: make(chan struct{}, 1)}
}

// SetOwner sets the owner and its address; empty if there is none to connect to.
func (c *Client) SetOwner(address, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == address && c.owner == owner {
		return
	}
	c.target, c.owner = address, owner
	if c.conn != nil {
		_ = c.conn.Close()
	}
	wakeUp(c.wake)
}

// Leave tells the owner, now and after each new connection, that this instance is
// about to stop and should not be asked to make calls to workers.
func (c *Client) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		// Without an answer the link is lost, which says the same.
		_, _ = callWithin[bool](ctx, conn, methodLeave, struct{}{})
	}
}

// Run dials the target again whenever the connection is lost.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		target, owner := c.target, c.owner
		c.mu.Unlock()
		if target != "" {
			c.connect(ctx, target, owner)
		}
		select {
		case <-c.wake:
		case <-time.After(redialPause):
		case <-ctx.Done():
		}
	}
}

// connect serves one connection until it is lost.
func (c *Client) connect(ctx context.Context, target, owner string) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	s := &served{h: c.h, raw: newDeadlineConn(c.traffic.WrapConn(raw))}
	conn := open(ctx, s, c.hello.Bandwidth > 0 && c.hello.Bandwidth < packBelow)
	defer conn.Close()
	c.mu.Lock()
	hello := c.hello
	hello.Leaving = c.leaving
	c.mu.Unlock()
	asked := c.h.Now()
	welcome, err := callWithin[Welcome](ctx, conn, methodHello, hello)
	if err != nil {
		return
	}
	s.age.note(welcome.ClockMs, asked)
	c.mu.Lock()
	if c.target != target || c.owner != owner {
		c.mu.Unlock()
		return
	}
	if welcome.Name != owner {
		c.target = ""
		c.mu.Unlock()
		c.changed(false, ErrReplaced)
		return
	}
	c.conn = conn
	left := c.leaving && !hello.Leaving // in between
	c.mu.Unlock()
	c.changed(true, nil)
	if left {
		c.Leave(ctx)
	}
	cause := c.watch(ctx, conn, s)
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
	c.changed(false, cause)
}

// watch returns when the connection is lost or silent.
func (c *Client) watch(ctx context.Context, conn *jsonrpc2.Conn, s *served) error {
	answered := time.Now()
	for {
		select {
		case <-conn.DisconnectNotify():
			return jsonrpc2.ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pingInterval):
		}
		if err := c.ping(ctx, conn, s, answered.Add(maxSilence)); err != nil {
			return err
		}
		answered = time.Now()
	}
}

// ping returns when the owner has answered, however late, or an error once nothing
// shows that it is there. It looks for that often: instances must not learn of an
// owner that is gone in the order in which their pings happen to end.
func (c *Client) ping(ctx context.Context, conn *jsonrpc2.Conn, s *served, until time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	asked := c.h.Now()
	answered := make(chan error, 1)
	go func() {
		pong, err := call[Pong](ctx, conn, methodPing, struct{}{})
		if err == nil {
			s.age.note(pong.ClockMs, asked)
		}
		answered <- err
	}()
	look := time.NewTimer(pingTimeout)
	defer look.Stop()
	for {
		select {
		case err := <-answered:
			if errors.Is(err, context.DeadlineExceeded) && s.raw.silence() < pingTimeout {
				return nil // on a narrow link an answer may be late behind calls to workers
			}
			return err
		case <-look.C:
		}
		if s.raw.silence() >= pingTimeout && !c.h.OwnerActive() {
			return &CallError{Method: methodPing, Cause: context.DeadlineExceeded}
		}
		look.Reset(lookInterval)
	}
}

func callWithin[R any](ctx context.Context, conn *jsonrpc2.Conn, method string, params any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return call[R](ctx, conn, method, params)
}

func (c *Client) current() *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// State asks the owner for a job's state.
func (c *Client) State(ctx context.Context, r StateRequest) (StateReply, error) {
	conn := c.current()
	if conn == nil {
		return StateReply{}, ErrNotConnected
	}
	return call[StateReply](ctx, conn, methodState, r)
}

// Submit asks the owner to store entries.
func (c *Client) Submit(ctx context.Context, r SubmitRequest) (SubmitReply, error) {
	conn := c.current()
	if conn == nil {
		return SubmitReply{}, ErrNotConnected
	}
	return call[SubmitReply](ctx, conn, methodSubmit, r)
}
