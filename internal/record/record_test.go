package record

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// batchOf returns a batch with n intents.
func batchOf(n int) Batch {
	b := Batch{ID: "a-1", Writer: "a", Seq: 1}
	for i := range n {
		b.Entries = append(b.Entries, Entry{Intent: &Intent{
			Epoch: 3, Service: "tray-booking", Key: model.Key(fmt.Sprint("key-", i)),
			Job: model.JobID(fmt.Sprintf("tartu/k%032d", i)), Task: model.TaskID(fmt.Sprintf("tartu/k%032d/0/%d", i, i)),
		}})
	}
	return b
}

// Guards against a batch that doesn't decode to itself, whether small and
// uncompressed or large and compressed, and against encodings that differ from run
// to run.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, 20, 400} {
		b := batchOf(n)
		p, err := Encode(b)
		is.NoErr(err)
		again, err := Encode(b)
		is.NoErr(err)
		is.True(bytes.Equal(p, again)) // a replay must give the same bytes
		got, err := Decode(p)
		is.NoErr(err)
		is.Equal(got, b)
	}
}

// Guards against damaged records, or records of other programs, that are not
// reported as a DecodeError.
func TestDecodeRejectsInvalidPayload(t *testing.T) {
	p, err := Encode(batchOf(50))
	is.New(t).NoErr(err)
	for _, bad := range [][]byte{nil, []byte("{"), []byte("x"), p[:len(p)/2]} {
		is := is.New(t)
		_, err := Decode(bad)
		var de *DecodeError
		is.True(err != nil)
		is.True(asDecodeError(err, &de))
	}
}

func asDecodeError(err error, out **DecodeError) bool {
	de, ok := err.(*DecodeError)
	*out = de
	return ok
}

// BenchmarkEncode reports the payload size of an append by its number of intents.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{1, 5, 50} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			batch := batchOf(n)
			size := 0
			for b.Loop() {
				p, err := Encode(batch)
				if err != nil {
					b.Fatal(err)
				}
				size = len(p)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
