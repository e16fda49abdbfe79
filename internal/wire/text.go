package wire

import (
	"fmt"
	"strconv"

	"github.com/gentianpick/gentianpick/internal/burn"
	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Text is the answer to GET /v1/text. Without a text in force the answer is a
// PublishResult with code not_ready.
type Text struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"` // as FormatHash writes it
	ID      string `json:"id"`   // publish id that made this version
	Text    string `json:"text"` // a text is always valid UTF-8
}

// PublishResult is the answer to PUT /v1/text, errors included. An answer that is
// neither accepted nor has a code is not possible.
type PublishResult struct {
	Accepted bool        `json:"accepted"`
	Version  uint64      `json:"version"` // the version in force
	ID       string      `json:"id,omitempty"`
	Code     model.Code  `json:"code,omitempty"`
	Message  string      `json:"message,omitempty"`
	Errors   []TextError `json:"errors,omitempty"` // code text_invalid: every error in the text
}

// TextError is one error in a service text.
type TextError struct {
	Code    string `json:"code"`
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Status is the answer to GET /v1/status.
type Status = core.StatusReport

// Burn is the answer to GET /v1/burn.
type Burn = burn.Report

// FormatHash returns a hash as 16 hexadecimal digits.
func FormatHash(h uint64) string { return fmt.Sprintf("%016x", h) }

// ParseHash parses a hash written by FormatHash. The error is a
// *BadRequestError.
func ParseHash(s string) (uint64, error) {
	h, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, &BadRequestError{"hash", "is not a 64-bit number in hexadecimal digits"}
	}
	return h, nil
}
