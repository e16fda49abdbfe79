package cli

import (
	"encoding/hex"

	"github.com/google/uuid"
)

// incarnationBytes is the length of an incarnation id before hex encoding. The id is
// short because every message and job id contains it; 64 random bits make collisions
// unlikely even over decades of restarts.
const incarnationBytes = 8

// newIncarnation returns a random id for one run of an instance.
func newIncarnation() string {
	id := uuid.New()
	return hex.EncodeToString(id[:incarnationBytes])
}
