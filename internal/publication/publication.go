// Package publication determines the current service text from the publishes in
// the config stream and from the texts of peers.
//
// It keeps two states apart. The fold is the result of the records that this
// instance has read from the stream without a gap; it decides every publish. The
// current text is the newer one of the fold's text and a text adopted from a
// peer. A peer's text therefore never changes how the records of a fold that
// knows its version are decided.
//
// A carry is a record that repeats the current text in the stream, so that the
// log's retention does not remove it.
package publication

import (
	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/record"
)

// FirstOffset is the offset of the first record of a stream. A reader that starts
// there knows that no text precedes the records that it reads.
const FirstOffset = 0

// Status is the outcome of one record or message.
type Status string

// The statuses. A text may be reported to its publisher as accepted only if the
// publish was adopted or repeated.
const (
	Adopted      Status = "adopted"
	Conflict     Status = "conflict"      // not adopted, usually because another publish made the version
	Repeated     Status = "repeated"      // adopted before
	Buffered     Status = "buffered"      // can't be decided until a carry or a peer's text gives the version
	HashMismatch Status = "hash_mismatch" // the current text is kept
	Ignored      Status = "ignored"       // changes nothing; the outcome of such a publish is unknown
)

// Decision is the outcome of one publish.
type Decision struct {
	ID             string
	Status         Status
	CreatedVersion uint64 // version that an adopted or repeated publish made
}

// Result is the outcome of folding one record or adopting one text.
type Result struct {
	Decision
	Version  uint64     // the current version
	Changed  bool       // this call changed the current text
	Resolved []Decision // buffered publishes that this call decided
}

// versionedText is the current text as of the offset asOf, which means after all
// records up to and including that offset.
type versionedText struct {
	version, hash uint64
	id            string
	text          []byte
	asOf          uint64
}

// State is the publication state of one instance.
type State struct {
	current versionedText // version 0: no text
	fold    fold
	carry   carryClock
}

// New returns the state of an instance that has no text.
func New() *State { return &State{fold: newFold(), carry: newCarryClock()} }

// StartReadingAt sets the offset from which the stream is read. It is called before
// the first record, and again whenever reading skips lost records. A later call
// that leaves no gap changes nothing.
func (s *State) StartReadingAt(first uint64) Result {
	r := Result{Decision: Decision{Status: Ignored}}
	if s.fold.startAt(first) {
		s.resumeFold(s.current, &r)
	}
	r.Version = s.current.version
	return r
}

// FoldPublish folds one publish. All entries of the stream are folded in order,
// each once, and batch IDs are ignored: which of two copies of a publish a reader
// sees depends on where it started.
func (s *State) FoldPublish(offset uint64, p record.Publish) Result {
	r := Result{Decision: Decision{ID: p.ID, Status: Buffered}}
	switch {
	case !s.fold.advance(offset):
		r.Decision = s.fold.decideUnchanged(p)
	case s.fold.versionKnown:
		r.Decision = s.apply(p, &r.Changed)
	default:
		s.fold.buffer(offset, p)
	}
	r.Version = s.current.version
	return r
}

// FoldCarry folds one carry record.
func (s *State) FoldCarry(offset uint64, c record.Carry) Result {
	r := Result{Decision: Decision{ID: c.ID, Status: Ignored}}
	if s.fold.advance(offset) {
		vt := versionedText{version: c.Version, hash: c.Hash, id: c.ID, text: c.Text, asOf: c.AsOf}
		r = s.merge(vt, r)
		if r.CreatedVersion > s.fold.version && s.fold.versionKnown {
			// The carry is newer than the fold, which only a recovery carry can
			// be. All readers see it at this offset, so the fold continues from it.
			vt.asOf = offset
			s.fold.versionedText = vt
		}
		s.advanceAsOf()
	}
	r.Version = s.current.version
	return r
}

// Adopt makes a peer's text the current one if its version is higher. A fold
// without a version continues from the peer's text if no record in between is
// missing, and then skips records up to the peer's AsOf.
func (s *State) Adopt(t message.TextReply) Result {
	vt := versionedText{version: t.Version, hash: t.Hash, id: t.ID, text: t.Text, asOf: t.AsOf}
	r := s.merge(vt, Result{Decision: Decision{ID: t.ID, Status: Ignored}})
	r.Version = s.current.version
	return r
}

// Current returns the current text. The caller must not modify the text. The last
// result is false if there is no text.
func (s *State) Current() (version, hash uint64, id string, text []byte, ok bool) {
	cur := &s.current
	return cur.version, cur.hash, cur.id, cur.text, cur.version > 0
}

// AsOf returns the highest offset up to which the current text includes every
// record. Messages and carries contain it as AsOf. It has no meaning while there
// is no text.
func (s *State) AsOf() uint64 { return s.current.asOf }

// HashDiffers reports whether a text has the version of the current text and
// another hash.
func (s *State) HashDiffers(version, hash uint64) bool {
	return version > 0 && version == s.current.version && hash != s.current.hash
}

// merge checks a text from a carry or a peer, lets a fold without a version
// continue from it, and makes it the current text if it is newer.
func (s *State) merge(vt versionedText, r Result) Result {
	cur := &s.current
	switch {
	case vt.version == 0:
		return r
	case xxhash.Sum64(vt.text) != vt.hash, s.HashDiffers(vt.version, vt.hash):
		r.Status = HashMismatch
		return r
	case vt.version < cur.version && vt.asOf >= cur.asOf:
		return r // the writer had not received the current text yet
	case vt.version == cur.version:
		r.Status, r.CreatedVersion = Repeated, vt.version
	case vt.version > cur.version:
		r.Status, r.CreatedVersion = Adopted, vt.version
	}
	s.setIfNewer(vt, &r.Changed)
	s.resumeFold(vt, &r)
	return r
}

// resumeFold lets a fold without a version continue from a text, if no record
// between the text and the fold is missing.
func (s *State) resumeFold(vt versionedText, r *Result) {
	if vt.version == 0 {
		return
	}
	for _, b := range s.fold.resumeFrom(vt) {
		r.Resolved = append(r.Resolved, s.apply(b.publish, &r.Changed))
	}
	s.advanceAsOf()
}

// apply decides a publish by the fold and makes its text the current one if it is
// newer.
func (s *State) apply(p record.Publish, changed *bool) Decision {
	d := s.fold.apply(p)
	if d.Status == Adopted && s.HashDiffers(s.fold.version, s.fold.hash) {
		d.Status = HashMismatch
	}
	s.setIfNewer(s.fold.versionedText, changed)
	s.advanceAsOf()
	return d
}

func (s *State) setIfNewer(vt versionedText, changed *bool) {
	if vt.version > s.current.version {
		s.current, *changed = vt, true
	}
}

// advanceAsOf raises the current text's asOf to that of the fold if both have the
// same version.
func (s *State) advanceAsOf() {
	if s.fold.versionKnown && s.fold.version == s.current.version {
		s.current.asOf = max(s.current.asOf, s.fold.asOf)
	}
}
