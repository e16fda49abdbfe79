package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "generate the load described by a profile and report the results seen by callers; requires stand-in workers",
		ArgsUsage: "PROFILE",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "base `URL` of an instance; repeat the flag for several instances", Value: []string{defaultServer}},
			&cli.StringFlag{Name: "result", Usage: "write the result as JSON to `FILE`"},
			&cli.StringFlag{Name: "page", Usage: "write the result as an HTML page to `FILE`"},
			&cli.Int64Flag{Name: "seed", Usage: "random seed; default: the seed of the profile"},
			outputFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	name, err := singleArgument(cmd, "PROFILE")
	if err != nil {
		return err
	}
	p, err := load.ReadProfile(name)
	if err != nil {
		return err
	}
	if cmd.IsSet("seed") {
		p.Seed = cmd.Int64("seed")
	}
	r, err := load.NewRunner(p, cmd.StringSlice("server"))
	if err != nil {
		return err
	}
	res := r.Run(ctx)
	if err := writeFile(cmd.String("result"), func(w io.Writer) error { return json.NewEncoder(w).Encode(res) }); err != nil {
		return err
	}
	if err := writeFile(cmd.String("page"), res.WritePage); err != nil {
		return err
	}
	return printResult(cmd, res, func(w io.Writer) { writeLoadTables(w, res) })
}

// writeFile creates the named file and fills it by calling write. If the name is empty,
// it does nothing.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return &FileError{Cause: err}
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return &FileError{Cause: err}
	}
	if err := f.Close(); err != nil {
		return &FileError{Cause: err}
	}
	return nil
}

// writeLoadTables writes a load result as text tables.
func writeLoadTables(out io.Writer, res *load.Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "WORK\tPLANNED\tDROPPED\tUNANSWERED\tIN TIME\tLATE\tP50 MS\tP99 MS\tP99.9 MS\tMAX MS\tWAIT P50\tWAIT P99\tOUTCOMES\tCODES")
	for _, r := range res.Rows {
		name := r.Service + " " + r.Operation
		if r.Straggler {
			name += " (stragglers)"
		}
		if r.Queued {
			name += " (queued first)"
		}
		l := r.Latency
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.3f%%\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\t%v\n", name, r.Planned, r.Dropped, r.Unanswered,
			100*r.InTimeShare(), r.Late, l.P50MS, l.P99MS, l.P999MS, l.MaxMS, r.Wait.P50MS, r.Wait.P99MS, r.Outcomes, r.Codes)
	}
	fmt.Fprintln(w, "\nCLASS\tPLACEMENTS\tP50 MS\tP90 MS\tP99 MS\tP99.9 MS\tMAX MS")
	for class, q := range res.PlacementWaits {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", class, q.Count, q.P50MS, q.P90MS, q.P99MS, q.P999MS, q.MaxMS)
	}
	_ = w.Flush()
}
