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

// Config is what a transport needs.
type Config struct {
	Self     model.Member
	Listener net.Listener // from Listen; closed with the transport
	// Handler takes a message that arrived and reports whether the event loop
	// has taken it. It must return well before the sender's deadline.
	Handler       func(message.Envelope) bool
	LocalTimeout  time.Duration // deadline of a call inside the data centre; zero: 1 s
	RemoteTimeout time.Duration // deadline of a call to another one; zero: 3 s
}

// Transport sends messages to peers and receives theirs. It is safe for
// concurrent use.
type Transport struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	near   Traffic
	far    Traffic
	slots  chan struct{} // one for each accepted connection

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// New returns a transport that does not listen yet.
func New(cfg Config) *Transport {
	cfg.LocalTimeout = cmp.Or(cfg.LocalTimeout, nearDeadline)
	cfg.RemoteTimeout = cmp.Or(cfg.RemoteTimeout, farDeadline)
	t := &Transport{cfg: cfg, peers: map[string]*peer{}, slots: make(chan struct{}, acceptedLimit)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// quiet discards the protocol library's own log lines; the same failures are
// returned to the sender.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Listen binds the address (IP:port) of the peer listener. A zero port takes a
// free one. The error is a ListenError.
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
			time.Sleep(acceptPause)
			continue
		}
		select {
		case t.slots <- struct{}{}:
			t.receive(conn)
		default:
			_ = conn.Close()
		}
	}
}

// Close stops listening and closes every connection. Messages that wait are
// reported as not sent.
func (t *Transport) Close() {
	t.cancel()
	_ = t.cfg.Listener.Close()
}

// Traffic returns the byte counts for the own data centre and for all others.
func (t *Transport) Traffic() (near, far *Traffic) { return &t.near, &t.far }

func (t *Transport) traffic(dc model.DataCentre) *Traffic {
	if dc == t.cfg.Self.DataCentre {
		return &t.near
	}
	return &t.far
}

// Numbers of the refusals, as jsonrpc2 error codes.
const (
	numberIncarnation = 1
	numberBusy        = 2
)

const method = "message"

// params is the parameter object of the method "message". To is empty if any
// incarnation may take the message. From is in the first message of a
// connection only, since all come from one process.
type params struct {
	To   model.Incarnation `json:"to,omitempty"`
	From *model.Member     `json:"from,omitempty"`
	ID   string            `json:"id"`
	Body message.Body      `json:"body"`
}

// inbound handles the requests of one accepted connection in their order.
type inbound struct {
	t    *Transport
	s    *stream
	from *model.Member // nil until the first message
}

func (t *Transport) receive(conn net.Conn) {
	s := newStream(conn, idleAccepted, t.cfg.LocalTimeout)
	rpc := jsonrpc2.NewConn(t.ctx, s, &inbound{t: t, s: s}, quiet)
	go func() {
		<-rpc.DisconnectNotify()
		<-t.slots
	}()
}

// Handle takes one message and acknowledges or refuses it. A failed reply is
// left to the sender's deadline.
func (in *inbound) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if refusal := in.take(req); refusal != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, refusal)
		return
	}
	_ = rpc.Reply(ctx, req.ID, true)
}

func (in *inbound) take(req *jsonrpc2.Request) *jsonrpc2.Error {
	if req.Method != method || req.Params == nil {
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
	in.s.attribute(in.t.traffic(in.from.DataCentre))
	if p.To != "" && p.To != in.t.cfg.Self.Incarnation {
		return &jsonrpc2.Error{Code: numberIncarnation, Message: "other incarnation"}
	}
	if !in.t.cfg.Handler(message.Envelope{From: *in.from, ID: p.ID, Body: p.Body}) {
		return &jsonrpc2.Error{Code: numberBusy, Message: "event queue full"}
	}
	return nil
}
