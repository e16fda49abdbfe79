package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// statuses maps the codes of failures to HTTP statuses. Codes that are not
// listed are faults of the server.
var statuses = map[model.Code]int{
	model.CodeBadRequest:            http.StatusBadRequest,
	model.CodeKeyRequired:           http.StatusBadRequest,
	model.CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	model.CodeUnknownService:        http.StatusNotFound,
	model.CodeJobNotFound:           http.StatusNotFound,
	model.CodeKeyReused:             http.StatusConflict,
	model.CodeVersionConflict:       http.StatusConflict,
	model.CodeNeverFits:             http.StatusUnprocessableEntity,
	model.CodeQuotaExceeded:         http.StatusUnprocessableEntity,
	model.CodeTextInvalid:           http.StatusUnprocessableEntity,
	model.CodeDataCentresChanged:    http.StatusUnprocessableEntity,
	model.CodeOverloaded:            http.StatusTooManyRequests,
	model.CodeQueueFull:             http.StatusTooManyRequests,
	model.CodeNotReady:              http.StatusServiceUnavailable,
	model.CodeDraining:              http.StatusServiceUnavailable,
	model.CodeNoOwner:               http.StatusServiceUnavailable,
	model.CodeDataCentreUnreachable: http.StatusServiceUnavailable,
	model.CodeOwnerRecovering:       http.StatusServiceUnavailable,
	model.CodeLogUnavailable:        http.StatusServiceUnavailable,
	model.CodeHopLimit:              http.StatusServiceUnavailable,
	model.CodeStaleEpoch:            http.StatusServiceUnavailable,
	model.CodeNoCapacity:            http.StatusServiceUnavailable,
	model.CodeLeaving:               http.StatusServiceUnavailable,
	model.CodeWorkerLost:            http.StatusServiceUnavailable,
	model.CodeRetriesSpent:          http.StatusServiceUnavailable,
	model.CodeDependencyDown:        http.StatusServiceUnavailable,
	model.CodeDeadline:              http.StatusGatewayTimeout,
	model.CodeTooLate:               http.StatusGatewayTimeout,
	// A cancelled job did what its caller asked for.
	model.CodeCancelled: http.StatusOK,
}

// codeStatus returns the HTTP status of a failure.
func codeStatus(c model.Code) int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// answerStatus returns the HTTP status of an answer.
func answerStatus(a model.Answer) int {
	switch a.Outcome {
	case model.OutcomeDone, model.OutcomeFailed:
		return http.StatusOK
	case model.OutcomeAccepted, model.OutcomeRunning:
		return http.StatusAccepted
	case model.OutcomeNotRun:
		return codeStatus(a.Code)
	}
	// The outcome of a query that was not carried out, or of a request that did
	// not reach its home, says nothing about the work; these codes are about the
	// call.
	if a.Code == model.CodeJobNotFound || model.IsRoutingFailure(a.Code) {
		return codeStatus(a.Code)
	}
	return http.StatusAccepted
}

func answer(w http.ResponseWriter, a model.Answer) { reply(w, answerStatus(a), wire.NewAnswer(a)) }

// refuse answers a submission that was not looked at.
func refuse(w http.ResponseWriter, code model.Code, message string) {
	answer(w, model.Answer{Outcome: model.OutcomeNotRun, Code: code, Message: message})
}

// reply writes one JSON body with its length, so that the client can tell a
// truncated one.
func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		// Every body is made of plain values; only a fault of the program fails here.
		status, body = http.StatusInternalServerError, []byte(`{"outcome":"unknown","code":"internal"}`)
	}
	send(w, status, "application/json", body)
}

func send(w http.ResponseWriter, status int, contentType string, body []byte) {
	// A connection that can't take the answer is closed; there is nobody to tell.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	h.Set("Content-Type", contentType)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
