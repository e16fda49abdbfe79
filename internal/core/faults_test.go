package core_test

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// linkState is what happens to messages between two instances.
type linkState int

const (
	linkOK linkState = iota
	linkRefused
	linkDropped
)

// activeFaults holds the faults in force.
type activeFaults struct {
	appendDropped, appendAnswerLost float64 // probabilities
	messageLost, messageDelayed     float64
	startDelayed, startAnswerLost   float64
	logOutages                      map[string]int          // count, by "" for all, data centre or instance address
	links                           map[[2]string]linkState // by linkKey, or "cut" between data centres
	workerOutages                   map[[2]string]int       // count, by worker address and instance address, or "" for all
	staleVMs                        []model.VM              // listed but not running
	leavingPeriods                  []leavingPeriod
}

// leavingPeriod is a period in which a worker was listed as leaving.
type leavingPeriod struct {
	worker   model.WorkerName
	from, to time.Duration
}

func (f *activeFaults) init() {
	f.logOutages, f.links, f.workerOutages = map[string]int{}, map[[2]string]linkState{}, map[[2]string]int{}
}

func (f *activeFaults) logUnavailable(in *instance) bool {
	return f.logOutages[""]+f.logOutages[string(in.self.DataCentre)]+f.logOutages[in.self.Address] > 0
}

func (f *activeFaults) workerUnreachable(in *instance, address string) bool {
	return f.workerOutages[[2]string{address, ""}]+f.workerOutages[[2]string{address, in.self.Address}] > 0
}

func (f *activeFaults) linkState(w *world, from, to string) linkState {
	if l := f.links[[2]string{min(from, to), max(from, to)}]; l != linkOK {
		return l
	}
	a, b := w.instances[from], w.instances[to]
	if a != nil && b != nil && a.self.DataCentre != b.self.DataCentre {
		return f.links[[2]string{"cut", "cut"}]
	}
	return linkOK
}

func (f *activeFaults) listedVMs(w *world) []model.VM { return append(w.vmList.List(), f.staleVMs...) }

// fault is one kind of fault. begin switches it on and returns a function that ends it.
type fault struct {
	name  string
	begin func(w *world) (off func())
}

// probabilityFault returns a fault that raises a probability from 0 to p.
func probabilityFault(name string, p float64, at func(*activeFaults) *float64) fault {
	return fault{name, func(w *world) func() {
		*at(&w.faults) = p
		return func() { *at(&w.faults) = 0 }
	}}
}

// logOutageFault returns a fault that makes the log unreachable for the instances in
// scope.
func logOutageFault(name string, scope func(w *world) string) fault {
	return fault{name, func(w *world) func() {
		s := scope(w)
		w.tracef("log outage for %q", s)
		w.faults.logOutages[s]++
		return func() { w.faults.logOutages[s]-- }
	}}
}

var faultKinds = []fault{
	{"kill", (*world).killInstance},
	{"pause", (*world).pauseInstance},
	logOutageFault("log outage", func(*world) string { return "" }),
	logOutageFault("log outage in a data centre", func(w *world) string { return string(dataCentres[w.rng.IntN(len(dataCentres))]) }),
	logOutageFault("log outage at an instance", func(w *world) string { return w.instanceKeys[w.rng.IntN(len(w.instanceKeys))] }),
	probabilityFault("append answers lost", 0.6, func(f *activeFaults) *float64 { return &f.appendAnswerLost }),
	probabilityFault("appends lost", 0.4, func(f *activeFaults) *float64 { return &f.appendDropped }),
	probabilityFault("messages lost", 0.3, func(f *activeFaults) *float64 { return &f.messageLost }),
	probabilityFault("messages delayed or duplicated", 0.3, func(f *activeFaults) *float64 { return &f.messageDelayed }),
	{"link drops messages", (*world).dropLink},
	{"data centres cut off", (*world).cutDataCentres},
	{"worker restart", (*world).restartWorker},
	{"worker crash", (*world).crashWorker},
	{"worker unreachable", (*world).disconnectWorker},
	{"worker leaving", (*world).markWorkerLeaving},
	probabilityFault("start answers lost", 0.4, func(f *activeFaults) *float64 { return &f.startAnswerLost }),
	probabilityFault("starts delayed", 0.4, func(f *activeFaults) *float64 { return &f.startDelayed }),
	{"VM list frozen", func(w *world) func() {
		w.vmList.Freeze(true)
		return func() { w.vmList.Freeze(false) }
	}},
	{"VM list incomplete", func(w *world) func() {
		name := string(w.anyWorker().name)
		if w.chance(0.5) {
			name = w.instances[w.instanceKeys[w.rng.IntN(len(w.instanceKeys))]].self.Name
		}
		w.vmList.Hide(name, true)
		return func() { w.vmList.Hide(name, false) }
	}},
	{"VM list with dead VMs", func(w *world) func() {
		dc := dataCentres[w.rng.IntN(len(dataCentres))]
		w.faults.staleVMs = append(w.faults.staleVMs,
			model.VM{Name: "ghost", Kind: model.VMWorker, DataCentre: dc, Address: "10.9.9.1:80", Rack: "ghost"},
			model.VM{Name: "ghost-entry", Kind: model.VMEntry, DataCentre: dc, Address: "10.9.9.2:70"})
		return func() { w.faults.staleVMs = nil }
	}},
	{"drain", (*world).drainInstance},
	{"owner isolated in steps", (*world).isolateOwner},
	{"pause with starts in flight", (*world).pauseDuringStarts},
	{"intent holder unreachable", (*world).isolateIntentHolder},
	{"cancellations", func(w *world) func() { w.callers.cancelJobs(); return func() {} }},
	{"publishers", func(w *world) func() {
		for range 3 {
			w.after(w.uniform(0, 2*time.Second), w.callers.publishNewTexts)
		}
		return func() {}
	}},
}

// scheduleFaults draws the faults of a history. The first seeds go through the fault
// kinds one by one, the next ones take two kinds, the others up to five. Each kind
// occurs up to three times.
func (w *world) scheduleFaults() {
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
			at := w.uniform(faultsFrom, faultsUntil-5*time.Second)
			duration := min(w.uniform(100*time.Millisecond, 8*time.Second), faultsUntil-at)
			if w.chance(0.3) {
				duration = min(duration, w.uniform(50*time.Millisecond, 2*time.Second))
			}
			w.after(at, func() {
				w.tracef("fault on: %s", k.name)
				off := k.begin(w)
				w.after(duration, func() { w.tracef("fault off: %s", k.name); off() })
			})
		}
	}
}

// anyInstance returns a random instance, or, with a probability of 0.6, the last
// known owner of that instance's data centre.
func (w *world) anyInstance() *instance {
	in := w.instances[w.instanceKeys[w.rng.IntN(len(w.instanceKeys))]]
	if w.chance(0.6) {
		dc := in.self.DataCentre
		if o := w.lastWatchers[dc]; o != nil && !o.dead {
			return o // only owners watch workers
		}
	}
	return in
}

func (w *world) anyWorker() *upstream { return w.workers[w.workerKeys[w.rng.IntN(len(w.workerKeys))]] }

// killInstance kills an instance. When the fault ends, a replacement starts at the same
// address.
func (w *world) killInstance() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	w.tracef("kill %s", in.self.Incarnation)
	in.dead = true
	w.callers.instanceStopped(in)
	return func() { w.replaceInstance(in) }
}

func (w *world) replaceInstance(in *instance) {
	w.replacements++
	w.startInstance(in.self.DataCentre, in.self.Name, in.self.Address, 1+w.replacements)
}

func (w *world) pauseInstance() func() {
	in := w.anyInstance()
	d := w.uniform(200*time.Millisecond, 6*time.Second)
	w.tracef("pause %s for %v", in.self.Incarnation, d)
	in.pausedUntil = max(in.pausedUntil, w.now()+d)
	return func() {}
}

// burst makes one call every 20 ms through one instance, for a time d that begins after
// from.
func (w *world) burst(in *instance, from, d time.Duration, call func(*instance)) {
	for at := from; at < from+d; at += 20 * time.Millisecond {
		w.after(at, func() {
			if !in.dead && !in.exited {
				call(in)
			}
		})
	}
}

// peers returns the other instances of an instance's data centre, and a random one of
// them.
func (w *world) peers(in *instance) (all []*instance, one *instance) {
	for _, address := range w.instanceKeys {
		if p := w.instances[address]; p.self.DataCentre == in.self.DataCentre && p != in {
			all = append(all, p)
		}
	}
	return all, all[w.rng.IntN(len(all))]
}

// isolateOwner cuts an owner off from its peers and, when they are about to take over,
// from the log, while callers and workers still reach it. This makes the owner's
// confirmed-owner time end as late as possible.
func (w *world) isolateOwner() func() {
	in := w.anyInstance()
	all, other := w.peers(in)
	w.tracef("isolate %s", in.self.Incarnation)
	for _, p := range all {
		w.faults.links[linkKey(in, p)] = linkDropped
	}
	w.faults.startDelayed = 0.5
	outageAfter := w.uniform(500*time.Millisecond, 1400*time.Millisecond)
	w.after(outageAfter, func() { w.faults.logOutages[in.self.Address]++ })
	w.burst(in, outageAfter, 1500*time.Millisecond, w.callers.submitPreviewAt)
	w.burst(other, outageAfter, 3*time.Second, w.callers.submitPreviewAt)
	w.after(5*time.Second, func() {
		w.faults.logOutages[in.self.Address]--
		w.faults.startDelayed = 0
		for _, p := range all {
			delete(w.faults.links, linkKey(in, p))
		}
	})
	return func() {}
}

// pauseDuringStarts pauses an instance when its start calls are about to leave.
func (w *world) pauseDuringStarts() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	_, other := w.peers(in)
	for range 8 {
		w.callers.submitPreviewAt(in)
	}
	w.after(w.uniform(0, time.Millisecond), func() {
		in.pausedUntil = max(in.pausedUntil, w.now()+w.uniform(time.Second, 6*time.Second))
		w.tracef("pause %s until %v", in.self.Incarnation, in.pausedUntil)
	})
	w.burst(other, time.Second, 4*time.Second, w.callers.submitPreviewAt)
	return func() {}
}

// isolateIntentHolder kills an owner while the log is unreachable and a peer holds the
// owner's intents. The successor can then reach neither that peer nor some of the
// workers.
func (w *world) isolateIntentHolder() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	all, _ := w.peers(in)
	dc := string(in.self.DataCentre)
	w.faults.logOutages[dc]++
	for range 4 {
		w.after(w.uniform(500*time.Millisecond, 1400*time.Millisecond), func() { w.callers.submitBookingAt(in) })
	}
	w.after(1500*time.Millisecond, func() {
		w.faults.logOutages[dc]--
		if in.dead || in.exited || len(all) != 2 {
			return
		}
		w.tracef("kill %s, drop messages between its peers", in.self.Incarnation)
		in.dead = true
		w.callers.instanceStopped(in)
		w.faults.links[linkKey(all[0], all[1])] = linkDropped
		var cut []string
		for _, address := range w.workerKeys {
			if w.workers[address].dc == in.self.DataCentre && w.chance(0.5) {
				cut = append(cut, address)
				w.faults.workerOutages[[2]string{address, ""}]++
			}
		}
		w.after(5*time.Second, func() {
			delete(w.faults.links, linkKey(all[0], all[1]))
			for _, address := range cut {
				w.faults.workerOutages[[2]string{address, ""}]--
			}
			w.replaceInstance(in)
		})
	})
	return func() {}
}

// linkKey returns the key of the link between two instances.
func linkKey(a, b *instance) [2]string {
	return [2]string{min(a.self.Address, b.self.Address), max(a.self.Address, b.self.Address)}
}

func (w *world) dropLink() func() {
	a, b := w.instanceKeys[w.rng.IntN(len(w.instanceKeys))], w.instanceKeys[w.rng.IntN(len(w.instanceKeys))]
	k := [2]string{min(a, b), max(a, b)}
	w.tracef("drop messages between %v", k)
	w.faults.links[k] = linkDropped
	return func() { delete(w.faults.links, k) }
}

func (w *world) cutDataCentres() func() {
	k := [2]string{"cut", "cut"}
	w.faults.links[k] = linkRefused + linkState(w.rng.IntN(2))
	return func() { delete(w.faults.links, k) }
}

func (w *world) restartWorker() func() {
	u := w.anyWorker()
	w.tracef("restart %s", u.name)
	u.Set(standin.WorkerFaults{Restart: true})
	return func() {}
}

func (w *world) crashWorker() func() {
	u := w.anyWorker()
	w.tracef("crash %s", u.name)
	u.Set(standin.WorkerFaults{Crash: true})
	return func() { u.Set(standin.WorkerFaults{Restart: true}) }
}

// disconnectWorker makes a worker unreachable for all instances or for one.
func (w *world) disconnectWorker() func() {
	k := [2]string{w.anyWorker().address, ""}
	if w.chance(0.5) {
		k[1] = w.anyInstance().self.Address
	}
	w.tracef("disconnect worker %v", k)
	w.faults.workerOutages[k]++
	return func() { w.faults.workerOutages[k]-- }
}

// markWorkerLeaving lists a worker as leaving. Half of the time the worker's reports
// say so too.
func (w *world) markWorkerLeaving() func() {
	u := w.anyWorker()
	// A second fault on a worker that is already leaving would end with the first,
	// while checkRuns would expect it to last longer (seed 1200).
	for _, l := range w.faults.leavingPeriods {
		if l.worker == u.name && l.to == historyEnd {
			return func() {}
		}
	}
	w.tracef("leaving %s", u.name)
	w.vmList.SetLeaving(string(u.name), true)
	yes, no := true, false
	if w.chance(0.5) {
		u.Set(standin.WorkerFaults{Leaving: &yes})
	}
	i := len(w.faults.leavingPeriods)
	w.faults.leavingPeriods = append(w.faults.leavingPeriods, leavingPeriod{worker: u.name, from: w.now(), to: historyEnd})
	return func() {
		w.faults.leavingPeriods[i].to = w.now()
		w.vmList.SetLeaving(string(u.name), false)
		u.Set(standin.WorkerFaults{Leaving: &no})
	}
}

// drainInstance drains an instance and replaces it once it has exited.
func (w *world) drainInstance() func() {
	in := w.anyInstance()
	if in.dead || in.exited {
		return func() {}
	}
	w.tracef("drain %s", in.self.Incarnation)
	in.deliver(core.Event{Drain: &core.Drain{}})
	var wait func()
	wait = func() {
		switch {
		case in.dead: // killed in the meantime
		case in.exited:
			for _, a := range w.callers.calls {
				if a.instance == in && a.pending() {
					w.violationf("%s exited with call %s unanswered", in.self.Incarnation, a.id)
				}
			}
			in.dead = true
			w.callers.instanceStopped(in)
			w.replaceInstance(in)
		default:
			w.after(100*time.Millisecond, wait)
		}
	}
	wait()
	return func() {}
}
