// Package wire defines the JSON bodies, paths and query parameters of the HTTP API. The API
// server and the client share them, so that their formats always match.
//
// Durations are strings such as "30s". Hashes are strings of 16 hexadecimal digits, since many
// JSON parsers lose the low bits of 64-bit numbers.
package wire

import (
	"time"
	"unicode/utf8"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Paths of the API.
const (
	PathRequests = "/v1/requests" // POST: submit and wait for the outcome
	PathJobs     = "/v1/jobs"     // POST: submit, then poll; GET and DELETE with /{id}, path-escaped
	PathText     = "/v1/text"     // GET, PUT
	PathStatus   = "/v1/status"   // GET
	PathBurn     = "/v1/burn"     // GET
)

// Query parameters.
const (
	ParamWait = "wait" // GET of a job: maximum wait for the job to finish
	ParamBase = "base" // PUT of a text: the version to be replaced
	ParamID   = "id"   // PUT of a text: publish ID, the same for each retry
)

// Submit is the body of POST /v1/requests and POST /v1/jobs.
type Submit struct {
	Service   string           `json:"service"`
	Operation string           `json:"operation,omitempty"`
	Key       model.Key        `json:"key,omitempty"`
	Body      []byte           `json:"body,omitempty"` // base64 in JSON
	BodyText  string           `json:"body_text,omitempty"`
	Tasks     int              `json:"tasks,omitempty"`
	Resources *model.Resources `json:"resources,omitempty"`
	Deadline  string           `json:"deadline,omitempty"` // relative to receipt of the request
}

// BadRequestError reports an invalid body field or query parameter.
type BadRequestError struct {
	Field  string
	Reason string
}

func (e *BadRequestError) Error() string { return e.Field + ": " + e.Reason }

// Code returns the stable error code of the API.
func (e *BadRequestError) Code() model.Code { return model.CodeBadRequest }

// NewSubmit encodes a submission. A body that is valid UTF-8 is sent as BodyText.
func NewSubmit(s model.Submission) Submit {
	w := Submit{
		Service: s.Service, Operation: s.Operation, Key: s.Key,
		Tasks: s.Tasks, Resources: s.Resources, Deadline: FormatDuration(s.Deadline),
	}
	if utf8.Valid(s.Body) {
		w.BodyText = string(s.Body)
	} else {
		w.Body = s.Body
	}
	return w
}

// Submission validates and decodes the body of a request. The error is a *BadRequestError.
func (w Submit) Submission() (model.Submission, error) {
	s := model.Submission{
		Service: w.Service, Operation: w.Operation, Key: w.Key,
		Body: w.Body, Tasks: w.Tasks, Resources: w.Resources,
	}
	if w.Service == "" {
		return s, &BadRequestError{"service", "is required"}
	}
	if w.BodyText != "" {
		if len(w.Body) > 0 {
			return s, &BadRequestError{"body_text", "can't be given together with body"}
		}
		s.Body = []byte(w.BodyText)
	}
	if w.Tasks < 0 {
		return s, &BadRequestError{"tasks", "is negative"}
	}
	if r := w.Resources; r != nil && min(r.MilliCPU, r.MemoryMB, r.Accelerators, r.Slots, r.Connections) < 0 {
		return s, &BadRequestError{"resources", "has a negative amount"}
	}
	var err error
	s.Deadline, err = ParseDuration("deadline", w.Deadline)
	return s, err
}

// Answer is the response body for a request or job, including error responses.
type Answer struct {
	Job        model.JobID       `json:"job,omitempty"`
	Outcome    model.Outcome     `json:"outcome"`
	Code       model.Code        `json:"code,omitempty"`
	Message    string            `json:"message,omitempty"`
	Result     []byte            `json:"result,omitempty"`      // base64 in JSON; always the complete result
	ResultText string            `json:"result_text,omitempty"` // copy of Result if Result is valid UTF-8
	Tasks      *model.TaskCounts `json:"tasks,omitempty"`
	Forecast   string            `json:"forecast,omitempty"` // expected time until the job is finished
}

// NewAnswer encodes an answer.
func NewAnswer(a model.Answer) Answer {
	w := Answer{
		Job: a.Job, Outcome: a.Outcome, Code: a.Code, Message: a.Message,
		Result: a.Result, Tasks: a.Tasks, Forecast: FormatDuration(a.Forecast),
	}
	if utf8.Valid(a.Result) {
		w.ResultText = string(a.Result)
	}
	return w
}

// Answer decodes the response body. The error is a *BadRequestError.
func (w Answer) Answer() (model.Answer, error) {
	forecast, err := ParseDuration("forecast", w.Forecast)
	return model.Answer{
		Job: w.Job, Outcome: w.Outcome, Code: w.Code, Message: w.Message,
		Result: w.Result, Tasks: w.Tasks, Forecast: forecast,
	}, err
}

// FormatDuration formats d as a string; zero is the empty string.
func FormatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// ParseDuration parses a non-negative duration; the empty string is zero. The error is a
// *BadRequestError that names the given field.
func ParseDuration(field, s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, &BadRequestError{field, "is not a duration such as \"30s\""}
	}
	if d < 0 {
		return 0, &BadRequestError{field, "is negative"}
	}
	return d, nil
}
