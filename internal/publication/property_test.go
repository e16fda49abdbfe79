package publication

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/record"
)

// TestMain sets the default seed of the property test. The command line can
// override it.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// stream is a log written by the property test, together with the expected outcome
// for a reader of the whole log.
type stream struct {
	entries        []call                  // in order; several entries may share an offset
	tail           uint64                  // next offset
	byOffset       map[uint64]record.Carry // current text after each offset; Version is 0 if there is none
	versionByID    map[string]uint64       // version that the publish with an ID made
	publishes      []record.Publish
	baseNotReached map[string]bool // IDs of publishes whose base was above the current version
}

// appendRandomBatch appends one batch of up to three entries.
func (l *stream) appendRandomBatch(t *rapid.T) {
	cur := l.byOffset[l.tail-1]
	for range rapid.IntRange(1, 3).Draw(t, "entries") {
		switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
		case kind == 0 && cur.Version > 0 && l.tail > 0:
			asOf := l.tail - 1 - rapid.Uint64Range(0, min(4, l.tail-1)).Draw(t, "lag")
			c := l.byOffset[asOf]
			if c.AsOf = asOf; c.Version > 0 {
				l.entries = append(l.entries, call{at: l.tail, carry: &c})
			}
			continue
		case kind == 1 && len(l.publishes) > 0:
			cur = l.appendPublish(cur, rapid.SampledFrom(l.publishes).Draw(t, "copy"))
		default:
			id := fmt.Sprint("id", len(l.publishes))
			base := cur.Version + 1 - rapid.Uint64Range(0, min(3, cur.Version+1)).Draw(t, "behind")
			l.baseNotReached[id] = base > cur.Version
			p := newPublish(id, base)
			l.publishes = append(l.publishes, p)
			cur = l.appendPublish(cur, p)
		}
	}
	l.byOffset[l.tail] = cur
	l.tail++
}

func (l *stream) appendPublish(cur record.Carry, p record.Publish) record.Carry {
	l.entries = append(l.entries, call{at: l.tail, publish: &p})
	if p.Base != cur.Version || p.ID == cur.ID {
		return cur
	}
	l.versionByID[p.ID] = p.Base + 1
	return record.Carry{Version: p.Base + 1, Hash: xxhash.Sum64(p.Text), Text: p.Text, ID: p.ID}
}

// reader is one instance that reads the stream from its own offset.
type reader struct {
	*State
	next        uint64
	lastVersion uint64 // last version returned by Current
}

// read folds the records of up to n offsets, or skips them if lost is true.
func (r *reader) read(t *rapid.T, l *stream, n uint64, lost bool) {
	to := min(r.next+n, l.tail)
	if lost {
		r.next = to
		r.check(t, l, r.StartReadingAt(r.next), record.Publish{})
		return
	}
	for _, e := range l.entries {
		if e.at < r.next || e.at >= to {
			continue
		}
		var p record.Publish
		if e.publish != nil {
			p = *e.publish
		}
		r.check(t, l, e.do(r.State), p)
	}
	r.next = to
}

// check compares the current text and the decisions with the expected outcome for a
// reader of the whole log.
func (r *reader) check(t *rapid.T, l *stream, res Result, p record.Publish) {
	version, hash, _, _, ok := r.Current()
	if version < r.lastVersion || res.Version != version || res.Status == HashMismatch {
		t.Fatalf("version %d after %d, result %+v", version, r.lastVersion, res)
	}
	r.lastVersion = version
	// The offset being read may be partly folded; it is checked after its last entry.
	if want := l.byOffset[r.AsOf()]; ok && r.AsOf() < r.next && (want.Version != version || want.Hash != hash) {
		t.Fatalf("version %d as of %d, the log says %d", version, r.AsOf(), want.Version)
	}
	for _, d := range append(res.Resolved, res.Decision) {
		made, adopted := l.versionByID[d.ID]
		switch d.Status {
		case Adopted, Repeated:
			if made != d.CreatedVersion {
				t.Fatalf("%+v, but the log adopted it as %d", d, made)
			}
		case Conflict:
			if adopted && !l.baseNotReached[d.ID] {
				t.Fatalf("%+v, but the log adopted it as %d", d, made)
			}
		}
	}
}

// TestReadersAgreeOnVersions guards against readers that have different texts for a
// version, return to a lower version or report a wrong outcome of a publish,
// depending on the part of the log that each of them reads.
func TestReadersAgreeOnVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &stream{byOffset: map[uint64]record.Carry{}, versionByID: map[string]uint64{}, baseNotReached: map[string]bool{}}
		var readers []*reader
		add := func(first uint64) {
			r := &reader{State: New(), next: first}
			r.StartReadingAt(first)
			readers = append(readers, r)
		}
		add(0)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			r := rapid.SampledFrom(readers).Draw(t, "reader")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				add(rapid.Uint64Range(0, l.tail).Draw(t, "first"))
			case 1:
				r.read(t, l, rapid.Uint64Range(1, 4).Draw(t, "lost"), true)
			case 2, 3:
				peer := rapid.SampledFrom(readers).Draw(t, "peer")
				version, hash, id, text, _ := peer.Current()
				res := r.Adopt(message.TextReply{Version: version, Hash: hash, ID: id, Text: text, AsOf: peer.AsOf()})
				r.check(t, l, res, record.Publish{})
			case 4, 5, 6:
				l.appendRandomBatch(t)
			default:
				r.read(t, l, rapid.Uint64Range(1, 8).Draw(t, "count"), false)
			}
		}
		checkAgreementAfterCarry(t, l, readers)
	})
}

// checkAgreementAfterCarry appends a carry and a publish, lets every reader read to
// the tail, and checks that all have the same version and text.
func checkAgreementAfterCarry(t *rapid.T, l *stream, readers []*reader) {
	is := is.New(t)
	for _, r := range readers {
		r.read(t, l, l.tail, false)
	}
	if cur := l.byOffset[l.tail-1]; l.tail > 0 && cur.Version > 0 {
		cur.AsOf = l.tail - 1
		l.entries = append(l.entries, call{at: l.tail, carry: &cur})
		p := newPublish("last", cur.Version)
		l.byOffset[l.tail] = l.appendPublish(cur, p)
		l.tail++
	}
	for _, r := range readers {
		r.read(t, l, l.tail, false)
		version, hash, _, _, _ := r.Current()
		is.Equal(version, l.byOffset[l.tail-1].Version)
		is.Equal(hash, l.byOffset[l.tail-1].Hash)
	}
}
