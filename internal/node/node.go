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
	Check(ctx context.Context, r link.AskRequest) (link.AskReply, error)
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
	// eventQueueSize bounds the events that wait for the reducer.
	eventQueueSize = 8192
	// cellName is the writer of the progress stream and the name of the cell.
	cellName = "cell-0"
	// ownerStepPause bounds the steps of an owner to a few hundred a second. It is a
	// small part of the slack of urgent work.
	ownerStepPause = 2 * time.Millisecond
	// retentionMargin keeps finished jobs longer than callers may ask for them,
	// since the clocks of VMs differ.
	retentionMargin = 60 * time.Second
)

// Node is one running instance.
type Node struct {
	settings Settings
	deps     Deps
	self     string // incarnation

	events chan eventBatch
	client *link.Client

	mu         sync.Mutex // guards cell, life, workers and peers
	cell       *cell.Cell
	generation *generation
	workers    map[model.WorkerName]jobs.WorkerInfo
	peers      map[string]*link.Peer

	config              atomic.Pointer[jobs.Config]
	submissionFollowers []*follower // by part of the submissions
	progressFollower    *follower
	submitter           *submitter
	offers              offers
	watches             watches
	dispatcher          *dispatcher
	superseded          supersededEpochs

	draining        atomic.Bool
	appendLatency   smoothed     // of appends
	storeAnsweredAt atomic.Int64 // model.Time of the newest answer of the store
}

// generation is the time from one load of the cell's streams to the next.
type generation struct {
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
		settings: set, deps: deps, self: incarnation,
		events:  make(chan eventBatch, eventQueueSize),
		workers: map[model.WorkerName]jobs.WorkerInfo{},
		peers:   map[string]*link.Peer{},
	}
	n.dispatcher = newDispatcher(n)
	// Until Run begins, the instance knows nothing and is not loaded.
	n.cell, n.generation = n.newCell(), &generation{ctx: context.Background(), cancel: func() {}}
	n.client = link.NewClient(link.Hello{Name: incarnation, Cores: set.Cores, Bandwidth: set.Bandwidth}, peerHandler{n}, &deps.Traffic.Instances, n.ownerLinkChanged)
	n.submitter = newSubmitter(n)
	return n
}

func (n *Node) newCell() *cell.Cell {
	return cell.New(cell.Config{
		Name: cellName, Self: n.self, Address: n.settings.PeerListen, DataCentre: n.settings.DataCentre,
		Lease: n.settings.MaxLease, GangWait: n.settings.GangWait, Retention: n.settings.Retention + retentionMargin,
		Cores: n.settings.Cores, Bandwidth: n.settings.Bandwidth, Spread: float64(xxhash.Sum64String(n.self)%1000) / 1000,
	})
}

// Run runs the instance until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go newFollower(n, store.Config, configPollWait, 0, n.applyConfig).run(ctx)
	go newFollower(n, store.Workers, 0, workersReadPause, n.applyWorker).run(ctx)
	go n.client.Run(ctx)
	go n.tick(ctx)
	go n.watchLink(ctx)
	n.reloadCell(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-n.events:
			if n.IsOwner() {
				// Events that come together are handled together.
				time.Sleep(max(ownerStepPause, n.batchDelay()))
			}
			events, processed := n.collectEvents(b)
			n.step(ctx, events)
			for _, done := range processed {
				close(done)
			}
		}
	}
}

// IsOwner reports whether this instance owns the cell.
func (n *Node) IsOwner() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.generation.owner.Load()
}

// batchDelay returns for how long a busy owner gathers events.
func (n *Node) batchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.Gathering()
}

// eventBatch holds events for the reducer.
type eventBatch struct {
	events    []cell.Event
	processed chan struct{} // if set, closed when the reducer has taken the events
}

// enqueue queues events for the reducer.
func (n *Node) enqueue(events ...cell.Event) { n.events <- eventBatch{events: events} }

// flushEvents waits until the reducer has taken every event queued so far.
func (n *Node) flushEvents(ctx context.Context) {
	done := make(chan struct{})
	select {
	case n.events <- eventBatch{processed: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// collectEvents adds the events that wait already, and returns whom to tell when they
// are taken.
func (n *Node) collectEvents(b eventBatch) (events []cell.Event, processed []chan struct{}) {
	for {
		events = append(events, b.events...)
		if b.processed != nil {
			processed = append(processed, b.processed)
		}
		select {
		case b = <-n.events:
		default:
			return events, processed
		}
	}
}

func (n *Node) step(ctx context.Context, events []cell.Event) {
	n.mu.Lock()
	effects := n.cell.Step(n.deps.Now(), events...)
	life := n.generation
	n.mu.Unlock()
	n.executeEffects(ctx, life, effects)
}

// enqueueFrom queues events for the reducer. Events of an earlier life are dropped.
func (n *Node) enqueueFrom(l *generation, events ...cell.Event) {
	if l != nil && l.ctx.Err() != nil {
		return
	}
	n.enqueue(events...)
}

// reloadCell builds the cell anew from the store.
func (n *Node) reloadCell(ctx context.Context) {
	n.mu.Lock()
	n.generation.cancel()
	l := &generation{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	n.generation, n.cell = l, n.newCell()
	var initial []cell.Event
	if c := n.config.Load(); c != nil {
		initial = append(initial, cell.ConfigChanged{Config: c})
	}
	for _, w := range n.workers {
		initial = append(initial, cell.WorkerListed{Info: w})
	}
	initial = append(initial, cell.AdvisorChanged{Name: n.self, Up: true})
	for name, p := range n.peers {
		initial = append(initial, cell.AdvisorChanged{Name: name, Up: true, Cores: p.Cores, Bandwidth: p.Bandwidth})
	}
	if n.draining.Load() {
		initial = append(initial, cell.DrainStarted{})
	}
	n.mu.Unlock()
	n.step(ctx, initial)
	n.loadCell(l)
}

// loadCell begins to follow the cell's streams.
func (n *Node) loadCell(l *generation) {
	reads := &partitionReads{sentAt: make([]model.Time, n.settings.SubmissionPartitions)}
	followers := make([]*follower, n.settings.SubmissionPartitions)
	for partition := range followers {
		f := newFollower(n, store.SubmissionPartition(partition), 0, standbySubmissionsReadPause, n.submissionHandler(l, partition))
		f.ownerMode = &l.owner
		f.afterRead = func(_ store.Batch, sentAt model.Time) {
			if l.owner.Load() {
				n.enqueueFrom(l, cell.SubmissionsRead{SentAt: reads.record(partition, sentAt)})
			}
		}
		followers[partition] = f
	}
	progress := newFollower(n, store.Progress, 0, standbyReadPause, n.progressHandler(l))
	progress.paused = &l.owner
	progress.afterRead = func(b store.Batch, sentAt model.Time) {
		if !l.owner.Load() {
			n.enqueueFrom(l, cell.StreamRead{End: b.NextOffset, SentAt: sentAt, Records: len(b.Records)})
		}
	}
	n.mu.Lock()
	n.submissionFollowers, n.progressFollower = followers, progress
	n.mu.Unlock()
	go func() {
		// Submissions first: progress refers to them.
		var parts sync.WaitGroup
		for _, f := range followers {
			parts.Go(func() { f.load(l.ctx) })
		}
		parts.Wait()
		if l.ctx.Err() == nil && progress.load(l.ctx) {
			n.flushEvents(l.ctx)
			l.loaded.Store(true)
			n.deps.Telemetry.Log("cell loaded", LogFields{})
			for _, f := range followers {
				go f.follow(l.ctx)
			}
			progress.follow(l.ctx)
		}
	}()
}

// partitionReads notes when the newest complete read of each part was sent.
type partitionReads struct {
	mu     sync.Mutex
	sentAt []model.Time
}

// record notes one record and returns the time of the oldest one.
func (p *partitionReads) record(partition int, sentAt model.Time) model.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt[partition] = sentAt
	return slices.Min(p.sentAt)
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
			case n.events <- eventBatch{events: []cell.Event{cell.Tick{UnixMs: time.Now().UnixMilli(), StoreAnswered: model.Time(n.storeAnsweredAt.Load())}}}:
			default: // the reducer is behind and will learn the time later
			}
		}
	}
}

// Drain makes the instance give up what it owns and tell the balancer.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		n.deps.Telemetry.Log("drain", LogFields{Reason: "signal"})
		n.enqueue(cell.DrainStarted{})
		go n.client.Leave(context.Background())
	}
}

func (n *Node) ownerLinkChanged(up bool, cause error) {
	f := LogFields{Outcome: "regained"}
	if !up {
		f = LogFields{Outcome: "lost", Reason: errorText(cause)}
	}
	n.deps.Telemetry.Log("link to the owner", f)
	n.enqueue(cell.LinkChanged{Up: up, OwnerGone: errors.Is(cause, link.ErrReplaced)})
	if !up {
		// The stream tells whether the owner has given the cell up.
		n.mu.Lock()
		progress := n.progressFollower
		n.mu.Unlock()
		if progress != nil {
			progress.readNow()
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
