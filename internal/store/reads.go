package store

const (
	// maxRead bounds one read in bytes, and so the memory for it.
	maxRead = 256 << 10
	// minRead keeps reads over narrow links from becoming many.
	minRead = 16 << 10
	// readPart is the part of a second for which one read may fill the link, so
	// that those of other streams are not late.
	readPart = 5
)

// MaxReadBytes returns the most bytes that one read of a stream should request over a
// network link with the given bandwidth in bytes per second. A bandwidth of zero is
// unknown.
func MaxReadBytes(bandwidth int64) int64 {
	if bandwidth <= 0 {
		return maxRead
	}
	return min(max(bandwidth/readPart, minRead), maxRead)
}
