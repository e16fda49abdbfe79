package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Config configures a Transport.
type Config struct {
	Self     model.Member
	Listener net.Listener // from Listen; Transport.Close closes it
	// Handler processes a received message and reports whether the event loop
	// has accepted it. It must return well before the sender's call times out.
	Handler       func(message.Envelope) bool
	LocalTimeout  time.Duration // of a call inside the data centre; zero: 1 s
	RemoteTimeout time.Duration // of a call to another data centre; zero: 3 s
}

// Transport sends messages to peers and receives messages from them. It is safe
// for concurrent use.
type Transport struct {
	cfg           Config
	ctx           context.Context
	cancel        context.CancelFunc
	localTraffic  Traffic
	remoteTraffic Traffic
	acceptSlots   chan struct{} // one for each accepted connection

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// New returns a transport that does not listen yet.
func New(cfg Config) *Transport {
	cfg.LocalTimeout = cmp.Or(cfg.LocalTimeout, localCallTimeout)
	cfg.RemoteTimeout = cmp.Or(cfg.RemoteTimeout, remoteCallTimeout)
	t := &Transport{cfg: cfg, peers: map[string]*peer{}, acceptSlots: make(chan struct{}, maxAcceptedConns)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// discardLog discards the log lines of the JSON-RPC library; the sender gets the
// same failures as errors.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Listen binds the address (IP:port) of the peer listener. Port 0 selects a free
// port. The error is a ListenError.
func Listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return ln, nil
}

// Serve accepts connections until the transport is closed.
func (t *Transport) Serve() {
	for {
		conn, err := t.cfg.Listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case t.acceptSlots <- struct{}{}:
			t.serveConn(conn)
		default:
			_ = conn.Close()
		}
	}
}

// Close stops listening and closes every connection. Queued messages are reported
// as not sent.
func (t *Transport) Close() {
	t.cancel()
	_ = t.cfg.Listener.Close()
}

// Traffic returns the byte counters for the local data centre and for all others.
func (t *Transport) Traffic() (local, remote *Traffic) { return &t.localTraffic, &t.remoteTraffic }

func (t *Transport) traffic(dc model.DataCentre) *Traffic {
	if dc == t.cfg.Self.DataCentre {
		return &t.localTraffic
	}
	return &t.remoteTraffic
}

// JSON-RPC error codes of rejected messages.
const (
	rpcCodeIncarnation = 1
	rpcCodeQueueFull   = 2
)

const messageMethod = "message"

// params is the parameter object of the method "message". To is empty if any
// incarnation may accept the message. Only the first message of a connection needs
// From, since all its messages come from one process.
type params struct {
	To   model.Incarnation `json:"to,omitempty"`
	From *model.Member     `json:"from,omitempty"`
	ID   string            `json:"id"`
	Body message.Body      `json:"body"`
}

// inboundConn handles the requests of one accepted connection in order.
type inboundConn struct {
	transport *Transport
	stream    *stream
	from      *model.Member // nil until the first message
}

func (t *Transport) serveConn(conn net.Conn) {
	s := newStream(conn, acceptedIdleTimeout, t.cfg.LocalTimeout)
	rpc := jsonrpc2.NewConn(t.ctx, s, &inboundConn{transport: t, stream: s}, discardLog)
	go func() {
		<-rpc.DisconnectNotify()
		<-t.acceptSlots
	}()
}

// Handle acknowledges or rejects one message. If the reply can't be written, the
// sender's call times out.
func (in *inboundConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if refusal := in.accept(req); refusal != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, refusal)
		return
	}
	_ = rpc.Reply(ctx, req.ID, true)
}

func (in *inboundConn) accept(req *jsonrpc2.Request) *jsonrpc2.Error {
	if req.Method != messageMethod || req.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	var p params
	if err := json.Unmarshal(*req.Params, &p); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if p.From != nil {
		in.from = p.From
	}
	if in.from == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "first message without sender"}
	}
	in.stream.setTraffic(in.transport.traffic(in.from.DataCentre))
	if p.To != "" && p.To != in.transport.cfg.Self.Incarnation {
		return &jsonrpc2.Error{Code: rpcCodeIncarnation, Message: "other incarnation"}
	}
	if !in.transport.cfg.Handler(message.Envelope{From: *in.from, ID: p.ID, Body: p.Body}) {
		return &jsonrpc2.Error{Code: rpcCodeQueueFull, Message: "event queue full"}
	}
	return nil
}
