// Package node runs one instance of the scheduler: it follows the streams of the store,
// feeds events to the reducer of the cell, executes the effects that the reducer returns,
// and serves callers. The only decisions it makes itself are about retries.
package node

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
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

// EligibilityClient asks the eligibility service which workers may run a step.
type EligibilityClient interface {
	Check(ctx context.Context, r link.PermitRequest) (link.PermitReply, error)
}

// Decoders decode the records that the platform writes to the store.
type Decoders struct {
	// Config returns nil if the record is not a configuration.
	Config func(key string, value []byte) (*jobs.Config, error)
	Worker func(key string, value []byte) (jobs.WorkerInfo, error)
}

// Deps holds the dependencies of a node.
type Deps struct {
	Store       store.Store
	Workers     WorkerClient
	Eligibility EligibilityClient
	Decode      Decoders
	Telemetry   *Telemetry
	// Traffic holds the byte and call counters of the adapters. It may be nil.
	Traffic *Traffic
	// Now reads a clock that advances while the VM is suspended.
	Now func() model.Time
	// Listen opens the listeners of Serve. It is net.Listen for TCP if it is nil.
	Listen func(address string) (net.Listener, error)
}

const (
	// eventQueueSize is the capacity of the reducer's event queue.
	eventQueueSize = 8192
	// cellName is the name of the cell, and the writer name in the fences of the
	// progress stream.
	cellName = "cell-0"
	// ownerStepPause limits an owner to a few hundred steps per second. It is short
	// compared with the slack of urgent work.
	ownerStepPause = 2 * time.Millisecond
	// retentionMargin is added to the retention of finished jobs, since the clocks of
	// the VMs differ.
	retentionMargin = 60 * time.Second
)

// Node is one instance of the scheduler.
type Node struct {
	settings Settings
	deps     Deps
	self     string // incarnation

	events chan eventBatch
	client *link.Client

	mu         sync.Mutex // guards cell, generation, workers and peers
	cell       *cell.Cell
	generation *generation
	workers    map[model.WorkerName]jobs.WorkerInfo
	peers      map[string]*link.Peer

	config              atomic.Pointer[jobs.Config]
	submissionFollowers []*follower // by partition
	progressFollower    *follower
	directory           *follower // of the workers' entries
	submitter           *submitter
	requests            openRequests
	waiters             jobWaiters
	dispatcher          *dispatcher
	superseded          supersededEpochs
	lookups             lookups

	draining        atomic.Bool
	appendLatency   ewma         // mean latency of appends
	storeAnsweredAt atomic.Int64 // model.Time of the store's latest answer
}

// generation is the state of one load of the cell: every reload starts a new generation
// and cancels the context of the previous one.
type generation struct {
	ctx     context.Context
	cancel  context.CancelFunc
	owner   atomic.Bool
	loaded  atomic.Bool
	ownedAt atomic.Int64 // model.Time at which the instance became the owner
	reads   *partitionReads
	// claimSeq is the sequence number of this instance's latest claim.
	claimSeq atomic.Int64
	// appendedEnd is the end of the progress stream behind this owner's newest append.
	appendedEnd atomic.Int64
}

var _ JobAPI = (*Node)(nil)

// New returns a node. Run or Serve starts it.
func New(set Settings, deps Deps, incarnation string) *Node {
	if deps.Listen == nil {
		deps.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if deps.Traffic == nil {
		deps.Traffic = &Traffic{}
	}
	deps.Telemetry.registerTraffic(deps.Traffic)
	deps.Store = newStoreCalls(deps.Store, deps.Now)
	n := &Node{
		settings: set, deps: deps, self: incarnation,
		events:  make(chan eventBatch, eventQueueSize),
		workers: map[model.WorkerName]jobs.WorkerInfo{},
		peers:   map[string]*link.Peer{},
	}
	n.dispatcher = newDispatcher(n)
	// An empty cell, which counts as not loaded until Run loads it.
	n.cell, n.generation = n.newCell(), &generation{ctx: context.Background(), cancel: func() {}}
	n.client = link.NewClient(link.Hello{Name: incarnation, Cores: set.Cores, Bandwidth: set.Bandwidth}, peerHandler{n}, &deps.Traffic.Instances, n.ownerLinkChanged)
	n.submitter = newSubmitter(n)
	n.directory = newFollower(n, store.Workers, 0, workersReadPause, n.applyWorker)
	n.directory.loaded = n.removeUnlistedWorkers
	n.directory.afterRead = n.directoryRead
	return n
}

func (n *Node) newCell() *cell.Cell {
	return cell.New(cell.Config{
		Name: cellName, Self: n.self, Address: n.settings.PeerListen, DataCentre: n.settings.DataCentre,
		MaxLease: n.settings.MaxLease, GangWait: n.settings.GangWait, Retention: n.settings.Retention + retentionMargin,
		Cores: n.settings.Cores, Bandwidth: n.settings.Bandwidth, ClaimJitter: float64(xxhash.Sum64String(n.self)%1000) / 1000,
	})
}

// Run runs the instance until ctx ends.
func (n *Node) Run(ctx context.Context) {
	config := newFollower(n, store.Config, configPollWait, 0, n.applyConfig)
	config.probes = true
	go config.run(ctx)
	go n.directory.run(ctx)
	go n.client.Run(ctx)
	go n.tick(ctx)
	go n.monitorBandwidth(ctx)
	n.reloadCell(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-n.events:
			if n.IsOwner() {
				// Collects the events of a burst into one step.
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

// batchDelay returns how long a busy owner collects events before a step.
func (n *Node) batchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cell.BatchDelay()
}

// eventBatch holds queued events for the reducer.
type eventBatch struct {
	events    []cell.Event
	processed chan struct{} // if not nil, closed when the reducer has processed the events
}

// enqueue queues events for the reducer.
func (n *Node) enqueue(events ...cell.Event) { n.events <- eventBatch{events: events} }

// flushEvents waits until the reducer has processed every event queued so far.
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

// collectEvents returns the events of a batch and of all batches that are queued behind
// it, with the channels to close once they are processed.
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

// reducerRestartPause is the pause before the cell is loaded again after a panic in the
// reducer, so that a record that causes one each time does not use up the processor.
const reducerRestartPause = time.Second

func (n *Node) step(ctx context.Context, events []cell.Event) {
	g, effects, err := n.stepCell(events)
	if err == nil {
		n.executeEffects(ctx, g, effects)
		return
	}
	// The cell may be inconsistent. The effects of the step are lost, which is safe like
	// a restart of the process: nothing that is not stored was sent.
	n.deps.Telemetry.Log("reducer failed; loading the cell again", LogFields{Reason: err.Error(), Count: int64(len(events))})
	n.deps.Telemetry.Count("reducer_failures_total", "")
	if g.owner.Swap(false) {
		n.closePeerConnections()
	}
	sleep(ctx, reducerRestartPause)
	n.reloadCell(ctx)
}

// ReducerError reports a panic of the reducer.
type ReducerError struct {
	Value any
	Stack string // the innermost frames
}

func (e *ReducerError) Error() string { return fmt.Sprintf("panic: %v at %s", e.Value, e.Stack) }

// maxPanicStack is the number of bytes of a panic's stack that are logged.
const maxPanicStack = 2 << 10

// stepCell runs one step of the reducer. A panic, which one unforeseen input may cause,
// is returned as a ReducerError and does not end the process.
func (n *Node) stepCell(events []cell.Event) (g *generation, effects []cell.Effect, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g = n.generation
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			err = &ReducerError{Value: v, Stack: string(stack[:min(len(stack), maxPanicStack)])}
		}
	}()
	effects = n.cell.Step(n.deps.Now(), events...)
	return g, effects, nil
}

// enqueueFrom queues events of a generation for the reducer. Events of a generation that
// has ended are dropped.
func (n *Node) enqueueFrom(g *generation, events ...cell.Event) {
	if g != nil && g.ctx.Err() != nil {
		return
	}
	n.enqueue(events...)
}

// reloadCell starts a new generation: it replaces the cell by an empty one and loads it
// from the store.
func (n *Node) reloadCell(ctx context.Context) {
	n.mu.Lock()
	n.generation.cancel()
	g := &generation{reads: &partitionReads{sentAt: make([]model.Time, n.settings.SubmissionPartitions)}}
	g.ctx, g.cancel = context.WithCancel(ctx)
	n.generation, n.cell = g, n.newCell()
	var initial []cell.Event
	if c := n.config.Load(); c != nil {
		initial = append(initial, cell.ConfigChanged{Config: c})
	}
	for _, w := range n.workers {
		initial = append(initial, cell.WorkerRegistered{Info: w})
	}
	initial = append(initial, cell.InstanceChanged{Name: n.self, Up: true})
	for name, p := range n.peers {
		initial = append(initial, cell.InstanceChanged{Name: name, Up: true, Cores: p.Cores, Bandwidth: p.Bandwidth})
	}
	if n.draining.Load() {
		initial = append(initial, cell.DrainStarted{})
	}
	n.mu.Unlock()
	n.step(ctx, initial)
	n.loadCell(g)
}

// loadCell loads the cell from its streams in the background and then follows them.
func (n *Node) loadCell(g *generation) {
	followers := make([]*follower, n.settings.SubmissionPartitions)
	for partition := range followers {
		f := newFollower(n, store.SubmissionPartition(partition), 0, standbySubmissionsReadPause, n.submissionHandler(g, partition))
		f.ownerMode = &g.owner
		f.afterRead = func(_ store.Batch, sentAt model.Time) {
			g.reads.record(partition, sentAt)
			n.reportCaughtUp(g)

		}
		followers[partition] = f
	}
	progress := newFollower(n, store.Progress, 0, standbyReadPause, n.progressHandler(g))
	progress.paused = &g.owner
	progress.afterRead = func(b store.Batch, sentAt model.Time) {
		if !g.owner.Load() {
			n.enqueueFrom(g, cell.ProgressCaughtUp{End: b.NextOffset, SentAt: sentAt, Records: len(b.Records)})
		}
	}
	n.mu.Lock()
	n.submissionFollowers, n.progressFollower = followers, progress
	n.mu.Unlock()
	go func() {
		// Submissions are loaded first, since progress records refer to them.
		var loads sync.WaitGroup
		for _, f := range followers {
			loads.Go(func() { f.load(g.ctx) })
		}
		loads.Wait()
		if g.ctx.Err() == nil && progress.load(g.ctx) {
			n.flushEvents(g.ctx)
			g.loaded.Store(true)
			n.deps.Telemetry.Log("cell loaded", LogFields{})
			for _, f := range followers {
				go f.follow(g.ctx)
			}
			progress.follow(g.ctx)
		}
	}()
}

// reportCaughtUp tells an owner how far it has read the submissions. A new owner learns
// it only once the directory was read as well: it must not use a worker that has begun
// to drain since this instance last listed the directory.
func (n *Node) reportCaughtUp(g *generation) {
	if g.owner.Load() && n.directory.caughtUpAt.Load() >= g.ownedAt.Load() {
		n.enqueueFrom(g, cell.SubmissionsCaughtUp{SentAt: g.reads.earliest()})
	}
}

// directoryRead is called after each read of the directory that reached its end.
func (n *Node) directoryRead(store.Batch, model.Time) {
	n.mu.Lock()
	g := n.generation
	n.mu.Unlock()
	if g.reads != nil {
		n.reportCaughtUp(g)
	}
}

// partitionReads holds, for each partition, when the latest read that reached the end of
// the stream was sent.
type partitionReads struct {
	mu     sync.Mutex
	sentAt []model.Time
}

// record sets the time for one partition.
func (p *partitionReads) record(partition int, sentAt model.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt[partition] = sentAt
}

// earliest returns the earliest time of all partitions; zero if one was not read yet.
func (p *partitionReads) earliest() model.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
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
			case n.events <- eventBatch{events: []cell.Event{cell.Tick{UnixMs: time.Now().UnixMilli(), StoreAnsweredAt: model.Time(n.storeAnsweredAt.Load())}}}:
			default: // the queue is full; a later tick sets the time
			}
		}
	}
}

// Drain makes the instance release the cell if it owns it, report itself as not ready to
// the balancer, and announce to the owner that it is leaving.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		n.deps.Telemetry.Log("instance drain started", LogFields{Reason: "signal"})
		n.enqueue(cell.DrainStarted{})
		go n.client.Leave(context.Background())
	}
}

func (n *Node) ownerLinkChanged(up bool, cause error) {
	f := LogFields{Outcome: "regained"}
	if !up {
		f = LogFields{Outcome: "lost", Reason: errorText(cause)}
	}
	n.deps.Telemetry.Log("connection to cell owner", f)
	n.enqueue(cell.OwnerLinkChanged{Up: up, OwnerExited: errors.Is(cause, link.ErrReplaced)})
	if !up {
		// The progress stream shows whether the owner has released the cell.
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
