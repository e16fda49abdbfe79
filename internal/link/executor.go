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

// making are the calls to workers that this instance makes for the owner at the
// other end of one connection. It is safe for concurrent use.
type making struct {
	h    Handler
	conn *jsonrpc2.Conn
	age  *clockBound

	known payloads // only used by take, which the connection's reader calls

	mu      sync.Mutex
	answers []answerRow
	wake    chan struct{}
}

func newMaking(ctx context.Context, h Handler, conn *jsonrpc2.Conn, age *clockBound) *making {
	m := &making{h: h, conn: conn, age: age, wake: make(chan struct{}, 1)}
	go m.write(ctx)
	return m
}

// take begins the calls of a message. It must see the messages of a connection in
// their order. The calls end when ctx does, with the connection.
func (m *making) take(ctx context.Context, b callBatch) {
	now := m.h.Now()
	for i := range b.Calls {
		r := &b.Calls[i]
		payload, known := "", true
		if r.Kind == kindStart {
			if r.Payload != nil {
				m.known.put(r.Task.Job, *r.Payload)
			}
			payload, known = m.known.get(r.Task.Job)
		}
		// A call that waited somewhere on the way is not made: its owner has given
		// it up, and what bars it at the worker ends with the worker's life.
		if !known || m.age.of(b.SentMs, now) > r.patience() {
			m.answer(answerRow{Number: r.Number, Verdict: cell.NotSent})
			continue
		}
		go func() { m.answer(m.make(ctx, r, b.Epoch, payload)) }()
	}
}

func (m *making) make(ctx context.Context, r *callRow, epoch int64, payload string) answerRow {
	switch r.Kind {
	case kindStart:
		return answerRow{Number: r.Number, Verdict: m.h.Start(ctx, r.start(epoch, payload))}
	case kindStop:
		return answerRow{Number: r.Number, Verdict: m.h.Stop(ctx, r.stop(epoch))}
	case kindRenew:
		renewed := m.h.Renew(ctx, r.renew(epoch))
		return renewedRow(r.Number, &renewed)
	}
	return answerRow{Number: r.Number, Verdict: cell.Malformed}
}

func (m *making) answer(a answerRow) {
	m.mu.Lock()
	m.answers = append(m.answers, a)
	m.mu.Unlock()
	wakeUp(m.wake)
}

// write sends answers until the connection is closed.
func (m *making) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		time.Sleep(batchPause)
		m.mu.Lock()
		b := answerBatch{Answers: m.answers}
		m.answers = nil
		m.mu.Unlock()
		if len(b.Answers) == 0 {
			continue
		}
		if err := m.conn.Notify(ctx, methodAnswers, b); err != nil {
			_ = m.conn.Close()
			return
		}
	}
}

// boundWindow is how long a reading of the other end's clock counts. The clocks
// may drift apart by a few percent.
const boundWindow = 2 * time.Second

// clockBound bounds the age of messages by readings of the sender's clock, each of
// which was taken after this end had asked for it. It is safe for concurrent use.
type clockBound struct {
	mu sync.Mutex
	// earliest is the largest known difference of which the true one between the
	// two clocks is at least as large, in this window and the one before.
	earliest, previous time.Duration
	any, anyPrevious   bool
	since              model.Time // begin of this window
}

// note takes a reading that the other end took after askedAt.
func (c *clockBound) note(readMs int64, askedAt model.Time) {
	d := askedAt.Sub(model.Time(readMs) * model.Time(time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	if askedAt.Sub(c.since) > boundWindow {
		c.previous, c.anyPrevious = c.earliest, c.any
		c.any, c.since = false, askedAt
	}
	if !c.any || d > c.earliest {
		c.earliest, c.any = d, true
	}
}

// of returns the longest time that may have passed since the other end's clock
// read sentMs.
func (c *clockBound) of(sentMs int64, now model.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.any && !c.anyPrevious {
		return math.MaxInt64
	}
	d := c.earliest
	if c.anyPrevious && (!c.any || c.previous > d) {
		d = c.previous
	}
	return now.Sub(model.Time(sentMs)*model.Time(time.Millisecond)) - d
}
