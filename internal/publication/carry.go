package publication

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Parts of the log's retention. A carry has to be written before half of the
// retention has passed; the jitter lets one owner's carry spare the others'.
const (
	carryPart  = 4  // earliest carry after a quarter, latest before a half
	jitterPart = 4  // range of the jitter
	unseenPart = 64 // range of the jitter if the age of the last write is not known
)

// carryClock holds the times that carries depend on, model.Never if not known.
type carryClock struct {
	written model.Time // the text in force was last written to the log
	asked   model.Time // first asked while written was not known
	lost    model.Time // first asked while the fold had no version
}

func newCarryClock() carryClock {
	return carryClock{written: model.Never, asked: model.Never, lost: model.Never}
}

// NoteWritten notes that the log holds the text in force since now: its
// publish or a carry was read at the tail, or a carry was just sent. Records
// read while catching up don't count, since their age is not known.
func (s *State) NoteWritten(now model.Time) { s.carry.written = now }

// CarryDue reports whether an owner has to write the text in force again.
// Jitter lies in [0,1) and is fixed for the instance.
//
// A fold that lost its version writes none: it can't say what the lost records
// held. If no carry and no peer has helped for a whole retention, no reader
// that remains has seen those records, and a recovery carry puts the text in
// force on record as it is. Otherwise nothing could ever be published again.
func (s *State) CarryDue(now model.Time, retention time.Duration, jitter float64) bool {
	c := &s.carry
	if s.force.version == 0 || !s.fold.started {
		return false
	}
	spread := func(part time.Duration) time.Duration { return time.Duration(jitter * float64(retention/part)) }
	if !s.fold.known {
		c.lost = min(c.lost, now)
		return now.Sub(c.lost) >= retention+spread(jitterPart)
	}
	c.lost = model.Never
	if s.fold.version != s.force.version {
		return false // the reading has not caught up with a peer's text
	}
	if c.written == model.Never {
		c.asked = min(c.asked, now)
		return now.Sub(c.asked) >= spread(unseenPart)
	}
	return now.Sub(c.written) >= retention/carryPart+spread(jitterPart)
}

// Carry returns the carry to write when one is due.
func (s *State) Carry() record.Carry {
	f := s.force
	c := record.Carry{Version: f.version, Hash: f.hash, Text: f.text, ID: f.id, AsOf: f.asOf}
	if !s.fold.known && s.fold.upTo > 0 {
		c.AsOf = s.fold.upTo - 1
	}
	return c
}
