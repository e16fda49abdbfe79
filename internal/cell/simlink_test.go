package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Approximate sizes of calls and answers in bytes, with their headers and the
// frames of the network.
const (
	startBytes      = 550 // plus the payload
	stopBytes       = 450
	renewBytes      = 400
	appendBytes     = 300 // plus the keys and values
	answerBytes     = 250
	listedBytes     = 60  // for each run or end in the answer to a Renew
	connectionBytes = 250 // for a new connection
)

// simLink is what the calls of an instance and their answers pass through: the link of
// its VM, where bytes queue in each direction, and its processor, which handles one
// message at a time. After its timeout a call is over for the caller, but its bytes
// stay in the queue and the worker still carries it out.
type simLink struct {
	n            *simNode
	bandwidth    int64         // bytes a second in each direction; 0 is no limit
	handlingTime time.Duration // processor time for each call and each answer

	// when each becomes idle
	sendIdleAt, receiveIdleAt, processorIdleAt model.Time
	// closedConnections counts the connections to each worker that a timeout has
	// closed.
	closedConnections map[*simWorker]int
	inFlight          int // calls to workers in flight
	sentBytes         int64
	onEffect          func(Effect) // called with every effect of the instance
}

func newSimLink(n *simNode, bandwidth int64, handling time.Duration) *simLink {
	return &simLink{n: n, bandwidth: bandwidth, handlingTime: handling, closedConnections: map[*simWorker]int{}, onEffect: func(Effect) {}}
}

func (l *simLink) bandwidthOrZero() int64 {
	if l == nil {
		return 0
	}
	return l.bandwidth
}

// occupy adds work of duration d to a queue, which begins at from at the earliest, and
// returns when it ends.
func occupy(idleAt *model.Time, from model.Time, d time.Duration) model.Time {
	*idleAt = max(*idleAt, from).Add(d)
	return *idleAt
}

func (l *simLink) transferTime(bytes int) time.Duration {
	if l.bandwidth == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.bandwidth) * float64(time.Second))
}

// send calls left when the last byte has been sent.
func (l *simLink) send(bytes int, onSent func()) {
	l.sentBytes += int64(bytes)
	handled := occupy(&l.processorIdleAt, l.n.s.now, l.handlingTime)
	l.n.s.after(occupy(&l.sendIdleAt, handled, l.transferTime(bytes)).Sub(l.n.s.now), onSent)
}

// receive calls handled when an answer that arrives at the link has been handled.
func (l *simLink) receive(answer Event, onHandled func()) {
	if l == nil {
		onHandled()
		return
	}
	s, bytes := l.n.s, answerBytes
	if r, ok := answer.(Renewed); ok {
		bytes += listedBytes * (len(r.Running) + len(r.Ended.Entries()))
	}
	s.after(occupy(&l.receiveIdleAt, s.now, l.transferTime(bytes)).Sub(s.now), func() {
		s.after(occupy(&l.processorIdleAt, s.now, l.handlingTime).Sub(s.now), onHandled)
	})
}

// perform carries out calls to workers and to the store. It returns false for other
// effects.
func (l *simLink) perform(incarnation int, e Effect) bool {
	if l == nil {
		return false
	}
	l.onEffect(e)
	n := l.n
	switch e := e.(type) {
	case Append:
		bytes, sent := appendBytes, n.s.now
		for _, entry := range e.Entries {
			bytes += len(entry.Key) + len(entry.Value)
		}
		l.send(bytes, func() { n.append(incarnation, e, sent, false) })
	case Start:
		answer := StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: Unknown, Call: e.Call}
		l.call(incarnation, e.Worker, startBytes+len(e.Payload), e.Timeout, answer, func(w *simWorker, reply func(Event)) {
			answer.Verdict = w.start(e)
			reply(answer)
		})
	case Stop:
		answer := StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: Unknown, Call: e.Call}
		l.call(incarnation, e.Worker, stopBytes, e.Timeout, answer, func(w *simWorker, reply func(Event)) {
			answer.Verdict = w.stop(e)
			reply(answer)
		})
	case Renew:
		none := Renewed{Worker: e.Worker, SentAt: n.s.now, Verdict: Unknown, StatusOnly: e.StatusOnly, Call: e.Call}
		l.call(incarnation, e.Worker, renewBytes, e.Timeout, none, func(w *simWorker, reply func(Event)) {
			w.renewWithin(e, none.SentAt, reply)
		})
	default:
		return false
	}
	return true
}

// call makes one call to a worker. None is the event of a call without an answer.
func (l *simLink) call(incarnation int, to model.WorkerName, bytes int, timeout time.Duration, unanswered Event, perform func(*simWorker, func(Event))) {
	n, s := l.n, l.n.s
	w := s.worker(to)
	if l.closedConnections[w] > 0 {
		l.closedConnections[w]--
		bytes += connectionBytes
	}
	l.inFlight++
	finished := false
	finish := func(e Event) {
		if !finished {
			finished = true
			l.inFlight--
			n.send(incarnation, e)
		}
	}
	s.after(timeout, func() {
		if !finished {
			l.closedConnections[w]++
		}
		finish(unanswered)
	})
	reply := func(e Event) {
		s.after(s.latency(), func() {
			if !n.unreachable[w] {
				l.receive(e, func() { finish(e) })
			}
		})
	}
	l.send(bytes, func() {
		s.after(s.latency(), func() {
			if w.up && !n.unreachable[w] {
				perform(w, reply)
			}
		})
	})
}

// renewWithin answers a renewal at once if there are ends to report, otherwise when a
// run ends or the renewal's wait is over.
func (w *simWorker) renewWithin(r Renew, sentAt model.Time, reply func(Event)) {
	answer := w.renew(r)
	answer.SentAt, answer.StatusOnly, answer.Call = sentAt, r.StatusOnly, r.Call
	if answer.Verdict != Accepted || len(answer.Ended.Entries()) > 0 || r.Wait == 0 {
		reply(answer)
		return
	}
	boot, answered := w.boot, false
	wake := func() {
		if answered || !w.up || w.boot != boot {
			return
		}
		answered = true
		reply(w.report(answer))
	}
	w.waitingRenewals = append(w.waitingRenewals, wake)
	w.s.after(r.Wait, wake)
}
