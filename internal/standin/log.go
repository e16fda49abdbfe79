package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/platform"
)

// Limits of one append and one read. Snapshots are written in parts below the
// append limit.
const (
	maxPayload     = 1 << 20 // bytes
	maxReadBytes   = 4 << 20 // payload bytes of one answer
	maxReadRecords = 1000    // records of one answer
)

// LogConfig is the configuration of a Log.
type LogConfig struct {
	Retention   time.Duration // records older than this are dropped; zero: kept
	MaxRecords  int           // records kept in each stream; zero: no limit
	AppendLimit int           // appends a second over all streams; zero: no limit
	FirstOffset uint64        // offset of a stream's first record
}

// Log is a set of append-only streams. It is safe for concurrent use.
type Log struct {
	cfg     LogConfig
	clock   Clock
	mu      sync.Mutex
	streams map[string]*stream
	tokens  float64 // appends that are allowed now
	refill  time.Duration
	changed chan struct{} // closed at the next append
	appends int
}

type stream struct {
	first   uint64
	records []entry
}

type entry struct {
	payload []byte
	at      time.Duration
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig, clock Clock) *Log {
	return &Log{
		cfg: cfg, clock: clock, streams: map[string]*stream{},
		tokens: float64(cfg.AppendLimit), refill: clock(), changed: make(chan struct{}),
	}
}

// Append adds a record to a stream or returns a RefusedError.
func (l *Log) Append(name string, payload []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(payload) > maxPayload {
		return 0, &platform.RefusedError{Reason: "payload is above the limit"}
	}
	now := l.clock()
	if !l.allow(now) {
		return 0, &platform.RefusedError{Reason: "append limit"}
	}
	s := l.stream(name)
	l.retain(s, now)
	s.records = append(s.records, entry{payload: slices.Clone(payload), at: now})
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return s.first + uint64(len(s.records)) - 1, nil
}

// allow takes one token. The bucket holds the appends of one second.
func (l *Log) allow(now time.Duration) bool {
	if l.cfg.AppendLimit == 0 {
		return true
	}
	limit := float64(l.cfg.AppendLimit)
	l.tokens = min(limit, l.tokens+limit*(now-l.refill).Seconds())
	l.refill = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Read returns the records from an offset on without waiting. A from outside
// the retained range is moved to its nearer end.
func (l *Log) Read(name string, from uint64) platform.ReadResult {
	r, _ := l.read(name, from)
	return r
}

func (l *Log) read(name string, from uint64) (platform.ReadResult, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.retain(s, l.clock())
	r := platform.ReadResult{First: s.first, Tail: s.first + uint64(len(s.records))}
	r.Next = min(max(from, r.First), r.Tail)
	for size := 0; r.Next < r.Tail && len(r.Records) < maxReadRecords; r.Next++ {
		p := s.records[r.Next-s.first].payload
		if size += len(p); size > maxReadBytes && len(r.Records) > 0 {
			break
		}
		r.Records = append(r.Records, platform.Record{Offset: r.Next, Payload: p})
	}
	return r, l.changed
}

// ReadWait is Read that waits, in real time, until there is a record, wait has
// passed or ctx ends.
func (l *Log) ReadWait(ctx context.Context, name string, from uint64, wait time.Duration) platform.ReadResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r, changed := l.read(name, from)
		if len(r.Records) > 0 || wait <= 0 {
			return r
		}
		select {
		case <-changed:
		case <-timer.C:
			return r
		case <-ctx.Done():
			return r
		}
	}
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: l.cfg.FirstOffset}
		l.streams[name] = s
	}
	return s
}

// retain drops the records that are past the retention.
func (l *Log) retain(s *stream, now time.Duration) {
	n := 0
	if l.cfg.MaxRecords > 0 {
		n = max(0, len(s.records)-l.cfg.MaxRecords)
	}
	for l.cfg.Retention > 0 && n < len(s.records) && now-s.records[n].at > l.cfg.Retention {
		n++
	}
	s.first += uint64(n)
	s.records = slices.Delete(s.records, 0, n)
}
