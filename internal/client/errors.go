package client

import (
	"fmt"

	"github.com/gentianpick/gentianpick/internal/model"
)

// ServerURLError reports a server address that is not an HTTP URL.
type ServerURLError struct{ URL string }

func (e *ServerURLError) Error() string {
	return fmt.Sprintf("server %q is not a URL such as http://127.0.0.1:7411", e.URL)
}

// Code returns the stable code of the error.
func (e *ServerURLError) Code() model.Code { return model.CodeBadRequest }

// TransportError reports a call that received no answer.
type TransportError struct {
	Op      string
	NotSent bool // the call certainly did not reach the server
	Cause   error
}

func (e *TransportError) Error() string { return e.Op + ": " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *TransportError) Unwrap() error { return e.Cause }

// Code returns home_unreachable if the call was not sent, and in_doubt otherwise.
func (e *TransportError) Code() model.Code {
	if e.NotSent {
		return model.CodeDataCentreUnreachable
	}
	return model.CodeInDoubt
}

// BadAnswerError reports an answer that is truncated or does not come from the
// API, such as an error page of a load balancer. The effect of the call is not
// known.
type BadAnswerError struct {
	Op     string
	Status int // HTTP status
	Cause  error
}

func (e *BadAnswerError) Error() string {
	return fmt.Sprintf("%s: status %d with a bad answer: %v", e.Op, e.Status, e.Cause)
}

// Unwrap returns the decoder's or transport's error.
func (e *BadAnswerError) Unwrap() error { return e.Cause }

// Code returns the stable code of the error.
func (e *BadAnswerError) Code() model.Code { return model.CodeInDoubt }

// ContentError reports an answer with missing or too much content.
type ContentError struct{ Reason string }

func (e *ContentError) Error() string { return "answer is " + e.Reason }

// Code returns the stable code of the error.
func (e *ContentError) Code() model.Code { return model.CodeInDoubt }

// RefusedError reports a call that the server answered with a code instead of the
// requested content.
type RefusedError struct {
	Op      string
	Status  int // HTTP status
	Reason  model.Code
	Message string
}

func (e *RefusedError) Error() string {
	s := fmt.Sprintf("%s: %s (status %d)", e.Op, e.Reason, e.Status)
	if e.Message != "" {
		s += ": " + e.Message
	}
	return s
}

// Code returns the server's code.
func (e *RefusedError) Code() model.Code { return e.Reason }
