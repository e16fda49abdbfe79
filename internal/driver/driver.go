// Package driver runs the reducer of one instance: it passes events to the reducer
// one at a time and performs the resulting effects through the adapters. It makes
// no scheduling decisions.
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
	// eventQueueSize bounds the results, log reads and messages that wait for the
	// reducer. It has capacity for one report from each of 3,900 workers.
	eventQueueSize = 4096
	// callQueueSize bounds the callers' requests that wait for the reducer. They have
	// their own queue, so that a burst of calls does not delay heartbeats. At the
	// target of 50 µs per decision the last one waits for about 100 ms.
	callQueueSize = 2048
	// messageQueueTimeout is how long a peer's message waits for space in the
	// event queue before it is rejected. It is far below the sender's deadline of
	// 1 s.
	messageQueueTimeout = 200 * time.Millisecond
)

// Peers sends messages to other instances; *peer.Transport implements it.
type Peers interface {
	// Post queues a message and returns immediately. If it returns an error, the
	// message was not sent and done is not called; otherwise done is called once.
	Post(to model.Member, env message.Envelope, done func(error)) error
}

// Sink receives the reducer's metrics and state changes. Its methods must not block.
type Sink interface {
	Count(core.Count)
	Observe(core.Observe)
	Change(core.Change)
}

// Config holds the dependencies and options of a driver.
type Config struct {
	Core      core.Config
	Parse     func([]byte) (*model.Text, error) // servicetext.Parse
	Platform  platform.Platform
	Worker    func(address string) worker.Worker // cheap; called for each call to a worker
	Peers     Peers
	Sink      Sink      // may be nil
	EventFile io.Writer // receives the event file; nil: no recording
}

// Driver is the event loop of one instance. Its methods are safe for
// concurrent use.
type Driver struct {
	cfg         Config
	start       time.Time
	core        *core.Core   // used by the goroutine of Run only
	localEvents []core.Event // results of effects that were never sent; Run's goroutine only
	rec         *recorder

	events  chan core.Event
	calls   chan core.Event
	stopped chan struct{} // closed when Run returns
	exited  chan struct{} // closed by the Exit effect

	appenders   map[string]chan core.Append
	controls    controls
	lastRequest atomic.Uint64
	answers     waiters[model.Answer]
	publishes   waiters[core.PublishAnswer]
	statuses    waiters[core.StatusReport]
	ready       atomic.Pointer[core.Ready]
	text        atomic.Pointer[ActiveText]
	goroutines  sync.WaitGroup
}

// ActiveText is the current service text with its parsed form.
type ActiveText struct {
	core.ActiveText
	Parsed *model.Text
}

// New returns a driver; Run starts it. The error is a ConfigError.
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
		cfg.Sink = discardSink{}
	}
	d := &Driver{
		cfg:       cfg,
		start:     time.Now(),
		core:      core.New(cfg.Core, cfg.Parse),
		events:    make(chan core.Event, eventQueueSize),
		calls:     make(chan core.Event, callQueueSize),
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

// now returns the instance's monotonic time.
func (d *Driver) now() model.Time { return model.Time(time.Since(d.start)) }

// Run passes events to the reducer until the context ends, and then waits for the
// goroutines that it started. It continues after the Exit effect, so that status
// calls are still answered while the server shuts down. The error is an
// EventFileError.
func (d *Driver) Run(ctx context.Context) error {
	for _, stream := range []string{record.ConfigStream, record.DataCentreStream(d.cfg.Core.Self.DataCentre)} {
		d.startAppender(ctx, stream)
		d.spawn(func() { d.readLog(ctx, stream) })
	}
	d.spawn(func() { d.pollVMs(ctx) })
	d.loop(ctx)
	close(d.stopped)
	d.goroutines.Wait()
	if d.rec != nil {
		return d.rec.close()
	}
	return nil
}

func (d *Driver) loop(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.Core.Timing.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		// Local events alternate with those of the channels, so that effects that
		// fail locally again and again can't starve the loop.
		if len(d.localEvents) > 0 {
			ev := d.localEvents[0]
			d.localEvents = d.localEvents[1:]
			d.step(ctx, ev)
			select {
			case ev := <-d.events:
				d.step(ctx, ev)
			case <-ticker.C:
				d.step(ctx, tickEvent())
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
			d.step(ctx, tickEvent())
		case <-ctx.Done():
		}
	}
}

func tickEvent() core.Event { return core.Event{Tick: &core.Tick{Wall: wallClock()}} }

// wallClock returns the wall-clock time in a form that the event file preserves.
func wallClock() time.Time { return time.Now().UTC().Round(0) }

func (d *Driver) step(ctx context.Context, ev core.Event) {
	var event json.RawMessage
	if d.rec != nil {
		event = d.rec.encodeEvent(ev)
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

// spawn runs f in a goroutine that Run waits for. It must be called only from the
// goroutine of Run.
func (d *Driver) spawn(f func()) { d.goroutines.Go(f) }

// enqueue adds an event to the event queue. It blocks while the queue is full, so
// the goroutine of Run must not call it.
func (d *Driver) enqueue(ev core.Event) {
	select {
	case d.events <- ev:
	case <-d.stopped:
	}
}

// HandleMessage queues a message from a peer for the reducer and reports whether
// it entered the event queue.
func (d *Driver) HandleMessage(env message.Envelope) bool {
	ev := core.Event{Message: &env}
	select {
	case d.events <- ev:
		return true
	default:
	}
	wait := time.NewTimer(messageQueueTimeout)
	defer wait.Stop()
	select {
	case d.events <- ev:
		return true
	case <-wait.C:
	case <-d.stopped:
	}
	return false
}

// discardSink is a Sink that drops everything.
type discardSink struct{}

func (discardSink) Count(core.Count)     {}
func (discardSink) Observe(core.Observe) {}
func (discardSink) Change(core.Change)   {}
