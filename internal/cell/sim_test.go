package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// sim runs several cells, one for each instance, against a stand-in store and
// stand-in workers in virtual time. The workers check the promises.
type sim struct {
	rnd     *rand.Rand
	now     model.Time
	queue   eventHeap
	serial  int
	store   simStore
	nodes   []*simNode
	workers []*simWorker
	cfg     *jobs.Config
	truth   truth
	// wrong collects broken promises.
	wrong []string

	lostAnswers float64 // share of appends whose answer is lost
	lateOrders  float64 // share of orders that are not answered and done late
	storeDown   bool
	storeBusy   bool                 // refuses appends
	storeSlow   time.Duration        // added to each append
	gone        int                  // workers that left for good
	newest      map[jobs.ID]jobs.Job // submitted jobs
	tickets     uint64
	offers      map[uint64]func(RequestAnswered)
	onLog       func(Log)
	load        *loadRun // if set, runs and eligibility are those of a load profile
}

const simLease = 6 * time.Second

type simEvent struct {
	at   model.Time
	n    int
	call func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (s *sim) after(d time.Duration, call func()) {
	s.serial++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.serial, call})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.call()
	}
	s.now = end
}

func (s *sim) fail(format string, args ...any) {
	s.wrong = append(s.wrong, fmt.Sprintf("%8.3f ", time.Duration(s.now).Seconds())+fmt.Sprintf(format, args...))
}

// trace prints a line if GENTIANPICK_TRACE is part of it.
func (s *sim) trace(format string, args ...any) {
	if want := os.Getenv("GENTIANPICK_TRACE"); want != "" {
		if line := fmt.Sprintf(format, args...); strings.Contains(line, want) {
			fmt.Printf("%8.3f %s\n", time.Duration(s.now).Seconds(), line)
		}
	}
}

// latency returns the time of one way of a call.
func (s *sim) latency() time.Duration {
	return time.Millisecond + time.Duration(s.rnd.Int64N(int64(4*time.Millisecond)))
}

// simStore keeps the two streams of the cell.
type simStore struct {
	subs, progress []Entry
	epoch, seq     int64
	seen           bool
}

// appendProgress is the store's rule for fenced appends.
func (st *simStore) appendProgress(entries []Entry, epoch, seq, at int64) (ok, fenced bool) {
	switch {
	case epoch < st.epoch:
		return false, true
	case at >= 0 && at != int64(len(st.progress)):
		return false, false
	case epoch == st.epoch && st.seen && seq <= st.seq:
		return seq == st.seq, seq < st.seq
	case epoch == st.epoch && st.seen && seq != st.seq+1:
		return false, true
	}
	st.epoch, st.seq, st.seen = epoch, seq, true
	st.progress = append(st.progress, entries...)
	return true, false
}

// simNode is one instance.
type simNode struct {
	s      *sim
	name   string
	life   int
	cell   *Cell
	cores  float64
	alive  bool
	paused bool
	held   []Event       // events that arrive during a pause
	cut    bool          // from the store
	skew   time.Duration // of its time of day
	away   map[*simWorker]bool
	// draining instances tell each new cell so, as the driver does.
	draining bool
	link     *simLink // nil if nothing limits its calls

	subsAt, progressAt int
	claimSeq           int64
	owner              bool
	answered           model.Time // when the store last answered a read
}

func (n *simNode) tick() Tick {
	return Tick{UnixMs: (time.Duration(n.s.now) + n.skew).Milliseconds(), StoreAnsweredAt: n.answered}
}

func (s *sim) addNode(cores float64) *simNode { return s.addLinkedNode(cores, 0) }

// addLinkedNode adds an instance whose link has a rate in bytes a second; zero
// is no limit.
func (s *sim) addLinkedNode(cores float64, bandwidth int64) *simNode {
	n := &simNode{s: s, cores: cores, name: fmt.Sprintf("vm-%d", len(s.nodes)+1), away: map[*simWorker]bool{}}
	if bandwidth > 0 {
		n.link = newSimLink(n, bandwidth, 0)
	}
	s.nodes = append(s.nodes, n)
	n.start()
	return n
}

// start begins a life of the instance's process.
func (n *simNode) start() {
	n.life++
	n.alive, n.paused, n.held = true, false, nil
	n.reload()
	life := n.life
	var tick func()
	tick = func() {
		if n.life != life || !n.alive {
			return
		}
		if !n.paused {
			n.send(life, n.tick())
		}
		n.s.after(TickInterval, tick)
	}
	tick()
	n.readLoop(life, 600*time.Millisecond, n.readSubs)
	n.readLoop(life, 300*time.Millisecond, n.readProgress)
}

func (n *simNode) readLoop(life int, pause time.Duration, read func(life int)) {
	var loop func()
	loop = func() {
		if n.life != life || !n.alive {
			return
		}
		if !n.paused && !n.cut && !n.s.storeDown {
			n.answered = n.s.now
			read(life)
		}
		if n.owner {
			n.s.after(20*time.Millisecond, loop)
			return
		}
		n.s.after(pause, loop)
	}
	n.s.after(n.s.latency(), loop)
}

func (n *simNode) readSubs(life int) {
	sent := n.s.now
	end := len(n.s.store.subs)
	var events []Event
	for _, e := range n.s.store.subs[n.subsAt:end] {
		events = append(events, decodeEntry(e)...)
	}
	n.subsAt = end
	if n.owner {
		events = append(events, SubmissionsCaughtUp{SentAt: sent})
	}
	n.s.after(n.s.latency(), func() { n.send(life, events...) })
}

func (n *simNode) readProgress(life int) {
	if n.owner {
		return
	}
	sent := n.s.now
	end := len(n.s.store.progress)
	var events []Event
	for _, e := range n.s.store.progress[n.progressAt:end] {
		events = append(events, decodeEntry(e)...)
	}
	events = append(events, ProgressCaughtUp{End: int64(end), SentAt: sent, Records: end - n.progressAt})
	n.progressAt = end
	n.s.after(n.s.latency(), func() { n.send(life, events...) })
}

// decodeEntry returns the events of a stored entry, as the driver does.
func decodeEntry(e Entry) []Event {
	kind, id := jobs.ParseKey(e.Key)
	switch kind {
	case jobs.KindJob:
		j, err := jobs.Decode[jobs.Job](e.Key, e.Value)
		if err != nil {
			panic(err)
		}
		return []Event{JobAdded{Job: j}}
	case jobs.KindCancel:
		return []Event{JobCancelled{ID: id}}
	case jobs.KindOwner:
		c, err := jobs.Decode[jobs.Claim](e.Key, e.Value)
		if err != nil {
			panic(err)
		}
		return []Event{ClaimRead{Claim: c}}
	case jobs.KindProgress:
		p, err := jobs.Decode[jobs.Progress](e.Key, e.Value)
		if err != nil {
			panic(err)
		}
		return []Event{ProgressRead{ID: id, Progress: p}}
	}
	return nil
}

// reload builds the cell anew. What the instance still has in flight concerns
// an earlier life.
func (n *simNode) reload() {
	n.life++
	n.owner = false
	self := fmt.Sprintf("%s-%d", n.name, n.life)
	n.cell = New(Config{
		Name: "cell", Self: self, Address: n.name, MaxLease: simLease, GangWait: 3 * time.Second, Cores: n.cores, Bandwidth: n.link.rate(), ClaimJitter: n.s.rnd.Float64(), Retention: time.Hour,
	})
	n.subsAt, n.progressAt = 0, 0
	events := []Event{ConfigChanged{Config: n.s.cfg}, InstanceChanged{Name: self, Up: true}}
	for _, w := range n.s.workers {
		if !w.unlisted {
			events = append(events, WorkerRegistered{Info: w.info()})
		}
	}
	if n.draining {
		events = append(events, DrainStarted{})
	}
	life := n.life
	n.s.after(0, func() { n.send(life, events...) })
}

// drain makes the instance give the cell up for good.
func (n *simNode) drain() {
	n.draining = true
	n.send(n.life, DrainStarted{})
}

func (n *simNode) send(life int, events ...Event) {
	if n.life != life || !n.alive {
		return
	}
	if n.paused {
		n.held = append(n.held, events...)
		return
	}
	for _, e := range n.cell.Step(n.s.now, events...) {
		if n.perform(life, e) {
			return
		}
	}
}

// perform carries one effect out. It returns true if the cell was replaced.
func (n *simNode) perform(life int, e Effect) bool {
	if n.link.carry(life, e) {
		return false
	}
	s := n.s
	reply := func(e Event) {
		s.after(s.latency(), func() { n.send(life, e) })
	}
	switch e := e.(type) {
	case Log:
		if s.onLog != nil {
			s.onLog(e)
		}
		s.trace("%s %s %v %+v", n.cell.cfg.Self, e.Message, e.Job, e.Fields)
	case Append:
		n.append(life, e, s.now, false)
	case TryClaim:
		n.claimSeq = s.rnd.Int64N(1 << 40)
		s.after(s.latency(), func() {
			if n.cut || s.storeDown || s.storeBusy || n.life != life {
				reply(ClaimAnswered{Epoch: e.Claim.Epoch, SentAt: s.now})
				return
			}
			ok, _ := s.store.appendProgress([]Entry{{Key: jobs.KeyOwner, Value: jobs.Encode(e.Claim)}}, e.Claim.Epoch, n.claimSeq, e.At)
			reply(ClaimAnswered{Epoch: e.Claim.Epoch, SentAt: s.now, Won: ok})
		})
	case Renew:
		n.order(life, e.Worker, func(w *simWorker) Event { return w.renew(e) }, Renewed{Worker: e.Worker, SentAt: s.now, Verdict: Unknown, StatusOnly: e.StatusOnly, Call: e.Call}, s.now)
	case Start:
		n.order(life, e.Worker, func(w *simWorker) Event {
			return StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: w.start(e), Call: e.Call}
		}, StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: Unknown, Call: e.Call}, s.now)
	case Stop:
		n.order(life, e.Worker, func(w *simWorker) Event {
			return StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: w.stop(e), Call: e.Call}
		}, StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: Unknown, Call: e.Call}, s.now)
	case QueryEligibility:
		s.after(e.Expected, func() {
			a := EligibilityAnswered{Instance: e.Instance, Job: e.Job, Step: e.Step, Occurrence: e.Occurrence, Queried: e.Workers, ValidFor: 2500 * time.Millisecond}
			for i, w := range e.Workers {
				if s.load.eligible(e.Job, w, i) {
					a.Eligible = append(a.Eligible, Permit{Worker: w, Token: "t"})
				}
			}
			n.send(life, a)
		})
	case RequestAnswered:
		if call := s.offers[e.RequestID]; call != nil {
			delete(s.offers, e.RequestID)
			s.after(s.latency(), func() { call(e) })
		}
	case OwnershipChanged:
		n.owner = e.Owner
	case Reload:
		n.reload()
		newLife := n.life
		// The loops of the old life have ended with it.
		var tick func()
		tick = func() {
			if n.life != newLife || !n.alive {
				return
			}
			if !n.paused {
				n.send(newLife, n.tick())
			}
			s.after(TickInterval, tick)
		}
		tick()
		n.readLoop(newLife, 600*time.Millisecond, n.readSubs)
		n.readLoop(newLife, 300*time.Millisecond, n.readProgress)
		return true
	}
	return false
}

// append repeats an append until it has a final answer, as the driver does.
func (n *simNode) append(life int, a Append, sent model.Time, inDoubt bool) {
	s := n.s
	s.after(s.latency()+s.storeSlow, func() {
		if n.life != life {
			return
		}
		if n.cut || s.storeDown || n.paused {
			s.after(100*time.Millisecond, func() { n.append(life, a, sent, inDoubt) })
			return
		}
		if s.storeBusy && inDoubt {
			s.after(100*time.Millisecond, func() { n.append(life, a, sent, true) })
			return
		}
		if s.storeBusy {
			n.appended(life, Appended{Seq: a.Seq, SentAt: sent, Refused: true})
			return
		}
		ok, fenced := s.store.appendProgress(a.Entries, a.Epoch, n.claimSeq+int64(a.Seq), -1)
		if ok && s.rnd.Float64() < s.lostAnswers {
			s.after(150*time.Millisecond, func() { n.append(life, a, sent, true) })
			return
		}
		n.appended(life, Appended{Seq: a.Seq, SentAt: sent, Fenced: fenced || !ok})
	})
}

// appended brings the store's answer to the instance.
func (n *simNode) appended(life int, a Appended) {
	n.s.after(n.s.latency(), func() {
		n.link.receive(a, func() { n.send(life, a) })
	})
}

// order makes one call to a worker. Its request may be lost, late, or without
// an answer. One that was sent stays under way when its sender dies.
func (n *simNode) order(life int, name model.WorkerName, call func(*simWorker) Event, none Event, _ model.Time) {
	s := n.s
	w := s.worker(name)
	timeout := 300 * time.Millisecond
	if n.away[w] || !w.up {
		s.after(timeout, func() { n.send(life, none) })
		return
	}
	if _, renew := none.(Renewed); !renew && s.rnd.Float64() < s.lateOrders {
		boot := w.boot // an order that a process received ends with it
		s.after(2*time.Second+time.Duration(s.rnd.Int64N(int64(10*time.Second))), func() {
			if w.up && w.boot == boot {
				call(w)
			}
		})
		s.after(timeout, func() { n.send(life, none) })
		return
	}
	s.after(s.latency(), func() {
		if !w.up {
			s.after(timeout, func() { n.send(life, none) })
			return
		}
		answer := call(w)
		if r, ok := answer.(Renewed); ok {
			r.SentAt, r.StatusOnly, r.Call = none.(Renewed).SentAt, none.(Renewed).StatusOnly, none.(Renewed).Call
			answer = r
			// A renewal is answered when a run ends, or after its wait. One that has a
			// cost does not wait.
			if len(r.Ended) == 0 && r.Verdict == Accepted && r.Call.Bytes == 0 {
				w.waiting = append(w.waiting, func() {
					if !w.up {
						s.after(timeout, func() { n.send(life, none) })
						return
					}
					again := w.list(r)
					again.SentAt = r.SentAt
					s.after(s.latency(), func() { n.deliver(life, w, again) })
				})
				waiting := len(w.waiting)
				s.after(700*time.Millisecond, func() { w.wake(waiting) })
				return
			}
		}
		s.after(s.latency(), func() { n.deliver(life, w, answer) })
	})
}

// deliver hands an answer over unless the path to the worker is cut.
func (n *simNode) deliver(life int, w *simWorker, e Event) {
	if n.away[w] {
		if r, ok := e.(Renewed); ok {
			e = Renewed{Worker: r.Worker, SentAt: r.SentAt, Verdict: Unknown, StatusOnly: r.StatusOnly, Call: r.Call}
		}
		n.s.after(300*time.Millisecond, func() { n.send(life, e) })
		return
	}
	n.send(life, e)
}

// offer asks the owner, if there is one, to store an entry. Whatever it does not
// confirm within a while is stored directly.
func (s *sim) offer(e Entry) {
	direct := func() {
		s.store.subs = append(s.store.subs, e)
		s.acknowledge(e)
	}
	s.tickets++
	ticket := s.tickets
	s.offers[ticket] = func(o RequestAnswered) {
		if !o.Stored {
			direct()
			return
		}
		s.acknowledge(e)
	}
	s.after(time.Second, func() {
		if s.offers[ticket] != nil {
			delete(s.offers, ticket)
			direct()
		}
	})
	for _, n := range s.nodes {
		if n.owner && n.alive {
			var offered Event
			switch kind, id := jobs.ParseKey(e.Key); kind {
			case jobs.KindJob:
				offered = SubmitRequested{RequestID: ticket, Job: s.newest[id], Value: e.Value}
			case jobs.KindCancel:
				offered = CancelRequested{RequestID: ticket, ID: id}
			}
			life := n.life
			s.after(s.latency(), func() { n.send(life, offered) })
			return
		}
	}
}

func (n *simNode) kill() {
	n.alive, n.owner = false, false
	n.life++
}

func (n *simNode) pause(d time.Duration) {
	if n.paused || !n.alive {
		return
	}
	n.paused = true
	life := n.life
	n.s.after(d, func() {
		if n.life != life || !n.alive {
			return
		}
		n.paused = false
		held := n.held
		n.held = nil
		n.send(life, held...)
	})
}

func (s *sim) worker(name model.WorkerName) *simWorker {
	for _, w := range s.workers {
		if w.name == name {
			return w
		}
	}
	panic("no worker " + name)
}
