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

func newPublish(id string, base uint64) record.Publish {
	return record.Publish{ID: id, Base: base, Text: fmt.Appendf(nil, "%s on %d", id, base)}
}

func newCarry(id string, version, asOf uint64) record.Carry {
	text := newPublish(id, version-1).Text
	return record.Carry{Version: version, Hash: xxhash.Sum64(text), Text: text, ID: id, AsOf: asOf}
}

func newTextReply(id string, version, asOf uint64) message.TextReply {
	c := newCarry(id, version, asOf)
	return message.TextReply{Version: c.Version, Hash: c.Hash, ID: c.ID, Text: c.Text, AsOf: c.AsOf}
}

// call is one method call on a State. Exactly one of the fields other than at is
// set.
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

func startAt(at uint64) call { return call{at: at, start: true} }
func publishAt(at uint64, id string, base uint64) call {
	p := newPublish(id, base)
	return call{at: at, publish: &p}
}
func carryAt(at uint64, id string, version, asOf uint64) call {
	c := newCarry(id, version, asOf)
	return call{at: at, carry: &c}
}
func adoptFromPeer(id string, version, asOf uint64) call {
	r := newTextReply(id, version, asOf)
	return call{adopt: &r}
}

// TestFoldDecisions guards against a publish that is folded twice, lost, adopted on
// a wrong base, or reported to its publisher with a wrong outcome.
func TestFoldDecisions(t *testing.T) {
	resolved := func(d ...Decision) []Decision { return d }
	for _, tc := range []struct {
		name     string
		calls    []call
		decision Decision
		version  uint64
		asOf     uint64
		changed  bool
		resolved []Decision
	}{
		{"first publish", []call{startAt(0), publishAt(0, "a", 0)}, Decision{"a", Adopted, 1}, 1, 0, true, nil},
		{"two publishes in one batch", []call{startAt(0), publishAt(3, "a", 0), publishAt(3, "b", 1)}, Decision{"b", Adopted, 2}, 2, 3, true, nil},
		{"lost race", []call{startAt(0), publishAt(0, "a", 0), publishAt(1, "b", 0)}, Decision{"b", Conflict, 0}, 1, 1, false, nil},
		{"base not reached", []call{startAt(0), publishAt(0, "a", 0), publishAt(1, "b", 2)}, Decision{"b", Conflict, 0}, 1, 1, false, nil},
		{"retry", []call{startAt(0), publishAt(0, "a", 0), publishAt(1, "a", 0)}, Decision{"a", Repeated, 1}, 1, 1, false, nil},
		{"late retry", []call{startAt(0), publishAt(0, "a", 0), publishAt(1, "b", 1), publishAt(2, "a", 0)}, Decision{"a", Repeated, 1}, 2, 2, false, nil},
		{"reused ID", []call{startAt(0), publishAt(0, "a", 0), publishAt(1, "a", 1)}, Decision{"a", Conflict, 0}, 1, 1, false, nil},
		{"retry of a publish from before the carry", []call{startAt(5), carryAt(5, "b", 2, 4), publishAt(6, "a", 0)}, Decision{"a", Ignored, 0}, 2, 6, false, nil},
		{"no version yet", []call{startAt(5), publishAt(5, "a", 0)}, Decision{"a", Buffered, 0}, 0, 0, false, nil},
		{"carry resolves buffered publishes", []call{startAt(5), publishAt(5, "b", 1), publishAt(6, "c", 1), carryAt(7, "a", 1, 4)},
			Decision{"a", Adopted, 1}, 2, 7, true, resolved(Decision{"b", Adopted, 2}, Decision{"c", Conflict, 0})},
		{"carry includes some buffered publishes", []call{startAt(5), publishAt(5, "b", 1), publishAt(6, "c", 2), carryAt(7, "b", 2, 5)},
			Decision{"b", Adopted, 2}, 3, 7, true, resolved(Decision{"c", Adopted, 3})},
		{"carry as of an offset before the first read", []call{startAt(5), publishAt(5, "b", 1), carryAt(7, "a", 1, 3)}, Decision{"a", Adopted, 1}, 1, 3, true, nil},
		{"publish after a carry as of an offset before the first read", []call{startAt(5), carryAt(7, "a", 1, 3), publishAt(8, "b", 1)}, Decision{"b", Buffered, 0}, 1, 3, false, nil},
		{"carry of the current text", []call{startAt(0), publishAt(0, "a", 0), carryAt(1, "a", 1, 0)}, Decision{"a", Repeated, 1}, 1, 1, false, nil},
		{"carry of an older version", []call{startAt(0), publishAt(0, "a", 0), publishAt(1, "b", 1), carryAt(2, "a", 1, 0)}, Decision{"a", Ignored, 0}, 2, 2, false, nil},
		{"carry with another text", []call{startAt(0), publishAt(0, "a", 0), carryAt(1, "x", 1, 0)}, Decision{"x", HashMismatch, 0}, 1, 1, false, nil},
		{"peer's text adopted before the first read", []call{adoptFromPeer("b", 2, 8), startAt(4), publishAt(8, "b", 1)}, Decision{"b", Repeated, 2}, 2, 8, false, nil},
		{"publish above the peer's offset", []call{adoptFromPeer("b", 2, 8), startAt(4), publishAt(8, "b", 1), publishAt(9, "c", 2)}, Decision{"c", Adopted, 3}, 3, 9, true, nil},
		{"conflicting publish below the peer's offset", []call{adoptFromPeer("b", 2, 8), startAt(4), publishAt(7, "x", 1)}, Decision{"x", Conflict, 0}, 2, 8, false, nil},
		{"undecidable publish below the peer's offset", []call{adoptFromPeer("b", 2, 8), startAt(4), publishAt(7, "x", 0)}, Decision{"x", Ignored, 0}, 2, 8, false, nil},
		{"peer ahead of the fold", []call{startAt(0), publishAt(0, "a", 0), adoptFromPeer("c", 3, 5), publishAt(1, "x", 0), publishAt(2, "b", 1)}, Decision{"b", Adopted, 2}, 3, 5, false, nil},
		{"fold overtakes the peer", []call{startAt(0), publishAt(0, "a", 0), adoptFromPeer("b", 2, 2), publishAt(2, "b", 1), publishAt(3, "c", 2)}, Decision{"c", Adopted, 3}, 3, 3, true, nil},
		{"peer resolves buffered publishes", []call{startAt(5), publishAt(5, "b", 1), publishAt(6, "c", 2), adoptFromPeer("b", 2, 5)},
			Decision{"b", Adopted, 2}, 3, 6, true, resolved(Decision{"c", Adopted, 3})},
		{"peer with an older version", []call{startAt(0), publishAt(0, "a", 0), publishAt(1, "b", 1), adoptFromPeer("a", 1, 0)}, Decision{"a", Ignored, 0}, 2, 1, false, nil},
		{"peer with another text", []call{startAt(0), publishAt(0, "a", 0), adoptFromPeer("x", 1, 0)}, Decision{"x", HashMismatch, 0}, 1, 0, false, nil},
		{"repeated start without a gap", []call{startAt(0), publishAt(0, "a", 0), startAt(1), publishAt(1, "b", 1)}, Decision{"b", Adopted, 2}, 2, 1, true, nil},
		{"gap in the records", []call{startAt(0), publishAt(0, "a", 0), startAt(2), publishAt(2, "b", 1)}, Decision{"b", Buffered, 0}, 1, 0, false, nil},
		{"peer spans the gap with the same version", []call{startAt(0), publishAt(0, "a", 0), startAt(2), publishAt(2, "b", 1), adoptFromPeer("a", 1, 1)},
			Decision{"a", Repeated, 1}, 2, 2, true, resolved(Decision{"b", Adopted, 2})},
		{"peer's text spans the gap", []call{startAt(0), publishAt(0, "a", 0), adoptFromPeer("b", 2, 6), startAt(4), publishAt(7, "c", 2)}, Decision{"c", Adopted, 3}, 3, 7, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			var r Result
			for _, c := range tc.calls {
				r = c.do(s)
			}
			is.Equal(r.Decision, tc.decision)
			is.Equal(r.Changed, tc.changed)
			is.Equal(r.Resolved, tc.resolved)
			version, hash, _, text, ok := s.Current()
			is.Equal(version, tc.version)
			is.Equal(r.Version, tc.version)
			is.Equal(ok, tc.version > 0)
			is.Equal(s.AsOf(), tc.asOf)
			is.True(!ok || hash == xxhash.Sum64(text))
		})
	}
}

// TestTextWithWrongHashRejected guards against a damaged text that becomes the
// current one.
func TestTextWithWrongHashRejected(t *testing.T) {
	is := is.New(t)
	s := New()
	s.StartReadingAt(4)
	c := newCarry("a", 1, 3)
	c.Text = c.Text[1:]
	is.Equal(s.FoldCarry(4, c).Status, HashMismatch)
	is.Equal(s.Adopt(message.TextReply{Version: 1, Hash: c.Hash, Text: c.Text, AsOf: 3}).Status, HashMismatch)
	_, _, _, _, ok := s.Current()
	is.True(!ok)
}

// TestBufferLimitDropsOldest guards against a buffer that grows without limit, and
// against a fold that continues as if no publish had been dropped from it.
func TestBufferLimitDropsOldest(t *testing.T) {
	is := is.New(t)
	s := New()
	s.StartReadingAt(10)
	for i := range uint64(40) {
		s.FoldPublish(10+i, record.Publish{ID: fmt.Sprint(i), Base: i + 1, Text: make([]byte, 1<<20)})
	}
	is.True(s.fold.pendingBytes <= maxBufferedBytes)
	is.Equal(len(s.fold.pending), 32)
	is.Equal(len(s.FoldCarry(50, newCarry("a", 1, 9)).Resolved), 0)
	is.Equal(len(s.FoldCarry(51, newCarry("b", 9, 17)).Resolved), 32)
	is.Equal(s.current.version, uint64(41))
}

// TestCarryDue guards against a text that expires from the log, against unnecessary
// carries, and against a carry whose AsOf is above what its writer has read.
func TestCarryDue(t *testing.T) {
	is := is.New(t)
	const retention = time.Hour
	at := func(d time.Duration) model.Time { return model.Time(0).Add(d) }
	s := New()
	s.StartReadingAt(0)
	is.True(!s.CarryDue(at(0), retention, 0)) // no text
	s.FoldPublish(0, newPublish("a", 0))
	is.True(s.CarryDue(at(0), retention, 0))    // age of the last write unknown
	is.True(!s.CarryDue(at(0), retention, 0.9)) // jitter keeps owners from writing at the same time
	is.True(s.CarryDue(at(time.Minute), retention, 0.9))
	s.NoteWritten(at(time.Minute))
	is.True(!s.CarryDue(at(15*time.Minute), retention, 0))
	is.True(s.CarryDue(at(16*time.Minute), retention, 0))
	is.True(!s.CarryDue(at(29*time.Minute), retention, 0.99))
	is.True(s.CarryDue(at(31*time.Minute), retention, 0.99))
	is.Equal(s.Carry(), newCarry("a", 1, 0))

	s.Adopt(newTextReply("b", 2, 5)) // the fold has not caught up with the peer
	is.True(!s.CarryDue(at(31*time.Minute), retention, 0))
	s.StartReadingAt(9) // gap above the peer's offset
	s.FoldPublish(9, newPublish("c", 2))
	is.True(!s.CarryDue(at(31*time.Minute), retention, 0))
	is.True(!s.CarryDue(at(90*time.Minute), retention, 0))
	is.True(s.CarryDue(at(91*time.Minute), retention, 0)) // recovery carry
	c := s.Carry()
	is.Equal(c, newCarry("b", 2, 9))
	s.FoldPublish(10, newPublish("d", 2))
	is.Equal(s.FoldCarry(11, c).Resolved, []Decision{{"d", Adopted, 3}})
}
