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

// detourTime is how long the calls to a worker keep off an instance through which a
// call failed. It is a few attempts: the instance may be cut off from the worker
// while others are not.
const detourTime = 3 * time.Second

// detour is an instance that is not to make the calls to one worker.
type detour struct {
	instance string
	until    model.Time
}

// dispatcher makes the owner's calls to workers, itself or through the instance
// that the policy names.
type dispatcher struct {
	n       *Node
	workers atomic.Int64 // that are listed

	mu      sync.Mutex
	peers   map[string]*link.Peer
	detours map[model.WorkerName]detour
	on      bool                // calls go through instances
	up      []dispatch.Instance // scratch
}

func newDispatcher(n *Node) *dispatcher {
	return &dispatcher{n: n, peers: map[string]*link.Peer{}, detours: map[model.WorkerName]detour{}}
}

var _ WorkerClient = (*dispatcher)(nil)

// set notes an instance that is connected.
func (d *dispatcher) set(name string, p *link.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[name] = p
}

// drop forgets an instance.
func (d *dispatcher) drop(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peers, name)
}

// route returns the instance that is to make a call to a worker, and its name. The
// link is nil if this instance is to make it.
func (d *dispatcher) route(w model.WorkerName) (*link.Peer, string) {
	owner := dispatch.Instance{Name: d.n.self, Cores: d.n.set.Cores, Bandwidth: d.n.set.Bandwidth}
	workers := int(d.workers.Load())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.up = d.up[:0]
	if dispatch.NeedsRelay(owner, workers, d.on) {
		for name, p := range d.peers {
			if p.Usable() {
				d.up = append(d.up, dispatch.Instance{Name: name, Cores: p.Cores, Bandwidth: p.Bandwidth})
			}
		}
	}
	if on := len(d.up) > 0; on != d.on {
		d.on = on
		outcome := "direct"
		if on {
			outcome = "through instances"
		}
		d.n.deps.Telemetry.Log("calls to workers", LogFields{Outcome: outcome, Count: int64(workers)})
	}
	if !d.on {
		return nil, owner.Name
	}
	avoid := ""
	if t, ok := d.detours[w]; ok && d.n.deps.Now() < t.until {
		avoid = t.instance
	}
	name := dispatch.Choose(w, owner, d.up, avoid)
	return d.peers[name], name // the owner is not among the peers
}

// answered notes how a call that an instance was to make went.
func (d *dispatcher) answered(w model.WorkerName, instance string, v cell.Verdict) {
	if v != cell.Unknown && v != cell.NotSent {
		return
	}
	now := d.n.deps.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.on {
		return
	}
	for name, t := range d.detours {
		if now >= t.until {
			delete(d.detours, name)
		}
	}
	d.detours[w] = detour{instance: instance, until: now.Add(detourTime)}
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

func itself(v cell.Verdict) cell.Verdict { return v }

// Start implements WorkerClient.
func (d *dispatcher) Start(ctx context.Context, s cell.Start) cell.Verdict {
	p, instance := d.route(s.Worker)
	v := relay(d, p, "start",
		func() (cell.Verdict, error) { return p.Start(ctx, s) },
		func() cell.Verdict { return d.n.deps.Workers.Start(ctx, s) }, itself)
	d.answered(s.Worker, instance, v)
	return v
}

// Stop implements WorkerClient.
func (d *dispatcher) Stop(ctx context.Context, s cell.Stop) cell.Verdict {
	p, _ := d.route(s.Worker)
	return relay(d, p, "stop",
		func() (cell.Verdict, error) { return p.Stop(ctx, s) },
		func() cell.Verdict { return d.n.deps.Workers.Stop(ctx, s) }, itself)
}

// Renew implements WorkerClient.
func (d *dispatcher) Renew(ctx context.Context, r cell.Renew) cell.Renewed {
	p, instance := d.route(r.Worker)
	out := relay(d, p, "renew",
		func() (cell.Renewed, error) { return p.Renew(ctx, r) },
		func() cell.Renewed { return d.n.deps.Workers.Renew(ctx, r) },
		func(v cell.Verdict) cell.Renewed { return cell.Renewed{Worker: r.Worker, Verdict: v} })
	d.answered(r.Worker, instance, out.Verdict)
	return out
}

// relayed are the calls that this instance makes for owners. A worker that has
// seen a higher epoch tells that an owner is gone for good: no further calls of its
// epoch, or of lower ones, leave this instance.
type relayed struct {
	over atomic.Int64 // highest epoch that is known to be over
}

func (r *relayed) refuses(epoch int64) bool { return epoch <= r.over.Load() }

// note takes the answer to a call of an epoch.
func (r *relayed) note(epoch int64, v cell.Verdict) {
	if v != cell.Superseded {
		return
	}
	for {
		old := r.over.Load()
		if epoch <= old || r.over.CompareAndSwap(old, epoch) {
			return
		}
	}
}

// Start implements link.Handler.
func (p peers) Start(ctx context.Context, s cell.Start) cell.Verdict {
	if p.n.relayed.refuses(s.Epoch) {
		return cell.Superseded
	}
	v := p.n.deps.Workers.Start(ctx, s)
	p.n.relayed.note(s.Epoch, v)
	return v
}

// Stop implements link.Handler.
func (p peers) Stop(ctx context.Context, s cell.Stop) cell.Verdict {
	if p.n.relayed.refuses(s.Epoch) {
		return cell.Superseded
	}
	v := p.n.deps.Workers.Stop(ctx, s)
	p.n.relayed.note(s.Epoch, v)
	return v
}

// Renew implements link.Handler.
func (p peers) Renew(ctx context.Context, r cell.Renew) cell.Renewed {
	if p.n.relayed.refuses(r.Epoch) {
		return cell.Renewed{Worker: r.Worker, Verdict: cell.Superseded}
	}
	out := p.n.deps.Workers.Renew(ctx, r)
	p.n.relayed.note(r.Epoch, out.Verdict)
	return out
}

// Now implements link.Handler.
func (p peers) Now() model.Time { return p.n.deps.Now() }
