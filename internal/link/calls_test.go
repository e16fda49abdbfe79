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
	"github.com/gentianpick/gentianpick/internal/model"
)

// instance is a Handler whose calls to workers are up to the test.
type instance struct {
	name      string
	bandwidth int64
	traffic   *httpjson.Traffic

	start func(ctx context.Context, s cell.Start) cell.Verdict
	renew func(ctx context.Context, r cell.Renew) cell.Renewed

	up   chan *Peer
	down chan int // calls lost with each connection
}

func newInstance(name string) *instance {
	return &instance{name: name, traffic: &httpjson.Traffic{}, up: make(chan *Peer, 8), down: make(chan int, 8)}
}

func (i *instance) State(context.Context, StateRequest) StateReply     { return StateReply{} }
func (i *instance) Submit(context.Context, SubmitRequest) SubmitReply  { return SubmitReply{} }
func (i *instance) Permits(context.Context, PermitRequest) PermitReply { return PermitReply{} }
func (i *instance) Name() string                                       { return i.name }
func (i *instance) OwnerActive() bool                                  { return true }
func (i *instance) Now() model.Time                                    { return model.Time(time.Now().UnixNano()) }
func (i *instance) Stop(context.Context, cell.Stop) cell.Verdict       { return cell.Accepted }

func (i *instance) Start(ctx context.Context, s cell.Start) cell.Verdict { return i.start(ctx, s) }

func (i *instance) Renew(ctx context.Context, r cell.Renew) cell.Renewed { return i.renew(ctx, r) }

func (i *instance) Connected(_ string, p *Peer) { i.up <- p }

func (i *instance) Disconnected(_ string, p *Peer) { i.down <- p.LostCalls }

// connect links a maker of calls to an owner. It returns the owner's end, the
// maker's, and the owner.
func connect(t testing.TB, maker *instance) (*Peer, *Client, *instance) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	owner := newInstance("owner")
	go Serve(ctx, ln, owner)
	client := NewClient(Hello{Name: maker.name, Bandwidth: maker.bandwidth}, maker, maker.traffic, func(bool, error) {})
	client.SetOwner(ln.Addr().String(), "owner")
	go client.Run(ctx)
	select {
	case p := <-owner.up:
		return p, client, owner
	case <-time.After(5 * time.Second):
		t.Fatal("not connected")
	}
	return nil, nil, nil
}

func startOf(job string, index int) cell.Start {
	return cell.Start{
		Worker: "w", Address: "a:1", Epoch: 7, Task: jobs.TaskRef{Job: jobs.ID(job), Occurrence: 1, Step: 2, Index: index}, Run: 3,
		Payload: "payload of " + job, LeaseUntil: model.WorkerTime(5 * time.Second), Checkpoint: "cp", Permit: "ticket", Timeout: 2 * time.Second,
	}
}

// A call must reach the worker as the owner meant it, and its answer must come back
// whole, whether messages are compressed or not.
func TestCallsArriveAsTheyWereMeant(t *testing.T) {
	received := map[string]uint64{}
	for name, bandwidth := range map[string]int64{"plain": packBelow, "compressed": packBelow - 1} {
		t.Run(name, func(t *testing.T) {
			maker := newInstance("maker")
			maker.bandwidth = bandwidth
			testCallsArrive(t, maker)
			received[name] = maker.traffic.BytesReceived.Load()
		})
	}
	is := is.New(t)
	is.True(received["compressed"] < received["plain"]/2)
}

func testCallsArrive(t *testing.T, maker *instance) {
	is := is.New(t)
	var mu sync.Mutex
	got := map[int]cell.Start{}
	maker.start = func(_ context.Context, s cell.Start) cell.Verdict {
		mu.Lock()
		defer mu.Unlock()
		got[s.Task.Index] = s
		return cell.NoRoom
	}
	r := cell.Renew{Worker: "w", Address: "a:1", Epoch: 7, AckedEnd: 9, LeaseUntil: model.WorkerTime(time.Second), Wait: 100 * time.Millisecond, Timeout: 2 * time.Second}
	answer := cell.Renewed{
		Worker: "w", Verdict: cell.Accepted, Boot: 1700000000123, Clock: model.WorkerTime(482113 * time.Millisecond),
		Running: []cell.RunStatus{{Task: startOf("j", 4).Task, Run: 2, Checkpoint: "x", Percent: 41}, {Task: startOf("j", 0).Task, Run: 1}},
		Ended:   []cell.RunEnd{{Seq: 58, Task: startOf("k", 0).Task, Run: 1, Outcome: jobs.OutcomeDone, Checkpoint: "y"}},
	}
	maker.renew = func(_ context.Context, got cell.Renew) cell.Renewed {
		is.Equal(got, r)
		return answer
	}
	p, _, _ := connect(t, maker)
	is.True(p.Usable())
	var all sync.WaitGroup
	for i := range 20 {
		all.Go(func() {
			v, err := p.Start(context.Background(), startOf(fmt.Sprint("job-", i%3), i))
			is.NoErr(err)
			is.Equal(v, cell.NoRoom)
		})
	}
	all.Wait()
	for i := range 20 {
		is.Equal(got[i], startOf(fmt.Sprint("job-", i%3), i))
	}
	for range 20 {
		back, err := p.Renew(context.Background(), r)
		is.NoErr(err)
		is.Equal(back, answer)
	}
	v, err := p.Stop(context.Background(), cell.Stop{Worker: "w", Timeout: time.Second})
	is.NoErr(err)
	is.Equal(v, cell.Accepted)
}

// A renewal that waits at its worker must not hold back the answers of others.
func TestLongPollHoldsNothingBack(t *testing.T) {
	is := is.New(t)
	maker := newInstance("maker")
	release := make(chan struct{})
	maker.renew = func(context.Context, cell.Renew) cell.Renewed {
		<-release
		return cell.Renewed{}
	}
	maker.start = func(context.Context, cell.Start) cell.Verdict { return cell.Accepted }
	p, _, _ := connect(t, maker)
	renewed := make(chan error, 1)
	go func() {
		_, err := p.Renew(context.Background(), cell.Renew{Worker: "w", Wait: 4 * time.Second, Timeout: 5 * time.Second})
		renewed <- err
	}()
	time.Sleep(20 * time.Millisecond)
	begin := time.Now()
	_, err := p.Start(context.Background(), startOf("j", 1))
	is.NoErr(err)
	is.True(time.Since(begin) < time.Second)
	close(release)
	is.NoErr(<-renewed)
}

// When the link is lost, calls that were made are in doubt at once, and later ones
// are certainly not made.
func TestLostLink(t *testing.T) {
	is := is.New(t)
	maker := newInstance("maker")
	begun, ended := make(chan struct{}), make(chan struct{})
	maker.start = func(ctx context.Context, _ cell.Start) cell.Verdict {
		close(begun)
		<-ctx.Done() // the instance gives its calls up too
		close(ended)
		return cell.Unknown
	}
	p, client, owner := connect(t, maker)
	result := make(chan error, 1)
	begin := time.Now()
	go func() {
		s := startOf("j", 1)
		s.Timeout = time.Minute
		_, err := p.Start(context.Background(), s)
		result <- err
	}()
	<-begun
	client.SetOwner("", "")
	err := <-result
	var lost *CallError
	is.True(errors.As(err, &lost))
	is.True(time.Since(begin) < 5*time.Second)
	<-ended
	is.Equal(<-owner.down, 1)
	_, err = p.Start(context.Background(), startOf("j", 2))
	is.True(errors.Is(err, ErrNotQueued))
}

// The owner waits longer than the instance, but not for good.
func TestCallWithoutAnswerIsInDoubt(t *testing.T) {
	is := is.New(t)
	maker := newInstance("maker")
	maker.start = func(ctx context.Context, _ cell.Start) cell.Verdict {
		<-ctx.Done()
		return cell.Unknown
	}
	p, _, _ := connect(t, maker)
	s := startOf("j", 1)
	s.Timeout = 50 * time.Millisecond
	begin := time.Now()
	_, err := p.Start(context.Background(), s)
	var lost *CallError
	is.True(errors.As(err, &lost))
	is.True(time.Since(begin) >= s.Timeout)
}

// An instance that is about to stop gets no more calls.
func TestLeavingInstanceIsNotUsed(t *testing.T) {
	is := is.New(t)
	p, client, _ := connect(t, newInstance("maker"))
	is.True(p.Usable())
	client.Leave(context.Background())
	for i := 0; p.Usable() && i < 500; i++ {
		time.Sleep(time.Millisecond)
	}
	is.True(!p.Usable())
}

// A call that is too old when the instance reads it may have been settled at its
// worker, in an earlier life that is over.
func TestOldCallIsNotMade(t *testing.T) {
	is := is.New(t)
	maker := newInstance("maker")
	made := 0
	maker.start = func(context.Context, cell.Start) cell.Verdict {
		made++
		return cell.Accepted
	}
	now := maker.Now()
	var age clockBound
	age.note(millis(now), now)
	s := startOf("j", 1)
	row := callRow{Kind: kindStart, Task: taskName{s.Task}, TimeoutMs: 200, Payload: &s.Payload}
	m := &making{h: maker, age: &age, wake: make(chan struct{}, 1)}
	m.take(context.Background(), callBatch{SentMs: millis(now) - 300, Calls: []callRow{row}})
	is.Equal(made, 0)
	is.Equal(m.answers, []answerRow{{Verdict: cell.NotSent}})
}

// The bound on the age must hold whatever the clocks show, and stay near the truth
// when some answers are late.
func TestClockBound(t *testing.T) {
	const (
		other = 1000 * time.Hour // what the other clock is ahead
		ms    = time.Millisecond
	)
	read := func(t model.Time) int64 { return millis(t.Add(other)) }
	is := is.New(t)
	var c clockBound
	start := model.Time(time.Hour)
	c.note(read(start.Add(3*ms)), start) // 3 ms there
	is.Equal(c.of(read(start.Add(10*ms)), start.Add(50*ms)), 43*ms)
	c.note(read(start.Add(300*ms)), start.Add(100*ms)) // a late one tells less
	is.Equal(c.of(read(start.Add(310*ms)), start.Add(350*ms)), 43*ms)
	// Long after, only newer readings count.
	for i := 1; i <= 3; i++ {
		at := start.Add(time.Duration(i) * 3 * time.Second)
		c.note(read(at.Add(8*ms)), at)
	}
	at := start.Add(10 * time.Second)
	is.Equal(c.of(read(at), at.Add(40*ms)), 48*ms)
}

// Both ends of a connection must forget the same payloads, or a start would go out
// without its own.
func TestPayloadsOfBothEnds(t *testing.T) {
	is := is.New(t)
	var sender, receiver payloads
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
		is.True(sender.bytes <= payloadBytes)
		is.Equal(len(sender.order), len(sender.byJob))
	}
	is.True(sent < 400)
	sender.put("empty", "")
	is.True(!sender.put("empty", "")) // an empty payload is one as well
	// A job that was forgotten everywhere may come again under its name.
	is.True(sender.put("j", "a"))
	is.True(sender.put("j", "b"))
	got, _ := sender.get("j")
	is.Equal(got, "b")
}

// The payload is most of a start. Tasks of one job that go the same way must share
// it.
func TestStartsShareThePayload(t *testing.T) {
	is := is.New(t)
	c := &calls{open: map[uint64]*outgoing{}, now: func() model.Time { return 0 }}
	for i := range 10 {
		s := startOf("j", i)
		o := &outgoing{epoch: 7, payload: strings.Repeat("x", 1000), row: callRow{Number: uint64(i), Kind: kindStart, Worker: "i-0b23625746", Address: "10.3.64.54:8206", Task: taskName{s.Task}, Run: 1, LeaseMs: 486000, TimeoutMs: 200}}
		c.open[o.row.Number] = o
		c.queue = append(c.queue, o)
	}
	b, ok := c.take()
	is.True(ok)
	is.Equal(len(b.Calls), 10)
	raw, err := json.Marshal(b)
	is.NoErr(err)
	is.True(len(raw) < 1000+10*rowBytes)
}
