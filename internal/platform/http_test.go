package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// testTimeout bounds calls that get no response.
const testTimeout = 100 * time.Millisecond

func serve(t *testing.T, cfg standin.LogConfig) (*standin.Platform, *platform.HTTP) {
	clock := standin.RealClock()
	p := standin.NewPlatform(standin.NewLog(cfg, clock), standin.NewVMList(0, clock), 1)
	s, err := standin.Serve("127.0.0.1:0", p.Faults, p.Handler())
	is.New(t).NoErr(err)
	t.Cleanup(func() { s.Close() })
	return p, platform.NewHTTP("http://"+s.Address()+"/", platform.NewClient(4), platform.WithDataCentre("tartu"))
}

func errorKind(err error) string {
	var refused *platform.RefusedError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return err.Error()
}

func TestHTTPAppendErrorKind(t *testing.T) {
	// Guards against reporting an append as refused although it took effect, and as
	// successful or of unknown effect although the platform refused it.
	on := true
	one := 1
	for _, tc := range []struct {
		name   string
		cfg    standin.LogConfig
		faults standin.PlatformFaults
		want   string // error kind of the second append
		tail   uint64
	}{
		{"no fault", standin.LogConfig{}, standin.PlatformFaults{}, "ok", 2},
		{"limit", standin.LogConfig{AppendLimit: 1}, standin.PlatformFaults{}, "refused", 1},
		{"response lost", standin.LogConfig{}, standin.PlatformFaults{CallFaults: standin.CallFaults{LoseNext: &one}}, "unavailable", 2},
		{"outage", standin.LogConfig{}, standin.PlatformFaults{CallFaults: standin.CallFaults{Outage: &on}}, "unavailable", 1},
		{"unresponsive connection", standin.LogConfig{}, standin.PlatformFaults{CallFaults: standin.CallFaults{Silence: true}}, "unavailable", 1},
		{"data centre cut off", standin.LogConfig{}, standin.PlatformFaults{Cut: &[]model.DataCentre{"tartu"}}, "unavailable", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p, client := serve(t, tc.cfg)
			_, err := client.Append(context.Background(), "dc/tartu", []byte("a"))
			is.NoErr(err)
			p.Set(tc.faults)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_, err = client.Append(ctx, "dc/tartu", []byte("b"))
			is.Equal(errorKind(err), tc.want)
			is.Equal(p.Log.Read("dc/tartu", 0).Tail, tc.tail)
		})
	}
}

func TestHTTPReplacesUnresponsiveConnection(t *testing.T) {
	// Guards against reusing a connection that has stopped responding, and against a long
	// poll that succeeds on such a connection. Later calls need a new connection.
	is := is.New(t)
	p, h := serve(t, standin.LogConfig{})
	_, err := h.Append(context.Background(), "config", []byte("a"))
	is.NoErr(err)
	done := make(chan error)
	ctx, cancel := context.WithTimeout(context.Background(), 5*testTimeout)
	defer cancel()
	go func() {
		_, err := h.Read(ctx, "config", 1, time.Minute)
		done <- err
	}()
	time.Sleep(testTimeout)
	p.Set(standin.PlatformFaults{CallFaults: standin.CallFaults{Silence: true}})
	_, err = p.Log.Append("config", []byte("b"))
	is.NoErr(err)
	is.Equal(errorKind(<-done), "unavailable")
	r, err := h.Read(context.Background(), "config", 1, time.Minute)
	is.NoErr(err)
	is.Equal(len(r.Records), 1)
	p.List.Put(model.VM{Name: "v", Kind: model.VMEntry})
	vms, err := h.VMs(context.Background())
	is.NoErr(err)
	is.Equal(len(vms), 1)
}

func TestHTTPResponseErrorKind(t *testing.T) {
	// Guards against accepting a malformed or unexpected response as a success.
	for _, tc := range []struct {
		name         string
		status       int
		body         string
		length       string // Content-Length header, if it differs from the body's length
		append, read string
	}{
		{"complete", 200, `{"offset":0,"next":0,"tail":0}`, "", "ok", "ok"},
		{"truncated body", 200, `{"offset":0,"next":0,"tail":0}`, "40", "unavailable", "unavailable"},
		{"truncated JSON", 200, `{"offset":0,"next":0,"tail":0`, "", "unavailable", "unavailable"},
		{"empty object", 200, `{}`, "", "unavailable", "unavailable"},
		{"bad request", 400, `{}`, "", "refused", "unavailable"},
		{"throttled", 429, `{}`, "", "refused", "unavailable"},
		{"proxy timeout", 408, `{}`, "", "unavailable", "unavailable"},
		{"redirect", 307, `{}`, "", "unavailable", "unavailable"},
		{"server error", 500, `{"offset":0}`, "", "unavailable", "unavailable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.True(r.URL.EscapedPath() == "/streams/dc%2Fvoru/records" || r.URL.Path == "/vms")
				if tc.length != "" {
					w.Header().Set("Content-Length", tc.length)
				}
				w.Header().Set("Location", "http://"+r.Host+r.URL.EscapedPath())
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			}))
			defer s.Close()
			h := platform.NewHTTP(s.URL, platform.NewClient(1))
			_, err := h.Append(context.Background(), "dc/voru", []byte("x"))
			is.Equal(errorKind(err), tc.append)
			_, err = h.Read(context.Background(), "dc/voru", 0, 0)
			is.Equal(errorKind(err), tc.read)
			_, err = h.VMs(context.Background())
			is.Equal(errorKind(err), "unavailable") // no body has the field vms
		})
	}
}

func TestHTTPRefusedDialIsNotAppended(t *testing.T) {
	// Guards against reporting an append of unknown effect after a failed dial: nothing
	// was sent, so the append is refused.
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	h := platform.NewHTTP("http://"+l.Addr().String(), platform.NewClient(1))
	_, err = h.Append(context.Background(), "s", nil)
	is.Equal(errorKind(err), "refused")
	_, err = h.VMs(context.Background())
	is.Equal(errorKind(err), "unavailable")
}
