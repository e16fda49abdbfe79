package peer

import (
	"strconv"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Codes of the transport's errors.
const (
	CodeNotSent     model.Code = "peer_not_sent"
	CodeUnavailable model.Code = "peer_unavailable"
	CodeIncarnation model.Code = "peer_incarnation"
	CodeRefused     model.Code = "peer_refused"
	CodeQueueFull   model.Code = "peer_queue_full"
	CodeBackoff     model.Code = "peer_backoff"
	CodeDeadline    model.Code = "peer_deadline"
	CodeClosed      model.Code = "peer_closed"
	CodeFrameSize   model.Code = "peer_frame_size"
	CodeListen      model.Code = "peer_listen"
)

// NotSentError reports a message that certainly had no effect at the receiver.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return "peer " + e.Address + " not reached: " + e.Cause.Error()
}

// Unwrap returns the reason.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Code returns CodeNotSent.
func (e *NotSentError) Code() model.Code { return CodeNotSent }

// UnavailableError reports a message that was written without an
// acknowledgement. The receiver may have taken it.
type UnavailableError struct {
	Address string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return "peer " + e.Address + " did not acknowledge: " + e.Cause.Error()
}

// Unwrap returns the reason.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Code returns CodeUnavailable.
func (e *UnavailableError) Code() model.Code { return CodeUnavailable }

// IncarnationError reports that another incarnation than the addressed one
// answers at the address.
type IncarnationError struct{ Want model.Incarnation }

func (e *IncarnationError) Error() string {
	return "another incarnation than " + string(e.Want) + " answers"
}

// Code returns CodeIncarnation.
func (e *IncarnationError) Code() model.Code { return CodeIncarnation }

// RefusedError reports that the receiver did not take the message, for example
// because its event queue is full.
type RefusedError struct {
	Number int64 // jsonrpc2 error code
	Reason string
}

func (e *RefusedError) Error() string {
	return "message refused (" + strconv.FormatInt(e.Number, 10) + "): " + e.Reason
}

// Code returns CodeRefused.
func (e *RefusedError) Code() model.Code { return CodeRefused }

// LocalError reports a local reason: the queue to the peer is full, the peer
// is not dialled yet after a failure, the deadline passed, or the transport is
// closed.
type LocalError struct{ Reason model.Code }

func (e *LocalError) Error() string { return string(e.Reason) }

// Code returns the reason.
func (e *LocalError) Code() model.Code { return e.Reason }

// FrameSizeError reports a message above the size limit.
type FrameSizeError struct{ Size int }

func (e *FrameSizeError) Error() string {
	return "message of " + strconv.Itoa(e.Size) + " bytes is above the limit of " + strconv.Itoa(frameLimit)
}

// Code returns CodeFrameSize.
func (e *FrameSizeError) Code() model.Code { return CodeFrameSize }

// ListenError reports that the peer address can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Cause }

// Code returns CodeListen.
func (e *ListenError) Code() model.Code { return CodeListen }

// NotSent reports that the message had no effect. It lets callers tell the
// error without importing this package.
func (e *NotSentError) NotSent() bool { return true }
