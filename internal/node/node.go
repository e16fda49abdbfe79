// Package node runs one instance: it follows the store, drives the cell's
// reducer, carries its effects out, and serves callers. It decides only how
// calls are repeated.
package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/store"
)

// WorkerClient makes calls to workers.
type WorkerClient interface {
	Start(ctx context.Context, s cell.Start) cell.Verdict
	Stop(ctx context.Context, s cell.Stop) cell.Verdict
	Renew(ctx context.Context, r cell.Renew) cell.Renewed
}

// EligibilityClient asks which workers may run a step.
type EligibilityClient interface {
	Check(ctx context.Context, r link.PermitRequest) (link.PermitReply, error)
}

// Decoders read the records that others write into the store.
type Decoders struct {
	// Config returns nil for a record that holds no configuration.
	Config func(key string, value []byte) (*jobs.Config, error)
	Worker func(key string, value []byte) (jobs.WorkerInfo, error)
}

// Deps are what a node works with.
type Deps struct {
	Store       store.Store
	Workers     WorkerClient
	Eligibility EligibilityClient
	Decode      Decoders
	Telemetry   *Telemetry
	// Traffic is what the adapters count into; nil if nobody does.
	Traffic *Traffic
	// Now reads a clock that includes times of suspension.
	Now func() model.Time
}

const (
	// eventQueue bounds the events that wait for the reducer.
	eventQueue = 8192
	// cellName is the writer of the progress stream and the name of the cell.
	cellName = "cell-0"
	// stepPause bounds the steps of an owner to a few hundred a second. It is a
	// small part of the slack of urgent work.
	stepPause = 2 * time.Millisecond
	// retentionMargin keeps finished jobs longer than callers may ask for them,
	// since the clocks of VMs differ.
	retentionMargin = 60 * time.Second
)

// Node is one running instance.
type Node struct {
	set  Settings
	deps Deps
	self string // incarnation

	events chan batch
	client *link.Client

	mu      sync.Mutex // guards cell, life, workers and peers
	cell    *cell.Cell
	life    *life
	workers map[model.WorkerName]jobs.WorkerInfo
	peers   map[string]*link.Peer

	config   atomic.Pointer[jobs.Config]
	subs     []*follower // by part of the submissions
	progress *follower
	submits  *submitter
	offers   offers
	watches  watches
	dispatch *dispatcher
	relayed  relayed

	draining atomic.Bool
	latency  smoothed     // of appends
	storeOK  atomic.Int64 // model.Time of the newest answer of the store
}

// life is the time from one load of the cell's streams to the next.
type life struct {
	ctx    context.Context
	cancel context.CancelFunc
	owner  atomic.Bool
	loaded atomic.Bool
	// claimSeq is the sequence number of the instance's own claim.
	claimSeq atomic.Int64
}

var _ JobAPI = (*Node)(nil)

// New returns a node that does not run yet.
func New(set Settings, deps Deps, incarnation string) *Node {
	if deps.Traffic == nil {
		deps.Traffic = &Traffic{}
	}
	deps.Telemetry.traffic(deps.Traffic)
	n := &Node{
		set: set, deps: deps, self: incarnation,
		events:  make(chan batch, eventQueue),
		workers: map[model.WorkerName]jobs.WorkerInfo{},
		peers:   map[string]*link.Peer{},
	}
	n.dispatch = newDispatcher(n)
	// Until Run begins, the instance knows nothing and is not loaded.
	n.cell, n.life = n.newCell(), &life{ctx: context.Background(), cancel: func() {}}
	n.client = link.NewClient(link.Hello{Name: incarnation, Cores: set.Cores, Bandwidth: set.Bandwidth}, peers{n}, &deps.Traffic.Instances, n.linkChanged)
	n.submits = newSubmitter(n)
	return n
}

func (n *Node) newCell() *cell.Cell {
	return cell.New(cell.Config{
		Name: cellName, Self: n.self, Address: n.set.PeerListen, DataCentre: n.set.DataCentre,
		MaxLease: n.set.MaxLease, GangWait: n.set.GangWait, Retention: n.set.Retention + retentionMargin,
		Cores: n.set.Cores, Bandwidth: n.set.Bandwidth, ClaimJitter: float64(xxhash.Sum64String(n.self)%1000) / 1000,
	})
}

// Run runs the instance until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go newFollower(n, store.Config, configWait, 0, n.takeConfig).run(ctx)
	go newFollower(n, store.Workers, 0, workersPause, n.takeWorker).run(ctx)
	go n.client.Run(ctx)
	go n.tick(ctx)
	go n.watchLink(ctx)
	n.restart(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-n.events:
			if n.IsOwner() {
				// Events that come together are handled together.
				time.Sleep(max(stepPause, n.gathering()))
			}
			events, taken := n.gather(b)
			n.step(ctx, events)
			for _, done := range taken {
				close(done)
			}
		}
	}
}

// IsOwner reports whether this instance owns the cell.
func (n *Node) IsOwner() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life.owner.Load()
}

// gathering returns for how long a busy owner gathers events.
func (n *Node) gathering() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.BatchDelay()
}

// batch holds events for the reducer.
type batch struct {
	events []cell.Event
	taken  chan struct{} // if set, closed when the reducer has taken the events
}

// post queues events for the reducer.
func (n *Node) post(events ...cell.Event) { n.events <- batch{events: events} }

// settle waits until the reducer has taken every event queued so far.
func (n *Node) settle(ctx context.Context) {
	done := make(chan struct{})
	select {
	case n.events <- batch{taken: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// gather adds the events that wait already, and returns whom to tell when they
// are taken.
func (n *Node) gather(b batch) (events []cell.Event, taken []chan struct{}) {
	for {
		events = append(events, b.events...)
		if b.taken != nil {
			taken = append(taken, b.taken)
		}
		select {
		case b = <-n.events:
		default:
			return events, taken
		}
	}
}

func (n *Node) step(ctx context.Context, events []cell.Event) {
	n.mu.Lock()
	effects := n.cell.Step(n.deps.Now(), events...)
	life := n.life
	n.mu.Unlock()
	n.perform(ctx, life, effects)
}

// send queues events for the reducer. Events of an earlier life are dropped.
func (n *Node) send(l *life, events ...cell.Event) {
	if l != nil && l.ctx.Err() != nil {
		return
	}
	n.post(events...)
}

// restart builds the cell anew from the store.
func (n *Node) restart(ctx context.Context) {
	n.mu.Lock()
	n.life.cancel()
	l := &life{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	n.life, n.cell = l, n.newCell()
	var first []cell.Event
	if c := n.config.Load(); c != nil {
		first = append(first, cell.ConfigChanged{Config: c})
	}
	for _, w := range n.workers {
		first = append(first, cell.WorkerRegistered{Info: w})
	}
	first = append(first, cell.InstanceChanged{Name: n.self, Up: true})
	for name, p := range n.peers {
		first = append(first, cell.InstanceChanged{Name: name, Up: true, Cores: p.Cores, Bandwidth: p.Bandwidth})
	}
	if n.draining.Load() {
		first = append(first, cell.DrainStarted{})
	}
	n.mu.Unlock()
	n.step(ctx, first)
	n.loadCell(l)
}

// loadCell begins to follow the cell's streams.
func (n *Node) loadCell(l *life) {
	reads := &partReads{sent: make([]model.Time, n.set.SubmissionPartitions)}
	subs := make([]*follower, n.set.SubmissionPartitions)
	for part := range subs {
		f := newFollower(n, store.SubmissionPartition(part), 0, submissionsPause, n.takeSubmission(l, part))
		f.owned = &l.owner
		f.after = func(_ store.Batch, sentAt model.Time) {
			if l.owner.Load() {
				n.send(l, cell.SubmissionsCaughtUp{SentAt: reads.read(part, sentAt)})
			}
		}
		subs[part] = f
	}
	progress := newFollower(n, store.Progress, 0, standbyPause, n.takeProgress(l))
	progress.paused = &l.owner
	progress.after = func(b store.Batch, sentAt model.Time) {
		if !l.owner.Load() {
			n.send(l, cell.ProgressCaughtUp{End: b.NextOffset, SentAt: sentAt, Records: len(b.Records)})
		}
	}
	n.mu.Lock()
	n.subs, n.progress = subs, progress
	n.mu.Unlock()
	go func() {
		// Submissions first: progress refers to them.
		var parts sync.WaitGroup
		for _, f := range subs {
			parts.Go(func() { f.load(l.ctx) })
		}
		parts.Wait()
		if l.ctx.Err() == nil && progress.load(l.ctx) {
			n.settle(l.ctx)
			l.loaded.Store(true)
			n.deps.Telemetry.Log("cell loaded", LogFields{})
			for _, f := range subs {
				go f.follow(l.ctx)
			}
			progress.follow(l.ctx)
		}
	}()
}

// partReads notes when the newest complete read of each part was sent.
type partReads struct {
	mu   sync.Mutex
	sent []model.Time
}

// read notes one read and returns the time of the oldest one.
func (p *partReads) read(part int, sentAt model.Time) model.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[part] = sentAt
	return slices.Min(p.sent)
}

func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(cell.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			select {
			case n.events <- batch{events: []cell.Event{cell.Tick{UnixMs: time.Now().UnixMilli(), StoreAnsweredAt: model.Time(n.storeOK.Load())}}}:
			default: // the reducer is behind and will learn the time later
			}
		}
	}
}

// Drain makes the instance give up what it owns and tell the balancer.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		n.deps.Telemetry.Log("drain", LogFields{Reason: "signal"})
		n.post(cell.DrainStarted{})
		go n.client.Leave(context.Background())
	}
}

func (n *Node) linkChanged(up bool, cause error) {
	f := LogFields{Outcome: "regained"}
	if !up {
		f = LogFields{Outcome: "lost", Reason: text(cause)}
	}
	n.deps.Telemetry.Log("link to the owner", f)
	n.post(cell.OwnerLinkChanged{Up: up, OwnerExited: errors.Is(cause, link.ErrReplaced)})
	if !up {
		// The stream tells whether the owner has given the cell up.
		n.mu.Lock()
		progress := n.progress
		n.mu.Unlock()
		if progress != nil {
			progress.hurry()
		}
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
