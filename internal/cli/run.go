package cli

import (
	"context"
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
	// gcPercent trades memory, which is priced, for little processor time.
	gcPercent = 60
	// memoryShare of the process's limit is where the collector works harder.
	memoryShare = 0.6
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run one instance on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with the platform's settings; default: as the platform says"},
			&cli.BoolFlag{Name: "standalone", Usage: "run with a stand-in platform and 8 stand-in workers in this process"},
			&cli.StringFlag{Name: "http", Usage: "standalone: `IP:port` for callers", Value: defaultHTTP},
			&cli.BoolFlag{Name: "demo-exit", Usage: "standalone: stop after the sample jobs"},
		},
		Action: runOnPlatform,
	}
}

func runOnPlatform(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("standalone") {
		return runOnStandin(ctx, cmd)
	}
	path := cmd.String("settings")
	if path == "" {
		path = platform.SettingsPath()
	}
	set, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryLimit)))
	t := node.NewTelemetry(cmd.Root().Writer, set.LogLevel, set.Name)
	defer t.Close()
	stop := make(chan struct{})
	return runNode(ctx, newNode(set, t), t, stop, sync.OnceFunc(func() { close(stop) }))
}

// newNode returns an instance that speaks to the platform.
func newNode(set node.Settings, t *node.Telemetry) *node.Node {
	traffic := &node.Traffic{}
	return node.New(set, node.Deps{
		Store:       platform.NewStoreClient(set.StoreAddress, store.MaxReadBytes(set.Bandwidth), &traffic.Store),
		Workers:     platform.NewWorkerClient(&traffic.Workers),
		Eligibility: platform.NewEligibilityClient(set.EligibilityAddress, &traffic.Eligibility),
		Decode:      node.Decoders{Config: platform.DecodeConfig, Worker: platform.DecodeWorker},
		Telemetry:   t,
		Traffic:     traffic,
		Now:         bootTime,
	}, set.Name+"-"+string(newIncarnation()))
}

// runNode serves until stop is closed. A signal to end calls halt, which closes
// it.
func runNode(ctx context.Context, n *node.Node, t *node.Telemetry, stop <-chan struct{}, halt func()) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	go handleSignals(signals, halt, t)
	return n.Serve(ctx, platform.NewJobHandler(n), stop)
}

// handleSignals calls halt at the first signal to end. The settings that an
// instance uses do not change during its life, so a reload is only noted.
func handleSignals(signals <-chan os.Signal, halt func(), t *node.Telemetry) {
	for s := range signals {
		if s == syscall.SIGHUP {
			t.Log("reload of settings", node.LogFields{Outcome: "unchanged"})
			continue
		}
		halt()
		return
	}
}

// bootTime reads the clock that also counts while the VM is suspended.
func bootTime() model.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every kernel that this program runs on has the clock
	}
	return model.Time(ts.Nano())
}
