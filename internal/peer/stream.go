package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts bytes of frames in each direction. A frame whose write fails
// counts as sent.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// headerSize is the size of a frame's length prefix, big endian.
const headerSize = 4

// stream is a jsonrpc2.ObjectStream with length-prefixed JSON frames, a size
// limit, and byte counts. Reads come from one goroutine, and so do writes.
type stream struct {
	conn    net.Conn
	r       *bufio.Reader
	idle    time.Duration // a read without a frame for this long fails; zero: never
	write   time.Duration // bounds the write of one frame
	traffic atomic.Pointer[Traffic]
	early   int // bytes received before the peer's data centre was known
	begun   atomic.Uint64
}

func newStream(conn net.Conn, idle, write time.Duration) *stream {
	return &stream{conn: conn, r: bufio.NewReader(conn), idle: idle, write: write}
}

// attribute sets the counters of the connection. It is called by the reading
// goroutine, or before the first read.
func (s *stream) attribute(t *Traffic) {
	if s.traffic.CompareAndSwap(nil, t) {
		t.Received.Add(uint64(s.early))
	}
}

// WriteObject writes one frame.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > frameLimit {
		return &FrameSizeError{Size: len(body)}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, headerSize+len(body)), uint32(len(body)))
	frame = append(frame, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.write)); err != nil {
		return err
	}
	s.begun.Add(1)
	// Counted before the write, so that a reply never arrives uncounted.
	if t := s.traffic.Load(); t != nil {
		t.Sent.Add(uint64(len(frame)))
	}
	_, err = s.conn.Write(frame)
	return err
}

// ReadObject reads one frame.
func (s *stream) ReadObject(v any) error {
	if s.idle > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
			return err
		}
	}
	var header [headerSize]byte
	if _, err := io.ReadFull(s.r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > frameLimit {
		return &FrameSizeError{Size: int(size)}
	}
	// The buffer grows with the data that arrives, so that a false length
	// prefix reserves no memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, s.r, int64(size)); err != nil {
		return err
	}
	if t := s.traffic.Load(); t != nil {
		t.Received.Add(uint64(headerSize + size))
	} else {
		s.early += headerSize + int(size)
	}
	return json.Unmarshal(body.Bytes(), v)
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
