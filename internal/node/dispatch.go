package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/link"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/policy/dispatch"
)

// avoidDuration is how long an instance is not used for the calls to a worker after a call
// through it failed. It covers a few attempts: the instance may be partitioned from the
// worker while other instances are not.
const avoidDuration = 3 * time.Second

// avoidedInstance is an instance through which calls to one worker are not relayed.
type avoidedInstance struct {
	instance string
	until    model.Time
}

// dispatcher makes the owner's calls to workers, either directly or relayed through the
// instance that the dispatch policy chooses.
type dispatcher struct {
	n       *Node
	workers atomic.Int64 // number of workers in the directory

	mu         sync.Mutex
	peers      map[string]*link.Peer
	avoided    map[model.WorkerName]avoidedInstance
	relaying   bool                // whether calls are relayed
	candidates []dispatch.Instance // instances that relay calls
	chosenAt   model.Time          // when candidates were chosen; zero after a change of peers
}

// relayChoiceAge is the greatest age of the choice of the instances that relay calls.
// Choosing them looks at every instance, and an owner makes thousands of calls a second.
const relayChoiceAge = 50 * time.Millisecond

func newDispatcher(n *Node) *dispatcher {
	return &dispatcher{n: n, peers: map[string]*link.Peer{}, avoided: map[model.WorkerName]avoidedInstance{}}
}

var _ WorkerClient = (*dispatcher)(nil)

// addPeer adds a connected instance.
func (d *dispatcher) addPeer(name string, p *link.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[name], d.chosenAt = p, 0
}

// removePeer removes an instance that has disconnected.
func (d *dispatcher) removePeer(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, name)
	d.chosenAt = 0
}

// route chooses the instance that makes a call to a worker. It returns that instance's
// connection and name; the connection is nil if this instance makes the call itself.
func (d *dispatcher) route(w model.WorkerName) (*link.Peer, string) {
	owner := dispatch.Instance{Name: d.n.self, Cores: d.n.settings.Cores, Bandwidth: d.n.settings.Bandwidth}
	now := d.n.deps.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.chosenAt == 0 || now.Sub(d.chosenAt) > relayChoiceAge {
		d.chooseRelays(owner, now)
	}
	for {
		if !d.relaying {
			return nil, owner.Name
		}
		avoid := ""
		if t, ok := d.avoided[w]; ok && now < t.until {
			avoid = t.instance
		}
		name := dispatch.Choose(w, owner, d.candidates, avoid)
		p := d.peers[name] // nil for the owner, which is not a peer of itself
		if p == nil || p.Usable() {
			return p, name
		}
		d.chooseRelays(owner, now) // without this instance
	}
}

// chooseRelays chooses the instances that relay calls. The caller holds mu.
func (d *dispatcher) chooseRelays(owner dispatch.Instance, now model.Time) {
	workers := int(d.workers.Load())
	d.candidates, d.chosenAt = d.candidates[:0], now
	if dispatch.NeedsRelay(owner, workers, d.relaying) {
		for name, p := range d.peers {
			if p.Usable() {
				d.candidates = append(d.candidates, dispatch.Instance{Name: name, Cores: p.Cores, Bandwidth: p.Bandwidth})
			}
		}
		d.candidates = dispatch.Relays(d.candidates, workers)
	}
	if relaying := len(d.candidates) > 0; relaying != d.relaying {
		d.relaying = relaying
		outcome := "direct"
		if relaying {
			outcome = "through instances"
		}
		d.n.deps.Telemetry.Log("routing of worker calls changed", LogFields{Outcome: outcome, Count: int64(workers)})
	}
}

// recordVerdict records the verdict of a call that an instance made. If the call was not
// sent or not answered, calls to the worker avoid that instance for avoidDuration.
func (d *dispatcher) recordVerdict(w model.WorkerName, instance string, v cell.Verdict) {
	if v != cell.Unknown && v != cell.NotSent {
		return
	}
	now := d.n.deps.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.relaying {
		return
	}
	for name, t := range d.avoided {
		if now >= t.until {
			delete(d.avoided, name)
		}
	}
	d.avoided[w] = avoidedInstance{instance: instance, until: now.Add(avoidDuration)}
}

// relay makes one call to a worker through an instance, or directly if the connection p is
// nil or closed. The function failed makes the result of a call without an answer.
func relay[R any](d *dispatcher, p *link.Peer, kind string, call func() (R, error), direct func() R, failed func(cell.Verdict) R) R {
	if p == nil {
		return direct()
	}
	d.n.deps.Telemetry.Count("relayed_calls_total", kind)
	r, err := call()
	switch {
	case err == nil:
		return r
	case errors.Is(err, link.ErrNotQueued):
		return direct()
	case errors.Is(err, link.ErrNotWritten):
		d.n.deps.Telemetry.Count("relayed_calls_not_written_total", kind)
		return failed(cell.NotSent)
	}
	d.n.deps.Telemetry.Count("relayed_calls_lost_total", kind)
	return failed(cell.Unknown)
}

func identity(v cell.Verdict) cell.Verdict { return v }

// Start implements WorkerClient.
func (d *dispatcher) Start(ctx context.Context, s cell.Start) cell.Verdict {
	p, instance := d.route(s.Worker)
	v := relay(d, p, "start",
		func() (cell.Verdict, error) { return p.Start(ctx, s) },
		func() cell.Verdict { return d.n.deps.Workers.Start(ctx, s) }, identity)
	d.recordVerdict(s.Worker, instance, v)
	return v
}

// Stop implements WorkerClient.
func (d *dispatcher) Stop(ctx context.Context, s cell.Stop) cell.Verdict {
	p, _ := d.route(s.Worker)
	return relay(d, p, "stop",
		func() (cell.Verdict, error) { return p.Stop(ctx, s) },
		func() cell.Verdict { return d.n.deps.Workers.Stop(ctx, s) }, identity)
}

// Renew implements WorkerClient.
func (d *dispatcher) Renew(ctx context.Context, r cell.Renew) cell.Renewed {
	p, instance := d.route(r.Worker)
	out := relay(d, p, "renew",
		func() (cell.Renewed, error) { return p.Renew(ctx, r) },
		func() cell.Renewed { return d.n.deps.Workers.Renew(ctx, r) },
		func(v cell.Verdict) cell.Renewed { return cell.Renewed{Worker: r.Worker, Verdict: v} })
	d.recordVerdict(r.Worker, instance, out.Verdict)
	return out
}

// supersededEpochs keeps this instance from relaying calls for an owner that was replaced.
// Once a worker rejects a call since it has seen a higher epoch, all calls of the rejected
// epoch and of lower ones are refused here.
type supersededEpochs struct {
	highest atomic.Int64 // highest epoch that is known to be superseded
}

func (r *supersededEpochs) contains(epoch int64) bool { return epoch <= r.highest.Load() }

// record records the verdict of a call of an epoch.
func (r *supersededEpochs) record(epoch int64, v cell.Verdict) {
	if v != cell.Superseded {
		return
	}
	for {
		old := r.highest.Load()
		if epoch <= old || r.highest.CompareAndSwap(old, epoch) {
			return
		}
	}
}

// Start implements link.Handler.
func (p peerHandler) Start(ctx context.Context, s cell.Start) cell.Verdict {
	if p.n.superseded.contains(s.Epoch) {
		return cell.Superseded
	}
	v := p.n.deps.Workers.Start(ctx, s)
	p.n.superseded.record(s.Epoch, v)
	return v
}

// Stop implements link.Handler.
func (p peerHandler) Stop(ctx context.Context, s cell.Stop) cell.Verdict {
	if p.n.superseded.contains(s.Epoch) {
		return cell.Superseded
	}
	v := p.n.deps.Workers.Stop(ctx, s)
	p.n.superseded.record(s.Epoch, v)
	return v
}

// Renew implements link.Handler.
func (p peerHandler) Renew(ctx context.Context, r cell.Renew) cell.Renewed {
	if p.n.superseded.contains(r.Epoch) {
		return cell.Renewed{Worker: r.Worker, Verdict: cell.Superseded}
	}
	out := p.n.deps.Workers.Renew(ctx, r)
	p.n.superseded.record(r.Epoch, out.Verdict)
	return out
}

// Now implements link.Handler.
func (p peerHandler) Now() model.Time { return p.n.deps.Now() }
