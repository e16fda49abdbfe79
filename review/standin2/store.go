//go:build review2

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long a partition takes for one append, as the settings say.
const appendTime = 4 * time.Millisecond

// store is a stand-in of the platform's store. Each instance calls it through a gate and a proxy
// of its own.
type store struct {
	mu       sync.Mutex
	topics   map[string]*partition
	changed  chan struct{} // closed and replaced by each append
	onAppend func(part string, records []record)
}

type record struct {
	key   string
	value []byte
}

type appended struct {
	seq         int64
	offset, end int64
}

type partition struct {
	busy    sync.Mutex // held while an append is processed
	records []record
	epoch   int64
	last    []appended // newest appends of the epoch, at most five
	hasSeq  bool
	seq     int64
}

func newStore() *store {
	return &store{topics: map[string]*partition{}, changed: make(chan struct{})}
}

// partition returns a partition of a topic. The caller holds mu.
func (s *store) partition(name string) *partition {
	p := s.topics[name]
	if p == nil {
		p = &partition{}
		s.topics[name] = p
	}
	return p
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends one record as the operator or a worker does. A nil value removes the key.
func (s *store) put(topic, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	p.records = append(p.records, record{key, raw})
	s.wake()
}

func number(v string, fallback int64) int64 {
	if n, err := strconv.ParseInt(v, 10, 64); err == nil {
		return n
	}
	return fallback
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic") + "/" + q.Get("part")
	switch r.URL.Path {
	case "/-/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.append(w, name, q.Get("epoch"), q.Get("seq"), q.Get("at"), body)
	case "/-/log-read":
		s.read(w, r, name, int(number(q.Get("from"), 0)), int(number(q.Get("maxKb"), 1024))<<10, time.Duration(number(q.Get("waitMs"), 0))*time.Millisecond)
	case "/-/log-newest":
		s.list(w, name, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func decodeRecords(body []byte) ([]record, bool) {
	var out []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || int(body[4]) >= n {
			return nil, false
		}
		k := int(body[4])
		out = append(out, record{string(body[5 : 5+k]), slices.Clone(body[5+k : 4+n])})
		body = body[4+n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, name, epochText, seqText, at string, body []byte) {
	if strings.HasPrefix(name, "keyed.op/") || strings.HasPrefix(name, "keyed.servers/") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := decodeRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	p := s.partition(name)
	s.mu.Unlock()
	p.busy.Lock()
	defer p.busy.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(p.records))
	epoch, seq := number(epochText, -1), number(seqText, 0)
	if epoch >= 0 {
		if epoch < p.epoch {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == p.epoch && p.hasSeq {
			for _, a := range p.last {
				if a.seq == seq {
					writeJSON(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
					return
				}
			}
			if seq != p.seq+1 {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
				return
			}
		}
	}
	if at != "" && number(at, -1) != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if epoch >= 0 {
		if epoch > p.epoch {
			p.epoch, p.last, p.hasSeq = epoch, nil, false
		}
		p.hasSeq, p.seq = true, seq
	}
	p.records = append(p.records, records...)
	a := appended{seq, end, int64(len(p.records))}
	if epoch >= 0 {
		if p.last = append(p.last, a); len(p.last) > 5 {
			p.last = p.last[1:]
		}
	}
	if s.onAppend != nil {
		s.onAppend(name, records)
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from, limit int, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for over := wait <= 0; ; {
		s.mu.Lock()
		p, changed := s.partition(name), s.changed
		if len(p.records) > from || over {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(p.records) && len(out) < limit; i++ {
				rec := p.records[i]
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(out)))
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	p := s.partition(name)
	newest := map[string]int{}
	for i, rec := range p.records {
		newest[rec.key] = i
	}
	keys := []string{}
	for k, i := range newest {
		if len(p.records[i].value) > 0 && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, item{k, p.records[newest[k]].value, newest[k]})
	}
	end := len(p.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

// gate delays the store's answers to one instance.
type gate struct {
	next http.Handler

	mu     sync.Mutex
	answer time.Duration // added to each answer
}

func (g *gate) set(answer time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answer = answer
}

func (g *gate) state() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answer
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	answer := g.state()
	rec := &buffered{header: http.Header{}}
	g.next.ServeHTTP(rec, r)
	time.Sleep(answer)
	for k, v := range rec.header {
		w.Header()[k] = v
	}
	if rec.status == 0 {
		rec.status = http.StatusOK
	}
	w.WriteHeader(rec.status)
	_, _ = w.Write(rec.body)
}

type buffered struct {
	header http.Header
	status int
	body   []byte
}

func (b *buffered) Header() http.Header { return b.header }

func (b *buffered) WriteHeader(status int) { b.status = status }

func (b *buffered) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// serve serves a handler on a free port of an address, or on a given port.
func serve(address string, h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	return srv, ln.Addr().String(), nil
}
