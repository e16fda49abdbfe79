package node

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/model"
)

// unansweringPeer is an instance that answers renewals and has no answer to starts.
type unansweringPeer struct {
	link.Handler
	name string
	up   chan *link.Peer
}

func (m *unansweringPeer) Name() string                                   { return m.name }
func (m *unansweringPeer) Now() model.Time                                { return model.Time(time.Now().UnixNano()) }
func (m *unansweringPeer) OwnerActive() bool                              { return true }
func (m *unansweringPeer) Connected(_ string, p *link.Peer)               { m.up <- p }
func (m *unansweringPeer) Disconnected(string, *link.Peer)                {}
func (m *unansweringPeer) Start(context.Context, cell.Start) cell.Verdict { return cell.Unknown }
func (m *unansweringPeer) Renew(_ context.Context, r cell.Renew) cell.Renewed {
	return cell.Renewed{Worker: r.Worker}
}

// An instance that is too slow for the timeout of starts, but not for that of renewals,
// must not keep relaying the starts of its workers: none of them would be answered.
func TestCallsAvoidInstanceAfterUnansweredStart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	owner, relay := &unansweringPeer{name: "owner", up: make(chan *link.Peer, 1)}, &unansweringPeer{name: "relay"}
	go link.Serve(ctx, ln, owner)
	client := link.NewClient(link.Hello{Name: "relay"}, relay, &httpjson.Traffic{}, func(bool, error) {})
	client.SetOwner(ln.Addr().String(), "owner")
	go client.Run(ctx)

	tel := NewTelemetry(io.Discard, "error", "owner")
	defer tel.Close()
	n := &Node{self: "owner", settings: Settings{Bandwidth: 1000}, deps: Deps{Telemetry: tel, Now: relay.Now}}
	d := newDispatcher(n)
	d.workers.Store(350)
	d.addPeer("relay", <-owner.up)
	time.Sleep(300 * time.Millisecond) // until it has pinged
	w := model.WorkerName("")
	for i := range 100 {
		w = model.WorkerName("w" + strconv.Itoa(i))
		if _, name := d.route(w); name == "relay" {
			break
		}
	}
	_, before := d.route(w)
	is.Equal(before, "relay")
	is.Equal(d.Start(ctx, cell.Start{Worker: w, Timeout: 200 * time.Millisecond}), cell.Unknown)
	_, after := d.route(w)
	is.Equal(after, "owner")
}
