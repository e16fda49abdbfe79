package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// maxReadWait bounds a read's wait, whatever the caller asks for.
const maxReadWait = time.Minute

// PlatformFaults switches the faults of a platform. A nil field leaves its
// switch as it is.
type PlatformFaults struct {
	CallFaults
	Cut     *[]model.DataCentre `json:"cut,omitempty"`     // data centres that can't reach the platform; replaces the last set
	Freeze  *bool               `json:"freeze,omitempty"`  // the VM list stops changing
	Leaving map[string]bool     `json:"leaving,omitempty"` // by VM name
	Hide    map[string]bool     `json:"hide,omitempty"`    // by VM name: missing in the list
}

// Set changes switches.
func (p *Platform) Set(f PlatformFaults) {
	p.Faults.Set(f.CallFaults)
	if f.Cut != nil {
		p.Faults.Cut(*f.Cut...)
	}
	if f.Freeze != nil {
		p.List.Freeze(*f.Freeze)
	}
	for name, leaving := range f.Leaving {
		p.List.SetLeaving(name, leaving)
	}
	for name, hidden := range f.Hide {
		p.List.Hide(name, hidden)
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}/records", p.handleAppend)
	m.HandleFunc("GET /streams/{name}/records", p.handleRead)
	m.HandleFunc("GET /vms", p.handleVMs)
	m.HandleFunc("POST /vms", func(w http.ResponseWriter, r *http.Request) {
		var vm model.VM
		if readJSON(w, r, &vm) {
			p.List.Put(vm)
			writeJSON(w, http.StatusOK, struct{}{})
		}
	})
	m.HandleFunc("DELETE /vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.List.Remove(r.PathValue("name"))
		writeJSON(w, http.StatusOK, struct{}{})
	})
	m.HandleFunc("POST "+pathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if readJSON(w, r, &f) {
			p.Set(f)
			writeJSON(w, http.StatusOK, struct{}{})
		}
	})
	return m
}

func (p *Platform) caller(r *http.Request) platform.Platform {
	return p.From(model.DataCentre(r.Header.Get(platform.DataCentreHeader)))
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		drop()
	}
	offset, err := p.caller(r).Append(r.Context(), r.PathValue("name"), body)
	p.answer(w, r, platform.AppendResponse{Offset: offset}, err)
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	waitMS, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		writeJSON(w, http.StatusBadRequest, platform.ErrorResponse{Code: model.CodeBadRequest})
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	result, err := p.caller(r).Read(r.Context(), r.PathValue("name"), from, wait)
	p.answer(w, r, result, err)
}

func (p *Platform) handleVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := p.caller(r).VMs(r.Context())
	if err == nil {
		tag := vmsTag(vms)
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	p.answer(w, r, platform.VMsResponse{VMs: vms}, err)
}

// vmsTag returns the entity tag of a list: a hash of its content.
func vmsTag(vms []model.VM) string {
	d := xxhash.New()
	_ = json.NewEncoder(d).Encode(vms) // a hash takes every write
	return strconv.Quote(strconv.FormatUint(d.Sum64(), 16))
}

// answer writes the result of a call or what its error looks like on the wire.
func (p *Platform) answer(w http.ResponseWriter, r *http.Request, body any, err error) {
	var refused *platform.RefusedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &refused):
		writeJSON(w, http.StatusTooManyRequests, platform.ErrorResponse{Code: model.CodeOverloaded, Message: refused.Reason})
	case faultCode(err) == CodeOutage:
		writeJSON(w, http.StatusServiceUnavailable, platform.ErrorResponse{Code: CodeOutage})
	case faultCode(err) == CodeCut:
		hang(r)
	default:
		drop()
	}
}

// LedgerAnswer is the body of a ledger response.
type LedgerAnswer struct {
	Runs       []Run       `json:"runs"`
	Violations []Violation `json:"violations"`
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /watch", func(rw http.ResponseWriter, r *http.Request) {
		var req worker.WatchRequest
		if readJSON(rw, r, &req) {
			report, err := w.Watch(r.Context(), req)
			answerWorker(rw, report, err)
		}
	})
	m.HandleFunc("POST /start", w.handleStart)
	m.HandleFunc("POST /query", func(rw http.ResponseWriter, r *http.Request) {
		var req worker.QueryRequest
		if readJSON(rw, r, &req) {
			result, err := w.Query(r.Context(), req.Epoch, req.Task)
			answerWorker(rw, result, err)
		}
	})
	m.HandleFunc("POST /control", func(rw http.ResponseWriter, r *http.Request) {
		var req worker.ControlRequest
		if readJSON(rw, r, &req) {
			answerWorker(rw, struct{}{}, w.Control(r.Context(), req))
		}
	})
	m.HandleFunc("POST "+pathFaults, func(rw http.ResponseWriter, r *http.Request) {
		var f WorkerFaults
		if readJSON(rw, r, &f) {
			w.Set(f)
			writeJSON(rw, http.StatusOK, struct{}{})
		}
	})
	m.HandleFunc("GET "+pathCounters, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.Counters())
	})
	m.HandleFunc("GET "+pathLedger, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, LedgerAnswer{Runs: w.Ledger.Runs(), Violations: w.Ledger.Violations()})
	})
	return m
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var req worker.StartRequest
	if !readJSON(rw, r, &req) {
		return
	}
	result, err := w.Start(r.Context(), req)
	if err == nil && result.Refusal != nil {
		writeJSON(rw, http.StatusConflict, worker.Problem{Code: result.Refusal.Code, Epoch: result.Refusal.Epoch, Clock: result.Clock})
		return
	}
	answerWorker(rw, result, err)
}

// answerWorker writes the result of a call. A worker without an answer closes
// the connection, as a crashed one does.
func answerWorker(w http.ResponseWriter, body any, err error) {
	var stale *worker.StaleEpochError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &stale):
		writeJSON(w, http.StatusConflict, worker.Problem{Code: model.CodeStaleEpoch, Epoch: stale.Epoch})
	default:
		drop()
	}
}
