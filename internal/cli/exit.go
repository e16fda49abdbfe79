package cli

import (
	"errors"
	"fmt"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitError   = 1 // the command, or the work that it submitted, ran and failed
	ExitUsage   = 2 // invalid flags or arguments
	ExitNotRun  = 3 // it is certain that the work did not run or the text was not published
	ExitUnknown = 4 // the outcome is not known
)

// OutcomeError reports an answer other than success. The answer has already been
// printed.
type OutcomeError struct {
	Outcome model.Outcome
	Reason  model.Code
	Message string
}

func (e *OutcomeError) Error() string {
	s := string(e.Outcome)
	if e.Reason != model.CodeNone {
		s += " (" + string(e.Reason) + ")"
	}
	if e.Message != "" {
		s += ": " + e.Message
	}
	return s
}

// Code returns the code of the answer.
func (e *OutcomeError) Code() model.Code { return e.Reason }

// codedError is implemented by the client's errors that carry a code.
type codedError interface{ Code() model.Code }

// exitCode maps an error to the exit code of the program.
func exitCode(err error) int {
	var outcome *OutcomeError
	var usage *UsageError
	var flag *FlagError
	var url *client.ServerURLError
	var unsent *UnsentError
	var code codedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &outcome):
		return outcomeExitCode(outcome.Outcome)
	case errors.As(err, &usage), errors.As(err, &flag), errors.As(err, &url):
		return ExitUsage
	case errors.As(err, &unsent) && !unsent.InDoubt:
		return ExitNotRun
	case errors.As(err, &unsent):
		return ExitUnknown
	case errors.As(err, &code) && code.Code() == model.CodeInDoubt:
		return ExitUnknown
	}
	return ExitError
}

func outcomeExitCode(o model.Outcome) int {
	switch o {
	case model.OutcomeDone, model.OutcomeAccepted, model.OutcomeRunning:
		return ExitOK
	case model.OutcomeNotRun:
		return ExitNotRun
	case model.OutcomeUnknown:
		return ExitUnknown
	}
	return ExitError
}

// outcomeError returns an *OutcomeError for an outcome other than success, otherwise nil.
func outcomeError(o model.Outcome, code model.Code, message string) error {
	if outcomeExitCode(o) == ExitOK {
		return nil
	}
	if o == "" {
		return &OutcomeError{Outcome: "refused", Reason: code, Message: message}
	}
	return &OutcomeError{Outcome: o, Reason: code, Message: message}
}

// InvalidError reports an invalid file. Its errors have already been printed.
type InvalidError struct {
	File  string
	Count int
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %d errors", e.File, e.Count) }

// Code returns model.CodeTextInvalid.
func (e *InvalidError) Code() model.Code { return model.CodeTextInvalid }

// UnsentError reports work that did not reach a server.
type UnsentError struct {
	// InDoubt is set for work that has a key or publish id: an earlier attempt may have
	// taken effect although this one did not.
	InDoubt bool
	Cause   error
}

func (e *UnsentError) Error() string {
	if e.InDoubt {
		return e.Cause.Error() + "; this attempt had no effect; repeat it to learn the outcome of earlier attempts"
	}
	return e.Cause.Error()
}

// Unwrap returns the error of the client.
func (e *UnsentError) Unwrap() error { return e.Cause }

// Code returns model.CodeInDoubt if an earlier attempt may have taken effect, otherwise
// model.CodeDataCentreUnreachable.
func (e *UnsentError) Code() model.Code {
	if e.InDoubt {
		return model.CodeInDoubt
	}
	return model.CodeDataCentreUnreachable
}

// wrapNotSent wraps an error in an *UnsentError if the work did not reach the server. It
// returns other errors unchanged.
func wrapNotSent(err error, repeatable bool) error {
	var transport *client.TransportError
	if errors.As(err, &transport) && transport.NotSent {
		return &UnsentError{InDoubt: repeatable, Cause: err}
	}
	return err
}
