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

// Settings of the instance in standalone mode, as small deployments have them.
const (
	standaloneLease     = 6 * time.Second
	standaloneGangWait  = 3 * time.Second
	standaloneRetention = 2 * time.Minute
	standaloneGrace     = 2 * time.Second
)

// runOnStandin runs one instance with a stand-in platform and workers in this
// process, and submits sample jobs.
func runOnStandin(ctx context.Context, cmd *cli.Command) error {
	f, err := standin.Start(standaloneWorkers)
	if err != nil {
		return err
	}
	defer f.Close()
	set := node.Settings{
		Name: "standalone", DataCentre: "z", CallerListen: cmd.String("http"), StoreAddress: f.StoreAddress, EligibilityAddress: f.EligibilityAddress,
		SubmissionPartitions: 1, MaxLease: standaloneLease, GangWait: standaloneGangWait, Retention: standaloneRetention, TerminationGrace: standaloneGrace, Cores: 1,
	}
	for _, address := range []*string{&set.ReadyListen, &set.PeerListen, &set.MetricsListen} {
		if *address, err = standin.FreeAddress(); err != nil {
			return err
		}
	}
	if set.CallerListen == anyPort {
		if set.CallerListen, err = standin.FreeAddress(); err != nil {
			return err
		}
	}
	t := node.NewTelemetry(cmd.Root().ErrWriter, set.LogLevel, set.Name)
	defer t.Close()
	n, stop, demoed := newNode(set, t), make(chan struct{}), make(chan error, 1)
	halt := sync.OnceFunc(func() { close(stop) })
	go func() {
		caller := &standin.Client{BaseURL: "http://" + set.CallerListen, HTTP: httpjson.NewClient(1)}
		err := caller.RunDemo(ctx, cmd.Root().Writer, demoWait)
		if err != nil {
			fmt.Fprintln(cmd.Root().Writer, err)
		}
		demoed <- err
		if cmd.Bool("demo-exit") {
			halt()
		}
	}()
	if err := runNode(ctx, n, t, stop, halt); err != nil || !cmd.Bool("demo-exit") {
		return err
	}
	return <-demoed
}
