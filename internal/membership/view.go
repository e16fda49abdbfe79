// Package membership merges the platform's VM list, which may be outdated, with the
// messages from other instances into one view of members and workers.
//
// Received messages take precedence: an unregistered instance is a member once a
// message from it is received, and a registered but silent instance is not alive.
// The list only provides addresses to contact and the existing workers.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// minRemoteSilence is the minimum silence after which an instance of another
	// data centre counts as not alive.
	minRemoteSilence = 3500 * time.Millisecond
	// remoteSilenceRounds is how many heartbeat rounds over all remote targets may
	// pass without a message from an instance. It covers two lost heartbeats and
	// the transit time.
	remoteSilenceRounds = 2.5
	// goneTimeout is how long an instance must be silent and unregistered to count as
	// gone for good. It covers a list that temporarily lacks it by mistake.
	goneTimeout = 30 * time.Second
	// entryRetention is how long a silent, unregistered instance is kept and how long
	// messages of a superseded incarnation are ignored. It is well above any
	// message delay.
	entryRetention = time.Minute
	// missingWorkerTimeout is how long a worker is kept after it is first missing from
	// the VM list. It covers a few refreshes of an outdated or incomplete list.
	missingWorkerTimeout = 30 * time.Second
)

// never is a time before every clock reading.
const never = model.Time(-1 << 62)

// Config doesn't change while an instance runs.
type Config struct {
	Self                    model.Member
	SuspectTimeout          time.Duration // silence after which a member of the local data centre is not alive
	RemotePeers             int           // instances of each other data centre that get heartbeats
	RemoteHeartbeatInterval time.Duration // between heartbeats to other data centres, each to the next remote target
	Seeds                   map[model.DataCentre][]string
}

// Peer is one other instance of the local data centre.
type Peer struct {
	Member   model.Member // Incarnation is empty if no message was received from it
	Alive    bool
	Draining bool
}

// Worker is one worker of the local data centre, from the VM list.
type Worker struct {
	Name    model.WorkerName
	Address string
	Rack    string
	Leaving bool
}

// entry is one incarnation that sent a message or was reported by a peer.
type entry struct {
	member    model.Member
	lastSeen  model.Time // never: only reported by a peer
	createdAt model.Time
	draining  bool
	owner     bool
	epoch     uint64
	load      message.Load
}

type workerEntry struct {
	Worker
	missingSince model.Time // never: in the latest list
}

// View is what one instance knows about the others. It is not safe for concurrent
// use.
type View struct {
	cfg                  Config
	now                  model.Time
	selfDraining         bool
	remoteTargetIndex    int           // incremented for each remote heartbeat
	remoteSilenceTimeout time.Duration // silence after which a remote instance is not alive
	entries              map[model.Incarnation]*entry
	superseded           map[model.Incarnation]model.Time
	registered           map[string]model.VM // entry VMs of the latest list with any, by address
	workers              map[model.WorkerName]*workerEntry
	unregisteredSince    map[string]model.Time // by instance address
}

// New returns the view of an instance that has received no message yet.
func New(cfg Config) *View {
	return &View{
		cfg: cfg, now: never, remoteSilenceTimeout: minRemoteSilence,
		entries:           map[model.Incarnation]*entry{},
		superseded:        map[model.Incarnation]model.Time{},
		registered:        map[string]model.VM{},
		workers:           map[model.WorkerName]*workerEntry{},
		unregisteredSince: map[string]model.Time{},
	}
}

// MarkSeen records that a message from m was received. Any other incarnation at the
// same address is superseded, and its late messages are ignored.
func (v *View) MarkSeen(now model.Time, m model.Member, draining bool) {
	v.now = max(v.now, now)
	if m.Incarnation == v.cfg.Self.Incarnation {
		v.selfDraining = draining
		return
	}
	e := v.findOrAddEntry(m)
	if e == nil {
		return
	}
	for inc, o := range v.entries {
		if inc != m.Incarnation && o.member.Address == m.Address {
			v.superseded[inc] = v.now
			delete(v.entries, inc)
		}
	}
	e.member, e.lastSeen, e.draining = m, v.now, draining
}

// findOrAddEntry returns the entry of m and adds one if there is none. It returns nil
// for a member without incarnation and for a superseded one.
func (v *View) findOrAddEntry(m model.Member) *entry {
	if _, old := v.superseded[m.Incarnation]; old || m.Incarnation == "" {
		return nil
	}
	e := v.entries[m.Incarnation]
	if e == nil {
		e = &entry{member: m, lastSeen: never, createdAt: v.now}
		v.entries[m.Incarnation] = e
	}
	return e
}

// SetStatus records what m or a peer reported about m: its load, whether it owns its
// data centre's lease, and the owner's epoch. It doesn't count as a message from m
// and doesn't make m alive. A report with an older epoch is ignored.
func (v *View) SetStatus(m model.Member, l message.Load, owner bool, epoch uint64) {
	if m.Incarnation == v.cfg.Self.Incarnation {
		return
	}
	e := v.findOrAddEntry(m)
	if e == nil || epoch < e.epoch {
		return
	}
	e.load, e.owner, e.epoch = l, owner, epoch
}

// ApplyVMList applies a VM list. A list without instances leaves the registered
// instances unchanged, and a list without workers of the local data centre leaves
// the workers unchanged.
func (v *View) ApplyVMList(now model.Time, vms []model.VM) {
	v.now = max(v.now, now)
	registered := map[string]model.VM{}
	workers := map[model.WorkerName]model.VM{}
	for _, vm := range vms {
		switch {
		case vm.Kind == model.VMEntry:
			registered[vm.Address] = vm
		case vm.Kind == model.VMWorker && vm.DataCentre == v.cfg.Self.DataCentre:
			workers[model.WorkerName(vm.Name)] = vm
		}
	}
	if len(registered) > 0 {
		v.registered = registered
		v.updateUnregistered()
	}
	if len(workers) > 0 {
		v.mergeWorkers(workers)
	}
	v.expireEntries()
}

// updateUnregistered records since when each known instance is unregistered.
func (v *View) updateUnregistered() {
	for a := range v.registered {
		delete(v.unregisteredSince, a)
	}
	for _, e := range v.entries {
		a := e.member.Address
		if _, ok := v.registered[a]; ok {
			continue
		}
		if _, ok := v.unregisteredSince[a]; !ok {
			v.unregisteredSince[a] = v.now
		}
	}
}

// Gone reports whether a member is gone for good: another incarnation uses its
// address, or it has been silent and unregistered for goneTimeout.
func (v *View) Gone(m model.Member) bool {
	if m.Incarnation == v.cfg.Self.Incarnation {
		return false
	}
	if _, old := v.superseded[m.Incarnation]; old || m.Address == v.cfg.Self.Address {
		return true
	}
	for inc, e := range v.entries {
		if inc != m.Incarnation && e.member.Address == m.Address && e.lastSeen != never {
			return true
		}
	}
	since, ok := v.unregisteredSince[m.Address]
	if !ok || v.now.Sub(since) < goneTimeout {
		return false
	}
	e := v.entries[m.Incarnation]
	return e == nil || e.lastSeen == never || v.now.Sub(e.lastSeen) >= goneTimeout
}

// KnownCount returns the number of instances of the local data centre that are
// registered or have an entry, this instance included.
func (v *View) KnownCount() int {
	n := 1
	for _, c := range v.candidates(v.cfg.Self.DataCentre) {
		if _, ok := v.registered[c.member.Address]; ok || c.entry != nil {
			n++
		}
	}
	return n
}

func (v *View) mergeWorkers(vms map[model.WorkerName]model.VM) {
	for name, vm := range vms {
		w := Worker{Name: name, Address: vm.Address, Rack: vm.Rack, Leaving: vm.Leaving}
		v.workers[name] = &workerEntry{Worker: w, missingSince: never}
	}
	for name, w := range v.workers {
		if _, ok := vms[name]; ok {
			continue
		}
		if w.missingSince == never {
			w.missingSince = v.now
		} else if v.now.Sub(w.missingSince) >= missingWorkerTimeout {
			delete(v.workers, name)
		}
	}
}

// expireEntries removes the entries of silent, unregistered instances and the expired
// records of superseded incarnations.
func (v *View) expireEntries() {
	for inc, e := range v.entries {
		if _, ok := v.registered[e.member.Address]; ok {
			continue
		}
		if v.now.Sub(max(e.lastSeen, e.createdAt)) >= entryRetention {
			delete(v.entries, inc)
		}
	}
	for inc, at := range v.superseded {
		if v.now.Sub(at) >= entryRetention {
			delete(v.superseded, inc)
		}
	}
}

// Workers returns the workers of the local data centre, sorted by name.
func (v *View) Workers() []Worker {
	out := make([]Worker, 0, len(v.workers))
	for _, w := range v.workers {
		out = append(out, w.Worker)
	}
	slices.SortFunc(out, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// rendezvousWeight is the rendezvous hash of this instance and an address. It
// distributes the instances over the addresses of another data centre.
func (v *View) rendezvousWeight(address string) uint64 {
	return xxhash.Sum64String(string(v.cfg.Self.Incarnation) + "\x00" + address)
}
