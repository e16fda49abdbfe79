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
	cfg     Config
	parse   func([]byte) (*model.Text, error)
	rng     *rand.Rand
	now     model.Time
	wall    time.Time
	effects []Effect
	seq     uint64 // sequence of the ids that this instance creates

	lease             *ownership.State
	view              *membership.View
	pub               *publication.State
	text              *model.Text // parsed service text in force; nil before the first
	parsedTextVersion uint64

	calls               map[model.RequestID]*call  // requests of callers that wait at this instance
	undeliveredForwards map[string]model.RequestID // forwards whose delivery is not known, by message id
	callTimers          timerQueue[model.RequestID]
	publishes           map[string]*pendingPublish // publish requests that wait at this instance, by publish id

	// State folded from the data centre's log stream. It is the same on every instance.
	keys          *keys.Table
	jobs          map[model.JobID]*job
	lastBatch     map[model.Incarnation]uint64 // sequence number of the last folded batch of each writer
	workerBoots   map[model.WorkerName]string  // boot ids of the workers that have reported to an owner
	keysLostUntil time.Time                    // wall clock; until then an unknown key may have run
	heldIntents   map[model.TaskID]record.Intent
	logStream     streamState
	configStream  streamState

	commit commitQueue
	owner  *ownerState // nil unless this instance is the owner

	nextHeartbeat       model.Time
	nextRemoteHeartbeat model.Time
	nextExpire          model.Time
	nextSnapshot        model.Time
	nextTextRequest     model.Time
	carryJitter         float64 // spreads the rewrites of the text by several owners over time
	draining            bool
	drainStart          model.Time
	releasing           bool
	exited              bool
	ready               bool
	readyReason         model.Code
	started             bool
	lastTick            model.Time
	vmListStale         bool   // the VM list is too old to place tasks by
	vmsListed           bool   // the VM list has been read at least once
	consultEpoch        uint64 // highest epoch whose HeldRequest this instance answered
	leaseDirty          bool   // inputs of the ownership protocol have changed
	attemptSeq          int    // sequence of the task attempts of this instance
	needsScheduling     bool   // a scheduling pass may place a task

	budgets map[string]*retry.Budget
	health  *health.Tracker
}

// streamState is the read position of a log stream.
type streamState struct {
	started       bool
	next          uint64
	complete      bool           // the state folded from the stream has no gap
	readOK        bool           // the last read succeeded
	failingSince  model.Time     // when reads began to fail; valid only if !readOK
	caughtUp      bool           // the tail has been reached at least once
	gaplessSince  model.Time     // time of the first read since the last gap
	gaplessFrom   uint64         // first offset read since the last gap
	snapshotParts map[uint64]int // consecutive snapshot parts read, by the offset of the snapshot
}

// New returns the state of an instance that has just started. Parse checks a service
// text; it must be a pure function.
func New(cfg Config, parse func([]byte) (*model.Text, error)) *Core {
	self := cfg.Self
	c := &Core{
		cfg:   cfg,
		parse: parse,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		lease: ownership.New(ownership.Config{
			Self: self, LeaseDuration: cfg.Timing.LeaseDuration, ClockDriftMargin: cfg.Timing.ClockDriftMargin,
			SuspectTimeout: cfg.Timing.SuspectTimeout, ConsentTimeout: cfg.Timing.ConsentTimeout,
		}),
		view: membership.New(membership.Config{
			Self: self, Suspect: cfg.Timing.SuspectTimeout, FarPeers: cfg.Limits.RemotePeers, Seeds: cfg.SeedPeers,
			FarBeat: cfg.Timing.RemoteHeartbeatInterval,
		}),
		pub:                 publication.New(),
		calls:               make(map[model.RequestID]*call),
		undeliveredForwards: make(map[string]model.RequestID),
		publishes:           make(map[string]*pendingPublish),
		keys:                keys.New(),
		jobs:                make(map[model.JobID]*job),
		lastBatch:           make(map[model.Incarnation]uint64),
		workerBoots:         make(map[model.WorkerName]string),
		heldIntents:         make(map[model.TaskID]record.Intent),
		budgets:             make(map[string]*retry.Budget),
		health:              health.New(health.DefaultConfig()),
	}
	c.readyReason = model.CodeNotReady
	c.carryJitter = c.rng.Float64()
	return c
}

// Step applies one event at time now of the instance's monotonic clock. The returned
// effects must be carried out in order.
func (c *Core) Step(now model.Time, ev Event) []Effect {
	c.now = now
	c.effects = nil
	switch {
	case ev.Tick != nil:
		c.onTick(ev.Tick)
	case ev.Call != nil:
		c.onCall(ev.Call)
	case ev.CallerGone != nil:
		c.onCallerGone(ev.CallerGone)
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
	if c.needsScheduling && c.acting() && !c.vmListStale {
		c.schedule()
	}
	c.flushCommits()
	return c.effects
}

// onTick does the work that depends only on time.
func (c *Core) onTick(t *Tick) {
	c.wall = t.Wall
	if c.started && c.now.Sub(c.lastTick) > c.cfg.Timing.LeaseDuration {
		// The process was paused, and the VM list is as old as the pause. Nothing is
		// placed until the next list arrives, since listed workers may be leaving by
		// now.
		c.vmListStale = true
	}
	c.started, c.lastTick = true, c.now
	c.sendHeartbeats()
	c.tickCalls()
	c.tickPublishes()
	if c.owner != nil {
		c.tickOwner()
	}
	c.retryAppend()
	if c.now >= c.nextExpire {
		c.expire()
		c.nextExpire = c.now.Add(expireInterval)
	}
	c.updateReady()
	c.tickDrain()
}

// expireInterval is how often keys with an outcome and ended jobs are checked for
// expiry. It limits the cost of iterating over all of them.
const expireInterval = 30 * time.Second

// expire removes keys and ended jobs that are older than their retention, and held
// intents whose outcome is known.
func (c *Core) expire() {
	c.count("keys_expired", "", c.keys.Expire(c.now, c.cfg.Timing.KeyRetention))
	for id, j := range c.jobs {
		if j.answer == nil {
			continue
		}
		life := c.cfg.Timing.KeyRetention
		if !j.durable {
			life = answerRetention
		}
		if c.now.Sub(j.endedAt) > life && len(j.waiters) == 0 && j.active == 0 {
			delete(c.jobs, id)
		}
	}
	for id, in := range c.heldIntents {
		if e := c.keys.Get(in.Job); e != nil && !e.InDoubt() {
			delete(c.heldIntents, id)
		}
	}
}

// answerRetention is how long the answer of a non-durable request is kept. A forward is
// repeated when its reply was lost, and the repeated forward then gets that answer.
const answerRetention = 30 * time.Second

// acting reports whether this instance may place tasks and call workers.
func (c *Core) acting() bool { return c.owner != nil && c.lease.MayAct(c.now) }

// emit appends an effect to the result of the current step.
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

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

// change emits a state change for the log.
func (c *Core) change(what, subj, from, to string) {
	c.emit(Effect{Change: &Change{What: what, Subject: subj, From: from, To: to}})
}

// nextID returns an id that is unique across instances.
func (c *Core) nextID() string {
	c.seq++
	return fmt.Sprintf("%s-%d", c.cfg.Self.Incarnation, c.seq)
}

// jitter returns d scaled by a random factor between lo and hi.
func (c *Core) jitter(d time.Duration, lo, hi float64) time.Duration {
	return time.Duration(float64(d) * (lo + (hi-lo)*c.rng.Float64()))
}

// updateReady emits the readiness of the instance if it has changed.
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
