package httpjson

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the calls of clients and the bytes on their connections,
// headers included.
type Traffic struct {
	Calls         atomic.Uint64
	InFlight      atomic.Int64 // calls without a response yet
	BytesSent     atomic.Uint64
	BytesReceived atomic.Uint64
}

// Instrument makes a client of NewClient that has not been used yet count its
// traffic, and returns it.
func Instrument(c *http.Client, t *Traffic) *http.Client {
	transport := c.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.WrapConn(conn), nil
	}
	c.Transport = &countingTransport{next: transport, traffic: t}
	return c
}

// countingTransport counts calls, also those that fail.
type countingTransport struct {
	next    http.RoundTripper
	traffic *Traffic
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.traffic.Calls.Add(1)
	c.traffic.InFlight.Add(1)
	defer c.traffic.InFlight.Add(-1)
	return c.next.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the transport, for http.Client.
func (c *countingTransport) CloseIdleConnections() {
	if t, ok := c.next.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// WrapConn returns a connection whose bytes are counted.
func (t *Traffic) WrapConn(c net.Conn) net.Conn { return &countingConn{Conn: c, traffic: t} }

// WrapListener returns a listener whose connections are counted.
func (t *Traffic) WrapListener(ln net.Listener) net.Listener {
	return &countingListener{Listener: ln, traffic: t}
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.WrapConn(c), nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.BytesReceived.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.BytesSent.Add(uint64(n))
	return n, err
}
