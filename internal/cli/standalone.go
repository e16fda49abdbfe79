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
	// standaloneRack puts two racks into the sample, so that rack spread shows.
	standaloneRack = 4
	anyPort        = "127.0.0.1:0"
)

//go:embed standalone.jsonc
var standaloneText []byte

// fakes are the stand-in platform and workers of standalone mode, on loopback
// sockets.
type fakes struct {
	platform *standin.Platform
	address  string // of the platform
	servers  []*standin.Server
}

func startFakes(seed uint64) (*fakes, error) {
	clock := standin.RealClock()
	p := standin.NewPlatform(standin.NewLog(standin.LogConfig{}, clock), standin.NewVMList(0, clock), seed)
	f := &fakes{platform: p}
	server, err := standin.Serve(anyPort, p.Faults, p.Handler())
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, server)
	f.address = server.Address()
	for i := range standaloneWorkers {
		w := standin.NewWorker(standin.WorkerConfig{
			Name:     model.WorkerName(fmt.Sprintf("%s-w%03d", standaloneDC, i)),
			Rack:     fmt.Sprintf("%s-r%02d", standaloneDC, i/standaloneRack),
			Capacity: standin.DefaultCapacity(),
			Seed:     seed + uint64(i),
		}, clock)
		server, err := standin.Serve(anyPort, w.Faults, w.Handler())
		if err != nil {
			f.close()
			return nil, err
		}
		f.servers = append(f.servers, server)
		p.List.Put(w.VM(standaloneDC, server.Address()))
	}
	return f, nil
}

func (f *fakes) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// runStandalone runs one instance with its platform and workers in this
// process, and submits sample work of each class.
func runStandalone(ctx context.Context, cmd *cli.Command, record io.Writer) error {
	f, err := startFakes(cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	defer f.close()
	in, err := instance.New(instance.Config{
		Core: core.Config{
			Self:   model.Member{Name: "standalone", Incarnation: model.Incarnation(newIncarnation()), DataCentre: standaloneDC},
			Seed:   cmd.Uint64("seed"),
			Timing: core.DefaultTiming(),
			Limits: core.DefaultLimits(),
		},
		PeerListen: anyPort,
		HTTPListen: cmd.String("http"),
		HTTP:       instance.HTTPLimits(settings.DefaultHTTP()),
		Platform:   "http://" + f.address,
		Log:        cmd.Root().ErrWriter,
		Record:     record,
	})
	if err != nil {
		return err
	}
	f.platform.List.Put(model.VM{Name: in.Self.Name, Kind: model.VMEntry, DataCentre: standaloneDC, Address: in.Self.Address})

	demoed := make(chan error, 1)
	go func() {
		err := demo(ctx, in.Address(), cmd.Root().Writer)
		if cmd.Bool("demo-exit") {
			in.Drain()
		}
		demoed <- err
	}()
	if err := runInstance(ctx, in); err != nil || !cmd.Bool("demo-exit") {
		return err
	}
	return <-demoed
}
