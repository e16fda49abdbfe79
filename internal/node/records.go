package node

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/listing"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/store"
)

func (n *Node) applyConfig(r store.Record) {
	c, err := n.deps.Decode.Config(r.Key, r.Value)
	if err != nil {
		n.deps.Telemetry.Log("decoding configuration failed", LogFields{Reason: err.Error(), Count: r.Offset})
		return
	}
	if c == nil {
		return
	}
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.config.Store(c)
	n.deps.Telemetry.Log("new configuration applied", LogFields{Count: c.Version})
	n.enqueue(cell.ConfigChanged{Config: c})
}

func (n *Node) applyWorker(r store.Record) {
	name := model.WorkerName(r.Key)
	if len(r.Value) == 0 {
		n.removeWorker(name)
		return
	}
	info, err := n.deps.Decode.Worker(r.Key, r.Value)
	if err != nil {
		n.deps.Telemetry.Log("decoding worker entry failed", LogFields{Subject: r.Key, Reason: err.Error()})
		n.removeWorker(name)
		return
	}
	n.mu.Lock()
	n.workers[name] = info
	n.dispatcher.workers.Store(int64(len(n.workers)))
	n.mu.Unlock()
	n.enqueue(cell.WorkerRegistered{Info: info})
}

// removeUnlistedWorkers removes the workers without an entry. Their removal may have expired
// before it was read.
func (n *Node) removeUnlistedWorkers(entries listing.List[string]) {
	if !entries.IsWhole() {
		return // the others may have one
	}
	listed := make(map[model.WorkerName]bool, len(entries.Entries()))
	for _, key := range entries.Entries() {
		listed[model.WorkerName(key)] = true
	}
	n.mu.Lock()
	var gone []model.WorkerName
	for name := range n.workers {
		if !listed[name] {
			gone = append(gone, name)
		}
	}
	n.mu.Unlock()
	slices.Sort(gone)
	for _, name := range gone {
		n.removeWorker(name)
	}
}

func (n *Node) removeWorker(name model.WorkerName) {
	n.mu.Lock()
	_, known := n.workers[name]
	delete(n.workers, name)
	n.dispatcher.workers.Store(int64(len(n.workers)))
	n.mu.Unlock()
	if known {
		n.enqueue(cell.WorkerUnregistered{Name: name})
	}
}

// decodeJob decodes a submission and checks it, unless it is the tombstone of a finished
// job. An instance of another version may have accepted what this one can't compute with.
func decodeJob(key string, value []byte) (jobs.Job, error) {
	j, err := jobs.Decode[jobs.Job](key, value)
	if err == nil && len(j.Steps) > 0 {
		err = j.Validate()
	}
	return j, err
}

func (n *Node) submissionHandler(g *generation, partition int) func(store.Record) {
	return func(r store.Record) {
		kind, id := jobs.ParseKey(r.Key)
		switch {
		case kind == jobs.KindJob && len(r.Value) == 0:
			n.enqueueFrom(g, cell.JobExpired{ID: id, Partition: partition})
		case kind == jobs.KindJob:
			j, err := decodeJob(r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("decoding submission failed", LogFields{Subject: r.Key, Reason: err.Error()})
				return
			}
			n.enqueueFrom(g, cell.JobAdded{Job: j, Partition: partition})
		case kind == jobs.KindCancel && len(r.Value) == 0:
			n.enqueueFrom(g, cell.CancellationRemoved{ID: id, Partition: partition})
		case kind == jobs.KindCancel:
			cancellation, err := jobs.Decode[jobs.Cancellation](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("decoding cancellation failed", LogFields{Subject: r.Key, Reason: err.Error()})
				return
			}
			n.enqueueFrom(g, cell.JobCancelled{ID: id, Cancellation: cancellation, Partition: partition})
		case kind == jobs.KindQueue:
			n.applyStoredQueue(g, r, partition)
		}
	}
}

func (n *Node) progressHandler(g *generation) func(store.Record) {
	submission := n.submissionHandler(g, cell.ProgressStream)
	return func(r store.Record) {
		kind, id := jobs.ParseKey(r.Key)
		if kind == jobs.KindJob || kind == jobs.KindCancel || kind == jobs.KindQueue {
			submission(r)
			return
		}
		part := jobs.ProgressPart(r.Key)
		if len(r.Value) == 0 {
			switch kind {
			case jobs.KindProgress:
				n.enqueueFrom(g, cell.ProgressRead{ID: id, Part: part})
			case jobs.KindUnreachable:
				n.enqueueFrom(g, cell.UnreachableRead{})
			}
			return
		}
		switch kind {
		case jobs.KindOwner:
			if claim, ok := n.applyClaim(g, r); ok {
				n.connectToOwner(claim)
			}
		case jobs.KindProgress:
			p, err := jobs.Decode[jobs.Progress](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("decoding progress entry failed", LogFields{Subject: r.Key, Reason: err.Error()})
				return
			}
			n.enqueueFrom(g, cell.ProgressRead{ID: id, Part: part, Progress: p})
		case jobs.KindUnreachable:
			u, err := jobs.Decode[jobs.UnreachableWorkers](r.Key, r.Value)
			if err != nil {
				n.deps.Telemetry.Log("decoding list of unreachable workers failed", LogFields{Subject: r.Key, Reason: err.Error()})
				u = jobs.UnreachableWorkers{} // nothing is known of them
			}
			n.enqueueFrom(g, cell.UnreachableRead{Workers: u})
		}
	}
}

// applyClaim applies a claim of the cell. It returns false for one that is malformed.
func (n *Node) applyClaim(g *generation, r store.Record) (jobs.Claim, bool) {
	claim, err := jobs.Decode[jobs.Claim](r.Key, r.Value)
	if err == nil {
		err = claim.Validate()
	}
	if err != nil {
		n.deps.Telemetry.Log("decoding ownership claim failed", LogFields{Reason: err.Error()})
		return jobs.Claim{}, false
	}
	n.enqueueFrom(g, cell.ClaimRead{Claim: claim})
	return claim, true
}

// applyStoredQueue applies the entry of a queue that is stored for its jobs.
func (n *Node) applyStoredQueue(g *generation, r store.Record, partition int) {
	e := cell.QueueRead{Name: jobs.QueueOfKey(r.Key), Partition: partition}
	if len(r.Value) > 0 {
		q, err := jobs.Decode[jobs.Queue](r.Key, r.Value)
		if err != nil {
			n.deps.Telemetry.Log("decoding stored queue failed", LogFields{Subject: r.Key, Reason: err.Error()})
			return
		}
		e.Queue = &q
	}
	n.enqueueFrom(g, e)
}

// connectToOwner connects to the instance that a claim makes the owner. It closes the
// connection if that is this instance or if the claim was released.
func (n *Node) connectToOwner(c jobs.Claim) {
	if n.submitter.refusalEpoch.Swap(c.Epoch) != c.Epoch {
		n.submitter.refusals.reset()
	}
	if c.Owner == n.self || c.Released {
		n.client.SetOwner("", "")
		return
	}
	n.client.SetOwner(c.Address, c.Owner)
}
