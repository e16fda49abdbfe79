// Package link connects the instances of a cell: every instance keeps one
// connection to the owner. It uses the connection to ask the owner for the
// state of jobs and to store submissions while the store can't be reached, and
// the owner uses it to ask for eligibility calls and calls to workers.
package link

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// pingInterval and pingTimeout find a silent connection. Together they are
	// below the time after which an owner without a link is suspected.
	pingInterval = 150 * time.Millisecond
	pingTimeout  = 250 * time.Millisecond
	dialTimeout  = 300 * time.Millisecond
	// maxSilence is how long an owner that is known to act may answer no ping. A
	// busy one answers late; a new connection would only add to its work. It bounds
	// the time for which a silent connection is kept.
	maxSilence = time.Second
	// lookInterval is how often a ping that is late is judged. It is a small part of
	// the differences between the claims of unlike instances.
	lookInterval = 25 * time.Millisecond
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
	methodLeave  = "leave"
	// Notifications: calls to workers to make, and their answers.
	methodCalls   = "c"
	methodAnswers = "a"
)

// Hello introduces the dialling instance.
type Hello struct {
	Name  string  `json:"name"`
	Cores float64 `json:"cores,omitempty"` // processor that the instance has
	// Bandwidth is that of the instance's link in bytes a second; zero if unknown.
	Bandwidth int64 `json:"bandwidth,omitempty"`
	Leaving   bool  `json:"leaving,omitempty"` // it is about to stop
}

// Welcome is the answer to a Hello.
type Welcome struct {
	Name    string `json:"name"` // of the instance that answers
	ClockMs int64  `json:"clock_ms"`
}

// Pong is the answer to a ping.
type Pong struct {
	ClockMs int64 `json:"c"`
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
	// RetryAfterMs is set if the owner refuses since it is overloaded: when the caller
	// should come back, in milliseconds.
	RetryAfterMs int64 `json:"retry_ms,omitempty"`
}

// PermitRequest asks for one eligibility call.
type PermitRequest struct {
	Job        jobs.ID            `json:"job"`
	Step       int                `json:"step"`
	Occurrence int                `json:"occur,omitempty"`
	Workers    []model.WorkerName `json:"workers"`
	// TimeoutMs is how long the owner waits for the answer, in milliseconds.
	TimeoutMs int64 `json:"within_ms,omitempty"`
}

// PermitReply is the answer to an eligibility call.
type PermitReply struct {
	Eligible   []cell.Permit `json:"eligible"`
	ValidForMs int64         `json:"valid_ms"` // that are left when the reply is sent
	Failed     bool          `json:"failed,omitempty"`
}

// Handler serves the requests of other instances.
type Handler interface {
	State(ctx context.Context, r StateRequest) StateReply
	Submit(ctx context.Context, r SubmitRequest) SubmitReply
	Permits(ctx context.Context, r PermitRequest) PermitReply
	// Start, Stop and Renew make calls to workers for the owner.
	Start(ctx context.Context, s cell.Start) cell.Verdict
	Stop(ctx context.Context, s cell.Stop) cell.Verdict
	Renew(ctx context.Context, r cell.Renew) cell.Renewed
	// Name returns the instance's incarnation.
	Name() string
	// Now reads a clock that includes times of suspension.
	Now() model.Time
	// OwnerActive reports whether the owner has shown itself elsewhere in a moment.
	OwnerActive() bool
	// Connected and Disconnected tell of instances that dialled this one.
	Connected(name string, p *Peer)
	Disconnected(name string, p *Peer)
}

// ErrReplaced reports that another instance answers at the owner's address.
var ErrReplaced = errors.New("another instance answers at the owner's address")

// ErrNotConnected reports that there is no connection to the owner.
var ErrNotConnected = errors.New("no link to the owner")

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
	// LostCalls is the number of calls to workers that had no answer when the link was
	// lost. It is set when the peer is disconnected.
	LostCalls int
	conn      *jsonrpc2.Conn
	raw       *deadlineConn
	calls     *calls
	leaving   atomic.Bool
}

// Permits makes the peer do an eligibility call. The error is a CallError.
func (p *Peer) Permits(ctx context.Context, r PermitRequest) (PermitReply, error) {
	return call[PermitReply](ctx, p.conn, methodAsk, r)
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
	h      Handler
	raw    *deadlineConn
	age    clockBound // of calls to workers
	making *making    // nil until there are such calls

	mu   sync.Mutex
	name string
	peer *Peer
}

// Handle implements jsonrpc2.Handler. It sees requests in their order, so it must
// not wait.
func (s *served) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch req.Method {
	case methodCalls:
		if b, ok := params[callBatch](req); ok {
			if s.making == nil {
				s.making = newMaking(ctx, s.h, conn, &s.age)
			}
			s.making.take(ctx, b)
		}
	case methodAnswers:
		if b, ok := params[answerBatch](req); ok {
			s.mu.Lock()
			peer := s.peer
			s.mu.Unlock()
			if peer != nil {
				peer.calls.settle(b)
			}
		}
	default:
		go s.reply(ctx, conn, req)
	}
}

func params[P any](req *jsonrpc2.Request) (P, bool) {
	var p P
	return p, req.Params != nil && json.Unmarshal(*req.Params, &p) == nil
}

func (s *served) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
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
		return Pong{ClockMs: millis(s.h.Now())}, nil
	case methodHello:
		return answer(req, func(h Hello) any {
			peer := &Peer{Cores: h.Cores, Bandwidth: h.Bandwidth, conn: conn, raw: s.raw, calls: newCalls(conn, s.h.Now)}
			peer.leaving.Store(h.Leaving)
			s.mu.Lock()
			s.name, s.peer = h.Name, peer
			s.mu.Unlock()
			s.h.Connected(h.Name, peer)
			return Welcome{Name: s.h.Name(), ClockMs: millis(s.h.Now())}
		})
	case methodLeave:
		s.mu.Lock()
		peer := s.peer
		s.mu.Unlock()
		if peer != nil {
			peer.leaving.Store(true)
		}
		return true, nil
	case methodState:
		return answer(req, func(r StateRequest) any { return s.h.State(ctx, r) })
	case methodSubmit:
		return answer(req, func(r SubmitRequest) any { return s.h.Submit(ctx, r) })
	case methodAsk:
		return answer(req, func(r PermitRequest) any { return s.h.Permits(ctx, r) })
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
	read  time.Duration
	begun time.Time
	heard atomic.Int64 // time of the newest bytes read, since begun
}

func newDeadlineConn(conn net.Conn) *deadlineConn {
	return &deadlineConn{Conn: conn, read: idleAccepted, begun: time.Now()}
}

// silence returns how long nothing has been read.
func (c *deadlineConn) silence() time.Duration {
	return time.Since(c.begun) - time.Duration(c.heard.Load())
}

func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.read)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(int64(time.Since(c.begun)))
	}
	return n, err
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
		s := &served{h: h, raw: newDeadlineConn(conn)}
		rpc := open(ctx, s, false)
		go func() {
			<-rpc.DisconnectNotify()
			s.mu.Lock()
			name, peer := s.name, s.peer
			s.mu.Unlock()
			if peer != nil {
				peer.LostCalls = peer.calls.close()
				h.Disconnected(name, peer)
			}
		}()
	}
}

func open(ctx context.Context, s *served, packed bool) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(s.raw, newCodec(packed)), s, quiet)
}
