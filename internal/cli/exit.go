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
	ExitError   = 1 // the command, or the work it submitted, ran and failed
	ExitUsage   = 2 // wrong flags or arguments
	ExitNotRun  = 3 // the work certainly did not run, the text was certainly not published
	ExitUnknown = 4 // the outcome is not known
)

// OutcomeError reports an answer other than success. The answer itself has
// been printed.
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

// Code returns the answer's code.
func (e *OutcomeError) Code() model.Code { return e.Reason }

// coded is implemented by the errors of the client.
type coded interface{ Code() model.Code }

// exitCode maps an error to the program's exit code.
func exitCode(err error) int {
	var outcome *OutcomeError
	var usage *UsageError
	var flag *FlagError
	var url *client.ServerURLError
	var unsent *UnsentError
	var code coded
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &outcome):
		return outcomeExit(outcome.Outcome)
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

func outcomeExit(o model.Outcome) int {
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

// outcomeError returns an *OutcomeError for an outcome that is no success.
func outcomeError(o model.Outcome, code model.Code, message string) error {
	if outcomeExit(o) == ExitOK {
		return nil
	}
	if o == "" {
		return &OutcomeError{Outcome: "refused", Reason: code, Message: message}
	}
	return &OutcomeError{Outcome: o, Reason: code, Message: message}
}

// InvalidError reports a file with errors, which have been printed.
type InvalidError struct {
	File  string
	Count int
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %d errors", e.File, e.Count) }

// Code returns the stable code of the error.
func (e *InvalidError) Code() model.Code { return model.CodeTextInvalid }

// UnsentError reports work that did not reach a server.
type UnsentError struct {
	// InDoubt says that the work has a key or publish id, so that an earlier
	// try may have taken effect although this one did not.
	InDoubt bool
	Cause   error
}

func (e *UnsentError) Error() string {
	if e.InDoubt {
		return e.Cause.Error() + "; this try had no effect, repeat it to learn of earlier ones"
	}
	return e.Cause.Error()
}

// Unwrap returns the client's error.
func (e *UnsentError) Unwrap() error { return e.Cause }

// Code returns in_doubt if an earlier try may have taken effect.
func (e *UnsentError) Code() model.Code {
	if e.InDoubt {
		return model.CodeInDoubt
	}
	return model.CodeHomeUnreachable
}

// unsent marks the error of work that did not reach the server; other errors
// stay as they are.
func unsent(err error, repeatable bool) error {
	var transport *client.TransportError
	if errors.As(err, &transport) && transport.NotSent {
		return &UnsentError{InDoubt: repeatable, Cause: err}
	}
	return err
}
