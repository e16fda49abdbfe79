package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/driver"
	"github.com/gentianpick/gentianpick/internal/servicetext"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay a recorded event file through a new reducer and compare the effects",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &UsageError{Reason: "replay needs exactly one FILE"}
			}
			f, err := os.Open(cmd.Args().First())
			if err != nil {
				return &FileError{Cause: err}
			}
			defer f.Close()
			n, err := driver.Replay(f, servicetext.Parse)
			fmt.Fprintf(cmd.Root().Writer, "%d events gave the recorded effects\n", n)
			return err
		},
	}
}
