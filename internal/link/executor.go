package link

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/model"
)

// callExecutor executes calls to workers for the owner at the other end of one
// connection, and sends the replies. It is safe for concurrent use.
type callExecutor struct {
	h    Handler
	conn *jsonrpc2.Conn
	age  *ageBound

	payloads payloadCache // only used by executeBatch, on the connection's read goroutine

	mu      sync.Mutex
	replies []callReply
	wake    chan struct{}
}

func newCallExecutor(ctx context.Context, h Handler, conn *jsonrpc2.Conn, age *ageBound) *callExecutor {
	e := &callExecutor{h: h, conn: conn, age: age, wake: make(chan struct{}, 1)}
	go e.writeLoop(ctx)
	return e
}

// executeBatch starts the calls of a batch in the background. The batches of a
// connection must be passed in the order of their arrival, since payloads are cached.
// The calls are cancelled with ctx, when the connection is lost.
func (e *callExecutor) executeBatch(ctx context.Context, b callBatch) {
	now := e.h.Now()
	for i := range b.Calls {
		r := &b.Calls[i]
		payload, known := "", true
		if r.Kind == kindStart {
			if r.Payload != nil {
				e.payloads.put(r.Task.Job, *r.Payload)
			}
			payload, known = e.payloads.get(r.Task.Job)
		}
		// A call that was delayed on the way is not executed: the owner has timed out
		// by now and may have barred the run at the worker, but a worker that has
		// restarted since no longer knows that.
		if !known || e.age.maxAge(b.SentMs, now) > r.deliveryTimeout() {
			e.queueReply(callReply{ID: r.ID, Verdict: cell.NotSent})
			continue
		}
		go func() { e.queueReply(e.execute(ctx, r, b.Epoch, payload)) }()
	}
}

func (e *callExecutor) execute(ctx context.Context, r *callRequest, epoch int64, payload string) callReply {
	switch r.Kind {
	case kindStart:
		return callReply{ID: r.ID, Verdict: e.h.Start(ctx, r.start(epoch, payload))}
	case kindStop:
		return callReply{ID: r.ID, Verdict: e.h.Stop(ctx, r.stop(epoch))}
	case kindRenew:
		renewed := e.h.Renew(ctx, r.renew(epoch))
		return newRenewReply(r.ID, &renewed)
	}
	return callReply{ID: r.ID, Verdict: cell.Malformed}
}

func (e *callExecutor) queueReply(r callReply) {
	e.mu.Lock()
	e.replies = append(e.replies, r)
	e.mu.Unlock()
	signal(e.wake)
}

// writeLoop sends replies in batches until the connection is closed.
func (e *callExecutor) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		time.Sleep(batchDelay)
		e.mu.Lock()
		b := replyBatch{Replies: e.replies}
		e.replies = nil
		e.mu.Unlock()
		if len(b.Replies) == 0 {
			continue
		}
		if err := e.conn.Notify(ctx, methodReplies, b); err != nil {
			_ = e.conn.Close()
			return
		}
	}
}

// offsetWindow is the length of a window of clock readings. Readings older than the
// previous window are dropped, since the clocks may drift apart by a few percent.
const offsetWindow = 2 * time.Second

// ageBound computes upper bounds on the age of messages from readings of the sender's
// clock. Each reading was taken after this end had requested it. It is safe for
// concurrent use.
type ageBound struct {
	mu sync.Mutex
	// minOffset and previousMinOffset are the highest known lower bounds of this end's
	// clock minus the sender's, in the current window and in the previous one.
	minOffset, previousMinOffset time.Duration
	known, previousKnown         bool
	windowStart                  model.Time // start of the current window
}

// addReading adds a reading that the sender took after askedAt, a time of this end's
// clock.
func (a *ageBound) addReading(readMs int64, askedAt model.Time) {
	d := askedAt.Sub(model.Time(readMs) * model.Time(time.Millisecond))
	a.mu.Lock()
	defer a.mu.Unlock()
	if askedAt.Sub(a.windowStart) > offsetWindow {
		a.previousMinOffset, a.previousKnown = a.minOffset, a.known
		a.known, a.windowStart = false, askedAt
	}
	if !a.known || d > a.minOffset {
		a.minOffset, a.known = d, true
	}
}

// maxAge returns an upper bound of the time since the sender's clock showed sentMs. It
// is unbounded without a reading.
func (a *ageBound) maxAge(sentMs int64, now model.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known && !a.previousKnown {
		return math.MaxInt64
	}
	d := a.minOffset
	if a.previousKnown && (!a.known || a.previousMinOffset > d) {
		d = a.previousMinOffset
	}
	return now.Sub(model.Time(sentMs)*model.Time(time.Millisecond)) - d
}
