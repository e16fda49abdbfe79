package logbuf

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is an output that never takes anything until it is released.
type stuck struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.out.Write(b)
}

// An output that does not read must neither hold the writer up nor use up the
// memory, and the lines that are lost must be counted.
func TestStuckOutput(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	begin := time.Now()
	for range 4 * capacity / len(line) {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(begin) < 5*time.Second)
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
	is.True(out.out.Len() <= 3*capacity)
	is.True(strings.Contains(out.out.String(), "log lines dropped"))
	for _, l := range strings.Split(strings.TrimSpace(out.out.String()), "\n") {
		is.True(len(l) == 99 || strings.Contains(l, "dropped")) // no line is cut
	}
}
