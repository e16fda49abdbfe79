package driver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
)

// header is the first line of an event file.
type header struct {
	Config core.Config `json:"config"`
}

// line is one event with the hash of the effects that it caused.
type line[E core.Event | json.RawMessage] struct {
	Now   model.Time `json:"now"`
	Event E          `json:"event"`
	Hash  string     `json:"hash"` // xxhash of the effects as JSON
}

// recorder writes an event file. It flushes at each tick, so that a crash loses the
// events of at most one tick interval.
type recorder struct {
	w   *bufio.Writer
	enc *json.Encoder
	err error
}

func newRecorder(w io.Writer, cfg core.Config) *recorder {
	r := &recorder{w: bufio.NewWriter(w)}
	r.enc = json.NewEncoder(r.w)
	r.err = r.enc.Encode(header{Config: cfg})
	return r
}

// encodeEvent encodes an event. It must be called before the event is passed to
// Step, since the reducer may keep and change parts of the event.
func (r *recorder) encodeEvent(ev core.Event) json.RawMessage {
	b, err := json.Marshal(ev)
	if r.err == nil {
		r.err = err
	}
	return b
}

// write appends one line. The error is an EventFileError.
func (r *recorder) write(now model.Time, event json.RawMessage, flush bool, effects []core.Effect) error {
	hash, err := hashEffects(effects)
	if r.err == nil {
		r.err = err
	}
	if r.err == nil {
		r.err = r.enc.Encode(line[json.RawMessage]{Now: now, Event: event, Hash: hash})
	}
	if r.err == nil && flush {
		r.err = r.w.Flush()
	}
	if r.err != nil {
		return &EventFileError{Cause: r.err}
	}
	return nil
}

func (r *recorder) close() error {
	if err := r.w.Flush(); err != nil {
		return &EventFileError{Cause: err}
	}
	return nil
}

func hashEffects(effects []core.Effect) (string, error) {
	b, err := json.Marshal(effects)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(b)), nil
}

// Replay passes the events of an event file to a new reducer and compares the
// effects with the recorded ones. It returns the number of events that matched.
// The error is an EventFileError or, at the first difference, a ReplayError.
func Replay(r io.Reader, parse func([]byte) (*model.Text, error)) (int, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	var h header
	if err := dec.Decode(&h); err != nil {
		return 0, &EventFileError{Line: 1, Cause: err}
	}
	c := core.New(h.Config, parse)
	for n := 0; ; n++ {
		var l line[core.Event]
		if err := dec.Decode(&l); errors.Is(err, io.EOF) {
			return n, nil
		} else if err != nil {
			return n, &EventFileError{Line: n + 2, Cause: err}
		}
		if p := l.Event.Publish; p != nil {
			parsed, err := parse(p.Text)
			if err != nil {
				return n, &EventFileError{Line: n + 2, Cause: err}
			}
			p.Parsed = parsed
		}
		got, err := hashEffects(c.Step(l.Now, l.Event))
		if err != nil {
			return n, &EventFileError{Line: n + 2, Cause: err}
		}
		if got != l.Hash {
			return n, &ReplayError{Line: n + 2, Want: l.Hash, Got: got}
		}
	}
}
