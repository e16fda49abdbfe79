package publication

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/record"
)

const (
	// maxBufferedBytes limits the total size of texts that wait for a version. It
	// is enough for one hour of publishes at 1500 changes of 500 KB a day.
	maxBufferedBytes = 32 << 20
	// maxRememberedPublishes limits the versions whose publish ID is kept. It is
	// enough for more than two days of publishes, and affects only the answer to
	// retries that are later than that.
	maxRememberedPublishes = 4096
)

// fold is the result of the records that the instance has read without a gap.
type fold struct {
	versionedText                          // valid if versionKnown; version 0 before the first publish
	versionKnown     bool                  // the fold has a version, so that publishes can be decided
	started          bool                  // startAt was called
	firstOffset      uint64                // first offset of the records read without a gap
	nextOffset       uint64                // lower offsets are folded or included in versionedText
	lastOffsetOpen   bool                  // nextOffset-1 was read from the stream and may have more entries
	pending          []bufferedPublish     // publishes that wait for a version, in offset order
	pendingBytes     int                   // total size of the pending texts
	publishByVersion map[uint64]publishKey // key: the version that the publish made
}

type bufferedPublish struct {
	offset  uint64
	publish record.Publish
}

type publishKey struct {
	id   string
	hash uint64
}

func newFold() fold { return fold{publishByVersion: map[uint64]publishKey{}} }

// startAt sets the offset of the next record and reports whether the fold has no
// version and needs one.
func (f *fold) startAt(first uint64) bool {
	switch {
	case !f.started:
		f.versionKnown = first == FirstOffset
	case first <= f.nextOffset:
		return false
	default:
		f.versionKnown = false
	}
	f.started, f.firstOffset, f.nextOffset, f.lastOffsetOpen = true, first, first, false
	f.pending, f.pendingBytes = nil, 0
	return !f.versionKnown
}

// advance reports whether an entry at the offset has not been folded yet, and
// records that it was read.
func (f *fold) advance(offset uint64) bool {
	if offset < f.nextOffset && !(f.lastOffsetOpen && offset+1 == f.nextOffset) {
		return false
	}
	f.nextOffset, f.lastOffsetOpen = offset+1, true
	if f.versionKnown {
		f.asOf = offset
	}
	return true
}

// buffer keeps a publish until the version is known. Above maxBufferedBytes, the
// oldest offset is dropped, as if reading had started after it.
func (f *fold) buffer(offset uint64, p record.Publish) {
	f.pending = append(f.pending, bufferedPublish{offset, p})
	f.pendingBytes += len(p.Text)
	for f.pendingBytes > maxBufferedBytes {
		f.firstOffset = f.pending[0].offset + 1
		n := slices.IndexFunc(f.pending, func(b bufferedPublish) bool { return b.offset >= f.firstOffset })
		if n < 0 {
			n = len(f.pending)
		}
		for _, b := range f.pending[:n] {
			f.pendingBytes -= len(b.publish.Text)
		}
		f.pending = slices.Clone(f.pending[n:])
	}
}

// resumeFrom continues a fold without a version from a text and returns the pending
// publishes to apply now. It does nothing if records between the text and
// firstOffset are missing.
func (f *fold) resumeFrom(vt versionedText) []bufferedPublish {
	if f.versionKnown || !f.started || vt.asOf+1 < f.firstOffset {
		return nil
	}
	f.versionedText, f.versionKnown = vt, true
	f.rememberPublish()
	pending := slices.DeleteFunc(f.pending, func(b bufferedPublish) bool { return b.offset <= vt.asOf })
	f.pending, f.pendingBytes = nil, 0
	if vt.asOf+1 > f.nextOffset {
		f.nextOffset, f.lastOffsetOpen = vt.asOf+1, false
	} else {
		f.asOf = f.nextOffset - 1
	}
	return pending
}

// apply decides a publish by comparing its base with the current version of the
// fold. The outcome depends only on that version and its publish ID, which carries
// and peers also provide, and never on older IDs. All readers therefore decide
// alike, wherever they started.
func (f *fold) apply(p record.Publish) Decision {
	if p.Base != f.version || p.ID != "" && p.ID == f.id {
		return f.decideUnchanged(p)
	}
	f.versionedText = versionedText{version: p.Base + 1, hash: xxhash.Sum64(p.Text), id: p.ID, text: p.Text, asOf: f.asOf}
	f.rememberPublish()
	return Decision{ID: p.ID, Status: Adopted, CreatedVersion: f.version}
}

// decideUnchanged returns the outcome of a publish that makes no new version: a
// conflict, a repeated publish, or one that was decided before the records that
// this reader has read.
func (f *fold) decideUnchanged(p record.Publish) Decision {
	created := p.Base + 1
	m, known := f.publishByVersion[created]
	switch {
	case known && m == (publishKey{p.ID, xxhash.Sum64(p.Text)}):
		return Decision{ID: p.ID, Status: Repeated, CreatedVersion: created}
	case f.versionKnown && (known || created > f.version):
		return Decision{ID: p.ID, Status: Conflict}
	}
	return Decision{ID: p.ID, Status: Ignored}
}

func (f *fold) rememberPublish() {
	if f.version > 0 {
		f.publishByVersion[f.version] = publishKey{f.id, f.hash}
		delete(f.publishByVersion, f.version-maxRememberedPublishes)
	}
}
