package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Alive returns the alive members of the local data centre that are not draining,
// this instance included, sorted by incarnation. They are the electors of the next
// claim.
func (v *View) Alive(now model.Time) []model.Member {
	v.now = max(v.now, now)
	v.expireEntries()
	var out []model.Member
	if !v.selfDraining {
		out = append(out, v.cfg.Self)
	}
	for _, e := range v.entries {
		if e.member.DataCentre == v.cfg.Self.DataCentre && !e.draining && v.alive(e) {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b model.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return out
}

// alive reports whether a message was received from an instance within the timeout
// for its data centre, local or remote.
func (v *View) alive(e *entry) bool {
	timeout := v.remoteSilenceTimeout
	if e.member.DataCentre == v.cfg.Self.DataCentre {
		timeout = v.cfg.SuspectTimeout
	}
	return e.lastSeen != never && v.now.Sub(e.lastSeen) < timeout
}

// Members returns the other instances of the local data centre, sorted by name and
// address. It includes addresses from which no message was received.
func (v *View) Members(now model.Time) []Peer {
	v.now = max(v.now, now)
	var out []Peer
	for _, c := range v.candidates(v.cfg.Self.DataCentre) {
		p := Peer{Member: c.member}
		if c.entry != nil {
			p.Alive, p.Draining = v.alive(c.entry), c.entry.draining
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Member.Name, b.Member.Name), cmp.Compare(a.Member.Address, b.Member.Address))
	})
	return out
}

// Member returns the member with the given incarnation, this instance included.
func (v *View) Member(inc model.Incarnation) (model.Member, bool) {
	if inc == v.cfg.Self.Incarnation {
		return v.cfg.Self, true
	}
	e, ok := v.entries[inc]
	if !ok {
		return model.Member{}, false
	}
	return e.member, true
}

// candidate is one address that may be an instance.
type candidate struct {
	member model.Member
	entry  *entry // nil: no message received and not reported by a peer
}

// candidates returns the instances of a data centre except this one, one per
// address, sorted by address. Incarnation is empty for an address without an entry.
func (v *View) candidates(dc model.DataCentre) []candidate {
	byAddress := map[string]candidate{}
	for _, a := range v.cfg.Seeds[dc] {
		byAddress[a] = candidate{member: model.Member{DataCentre: dc, Address: a}}
	}
	for a, vm := range v.registered {
		if vm.DataCentre == dc {
			byAddress[a] = candidate{member: model.Member{Name: vm.Name, DataCentre: dc, Address: a}}
		}
	}
	for _, e := range v.entries {
		if e.member.DataCentre != dc {
			continue
		}
		// A peer may report an incarnation that has not sent a message yet.
		o := byAddress[e.member.Address].entry
		if o == nil || newer(e, o) {
			byAddress[e.member.Address] = candidate{member: e.member, entry: e}
		}
	}
	delete(byAddress, v.cfg.Self.Address)
	out := make([]candidate, 0, len(byAddress))
	for _, c := range byAddress {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.member.Address, b.member.Address) })
	return out
}

// newer reports whether a was seen later than b. Equal times are ordered by
// incarnation.
func newer(a, b *entry) bool {
	if a.lastSeen != b.lastSeen {
		return a.lastSeen > b.lastSeen
	}
	return a.member.Incarnation > b.member.Incarnation
}

// HeartbeatTargets returns the other instances of the local data centre. Every
// heartbeat is sent to all of them.
func (v *View) HeartbeatTargets() []model.Member {
	var out []model.Member
	for _, c := range v.candidates(v.cfg.Self.DataCentre) {
		out = append(out, c.member)
	}
	return out
}

// NextRemoteTarget returns the next instance of another data centre to send a
// heartbeat to, in round-robin order. Sending to one at a time keeps the traffic of an
// instance independent of the number of data centres; instances pass on what they
// learn.
func (v *View) NextRemoteTarget() (model.Member, bool) {
	var all []model.Member
	for _, dc := range v.DataCentres() {
		if dc != v.cfg.Self.DataCentre {
			ranked := v.rankedMembers(dc)
			all = append(all, ranked[:min(len(ranked), v.cfg.RemotePeers)]...)
		}
	}
	if len(all) == 0 {
		return model.Member{}, false
	}
	silence := time.Duration(remoteSilenceRounds * float64(len(all)) * float64(v.cfg.RemoteHeartbeatInterval))
	v.remoteSilenceTimeout = max(minRemoteSilence, silence)
	v.remoteTargetIndex++
	return all[v.remoteTargetIndex%len(all)], true
}

// RemoteOwner returns the owner of another data centre and its load, if the owner is
// known and alive.
func (v *View) RemoteOwner(now model.Time, dc model.DataCentre) (model.Member, message.Load, bool) {
	v.now = max(v.now, now)
	o := v.remoteOwner(dc)
	if o == nil || !v.alive(o) {
		return model.Member{}, message.Load{}, false
	}
	return o.member, o.load, true
}

// remoteOwner returns the owner entry with the highest epoch of a data centre.
func (v *View) remoteOwner(dc model.DataCentre) *entry {
	var best *entry
	for _, e := range v.entries {
		if e.member.DataCentre != dc || !e.owner {
			continue
		}
		if best == nil || e.epoch > best.epoch || (e.epoch == best.epoch && newer(e, best)) {
			best = e
		}
	}
	return best
}

// RemoteMembers returns the instances of another data centre in order of preference:
// alive ones (the owner, others, draining ones), then addresses without an entry, then
// instances that are not alive.
func (v *View) RemoteMembers(now model.Time, dc model.DataCentre) []model.Member {
	v.now = max(v.now, now)
	return v.rankedMembers(dc)
}

func (v *View) rankedMembers(dc model.DataCentre) []model.Member {
	owner := v.remoteOwner(dc)
	cs := v.candidates(dc)
	score := func(c candidate) int {
		switch {
		case c.entry == nil:
			return 2
		case !v.alive(c.entry):
			return 3 // silent since its last message, so less likely to answer than a new address
		case c.entry.draining:
			return 1
		case c.entry == owner:
			return -1
		}
		return 0
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(score(a), score(b)),
			cmp.Compare(v.rendezvousWeight(a.member.Address), v.rendezvousWeight(b.member.Address)))
	})
	out := make([]model.Member, len(cs))
	for i, c := range cs {
		out[i] = c.member
	}
	return out
}

// DataCentres returns every data centre that has a seed, a registered instance or a
// known member, the local one included, sorted.
func (v *View) DataCentres() []model.DataCentre {
	out := []model.DataCentre{v.cfg.Self.DataCentre}
	for dc := range v.cfg.Seeds {
		out = append(out, dc)
	}
	for _, vm := range v.registered {
		out = append(out, vm.DataCentre)
	}
	for _, e := range v.entries {
		out = append(out, e.member.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
