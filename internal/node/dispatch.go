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

// avoidDuration is how long the calls to a worker keep off an instance through which a
// call failed. It is a few attempts: the instance may be cut off from the worker
// while others are not.
const avoidDuration = 3 * time.Second

// avoidedInstance is an instance that is not to make the calls to one worker.
type avoidedInstance struct {
	instance string
	until    model.Time
}

// dispatcher makes the owner's calls to workers, itself or through the instance
// that the policy names.
type dispatcher struct {
	n       *Node
	workers atomic.Int64 // that are listed

	mu         sync.Mutex
	peers      map[string]*link.Peer
	avoided    map[model.WorkerName]avoidedInstance
	relaying   bool                // calls go through instances
	candidates []dispatch.Instance // scratch
}

func newDispatcher(n *Node) *dispatcher {
	return &dispatcher{n: n, peers: map[string]*link.Peer{}, avoided: map[model.WorkerName]avoidedInstance{}}
}

var _ WorkerClient = (*dispatcher)(nil)

// addPeer notes an instance that is connected.
func (d *dispatcher) addPeer(name string, p *link.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[name] = p
}

// removePeer forgets an instance.
func (d *dispatcher) removePeer(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, name)
}

// route returns the instance that is to make a call to a worker, and its name. The
// link is nil if this instance is to make it.
func (d *dispatcher) route(w model.WorkerName) (*link.Peer, string) {
	owner := dispatch.Instance{Name: d.n.self, Cores: d.n.settings.Cores, Bandwidth: d.n.settings.Bandwidth}
	workers := int(d.workers.Load())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidates = d.candidates[:0]
	if dispatch.Needed(owner, workers, d.relaying) {
		for name, p := range d.peers {
			if p.Usable() {
				d.candidates = append(d.candidates, dispatch.Instance{Name: name, Cores: p.Cores, Bandwidth: p.Bandwidth})
			}
		}
	}
	if relaying := len(d.candidates) > 0; relaying != d.relaying {
		d.relaying = relaying
		outcome := "direct"
		if relaying {
			outcome = "through instances"
		}
		d.n.deps.Telemetry.Log("calls to workers", LogFields{Outcome: outcome, Count: int64(workers)})
	}
	if !d.relaying {
		return nil, owner.Name
	}
	avoid := ""
	if t, ok := d.avoided[w]; ok && d.n.deps.Now() < t.until {
		avoid = t.instance
	}
	name := dispatch.Choose(w, owner, d.candidates, avoid)
	return d.peers[name], name // the owner is not among the peers
}

// recordVerdict notes how a call that an instance was to make went.
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

// relay makes one call to a worker through an instance, or directly if its link is
// nil or gone. Failed turns the verdict of a call without an answer into its result.
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

// supersededEpochs are the calls that this instance makes for owners. A worker that has
// seen a higher epoch tells that an owner is gone for good: no further calls of its
// epoch, or of lower ones, leave this instance.
type supersededEpochs struct {
	highest atomic.Int64 // highest epoch that is known to be over
}

func (r *supersededEpochs) contains(epoch int64) bool { return epoch <= r.highest.Load() }

// record takes the answer to a call of an epoch.
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
