package publication

import (
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/record"
)

// Divisors of the log's retention. A carry must be written before half of the
// retention has passed. Jitter spreads the carries of several owners, so that the
// first one makes the others unnecessary.
const (
	carryDivisor            = 4  // earliest carry after a quarter, latest before half of the retention
	jitterDivisor           = 4  // range of the jitter
	unknownAgeJitterDivisor = 64 // range of the jitter if the age of the last write is unknown
)

// carryClock holds the times that determine when a carry is due. They are
// model.Never if not set.
type carryClock struct {
	lastWritten         model.Time // last time the current text was written to the log
	ageUnknownSince     model.Time // first CarryDue call while lastWritten is not set
	versionUnknownSince model.Time // first CarryDue call while the fold has no version
}

func newCarryClock() carryClock {
	return carryClock{lastWritten: model.Never, ageUnknownSince: model.Never, versionUnknownSince: model.Never}
}

// NoteWritten records that the current text was written to the log now: its publish
// or a carry was read at the tail, or a carry was just sent. It is not called for
// records read while catching up, because their age is unknown.
func (s *State) NoteWritten(now model.Time) { s.carry.lastWritten = now }

// CarryDue reports whether an owner must write the current text to the log again.
// Jitter is in [0,1) and fixed for the instance.
//
// Normally no carry is written while the fold has no version, because the content
// of the lost records is unknown. If no carry and no peer has provided a version
// for a whole retention period, no remaining reader has seen those records. Then a
// recovery carry writes the current text as it is; without it, no publish could
// be decided any more.
func (s *State) CarryDue(now model.Time, retention time.Duration, jitter float64) bool {
	c := &s.carry
	if s.current.version == 0 || !s.fold.started {
		return false
	}
	jitterDelay := func(divisor time.Duration) time.Duration { return time.Duration(jitter * float64(retention/divisor)) }
	if !s.fold.versionKnown {
		c.versionUnknownSince = min(c.versionUnknownSince, now)
		return now.Sub(c.versionUnknownSince) >= retention+jitterDelay(jitterDivisor)
	}
	c.versionUnknownSince = model.Never
	if s.fold.version != s.current.version {
		return false // the fold has not caught up with a peer's text
	}
	if c.lastWritten == model.Never {
		c.ageUnknownSince = min(c.ageUnknownSince, now)
		return now.Sub(c.ageUnknownSince) >= jitterDelay(unknownAgeJitterDivisor)
	}
	return now.Sub(c.lastWritten) >= retention/carryDivisor+jitterDelay(jitterDivisor)
}

// Carry returns the carry record to write when one is due.
func (s *State) Carry() record.Carry {
	cur := s.current
	c := record.Carry{Version: cur.version, Hash: cur.hash, Text: cur.text, ID: cur.id, AsOf: cur.asOf}
	if !s.fold.versionKnown && s.fold.nextOffset > 0 {
		c.AsOf = s.fold.nextOffset - 1
	}
	return c
}
