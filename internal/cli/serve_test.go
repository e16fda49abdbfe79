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

// Guards against a standalone mode that doesn't run all four classes, doesn't
// stop by itself, or records a file that doesn't replay.
func TestStandalone(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "events")
	code, out, _ := runProgram("serve", "--standalone", "--http", "127.0.0.1:0", "--demo-exit", "--record", file)
	is.Equal(code, ExitOK)
	for _, want := range []string{
		"text: version 1 is in force", "service store: 2 of 2 instances", `preview: done, result "a preview"`,
		`booking: done, result "booked"`, "6 of 6 tasks done", "4 of 4 tasks done", "serving on http://127.0.0.1:",
	} {
		is.True(strings.Contains(out, want)) // output lacks a line
	}
	code, out, _ = runProgram("replay", file)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "events gave the recorded effects"))

	data, err := os.ReadFile(file)
	is.NoErr(err)
	// Another data centre's workers and calls have other effects.
	is.NoErr(os.WriteFile(file, bytes.Replace(data, []byte(`"data_centre":"local"`), []byte(`"data_centre":"other"`), 1), 0o600))
	code, _, stderr := runProgram("replay", file)
	is.Equal(code, ExitError)
	is.True(strings.Contains(stderr, "recorded was"))
}

// Guards against a platform instance whose standalone mode does not complete
// the sample jobs, or does not stop by itself.
func TestRunStandalone(t *testing.T) {
	is := is.New(t)
	code, out, _ := runProgram("run", "--standalone", "--http", "127.0.0.1:0", "--demo-exit")
	is.Equal(code, ExitOK)
	for _, job := range standin.SampleJobs {
		is.True(strings.Contains(out, job.Path+": accepted"))
		is.True(strings.Contains(out, job.Path+": completed"))
	}
}

// Guards against an instance that starts with settings it can't use.
func TestServeErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	is.New(t).NoErr(os.WriteFile(bad, []byte(`{"name": 3}`), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		code int
	}{
		{"neither", []string{"serve"}, ExitUsage},
		{"both", []string{"serve", "--standalone", "--settings", bad}, ExitUsage},
		{"no file", []string{"serve", "--settings", bad + "x"}, ExitError},
		{"bad file", []string{"serve", "--settings", bad}, ExitError},
		{"run without settings", []string{"run", "--settings", bad + "x"}, ExitError},
		{"run at a bad address", []string{"run", "--standalone", "--http", "here", "--demo-exit"}, ExitError},
		{"bad address", []string{"serve", "--standalone", "--http", "here"}, ExitError},
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
