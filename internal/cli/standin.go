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
// stand-in platform is not yet available.
const registerRetryInterval = 200 * time.Millisecond

// registerTimeout bounds one attempt to register a VM.
const registerTimeout = 2 * time.Second

// workersPerRack is the number of workers in a rack of the data centres.
const workersPerRack = 8

// Defaults of the flags of the stand-ins.
const (
	defaultRetention   = time.Hour   // the platform's log has a limited retention; operators plan for one hour
	defaultAppendLimit = 300         // per second; the platform allows several hundred
	defaultVMLag       = time.Second // delay of changes in the VM list
	defaultUsageLag    = time.Second // delay of usage reports
)

// FlagError reports an invalid value of a flag.
type FlagError struct{ Flag, Value, Want string }

func (e *FlagError) Error() string {
	return fmt.Sprintf("flag --%s: %q is not %s", e.Flag, e.Value, e.Want)
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in platform or stand-in workers for testing",
		Commands: []*cli.Command{standinPlatformCommand(), standinWorkersCommand()},
	}
}

func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in platform with an in-memory log and VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`IP:port` to listen on", Required: true},
			&cli.DurationFlag{Name: "retention", Usage: "retention of log records", Value: defaultRetention},
			&cli.IntFlag{Name: "max-records", Usage: "maximum number of records kept in each stream; 0: no limit"},
			&cli.IntFlag{Name: "append-limit", Usage: "maximum number of appends per second; 0: no limit", Value: defaultAppendLimit},
			&cli.DurationFlag{Name: "vm-lag", Usage: "delay until a change shows in the VM list", Value: defaultVMLag},
			&cli.StringSliceFlag{Name: "vm", Usage: "`name,kind,dc,address,rack` of a VM in the VM list; kind: entry or worker; rack: optional; repeat the flag for several VMs", Config: cli.StringConfig{TrimSpace: true}},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of random faults", Value: 1},
		},
		// The value of --vm contains commas, which must not split it into several values.
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

// parseVM parses a VM in the form name,kind,dc,address[,rack].
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
		Usage: "run stand-in workers, each on its own port, and register them with a stand-in platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the stand-in platform", Required: true},
			&cli.StringFlag{Name: "data-centre", Usage: "`name` of the data centre", Required: true},
			&cli.IntFlag{Name: "count", Usage: "number of workers", Value: workersPerRack},
			&cli.IntFlag{Name: "first", Usage: "index of the first worker; use different values for several processes in one data centre"},
			&cli.StringFlag{Name: "listen-base", Usage: "`IP:port` of the first worker; the others use the following ports; port 0: any free ports", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "shape", Usage: "capacity of a worker: `cpu=CORES,memory=MB,accelerators=N,slots=N,connections=N`; omitted parts default to 16 cores, 32 GB, 0 accelerators, 8 slots, 64 connections"},
			&cli.DurationFlag{Name: "usage-lag", Usage: "delay of usage reports", Value: defaultUsageLag},
			&cli.BoolFlag{Name: "unguarded", Usage: "accept every start without checking its epoch, its not-after time or the free capacity"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of boot ids and random faults; 0: taken from the clock"},
		},
		// The value of --shape contains commas, which must not split it.
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
		seed = uint64(time.Now().UnixNano()) // different boot ids in each run
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

// register retries the registration of a VM until it succeeds or ctx is cancelled.
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

// parseShape parses the capacity of a worker. Omitted parts keep their default.
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

// splitAddress splits an address of the form IP:port.
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
