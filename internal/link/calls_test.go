package link

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/listing"
	"github.com/gentianpick/gentianpick/internal/model"
)

// fakeInstance is a Handler that passes calls to workers to functions of the test.
type fakeInstance struct {
	name      string
	bandwidth int64
	traffic   *httpjson.Traffic

	start func(ctx context.Context, s cell.Start) cell.Verdict
	renew func(ctx context.Context, r cell.Renew) cell.Renewed

	onConnect func(p *Peer) // called by Connected if set
	connected chan *Peer
	lostCalls chan int // Peer.LostCalls of each lost connection
}

func newInstance(name string) *fakeInstance {
	return &fakeInstance{name: name, traffic: &httpjson.Traffic{}, connected: make(chan *Peer, 8), lostCalls: make(chan int, 8)}
}

func (i *fakeInstance) State(context.Context, StateRequest) StateReply     { return StateReply{} }
func (i *fakeInstance) Submit(context.Context, SubmitRequest) SubmitReply  { return SubmitReply{} }
func (i *fakeInstance) Permits(context.Context, PermitRequest) PermitReply { return PermitReply{} }
func (i *fakeInstance) Name() string                                       { return i.name }
func (i *fakeInstance) OwnerActive() bool                                  { return true }
func (i *fakeInstance) Now() model.Time                                    { return model.Time(time.Now().UnixNano()) }
func (i *fakeInstance) Stop(context.Context, cell.Stop) cell.Verdict       { return cell.Accepted }

func (i *fakeInstance) Start(ctx context.Context, s cell.Start) cell.Verdict { return i.start(ctx, s) }

func (i *fakeInstance) Renew(ctx context.Context, r cell.Renew) cell.Renewed { return i.renew(ctx, r) }

func (i *fakeInstance) Connected(_ string, p *Peer) {
	if i.onConnect != nil {
		i.onConnect(p)
	}
	i.connected <- p
}

func (i *fakeInstance) Disconnected(_ string, p *Peer) { i.lostCalls <- p.LostCalls }

// connect connects a follower, which executes calls, to a new owner. It returns the
// owner's peer, the follower's client and the owner.
func connect(t testing.TB, follower *fakeInstance) (*Peer, *Client, *fakeInstance) {
	t.Helper()
	return connectWith(t, follower, nil)
}

// connectWith is connect with a function that the owner calls for its new peer before it
// answers the follower's Hello.
func connectWith(t testing.TB, follower *fakeInstance, onConnect func(p *Peer)) (*Peer, *Client, *fakeInstance) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	owner := newInstance("owner")
	owner.onConnect = onConnect
	go Serve(ctx, ln, owner)
	client := NewClient(Hello{Name: follower.name, Bandwidth: follower.bandwidth}, follower, follower.traffic, func(bool, error) {})
	client.SetOwner(ln.Addr().String(), "owner")
	go client.Run(ctx)
	select {
	case p := <-owner.connected:
		return p, client, owner
	case <-time.After(5 * time.Second):
		t.Fatal("follower did not connect to the owner")
	}
	return nil, nil, nil
}

func newStart(job string, index int) cell.Start {
	return cell.Start{
		Worker: "w", Address: "a:1", Epoch: 7, Task: jobs.TaskRef{Job: jobs.ID(job), Occurrence: 1, Step: 2, Index: index}, Run: 3,
		Payload: "payload of " + job, LeaseUntil: model.WorkerTime(5 * time.Second), Checkpoint: "cp", Permit: "ticket", Timeout: 2 * time.Second,
	}
}

// Guards against fields of calls or replies that get lost or changed on the way, with
// and without compression.
func TestRelayedCallsRoundTrip(t *testing.T) {
	received := map[string]uint64{}
	for name, bandwidth := range map[string]int64{"plain": compressBelow, "compressed": compressBelow - 1} {
		t.Run(name, func(t *testing.T) {
			follower := newInstance("follower")
			follower.bandwidth = bandwidth
			testRelayedCalls(t, follower)
			received[name] = follower.traffic.BytesReceived.Load()
		})
	}
	is := is.New(t)
	is.True(received["compressed"] < received["plain"]/2)
}

func testRelayedCalls(t *testing.T, follower *fakeInstance) {
	is := is.New(t)
	var mu sync.Mutex
	got := map[int]cell.Start{}
	follower.start = func(_ context.Context, s cell.Start) cell.Verdict {
		mu.Lock()
		defer mu.Unlock()
		got[s.Task.Index] = s
		return cell.NoRoom
	}
	r := cell.Renew{Worker: "w", Address: "a:1", Epoch: 7, AckedEnd: 9, LeaseUntil: model.WorkerTime(time.Second), Wait: 100 * time.Millisecond, Timeout: 2 * time.Second}
	renewed := cell.Renewed{
		Worker: "w", Verdict: cell.Accepted, Boot: 1700000000123, Clock: model.WorkerTime(482113 * time.Millisecond),
		Running: []cell.RunStatus{{Task: newStart("j", 4).Task, Run: 2, Checkpoint: "x", Percent: 41}, {Task: newStart("j", 0).Task, Run: 1}},
		Ended:   listing.Part(cell.RunEnd{Seq: 58, Task: newStart("k", 0).Task, Run: 1, Outcome: jobs.OutcomeDone, Checkpoint: "y"}),
	}
	follower.renew = func(_ context.Context, got cell.Renew) cell.Renewed {
		is.Equal(got, r)
		return renewed
	}
	p, _, _ := connect(t, follower)
	is.True(p.Usable())
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			v, err := p.Start(context.Background(), newStart(fmt.Sprint("job-", i%3), i))
			is.NoErr(err)
			is.Equal(v, cell.NoRoom)
		})
	}
	wg.Wait()
	for i := range 20 {
		is.Equal(got[i], newStart(fmt.Sprint("job-", i%3), i))
	}
	for range 20 {
		reply, err := p.Renew(context.Background(), r)
		is.NoErr(err)
		is.Equal(reply, renewed)
	}
	v, err := p.Stop(context.Background(), cell.Stop{Worker: "w", Timeout: time.Second})
	is.NoErr(err)
	is.Equal(v, cell.Accepted)
}

// Calls that the owner relays before the follower has processed its Welcome must be
// executed. They were rejected as too old, since the follower had no reading of the
// owner's clock yet.
func TestCallsThatOvertakeWelcomeAreExecuted(t *testing.T) {
	is := is.New(t)
	follower := newInstance("follower")
	follower.start = func(context.Context, cell.Start) cell.Verdict { return cell.Accepted }
	verdicts := make(chan cell.Verdict, 1)
	connectWith(t, follower, func(p *Peer) {
		go func() {
			v, _ := p.Start(context.Background(), newStart("j", 1))
			verdicts <- v
		}()
		time.Sleep(pingTimeout / 4) // the call is sent before the Welcome
	})
	is.Equal(<-verdicts, cell.Accepted)
}

// A renewal that waits at its worker (long poll) must not delay the replies to other
// calls.
func TestLongPollDoesNotDelayOtherCalls(t *testing.T) {
	is := is.New(t)
	follower := newInstance("follower")
	release := make(chan struct{})
	follower.renew = func(context.Context, cell.Renew) cell.Renewed {
		<-release
		return cell.Renewed{}
	}
	follower.start = func(context.Context, cell.Start) cell.Verdict { return cell.Accepted }
	p, _, _ := connect(t, follower)
	renewed := make(chan error, 1)
	go func() {
		_, err := p.Renew(context.Background(), cell.Renew{Worker: "w", Wait: 4 * time.Second, Timeout: 5 * time.Second})
		renewed <- err
	}()
	time.Sleep(20 * time.Millisecond)
	start := time.Now()
	_, err := p.Start(context.Background(), newStart("j", 1))
	is.NoErr(err)
	is.True(time.Since(start) < time.Second)
	close(release)
	is.NoErr(<-renewed)
}

// When the connection is lost, calls that were sent must fail at once with an unknown
// result, and later calls must not be sent.
func TestLostConnectionFailsPendingCalls(t *testing.T) {
	is := is.New(t)
	follower := newInstance("follower")
	started, ended := make(chan struct{}), make(chan struct{})
	follower.start = func(ctx context.Context, _ cell.Start) cell.Verdict {
		close(started)
		<-ctx.Done() // the follower cancels its calls too
		close(ended)
		return cell.Unknown
	}
	p, client, owner := connect(t, follower)
	result := make(chan error, 1)
	start := time.Now()
	go func() {
		s := newStart("j", 1)
		s.Timeout = time.Minute
		_, err := p.Start(context.Background(), s)
		result <- err
	}()
	<-started
	client.SetOwner("", "")
	err := <-result
	var lost *CallError
	is.True(errors.As(err, &lost))
	is.True(time.Since(start) < 5*time.Second)
	<-ended
	is.Equal(<-owner.lostCalls, 1)
	_, err = p.Start(context.Background(), newStart("j", 2))
	is.True(errors.Is(err, ErrNotQueued))
}

// Without a reply, the owner stops waiting some time after the follower's own timeout.
func TestCallWithoutReplyTimesOut(t *testing.T) {
	is := is.New(t)
	follower := newInstance("follower")
	follower.start = func(ctx context.Context, _ cell.Start) cell.Verdict {
		<-ctx.Done()
		return cell.Unknown
	}
	p, _, _ := connect(t, follower)
	s := newStart("j", 1)
	s.Timeout = 50 * time.Millisecond
	start := time.Now()
	_, err := p.Start(context.Background(), s)
	var lost *CallError
	is.True(errors.As(err, &lost))
	is.True(time.Since(start) >= s.Timeout)
}

// An instance that is about to stop must get no more calls.
func TestLeavingInstanceIsNotUsable(t *testing.T) {
	is := is.New(t)
	p, client, _ := connect(t, newInstance("follower"))
	is.True(p.Usable())
	client.Leave(context.Background())
	for i := 0; p.Usable() && i < 500; i++ {
		time.Sleep(time.Millisecond)
	}
	is.True(!p.Usable())
}

// Guards against a start that arrives after the owner's timeout: the owner may have
// barred the run at the worker by then, and a worker that has restarted since would
// accept the start.
func TestStaleCallIsNotExecuted(t *testing.T) {
	is := is.New(t)
	follower := newInstance("follower")
	executed := 0
	follower.start = func(context.Context, cell.Start) cell.Verdict {
		executed++
		return cell.Accepted
	}
	now := follower.Now()
	var age ageBound
	age.addReading(millis(now), now)
	s := newStart("j", 1)
	request := callRequest{Kind: kindStart, Task: taskRef{s.Task}, TimeoutMs: 200, Payload: &s.Payload}
	e := &callExecutor{h: follower, age: &age, wake: make(chan struct{}, 1)}
	e.executeBatch(context.Background(), callBatch{SentMs: millis(now) - 300, Calls: []callRequest{request}})
	is.Equal(executed, 0)
	is.Equal(e.replies, []callReply{{Verdict: cell.NotSent}})
}

// The computed age must be an upper bound for any offset between the clocks, and must
// stay close to the true age when some readings arrive late.
func TestAgeBound(t *testing.T) {
	const (
		clockOffset = 1000 * time.Hour // remote clock minus local clock
		ms          = time.Millisecond
	)
	remoteClock := func(t model.Time) int64 { return millis(t.Add(clockOffset)) }
	is := is.New(t)
	var age ageBound
	start := model.Time(time.Hour)
	age.addReading(remoteClock(start.Add(3*ms)), start) // taken 3 ms after the request
	is.Equal(age.maxAge(remoteClock(start.Add(10*ms)), start.Add(50*ms)), 43*ms)
	age.addReading(remoteClock(start.Add(300*ms)), start.Add(100*ms)) // a late reading must not loosen the bound
	is.Equal(age.maxAge(remoteClock(start.Add(310*ms)), start.Add(350*ms)), 43*ms)
	// Readings from before the previous window must be dropped.
	for i := 1; i <= 3; i++ {
		at := start.Add(time.Duration(i) * 3 * time.Second)
		age.addReading(remoteClock(at.Add(8*ms)), at)
	}
	at := start.Add(10 * time.Second)
	is.Equal(age.maxAge(remoteClock(at), at.Add(40*ms)), 48*ms)
}

// Both ends of a connection must evict the same payloads. Otherwise a start is sent
// without a payload that the receiver no longer has.
func TestPayloadCachesStayInSync(t *testing.T) {
	is := is.New(t)
	var sender, receiver payloadCache
	sent := 0
	for i := range 400 {
		job := jobs.ID(fmt.Sprintf("%016x", i*i%97))
		payload := strings.Repeat("x", i*i%97*40)
		if sender.put(job, payload) {
			sent++
			receiver.put(job, payload)
		}
		got, known := receiver.get(job)
		is.True(known)
		is.Equal(got, payload)
		is.True(sender.bytes <= maxCachedPayloadBytes)
		is.Equal(len(sender.order), len(sender.byJob))
	}
	is.True(sent < 400)
	sender.put("empty", "")
	is.True(!sender.put("empty", "")) // an empty payload is cached too
	// The ID of a deleted job may be used again with another payload.
	is.True(sender.put("j", "a"))
	is.True(sender.put("j", "b"))
	got, _ := sender.get("j")
	is.Equal(got, "b")
}

// The payload is the largest part of a start. Starts of one job that are relayed over
// the same connection must carry it once.
func TestStartsOfOneJobSharePayload(t *testing.T) {
	is := is.New(t)
	c := &callSender{pending: map[uint64]*pendingCall{}, now: func() model.Time { return 0 }}
	for i := range 10 {
		s := newStart("j", i)
		pc := &pendingCall{epoch: 7, payload: strings.Repeat("x", 1000), request: callRequest{ID: uint64(i), Kind: kindStart, Worker: "i-0b23625746", Address: "10.3.64.54:8206", Task: taskRef{s.Task}, Run: 1, LeaseMs: 486000, TimeoutMs: 200}}
		c.pending[pc.request.ID] = pc
		c.queue = append(c.queue, pc)
	}
	b, ok := c.nextBatch()
	is.True(ok)
	is.Equal(len(b.Calls), 10)
	raw, err := json.Marshal(b)
	is.NoErr(err)
	is.True(len(raw) < 1000+10*callOverheadBytes)
}
