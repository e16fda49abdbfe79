package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Alive returns the members of the own data centre that were heard lately and
// don't drain, this instance included, sorted by incarnation. They are the
// electors of the next claim.
func (v *View) Alive(now model.Time) []model.Member {
	v.now = max(v.now, now)
	v.forget()
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

// alive reports whether an entry was heard within the time that fits its
// distance.
func (v *View) alive(e *entry) bool {
	limit := v.farLimit
	if e.member.DataCentre == v.cfg.Self.DataCentre {
		limit = v.cfg.SuspectTimeout
	}
	return e.heard != none && v.now.Sub(e.heard) < limit
}

// Members returns the other instances of the own data centre, those that are
// listed but were never heard included, sorted by name and address.
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
	entry  *entry // nil: never heard or named
}

// candidates returns the instances of a data centre without this one, one per
// address, sorted by address. Incarnation is empty for an address that was
// never heard from.
func (v *View) candidates(dc model.DataCentre) []candidate {
	byAddress := map[string]candidate{}
	for _, a := range v.cfg.Seeds[dc] {
		byAddress[a] = candidate{member: model.Member{DataCentre: dc, Address: a}}
	}
	for a, vm := range v.listed {
		if vm.DataCentre == dc {
			byAddress[a] = candidate{member: model.Member{Name: vm.Name, DataCentre: dc, Address: a}}
		}
	}
	for _, e := range v.entries {
		if e.member.DataCentre != dc {
			continue
		}
		// A peer may name an incarnation that its address has not shown yet.
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

// newer orders two entries of one address: the one heard last, then by
// incarnation.
func newer(a, b *entry) bool {
	if a.heard != b.heard {
		return a.heard > b.heard
	}
	return a.member.Incarnation > b.member.Incarnation
}

// HeartbeatTargets returns the other instances of the own data centre, which all get
// every heartbeat.
func (v *View) HeartbeatTargets() []model.Member {
	var out []model.Member
	for _, c := range v.candidates(v.cfg.Self.DataCentre) {
		out = append(out, c.member)
	}
	return out
}

// NextRemoteTarget returns the instance of another data centre whose turn it is to
// get a heartbeat. One at a time keeps the traffic of an instance independent
// of the number of data centres; what one instance learns spreads through the
// others.
func (v *View) NextRemoteTarget() (model.Member, bool) {
	var all []model.Member
	for _, dc := range v.DataCentres() {
		if dc != v.cfg.Self.DataCentre {
			far := v.best(dc)
			all = append(all, far[:min(len(far), v.cfg.RemotePeers)]...)
		}
	}
	if len(all) == 0 {
		return model.Member{}, false
	}
	round := time.Duration(farRounds * float64(len(all)) * float64(v.cfg.RemoteHeartbeatInterval))
	v.farLimit = max(farRecent, round)
	v.turn++
	return all[v.turn%len(all)], true
}

// RemoteOwner returns the owner of another data centre if it is known and was
// heard lately.
func (v *View) RemoteOwner(now model.Time, dc model.DataCentre) (model.Member, message.Load, bool) {
	v.now = max(v.now, now)
	o := v.farOwner(dc)
	if o == nil || !v.alive(o) {
		return model.Member{}, message.Load{}, false
	}
	return o.member, o.load, true
}

// farOwner returns the entry that claims the highest epoch of a data centre.
func (v *View) farOwner(dc model.DataCentre) *entry {
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

// RemoteMembers returns the instances of another data centre, best first: those
// heard lately, of these the owner, and those that don't drain.
func (v *View) RemoteMembers(now model.Time, dc model.DataCentre) []model.Member {
	v.now = max(v.now, now)
	return v.best(dc)
}

func (v *View) best(dc model.DataCentre) []model.Member {
	owner := v.farOwner(dc)
	cs := v.candidates(dc)
	score := func(c candidate) int {
		switch {
		case c.entry == nil:
			return 2
		case !v.alive(c.entry):
			return 3 // silent since it was heard, so less promising than a new address
		case c.entry.draining:
			return 1
		case c.entry == owner:
			return -1
		}
		return 0
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(score(a), score(b)),
			cmp.Compare(v.weight(a.member.Address), v.weight(b.member.Address)))
	})
	out := make([]model.Member, len(cs))
	for i, c := range cs {
		out[i] = c.member
	}
	return out
}

// DataCentres returns every data centre that has a seed, a listed instance or
// a known member, the own one included, sorted.
func (v *View) DataCentres() []model.DataCentre {
	out := []model.DataCentre{v.cfg.Self.DataCentre}
	for dc := range v.cfg.Seeds {
		out = append(out, dc)
	}
	for _, vm := range v.listed {
		out = append(out, vm.DataCentre)
	}
	for _, e := range v.entries {
		out = append(out, e.member.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
