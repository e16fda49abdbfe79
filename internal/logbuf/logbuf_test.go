package logbuf

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.out.Write(b)
}

// A blocked output must neither block the writer nor let the buffer grow without
// bound, and dropped lines must be counted.
func TestBlockedOutputDropsLines(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	begin := time.Now()
	for range 4 * maxBufferBytes / len(line) {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(begin) < 5*time.Second)
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
	is.True(out.out.Len() <= 3*maxBufferBytes)
	is.True(strings.Contains(out.out.String(), "log lines dropped"))
	for _, l := range strings.Split(strings.TrimSpace(out.out.String()), "\n") {
		is.True(len(l) == 99 || strings.Contains(l, "dropped")) // no line is truncated
	}
}
