package cli

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/node"
	"github.com/gentianpick/gentianpick/internal/store"
	"github.com/gentianpick/gentianpick/platform"
)

const (
	// gcPercent is below the default of 100: memory has a price, and the additional
	// processor time is small.
	gcPercent = 60
	// memoryLimitFraction is the part of the process's memory limit at which the garbage
	// collector starts to run more often.
	memoryLimitFraction = 0.6
)

// runCommand returns the command that runs an instance with the platform's job API. The
// instance of the serve command has the product's own API instead.
func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run one instance on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the platform's settings; default: the path set by the platform"},
			&cli.BoolFlag{Name: "standalone", Usage: "run with a stand-in platform and 8 stand-in workers in this process"},
			&cli.StringFlag{Name: "http", Usage: "standalone: `IP:port` of the API", Value: defaultAPIAddress},
			&cli.BoolFlag{Name: "demo-exit", Usage: "standalone: stop after the sample jobs"},
		},
		Action: runPlatformNode,
	}
}

func runPlatformNode(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("standalone") {
		return runStandaloneNode(ctx, cmd)
	}
	path := cmd.String("settings")
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryLimit)))
	t := node.NewTelemetry(cmd.Root().Writer, settings.LogLevel, settings.Name)
	defer t.Close()
	stop := make(chan struct{})
	return runNode(ctx, newNode(settings, t, nil), t, stop, sync.OnceFunc(func() { close(stop) }))
}

// newNode returns an instance that uses the services of the platform. It opens its
// listeners with listen, or as usual if that is nil.
func newNode(settings node.Settings, t *node.Telemetry, listen func(address string) (net.Listener, error)) *node.Node {
	traffic := &node.Traffic{}
	return node.New(settings, node.Deps{
		Store:       platform.NewStoreClient(settings.StoreAddress, store.MaxReadBytes(settings.Bandwidth), &traffic.Store),
		Workers:     platform.NewWorkerClient(&traffic.Workers),
		Eligibility: platform.NewEligibilityClient(settings.EligibilityAddress, &traffic.Eligibility),
		Decode:      node.Decoders{Config: platform.DecodeConfig, Worker: platform.DecodeWorker},
		Telemetry:   t,
		Traffic:     traffic,
		Now:         bootTime,
		Listen:      listen,
	}, settings.Name+"-"+string(newIncarnation()))
}

// runNode serves until stop is closed. On a termination signal it calls requestStop, which
// must close stop.
func runNode(ctx context.Context, n *node.Node, t *node.Telemetry, stop <-chan struct{}, requestStop func()) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	go handleSignals(signals, requestStop, t)
	return n.Serve(ctx, platform.NewJobHandler(n), stop)
}

// handleSignals calls requestStop on the first termination signal. SIGHUP is only logged,
// because the settings of an instance do not change while it runs.
func handleSignals(signals <-chan os.Signal, requestStop func(), t *node.Telemetry) {
	for s := range signals {
		if s == syscall.SIGHUP {
			t.Log("settings reload ignored", node.LogFields{Outcome: "unchanged"})
			continue
		}
		requestStop()
		return
	}
}

// bootTime reads CLOCK_BOOTTIME, which also advances while the VM is suspended.
func bootTime() model.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // all supported kernels have this clock
	}
	return model.Time(ts.Nano())
}
