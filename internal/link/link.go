// Package link connects the instances of a cell with JSON-RPC. Every instance maintains
// one connection to the owner. It queries the owner for the state of jobs and, while it
// can't reach the store, forwards submissions to the owner. In the other direction, the
// owner relays calls to workers and to the eligibility service through the instance.
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
	// pingInterval and pingTimeout bound the time until a silent connection is
	// detected. Their sum is below the time after which an owner without a connection
	// is suspected.
	pingInterval = 150 * time.Millisecond
	pingTimeout  = 250 * time.Millisecond
	dialTimeout  = 300 * time.Millisecond
	// pingCost is the part of the owner's time that one connected instance's pings may
	// occupy, as an interval between the pings of all instances. With more instances,
	// each pings less often, up to maxPingInterval, which is below maxPeerSilence.
	pingCost        = 3 * time.Millisecond
	maxPingInterval = 400 * time.Millisecond
	// busyPingInterval replaces pingInterval while other messages show that both ends
	// are alive. The pings that remain read the owner's clock, a few times in each
	// offsetWindow.
	busyPingInterval = 450 * time.Millisecond
	// activeOwnerTimeout replaces pingTimeout while OwnerActive reports an active owner.
	// A busy owner answers late, and a reconnect would only add to its load. It is the
	// longest time for which a silent connection is kept.
	activeOwnerTimeout = time.Second
	// latePingCheckInterval is how often the client checks for an inactive owner while a
	// ping is late. It is small compared with the differences between the claim delays
	// of instances with different resources.
	latePingCheckInterval = 25 * time.Millisecond
	// writeTimeout bounds a write to a peer that has stopped reading.
	writeTimeout = time.Second
	// redialDelay is the pause between connection attempts, and after a failed accept.
	redialDelay = 150 * time.Millisecond
	// readTimeout closes a connection that has received nothing, not even a ping or its
	// answer.
	readTimeout = 2 * time.Second
)

// JSON-RPC methods.
const (
	methodHello  = "hello"
	methodPing   = "ping"
	methodState  = "state"
	methodSubmit = "submit"
	methodAsk    = "ask"
	methodLeave  = "leave"
	// methodCalls and methodReplies are notifications with relayed calls to workers and
	// the replies to them.
	methodCalls   = "c"
	methodReplies = "a"
)

// Hello is the first request on a connection. It introduces the dialling instance.
type Hello struct {
	Name  string  `json:"name"`
	Cores float64 `json:"cores,omitempty"` // CPU cores of the instance
	// Bandwidth of the instance's network link in bytes per second; zero if unknown.
	Bandwidth int64 `json:"bandwidth,omitempty"`
	Leaving   bool  `json:"leaving,omitempty"` // the instance is about to stop
}

// Welcome is the reply to a Hello.
type Welcome struct {
	Name    string `json:"name"` // incarnation of the accepting instance
	ClockMs int64  `json:"clock_ms"`
	PingMs  int64  `json:"ping_ms,omitempty"` // as in Pong
}

// Pong is the reply to a ping.
type Pong struct {
	ClockMs int64 `json:"c"`
	// PingMs is the interval until the next ping in milliseconds; zero stands for
	// pingInterval.
	PingMs int64 `json:"i,omitempty"`
}

// StateRequest asks for the state of a job.
type StateRequest struct {
	ID jobs.ID `json:"id"`
}

// StateReply is the state of a job as the owner knows it.
type StateReply struct {
	Known bool       `json:"known"`
	Owner bool       `json:"owner"` // the replying instance owns the cell
	State jobs.State `json:"state,omitempty"`
	Queue string     `json:"queue,omitempty"` // of the job; empty from an earlier build
}

// SubmitRequest asks the owner to store a submission or a cancellation.
type SubmitRequest struct {
	Entry cell.Entry `json:"entry"`
}

// SubmitReply is the result of a SubmitRequest.
type SubmitReply struct {
	Stored  bool `json:"stored"`
	InDoubt bool `json:"in_doubt,omitempty"`
	// RetryAfterMs is set if the owner rejects the request because it is overloaded. It
	// is the delay in milliseconds after which the caller should retry.
	RetryAfterMs int64 `json:"retry_ms,omitempty"`
}

// PermitRequest asks an instance to call the eligibility service for a step, and to
// return permits for the workers that may run it.
type PermitRequest struct {
	Job        jobs.ID            `json:"job"`
	Step       int                `json:"step"`
	Occurrence int                `json:"occur,omitempty"`
	Workers    []model.WorkerName `json:"workers"`
	// TimeoutMs is how long the owner waits for the reply, in milliseconds.
	TimeoutMs int64 `json:"within_ms,omitempty"`
}

// PermitReply is the result of an eligibility call.
type PermitReply struct {
	Eligible   []cell.Permit `json:"eligible"`
	ValidForMs int64         `json:"valid_ms"` // remaining validity in milliseconds when the reply is sent
	Failed     bool          `json:"failed,omitempty"`
}

// Handler serves requests of other instances.
type Handler interface {
	State(ctx context.Context, r StateRequest) StateReply
	Submit(ctx context.Context, r SubmitRequest) SubmitReply
	Permits(ctx context.Context, r PermitRequest) PermitReply
	// Start, Stop and Renew execute calls to workers for the owner.
	Start(ctx context.Context, s cell.Start) cell.Verdict
	Stop(ctx context.Context, s cell.Stop) cell.Verdict
	Renew(ctx context.Context, r cell.Renew) cell.Renewed
	// Name returns the incarnation of this instance.
	Name() string
	// Now returns the time of a clock that keeps running while the machine is suspended.
	Now() model.Time
	// OwnerActive reports whether there is recent evidence outside this connection, such
	// as new entries in the store, that the owner is active.
	OwnerActive() bool
	// Connected and Disconnected are called when another instance has connected to this
	// one, and when its connection is lost.
	Connected(name string, p *Peer)
	Disconnected(name string, p *Peer)
}

// ErrReplaced reports that the instance at the owner's address is another incarnation.
var ErrReplaced = errors.New("another instance answers at the owner's address")

// ErrNotConnected reports that there is no connection to the owner.
var ErrNotConnected = errors.New("not connected to the owner")

// CallError reports a call that failed or got no reply. The other instance may have
// executed it.
type CallError struct {
	Method string
	Cause  error
}

func (e *CallError) Error() string { return "link: " + e.Method + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Peer is an instance that has connected to this one.
type Peer struct {
	Cores     float64 // CPU cores of the instance
	Bandwidth int64   // of its network link, in bytes per second; zero if unknown
	// LostCalls is the number of calls that were written but had no reply when the
	// connection was lost. It is set before Handler.Disconnected is called.
	LostCalls int
	conn      *jsonrpc2.Conn
	netConn   *deadlineConn
	sender    *callSender
	leaving   atomic.Bool
}

// Permits calls the eligibility service through the peer. The error is a CallError.
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

var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// connHandler serves the requests on one connection.
type connHandler struct {
	h       Handler
	peers   *atomic.Int64 // number of connected instances; nil on the dialling end
	netConn *deadlineConn
	age     ageBound // of received call batches
	// welcomePending is set on the dialling end until the owner's Welcome is processed.
	welcomePending bool
	earlyBatches   []callBatch   // received while welcomePending is set
	executor       *callExecutor // nil until the first batch is executed
	batchMu        sync.Mutex    // guards the three fields above and executeBatch
	// pingEvery is the interval between pings of the dialling end, in nanoseconds.
	pingEvery atomic.Int64

	mu   sync.Mutex
	name string
	peer *Peer
}

// Handle implements jsonrpc2.Handler. It is called for one request after another in the
// order of their arrival, and must not block.
func (s *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch req.Method {
	case methodCalls:
		if b, ok := decodeParams[callBatch](req); ok {
			s.receiveBatch(ctx, conn, b)
		}
	case methodReplies:
		if b, ok := decodeParams[replyBatch](req); ok {
			s.mu.Lock()
			peer := s.peer
			s.mu.Unlock()
			if peer != nil {
				peer.sender.deliver(b)
			}
		}
	default:
		go s.serveRequest(ctx, conn, req)
	}
}

// receiveBatch executes a batch of calls, or keeps it until the Welcome is processed.
// The owner may relay calls as soon as it has read the Hello, so that they overtake its
// Welcome. Without the clock reading in the Welcome, the age of calls is unknown.
func (s *connHandler) receiveBatch(ctx context.Context, conn *jsonrpc2.Conn, b callBatch) {
	s.batchMu.Lock()
	defer s.batchMu.Unlock()
	if s.welcomePending {
		s.earlyBatches = append(s.earlyBatches, b)
		return
	}
	s.executeBatch(ctx, conn, b)
}

func (s *connHandler) executeBatch(ctx context.Context, conn *jsonrpc2.Conn, b callBatch) {
	if s.executor == nil {
		s.executor = newCallExecutor(ctx, s.h, conn, &s.age)
	}
	s.executor.executeBatch(ctx, b)
}

// processWelcome adopts the owner's clock reading, and executes the calls that arrived
// before it.
func (s *connHandler) processWelcome(ctx context.Context, conn *jsonrpc2.Conn, w Welcome, helloSentAt model.Time) {
	s.age.addReading(w.ClockMs, helloSentAt)
	s.setPingInterval(w.PingMs)
	s.batchMu.Lock()
	defer s.batchMu.Unlock()
	s.welcomePending = false
	for _, b := range s.earlyBatches {
		s.executeBatch(ctx, conn, b)
	}
	s.earlyBatches = nil
}

func decodeParams[P any](req *jsonrpc2.Request) (P, bool) {
	var p P
	return p, req.Params != nil && json.Unmarshal(*req.Params, &p) == nil
}

func (s *connHandler) serveRequest(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, conn, req)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, err)
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func (s *connHandler) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, *jsonrpc2.Error) {
	switch req.Method {
	case methodPing:
		return Pong{ClockMs: millis(s.h.Now()), PingMs: pingIntervalFor(s.peers).Milliseconds()}, nil
	case methodHello:
		return handleRequest(req, func(h Hello) any {
			peer := &Peer{Cores: h.Cores, Bandwidth: h.Bandwidth, conn: conn, netConn: s.netConn, sender: newCallSender(conn, s.h.Now)}
			peer.leaving.Store(h.Leaving)
			s.mu.Lock()
			s.name, s.peer = h.Name, peer
			s.mu.Unlock()
			s.h.Connected(h.Name, peer)
			return Welcome{Name: s.h.Name(), ClockMs: millis(s.h.Now()), PingMs: pingIntervalFor(s.peers).Milliseconds()}
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
		return handleRequest(req, func(r StateRequest) any { return s.h.State(ctx, r) })
	case methodSubmit:
		return handleRequest(req, func(r SubmitRequest) any { return s.h.Submit(ctx, r) })
	case methodAsk:
		return handleRequest(req, func(r PermitRequest) any { return s.h.Permits(ctx, r) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
}

// pingIntervalFor returns the interval between pings of each of the connected instances.
func pingIntervalFor(peers *atomic.Int64) time.Duration {
	if peers == nil {
		return pingInterval
	}
	return min(max(pingInterval, time.Duration(peers.Load())*pingCost), maxPingInterval)
}

func handleRequest[P any](req *jsonrpc2.Request, f func(P) any) (any, *jsonrpc2.Error) {
	var p P
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(p), nil
}

// deadlineConn is a connection whose reads and writes time out.
type deadlineConn struct {
	net.Conn
	readTimeout time.Duration
	start       time.Time
	lastRead    atomic.Int64 // time of the last successful read, in nanoseconds since start
	lastWrite   atomic.Int64 // the same of the last successful write
}

func newDeadlineConn(conn net.Conn) *deadlineConn {
	return &deadlineConn{Conn: conn, readTimeout: readTimeout, start: time.Now()}
}

// idleTime returns the time since the last successful read.
func (c *deadlineConn) idleTime() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastRead.Load())
}

// active reports whether data was received and sent within a ping interval.
func (c *deadlineConn) active() bool {
	return time.Since(c.start)-time.Duration(min(c.lastRead.Load(), c.lastWrite.Load())) < pingInterval
}

// setPingInterval adopts the interval that the owner asks for.
func (s *connHandler) setPingInterval(ms int64) {
	s.pingEvery.Store(int64(min(max(time.Duration(ms)*time.Millisecond, pingInterval), maxPingInterval)))
}

func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.start)))
	}
	return n, err
}

func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err == nil {
		c.lastWrite.Store(int64(time.Since(c.start)))
	}
	return n, err
}

// Serve accepts connections from other instances until the listener is closed.
func Serve(ctx context.Context, ln net.Listener, h Handler) {
	var peers atomic.Int64
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(redialDelay)
			continue
		}
		s := &connHandler{h: h, peers: &peers, netConn: newDeadlineConn(conn)}
		peers.Add(1)
		rpc := newRPCConn(ctx, s, false)
		go func() {
			<-rpc.DisconnectNotify()
			peers.Add(-1)
			s.mu.Lock()
			name, peer := s.name, s.peer
			s.mu.Unlock()
			if peer != nil {
				peer.LostCalls = peer.sender.close()
				h.Disconnected(name, peer)
			}
		}()
	}
}

func newRPCConn(ctx context.Context, s *connHandler, compressed bool) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(s.netConn, newCodec(compressed)), s, discardLogs)
}
