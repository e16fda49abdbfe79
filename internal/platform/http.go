package platform

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/model"
)

// CallTimeout bounds a call whose context has no earlier deadline. A read may
// take its wait in addition. An append normally takes a few milliseconds; a
// slow platform is retried rather than waited for.
const CallTimeout = 5 * time.Second

// DataCentreHeader names the caller's data centre to the platform.
const DataCentreHeader = "X-Data-Centre"

// AppendResponse is the body of a successful append's response.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// VMsResponse is the body of the VM list's response.
type VMsResponse struct {
	VMs []model.VM `json:"vms"`
}

// ErrorResponse is the body of a response that reports a failure.
type ErrorResponse struct {
	Code    model.Code `json:"code"`
	Message string     `json:"message,omitempty"`
}

// HTTP is a Platform that speaks JSON over HTTP.
type HTTP struct {
	base   string
	client *http.Client
	header http.Header

	mu  sync.Mutex
	tag string     // entity tag of vms; empty: none
	vms []model.VM // the newest list
}

var _ Platform = (*HTTP)(nil)

// Option changes an HTTP adapter.
type Option func(*HTTP)

// WithDataCentre makes the adapter send its data centre with each call.
func WithDataCentre(dc model.DataCentre) Option {
	return func(h *HTTP) { h.header.Set(DataCentreHeader, string(dc)) }
}

// NewHTTP returns an adapter for the platform at baseURL.
func NewHTTP(baseURL string, client *http.Client, opts ...Option) *HTTP {
	h := &HTTP{base: strings.TrimRight(baseURL, "/"), client: client, header: http.Header{}}
	for _, o := range opts {
		o(h)
	}
	return h
}

// NewClient returns a client for NewHTTP with at most maxConns connections.
// An instance needs one for each stream's long poll and a few for the rest.
func NewClient(maxConns int) *http.Client { return httpjson.NewClient(maxConns) }

// Append implements Platform. A 4xx response and a request that was never sent
// are a RefusedError, except for 408, which a proxy may send after it passed
// the request on.
func (h *HTTP) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := httpjson.Do(ctx, h.client, httpjson.Request{
		Method: http.MethodPost, URL: h.records(stream), Header: h.header, Body: payload,
	})
	if err != nil {
		var ce *httpjson.CallError
		if errors.As(err, &ce) && ce.Code == httpjson.CodeNotSent {
			return 0, &RefusedError{Reason: ce.Error()}
		}
		return 0, &UnavailableError{Op: "append", Cause: err}
	}
	if resp.Status >= 400 && resp.Status < 500 && resp.Status != http.StatusRequestTimeout {
		return 0, &RefusedError{Reason: "status " + strconv.Itoa(resp.Status)}
	}
	// The offset is a pointer so that a body without one is not offset 0.
	var a struct {
		Offset *uint64 `json:"offset"`
	}
	err = resp.Decode(&a)
	if err == nil && a.Offset == nil {
		err = resp.MissingField("offset")
	}
	if err != nil {
		return 0, &UnavailableError{Op: "append", Cause: err}
	}
	return *a.Offset, nil
}

// Read implements Platform.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error) {
	q := "?from=" + strconv.FormatUint(from, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	// Without the check of Next and Tail an empty object would say that the
	// reader is at the tail, which an owner takes as evidence.
	var a struct {
		Records []Record `json:"records"`
		First   uint64   `json:"first"`
		Next    *uint64  `json:"next"`
		Tail    *uint64  `json:"tail"`
	}
	resp, err := h.get(ctx, h.records(stream)+q, wait+CallTimeout, &a)
	if err == nil && (a.Next == nil || a.Tail == nil) {
		err = resp.MissingField("next or tail")
	}
	if err != nil {
		return ReadResult{}, &UnavailableError{Op: "read", Cause: err}
	}
	return ReadResult{Records: a.Records, Next: *a.Next, First: a.First, Tail: *a.Tail}, nil
}

// VMs implements Platform. The request is conditional, since the whole list is
// long and changes rarely: a platform that gives it an entity tag answers 304
// while it is the same.
func (h *HTTP) VMs(ctx context.Context) ([]model.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	h.mu.Lock()
	tag, vms := h.tag, h.vms
	h.mu.Unlock()
	header := h.header.Clone()
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	resp, err := httpjson.Do(ctx, h.client, httpjson.Request{Method: http.MethodGet, URL: h.base + "/vms", Header: header})
	if err == nil && resp.Status == http.StatusNotModified && tag != "" {
		return vms, nil
	}
	var a VMsResponse
	if err == nil {
		err = resp.Decode(&a)
	}
	if err == nil && a.VMs == nil {
		err = resp.MissingField("vms")
	}
	if err != nil {
		return nil, &UnavailableError{Op: "vms", Cause: err}
	}
	h.mu.Lock()
	h.tag, h.vms = resp.Header.Get("ETag"), a.VMs
	h.mu.Unlock()
	return a.VMs, nil
}

func (h *HTTP) get(ctx context.Context, target string, timeout time.Duration, out any) (httpjson.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := httpjson.Do(ctx, h.client, httpjson.Request{Method: http.MethodGet, URL: target, Header: h.header})
	if err == nil {
		err = resp.Decode(out)
	}
	return resp, err
}

func (h *HTTP) records(stream string) string {
	return h.base + "/streams/" + url.PathEscape(stream) + "/records"
}
