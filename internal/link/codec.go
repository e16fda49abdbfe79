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
	// compressBelow is the bandwidth of a link, in bytes per second, below which
	// messages are compressed. Such a link needs more than 15 ms for a full batch of
	// calls, many times what a small VM needs to compress it.
	compressBelow = 1_000_000
	// compressionLevel finds matches in earlier messages, which are very similar. Level
	// 1 does not, and higher levels gain little.
	compressionLevel = 3
	// compressedMarker is the first byte of a compressed stream. An uncompressed stream
	// starts with the length of its first object, which is never zero.
	compressedMarker = 0
)

// codec frames the objects of one connection. The dialling end decides whether they
// are compressed, and the accepting end follows once it has read the first byte. All
// messages of one direction form a single compressed stream.
type codec struct {
	plain      jsonrpc2.VarintObjectCodec
	compressed atomic.Bool

	deflater    *flate.Writer // only used by WriteObject, one call at a time
	decoder     *json.Decoder // only used by ReadObject, one call at a time
	formatKnown bool          // the first byte was read
}

var _ jsonrpc2.ObjectCodec = (*codec)(nil)

func newCodec(compressed bool) *codec {
	c := &codec{}
	c.compressed.Store(compressed)
	return c
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(w io.Writer, obj any) error {
	if !c.compressed.Load() {
		return c.plain.WriteObject(w, obj)
	}
	if c.deflater == nil {
		if _, err := w.Write([]byte{compressedMarker}); err != nil {
			return err
		}
		var err error
		if c.deflater, err = flate.NewWriter(w, compressionLevel); err != nil {
			return err
		}
	}
	if err := json.NewEncoder(c.deflater).Encode(obj); err != nil {
		return err
	}
	return c.deflater.Flush()
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	if !c.formatKnown {
		first, err := r.Peek(1)
		if err != nil {
			return err
		}
		c.formatKnown = true
		if first[0] == compressedMarker {
			if _, err := r.Discard(1); err != nil {
				return err
			}
			c.compressed.Store(true)
			c.decoder = json.NewDecoder(flate.NewReader(r))
		}
	}
	if c.decoder != nil {
		return c.decoder.Decode(v)
	}
	return c.plain.ReadObject(r, v)
}
