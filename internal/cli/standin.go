package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// registerRetryInterval is the time between two attempts to register a VM while the
// stand-in platform is starting.
const registerRetryInterval = 200 * time.Millisecond

// registerTimeout bounds one attempt to register a VM.
const registerTimeout = 2 * time.Second

// workersPerRack is the size of today's racks.
const workersPerRack = 8

// Defaults of the stand-ins' flags.
const (
	defaultRetention   = time.Hour   // the log's retention is limited; operators plan with an hour
	defaultAppendLimit = 300         // appends a second; the platform allows several hundred
	defaultVMLag       = time.Second // of the VM list
	defaultUsageLag    = time.Second // of usage reports
)

// FlagError reports a flag's value that can't be used.
type FlagError struct{ Flag, Value, Want string }

func (e *FlagError) Error() string {
	return fmt.Sprintf("flag --%s: %q is not %s", e.Flag, e.Value, e.Want)
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run fakes of the platform or of workers, for trials",
		Commands: []*cli.Command{standinPlatformCommand(), standinWorkersCommand()},
	}
}

func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a log and a VM list from memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`IP:port`", Required: true},
			&cli.DurationFlag{Name: "retention", Usage: "of log records", Value: defaultRetention},
			&cli.IntFlag{Name: "max-records", Usage: "kept in each stream; 0: no limit"},
			&cli.IntFlag{Name: "append-limit", Usage: "appends a second; 0: no limit", Value: defaultAppendLimit},
			&cli.DurationFlag{Name: "vm-lag", Usage: "of the VM list", Value: defaultVMLag},
			&cli.StringSliceFlag{Name: "vm", Usage: "`name,kind,dc,address,rack` of a VM in the list", Config: cli.StringConfig{TrimSpace: true}},
			&cli.Uint64Flag{Name: "seed", Usage: "of random faults", Value: 1},
		},
		// A VM's fields are separated by commas, so each --vm holds one VM.
		DisableSliceFlagSeparator: true,
		Action:                    runStandinPlatform,
	}
}

func runStandinPlatform(ctx context.Context, cmd *cli.Command) error {
	clock := standin.RealClock()
	p := standin.NewPlatform(standin.NewLog(standin.LogConfig{
		Retention:   cmd.Duration("retention"),
		MaxRecords:  cmd.Int("max-records"),
		AppendLimit: cmd.Int("append-limit"),
	}, clock), standin.NewVMList(cmd.Duration("vm-lag"), clock), cmd.Uint64("seed"))
	for _, s := range cmd.StringSlice("vm") {
		vm, err := parseVM(s)
		if err != nil {
			return err
		}
		p.List.Put(vm)
	}
	server, err := standin.Serve(cmd.String("listen"), p.Faults, p.Handler())
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintln(cmd.Root().Writer, "platform listening on", server.Address())
	<-ctx.Done()
	return nil
}

// parseVM parses name,kind,dc,address and an optional rack.
func parseVM(s string) (model.VM, error) {
	fields := strings.Split(s, ",")
	if len(fields) < 4 || len(fields) > 5 || model.VMKind(fields[1]) != model.VMEntry && model.VMKind(fields[1]) != model.VMWorker {
		return model.VM{}, &FlagError{Flag: "vm", Value: s, Want: "name,entry|worker,dc,address[,rack]"}
	}
	vm := model.VM{Name: fields[0], Kind: model.VMKind(fields[1]), DataCentre: model.DataCentre(fields[2]), Address: fields[3]}
	if len(fields) == 5 {
		vm.Rack = fields[4]
	}
	return vm, nil
}

func standinWorkersCommand() *cli.Command {
	return &cli.Command{
		Name:  "workers",
		Usage: "run workers, each on its own port, and register them with a stand-in platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the stand-in platform", Required: true},
			&cli.StringFlag{Name: "data-centre", Usage: "`name`", Required: true},
			&cli.IntFlag{Name: "count", Usage: "number of workers", Value: workersPerRack},
			&cli.IntFlag{Name: "first", Usage: "index of the first worker, if several processes serve one data centre"},
			&cli.StringFlag{Name: "listen-base", Usage: "`IP:port` of the first worker; the others follow", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "shape", Usage: "`cpu=CORES,memory=MB,accelerators=N,slots=N,connections=N`; parts left out keep the default of 16 cores, 32 GB, 8 slots, 64 connections"},
			&cli.DurationFlag{Name: "usage-lag", Usage: "of usage reports", Value: defaultUsageLag},
			&cli.BoolFlag{Name: "unguarded", Usage: "accept every start: whatever its epoch and not-after time, and above the capacity"},
			&cli.Uint64Flag{Name: "seed", Usage: "of boot ids and random faults; 0: from the clock"},
		},
		// A shape has commas.
		DisableSliceFlagSeparator: true,
		Action:                    runStandinWorkers,
	}
}

func runStandinWorkers(ctx context.Context, cmd *cli.Command) error {
	capacity, err := parseShape(cmd.String("shape"))
	if err != nil {
		return err
	}
	host, port, err := splitAddress("listen-base", cmd.String("listen-base"))
	if err != nil {
		return err
	}
	clock, ledger, dc := standin.RealClock(), &standin.Ledger{}, cmd.String("data-centre")
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano()) // another run has other boot ids
	}
	client := httpjson.NewClient(1)
	for i := range cmd.Int("count") {
		n := cmd.Int("first") + i
		w := standin.NewWorker(standin.WorkerConfig{
			Name:     model.WorkerName(fmt.Sprintf("%s-w%03d", dc, n)),
			Rack:     fmt.Sprintf("%s-r%02d", dc, n/workersPerRack),
			Capacity: capacity, UsageLag: cmd.Duration("usage-lag"), Seed: seed + uint64(i), Ledger: ledger,
			Unguarded: cmd.Bool("unguarded"),
		}, clock)
		listen := net.JoinHostPort(host, "0")
		if port > 0 {
			listen = net.JoinHostPort(host, strconv.Itoa(port+i))
		}
		server, err := standin.Serve(listen, w.Faults, w.Handler())
		if err != nil {
			return err
		}
		defer server.Close()
		vm := w.VM(model.DataCentre(dc), server.Address())
		if err := register(ctx, client, cmd.String("platform"), vm); err != nil {
			return err
		}
		fmt.Fprintln(cmd.Root().Writer, "worker", vm.Name, "listening on", vm.Address)
	}
	<-ctx.Done()
	return nil
}

// register repeats the registration until it succeeds or ctx ends.
func register(ctx context.Context, client *http.Client, url string, vm model.VM) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, registerTimeout)
		err := standin.Register(attempt, client, url, vm)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(registerRetryInterval):
		}
	}
}

// parseShape parses a worker's capacity.
func parseShape(s string) (model.Resources, error) {
	r := standin.DefaultCapacity()
	for part := range strings.SplitSeq(s, ",") {
		if part == "" {
			continue
		}
		name, value, _ := strings.Cut(part, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			return r, &FlagError{Flag: "shape", Value: part, Want: "name=number"}
		}
		switch name {
		case "cpu":
			r.MilliCPU = n * 1000
		case "memory":
			r.MemoryMB = n
		case "accelerators":
			r.Accelerators = n
		case "slots":
			r.Slots = n
		case "connections":
			r.Connections = n
		default:
			return r, &FlagError{Flag: "shape", Value: part, Want: "one of cpu, memory, accelerators, slots, connections"}
		}
	}
	return r, nil
}

// splitAddress splits an IP:port.
func splitAddress(flag, s string) (host string, port int, err error) {
	host, p, err := net.SplitHostPort(s)
	if err == nil {
		port, err = strconv.Atoi(p)
	}
	if err != nil || net.ParseIP(host) == nil || port < 0 {
		return "", 0, &FlagError{Flag: flag, Value: s, Want: "IP:port"}
	}
	return host, port, nil
}
