package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/client"
)

const (
	defaultServer = "http://" + defaultAPIAddress
	serverEnv     = "GENTIANPICK_SERVER"
	// defaultTimeout is the default of --timeout. A published text must be in force on all
	// instances within 7 s, and a server waits no longer than that for a publish. A server
	// that has not answered within the timeout has therefore failed.
	defaultTimeout = 30 * time.Second
)

// Values of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "output `FORMAT`: text or json", Value: outputText,
		Validator: func(s string) error {
			if s != outputText && s != outputJSON {
				return &FlagError{Flag: "output", Value: s, Want: "text or json"}
			}
			return nil
		}}
}

// clientFlags returns the flags shared by all commands that call a server, followed by
// the extra ones.
func clientFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "server", Usage: "base `URL` of an instance or of a load balancer", Value: defaultServer, Sources: cli.EnvVars(serverEnv)},
		&cli.DurationFlag{Name: "timeout", Usage: "maximum time to wait for the server", Value: defaultTimeout},
		outputFlag(),
	}, extra...)
}

func newClient(cmd *cli.Command) (*client.Client, error) { return client.New(cmd.String("server")) }

// callServer checks that the command has no arguments and makes one call, bounded by
// --timeout.
func callServer[T any](ctx context.Context, cmd *cli.Command, call func(*client.Client, context.Context) (T, error)) (T, error) {
	var zero T
	if err := requireNoArguments(cmd); err != nil {
		return zero, err
	}
	c, err := newClient(cmd)
	if err != nil {
		return zero, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	return call(c, ctx)
}

// commandName returns the command path without the program name, because every error
// line already starts with the program name. For the root command it returns "the
// program".
func commandName(cmd *cli.Command) string {
	if name := strings.TrimPrefix(cmd.FullName(), "gentianpick "); name != "gentianpick" {
		return name
	}
	return "the program"
}

// singleArgument returns the only argument of a command, or a *UsageError if there is not
// exactly one. name is what the error message calls the argument.
func singleArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &UsageError{Reason: fmt.Sprintf("%s needs exactly one %s", commandName(cmd), name)}
	}
	return cmd.Args().First(), nil
}

func requireNoArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return &UsageError{Reason: fmt.Sprintf("%s takes no arguments, got %q", commandName(cmd), cmd.Args().First())}
	}
	return nil
}

// readInput reads the named file, or standard input if the name is "-".
func readInput(cmd *cli.Command, name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(cmd.Root().Reader)
		if err != nil {
			return nil, &FileError{Cause: err}
		}
		return data, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &FileError{Cause: err}
	}
	return data, nil
}

// printResult prints v in the format selected by --output: as JSON, or as the text that
// the given function writes.
func printResult(cmd *cli.Command, v any, text func(w io.Writer)) error {
	w := cmd.Root().Writer
	if cmd.String("output") == outputText {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return &FileError{Cause: err}
	}
	return nil
}
