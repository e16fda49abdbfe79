// Command standin3 plays the cases of the review: it starts instances of the scheduler as
// processes of their own, and is their platform, their workers and their callers.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	begin time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f}, nil
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.begin).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
