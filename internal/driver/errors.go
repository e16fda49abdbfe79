package driver

import (
	"strconv"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Codes of the driver's errors.
const (
	CodeConfig     model.Code = "driver_config"
	CodeStopped    model.Code = "driver_stopped"
	CodeCallerGone model.Code = "caller_gone"
	CodeEventFile  model.Code = "event_file"
	CodeReplay     model.Code = "replay_differs"
)

// ConfigError reports a missing or invalid field of Config.
type ConfigError struct{ Field string }

func (e *ConfigError) Error() string { return "driver configuration: " + e.Field + " is not set" }

// Code returns CodeConfig.
func (e *ConfigError) Code() model.Code { return CodeConfig }

// TextInvalidError reports a service text that was not published because it does
// not parse.
type TextInvalidError struct{ Cause error }

func (e *TextInvalidError) Error() string { return "service text: " + e.Cause.Error() }

// Unwrap returns the parser's error.
func (e *TextInvalidError) Unwrap() error { return e.Cause }

// Code returns model.CodeTextInvalid.
func (e *TextInvalidError) Code() model.Code { return model.CodeTextInvalid }

// OverloadedError reports that the call queue was full. Nothing was started.
type OverloadedError struct{}

func (e *OverloadedError) Error() string { return "the event queue is full" }

// Code returns model.CodeOverloaded.
func (e *OverloadedError) Code() model.Code { return model.CodeOverloaded }

// CallerGoneError reports that the caller's context ended before the answer.
type CallerGoneError struct{ Cause error }

func (e *CallerGoneError) Error() string { return "caller gone: " + e.Cause.Error() }

// Unwrap returns the context's error.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// Code returns CodeCallerGone.
func (e *CallerGoneError) Code() model.Code { return CodeCallerGone }

// StoppedError reports that the event loop ended before the answer.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the instance has stopped" }

// Code returns CodeStopped.
func (e *StoppedError) Code() model.Code { return CodeStopped }

// EventFileError reports an event file that can't be written or read. Line is
// zero if it is not known.
type EventFileError struct {
	Line  int
	Cause error
}

func (e *EventFileError) Error() string {
	return "event file, line " + strconv.Itoa(e.Line) + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *EventFileError) Unwrap() error { return e.Cause }

// Code returns CodeEventFile.
func (e *EventFileError) Code() model.Code { return CodeEventFile }

// ReplayError reports an event whose effects differ from the recorded ones.
type ReplayError struct {
	Line int
	Want string // recorded hash
	Got  string // hash of the replayed effects
}

func (e *ReplayError) Error() string {
	return "event file, line " + strconv.Itoa(e.Line) + ": effects have hash " + e.Got + ", recorded was " + e.Want
}

// Code returns CodeReplay.
func (e *ReplayError) Code() model.Code { return CodeReplay }
