package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// lossSlack is how long after its conditions hold a link may be given up. It is the
// step between the claims of instances that have enough for an owner and of those
// that have not; a wider spread of the losses decides who claims.
const lossSlack = 150 * time.Millisecond

// answering is an owner that answers pings when the test wants it to.
type answering struct {
	*instance
	wait func() // before each answer
}

func (a *answering) Now() model.Time {
	a.wait()
	return a.instance.Now()
}

// seeing is an instance that sees the owner act elsewhere for as long as the test
// wants it to.
type seeing struct {
	*instance
	acts func() bool
}

func (s *seeing) OwnerActive() bool { return s.acts() }

// watched links an instance to an owner. It returns the times at which the link
// came up and was lost.
func watched(t *testing.T, owner, follower Handler) (up, lost <-chan time.Time) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go Serve(ctx, ln, owner)
	ups, losses := make(chan time.Time, 16), make(chan time.Time, 16)
	client := NewClient(Hello{Name: follower.Name()}, follower, newInstance("").traffic, func(up bool, _ error) {
		if up {
			ups <- time.Now()
			return
		}
		losses <- time.Now()
	})
	client.SetOwner(ln.Addr().String(), owner.Name())
	go client.Run(ctx)
	return ups, losses
}

// An owner that is gone answers no ping, and its entries end. Guards against losses
// that wait for the end of another ping: instances that have enough for an owner
// then learn of it by chance before or after the others.
func TestLinkIsLostWhenNothingShowsTheOwner(t *testing.T) {
	for name, actsFor := range map[string]time.Duration{
		"the last entry was old":      0,
		"entries until the timeout":   pingInterval + pingTimeout + 50*time.Millisecond,
		"entries until the next ping": 2 * (pingInterval + pingTimeout),
		"entries after the next ping": 2*(pingInterval+pingTimeout) + 50*time.Millisecond,
		"entries all along":           time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var gone atomic.Bool
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			owner := &answering{newInstance("owner"), func() {
				if gone.Load() {
					<-stop
				}
			}}
			var end atomic.Pointer[time.Time]
			follower := &seeing{newInstance("follower"), func() bool {
				e := end.Load()
				return e == nil || time.Now().Before(*e)
			}}
			up, lost := watched(t, owner, follower)
			begin := <-up
			gone.Store(true)
			e := begin.Add(actsFor)
			end.Store(&e)
			at := (<-lost).Sub(begin)
			due := min(max(actsFor, pingInterval+pingTimeout), maxSilence)
			t.Logf("lost after %v, due after %v", at, due)
			is.True(at >= min(actsFor, maxSilence)) // not while the owner acts
			is.True(at <= due+lossSlack)
		})
	}
}

// A busy owner answers each ping, later than a ping usually takes. Guards against
// instances that all connect again, which only adds to its work.
func TestLateAnswersKeepTheLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var busy atomic.Bool
	owner := &answering{newInstance("owner"), func() {
		if busy.Load() {
			time.Sleep(pingTimeout + 150*time.Millisecond)
		}
	}}
	up, lost := watched(t, owner, &seeing{newInstance("follower"), func() bool { return true }})
	<-up
	busy.Store(true)
	select {
	case <-lost:
		is.Fail() // although each ping was answered
	case <-time.After(3 * maxSilence):
	}
}
