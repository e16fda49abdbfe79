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

// CallTimeout bounds a call whose context has no earlier deadline; a read gets its wait
// time on top. An append normally takes a few milliseconds, so a call to a slow platform
// is cut off and retried.
const CallTimeout = 5 * time.Second

// DataCentreHeader is the request header with the data centre of the calling instance.
const DataCentreHeader = "X-Data-Centre"

// AppendResponse is the body of the response to a successful append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// VMsResponse is the body of the response to a VM list request.
type VMsResponse struct {
	VMs []model.VM `json:"vms"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Code    model.Code `json:"code"`
	Message string     `json:"message,omitempty"`
}

// HTTP is a Platform client that uses JSON over HTTP.
type HTTP struct {
	baseURL string
	client  *http.Client
	header  http.Header

	mu   sync.Mutex
	etag string     // entity tag of vms; empty if the platform sent none
	vms  []model.VM // last VM list received
}

var _ Platform = (*HTTP)(nil)

// Option configures an HTTP client.
type Option func(*HTTP)

// WithDataCentre adds the data centre of the calling instance to each request.
func WithDataCentre(dc model.DataCentre) Option {
	return func(h *HTTP) { h.header.Set(DataCentreHeader, string(dc)) }
}

// NewHTTP returns a Platform client for the service at baseURL.
func NewHTTP(baseURL string, client *http.Client, opts ...Option) *HTTP {
	h := &HTTP{baseURL: strings.TrimRight(baseURL, "/"), client: client, header: http.Header{}}
	for _, o := range opts {
		o(h)
	}
	return h
}

// NewClient returns an HTTP client for NewHTTP with at most maxConns connections. An
// instance needs one for the long poll of each stream and a few for the other calls.
func NewClient(maxConns int) *http.Client { return httpjson.NewClient(maxConns) }

// Append implements Platform. It returns a RefusedError for a request that was never sent
// and for any 4xx response but 408, which a proxy may send after it has forwarded the
// request.
func (h *HTTP) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := httpjson.Do(ctx, h.client, httpjson.Request{
		Method: http.MethodPost, URL: h.recordsURL(stream), Header: h.header, Body: payload,
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
	// Offset is a pointer so that a missing field is not read as offset 0.
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
	// Next and Tail are pointers so that their absence can be detected: an empty object
	// would otherwise read as "at the tail", which an owner relies on to confirm its
	// ownership.
	var a struct {
		Records []Record `json:"records"`
		First   uint64   `json:"first"`
		Next    *uint64  `json:"next"`
		Tail    *uint64  `json:"tail"`
	}
	resp, err := h.get(ctx, h.recordsURL(stream)+q, wait+CallTimeout, &a)
	if err == nil && (a.Next == nil || a.Tail == nil) {
		err = resp.MissingField("next or tail")
	}
	if err != nil {
		return ReadResult{}, &UnavailableError{Op: "read", Cause: err}
	}
	return ReadResult{Records: a.Records, Next: *a.Next, First: a.First, Tail: *a.Tail}, nil
}

// VMs implements Platform. The list is long and changes rarely, so the request is
// conditional: a platform that sends entity tags answers 304 while the list is unchanged.
func (h *HTTP) VMs(ctx context.Context) ([]model.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	h.mu.Lock()
	tag, vms := h.etag, h.vms
	h.mu.Unlock()
	header := h.header.Clone()
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	resp, err := httpjson.Do(ctx, h.client, httpjson.Request{Method: http.MethodGet, URL: h.baseURL + "/vms", Header: header})
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
	h.etag, h.vms = resp.Header.Get("ETag"), a.VMs
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

func (h *HTTP) recordsURL(stream string) string {
	return h.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}
