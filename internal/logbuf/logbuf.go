// Package logbuf writes log lines without ever holding up the writer: lines go
// to a bounded buffer, and those that don't fit are dropped and counted.
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
	// capacity bounds the buffered bytes. It holds a second of lines at the
	// highest load.
	capacity = 512 << 10
	// chunk bounds one write, which ends with a line. Writes of up to this size
	// to a pipe are not mixed with those of other processes.
	chunk = 4096
	// flushInterval bounds the age of a buffered line.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	done chan struct{}
	end  chan struct{}

	mu      sync.Mutex
	buf     []byte
	spare   []byte
	lost    uint64
	dropped atomic.Uint64
}

// New returns a writer that flushes to out until it is closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{}), end: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one whole line. It never fails and never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > capacity {
		w.lost++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

// Dropped returns how many lines were lost so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is buffered.
func (w *Writer) Close() {
	close(w.done)
	<-w.end
}

func (w *Writer) run() {
	defer close(w.end)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.done:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	out, lost := w.buf, w.lost
	w.buf, w.spare, w.lost = w.spare[:0], out, 0
	w.mu.Unlock()
	if lost > 0 {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", lost)
	}
	for len(out) > 0 {
		n := len(out)
		if n > chunk {
			if n = bytes.LastIndexByte(out[:chunk], '\n') + 1; n == 0 {
				n = len(out)
			}
		}
		// Nobody can be told that the log's own output is gone.
		_, _ = w.out.Write(out[:n])
		out = out[n:]
	}
}
