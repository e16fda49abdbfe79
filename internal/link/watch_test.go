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

// detectionSlack bounds the time between the moment at which the loss of the owner can
// be detected and the closing of the connection. It is the difference between the claim
// delays of instances with and without sufficient resources for an owner. If detection
// took longer, an instance without them could claim ownership first.
const detectionSlack = 150 * time.Millisecond

// slowOwner is an owner whose answers to pings the test can delay.
type slowOwner struct {
	*fakeInstance
	beforeReply func() // called before each answer
}

func (o *slowOwner) Now() model.Time {
	o.beforeReply()
	return o.fakeInstance.Now()
}

// observingFollower is a follower for which the test decides whether the owner is
// active outside the connection.
type observingFollower struct {
	*fakeInstance
	ownerActive func() bool
}

func (f *observingFollower) OwnerActive() bool { return f.ownerActive() }

// startClient connects a follower to an owner. It returns the times at which the
// connection was established and lost.
func startClient(t *testing.T, owner, follower Handler) (up, lost <-chan time.Time) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go Serve(ctx, ln, owner)
	connects, losses := make(chan time.Time, 16), make(chan time.Time, 16)
	client := NewClient(Hello{Name: follower.Name()}, follower, newInstance("").traffic, func(up bool, _ error) {
		if up {
			connects <- time.Now()
			return
		}
		losses <- time.Now()
	})
	client.SetOwner(ln.Addr().String(), owner.Name())
	go client.Run(ctx)
	return connects, losses
}

// A lost owner answers no pings and writes no more entries to the store. Guards against
// a client that detects this only when the next ping times out: chance then decides
// whether instances with sufficient resources for an owner detect it first.
func TestConnectionIsClosedWhenOwnerIsInactive(t *testing.T) {
	for name, activeFor := range map[string]time.Duration{
		"no recent store entry":             0,
		"store entries until the timeout":   pingInterval + pingTimeout + 50*time.Millisecond,
		"store entries until the next ping": 2 * (pingInterval + pingTimeout),
		"store entries after the next ping": 2*(pingInterval+pingTimeout) + 50*time.Millisecond,
		"continuous store entries":          time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var gone atomic.Bool
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			owner := &slowOwner{newInstance("owner"), func() {
				if gone.Load() {
					<-stop
				}
			}}
			var activeUntil atomic.Pointer[time.Time]
			follower := &observingFollower{newInstance("follower"), func() bool {
				e := activeUntil.Load()
				return e == nil || time.Now().Before(*e)
			}}
			up, lost := startClient(t, owner, follower)
			start := <-up
			gone.Store(true)
			e := start.Add(activeFor)
			activeUntil.Store(&e)
			lostAfter := (<-lost).Sub(start)
			due := min(max(activeFor, pingInterval+pingTimeout), activeOwnerTimeout)
			t.Logf("connection closed after %v, detectable after %v", lostAfter, due)
			is.True(lostAfter >= min(activeFor, activeOwnerTimeout)) // not while the owner is active
			is.True(lostAfter <= due+detectionSlack)
		})
	}
}

// A busy owner answers each ping, but only after pingTimeout. Guards against clients
// that all reconnect, which would add to the owner's load.
func TestLatePongsKeepConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var busy atomic.Bool
	owner := &slowOwner{newInstance("owner"), func() {
		if busy.Load() {
			time.Sleep(pingTimeout + 150*time.Millisecond)
		}
	}}
	up, lost := startClient(t, owner, &observingFollower{newInstance("follower"), func() bool { return true }})
	<-up
	busy.Store(true)
	select {
	case <-lost:
		is.Fail() // although every ping was answered
	case <-time.After(3 * activeOwnerTimeout):
	}
}

// Guards against an owner that spends its processor on pings while calls and replies
// already show that it is alive. An idle connection is still pinged, and a busy one
// often enough to read the owner's clock in every window.
func TestBusyConnectionIsPingedRarely(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const observed = 2 * time.Second
	count := func(busy bool) int64 {
		var pings atomic.Int64
		owner := &slowOwner{newInstance("owner"), func() { pings.Add(1) }}
		follower := newInstance("follower")
		up, _ := startClient(t, owner, follower)
		<-up
		peer := <-owner.connected
		pings.Store(0)
		for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if busy {
				_, err := peer.Permits(context.Background(), PermitRequest{})
				is.NoErr(err)
			}
		}
		return pings.Load()
	}
	idle, busy := count(false), count(true)
	t.Logf("%d pings while idle, %d while busy", idle, busy)
	is.True(idle >= int64(observed/(2*pingInterval)))
	is.True(busy <= int64(observed/busyPingInterval)+1)
	is.True(busy >= int64(observed/offsetWindow))
}

// Guards against an owner whose pings grow without bound with the number of instances,
// and against instances that seem silent since they ping too rarely.
func TestPingIntervalGrowsWithInstances(t *testing.T) {
	is := is.New(t)
	var peers atomic.Int64
	for instances, want := range map[int64]time.Duration{
		8: pingInterval, 44: pingInterval, 100: 300 * time.Millisecond, 147: maxPingInterval, 3889: maxPingInterval,
	} {
		peers.Store(instances)
		is.Equal(pingIntervalFor(&peers), want)
	}
	is.Equal(pingIntervalFor(nil), pingInterval)
	is.True(maxPingInterval < maxPeerSilence)
	s := &connHandler{}
	for _, ms := range []int64{0, -5, 1 << 40} { // from older and faulty instances
		s.setPingInterval(ms)
		is.True(time.Duration(s.pingEvery.Load()) >= pingInterval && time.Duration(s.pingEvery.Load()) <= maxPingInterval)
	}
}
