// Package logbuf writes log lines without ever blocking the writer: lines go to a
// bounded buffer, and lines that don't fit are dropped and counted.
package logbuf

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferBytes bounds the buffer, which holds a second of lines at the highest
	// load.
	maxBufferBytes = 512 << 10
	// maxWriteBytes bounds one write, which ends at the end of a line. Writes of up to
	// this size to a pipe are atomic, so lines of several processes don't mix.
	maxWriteBytes = 4096
	// flushInterval is the longest time that a line is buffered.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines and writes them in the background. It is safe for concurrent
// use.
type Writer struct {
	out     io.Writer
	closing chan struct{}
	flushed chan struct{}

	mu         sync.Mutex
	buf        []byte
	spare      []byte
	unreported uint64
	dropped    atomic.Uint64
}

// New returns a writer that flushes to out until it is closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, closing: make(chan struct{}), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one complete line. It never fails and never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > maxBufferBytes {
		w.unreported++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close flushes the buffer and stops the background writes.
func (w *Writer) Close() {
	close(w.closing)
	<-w.flushed
}

func (w *Writer) run() {
	defer close(w.flushed)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	out, dropped := w.buf, w.unreported
	w.buf, w.spare, w.unreported = w.spare[:0], out, 0
	w.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", dropped)
	}
	for len(out) > 0 {
		n := len(out)
		if n > maxWriteBytes {
			if n = bytes.LastIndexByte(out[:maxWriteBytes], '\n') + 1; n == 0 {
				n = len(out)
			}
		}
		// A failure of the log's own output can't be logged.
		_, _ = w.out.Write(out[:n])
		out = out[n:]
	}
}
