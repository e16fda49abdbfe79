// Package cli is the command line: one file a command, parsing only.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK    = 0
	ExitError = 1 // the command ran and failed
	ExitUsage = 2 // wrong flags or arguments
)

// Run runs the program with the given arguments and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := &cli.Command{
		Name:      "gentianpick",
		Usage:     "cluster scheduler for unlike workloads",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			standinCommand(),
			serveCommand(),
			replayCommand(),
		},
	}
	if err := app.Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, "gentianpick:", err)
		return ExitError
	}
	return ExitOK
}
