package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
)

// maxRequest bounds a request body in bytes. The largest is an append.
const maxRequest = 4 << 20

// headerTimeout bounds how long a client may take to send a header.
const headerTimeout = 5 * time.Second

// Paths that fault switches don't apply to: they control the stand-ins.
const (
	pathFaults   = "/faults"
	pathLedger   = "/ledger"
	pathCounters = "/counters"
)

// Server serves a stand-in on a real socket.
type Server struct {
	http   *http.Server
	listen net.Listener
}

type connKey struct{}

// ListenError reports that a stand-in's address can't be used.
type ListenError struct{ Cause error }

func (e *ListenError) Error() string { return "stand-in: " + e.Cause.Error() }

// Unwrap returns the error of the network.
func (e *ListenError) Unwrap() error { return e.Cause }

// Serve starts to serve a Platform's or a Worker's handler at an IP:port.
func Serve(address string, faults *Faults, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Cause: err}
	}
	s := &Server{listen: l, http: &http.Server{
		Handler:           withFaults(faults, h),
		ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, faults.accepted())
		},
	}}
	go s.http.Serve(l) // ends with Close
	return s, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listen.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// withFaults delays calls and keeps silent connections silent. An answer is
// held back until it is complete, so that a long poll that was open when its
// connection fell silent is not answered either.
func withFaults(f *Faults, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http notices that the client is gone only after the body was read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		if err != nil {
			writeJSON(w, http.StatusRequestEntityTooLarge, platform.ErrorResponse{Code: model.CodeBodyTooLarge})
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if exempt(r) {
			h.ServeHTTP(w, r)
			return
		}
		if d := f.delayed(); d > 0 {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		conn, _ := r.Context().Value(connKey{}).(uint64)
		if f.isSilent(conn) {
			hang(r)
		}
		rec := &recorder{header: w.Header(), status: http.StatusOK}
		h.ServeHTTP(rec, r)
		if f.isSilent(conn) {
			hang(r)
		}
		w.WriteHeader(rec.status)
		w.Write(rec.body.Bytes())
	})
}

// recorder keeps a response until it may be sent.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

func exempt(r *http.Request) bool {
	switch r.URL.Path {
	case pathFaults, pathLedger, pathCounters:
		return true
	}
	return strings.HasPrefix(r.URL.Path, "/vms") && r.Method != http.MethodGet
}

// hang never answers. It ends when the client closes the connection.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// drop closes the connection without an answer.
func drop() { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// readJSON decodes a request body or answers 400.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		writeJSON(w, http.StatusBadRequest, platform.ErrorResponse{Code: model.CodeBadRequest, Message: err.Error()})
		return false
	}
	return true
}

// faultCode returns the code of the fault switch behind an error, or CodeNone.
func faultCode(err error) model.Code {
	var f *FaultError
	if errors.As(err, &f) {
		return f.Code
	}
	return model.CodeNone
}

// Register puts a VM into the list of the stand-in platform at url. It is for
// standalone trials; a real platform knows its VMs.
func Register(ctx context.Context, client *http.Client, url string, vm model.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return &RegisterError{Cause: err}
	}
	resp, err := httpjson.Do(ctx, client, httpjson.Request{
		Method: http.MethodPost, URL: strings.TrimRight(url, "/") + "/vms", Body: body,
	})
	if err == nil {
		err = resp.Decode(&struct{}{})
	}
	if err != nil {
		return &RegisterError{Cause: err}
	}
	return nil
}

// RegisterError reports that a VM could not be put into the list.
type RegisterError struct{ Cause error }

func (e *RegisterError) Error() string { return "register VM: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *RegisterError) Unwrap() error { return e.Cause }
