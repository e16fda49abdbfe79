package cli

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/node"
	"github.com/gentianpick/gentianpick/platform/standin"
)

// Durations of the instance of run --standalone, short enough for a demo.
const (
	standaloneMaxLease         = 6 * time.Second
	standaloneGangWait         = 3 * time.Second
	standaloneRetention        = 2 * time.Minute
	standaloneTerminationGrace = 2 * time.Second
)

// runStandaloneNode carries out run --standalone: it runs one instance that serves the
// platform's job API, with a stand-in platform and workers in this process, and submits
// sample jobs to the instance.
func runStandaloneNode(ctx context.Context, cmd *cli.Command) error {
	platform, err := standin.Start(standaloneWorkers)
	if err != nil {
		return err
	}
	defer platform.Close()
	settings := node.Settings{
		Name: "standalone", DataCentre: "z", CallerListen: cmd.String("http"), StoreAddress: platform.StoreAddress, EligibilityAddress: platform.EligibilityAddress,
		SubmissionPartitions: 1, MaxLease: standaloneMaxLease, GangWait: standaloneGangWait, Retention: standaloneRetention, TerminationGrace: standaloneTerminationGrace, Cores: 1,
	}
	listeners := &standin.Listeners{}
	defer listeners.Close()
	addresses := []*string{&settings.ReadyListen, &settings.PeerListen, &settings.MetricsListen}
	if settings.CallerListen == anyPort {
		addresses = append(addresses, &settings.CallerListen)
	}
	for _, address := range addresses {
		if *address, err = listeners.Reserve(); err != nil {
			return err
		}
	}
	t := node.NewTelemetry(cmd.Root().ErrWriter, settings.LogLevel, settings.Name)
	defer t.Close()
	n, stop, demoResult := newNode(settings, t, listeners.Listen), make(chan struct{}), make(chan error, 1)
	requestStop := sync.OnceFunc(func() { close(stop) })
	go func() {
		caller := &standin.Client{BaseURL: "http://" + settings.CallerListen, HTTP: httpjson.NewClient(1)}
		err := caller.RunDemo(ctx, cmd.Root().Writer, demoStepTimeout)
		if err != nil {
			fmt.Fprintln(cmd.Root().Writer, err)
		}
		demoResult <- err
		if cmd.Bool("demo-exit") {
			requestStop()
		}
	}()
	if err := runNode(ctx, n, t, stop, requestStop); err != nil || !cmd.Bool("demo-exit") {
		return err
	}
	return <-demoResult
}
