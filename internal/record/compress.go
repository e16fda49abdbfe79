package record

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// compressAbove is the size in bytes from which a payload is compressed.
	// Below it the frame costs more than it saves.
	compressAbove = 512
	// maxPayload bounds what a payload may decompress to, in bytes; a text has
	// at most 1 MiB, and a batch of records not much more.
	maxPayload = 32 << 20
)

// codec holds the coder and decoder. Both are used without goroutines of their
// own, so that the same payload gives the same bytes.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "zstd options"))
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxPayload))
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "zstd options"))
	}
	return enc, dec
})

// pack compresses a payload if that makes it smaller.
func pack(p []byte) []byte {
	if len(p) < compressAbove {
		return p
	}
	enc, _ := codec()
	if z := enc.EncodeAll(p, nil); len(z) < len(p) {
		return z
	}
	return p
}

// unpack undoes pack. A payload that is not compressed starts with a brace.
func unpack(p []byte) ([]byte, error) {
	if len(p) == 0 || p[0] == '{' {
		return p, nil
	}
	_, dec := codec()
	return dec.DecodeAll(p, nil)
}
