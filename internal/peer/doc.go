// Package peer is the transport between instances: one JSON-RPC 2.0 connection
// over TCP to each peer address, dialled on demand.
//
// Every call has a timeout. When a call times out, its connection is closed and
// the next call dials a new one, so that an unresponsive connection is replaced
// within one timeout without relying on TCP keepalive.
package peer

import "time"

const (
	// localCallTimeout bounds a call inside a data centre. It equals the lease
	// duration: a later acknowledgement can no longer support the lease.
	localCallTimeout = time.Second
	// remoteCallTimeout bounds a call to another data centre, where links may be
	// temporarily slow without being down.
	remoteCallTimeout = 3 * time.Second
	// localDialTimeout and remoteDialTimeout bound one dial. Each is below its call
	// timeout, so that a call to a peer that drops packets is reported as not sent.
	localDialTimeout  = 500 * time.Millisecond
	remoteDialTimeout = 2 * time.Second
	// minRedialDelay and maxRedialDelay bound the jittered backoff after failed
	// dials. A restarted peer is reached within about one second.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// maxQueuedCalls bounds the calls to one peer that are not yet written.
	maxQueuedCalls = 512
	// maxInFlightCalls bounds the calls to one peer that await an acknowledgement.
	maxInFlightCalls = 256
	// dialledIdleTimeout is the idle time after which the dialling side closes a
	// connection. It is below acceptedIdleTimeout, so that the accepting side never
	// closes a connection in use.
	dialledIdleTimeout = 30 * time.Second
	// acceptedIdleTimeout is the idle time after which the accepting side closes
	// a connection. This frees connections whose dialling VM no longer exists.
	acceptedIdleTimeout = 2 * time.Minute
	// maxAcceptedConns bounds the accepted connections. 18 data centres with 3
	// instances each need 54.
	maxAcceptedConns = 512
	// acceptRetryDelay is the delay after a failed accept, for example when the
	// process has no file descriptors left.
	acceptRetryDelay = 50 * time.Millisecond
	// maxFrameBytes bounds one message. Configuration texts and request bodies have
	// at most 1 MiB, and base64 encoding in JSON adds a third.
	maxFrameBytes = 8 << 20
)
