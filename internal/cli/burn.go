package cli

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/client"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:   "burn",
		Usage:  "print the error budget burn rates of services",
		Flags:  clientFlags(),
		Action: runBurn,
	}
}

func runBurn(ctx context.Context, cmd *cli.Command) error {
	r, err := callServer(ctx, cmd, (*client.Client).Burn)
	if err != nil {
		return err
	}
	return printResult(cmd, r, func(w io.Writer) { _ = r.WriteText(w) })
}
