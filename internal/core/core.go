package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gentianpick/gentianpick/internal/health"
	"github.com/gentianpick/gentianpick/internal/keys"
	"github.com/gentianpick/gentianpick/internal/membership"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/ownership"
	"github.com/gentianpick/gentianpick/internal/publication"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/retry"
)

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	parse func([]byte) (*model.Text, error)
	rng   *rand.Rand
	now   model.Time
	wall  time.Time
	out   []Effect
	seq   uint64 // for ids that this instance makes

	lease *ownership.State
	view  *membership.View
	pub   *publication.State
	text  *model.Text // parsed text in force; nil before the first
	textV uint64

	calls      map[model.RequestID]*call  // callers that wait at this instance
	forwards   map[string]model.RequestID // by message id: forwards whose delivery is not known
	callTimers timers[model.RequestID]
	publishes  map[string]*publishing // publishers that wait at this instance, by publish id

	// Folded from the data centre's log stream, the same on every instance.
	keys      *keys.Table
	jobs      map[model.JobID]*job
	batches   map[model.Incarnation]uint64 // highest folded batch of each writer
	boots     map[model.WorkerName]string  // of the workers that reported to an owner
	lostUntil time.Time                    // wall clock; until then keys that are not known may have run
	held      map[model.TaskID]record.Intent
	stream    streamState
	config    streamState

	commit commitQueue
	own    *owner // state of an owner; nil otherwise

	nextBeat     model.Time
	nextFarBeat  model.Time
	nextExpire   model.Time
	nextSnapshot model.Time
	nextTextAsk  model.Time
	carryJitter  float64 // spreads the carries of several owners
	draining     bool
	drainSince   model.Time
	releasing    bool
	exited       bool
	ready        bool
	readyReason  model.Code
	started      bool
	lastTick     model.Time
	awaitList    bool   // the VM list is too old to place by
	vmsListed    bool   // the VM list was read at least once
	consultedBy  uint64 // highest epoch whose consult this instance answered
	leaseDirty   bool   // something that the lease depends on has changed
	attempts     int    // numbers the starts of this instance
	dirty        bool   // a scheduling pass may place something

	budgets map[string]*retry.Budget
	health  *health.Tracker
}

// streamState is how far a log stream has been read.
type streamState struct {
	started  bool
	next     uint64
	complete bool           // the state folded from the stream has no gap
	ok       bool           // the last read succeeded
	failedAt model.Time     // since when reads fail; meaningful if !ok
	caughtUp bool           // the tail was reached at least once
	fromAt   model.Time     // when that read was
	from     uint64         // first offset that was read since the last gap
	parts    map[uint64]int // by a snapshot's offset: parts read in a row
}

// New returns the state of an instance that has just started. Parse checks a
// service text; it must be a pure function.
func New(cfg Config, parse func([]byte) (*model.Text, error)) *Core {
	self := cfg.Self
	c := &Core{
		cfg:   cfg,
		parse: parse,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		lease: ownership.New(ownership.Config{
			Self: self, LeaseDuration: cfg.Timing.Lease, ClockDriftMargin: cfg.Timing.Margin,
			SuspectTimeout: cfg.Timing.Suspect, ConsentTimeout: cfg.Timing.ConsentAfter,
		}),
		view: membership.New(membership.Config{
			Self: self, Suspect: cfg.Timing.Suspect, FarPeers: cfg.Limits.FarPeers, Seeds: cfg.Seeds,
			FarBeat: cfg.Timing.FarHeartbeat,
		}),
		pub:       publication.New(),
		calls:     make(map[model.RequestID]*call),
		forwards:  make(map[string]model.RequestID),
		publishes: make(map[string]*publishing),
		keys:      keys.New(),
		jobs:      make(map[model.JobID]*job),
		batches:   make(map[model.Incarnation]uint64),
		boots:     make(map[model.WorkerName]string),
		held:      make(map[model.TaskID]record.Intent),
		budgets:   make(map[string]*retry.Budget),
		health:    health.New(health.DefaultConfig()),
	}
	c.readyReason = model.CodeNotReady
	c.carryJitter = c.rng.Float64()
	return c
}

// Step applies one event at the given time of the instance's monotonic clock
// and returns the effects in the order in which they must be carried out.
func (c *Core) Step(now model.Time, ev Event) []Effect {
	c.now = now
	c.out = nil
	switch {
	case ev.Tick != nil:
		c.onTick(ev.Tick)
	case ev.Call != nil:
		c.onCall(ev.Call)
	case ev.Gone != nil:
		c.onGone(ev.Gone)
	case ev.Publish != nil:
		c.onPublish(ev.Publish)
	case ev.Message != nil:
		c.onMessage(ev.Message)
	case ev.Sent != nil:
		c.onSent(ev.Sent)
	case ev.LogRead != nil:
		c.onLogRead(ev.LogRead)
	case ev.Appended != nil:
		c.onAppended(ev.Appended)
	case ev.VMList != nil:
		c.onVMList(ev.VMList)
	case ev.Watched != nil:
		c.onWatched(ev.Watched)
	case ev.Started != nil:
		c.onStarted(ev.Started)
	case ev.Queried != nil:
		c.onQueried(ev.Queried)
	case ev.Controlled != nil:
		c.onControlled(ev.Controlled)
	case ev.Status != nil:
		c.onStatus(ev.Status)
	case ev.Drain != nil:
		c.onDrain()
	}
	if c.leaseDirty || ev.Tick != nil {
		c.leaseDirty = false
		c.stepLease()
	}
	if c.dirty && c.acting() && !c.awaitList {
		c.schedule()
	}
	c.flushCommits()
	return c.out
}

// onTick does what depends only on time.
func (c *Core) onTick(t *Tick) {
	c.wall = t.Wall
	if c.started && c.now.Sub(c.lastTick) > c.cfg.Timing.Lease {
		// After a pause of the process the VM list is as old as the pause; until
		// the next one, nothing is placed on workers that may be leaving.
		c.awaitList = true
	}
	c.started, c.lastTick = true, c.now
	c.heartbeats()
	c.tickCalls()
	c.tickPublishes()
	if c.own != nil {
		c.tickOwner()
	}
	c.tickCommits()
	if c.now >= c.nextExpire {
		c.expire()
		c.nextExpire = c.now.Add(expireInterval)
	}
	c.updateReady()
	c.tickDrain()
}

// expireInterval is how often settled keys and finished jobs are looked over.
// It bounds the cost of the pass over all of them.
const expireInterval = 30 * time.Second

// expire forgets keys and finished jobs that are older than the key life.
func (c *Core) expire() {
	c.count("keys_expired", "", c.keys.Expire(c.now, c.cfg.Timing.KeyLife))
	for id, j := range c.jobs {
		if j.answer == nil {
			continue
		}
		life := c.cfg.Timing.KeyLife
		if !j.durable {
			life = answerLife
		}
		if c.now.Sub(j.endedAt) > life && len(j.waiters) == 0 && j.active == 0 {
			delete(c.jobs, id)
		}
	}
	for id, in := range c.held {
		if e := c.keys.Get(in.Job); e != nil && !e.InDoubt() {
			delete(c.held, id)
		}
	}
}

// answerLife is how long the answer of a request that is not durable is kept
// for a repeated forward whose reply was lost.
const answerLife = 30 * time.Second

// acting reports whether this instance may place tasks and call workers.
func (c *Core) acting() bool { return c.own != nil && c.lease.MayAct(c.now) }

// emit adds an effect.
func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// count adds to a counter.
func (c *Core) count(name, label string, n int) {
	if n != 0 {
		c.emit(Effect{Count: &Count{Name: name, Label: label, N: n}})
	}
}

// observe adds a duration to a histogram.
func (c *Core) observe(name, label string, d time.Duration) {
	c.emit(Effect{Observe: &Observe{Name: name, Label: label, Seconds: d.Seconds()}})
}

// change reports a change of state.
func (c *Core) change(what, subj, from, to string) {
	c.emit(Effect{Change: &Change{What: what, Subj: subj, From: from, To: to}})
}

// nextID returns an id that no other instance makes.
func (c *Core) nextID() string {
	c.seq++
	return fmt.Sprintf("%s-%d", c.cfg.Self.Incarnation, c.seq)
}

// jitter returns d scaled by a random factor between lo and hi.
func (c *Core) jitter(d time.Duration, lo, hi float64) time.Duration {
	return time.Duration(float64(d) * (lo + (hi-lo)*c.rng.Float64()))
}

// updateReady reports a change of readiness.
func (c *Core) updateReady() {
	ready, reason := true, model.CodeNone
	switch {
	case c.draining:
		ready, reason = false, model.CodeDraining
	case c.text == nil:
		ready, reason = false, model.CodeNotReady
	}
	if ready == c.ready && reason == c.readyReason {
		return
	}
	c.ready, c.readyReason = ready, reason
	c.emit(Effect{Ready: &Ready{Ready: ready, Reason: reason}})
	c.change("readiness", c.cfg.Self.Name, "", string(reason))
}
