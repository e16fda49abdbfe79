// Package scenario runs the program as separate processes on loopback sockets,
// brings about the faults that the design promises to survive, and compares
// the answers with what the stand-in workers ran.
package scenario

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gentianpick/gentianpick/internal/cli"
)

// keepEnv names a directory that keeps the files and logs of scripts.
const keepEnv = "GENTIANPICK_SCENARIO_DIR"

// TestMain makes the program a command of scripts and of the tests.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gentianpick": func() { os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
	})
}

// Guards against a fault, or two at once, that breaks a promise of the design;
// each script's first line says which.
func TestFaults(t *testing.T) { t.Parallel(); runScripts(t, "testdata/faults") }

// Guards against an operator's or caller's mistake that is answered with a
// wrong exit code or error code, or without the place of the mistake.
func TestOperators(t *testing.T) { t.Parallel(); runScripts(t, "testdata/operators") }

func runScripts(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir: dir, Cmds: commands, RequireExplicitExec: true, RequireUniqueNames: true,
		WorkdirRoot: os.Getenv(keepEnv),
		Setup: func(env *testscript.Env) error {
			s := &script{}
			env.Values[scriptKey{}] = s
			env.Defer(func() {
				if s.c != nil {
					s.c.close()
				}
			})
			return nil
		},
	})
}
