package publication

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/record"
)

const (
	// maxBuffered bounds the bytes of texts that wait for a version. It holds
	// an hour's publishes at 1500 changes of 500 KB a day.
	maxBuffered = 32 << 20
	// maxMakers bounds the versions whose publish id is remembered: more than
	// two days of publishes. It decides only what a very late retry is told.
	maxMakers = 4096
)

// fold is the outcome of the instance's own gapless reading of the stream.
type fold struct {
	point          // valid if known; version 0 before the first publish
	known   bool   // the point's version is certain
	started bool   // startAt was called
	start   uint64 // first offset of the gapless reading
	upTo    uint64 // records below are folded or covered by the point
	open    bool   // upTo-1 was taken from the stream and may have further entries
	waiting []buffered
	bytes   int              // of the waiting texts
	makers  map[uint64]maker // version -> the publish that made it
}

type buffered struct {
	offset  uint64
	publish record.Publish
}

type maker struct {
	id   string
	hash uint64
}

func newFold() fold { return fold{makers: map[uint64]maker{}} }

// startAt returns whether the fold has no version and needs one.
func (f *fold) startAt(first uint64) bool {
	switch {
	case !f.started:
		f.known = first == FirstOffset
	case first <= f.upTo:
		return false
	default:
		f.known = false
	}
	f.started, f.start, f.upTo, f.open = true, first, first, false
	f.waiting, f.bytes = nil, 0
	return !f.known
}

// take reports whether an entry at the offset is still to be folded, and notes
// that it was read.
func (f *fold) take(offset uint64) bool {
	if offset < f.upTo && !(f.open && offset+1 == f.upTo) {
		return false
	}
	f.upTo, f.open = offset+1, true
	if f.known {
		f.asOf = offset
	}
	return true
}

// buffer keeps a publish until the version is known. Beyond the bound the
// oldest offset is given up, as if the reading had started after it.
func (f *fold) buffer(offset uint64, p record.Publish) {
	f.waiting = append(f.waiting, buffered{offset, p})
	f.bytes += len(p.Text)
	for f.bytes > maxBuffered {
		f.start = f.waiting[0].offset + 1
		n := slices.IndexFunc(f.waiting, func(b buffered) bool { return b.offset >= f.start })
		if n < 0 {
			n = len(f.waiting)
		}
		for _, b := range f.waiting[:n] {
			f.bytes -= len(b.publish.Text)
		}
		f.waiting = slices.Clone(f.waiting[n:])
	}
}

// resume continues a fold without a version from a text, and returns the
// publishes that are to be applied now. It does nothing if records between
// the text and the reading are missing.
func (f *fold) resume(pt point) []buffered {
	if f.known || !f.started || pt.asOf+1 < f.start {
		return nil
	}
	f.point, f.known = pt, true
	f.remember()
	waiting := slices.DeleteFunc(f.waiting, func(b buffered) bool { return b.offset <= pt.asOf })
	f.waiting, f.bytes = nil, 0
	if pt.asOf+1 > f.upTo {
		f.upTo, f.open = pt.asOf+1, false
	} else {
		f.asOf = f.upTo - 1
	}
	return waiting
}

// apply decides a publish by compare and append. The outcome depends only on
// the version and id that carries and peers pass on, never on older ids, so
// that readers with a shorter past decide alike.
func (f *fold) apply(p record.Publish) Decision {
	if p.Base != f.version || p.ID != "" && p.ID == f.id {
		return f.decided(p)
	}
	f.point = point{version: p.Base + 1, hash: xxhash.Sum64(p.Text), id: p.ID, text: p.Text, asOf: f.asOf}
	f.remember()
	return Decision{ID: p.ID, Status: Adopted, CreatedVersion: f.version}
}

// decided returns the outcome of a publish that makes no new version: one that
// lost, one that was adopted before, or one whose outcome lies before what
// this reader has seen.
func (f *fold) decided(p record.Publish) Decision {
	made := p.Base + 1
	m, known := f.makers[made]
	switch {
	case known && m == (maker{p.ID, xxhash.Sum64(p.Text)}):
		return Decision{ID: p.ID, Status: Repeated, CreatedVersion: made}
	case f.known && (known || made > f.version):
		return Decision{ID: p.ID, Status: Conflict}
	}
	return Decision{ID: p.ID, Status: Ignored}
}

func (f *fold) remember() {
	if f.version > 0 {
		f.makers[f.version] = maker{f.id, f.hash}
		delete(f.makers, f.version-maxMakers)
	}
}
