package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// runProgram runs the program with the given arguments and returns its exit code and
// output.
func runProgram(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Run(context.Background(), append([]string{"gentianpick"}, args...), &out, &err)
	return code, out.String(), err.String()
}

// newTestServer starts a server with scripted responses. The key of answers is a prefix of
// "METHOD URI"; each call takes the next "STATUS BODY" of the matching list, and the last
// one is repeated. A call that matches no key has its connection aborted. The server
// records all calls in received.
func newTestServer(t *testing.T, answers map[string][]string) (url string, received *[]string) {
	received = &[]string{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := r.Method + " " + r.RequestURI
		body, _ := io.ReadAll(r.Body)
		*received = append(*received, call+" "+string(body))
		for prefix, list := range answers {
			if strings.HasPrefix(call, prefix) {
				status, rest, _ := strings.Cut(list[0], " ")
				if len(list) > 1 {
					answers[prefix] = list[1:]
				}
				w.WriteHeader(map[string]int{"200": 200, "409": 409, "503": 503}[status])
				io.WriteString(w, rest)
				return
			}
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	return srv.URL, received
}

const textSample = "../../samples/traykava.text.jsonc"

// Guards the exit codes that scripts rely on: ok, error, not run, unknown and usage. Each
// case also checks a part of the output.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	is.New(t).NoErr(os.WriteFile(bad, []byte("{\n\"name\": 5}"), 0o600))
	jobAnswer := func(body string) map[string][]string { return map[string][]string{"GET /v1/jobs/tartu%2F1": {body}} }
	submitAnswer := func(body string) map[string][]string { return map[string][]string{"POST /v1/requests": {body}} }
	submit := []string{"submit", "check", "--deadline", "1s"}
	for _, tc := range []struct {
		name    string
		answers map[string][]string // nil: the command needs no server
		args    []string
		code    int
		output  string // part of stdout or stderr
	}{
		{"no command", nil, []string{}, ExitOK, "COMMANDS"},
		{"unknown command", nil, []string{"pubish"}, ExitUsage, `no command "pubish"`},
		{"unknown subcommand", nil, []string{"job", "stop"}, ExitUsage, `no command "stop"`},
		{"unknown flag", nil, []string{"version", "--x"}, ExitUsage, "flag provided but not defined"},
		{"bad output", nil, []string{"version", "-o", "yaml"}, ExitUsage, "yaml"},
		{"version", nil, []string{"version"}, ExitOK, "gentianpick "},
		{"validate text", nil, []string{"validate", textSample}, ExitOK, "valid text"},
		{"validate settings", nil, []string{"validate", "../../samples/two-dc/voru-3.settings.jsonc"}, ExitOK, "valid settings"},
		{"validate errors", nil, []string{"validate", bad}, ExitError, ":2: $.name: must be a string"},
		{"validate as json", nil, []string{"validate", "-o", "json", bad}, ExitError, `"code": "wrong_type"`},
		{"validate without a file", nil, []string{"validate"}, ExitUsage, "exactly one FILE"},
		{"validate missing file", nil, []string{"validate", "none.jsonc"}, ExitError, "none.jsonc"},
		// Without a key, the work certainly did not run. With a key, an earlier attempt may
		// have had an effect, so the outcome is unknown.
		{"server not reached", nil, []string{"submit", "check", "--server", "http://127.0.0.1:1"}, ExitNotRun, "refused"},
		{"server not reached with a key", nil, []string{"submit", "check", "--key", "k", "--server", "http://127.0.0.1:1"}, ExitUnknown, "repeat it"},
		{"server not reached by a query", nil, []string{"job", "get", "tartu/1", "--server", "http://127.0.0.1:1"}, ExitError, "--server"},
		{"server is not a URL", nil, []string{"status", "--server", "127.0.0.1:1"}, ExitUsage, "not a URL"},
		{"submit done", submitAnswer(`200 {"outcome":"done","result_text":"ready"}`), submit, ExitOK, "ready"},
		{"submit failed", submitAnswer(`200 {"outcome":"failed","code":"task_failed"}`), submit, ExitError, "task_failed"},
		{"submit not run", submitAnswer(`503 {"outcome":"not_run","code":"no_owner"}`), submit, ExitNotRun, "no_owner"},
		{"submit unknown", submitAnswer(`200 {"outcome":"unknown","code":"in_doubt","job":"tartu/1"}`), submit, ExitUnknown, "tartu/1"},
		{"submit without an answer", map[string][]string{}, submit, ExitUnknown, "EOF"},
		{"submit with two bodies", nil, []string{"submit", "check", "--body", "a", "--body-file", "b"}, ExitUsage, "--body-file"},
		{"submit bad resources", nil, []string{"submit", "check", "--resources", `{"cpu": 1}`}, ExitUsage, "$.cpu"},
		{"job running", jobAnswer(`200 {"outcome":"running"}`), []string{"job", "get", "tartu/1"}, ExitOK, "running"},
		{"job not found", jobAnswer(`503 {"outcome":"unknown","code":"job_not_found"}`), []string{"job", "get", "tartu/1", "--wait"}, ExitUnknown, "job_not_found"},
		{"query refused", jobAnswer(`503 {"outcome":"","code":"bad_request"}`), []string{"job", "get", "tartu/1"}, ExitError, "bad_request"},
		{"result", jobAnswer(`200 {"outcome":"done","result":"cGxhbg==","result_text":"plan"}`), []string{"job", "result", "tartu/1"}, ExitOK, "plan"},
		{"result of a running job", jobAnswer(`200 {"outcome":"running"}`), []string{"job", "result", "tartu/1"}, ExitUnknown, "has not ended"},
		{"cancelled", map[string][]string{"DELETE /v1/jobs/tartu%2F1": {`200 {"outcome":"not_run","code":"cancelled"}`}},
			[]string{"job", "cancel", "tartu/1"}, ExitOK, "cancelled"},
		{"cancelled too late", map[string][]string{"DELETE /v1/jobs/tartu%2F1": {`200 {"outcome":"done"}`}},
			[]string{"job", "cancel", "tartu/1"}, ExitError, "done before"},
		{"status", map[string][]string{"GET /v1/status": {`200 {"self":{"name":"tartu-1"},"ready":true}`}}, []string{"status"}, ExitOK, "tartu-1"},
		{"burn refused", map[string][]string{"GET /v1/burn": {`503 {"code":"not_ready"}`}}, []string{"burn"}, ExitError, "not_ready"},
		{"publish", map[string][]string{"GET /v1/text": {`200 {"version":7}`}, "PUT /v1/text?base=7&id=": {`200 {"accepted":true,"version":8}`}},
			[]string{"publish", textSample}, ExitOK, "version in force: 8"},
		{"first publish", map[string][]string{"GET /v1/text": {`503 {"code":"not_ready"}`}, "PUT /v1/text?base=0&id=": {`200 {"accepted":true,"version":1}`}},
			[]string{"publish", textSample}, ExitOK, "version in force: 1"},
		{"publish conflict on the retry after log_unavailable", map[string][]string{"PUT /v1/text?base=3&id=x": {`503 {"code":"log_unavailable"}`, `409 {"code":"version_conflict","version":9}`}},
			[]string{"publish", "--base", "3", "--id", "x", textSample}, ExitNotRun, "version in force: 9"},
		{"publish invalid", map[string][]string{}, []string{"publish", bad}, ExitError, "$.name"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			if tc.answers != nil {
				url, _ := newTestServer(t, tc.answers)
				t.Setenv(serverEnv, url)
			}
			code, stdout, stderr := runProgram(tc.args...)
			t.Log(stdout, stderr)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stdout+stderr, tc.output))
		})
	}
}

// Checks that submit sends the values of the flags that describe a job, and that its JSON
// output has the outcome of the last poll. The flags --body-file and --detach are not
// covered.
func TestSubmitFlags(t *testing.T) {
	is := is.New(t)
	url, received := newTestServer(t, map[string][]string{
		"POST /v1/jobs":           {`200 {"job":"tartu/9","outcome":"accepted"}`},
		"GET /v1/jobs/tartu%2F9?": {`200 {"outcome":"running"}`, `200 {"job":"tartu/9","outcome":"done","tasks":{"total":2,"done":2}}`},
	})
	code, stdout, _ := runProgram("submit", "plan", "--poll", "--server", url, "--operation", "spring", "--key", "k", "--body", "b",
		"--tasks", "2", "--deadline", "8h", "--resources", `{"milli_cpu": 5}`, "-o", "json")
	is.Equal(code, ExitOK)
	is.Equal((*received)[0], `POST /v1/jobs {"service":"plan","operation":"spring","key":"k","body_text":"b","tasks":2,"resources":{"milli_cpu":5},"deadline":"8h0m0s"}`)
	var answer struct{ Outcome string }
	is.NoErr(json.Unmarshal([]byte(stdout), &answer))
	is.Equal(answer.Outcome, "done")
}
