// Package cli implements the command line. Each command has its own file, which parses
// the flags and arguments and prints the result; the work is done in other packages.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/client"
)

// Run runs the program with the given arguments and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := &cli.Command{
		Name:      "gentianpick",
		Usage:     "cluster scheduler for mixed workloads",
		Writer:    stdout,
		ErrWriter: stderr,
		// Run maps errors to exit codes; the default handler would exit the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         requireSubcommand,
		Commands: []*cli.Command{
			standinCommand(),
			runCommand(),
			serveCommand(),
			replayCommand(),
			validateCommand(),
			publishCommand(),
			submitCommand(),
			jobCommand(),
			statusCommand(),
			burnCommand(),
			loadCommand(),
			versionCommand(),
		},
	}
	reportUsageErrors(app)
	err := app.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(stderr, "gentianpick:", err)
		var transport *client.TransportError
		if errors.As(err, &transport) && transport.NotSent {
			fmt.Fprintf(stderr, "Check that an instance is running at this address, or set another one with --server or %s.\n", serverEnv)
		}
	}
	return exitCode(err)
}

// requireSubcommand is the action of a command that has only subcommands. It prints the
// help, or rejects an unknown subcommand.
func requireSubcommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return &UsageError{Reason: fmt.Sprintf("%s has no command %q", commandName(cmd), cmd.Args().First())}
	}
	return cli.ShowSubcommandHelp(cmd)
}

// reportUsageErrors makes a command and its subcommands return a *UsageError for invalid
// flags instead of printing the whole help.
func reportUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Reason: err.Error()}
	}
	for _, sub := range cmd.Commands {
		reportUsageErrors(sub)
	}
}
