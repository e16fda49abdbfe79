package core_test

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// link is what happens to messages between two instances.
type link int

const (
	linkOK link = iota
	linkRefused
	linkSilent
)

// faultState holds the faults that are on.
type faultState struct {
	appendUnsent, appendLost float64 // probabilities
	messageLost, messageLate float64
	startLate, startLost     float64
	logs                     map[string]int     // outages by "", data centre or instance address
	links                    map[[2]string]link // by the pair of addresses or data centres
	upstreams                map[[2]string]int  // worker address and instance address, or "" for all
	ghosts                   []model.VM         // listed and not there
	leaving                  []leave
}

// leave is the time for which a worker was listed as leaving.
type leave struct {
	worker   model.WorkerName
	from, to time.Duration
}

func (f *faultState) init() {
	f.logs, f.links, f.upstreams = map[string]int{}, map[[2]string]link{}, map[[2]string]int{}
}

func (f *faultState) logOut(in *instance) bool {
	return f.logs[""]+f.logs[string(in.self.DataCentre)]+f.logs[in.self.Address] > 0
}

func (f *faultState) workerCut(in *instance, address string) bool {
	return f.upstreams[[2]string{address, ""}]+f.upstreams[[2]string{address, in.self.Address}] > 0
}

func (f *faultState) link(w *world, from, to string) link {
	if l := f.links[[2]string{min(from, to), max(from, to)}]; l != linkOK {
		return l
	}
	a, b := w.insts[from], w.insts[to]
	if a != nil && b != nil && a.self.DataCentre != b.self.DataCentre {
		return f.links[[2]string{"cut", "cut"}]
	}
	return linkOK
}

func (f *faultState) listed(w *world) []model.VM { return append(w.list.List(), f.ghosts...) }

// fault is one kind of fault. on switches it on and returns what ends it.
type fault struct {
	name string
	on   func(w *world) (off func())
}

// probability returns a fault that sets a probability for a while.
func probability(name string, p float64, at func(*faultState) *float64) fault {
	return fault{name, func(w *world) func() {
		*at(&w.faults) = p
		return func() { *at(&w.faults) = 0 }
	}}
}

// outage returns a fault that keeps some instances from the log.
func outage(name string, scope func(w *world) string) fault {
	return fault{name, func(w *world) func() {
		s := scope(w)
		w.note("outage of %q", s)
		w.faults.logs[s]++
		return func() { w.faults.logs[s]-- }
	}}
}

var faultKinds = []fault{
	{"kill", (*world).kill},
	{"pause", (*world).pause},
	outage("log", func(*world) string { return "" }),
	outage("log of a data centre", func(w *world) string { return string(dataCentres[w.rng.IntN(len(dataCentres))]) }),
	outage("log of an instance", func(w *world) string { return w.order[w.rng.IntN(len(w.order))] }),
	probability("append answers lost", 0.6, func(f *faultState) *float64 { return &f.appendLost }),
	probability("appends lost", 0.4, func(f *faultState) *float64 { return &f.appendUnsent }),
	probability("messages lost", 0.3, func(f *faultState) *float64 { return &f.messageLost }),
	probability("messages late or twice", 0.3, func(f *faultState) *float64 { return &f.messageLate }),
	{"silence", (*world).silence},
	{"cut", (*world).cut},
	{"worker restart", (*world).restartWorker},
	{"worker crash", (*world).crashWorker},
	{"worker silent", (*world).silenceWorker},
	{"worker leaving", (*world).leaveWorker},
	probability("start answers lost", 0.4, func(f *faultState) *float64 { return &f.startLost }),
	probability("starts late", 0.4, func(f *faultState) *float64 { return &f.startLate }),
	{"list frozen", func(w *world) func() {
		w.list.Freeze(true)
		return func() { w.list.Freeze(false) }
	}},
	{"list incomplete", func(w *world) func() {
		name := string(w.anyWorker().name)
		if w.chance(0.5) {
			name = w.insts[w.order[w.rng.IntN(len(w.order))]].self.Name
		}
		w.list.Hide(name, true)
		return func() { w.list.Hide(name, false) }
	}},
	{"list names the dead", func(w *world) func() {
		dc := dataCentres[w.rng.IntN(len(dataCentres))]
		w.faults.ghosts = append(w.faults.ghosts,
			model.VM{Name: "ghost", Kind: model.VMWorker, DataCentre: dc, Address: "10.9.9.1:80", Rack: "ghost"},
			model.VM{Name: "ghost-entry", Kind: model.VMEntry, DataCentre: dc, Address: "10.9.9.2:70"})
		return func() { w.faults.ghosts = nil }
	}},
	{"drain", (*world).drain},
	{"isolation in steps", (*world).isolate},
	{"pause with starts under way", (*world).pauseStarts},
	{"holder out of reach", (*world).cutHolder},
	{"cancellations", func(w *world) func() { w.calls.cancelSome(); return func() {} }},
	{"publishers", func(w *world) func() {
		for range 3 {
			w.after(w.between(0, 2*time.Second), w.calls.publishSome)
		}
		return func() {}
	}},
}

// plan draws the faults of a history: the first seeds go through the kinds one
// by one, the next take two, the others up to five, each up to three times.
func (w *world) plan() {
	n := len(faultKinds)
	var kinds []fault
	switch s := int(w.seed); {
	case s < 1:
		return
	case s <= n:
		kinds = []fault{faultKinds[s-1]}
	default:
		for range 2 + w.rng.IntN(4)*min(1, s/(3*n)) {
			kinds = append(kinds, faultKinds[w.rng.IntN(n)])
		}
	}
	for _, k := range kinds {
		for range 1 + w.rng.IntN(3) {
			at := w.between(faultsFrom, faultsUntil-5*time.Second)
			for_ := min(w.between(100*time.Millisecond, 8*time.Second), faultsUntil-at)
			if w.chance(0.3) {
				for_ = min(for_, w.between(50*time.Millisecond, 2*time.Second))
			}
			w.after(at, func() {
				w.note("fault on: %s", k.name)
				off := k.on(w)
				w.after(for_, func() { w.note("fault off: %s", k.name); off() })
			})
		}
	}
}

// anyInstance prefers, half of the time, the last owner known.
func (w *world) anyInstance() *instance {
	in := w.insts[w.order[w.rng.IntN(len(w.order))]]
	if w.chance(0.6) {
		dc := in.self.DataCentre
		if o := w.watchers[dc]; o != nil && !o.dead {
			return o // only owners watch workers
		}
	}
	return in
}

func (w *world) anyWorker() *upstream { return w.workers[w.names[w.rng.IntN(len(w.names))]] }

// kill ends an instance; another run of it starts under the same address.
func (w *world) kill() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	w.note("kill %s", in.self.Incarnation)
	in.dead = true
	w.calls.gone(in)
	return func() { w.replace(in) }
}

func (w *world) replace(in *instance) {
	w.incarnations++
	w.boot(in.self.DataCentre, in.self.Name, in.self.Address, 1+w.incarnations)
}

func (w *world) pause() func() {
	in := w.anyInstance()
	d := w.between(200*time.Millisecond, 6*time.Second)
	w.note("pause %s for %v", in.self.Incarnation, d)
	in.paused = max(in.paused, w.now()+d)
	return func() {}
}

// burst makes calls of one kind through one instance, 20 ms apart.
func (w *world) burst(in *instance, from, d time.Duration, call func(*instance)) {
	for at := from; at < from+d; at += 20 * time.Millisecond {
		w.after(at, func() {
			if !in.dead && !in.exited {
				call(in)
			}
		})
	}
}

// peers returns the instances of a data centre but one, and one of them.
func (w *world) peers(in *instance) (all []*instance, one *instance) {
	for _, address := range w.order {
		if p := w.insts[address]; p.self.DataCentre == in.self.DataCentre && p != in {
			all = append(all, p)
		}
	}
	return all, all[w.rng.IntN(len(all))]
}

// isolate cuts an owner off from its peers and, when they are about to take
// over, from the log, while callers and workers still reach it. Its evidence
// then ends as late as it can.
func (w *world) isolate() func() {
	in := w.anyInstance()
	all, other := w.peers(in)
	w.note("isolate %s", in.self.Incarnation)
	for _, p := range all {
		w.faults.links[pair(in, p)] = linkSilent
	}
	w.faults.startLate = 0.5
	out := w.between(500*time.Millisecond, 1400*time.Millisecond)
	w.after(out, func() { w.faults.logs[in.self.Address]++ })
	w.burst(in, out, 1500*time.Millisecond, w.calls.previewAt)
	w.burst(other, out, 3*time.Second, w.calls.previewAt)
	w.after(5*time.Second, func() {
		w.faults.logs[in.self.Address]--
		w.faults.startLate = 0
		for _, p := range all {
			delete(w.faults.links, pair(in, p))
		}
	})
	return func() {}
}

// pauseStarts pauses an instance while its starts are about to leave.
func (w *world) pauseStarts() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	_, other := w.peers(in)
	for range 8 {
		w.calls.previewAt(in)
	}
	w.after(w.between(0, time.Millisecond), func() {
		in.paused = max(in.paused, w.now()+w.between(time.Second, 6*time.Second))
		w.note("pause %s until %v", in.self.Incarnation, in.paused)
	})
	w.burst(other, time.Second, 4*time.Second, w.calls.previewAt)
	return func() {}
}

// cutHolder kills an owner while the log is out and a peer holds its intents,
// and keeps that peer and some workers from the successor.
func (w *world) cutHolder() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	all, _ := w.peers(in)
	dc := string(in.self.DataCentre)
	w.faults.logs[dc]++
	for range 4 {
		w.after(w.between(500*time.Millisecond, 1400*time.Millisecond), func() { w.calls.bookingFor(in) })
	}
	w.after(1500*time.Millisecond, func() {
		w.faults.logs[dc]--
		if in.dead || in.exited || len(all) != 2 {
			return
		}
		w.note("kill %s, silence between the others", in.self.Incarnation)
		in.dead = true
		w.calls.gone(in)
		w.faults.links[pair(all[0], all[1])] = linkSilent
		var cut []string
		for _, address := range w.names {
			if w.workers[address].dc == in.self.DataCentre && w.chance(0.5) {
				cut = append(cut, address)
				w.faults.upstreams[[2]string{address, ""}]++
			}
		}
		w.after(5*time.Second, func() {
			delete(w.faults.links, pair(all[0], all[1]))
			for _, address := range cut {
				w.faults.upstreams[[2]string{address, ""}]--
			}
			w.replace(in)
		})
	})
	return func() {}
}

// pair is the key of the link between two instances.
func pair(a, b *instance) [2]string {
	return [2]string{min(a.self.Address, b.self.Address), max(a.self.Address, b.self.Address)}
}

func (w *world) silence() func() {
	a, b := w.order[w.rng.IntN(len(w.order))], w.order[w.rng.IntN(len(w.order))]
	k := [2]string{min(a, b), max(a, b)}
	w.note("silence between %v", k)
	w.faults.links[k] = linkSilent
	return func() { delete(w.faults.links, k) }
}

func (w *world) cut() func() {
	k := [2]string{"cut", "cut"}
	w.faults.links[k] = linkRefused + link(w.rng.IntN(2))
	return func() { delete(w.faults.links, k) }
}

func (w *world) restartWorker() func() {
	u := w.anyWorker()
	w.note("restart %s", u.name)
	u.Set(standin.WorkerFaults{Restart: true})
	return func() {}
}

func (w *world) crashWorker() func() {
	u := w.anyWorker()
	w.note("crash %s", u.name)
	u.Set(standin.WorkerFaults{Crash: true})
	return func() { u.Set(standin.WorkerFaults{Restart: true}) }
}

// silenceWorker cuts a worker off from all instances or from one.
func (w *world) silenceWorker() func() {
	k := [2]string{w.anyWorker().address, ""}
	if w.chance(0.5) {
		k[1] = w.anyInstance().self.Address
	}
	w.note("silent worker %v", k)
	w.faults.upstreams[k]++
	return func() { w.faults.upstreams[k]-- }
}

// leaveWorker lists a worker as leaving, and half of the time makes it say so.
func (w *world) leaveWorker() func() {
	u := w.anyWorker()
	w.note("leaving %s", u.name)
	w.list.SetLeaving(string(u.name), true)
	yes, no := true, false
	if w.chance(0.5) {
		u.Set(standin.WorkerFaults{Leaving: &yes})
	}
	i := len(w.faults.leaving)
	w.faults.leaving = append(w.faults.leaving, leave{worker: u.name, from: w.now(), to: historyEnd})
	return func() {
		w.faults.leaving[i].to = w.now()
		w.list.SetLeaving(string(u.name), false)
		u.Set(standin.WorkerFaults{Leaving: &no})
	}
}

// drain asks an instance to hand over; it is replaced when it has exited.
func (w *world) drain() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	w.note("drain %s", in.self.Incarnation)
	in.deliver(core.Event{Drain: &core.Drain{}})
	var wait func()
	wait = func() {
		switch {
		case in.dead: // killed meanwhile
		case in.exited:
			for _, a := range w.calls.all {
				if a.in == in && a.open() {
					w.broken("%s exited with call %s open", in.self.Incarnation, a.id)
				}
			}
			in.dead = true
			w.calls.gone(in)
			w.replace(in)
		default:
			w.after(100*time.Millisecond, wait)
		}
	}
	wait()
	return func() {}
}
