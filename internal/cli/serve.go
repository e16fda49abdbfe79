package cli

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/instance"
	"github.com/gentianpick/gentianpick/internal/settings"
)

// defaultAPIAddress is the default address of the API in standalone mode. It is also the
// server that client commands call by default.
const defaultAPIAddress = "127.0.0.1:7411"

// UsageError reports invalid flags or arguments of a command.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

// FileError reports a file that can't be opened, read or written.
type FileError struct{ Cause error }

func (e *FileError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause: an error of the operating system, or of the encoder that writes
// the output.
func (e *FileError) Unwrap() error { return e.Cause }

// serveCommand returns the command that runs an instance with the product's own API. The
// instance of the run command has the platform's job API instead.
func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the instance's settings"},
			&cli.BoolFlag{Name: "standalone", Usage: "run with a stand-in platform and 8 stand-in workers in this process"},
			&cli.StringFlag{Name: "http", Usage: "standalone: `IP:port` of the API", Value: defaultAPIAddress},
			&cli.BoolFlag{Name: "demo-exit", Usage: "standalone: stop after the sample jobs"},
			&cli.Uint64Flag{Name: "seed", Usage: "standalone: seed of random choices", Value: 1},
			&cli.BoolFlag{Name: "baseline", Hidden: true}, // the simple scheduling policy of core.Config.Baseline, for comparisons
			&cli.StringFlag{Name: "record", Usage: "write all events to `FILE` for the replay command"},
		},
		Action: runServe,
	}
}

func runServe(ctx context.Context, cmd *cli.Command) error {
	eventFile, closeEventFile, err := openEventFile(cmd.String("record"))
	if err != nil {
		return err
	}
	defer closeEventFile()
	switch {
	case cmd.Bool("standalone") && cmd.String("settings") == "":
		return serveStandalone(ctx, cmd, eventFile)
	case cmd.Bool("standalone") || cmd.String("settings") == "":
		return &UsageError{Reason: "give either --settings or --standalone"}
	}
	cfg, err := configFromSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	cfg.Log, cfg.Record = cmd.Root().ErrWriter, eventFile
	cfg.Core.Baseline = cmd.Bool("baseline")
	inst, err := instance.New(cfg)
	if err != nil {
		return err
	}
	return runInstance(ctx, inst)
}

// openEventFile creates the event file and returns a function that closes it. If the name
// is empty, the writer is nil.
func openEventFile(name string) (io.Writer, func(), error) {
	if name == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, nil, &FileError{Cause: err}
	}
	return f, func() { _ = f.Close() }, nil
}

// runInstance runs an instance until it has drained. The first SIGTERM or SIGINT starts
// the drain; the second one stops the instance immediately.
func runInstance(ctx context.Context, inst *instance.Instance) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		select {
		case <-signals:
			inst.Drain()
		case <-ctx.Done():
			return
		}
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return inst.Run(ctx)
}

// configFromSettings returns the configuration that a settings file describes. Each run
// has a new incarnation id and random seed.
func configFromSettings(name string) (instance.Config, error) {
	s, err := settings.Load(name)
	if err != nil {
		return instance.Config{}, err
	}
	return instance.Config{
		Core:       s.CoreConfig(newIncarnation(), rand.Uint64()),
		PeerListen: s.PeerListen,
		HTTPListen: s.HTTPListen,
		Platform:   s.Platform,
		HTTP:       instance.HTTPLimits(s.HTTP),
		LogLevel:   s.LogLevel,
	}, nil
}
