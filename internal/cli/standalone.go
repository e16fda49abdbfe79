package cli

import (
	"context"
	_ "embed"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/instance"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/settings"
	"github.com/gentianpick/gentianpick/internal/standin"
)

const (
	standaloneDC      = model.DataCentre("local")
	standaloneWorkers = 8
	// standaloneWorkersPerRack divides the workers into two racks, so that the spread over
	// racks can be observed.
	standaloneWorkersPerRack = 4
	anyPort                  = "127.0.0.1:0"
)

//go:embed standalone.jsonc
var standaloneText []byte

// standinCluster holds the stand-in platform and workers of standalone mode, which listen
// on loopback addresses.
type standinCluster struct {
	platform        *standin.Platform
	platformAddress string
	servers         []*standin.Server
}

func startStandinCluster(seed uint64) (*standinCluster, error) {
	clock := standin.RealClock()
	p := standin.NewPlatform(standin.NewLog(standin.LogConfig{}, clock), standin.NewVMList(0, clock), seed)
	cluster := &standinCluster{platform: p}
	server, err := standin.Serve(anyPort, p.Faults, p.Handler())
	if err != nil {
		return nil, err
	}
	cluster.servers = append(cluster.servers, server)
	cluster.platformAddress = server.Address()
	for i := range standaloneWorkers {
		w := standin.NewWorker(standin.WorkerConfig{
			Name:     model.WorkerName(fmt.Sprintf("%s-w%03d", standaloneDC, i)),
			Rack:     fmt.Sprintf("%s-r%02d", standaloneDC, i/standaloneWorkersPerRack),
			Capacity: standin.DefaultCapacity(),
			Seed:     seed + uint64(i),
		}, clock)
		server, err := standin.Serve(anyPort, w.Faults, w.Handler())
		if err != nil {
			cluster.close()
			return nil, err
		}
		cluster.servers = append(cluster.servers, server)
		p.List.Put(w.VM(standaloneDC, server.Address()))
	}
	return cluster, nil
}

func (c *standinCluster) close() {
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// serveStandalone carries out serve --standalone: it runs one instance that serves the
// product's own API, with a stand-in platform and workers in this process, and submits
// sample work of each class.
func serveStandalone(ctx context.Context, cmd *cli.Command, eventFile io.Writer) error {
	cluster, err := startStandinCluster(cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	defer cluster.close()
	inst, err := instance.New(instance.Config{
		Core: core.Config{
			Self:   model.Member{Name: "standalone", Incarnation: model.Incarnation(newIncarnation()), DataCentre: standaloneDC},
			Seed:   cmd.Uint64("seed"),
			Timing: core.DefaultTiming(),
			Limits: core.DefaultLimits(),
		},
		PeerListen: anyPort,
		HTTPListen: cmd.String("http"),
		HTTP:       instance.HTTPLimits(settings.DefaultHTTP()),
		Platform:   "http://" + cluster.platformAddress,
		Log:        cmd.Root().ErrWriter,
		Record:     eventFile,
	})
	if err != nil {
		return err
	}
	cluster.platform.List.Put(model.VM{Name: inst.Self.Name, Kind: model.VMEntry, DataCentre: standaloneDC, Address: inst.Self.Address})

	demoResult := make(chan error, 1)
	go func() {
		err := runSamples(ctx, inst.Address(), cmd.Root().Writer)
		if cmd.Bool("demo-exit") {
			inst.Drain()
		}
		demoResult <- err
	}()
	if err := runInstance(ctx, inst); err != nil || !cmd.Bool("demo-exit") {
		return err
	}
	return <-demoResult
}
