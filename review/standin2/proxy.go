//go:build review2

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. It can let the open ones go silent while new ones
// work.
type proxy struct {
	to string
	ln net.Listener

	mu    sync.Mutex
	conns map[*link]bool
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn

	mu     sync.Mutex
	silent bool
}

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, ln: ln, conns: map[*link]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server}
		p.mu.Lock()
		p.conns[l] = true
		p.mu.Unlock()
		go p.pipe(l, server, client)
		go p.pipe(l, client, server)
	}
}

// pipe forwards one direction. What arrives on a silent connection is dropped.
func (p *proxy) pipe(l *link, to io.Writer, from io.Reader) {
	defer func() {
		_ = l.client.Close()
		_ = l.server.Close()
		p.mu.Lock()
		delete(p.conns, l)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.isSilent() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// silence lets all open connections go silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.conns)
}
