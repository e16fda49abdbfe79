// Package driver runs the reducer of one instance: it feeds events in one at a
// time and carries the effects out with the adapters. It decides nothing.
package driver

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/record"
	"github.com/gentianpick/gentianpick/internal/worker"
)

const (
	// eventQueue bounds results, log reads and messages that wait for the
	// reducer. It holds one report of each of 3,900 workers.
	eventQueue = 4096
	// callQueue bounds callers' requests that wait for the reducer. They have a
	// queue of their own, so that a rush of callers holds up no heartbeat. At
	// the target of 50 µs a decision the last one waits for about 100 ms.
	callQueue = 2048
	// messageWait is how long a peer's message waits for space in the event
	// queue before it is refused. It is far below the sender's deadline of 1 s.
	messageWait = 200 * time.Millisecond
)

// Peers sends messages to other instances; *peer.Transport implements it.
type Peers interface {
	// Post queues a message and returns at once. If it returns an error, the
	// message was not sent and done is not called; else done is called once.
	Post(to model.Member, env message.Envelope, done func(error)) error
}

// Sink takes what the reducer reports about itself. It must not block.
type Sink interface {
	Count(core.Count)
	Observe(core.Observe)
	Change(core.Change)
}

// Config is what a driver needs.
type Config struct {
	Core      core.Config
	Parse     func([]byte) (*model.Text, error) // servicetext.Parse
	Platform  platform.Platform
	Worker    func(address string) worker.Worker // cheap; called for each call to a worker
	Peers     Peers
	Sink      Sink      // may be nil
	EventFile io.Writer // takes the event file; nil: no recording
}

// Driver is the event loop of one instance. Its methods are safe for
// concurrent use.
type Driver struct {
	cfg   Config
	start time.Time
	core  *core.Core // used by the goroutine of Run only
	own   []core.Event
	rec   *recorder

	events  chan core.Event
	calls   chan core.Event
	stopped chan struct{} // closed when Run returns
	exited  chan struct{} // closed by the Exit effect

	appenders map[string]chan core.Append
	controls  controls
	requests  atomic.Uint64
	answers   waiters[model.Answer]
	publishes waiters[core.PublishAnswer]
	statuses  waiters[core.StatusReport]
	ready     atomic.Pointer[core.Ready]
	text      atomic.Pointer[ActiveText]
	running   sync.WaitGroup
}

// ActiveText is a service text with its parsed form.
type ActiveText struct {
	core.ActiveText
	Parsed *model.Text
}

// New returns a driver that does not run yet. The error is a ConfigError.
func New(cfg Config) (*Driver, error) {
	switch {
	case cfg.Parse == nil:
		return nil, &ConfigError{Field: "Parse"}
	case cfg.Platform == nil:
		return nil, &ConfigError{Field: "Platform"}
	case cfg.Worker == nil:
		return nil, &ConfigError{Field: "Worker"}
	case cfg.Peers == nil:
		return nil, &ConfigError{Field: "Peers"}
	case cfg.Core.Timing.TickInterval <= 0:
		return nil, &ConfigError{Field: "Core.Timing.Tick"}
	}
	if cfg.Sink == nil {
		cfg.Sink = discard{}
	}
	d := &Driver{
		cfg:       cfg,
		start:     time.Now(),
		core:      core.New(cfg.Core, cfg.Parse),
		events:    make(chan core.Event, eventQueue),
		calls:     make(chan core.Event, callQueue),
		stopped:   make(chan struct{}),
		exited:    make(chan struct{}),
		appenders: map[string]chan core.Append{},
	}
	d.ready.Store(&core.Ready{Reason: model.CodeNotReady})
	if cfg.EventFile != nil {
		d.rec = newRecorder(cfg.EventFile, cfg.Core)
	}
	return d, nil
}

// now is the instance's monotonic clock.
func (d *Driver) now() model.Time { return model.Time(time.Since(d.start)) }

// Run feeds events to the reducer until the context ends, and then waits for
// the goroutines that it started. It continues after the Exit effect, so that
// status calls are still answered while the server shuts down.
func (d *Driver) Run(ctx context.Context) error {
	for _, stream := range []string{record.ConfigStream, record.DataCentreStream(d.cfg.Core.Self.DataCentre)} {
		d.startAppender(ctx, stream)
		d.spawn(func() { d.readLog(ctx, stream) })
	}
	d.spawn(func() { d.pollVMs(ctx) })
	d.loop(ctx)
	close(d.stopped)
	d.running.Wait()
	if d.rec != nil {
		return d.rec.close()
	}
	return nil
}

func (d *Driver) loop(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.Core.Timing.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		// An event of the driver's own is taken in turn with those of the
		// channels, so that repeated local refusals can't hold up the loop.
		if len(d.own) > 0 {
			ev := d.own[0]
			d.own = d.own[1:]
			d.step(ctx, ev)
			select {
			case ev := <-d.events:
				d.step(ctx, ev)
			case <-ticker.C:
				d.step(ctx, tick())
			default:
			}
			continue
		}
		select {
		case ev := <-d.events:
			d.step(ctx, ev)
		case ev := <-d.calls:
			d.step(ctx, ev)
		case <-ticker.C:
			d.step(ctx, tick())
		case <-ctx.Done():
		}
	}
}

func tick() core.Event { return core.Event{Tick: &core.Tick{Wall: wall()}} }

// wall returns the wall clock in a form that survives the event file.
func wall() time.Time { return time.Now().UTC().Round(0) }

func (d *Driver) step(ctx context.Context, ev core.Event) {
	var event json.RawMessage
	if d.rec != nil {
		event = d.rec.event(ev)
	}
	now := d.now()
	effects := d.core.Step(now, ev)
	if d.rec != nil {
		if err := d.rec.write(now, event, ev.Tick != nil, effects); err != nil {
			d.rec = nil
			d.cfg.Sink.Change(core.Change{What: "event recording stopped", Subject: err.Error()})
		}
	}
	for i := range effects {
		d.perform(ctx, &effects[i])
	}
	d.cfg.Sink.Observe(core.Observe{Name: "step_seconds", Seconds: d.now().Sub(now).Seconds()})
}

// spawn runs f in a goroutine that Run waits for. Only the goroutine of Run
// calls it.
func (d *Driver) spawn(f func()) { d.running.Go(f) }

// result hands the result of an effect to the reducer. It blocks while the
// event queue is full, so the goroutine of Run must not call it.
func (d *Driver) result(ev core.Event) {
	select {
	case d.events <- ev:
	case <-d.stopped:
	}
}

// HandleMessage takes a message from a peer and reports whether it entered the
// event queue.
func (d *Driver) HandleMessage(env message.Envelope) bool {
	ev := core.Event{Message: &env}
	select {
	case d.events <- ev:
		return true
	default:
	}
	wait := time.NewTimer(messageWait)
	defer wait.Stop()
	select {
	case d.events <- ev:
		return true
	case <-wait.C:
	case <-d.stopped:
	}
	return false
}

// discard is a Sink without effect.
type discard struct{}

func (discard) Count(core.Count)     {}
func (discard) Observe(core.Observe) {}
func (discard) Change(core.Change)   {}
