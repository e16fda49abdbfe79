package record_test

import (
	"testing"

	"github.com/gentianpick/gentianpick/internal/record"
)

// FuzzDecode guards against a panic on arbitrary log records, and against a decoded
// batch that can't be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","seq":1,"writer":"w","entries":[{"claim":{"epoch":1,"owner":{},"electors":null}}]}`))
	f.Add([]byte(`{"entries":[{"snapshot":{"parts":1,"entries":[{"finish":{"answer":{"outcome":"done"}}}]}}]}`))
	f.Add([]byte(`{"entries":[{"accept":{"submission":{"tasks":-1},"deadline_at":"0001-01-01T00:00:00Z"}}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := record.Decode(data)
		if err != nil {
			return
		}
		if _, err := record.Encode(b); err != nil {
			t.Fatal(err)
		}
	})
}
