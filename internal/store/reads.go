package store

const (
	// maxReadBytes bounds one read, and thereby the memory for it.
	maxReadBytes = 256 << 10
	// minReadBytes limits the number of reads over slow links.
	minReadBytes = 16 << 10
	// readsPerSecond limits one read to the bytes that the link transfers in 1/5 s, so
	// that it does not delay the reads of other streams.
	readsPerSecond = 5
)

// MaxReadBytes returns the most bytes that one read of a stream should request over a
// network link with the given bandwidth in bytes per second. A bandwidth of zero is
// unknown.
func MaxReadBytes(bandwidth int64) int64 {
	if bandwidth <= 0 {
		return maxReadBytes
	}
	return min(max(bandwidth/readsPerSecond, minReadBytes), maxReadBytes)
}
