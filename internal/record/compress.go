package record

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// minCompressSize is the size in bytes from which a payload is compressed.
	// Below it the frame costs more than it saves.
	minCompressSize = 512
	// maxDecompressedSize bounds the decompressed size of a payload in bytes; a text
	// has at most 1 MiB, and a batch of records not much more.
	maxDecompressedSize = 32 << 20
)

// codec returns the shared encoder and decoder. Their concurrency is 1, so that the
// same payload always gives the same bytes.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "zstd options"))
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecompressedSize))
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "zstd options"))
	}
	return enc, dec
})

// compress compresses a payload if that makes it smaller.
func compress(p []byte) []byte {
	if len(p) < minCompressSize {
		return p
	}
	enc, _ := codec()
	if z := enc.EncodeAll(p, nil); len(z) < len(p) {
		return z
	}
	return p
}

// decompress reverses compress. An uncompressed payload starts with a brace.
func decompress(p []byte) ([]byte, error) {
	if len(p) == 0 || p[0] == '{' {
		return p, nil
	}
	_, dec := codec()
	return dec.DecodeAll(p, nil)
}
