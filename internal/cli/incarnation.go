package cli

import (
	"encoding/hex"

	"github.com/google/uuid"
)

// incarnationBytes is the length of an incarnation id. It is part of every
// message and job id, so it is short; 64 random bits keep the restarts of
// decades apart.
const incarnationBytes = 8

// newIncarnation returns the id of one run of an instance.
func newIncarnation() string {
	id := uuid.New()
	return hex.EncodeToString(id[:incarnationBytes])
}
