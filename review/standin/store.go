package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings of the small sites.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
	maxQueued   = 2 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
)

// store is a stand-in for the platform's log store.
type store struct {
	rec *recorder

	mu       sync.Mutex
	topics   map[string]*partition
	appended chan struct{} // closed and replaced by each append
	busy     bool          // every call is answered with 503
	tooLarge int           // appends that were rejected because of their size
}

type partition struct {
	records   [][]byte
	producers map[string]*producer
	freeAt    time.Time // appends are processed one at a time
}

// producer is the state of one producer on one partition.
type producer struct {
	epoch, seq int64
	last       []answered // newest last, five at most
}

type answered struct {
	seq  int64
	body map[string]any
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, topics: map[string]*partition{}, appended: make(chan struct{})}
}

func (s *store) partition(name string) *partition {
	p := s.topics[name]
	if p == nil {
		p = &partition{producers: map[string]*producer{}}
		s.topics[name] = p
	}
	return p
}

func (s *store) setBusy(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = on
}

func (s *store) rejectedAsTooLarge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}

// put appends a record as the operator or a worker does. A nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return
	}
	p := s.partition(topic + "/0")
	p.records = append(p.records, append(append([]byte{byte(len(key))}, key...), raw...))
	s.wake()
}

func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := q.Get("topic") + "/" + q.Get("part")
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, q.Get("topic"), name, q, body)
	case "/-/log-read":
		s.read(w, r, name)
	case "/-/log-newest":
		s.newest(w, name, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(q map[string][]string, name string, fallback int64) int64 {
	if v := q[name]; len(v) > 0 {
		if n, err := strconv.ParseInt(v[0], 10, 64); err == nil {
			return n
		}
	}
	return fallback
}

func (s *store) append(w http.ResponseWriter, topic, name string, q map[string][]string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	tooLarge := len(body) > callBytes
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		tooLarge = tooLarge || n > recordBytes
		records = append(records, slices.Clone(rest[4:4+n]))
		rest = rest[4+n:]
	}
	s.mu.Lock()
	if tooLarge {
		s.tooLarge++
		first := s.tooLarge == 1
		s.mu.Unlock()
		if first {
			largest := 0
			for _, r := range records {
				largest = max(largest, len(r))
			}
			s.rec.log("store: append rejected, nothing stored: largest record %d bytes, limit recordBytes=%d; call %d bytes, limit callBytes=%d", largest, recordBytes, len(body), callBytes)
		}
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]any{})
		return
	}
	p := s.partition(name)
	now := time.Now()
	start := now
	if p.freeAt.After(now) {
		start = p.freeAt
	}
	if start.Sub(now) > maxQueued {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.freeAt = start.Add(appendTime)
	done := p.freeAt
	s.mu.Unlock()
	time.Sleep(time.Until(done))

	s.mu.Lock()
	defer s.mu.Unlock()
	var pr *producer
	epoch, seq := number(q, "epoch", -1), number(q, "seq", 0)
	if id := q["producer"]; len(id) > 0 && epoch >= 0 {
		pr = p.producers[id[0]]
		if pr == nil {
			pr = &producer{epoch: -1}
			p.producers[id[0]] = pr
		}
		switch {
		case epoch < pr.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == pr.epoch:
			for _, a := range pr.last {
				if a.seq == seq {
					writeJSON(w, http.StatusOK, a.body)
					return
				}
			}
			if seq != pr.seq+1 {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": pr.seq + 1})
				return
			}
		}
	}
	end := int64(len(p.records))
	if at := number(q, "at", -1); at >= 0 && at != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	p.records = append(p.records, records...)
	out := map[string]any{"offset": end, "end": len(p.records)}
	if pr != nil {
		if epoch > pr.epoch {
			pr.last = nil
		}
		pr.epoch, pr.seq = epoch, seq
		pr.last = append(pr.last, answered{seq, out})
		if len(pr.last) > 5 {
			pr.last = pr.last[1:]
		}
	}
	s.wake()
	writeJSON(w, http.StatusOK, out)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from := int(number(q, "from", 0))
	wait := time.Duration(number(q, "waitMs", 0)) * time.Millisecond
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		p, appended := s.partition(name), s.appended
		if len(p.records) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			limit := int(number(q, "maxKb", 1024)) << 10
			for i, rec := range p.records[min(from, len(p.records)):] {
				if i > 0 && len(out)+len(rec) > limit {
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
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]item{}
	for i, rec := range p.records {
		n := int(rec[0])
		byKey[string(rec[1:1+n])] = item{string(rec[1 : 1+n]), rec[1+n:], i}
	}
	var items []item
	for _, i := range byKey {
		if len(i.Value) > 0 && i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page, size := []item{}, 0
	for _, i := range items {
		if len(page) >= pageItems || len(page) > 0 && size+len(i.Value) > pageBytes {
			break
		}
		page, size = append(page, i), size+len(i.Value)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": page, "hasMore": len(page) < len(items), "end": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // an error means that the client has disconnected
}
