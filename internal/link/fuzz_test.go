package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/gentianpick/gentianpick/internal/cell"
)

// plainObject returns a message in the format of uncompressed connections: its length and
// its text.
func plainObject(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

// FuzzConnection guards against bytes on the port for other instances that end the
// process: whatever arrives, the connection is closed at worst, and the next one works.
func FuzzConnection(f *testing.F) {
	for _, text := range []string{
		`{"jsonrpc":"2.0","method":"ping","id":1}`, `{"method":"hello","params":{"name":"x"},"id":1}`, `{"method":"hello","params":7,"id":1}`,
		`{"method":"c","params":{"e":1,"s":1,"c":[{"n":1,"t":"a.0.0.0"}]}}`, `{"method":"c","params":{"c":[{"k":9}]}}`,
		`{"method":"a","params":{"a":[{"n":1,"r":[{"t":"a.0.0.-1"}]}]}}`, `{"method":"leave","id":2}`, `{"result":1,"id":7}`, `{}`, `[]`, `null`,
	} {
		f.Add(plainObject(text))
	}
	f.Add([]byte{compressedMarker, 1, 2, 3})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(bytes.Repeat([]byte{0xff}, 20))
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h := newInstance("owner")
		h.start = func(context.Context, cell.Start) cell.Verdict { return cell.NotSent }
		h.renew = func(_ context.Context, r cell.Renew) cell.Renewed { return cell.Renewed{Worker: r.Worker} }
		local, remote := net.Pipe()
		s := &connHandler{h: h, netConn: newDeadlineConn(local)}
		rpc := newRPCConn(ctx, s, false)
		go func() {
			var sink [1 << 10]byte
			for {
				if _, err := remote.Read(sink[:]); err != nil {
					return
				}
			}
		}()
		_ = remote.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = remote.Write(data) // fails if the connection was closed
		_ = remote.Close()
		<-rpc.DisconnectNotify()
	})
}
