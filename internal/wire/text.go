package wire

import (
	"fmt"
	"strconv"

	"github.com/gentianpick/gentianpick/internal/burn"
	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Text is the response to GET /v1/text. If there is no current text, the response is a
// PublishResult with code not_ready.
type Text struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"` // formatted by FormatHash
	ID      string `json:"id"`   // publish ID of this version
	Text    string `json:"text"` // the service text; always valid UTF-8
}

// PublishResult is the response to PUT /v1/text, including error responses. If Accepted is
// false, Code is set.
type PublishResult struct {
	Accepted bool        `json:"accepted"`
	Version  uint64      `json:"version"` // the current version
	ID       string      `json:"id,omitempty"`
	Code     model.Code  `json:"code,omitempty"`
	Message  string      `json:"message,omitempty"`
	Errors   []TextError `json:"errors,omitempty"` // every error in the text, with code text_invalid
}

// TextError is one error in a service text.
type TextError struct {
	Code    string `json:"code"`
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Status is the response to GET /v1/status.
type Status = core.StatusReport

// Burn is the response to GET /v1/burn.
type Burn = burn.Report

// FormatHash formats a hash as 16 hexadecimal digits.
func FormatHash(h uint64) string { return fmt.Sprintf("%016x", h) }

// ParseHash parses a hash in the format of FormatHash. The error is a *BadRequestError.
func ParseHash(s string) (uint64, error) {
	h, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, &BadRequestError{"hash", "is not a 64-bit number in hexadecimal digits"}
	}
	return h, nil
}
