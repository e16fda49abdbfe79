// Package membership merges the platform's lagging VM list with what is heard
// from other instances into one view of members and workers.
//
// Being heard decides: an instance that the list lacks is a member once it is
// heard, and one that is listed but silent is not alive. The list only says
// whom to try and which workers exist.
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
	// farRecent is the least silence after which an instance of another data
	// centre counts as unreachable.
	farRecent = 3500 * time.Millisecond
	// farRounds is how many turns of all far targets may pass without a word of
	// an instance: two lost heartbeats, and transit.
	farRounds = 2.5
	// goneAfter is how long an instance must be silent and missing from the list
	// to count as ended. It covers a list that lacks it by mistake for a while.
	goneAfter = 30 * time.Second
	// forgetAfter is how long an instance that is neither heard nor listed is
	// remembered, and how long a superseded incarnation stays refused. It is
	// well above any message's delay.
	forgetAfter = time.Minute
	// missingWorker is how long a worker stays known after lists began to lack
	// it. It covers a few refreshes of a list that lags or is incomplete.
	missingWorker = 30 * time.Second
)

// none is a time before every reading of the clock.
const none = model.Time(-1 << 62)

// Config is fixed for the life of an instance.
type Config struct {
	Self                    model.Member
	SuspectTimeout          time.Duration // silence after which a member of the own data centre is not alive
	RemotePeers             int           // instances of each other data centre that get heartbeats
	RemoteHeartbeatInterval time.Duration // between two heartbeats to other data centres, each to the next far target
	Seeds                   map[model.DataCentre][]string
}

// Peer is one other instance of the own data centre.
type Peer struct {
	Member   model.Member // Incarnation is empty if it was never heard
	Alive    bool
	Draining bool
}

// Worker is one worker of the own data centre, from the VM list.
type Worker struct {
	Name    model.WorkerName
	Address string
	Rack    string
	Leaving bool
}

// entry is one incarnation that was heard or named by a peer.
type entry struct {
	member   model.Member
	heard    model.Time // none: only named
	noted    model.Time
	draining bool
	owner    bool
	epoch    uint64
	load     message.Load
}

type workerEntry struct {
	Worker
	missingSince model.Time // none: in the newest list
}

// View is what one instance knows of the others. It is not safe for
// concurrent use.
type View struct {
	cfg          Config
	now          model.Time
	selfDraining bool
	turn         int           // of the far targets
	farLimit     time.Duration // silence after which a far instance is not alive
	entries      map[model.Incarnation]*entry
	superseded   map[model.Incarnation]model.Time
	listed       map[string]model.VM // entry VMs of the newest list that had any, by address
	workers      map[model.WorkerName]*workerEntry
	absent       map[string]model.Time // by address of an instance: since when lists lack it
}

// New returns the view of an instance that has heard nothing yet.
func New(cfg Config) *View {
	return &View{
		cfg: cfg, now: none, farLimit: farRecent,
		entries:    map[model.Incarnation]*entry{},
		superseded: map[model.Incarnation]model.Time{},
		listed:     map[string]model.VM{},
		workers:    map[model.WorkerName]*workerEntry{},
		absent:     map[string]model.Time{},
	}
}

// MarkSeen notes any message that was received from m. Another incarnation under
// the same address is superseded, and its late messages are ignored.
func (v *View) MarkSeen(now model.Time, m model.Member, draining bool) {
	v.now = max(v.now, now)
	if m.Incarnation == v.cfg.Self.Incarnation {
		v.selfDraining = draining
		return
	}
	e := v.entry(m)
	if e == nil {
		return
	}
	for inc, o := range v.entries {
		if inc != m.Incarnation && o.member.Address == m.Address {
			v.superseded[inc] = v.now
			delete(v.entries, inc)
		}
	}
	e.member, e.heard, e.draining = m, v.now, draining
}

// entry returns the entry of m, which it makes if needed. It is nil for a
// member without incarnation and for a superseded one.
func (v *View) entry(m model.Member) *entry {
	if _, old := v.superseded[m.Incarnation]; old || m.Incarnation == "" {
		return nil
	}
	e := v.entries[m.Incarnation]
	if e == nil {
		e = &entry{member: m, heard: none, noted: v.now}
		v.entries[m.Incarnation] = e
	}
	return e
}

// SetStatus notes what m said of itself, or a peer of m: whether it owns its
// data centre's lease, since which epoch, and its load. It does not make m
// heard.
func (v *View) SetStatus(m model.Member, l message.Load, owner bool, epoch uint64) {
	if m.Incarnation == v.cfg.Self.Incarnation {
		return
	}
	e := v.entry(m)
	if e == nil || epoch < e.epoch {
		return
	}
	e.load, e.owner, e.epoch = l, owner, epoch
}

// ApplyVMList takes a list of VMs. An empty list changes nothing. A list without
// instances, or without workers of the own data centre, does not change these.
func (v *View) ApplyVMList(now model.Time, vms []model.VM) {
	v.now = max(v.now, now)
	listed := map[string]model.VM{}
	workers := map[model.WorkerName]model.VM{}
	for _, vm := range vms {
		switch {
		case vm.Kind == model.VMEntry:
			listed[vm.Address] = vm
		case vm.Kind == model.VMWorker && vm.DataCentre == v.cfg.Self.DataCentre:
			workers[model.WorkerName(vm.Name)] = vm
		}
	}
	if len(listed) > 0 {
		v.listed = listed
		v.noteAbsent()
	}
	if len(workers) > 0 {
		v.mergeWorkers(workers)
	}
	v.forget()
}

// noteAbsent notes since when the list lacks the instances that were heard.
func (v *View) noteAbsent() {
	for a := range v.listed {
		delete(v.absent, a)
	}
	for _, e := range v.entries {
		a := e.member.Address
		if _, ok := v.listed[a]; ok {
			continue
		}
		if _, ok := v.absent[a]; !ok {
			v.absent[a] = v.now
		}
	}
}

// Gone reports whether a member has ended for good: its address has another
// incarnation, or it has been silent and missing from the list for long.
func (v *View) Gone(m model.Member) bool {
	if m.Incarnation == v.cfg.Self.Incarnation {
		return false
	}
	if _, old := v.superseded[m.Incarnation]; old || m.Address == v.cfg.Self.Address {
		return true
	}
	for inc, e := range v.entries {
		if inc != m.Incarnation && e.member.Address == m.Address && e.heard != none {
			return true
		}
	}
	since, ok := v.absent[m.Address]
	if !ok || v.now.Sub(since) < goneAfter {
		return false
	}
	e := v.entries[m.Incarnation]
	return e == nil || e.heard == none || v.now.Sub(e.heard) >= goneAfter
}

// KnownCount returns the number of instances of the own data centre that are listed
// or were heard, this one included.
func (v *View) KnownCount() int {
	n := 1
	for _, c := range v.candidates(v.cfg.Self.DataCentre) {
		if _, ok := v.listed[c.member.Address]; ok || c.entry != nil {
			n++
		}
	}
	return n
}

func (v *View) mergeWorkers(listed map[model.WorkerName]model.VM) {
	for name, vm := range listed {
		w := Worker{Name: name, Address: vm.Address, Rack: vm.Rack, Leaving: vm.Leaving}
		v.workers[name] = &workerEntry{Worker: w, missingSince: none}
	}
	for name, w := range v.workers {
		if _, ok := listed[name]; ok {
			continue
		}
		if w.missingSince == none {
			w.missingSince = v.now
		} else if v.now.Sub(w.missingSince) >= missingWorker {
			delete(v.workers, name)
		}
	}
}

// forget drops incarnations that are neither heard nor listed.
func (v *View) forget() {
	for inc, e := range v.entries {
		if _, ok := v.listed[e.member.Address]; ok {
			continue
		}
		if v.now.Sub(max(e.heard, e.noted)) >= forgetAfter {
			delete(v.entries, inc)
		}
	}
	for inc, at := range v.superseded {
		if v.now.Sub(at) >= forgetAfter {
			delete(v.superseded, inc)
		}
	}
}

// Workers returns the workers of the own data centre, sorted by name.
func (v *View) Workers() []Worker {
	out := make([]Worker, 0, len(v.workers))
	for _, w := range v.workers {
		out = append(out, w.Worker)
	}
	slices.SortFunc(out, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// weight is the rendezvous hash by which instances spread over an address.
func (v *View) weight(address string) uint64 {
	return xxhash.Sum64String(string(v.cfg.Self.Incarnation) + "\x00" + address)
}
