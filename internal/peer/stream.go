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

// Traffic counts the bytes of frames in each direction. A frame whose write fails
// counts as sent.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// headerSize is the size in bytes of a frame's big-endian length prefix.
const headerSize = 4

// stream is a jsonrpc2.ObjectStream with length-prefixed JSON frames, a size
// limit, and byte counters. One goroutine reads and one goroutine writes.
type stream struct {
	conn              net.Conn
	reader            *bufio.Reader
	idleTimeout       time.Duration // of a read of one frame; zero: none
	writeTimeout      time.Duration // of the write of one frame
	traffic           atomic.Pointer[Traffic]
	unattributedBytes int // received before the peer's data centre was known
	startedWrites     atomic.Uint64
}

func newStream(conn net.Conn, idleTimeout, writeTimeout time.Duration) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), idleTimeout: idleTimeout, writeTimeout: writeTimeout}
}

// setTraffic sets the counters of the connection and adds the bytes received so far.
// It must be called by the reading goroutine or before the first read.
func (s *stream) setTraffic(t *Traffic) {
	if s.traffic.CompareAndSwap(nil, t) {
		t.Received.Add(uint64(s.unattributedBytes))
	}
}

// WriteObject writes one frame.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return &FrameSizeError{Size: len(body)}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, headerSize+len(body)), uint32(len(body)))
	frame = append(frame, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	s.startedWrites.Add(1)
	// Count before the write, so that the request is counted when its reply
	// arrives.
	if t := s.traffic.Load(); t != nil {
		t.Sent.Add(uint64(len(frame)))
	}
	_, err = s.conn.Write(frame)
	return err
}

// ReadObject reads one frame.
func (s *stream) ReadObject(v any) error {
	if s.idleTimeout > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
			return err
		}
	}
	var header [headerSize]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return &FrameSizeError{Size: int(size)}
	}
	// The buffer grows with the received data, so that a wrong length prefix
	// allocates no memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, s.reader, int64(size)); err != nil {
		return err
	}
	if t := s.traffic.Load(); t != nil {
		t.Received.Add(uint64(headerSize + size))
	} else {
		s.unattributedBytes += headerSize + int(size)
	}
	return json.Unmarshal(body.Bytes(), v)
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
