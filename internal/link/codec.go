package link

import (
	"bufio"
	"compress/flate"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// packBelow is the rate of a link, in bytes a second, below which messages are
	// compressed. A full message of calls takes such a link over 15 ms, many times
	// what its compression takes a small VM.
	packBelow = 1_000_000
	// packLevel uses matches with earlier messages, which are much alike. Levels
	// above it gain little; the lowest one forgets earlier messages.
	packLevel = 3
	// packedMark begins a compressed stream. An uncompressed one begins with the
	// length of its first object, which is not zero.
	packedMark = 0
)

// codec frames the objects of one connection. The dialling end decides whether
// they are compressed; the other one does as it does. All messages of a direction
// are one compressed stream.
type codec struct {
	plain  jsonrpc2.VarintObjectCodec
	packed atomic.Bool

	z    *flate.Writer // only used by WriteObject, one call at a time
	dec  *json.Decoder // only used by ReadObject, one call at a time
	read bool          // the first object was read
}

var _ jsonrpc2.ObjectCodec = (*codec)(nil)

func newCodec(packed bool) *codec {
	c := &codec{}
	c.packed.Store(packed)
	return c
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(w io.Writer, obj any) error {
	if !c.packed.Load() {
		return c.plain.WriteObject(w, obj)
	}
	if c.z == nil {
		if _, err := w.Write([]byte{packedMark}); err != nil {
			return err
		}
		var err error
		if c.z, err = flate.NewWriter(w, packLevel); err != nil {
			return err
		}
	}
	if err := json.NewEncoder(c.z).Encode(obj); err != nil {
		return err
	}
	return c.z.Flush()
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	if !c.read {
		first, err := r.Peek(1)
		if err != nil {
			return err
		}
		c.read = true
		if first[0] == packedMark {
			if _, err := r.Discard(1); err != nil {
				return err
			}
			c.packed.Store(true)
			c.dec = json.NewDecoder(flate.NewReader(r))
		}
	}
	if c.dec != nil {
		return c.dec.Decode(v)
	}
	return c.plain.ReadObject(r, v)
}
