// Package publication folds the published service texts from the config
// stream and from peers into the one text in force.
//
// It keeps two things apart. The fold is what the instance's own reading of
// the stream proves; it decides every publish. The text in force is the newer
// of the fold's text and of a text adopted from a peer. A text from a peer
// therefore never changes how the records that follow are decided.
package publication

import (
	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/record"
)

// FirstOffset is the offset of the first record ever appended to a stream. A reader
// that starts there knows that no text precedes what it reads.
const FirstOffset = 0

// Status says what became of one record or message.
type Status string

// The statuses. Only for adopted and repeated publishes may a publisher be
// told that its text was accepted.
const (
	Adopted      Status = "adopted"
	Conflict     Status = "conflict"      // another publish won
	Repeated     Status = "repeated"      // already adopted before
	Buffered     Status = "buffered"      // can't be decided until a carry or a peer's text tells the version
	HashMismatch Status = "hash_mismatch" // the text in force is kept
	Ignored      Status = "ignored"       // tells nothing new; a publish's outcome is not known here
)

// Decision is the outcome of one publish.
type Decision struct {
	ID             string
	Status         Status
	CreatedVersion uint64 // adopted or repeated: the version that the publish made
}

// Result is the outcome of one fold or adoption.
type Result struct {
	Decision
	Version  uint64     // the version in force now
	Changed  bool       // the text in force is another one than before
	Resolved []Decision // publishes buffered earlier and decided by this call
}

// point is a text that was in force once every record up to asOf is folded.
type point struct {
	version, hash uint64
	id            string
	text          []byte
	asOf          uint64
}

// State is the publication state of one instance.
type State struct {
	force point // version 0: no text
	fold  fold
	carry carryClock
}

// New returns the state of an instance that knows no text.
func New() *State { return &State{fold: newFold(), carry: newCarryClock()} }

// StartReadingAt says from which offset the stream is read. It is called before the
// first record and again whenever a read was moved up past lost records; a
// first that leaves no gap changes nothing.
func (s *State) StartReadingAt(first uint64) Result {
	r := Result{Decision: Decision{Status: Ignored}}
	if s.fold.startAt(first) {
		s.settle(s.force, &r)
	}
	r.Version = s.force.version
	return r
}

// FoldPublish folds one publish. All entries of the stream are folded in
// order, each once, without regard to batch ids: which of two copies of a
// publish a reader sees depends on where it started.
func (s *State) FoldPublish(offset uint64, p record.Publish) Result {
	r := Result{Decision: Decision{ID: p.ID, Status: Buffered}}
	switch {
	case !s.fold.take(offset):
		r.Decision = s.fold.decided(p)
	case s.fold.known:
		r.Decision = s.apply(p, &r.Changed)
	default:
		s.fold.buffer(offset, p)
	}
	r.Version = s.force.version
	return r
}

// FoldCarry folds one carry.
func (s *State) FoldCarry(offset uint64, c record.Carry) Result {
	r := Result{Decision: Decision{ID: c.ID, Status: Ignored}}
	if s.fold.take(offset) {
		pt := point{version: c.Version, hash: c.Hash, id: c.ID, text: c.Text, asOf: c.AsOf}
		r = s.merge(pt, r)
		if r.CreatedVersion > s.fold.version && s.fold.known {
			// The reading proves less than the carry, which only a recovery
			// carry can cause. The log orders it, so the fold goes on from it.
			pt.asOf = offset
			s.fold.point = pt
		}
		s.touch()
	}
	r.Version = s.force.version
	return r
}

// Adopt takes over a peer's text if its version is higher than the one in
// force. If the peer has read further than the own fold can prove, the own
// records up to the peer's AsOf are not folded again.
func (s *State) Adopt(t message.TextReply) Result {
	pt := point{version: t.Version, hash: t.Hash, id: t.ID, text: t.Text, asOf: t.AsOf}
	r := s.merge(pt, Result{Decision: Decision{ID: t.ID, Status: Ignored}})
	r.Version = s.force.version
	return r
}

// Current returns the text in force. The text must not be changed.
func (s *State) Current() (version, hash uint64, id string, text []byte, ok bool) {
	f := &s.force
	return f.version, f.hash, f.id, f.text, f.version > 0
}

// AsOf returns the highest offset up to which the text in force includes
// every record: the AsOf of messages and carries. It has no meaning while
// there is no text.
func (s *State) AsOf() uint64 { return s.force.asOf }

// HashDiffers reports whether a text differs from the one in force although the
// versions are equal.
func (s *State) HashDiffers(version, hash uint64) bool {
	return version > 0 && version == s.force.version && hash != s.force.hash
}

// merge checks a text that a carry or a peer vouches for, lets an undecided
// fold go on from it, and puts it in force if it is newer.
func (s *State) merge(pt point, r Result) Result {
	f := &s.force
	switch {
	case pt.version == 0:
		return r
	case xxhash.Sum64(pt.text) != pt.hash, s.HashDiffers(pt.version, pt.hash):
		r.Status = HashMismatch
		return r
	case pt.version < f.version && pt.asOf >= f.asOf:
		return r // the writer was behind what is in force
	case pt.version == f.version:
		r.Status, r.CreatedVersion = Repeated, pt.version
	case pt.version > f.version:
		r.Status, r.CreatedVersion = Adopted, pt.version
	}
	s.promote(pt, &r.Changed)
	s.settle(pt, &r)
	return r
}

// settle lets a fold without a version continue from a text, if no record
// between the two is missing.
func (s *State) settle(pt point, r *Result) {
	if pt.version == 0 {
		return
	}
	for _, b := range s.fold.resume(pt) {
		r.Resolved = append(r.Resolved, s.apply(b.publish, &r.Changed))
	}
	s.touch()
}

// apply decides a publish by the fold and puts its text in force if it is new.
func (s *State) apply(p record.Publish, changed *bool) Decision {
	d := s.fold.apply(p)
	if d.Status == Adopted && s.HashDiffers(s.fold.version, s.fold.hash) {
		d.Status = HashMismatch
	}
	s.promote(s.fold.point, changed)
	s.touch()
	return d
}

func (s *State) promote(pt point, changed *bool) {
	if pt.version > s.force.version {
		s.force, *changed = pt, true
	}
}

// touch moves the text in force up to what the fold has read, if the fold
// agrees with it.
func (s *State) touch() {
	if s.fold.known && s.fold.version == s.force.version {
		s.force.asOf = max(s.force.asOf, s.fold.asOf)
	}
}
