// Package link connects the instances of a cell: every instance keeps one
// connection to the owner. It uses the connection to ask the owner for the
// state of jobs and to store submissions while the store can't be reached, and
// the owner uses it to ask for eligibility calls.
package link

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// pingInterval and pingTimeout find a silent connection. Together they are
	// below the time after which an owner without a link is suspected.
	pingInterval = 150 * time.Millisecond
	pingTimeout  = 250 * time.Millisecond
	dialTimeout  = 300 * time.Millisecond
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = time.Second
	// redialPause separates attempts to reach the owner.
	redialPause = 150 * time.Millisecond
	// idleAccepted closes a connection whose instance has stopped pinging.
	idleAccepted = 2 * time.Second
)

// Methods of the protocol.
const (
	methodHello  = "hello"
	methodPing   = "ping"
	methodState  = "state"
	methodSubmit = "submit"
	methodAsk    = "ask"
)

// Hello introduces the dialling instance.
type Hello struct {
	Name  string  `json:"name"`
	Cores float64 `json:"cores,omitempty"` // processor that the instance has
	// Bandwidth is that of the instance's link in bytes a second; zero if unknown.
	Bandwidth int64 `json:"bandwidth,omitempty"`
}

// Welcome is the answer to a Hello.
type Welcome struct {
	Name string `json:"name"` // of the instance that answers
}

// StateRequest asks for the state of a job.
type StateRequest struct {
	ID jobs.ID `json:"id"`
}

// StateReply is the owner's view of a job.
type StateReply struct {
	Known bool       `json:"known"`
	Owner bool       `json:"owner"` // the answering instance owns the cell
	State jobs.State `json:"state,omitempty"`
}

// SubmitRequest asks the owner to store a submission or a cancellation.
type SubmitRequest struct {
	Entry cell.Entry `json:"entry"`
}

// SubmitReply says what became of a SubmitRequest.
type SubmitReply struct {
	Stored  bool `json:"stored"`
	InDoubt bool `json:"in_doubt,omitempty"`
	// RetryMs is set if the owner refuses since it is overloaded: when the caller
	// should come back, in milliseconds.
	RetryMs int64 `json:"retry_ms,omitempty"`
}

// AskRequest asks for one eligibility call.
type AskRequest struct {
	Job     jobs.ID            `json:"job"`
	Step    int                `json:"step"`
	Occur   int                `json:"occur,omitempty"`
	Workers []model.WorkerName `json:"workers"`
}

// AskReply is the answer to an eligibility call.
type AskReply struct {
	Eligible []cell.Permit `json:"eligible"`
	ValidMs  int64         `json:"valid_ms"` // that are left when the reply is sent
	Failed   bool          `json:"failed,omitempty"`
}

// Handler serves the requests of other instances.
type Handler interface {
	State(ctx context.Context, r StateRequest) StateReply
	Submit(ctx context.Context, r SubmitRequest) SubmitReply
	Ask(ctx context.Context, r AskRequest) AskReply
	// Name returns the instance's incarnation.
	Name() string
	// Connected and Disconnected tell of instances that dialled this one.
	Connected(name string, p *Peer)
	Disconnected(name string, p *Peer)
}

// ErrReplaced reports that another instance answers at the owner's address.
var ErrReplaced = errors.New("another instance answers at the owner's address")

// ErrNoLink reports that there is no connection to the owner.
var ErrNoLink = errors.New("no link to the owner")

// CallError is a call without an answer.
type CallError struct {
	Method string
	Cause  error
}

func (e *CallError) Error() string { return "link: " + e.Method + ": " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *CallError) Unwrap() error { return e.Cause }

// Peer is one connected instance.
type Peer struct {
	Cores     float64 // processor that the instance has
	Bandwidth int64   // of its link, in bytes a second; zero if unknown
	conn      *jsonrpc2.Conn
}

// Ask makes the peer do an eligibility call. The error is a CallError.
func (p *Peer) Ask(ctx context.Context, r AskRequest) (AskReply, error) {
	return call[AskReply](ctx, p.conn, methodAsk, r)
}

// Close ends the connection to the peer.
func (p *Peer) Close() { _ = p.conn.Close() }

func call[R any](ctx context.Context, conn *jsonrpc2.Conn, method string, params any) (R, error) {
	var out R
	if err := conn.Call(ctx, method, params, &out); err != nil {
		return out, &CallError{Method: method, Cause: err}
	}
	return out, nil
}

var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// served handles the requests on one connection.
type served struct {
	h    Handler
	mu   sync.Mutex
	name string
	peer *Peer
}

// Handle implements jsonrpc2.Handler.
func (s *served) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, conn, req)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, err)
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func (s *served) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, *jsonrpc2.Error) {
	switch req.Method {
	case methodPing:
		return true, nil
	case methodHello:
		return answer(req, func(h Hello) any {
			s.mu.Lock()
			s.name, s.peer = h.Name, &Peer{Cores: h.Cores, Bandwidth: h.Bandwidth, conn: conn}
			peer := s.peer
			s.mu.Unlock()
			s.h.Connected(h.Name, peer)
			return Welcome{Name: s.h.Name()}
		})
	case methodState:
		return answer(req, func(r StateRequest) any { return s.h.State(ctx, r) })
	case methodSubmit:
		return answer(req, func(r SubmitRequest) any { return s.h.Submit(ctx, r) })
	case methodAsk:
		return answer(req, func(r AskRequest) any { return s.h.Ask(ctx, r) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
}

func answer[P any](req *jsonrpc2.Request, f func(P) any) (any, *jsonrpc2.Error) {
	var p P
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(p), nil
}

// deadlineConn fails reads and writes that make no progress.
type deadlineConn struct {
	net.Conn
	read time.Duration
}

func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.read)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Serve accepts connections of other instances until the listener is closed.
func Serve(ctx context.Context, ln net.Listener, h Handler) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(redialPause)
			continue
		}
		s := &served{h: h}
		rpc := open(ctx, &deadlineConn{Conn: conn, read: idleAccepted}, s)
		go func() {
			<-rpc.DisconnectNotify()
			s.mu.Lock()
			name, peer := s.name, s.peer
			s.mu.Unlock()
			if peer != nil {
				h.Disconnected(name, peer)
			}
		}()
	}
}

func open(ctx context.Context, conn net.Conn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), jsonrpc2.AsyncHandler(h), quiet)
}

// Client keeps a connection to the owner. It is safe for concurrent use.
type Client struct {
	hello   Hello
	h       Handler
	traffic *httpjson.Traffic
	changed func(up bool, cause error)

	mu     sync.Mutex
	target string
	owner  string // incarnation expected at target
	conn   *jsonrpc2.Conn
	wake   chan struct{}
}

// NewClient returns a client that introduces its instance with hello, counts
// its bytes in traffic, and calls changed whenever the connection comes up or is
// lost.
func NewClient(hello Hello, h Handler, traffic *httpjson.Traffic, changed func(up bool, cause error)) *Client {
	return &Client{hello: hello, h: h, traffic: traffic, changed: changed, wake: make(chan struct{}, 1)}
}

// Target sets the owner and its address; empty if there is none to connect to.
func (c *Client) Target(address, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == address && c.owner == owner {
		return
	}
	c.target, c.owner = address, owner
	if c.conn != nil {
		_ = c.conn.Close()
	}
	select {
	case c.wake <- struct{}{}:
	default:
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
	conn := open(ctx, &deadlineConn{Conn: c.traffic.Conn(raw), read: idleAccepted}, &served{h: c.h})
	defer conn.Close()
	welcome, err := callWithin[Welcome](ctx, conn, methodHello, c.hello)
	if err != nil {
		return
	}
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
	c.mu.Unlock()
	c.changed(true, nil)
	cause := c.watch(ctx, conn)
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
	c.changed(false, cause)
}

// watch returns when the connection is lost or silent.
func (c *Client) watch(ctx context.Context, conn *jsonrpc2.Conn) error {
	for {
		select {
		case <-conn.DisconnectNotify():
			return jsonrpc2.ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pingInterval):
		}
		// One late answer may be a pause of the process, but a new connection
		// costs little, and the owner is suspected only if it is silent elsewhere.
		if _, err := callWithin[bool](ctx, conn, methodPing, struct{}{}); err != nil {
			return err
		}
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
		return StateReply{}, ErrNoLink
	}
	return call[StateReply](ctx, conn, methodState, r)
}

// Submit asks the owner to store entries.
func (c *Client) Submit(ctx context.Context, r SubmitRequest) (SubmitReply, error) {
	conn := c.current()
	if conn == nil {
		return SubmitReply{}, ErrNoLink
	}
	return call[SubmitReply](ctx, conn, methodSubmit, r)
}
