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

// slowMaker is an instance whose starts come to nothing.
type slowMaker struct {
	link.Handler
	name string
	up   chan *link.Peer
}

func (m *slowMaker) Name() string                                   { return m.name }
func (m *slowMaker) Now() model.Time                                { return model.Time(time.Now().UnixNano()) }
func (m *slowMaker) OwnerActive() bool                              { return true }
func (m *slowMaker) Connected(_ string, p *link.Peer)               { m.up <- p }
func (m *slowMaker) Disconnected(string, *link.Peer)                {}
func (m *slowMaker) Start(context.Context, cell.Start) cell.Verdict { return cell.Unknown }
func (m *slowMaker) Renew(_ context.Context, r cell.Renew) cell.Renewed {
	return cell.Renewed{Worker: r.Worker}
}

// An instance that was too slow for the timeout of starts, and in time for that of
// renewals, was asked to make every start at its workers: none of them had an answer.
func TestStartsKeepOffAnInstanceThatIsSlow(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	owner, maker := &slowMaker{name: "owner", up: make(chan *link.Peer, 1)}, &slowMaker{name: "maker"}
	go link.Serve(ctx, ln, owner)
	client := link.NewClient(link.Hello{Name: "maker"}, maker, &httpjson.Traffic{}, func(bool, error) {})
	client.SetOwner(ln.Addr().String(), "owner")
	go client.Run(ctx)

	tel := NewTelemetry(io.Discard, "error", "owner")
	defer tel.Close()
	n := &Node{self: "owner", set: Settings{Bandwidth: 1000}, deps: Deps{Telemetry: tel, Now: maker.Now}}
	d := newDispatcher(n)
	d.workers.Store(350)
	d.set("maker", <-owner.up)
	time.Sleep(300 * time.Millisecond) // it has pinged
	w := model.WorkerName("")
	for i := range 100 {
		w = model.WorkerName("w" + strconv.Itoa(i))
		if _, name := d.route(w); name == "maker" {
			break
		}
	}
	_, before := d.route(w)
	is.Equal(before, "maker")
	is.Equal(d.Start(ctx, cell.Start{Worker: w, Timeout: 200 * time.Millisecond}), cell.Unknown)
	_, after := d.route(w)
	is.Equal(after, "owner")
}
