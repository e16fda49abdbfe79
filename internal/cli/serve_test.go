package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/platform/standin"
)

// Checks that serve --standalone runs work of all four classes and stops by itself, and
// that replay accepts its event file but reports a modified one.
func TestServeStandalone(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "events")
	code, out, _ := runProgram("serve", "--standalone", "--http", "127.0.0.1:0", "--demo-exit", "--record", file)
	is.Equal(code, ExitOK)
	for _, want := range []string{
		"text: version 1 is in force", "service store: 2 of 2 instances", `preview: done, result "a preview"`,
		`booking: done, result "booked"`, "6 of 6 tasks done", "4 of 4 tasks done", "serving on http://127.0.0.1:",
	} {
		is.True(strings.Contains(out, want)) // output lacks an expected line
	}
	code, out, _ = runProgram("replay", file)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "events gave the recorded effects"))

	data, err := os.ReadFile(file)
	is.NoErr(err)
	// Replaying as an instance of another data centre has other effects, since the workers
	// and calls belong to the recorded one.
	is.NoErr(os.WriteFile(file, bytes.Replace(data, []byte(`"data_centre":"local"`), []byte(`"data_centre":"other"`), 1), 0o600))
	code, _, stderr := runProgram("replay", file)
	is.Equal(code, ExitError)
	is.True(strings.Contains(stderr, "recorded was"))
}

// Checks that run --standalone completes the sample jobs and stops by itself.
func TestRunStandalone(t *testing.T) {
	is := is.New(t)
	code, out, _ := runProgram("run", "--standalone", "--http", "127.0.0.1:0", "--demo-exit")
	is.Equal(code, ExitOK)
	for _, job := range standin.SampleJobs {
		is.True(strings.Contains(out, job.Path+": accepted"))
		is.True(strings.Contains(out, job.Path+": completed"))
	}
}

// Checks that serve, run and replay reject invalid flags, settings and files.
func TestServeRunAndReplayErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	is.New(t).NoErr(os.WriteFile(bad, []byte(`{"name": 3}`), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		code int
	}{
		{"neither settings nor standalone", []string{"serve"}, ExitUsage},
		{"both settings and standalone", []string{"serve", "--standalone", "--settings", bad}, ExitUsage},
		{"missing settings file", []string{"serve", "--settings", bad + "x"}, ExitError},
		{"invalid settings file", []string{"serve", "--settings", bad}, ExitError},
		{"run with a missing settings file", []string{"run", "--settings", bad + "x"}, ExitError},
		{"run with an invalid address", []string{"run", "--standalone", "--http", "here", "--demo-exit"}, ExitError},
		{"serve with an invalid address", []string{"serve", "--standalone", "--http", "here"}, ExitError},
		{"record to a directory", []string{"serve", "--standalone", "--record", t.TempDir()}, ExitError},
		{"replay without a file", []string{"replay"}, ExitUsage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := runProgram(tc.args...)
			is.Equal(code, tc.code)
			is.True(stderr != "")
		})
	}
}
