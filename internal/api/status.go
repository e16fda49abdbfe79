package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// statuses maps failure codes to HTTP statuses. All other codes are internal
// errors of the server.
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
	// The caller requested the cancellation, so it is not an error.
	model.CodeCancelled: http.StatusOK,
}

// codeStatus returns the HTTP status of a failure code.
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
	// If a query was not executed, or a request did not reach the home data centre,
	// the code describes the call and not the state of the work.
	if a.Code == model.CodeJobNotFound || model.IsRoutingFailure(a.Code) {
		return codeStatus(a.Code)
	}
	return http.StatusAccepted
}

func respond(w http.ResponseWriter, a model.Answer) { writeJSON(w, answerStatus(a), wire.NewAnswer(a)) }

// refuseSubmission answers a submission that was refused before it reached the
// instance.
func refuseSubmission(w http.ResponseWriter, code model.Code, message string) {
	respond(w, model.Answer{Outcome: model.OutcomeNotRun, Code: code, Message: message})
}

// writeJSON writes one JSON body with its length, so that the client can detect
// truncation.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		// All body types can be marshalled; only a programming error gets here.
		status, body = http.StatusInternalServerError, []byte(`{"outcome":"unknown","code":"internal"}`)
	}
	write(w, status, "application/json", body)
}

func write(w http.ResponseWriter, status int, contentType string, body []byte) {
	// A write error is ignored: the connection is closed, so that there is no
	// client left to report it to.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	h.Set("Content-Type", contentType)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
