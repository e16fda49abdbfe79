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

// TestMain fixes the seed of the property test, unless the command line gives
// another one.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil {
		f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// stream is a log as the property test writes it, with the outcome that a
// reader of the whole log sees.
type stream struct {
	entries  []call                  // in order; several may share an offset
	tail     uint64                  // next offset
	byOffset map[uint64]record.Carry // offset -> the text in force after it; Version 0: none
	adopted  map[string]uint64       // publish id -> version
	sent     []record.Publish
	future   map[string]bool // ids published on a base that was not reached
}

// draw appends one batch of up to three entries.
func (l *stream) draw(t *rapid.T) {
	now := l.byOffset[l.tail-1]
	for range rapid.IntRange(1, 3).Draw(t, "entries") {
		switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
		case kind == 0 && now.Version > 0 && l.tail > 0:
			asOf := l.tail - 1 - rapid.Uint64Range(0, min(4, l.tail-1)).Draw(t, "lag")
			c := l.byOffset[asOf]
			if c.AsOf = asOf; c.Version > 0 {
				l.entries = append(l.entries, call{at: l.tail, carry: &c})
			}
			continue
		case kind == 1 && len(l.sent) > 0:
			now = l.publish(now, rapid.SampledFrom(l.sent).Draw(t, "copy"))
		default:
			id := fmt.Sprint("id", len(l.sent))
			base := now.Version + 1 - rapid.Uint64Range(0, min(3, now.Version+1)).Draw(t, "behind")
			l.future[id] = base > now.Version
			p := publish(id, base)
			l.sent = append(l.sent, p)
			now = l.publish(now, p)
		}
	}
	l.byOffset[l.tail] = now
	l.tail++
}

func (l *stream) publish(now record.Carry, p record.Publish) record.Carry {
	l.entries = append(l.entries, call{at: l.tail, publish: &p})
	if p.Base != now.Version || p.ID == now.ID {
		return now
	}
	l.adopted[p.ID] = p.Base + 1
	return record.Carry{Version: p.Base + 1, Hash: xxhash.Sum64(p.Text), Text: p.Text, ID: p.ID}
}

// reader reads the stream from its own position.
type reader struct {
	*State
	next uint64
	last uint64 // version seen last
}

// read folds the records of up to n offsets, or skips as many as lost.
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

// check compares the text in force with that of the whole log, and decisions
// with what became of the publish.
func (r *reader) check(t *rapid.T, l *stream, res Result, p record.Publish) {
	version, hash, _, _, ok := r.Current()
	if version < r.last || res.Version != version || res.Status == HashMismatch {
		t.Fatalf("version %d after %d, result %+v", version, r.last, res)
	}
	r.last = version
	// The offset being read may be folded in part; its end is checked later.
	if want := l.byOffset[r.AsOf()]; ok && r.AsOf() < r.next && (want.Version != version || want.Hash != hash) {
		t.Fatalf("version %d as of %d, the log says %d", version, r.AsOf(), want.Version)
	}
	for _, d := range append(res.Resolved, res.Decision) {
		made, adopted := l.adopted[d.ID]
		switch d.Status {
		case Adopted, Repeated:
			if made != d.CreatedVersion {
				t.Fatalf("%+v, but the log adopted it as %d", d, made)
			}
		case Conflict:
			if adopted && !l.future[d.ID] {
				t.Fatalf("%+v, but the log adopted it as %d", d, made)
			}
		}
	}
}

// Guards against readers that disagree about a version's text, that go back,
// or that misreport a publish, whatever part of the log each of them reads.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &stream{byOffset: map[uint64]record.Carry{}, adopted: map[string]uint64{}, future: map[string]bool{}}
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
				l.draw(t)
			default:
				r.read(t, l, rapid.Uint64Range(1, 8).Draw(t, "count"), false)
			}
		}
		agreeAfterCarry(t, l, readers)
	})
}

// agreeAfterCarry lets every reader read to a last carry and one more publish.
func agreeAfterCarry(t *rapid.T, l *stream, readers []*reader) {
	is := is.New(t)
	for _, r := range readers {
		r.read(t, l, l.tail, false)
	}
	if now := l.byOffset[l.tail-1]; l.tail > 0 && now.Version > 0 {
		now.AsOf = l.tail - 1
		l.entries = append(l.entries, call{at: l.tail, carry: &now})
		p := publish("last", now.Version)
		l.byOffset[l.tail] = l.publish(now, p)
		l.tail++
	}
	for _, r := range readers {
		r.read(t, l, l.tail, false)
		version, hash, _, _, _ := r.Current()
		is.Equal(version, l.byOffset[l.tail-1].Version)
		is.Equal(hash, l.byOffset[l.tail-1].Hash)
	}
}
