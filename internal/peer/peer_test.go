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

// unreachedTimeout is a call timeout that no test reaches.
const unreachedTimeout = time.Hour

// startTransport starts a transport on a free port. Calls inside its data centre
// have the given timeout, calls to other data centres unreachedTimeout.
func startTransport(t *testing.T, name string, dc model.DataCentre, localTimeout time.Duration, handler func(message.Envelope) bool) (*Transport, model.Member) {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	is.New(t).NoErr(err)
	self := model.Member{Name: name, Incarnation: model.Incarnation(name + "-1"), DataCentre: dc, Address: ln.Addr().String()}
	tr := New(Config{Self: self, Listener: ln, Handler: handler, LocalTimeout: localTimeout, RemoteTimeout: unreachedTimeout})
	go tr.Serve()
	t.Cleanup(tr.Close)
	return tr, self
}

func acceptAll(message.Envelope) bool { return true }

// startRawPeer accepts connections and calls serve with each and its number, starting
// at 0.
func startRawPeer(t *testing.T, dc model.DataCentre, serve func(n int, conn net.Conn)) model.Member {
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
			go serve(n, conn)
		}
	}()
	return model.Member{Name: "raw", DataCentre: dc, Address: ln.Addr().String()}
}

// neverReply reads all input and sends no reply.
func neverReply(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func isNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

func isUnavailable(err error) bool {
	var e *UnavailableError
	return errors.As(err, &e)
}

// Guards against a NotSentError for a message that the receiver may have accepted,
// which would be reported as not_run by mistake, and against an UnavailableError for
// a message that it can't have accepted.
func TestSendReportsDeliveryResult(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	refusing.Close()
	_, live := startTransport(t, "live", "tartu", unreachedTimeout, acceptAll)
	_, busy := startTransport(t, "busy", "tartu", unreachedTimeout, func(message.Envelope) bool { return false })
	other := live
	other.Incarnation = "live-0"
	anyone := live
	anyone.Incarnation = ""
	cut := startRawPeer(t, "tartu", func(_ int, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		conn.Close()
	})
	for _, tc := range []struct {
		name         string
		to           model.Member
		size         int
		ok           bool
		want         func(error) bool
		code         model.Code
		localTimeout time.Duration // zero: unreachedTimeout
	}{
		{name: "acknowledged", to: live, ok: true},
		{name: "any incarnation", to: anyone, ok: true},
		{name: "connection refused", to: model.Member{DataCentre: "tartu", Address: refusing.Addr().String()}, want: isNotSent},
		{name: "other incarnation", to: other, want: isNotSent, code: CodeIncarnation},
		{name: "receiver queue full", to: busy, want: isNotSent, code: CodeRefused},
		{name: "message too large", to: live, size: maxFrameBytes, want: isNotSent},
		{name: "closed after writing", to: cut, want: isUnavailable},
		{name: "no acknowledgement", to: startRawPeer(t, "tartu", neverReply), want: isUnavailable, code: CodeDeadline, localTimeout: 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tr, _ := startTransport(t, "sender", "tartu", cmp.Or(tc.localTimeout, unreachedTimeout), acceptAll)
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

// Guards against an unresponsive peer that delays messages to others.
func TestUnresponsivePeerDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	tr, _ := startTransport(t, "sender", "tartu", unreachedTimeout, acceptAll)
	_, live := startTransport(t, "live", "tartu", unreachedTimeout, acceptAll)
	unresponsive := startRawPeer(t, "voru", neverReply)
	results := make(chan error, 2*maxQueuedCalls)
	for range maxQueuedCalls / 2 {
		is.NoErr(tr.Post(unresponsive, message.Envelope{}, func(err error) { results <- err }))
	}
	for range 100 {
		is.NoErr(tr.Send(context.Background(), live, message.Envelope{}))
	}
	is.Equal(len(results), 0)
}

// Guards against a connection that stays in use after the peer stopped replying on it.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	tr, _ := startTransport(t, "sender", "tartu", 2*time.Second, acceptAll)
	_, live := startTransport(t, "live", "tartu", unreachedTimeout, acceptAll)
	var dials atomic.Int32
	relay := startRawPeer(t, "tartu", func(n int, conn net.Conn) {
		dials.Add(1)
		if n == 0 {
			neverReply(n, conn)
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
	is.True(isUnavailable(tr.Send(context.Background(), relay, message.Envelope{})))
	is.NoErr(tr.Send(context.Background(), relay, message.Envelope{}))
	is.NoErr(tr.Send(context.Background(), relay, message.Envelope{}))
	is.Equal(dials.Load(), int32(2))
}

// Guards against a failed call when the peer has closed the connection while it was
// idle.
func TestClosedConnectionIsRedialledWithoutLoss(t *testing.T) {
	is := is.New(t)
	tr, _ := startTransport(t, "sender", "tartu", unreachedTimeout, acceptAll)
	ln, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	self := model.Member{Incarnation: "a", DataCentre: "tartu", Address: ln.Addr().String()}
	first := New(Config{Self: self, Listener: ln, Handler: acceptAll})
	go first.Serve()
	is.NoErr(tr.Send(context.Background(), self, message.Envelope{}))
	link := tr.peers[self.Address].conn
	first.Close()
	<-link.rpc.DisconnectNotify()

	ln, err = Listen(self.Address)
	is.NoErr(err)
	replaced := self
	replaced.Incarnation = "b"
	second := New(Config{Self: replaced, Listener: ln, Handler: acceptAll})
	go second.Serve()
	t.Cleanup(second.Close)
	is.True(isNotSent(tr.Send(context.Background(), self, message.Envelope{})))
	is.NoErr(tr.Send(context.Background(), replaced, message.Envelope{}))
}

// Guards against unbounded memory for an unresponsive peer, and against a message
// whose result is reported twice or never.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	tr, _ := startTransport(t, "sender", "tartu", unreachedTimeout, acceptAll)
	unresponsive := startRawPeer(t, "voru", neverReply)
	var refused int
	var posted []*atomic.Int32
	ended := make(chan struct{}, 4*maxQueuedCalls)
	for range 4 * maxQueuedCalls {
		reports := &atomic.Int32{}
		err := tr.Post(unresponsive, message.Envelope{}, func(error) {
			reports.Add(1)
			ended <- struct{}{}
		})
		if err == nil {
			posted = append(posted, reports)
			continue
		}
		is.True(isNotSent(err))
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
	is.True(isNotSent(tr.Post(unresponsive, message.Envelope{}, nil)))
}

// Guards against reordered messages and against bytes that are counted for the wrong
// data centre.
func TestMessageOrderAndTrafficCounters(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 200)
	receiver, to := startTransport(t, "receiver", "voru", unreachedTimeout, func(env message.Envelope) bool {
		got <- env.ID
		return true
	})
	tr, from := startTransport(t, "sender", "tartu", unreachedTimeout, acceptAll)
	results := make(chan error, cap(got))
	for i := range cap(got) {
		is.NoErr(tr.Post(to, message.Envelope{From: from, ID: strconv.Itoa(i)}, func(err error) { results <- err }))
	}
	for i := range cap(got) {
		is.NoErr(<-results)
		is.Equal(<-got, strconv.Itoa(i))
	}
	local, remote := tr.Traffic()
	receiverLocal, receiverRemote := receiver.Traffic()
	is.True(remote.Sent.Load() > 0)
	is.Equal(remote.Sent.Load(), receiverRemote.Received.Load())
	is.Equal(remote.Received.Load(), receiverRemote.Sent.Load())
	is.Equal(local.Sent.Load()+local.Received.Load()+receiverLocal.Sent.Load()+receiverLocal.Received.Load(), uint64(0))
}
