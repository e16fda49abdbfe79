package peer

import (
	"cmp"
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// long is a deadline that no test reaches.
const long = time.Hour

// node starts a transport on a free port. Calls inside its data centre have
// the given deadline, others none that a test reaches.
func node(t *testing.T, name string, dc model.DataCentre, near time.Duration, handler func(message.Envelope) bool) (*Transport, model.Member) {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	is.New(t).NoErr(err)
	self := model.Member{Name: name, Incarnation: model.Incarnation(name + "-1"), DataCentre: dc, Address: ln.Addr().String()}
	tr := New(Config{Self: self, Listener: ln, Handler: handler, LocalTimeout: near, RemoteTimeout: long})
	go tr.Serve()
	t.Cleanup(tr.Close)
	return tr, self
}

func take(message.Envelope) bool { return true }

// raw accepts connections and hands them to f with their number, from 0.
func raw(t *testing.T, dc model.DataCentre, f func(n int, conn net.Conn)) model.Member {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go f(n, conn)
		}
	}()
	return model.Member{Name: "raw", DataCentre: dc, Address: ln.Addr().String()}
}

// silent reads and never answers.
func silent(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func certainlyNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

func ambiguous(err error) bool {
	var e *UnavailableError
	return errors.As(err, &e)
}

// Guards against "not sent" for a message that may have been taken, which
// would become a false not_run, and against "ambiguous" for one that was not.
func TestDelivery(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	refusing.Close()
	_, live := node(t, "live", "tartu", long, take)
	_, busy := node(t, "busy", "tartu", long, func(message.Envelope) bool { return false })
	other := live
	other.Incarnation = "live-0"
	anyone := live
	anyone.Incarnation = ""
	cut := raw(t, "tartu", func(_ int, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		conn.Close()
	})
	for _, tc := range []struct {
		name string
		to   model.Member
		size int
		ok   bool
		want func(error) bool
		code model.Code
		near time.Duration // zero: long
	}{
		{name: "acknowledged", to: live, ok: true},
		{name: "any incarnation", to: anyone, ok: true},
		{name: "connection refused", to: model.Member{DataCentre: "tartu", Address: refusing.Addr().String()}, want: certainlyNotSent},
		{name: "other incarnation", to: other, want: certainlyNotSent, code: CodeIncarnation},
		{name: "queue of the receiver full", to: busy, want: certainlyNotSent, code: CodeRefused},
		{name: "message too large", to: live, size: maxFrameBytes, want: certainlyNotSent},
		{name: "closed after writing", to: cut, want: ambiguous},
		{name: "no acknowledgement", to: raw(t, "tartu", silent), want: ambiguous, code: CodeDeadline, near: 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tr, _ := node(t, "sender", "tartu", cmp.Or(tc.near, long), take)
			body := message.Body{TextReply: &message.TextReply{Text: make([]byte, tc.size)}}
			err := tr.Send(context.Background(), tc.to, message.Envelope{ID: "1", Body: body})
			if tc.ok {
				is.NoErr(err)
				return
			}
			is.True(tc.want(err))
			if tc.code != "" {
				var cause interface{ Code() model.Code }
				is.True(errors.As(errors.UnwrapOnce(err), &cause))
				is.Equal(cause.Code(), tc.code)
			}
		})
	}
}

// Guards against a silent peer that holds up messages to others.
func TestSilentPeerDelaysNobody(t *testing.T) {
	is := is.New(t)
	tr, _ := node(t, "sender", "tartu", long, take)
	_, live := node(t, "live", "tartu", long, take)
	dead := raw(t, "voru", silent)
	ended := make(chan error, 2*maxQueuedCalls)
	for range maxQueuedCalls / 2 {
		is.NoErr(tr.Post(dead, message.Envelope{}, func(err error) { ended <- err }))
	}
	for range 100 {
		is.NoErr(tr.Send(context.Background(), live, message.Envelope{}))
	}
	is.Equal(len(ended), 0)
}

// Guards against a connection that stays in use after it has become silent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	tr, _ := node(t, "sender", "tartu", 2*time.Second, take)
	_, live := node(t, "live", "tartu", long, take)
	var dials atomic.Int32
	relay := raw(t, "tartu", func(n int, conn net.Conn) {
		dials.Add(1)
		if n == 0 {
			silent(n, conn)
			return
		}
		onward, err := net.Dial("tcp", live.Address)
		if err != nil {
			conn.Close()
			return
		}
		go func() { _, _ = io.Copy(onward, conn) }()
		_, _ = io.Copy(conn, onward)
	})
	is.True(ambiguous(tr.Send(context.Background(), relay, message.Envelope{})))
	is.NoErr(tr.Send(context.Background(), relay, message.Envelope{}))
	is.NoErr(tr.Send(context.Background(), relay, message.Envelope{}))
	is.Equal(dials.Load(), int32(2))
}

// Guards against a message that is reported lost because the peer had closed
// an idle connection before.
func TestClosedConnectionIsRedialled(t *testing.T) {
	is := is.New(t)
	tr, _ := node(t, "sender", "tartu", long, take)
	ln, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	self := model.Member{Incarnation: "a", DataCentre: "tartu", Address: ln.Addr().String()}
	first := New(Config{Self: self, Listener: ln, Handler: take})
	go first.Serve()
	is.NoErr(tr.Send(context.Background(), self, message.Envelope{}))
	link := tr.peers[self.Address].conn
	first.Close()
	<-link.rpc.DisconnectNotify()

	ln, err = Listen(self.Address)
	is.NoErr(err)
	replaced := self
	replaced.Incarnation = "b"
	second := New(Config{Self: replaced, Listener: ln, Handler: take})
	go second.Serve()
	t.Cleanup(second.Close)
	is.True(certainlyNotSent(tr.Send(context.Background(), self, message.Envelope{})))
	is.NoErr(tr.Send(context.Background(), replaced, message.Envelope{}))
}

// Guards against unbounded memory for a peer that takes nothing, and against a
// message that is reported twice or never.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	tr, _ := node(t, "sender", "tartu", long, take)
	dead := raw(t, "voru", silent)
	var refused int
	var posted []*atomic.Int32
	ended := make(chan struct{}, 4*maxQueuedCalls)
	for range 4 * maxQueuedCalls {
		reports := &atomic.Int32{}
		err := tr.Post(dead, message.Envelope{}, func(error) {
			reports.Add(1)
			ended <- struct{}{}
		})
		if err == nil {
			posted = append(posted, reports)
			continue
		}
		is.True(certainlyNotSent(err))
		refused++
	}
	is.True(refused >= 4*maxQueuedCalls-maxQueuedCalls-maxInFlightCalls-1)
	tr.Close()
	for range posted {
		<-ended
	}
	for _, reports := range posted {
		is.Equal(reports.Load(), int32(1))
	}
	is.True(certainlyNotSent(tr.Post(dead, message.Envelope{}, nil)))
}

// Guards against messages that overtake each other, and against bytes that are
// counted for the wrong data centre.
func TestOrderAndTraffic(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 200)
	receiver, to := node(t, "receiver", "voru", long, func(env message.Envelope) bool {
		got <- env.ID
		return true
	})
	tr, from := node(t, "sender", "tartu", long, take)
	ended := make(chan error, cap(got))
	for i := range cap(got) {
		is.NoErr(tr.Post(to, message.Envelope{From: from, ID: strconv.Itoa(i)}, func(err error) { ended <- err }))
	}
	for i := range cap(got) {
		is.NoErr(<-ended)
		is.Equal(<-got, strconv.Itoa(i))
	}
	near, far := tr.Traffic()
	theirNear, theirFar := receiver.Traffic()
	is.True(far.Sent.Load() > 0)
	is.Equal(far.Sent.Load(), theirFar.Received.Load())
	is.Equal(far.Received.Load(), theirFar.Sent.Load())
	is.Equal(near.Sent.Load()+near.Received.Load()+theirNear.Sent.Load()+theirNear.Received.Load(), uint64(0))
}
