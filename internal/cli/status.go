package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "print an instance's view of its data centre",
		Flags:  clientFlags(),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	s, err := callServer(ctx, cmd, (*client.Client).Status)
	if err != nil {
		return err
	}
	return printResult(cmd, s, func(w io.Writer) { writeStatus(w, &s) })
}

// trueNames returns a comma-separated list of the names whose value is true. The
// arguments alternate between names and values.
func trueNames(pairs ...any) string {
	var set []string
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1].(bool) {
			set = append(set, pairs[i].(string))
		}
	}
	return strings.Join(set, ",")
}

func writeStatus(out io.Writer, s *wire.Status) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	defer w.Flush()
	owner := "none"
	if s.Owner != nil {
		owner = s.Owner.Name
	}
	fmt.Fprintf(w, "instance\t%s in %s at %s\n", s.Self.Name, s.Self.DataCentre, s.Self.Address)
	fmt.Fprintf(w, "state\t%s\n", trueNames("ready", s.Ready, "draining", s.Draining, "acting", s.Acting, "settled", s.OwnerReady, "log ok", s.LogOK))
	fmt.Fprintf(w, "owner\t%s, epoch %d\n", owner, s.Epoch)
	fmt.Fprintf(w, "text\tversion %d, hash %s\n", s.TextVersion, wire.FormatHash(s.TextHash))
	fmt.Fprintf(w, "keys\t%d, %d in doubt\n", s.Keys, s.InDoubt)
	for _, m := range s.Members {
		fmt.Fprintf(w, "member\t%s\t%s\t%s\t%s\n", m.Member.Name, m.Member.DataCentre, m.Member.Address, trueNames("alive", m.Alive, "owner", m.Owner))
	}
	for _, k := range s.Workers {
		fmt.Fprintf(w, "worker\t%s\t%s\t%s\t%d tasks\t%s\n", k.Name, k.Rack, formatUsed(k.Used, k.Capacity), k.Tasks,
			trueNames("reachable", k.Reachable, "leaving", k.Leaving, "quarantined", k.Quarantined))
	}
	for _, q := range s.Queues {
		fmt.Fprintf(w, "queue\t%s\t%d waiting\t%d running\n", q.Class, q.Waiting, q.Running)
	}
	for _, v := range s.Services {
		fmt.Fprintf(w, "service\t%s\t%d of %d running\t%s\n", v.Name, v.Running, v.Desired, v.HoldReason)
	}
	for _, j := range s.Jobs {
		fmt.Fprintf(w, "job\t%s\t%d of %d done\tdeadline %s\tforecast %s\t%s\n", j.Job, j.Counts.Done, j.Counts.Total,
			j.Deadline, j.ExpectedEnd, trueNames("at risk", j.AtRisk))
	}
}

// formatUsed formats the used and total processors, memory and slots of a worker.
func formatUsed(u, c model.Resources) string {
	return fmt.Sprintf("cpu %d/%dm, memory %d/%d MB, slots %d/%d", u.MilliCPU, c.MilliCPU, u.MemoryMB, c.MemoryMB, u.Slots, c.Slots)
}
