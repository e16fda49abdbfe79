package scenario

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
)

// relay carries the messages of other data centres to one instance, so that a
// test can cut data centres off from each other. Frames name instances by the
// address that they listen on; the relay replaces addresses by those that the
// receiver reaches through relays. All have the same length.
type relay struct {
	listen, target string
	rewrite        func() map[string]string

	mu    sync.Mutex
	ln    net.Listener
	conns []net.Conn
	cut   bool
	done  chan struct{} // closed when the cut ends
}

func (r *relay) start() error {
	ln, err := net.Listen("tcp", r.listen)
	if err != nil {
		return err
	}
	r.ln, r.done = ln, make(chan struct{})
	go func(done chan struct{}) {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, done)
		}
	}(r.done)
	return nil
}

func (r *relay) serve(from net.Conn, done chan struct{}) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		from.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, from, to)
	r.mu.Unlock()
	go r.copy(from, to, done)
	r.copy(to, from, done)
}

// copy passes frames on. While the relay is cut, what arrives disappears and
// both connections stay open and silent.
func (r *relay) copy(to, from net.Conn, done chan struct{}) {
	defer to.Close()
	defer from.Close()
	var header [4]byte
	for {
		if _, err := io.ReadFull(from, header[:]); err != nil {
			return
		}
		frame := make([]byte, binary.BigEndian.Uint32(header[:]))
		if _, err := io.ReadFull(from, frame); err != nil {
			return
		}
		r.mu.Lock()
		cut := r.cut
		r.mu.Unlock()
		if cut {
			<-done
			return
		}
		if _, err := to.Write(append(header[:], replaceAll(frame, r.rewrite())...)); err != nil {
			return
		}
	}
}

// replaceAll replaces in one pass, since the replacements may be keys too.
func replaceAll(frame []byte, names map[string]string) []byte {
	for i := 0; i < len(frame); {
		start := bytes.Index(frame[i:], []byte(`"127.0.0.1:`))
		if start < 0 {
			break
		}
		start += i + 1
		end := start + bytes.IndexByte(frame[start:], '"')
		if name, ok := names[string(frame[start:end])]; ok {
			copy(frame[start:end], name)
		}
		i = end
	}
	return frame
}

// block makes open connections silent and refuses new ones.
func (r *relay) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	r.ln.Close()
}

// restore ends a block. Connections that were silent break.
func (r *relay) restore() error {
	r.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
	return r.start()
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ln.Close()
	select {
	case <-r.done:
	default:
		close(r.done)
	}
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}
