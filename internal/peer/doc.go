// Package peer is the transport between instances: one jsonrpc2 connection
// over TCP to each peer address, dialled when there is something to send.
//
// Every call has a deadline. A connection with a missed deadline is closed and
// the next call dials anew, so that a silent connection is replaced within one
// deadline; TCP keepalive is not relied on.
package peer

import "time"

const (
	// nearDeadline bounds a call inside a data centre. It equals the lease, after
	// which an acknowledgement is of no use to a voucher.
	nearDeadline = time.Second
	// farDeadline bounds a call to another data centre, where links may be slow
	// for a while without being down.
	farDeadline = 3 * time.Second
	// nearDial and farDial bound one dial. Each is below the call's deadline, so
	// that a peer that drops packets is reported as not reached.
	nearDial = 500 * time.Millisecond
	farDial  = 2 * time.Second
	// firstRedial and lastRedial bound the jittered pause between failed dials.
	// A peer that is up again is reached within about a second.
	firstRedial = 50 * time.Millisecond
	lastRedial  = time.Second
	// queueLength bounds the calls that wait for a connection to one peer.
	queueLength = 512
	// inFlightLimit bounds the calls to one peer that wait for an acknowledgement.
	inFlightLimit = 256
	// idleClose is when the dialling side closes an unused connection. It is below
	// idleAccepted, so that the accepting side never closes one in use.
	idleClose = 30 * time.Second
	// idleAccepted is when an accepted connection without traffic is closed. It
	// frees connections whose dialling VM is gone.
	idleAccepted = 2 * time.Minute
	// acceptedLimit bounds accepted connections. 18 data centres with 3 instances
	// each need 54.
	acceptedLimit = 512
	// acceptPause is the pause after a failed accept, for example when the
	// process is out of file descriptors.
	acceptPause = 50 * time.Millisecond
	// frameLimit bounds one message. Texts and request bodies have at most 1 MiB,
	// and base64 in JSON adds a third.
	frameLimit = 8 << 20
)
