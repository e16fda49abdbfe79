package cell

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Approximate sizes of calls and answers in bytes, with their headers and the
// frames of the network.
const (
	startBytes      = 550 // and the payload
	stopBytes       = 450
	renewBytes      = 400
	appendBytes     = 300 // and the keys and values
	answerBytes     = 250
	listedBytes     = 60  // for each run or end that the answer to a Renew lists
	connectionBytes = 250 // to open a connection
)

// simLink is what an instance's calls and their answers pass: the link of its
// VM, where bytes queue each way, and its processor, which handles one after
// the other. A call without an answer after its timeout is over for the caller;
// its bytes stay in the queue, and the worker still carries it out.
type simLink struct {
	n         *simNode
	bandwidth int64         // bytes a second each way; 0 is no limit
	handling  time.Duration // processor time for each call and each answer

	// from when each has nothing left to do
	sendFree, receiveFree, processorFree model.Time
	// closed counts the connections that a timeout has closed.
	closed map[*simWorker]int
	open   int          // calls to workers without an answer
	sent   int64        // bytes
	note   func(Effect) // sees every effect of the instance
}

func newSimLink(n *simNode, bandwidth int64, handling time.Duration) *simLink {
	return &simLink{n: n, bandwidth: bandwidth, handling: handling, closed: map[*simWorker]int{}, note: func(Effect) {}}
}

func (l *simLink) rate() int64 {
	if l == nil {
		return 0
	}
	return l.bandwidth
}

// occupy queues something that takes a while from a given time at the earliest,
// and returns when it is over.
func occupy(free *model.Time, from model.Time, d time.Duration) model.Time {
	*free = max(*free, from).Add(d)
	return *free
}

func (l *simLink) transfer(bytes int) time.Duration {
	if l.bandwidth == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.bandwidth) * float64(time.Second))
}

// send calls left when the last byte is out.
func (l *simLink) send(bytes int, left func()) {
	l.sent += int64(bytes)
	handled := occupy(&l.processorFree, l.n.s.now, l.handling)
	l.n.s.after(occupy(&l.sendFree, handled, l.transfer(bytes)).Sub(l.n.s.now), left)
}

// receive calls handled when an answer that has come to the link is handled.
func (l *simLink) receive(answer Event, handled func()) {
	if l == nil {
		handled()
		return
	}
	s, bytes := l.n.s, answerBytes
	if r, ok := answer.(Renewed); ok {
		bytes += listedBytes * (len(r.Running) + len(r.Ended))
	}
	s.after(occupy(&l.receiveFree, s.now, l.transfer(bytes)).Sub(s.now), func() {
		s.after(occupy(&l.processorFree, s.now, l.handling).Sub(s.now), handled)
	})
}

// carry performs the effects that are calls to workers and to the store. It
// returns false for others.
func (l *simLink) carry(life int, e Effect) bool {
	if l == nil {
		return false
	}
	l.note(e)
	n := l.n
	switch e := e.(type) {
	case Append:
		bytes, sent := appendBytes, n.s.now
		for _, entry := range e.Entries {
			bytes += len(entry.Key) + len(entry.Value)
		}
		l.send(bytes, func() { n.append(life, e, sent, false) })
	case Start:
		answer := StartAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: Unknown, Call: e.Call}
		l.call(life, e.Worker, startBytes+len(e.Payload), e.Timeout, answer, func(w *simWorker, reply func(Event)) {
			answer.Verdict = w.start(e)
			reply(answer)
		})
	case Stop:
		answer := StopAnswered{Worker: e.Worker, Task: e.Task, Run: e.Run, Verdict: Unknown, Call: e.Call}
		l.call(life, e.Worker, stopBytes, e.Timeout, answer, func(w *simWorker, reply func(Event)) {
			answer.Verdict = w.stop(e)
			reply(answer)
		})
	case Renew:
		none := Renewed{Worker: e.Worker, SentAt: n.s.now, Verdict: Unknown, StatusOnly: e.StatusOnly, Call: e.Call}
		l.call(life, e.Worker, renewBytes, e.Timeout, none, func(w *simWorker, reply func(Event)) {
			w.renewWithin(e, none.SentAt, reply)
		})
	default:
		return false
	}
	return true
}

// call makes one call to a worker. None is its outcome without an answer.
func (l *simLink) call(life int, to model.WorkerName, bytes int, timeout time.Duration, none Event, perform func(*simWorker, func(Event))) {
	n, s := l.n, l.n.s
	w := s.worker(to)
	if l.closed[w] > 0 {
		l.closed[w]--
		bytes += connectionBytes
	}
	l.open++
	over := false
	settle := func(e Event) {
		if !over {
			over = true
			l.open--
			n.send(life, e)
		}
	}
	s.after(timeout, func() {
		if !over {
			l.closed[w]++
		}
		settle(none)
	})
	reply := func(e Event) {
		s.after(s.latency(), func() {
			if !n.away[w] {
				l.receive(e, func() { settle(e) })
			}
		})
	}
	l.send(bytes, func() {
		s.after(s.latency(), func() {
			if w.up && !n.away[w] {
				perform(w, reply)
			}
		})
	})
}

// renewWithin answers a renewal at once if it has something to tell, else when
// a run ends or the renewal's wait is over.
func (w *simWorker) renewWithin(r Renew, sentAt model.Time, reply func(Event)) {
	answer := w.renew(r)
	answer.SentAt, answer.StatusOnly, answer.Call = sentAt, r.StatusOnly, r.Call
	if answer.Verdict != Accepted || len(answer.Ended) > 0 || r.Wait == 0 {
		reply(answer)
		return
	}
	boot, answered := w.boot, false
	wake := func() {
		if answered || !w.up || w.boot != boot {
			return
		}
		answered = true
		reply(w.list(answer))
	}
	w.waiting = append(w.waiting, wake)
	w.s.after(r.Wait, wake)
}
