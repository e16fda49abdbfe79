package peer

import (
	"strconv"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Error codes of the transport.
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

// NotSentError reports a message that definitely had no effect at the receiver.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return "peer " + e.Address + " not reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Code returns CodeNotSent.
func (e *NotSentError) Code() model.Code { return CodeNotSent }

// UnavailableError reports a message that was written but not acknowledged. The
// receiver may have accepted it.
type UnavailableError struct {
	Address string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return "peer " + e.Address + " did not acknowledge: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Code returns CodeUnavailable.
func (e *UnavailableError) Code() model.Code { return CodeUnavailable }

// IncarnationError reports that the instance at the address has another
// incarnation than the message was addressed to.
type IncarnationError struct{ Want model.Incarnation }

func (e *IncarnationError) Error() string {
	return "another incarnation than " + string(e.Want) + " answers"
}

// Code returns CodeIncarnation.
func (e *IncarnationError) Code() model.Code { return CodeIncarnation }

// RefusedError reports that the receiver rejected the message, for example because
// its event queue is full.
type RefusedError struct {
	RPCCode int64 // JSON-RPC error code
	Reason  string
}

func (e *RefusedError) Error() string {
	return "message refused (" + strconv.FormatInt(e.RPCCode, 10) + "): " + e.Reason
}

// Code returns CodeRefused.
func (e *RefusedError) Code() model.Code { return CodeRefused }

// LocalError reports a cause on the sending side: the queue to the peer is full,
// the redial backoff is not over, the call timed out, or the transport is closed.
type LocalError struct{ Reason model.Code }

func (e *LocalError) Error() string { return string(e.Reason) }

// Code returns the reason.
func (e *LocalError) Code() model.Code { return e.Reason }

// FrameSizeError reports a message above the size limit.
type FrameSizeError struct{ Size int }

func (e *FrameSizeError) Error() string {
	return "message of " + strconv.Itoa(e.Size) + " bytes is above the limit of " + strconv.Itoa(maxFrameBytes)
}

// Code returns CodeFrameSize.
func (e *FrameSizeError) Code() model.Code { return CodeFrameSize }

// ListenError reports that the transport can't listen on the peer address.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the error of the operating system.
func (e *ListenError) Unwrap() error { return e.Cause }

// Code returns CodeListen.
func (e *ListenError) Code() model.Code { return CodeListen }

// NotSent reports that the message had no effect. Callers can detect the error by
// this method without importing the package.
func (e *NotSentError) NotSent() bool { return true }
