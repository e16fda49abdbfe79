package publication

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

func publish(id string, base uint64) record.Publish {
	return record.Publish{ID: id, Base: base, Text: fmt.Appendf(nil, "%s on %d", id, base)}
}

func carry(id string, version, asOf uint64) record.Carry {
	text := publish(id, version-1).Text
	return record.Carry{Version: version, Hash: xxhash.Sum64(text), Text: text, ID: id, AsOf: asOf}
}

func reply(id string, version, asOf uint64) message.TextReply {
	c := carry(id, version, asOf)
	return message.TextReply{Version: c.Version, Hash: c.Hash, ID: c.ID, Text: c.Text, AsOf: c.AsOf}
}

// call is one call on a state. Exactly one of its fields but at is set.
type call struct {
	at      uint64
	start   bool
	publish *record.Publish
	carry   *record.Carry
	adopt   *message.TextReply
}

func (c call) do(s *State) Result {
	switch {
	case c.publish != nil:
		return s.FoldPublish(c.at, *c.publish)
	case c.carry != nil:
		return s.FoldCarry(c.at, *c.carry)
	case c.adopt != nil:
		return s.Adopt(*c.adopt)
	}
	return s.StartReadingAt(c.at)
}

func from(at uint64) call { return call{at: at, start: true} }
func pub(at uint64, id string, base uint64) call {
	p := publish(id, base)
	return call{at: at, publish: &p}
}
func car(at uint64, id string, version, asOf uint64) call {
	c := carry(id, version, asOf)
	return call{at: at, carry: &c}
}
func adopt(id string, version, asOf uint64) call {
	r := reply(id, version, asOf)
	return call{adopt: &r}
}

// Guards against a publish that is folded twice, lost, adopted on a wrong
// base, or reported to its publisher as something else than it was.
func TestFold(t *testing.T) {
	settled := func(d ...Decision) []Decision { return d }
	for _, tc := range []struct {
		name    string
		calls   []call
		last    Decision
		version uint64
		asOf    uint64
		changed bool
		settled []Decision
	}{
		{"first publish", []call{from(0), pub(0, "a", 0)}, Decision{"a", Adopted, 1}, 1, 0, true, nil},
		{"two publishes in one batch", []call{from(0), pub(3, "a", 0), pub(3, "b", 1)}, Decision{"b", Adopted, 2}, 2, 3, true, nil},
		{"lost race", []call{from(0), pub(0, "a", 0), pub(1, "b", 0)}, Decision{"b", Conflict, 0}, 1, 1, false, nil},
		{"base not reached", []call{from(0), pub(0, "a", 0), pub(1, "b", 2)}, Decision{"b", Conflict, 0}, 1, 1, false, nil},
		{"retry", []call{from(0), pub(0, "a", 0), pub(1, "a", 0)}, Decision{"a", Repeated, 1}, 1, 1, false, nil},
		{"late retry", []call{from(0), pub(0, "a", 0), pub(1, "b", 1), pub(2, "a", 0)}, Decision{"a", Repeated, 1}, 2, 2, false, nil},
		{"id used again", []call{from(0), pub(0, "a", 0), pub(1, "a", 1)}, Decision{"a", Conflict, 0}, 1, 1, false, nil},
		{"retry of what happened before the carry", []call{from(5), car(5, "b", 2, 4), pub(6, "a", 0)}, Decision{"a", Ignored, 0}, 2, 6, false, nil},
		{"no version yet", []call{from(5), pub(5, "a", 0)}, Decision{"a", Buffered, 0}, 0, 0, false, nil},
		{"carry settles the buffer", []call{from(5), pub(5, "b", 1), pub(6, "c", 1), car(7, "a", 1, 4)},
			Decision{"a", Adopted, 1}, 2, 7, true, settled(Decision{"b", Adopted, 2}, Decision{"c", Conflict, 0})},
		{"carry includes part of the buffer", []call{from(5), pub(5, "b", 1), pub(6, "c", 2), car(7, "b", 2, 5)},
			Decision{"b", Adopted, 2}, 3, 7, true, settled(Decision{"c", Adopted, 3})},
		{"carry from before the reading", []call{from(5), pub(5, "b", 1), car(7, "a", 1, 3)}, Decision{"a", Adopted, 1}, 1, 3, true, nil},
		{"publish after a carry from before the reading", []call{from(5), car(7, "a", 1, 3), pub(8, "b", 1)}, Decision{"b", Buffered, 0}, 1, 3, false, nil},
		{"carry of the text in force", []call{from(0), pub(0, "a", 0), car(1, "a", 1, 0)}, Decision{"a", Repeated, 1}, 1, 1, false, nil},
		{"carry of an older version", []call{from(0), pub(0, "a", 0), pub(1, "b", 1), car(2, "a", 1, 0)}, Decision{"a", Ignored, 0}, 2, 2, false, nil},
		{"carry with another text", []call{from(0), pub(0, "a", 0), car(1, "x", 1, 0)}, Decision{"x", HashMismatch, 0}, 1, 1, false, nil},
		{"peer before the log", []call{adopt("b", 2, 8), from(4), pub(8, "b", 1)}, Decision{"b", Repeated, 2}, 2, 8, false, nil},
		{"publish above the peer's offset", []call{adopt("b", 2, 8), from(4), pub(8, "b", 1), pub(9, "c", 2)}, Decision{"c", Adopted, 3}, 3, 9, true, nil},
		{"lost publish below the peer's offset", []call{adopt("b", 2, 8), from(4), pub(7, "x", 1)}, Decision{"x", Conflict, 0}, 2, 8, false, nil},
		{"undecidable publish below the peer's offset", []call{adopt("b", 2, 8), from(4), pub(7, "x", 0)}, Decision{"x", Ignored, 0}, 2, 8, false, nil},
		{"peer ahead of the reading", []call{from(0), pub(0, "a", 0), adopt("c", 3, 5), pub(1, "x", 0), pub(2, "b", 1)}, Decision{"b", Adopted, 2}, 3, 5, false, nil},
		{"reading passes the peer", []call{from(0), pub(0, "a", 0), adopt("b", 2, 2), pub(2, "b", 1), pub(3, "c", 2)}, Decision{"c", Adopted, 3}, 3, 3, true, nil},
		{"peer settles the buffer", []call{from(5), pub(5, "b", 1), pub(6, "c", 2), adopt("b", 2, 5)},
			Decision{"b", Adopted, 2}, 3, 6, true, settled(Decision{"c", Adopted, 3})},
		{"peer with an older version", []call{from(0), pub(0, "a", 0), pub(1, "b", 1), adopt("a", 1, 0)}, Decision{"a", Ignored, 0}, 2, 1, false, nil},
		{"peer with another text", []call{from(0), pub(0, "a", 0), adopt("x", 1, 0)}, Decision{"x", HashMismatch, 0}, 1, 0, false, nil},
		{"repeated start without a gap", []call{from(0), pub(0, "a", 0), from(1), pub(1, "b", 1)}, Decision{"b", Adopted, 2}, 2, 1, true, nil},
		{"gap", []call{from(0), pub(0, "a", 0), from(2), pub(2, "b", 1)}, Decision{"b", Buffered, 0}, 1, 0, false, nil},
		{"peer spans the gap with the same version", []call{from(0), pub(0, "a", 0), from(2), pub(2, "b", 1), adopt("a", 1, 1)},
			Decision{"a", Repeated, 1}, 2, 2, true, settled(Decision{"b", Adopted, 2})},
		{"peer's text spans the gap", []call{from(0), pub(0, "a", 0), adopt("b", 2, 6), from(4), pub(7, "c", 2)}, Decision{"c", Adopted, 3}, 3, 7, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			var r Result
			for _, c := range tc.calls {
				r = c.do(s)
			}
			is.Equal(r.Decision, tc.last)
			is.Equal(r.Changed, tc.changed)
			is.Equal(r.Resolved, tc.settled)
			version, hash, _, text, ok := s.Current()
			is.Equal(version, tc.version)
			is.Equal(r.Version, tc.version)
			is.Equal(ok, tc.version > 0)
			is.Equal(s.AsOf(), tc.asOf)
			is.True(!ok || hash == xxhash.Sum64(text))
		})
	}
}

// Guards against a damaged text that is put in force.
func TestDamagedText(t *testing.T) {
	is := is.New(t)
	s := New()
	s.StartReadingAt(4)
	c := carry("a", 1, 3)
	c.Text = c.Text[1:]
	is.Equal(s.FoldCarry(4, c).Status, HashMismatch)
	is.Equal(s.Adopt(message.TextReply{Version: 1, Hash: c.Hash, Text: c.Text, AsOf: 3}).Status, HashMismatch)
	_, _, _, _, ok := s.Current()
	is.True(!ok)
}

// Guards against a buffer that grows without bound, and against folding on as
// if nothing had been dropped from it.
func TestBufferBound(t *testing.T) {
	is := is.New(t)
	s := New()
	s.StartReadingAt(10)
	for i := range uint64(40) {
		s.FoldPublish(10+i, record.Publish{ID: fmt.Sprint(i), Base: i + 1, Text: make([]byte, 1<<20)})
	}
	is.True(s.fold.bytes <= maxBuffered)
	is.Equal(len(s.fold.waiting), 32)
	is.Equal(len(s.FoldCarry(50, carry("a", 1, 9)).Resolved), 0)
	is.Equal(len(s.FoldCarry(51, carry("b", 9, 17)).Resolved), 32)
	is.Equal(s.force.version, uint64(41))
}

// Guards against a text that the log forgets, against needless carries, and
// against a carry that claims more than its writer knows.
func TestCarryDue(t *testing.T) {
	is := is.New(t)
	const retention = time.Hour
	at := func(d time.Duration) model.Time { return model.Time(0).Add(d) }
	s := New()
	s.StartReadingAt(0)
	is.True(!s.CarryDue(at(0), retention, 0)) // no text
	s.FoldPublish(0, publish("a", 0))
	is.True(s.CarryDue(at(0), retention, 0))    // age of the last write not known
	is.True(!s.CarryDue(at(0), retention, 0.9)) // but not by all owners at once
	is.True(s.CarryDue(at(time.Minute), retention, 0.9))
	s.NoteWritten(at(time.Minute))
	is.True(!s.CarryDue(at(15*time.Minute), retention, 0))
	is.True(s.CarryDue(at(16*time.Minute), retention, 0))
	is.True(!s.CarryDue(at(29*time.Minute), retention, 0.99))
	is.True(s.CarryDue(at(31*time.Minute), retention, 0.99))
	is.Equal(s.Carry(), carry("a", 1, 0))

	s.Adopt(reply("b", 2, 5)) // not caught up
	is.True(!s.CarryDue(at(31*time.Minute), retention, 0))
	s.StartReadingAt(9) // gap above the peer's offset
	s.FoldPublish(9, publish("c", 2))
	is.True(!s.CarryDue(at(31*time.Minute), retention, 0))
	is.True(!s.CarryDue(at(90*time.Minute), retention, 0))
	is.True(s.CarryDue(at(91*time.Minute), retention, 0)) // recovery
	c := s.Carry()
	is.Equal(c, carry("b", 2, 9))
	s.FoldPublish(10, publish("d", 2))
	is.Equal(s.FoldCarry(11, c).Resolved, []Decision{{"d", Adopted, 3}})
}
