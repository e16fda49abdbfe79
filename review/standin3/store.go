package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	appendTime       = 4 * time.Millisecond // platform.appendMs of the settings
	heartbeat        = 1500 * time.Millisecond
	missedHeartbeats = 3 // after which the platform removes a worker's entry
	newestPageLength = 500
	defaultReadKb    = 1024
	repeatedAppends  = 5 // for which an append gets its first answer again
	workersTopic     = "keyed.servers"
	configTopic      = "keyed.op"
)

// store is the platform's log store in memory.
type store struct {
	rec *record

	mu       sync.Mutex
	parts    map[string]*partition
	appended chan struct{} // closed and replaced by each append
	lastBeat map[string]time.Time
	// lastWriter is the instance that was the last to write under a condition.
	lastWriter string
	// silenceKey is a key at whose first append the store goes silent for silenceFor: it
	// answers no call that it gets meanwhile, and carries none of them out.
	silenceKey  string
	silenceFor  time.Duration
	silentUntil time.Time
}

// partition is one partition of a topic.
type partition struct {
	records   [][]byte // key length, key and value in keyed topics
	producers map[string]*producer
}

// producer is the state of a fenced writer in one partition.
type producer struct {
	epoch, seq int64
	hasSeq     bool
	answers    []appendAnswer // to its last appends
}

type appendAnswer struct {
	Seq    int64 `json:"-"`
	Offset int   `json:"offset"`
	End    int   `json:"end"`
}

func newStore(rec *record) *store {
	return &store{rec: rec, parts: map[string]*partition{}, appended: make(chan struct{}), lastBeat: map[string]time.Time{}}
}

// partition returns a partition, which is created on first use. The caller holds mu.
func (s *store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &partition{producers: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

func (s *store) wakeReaders() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// put appends a keyed record as the operator or a worker does. A nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value) // only maps of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.records = append(p.records, slices.Concat([]byte{byte(len(key))}, []byte(key), raw))
	s.wakeReaders()
}

// beat writes a worker's entry.
func (s *store) beat(id string, entry any) {
	s.put(workersTopic, id, entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastBeat[id] = time.Now()
}

// expireEntries removes the entries of silent workers until stop is closed.
func (s *store) expireEntries(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		s.mu.Lock()
		var silent []string
		for id, at := range s.lastBeat {
			if time.Since(at) > missedHeartbeats*heartbeat {
				silent = append(silent, id)
				delete(s.lastBeat, id)
			}
		}
		s.mu.Unlock()
		for _, id := range silent {
			s.put(workersTopic, id, nil)
			s.rec.add("platform", "removes the entry of worker %s", id)
		}
	}
}

// handler serves the calls of one instance, which has an address of the store of its own.
func (s *store) handler(instance string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, instance) })
}

// writer returns the instance that was the last to write under a condition.
func (s *store) writer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// goSilent has the store go silent when a record with a key is appended.
func (s *store) goSilent(key string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenceKey, s.silenceFor = key, d
}

// silent reports whether a call gets no answer.
func (s *store) silent(path string, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silenceKey != "" && path == "/-/log-append" && bytes.Contains(body, []byte(s.silenceKey)) {
		s.silenceKey, s.silentUntil = "", time.Now().Add(s.silenceFor)
		s.rec.add("platform", "store is silent for %s", s.silenceFor)
	}
	return time.Now().Before(s.silentUntil)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, instance string) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.silent(r.URL.Path, body) {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, q, body, instance)
	case "/-/log-read":
		s.read(w, r, q)
	case "/-/log-newest":
		s.newest(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(q url.Values, name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(q.Get(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

func (s *store) append(w http.ResponseWriter, q url.Values, body []byte, instance string) {
	if t := q.Get("topic"); t == workersTopic || t == configTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	name, epoch, seq := q.Get("producer"), number(q, "epoch", 0), number(q, "seq", 0)
	writer := p.producers[name]
	if name != "" {
		if writer == nil {
			writer = &producer{}
			p.producers[name] = writer
		}
		switch {
		case epoch < writer.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == writer.epoch && writer.hasSeq && seq != writer.seq+1:
			for _, a := range writer.answers {
				if a.Seq == seq {
					answer(w, http.StatusOK, a)
					return
				}
			}
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": writer.seq + 1})
			return
		}
	}
	if at := number(q, "at", -1); at >= 0 && at != int64(len(p.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	a := appendAnswer{Seq: seq, Offset: len(p.records)}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.records = append(p.records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	a.End = len(p.records)
	if writer != nil {
		s.lastWriter = instance
		if epoch > writer.epoch {
			writer.answers = nil
		}
		writer.epoch, writer.seq, writer.hasSeq = epoch, seq, true
		writer.answers = append(writer.answers, a)
		writer.answers = writer.answers[max(0, len(writer.answers)-repeatedAppends):]
	}
	s.wakeReaders()
	answer(w, http.StatusOK, a)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, q url.Values) {
	from, limit := int(number(q, "from", 0)), int(number(q, "maxKb", defaultReadKb))<<10
	deadline := time.After(time.Duration(number(q, "waitMs", 0)) * time.Millisecond)
	for waited := number(q, "waitMs", 0) == 0; ; {
		s.mu.Lock()
		p, appended := s.partition(q.Get("topic"), q.Get("part")), s.appended
		if len(p.records) > from || waited {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range p.records[min(from, len(p.records)):] {
				if len(out) > readStart && len(out)+len(rec) > limit {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-deadline:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// readStart is the size of the two offsets before the records of a read.
const readStart = 16

func (s *store) newest(w http.ResponseWriter, q url.Values) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	newest := map[string]item{}
	for i, rec := range p.records {
		n := int(rec[0])
		newest[string(rec[1:1+n])] = item{string(rec[1 : 1+n]), rec[1+n:], i}
	}
	end := len(p.records)
	s.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		if len(i.Value) > 0 && i.Key > q.Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > newestPageLength
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), newestPageLength)], "hasMore": more, "end": end})
}

// answer writes a response. A write error means that the caller has disconnected.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
